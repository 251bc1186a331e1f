// Records the spans of one process.
//
// Use:
//   ActiveSpan span = tracer.Begin(parent, "search", UnixNanos());
//   span.AddAttribute("service", name);
//   request.traceparent = span.Traceparent();
//   tracer.End(std::move(span), UnixNanos(), error);
//
// Contract: for a span that is not sampled, or if the process writes no spans, only the ids are
// generated. Spans are buffered; the owner of the tracer must call Flush() from a timer.
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

// Returns the wall clock in nanoseconds since the Unix epoch. For the I/O layer only.
inline int64_t UnixNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A span that has not ended yet.
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
  // `host` is the id of the process. If the path is empty, nothing is recorded.
  Tracer(std::string host, std::string path, uint64_t seed)
      : host(std::move(host)), ids(seed), writer(std::move(path), kMaxBufferedSpans) {}

  // Begins a child span of `parent`, or the root span of a new trace if there is no parent.
  ActiveSpan Begin(const std::optional<SpanContext>& parent, std::string_view name,
                   int64_t start_ns);
  // Ends and records the span; `error` sets its status.
  void End(ActiveSpan span, int64_t end_ns, const std::optional<Error>& error = std::nullopt);

  Result<void> Flush() { return this->writer.Flush(); }
  bool HasBuffered() const { return this->writer.Buffered() > 0; }
  uint64_t Dropped() const { return this->writer.Dropped(); }

 private:
  std::string host;
  SpanIdGenerator ids;
  SpanWriter writer;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TRACER_H_
