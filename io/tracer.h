// Records the spans of one process.
//
// Use:
//   ActiveSpan span = tracer.Begin(parent, "search", UnixNanos());
//   span.AddAttribute("service", name);
//   request.traceparent = span.Traceparent();
//   tracer.End(std::move(span), UnixNanos(), error);
//
// Contract: a span that is not sampled, or whose process writes no spans, costs no more than its
// ids. Spans are buffered; the owner of the tracer flushes the writer from a timer.
#ifndef PERIDOTGAUGE_IO_TRACER_H_
#define PERIDOTGAUGE_IO_TRACER_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/error.h"
#include "core/span.h"
#include "io/span_writer.h"

namespace peridotgauge {

// Reads the wall clock in nanoseconds since the Unix epoch. For the I/O layer only.
inline int64_t UnixNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A span that has begun.
class ActiveSpan {
 public:
  const SpanContext& Context() const { return this->span.context; }
  std::string Traceparent() const { return FormatTraceparent(this->span.context); }
  // Adds an attribute; does nothing if the span is not recorded.
  void AddAttribute(std::string_view key, std::string value) {
    if (this->recorded) this->span.attributes.push_back({std::string(key), std::move(value)});
  }

 private:
  friend class Tracer;
  Span span;
  bool recorded = false;
};

class Tracer {
 public:
  // `host` is the id of the process. An empty path records nothing.
  Tracer(std::string host, std::string path, uint64_t seed)
      : host(std::move(host)), ids(seed), writer(std::move(path), kMaxBufferedSpans) {}

  // Begins a child of `parent`, or a new trace if there is none.
  ActiveSpan Begin(const std::optional<SpanContext>& parent, std::string_view name,
                   int64_t start_ns);
  void End(ActiveSpan span, int64_t end_ns, const std::optional<Error>& error = std::nullopt);

  Result<void> Flush() { return this->writer.Flush(); }
  bool HasBuffered() const { return this->writer.Buffered() > 0; }
  uint64_t Dropped() const { return this->writer.Dropped(); }

 private:
  std::string host;
  SpanIds ids;
  SpanWriter writer;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TRACER_H_
