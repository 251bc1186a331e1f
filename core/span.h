// Distributed tracing: spans, their ids and the traceparent header.
//
// Use:
//   SpanIdGenerator ids(seed);
//   SpanContext parent = ParseTraceparent(header).value_or(ids.NewTrace());
//   Span span{.context = ids.ChildOf(parent), .parent = parent.span, .name = "search"};
//   writer.Add(span);                          // span_writer.h
//   request.Set("traceparent", FormatTraceparent(span.context));
//
// Ids are never zero. Times are Unix time in nanoseconds. ParseSpan() is the inverse of
// ToJsonLine().
#ifndef PERIDOTGAUGE_CORE_SPAN_H_
#define PERIDOTGAUGE_CORE_SPAN_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace peridotgauge {

struct TraceId {
  uint64_t high = 0;
  uint64_t low = 0;
  auto operator<=>(const TraceId&) const = default;
  bool Valid() const { return this->high != 0 || this->low != 0; }
};

// Returns 32 lower-case hexadecimal digits.
std::string ToHex(const TraceId& id);
// Returns 16 lower-case hexadecimal digits.
std::string ToHex(uint64_t span_id);
// Returns nullopt unless the text is 32 lower-case hexadecimal digits that are not all zero.
std::optional<TraceId> ParseTraceId(std::string_view text);

// The part of a span that is propagated between processes.
struct SpanContext {
  TraceId trace;
  uint64_t span = 0;
  bool sampled = true;
  auto operator<=>(const SpanContext&) const = default;
};

// Returns the value of the W3C header "traceparent": "00-<trace>-<span>-<flags>".
std::string FormatTraceparent(const SpanContext& context);
// Returns nullopt if the header is malformed. Accepts higher versions with additional fields, as
// the W3C specification requires.
std::optional<SpanContext> ParseTraceparent(std::string_view header);

// Generates random trace and span ids.
class SpanIdGenerator {
 public:
  explicit SpanIdGenerator(uint64_t seed) : random(seed) {}
  // Returns the context of the root span of a new trace.
  SpanContext NewTrace();
  // Returns the context of a new span in the trace of `parent`.
  SpanContext ChildOf(const SpanContext& parent);

 private:
  uint64_t NextId();

  std::mt19937_64 random;
};

struct SpanAttribute {
  std::string key;
  std::string value;
  bool operator==(const SpanAttribute&) const = default;
};

enum class SpanStatus : uint8_t { kUnset = 0, kOk = 1, kError = 2 };

struct Span {
  SpanContext context;
  uint64_t parent = 0;  // span id; 0 for a root
  std::string name;
  std::string host;      // id of the process that recorded the span
  int64_t start_ns = 0;  // Unix time
  int64_t end_ns = 0;    // Unix time
  std::vector<SpanAttribute> attributes;
  SpanStatus status = SpanStatus::kUnset;
  std::string message;  // error message if `status` is kError
  bool operator==(const Span&) const = default;
};

// Returns the span as an OTLP-style JSON object on one line, without a newline.
std::string ToJsonLine(const Span& span);
// Returns kBadRequest if the line is not a span.
Result<Span> ParseSpan(std::string_view line);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SPAN_H_
