// Spans: what one hop of a request did, and when.
//
// Use:
//   SpanIdGenerator ids(seed);
//   SpanContext parent = ParseTraceparent(header).value_or(ids.NewTrace());
//   Span span{.context = ids.ChildOf(parent), .parent = parent.span, .name = "search"};
//   writer.Add(span);                          // span_writer.h
//   request.Set("traceparent", FormatTraceparent(span.context));
//
// Contract: ids are never zero. Times are Unix nanoseconds. ToJsonLine() and ParseSpan() are
// inverse to each other.
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

// 32 lower-case hexadecimal digits.
std::string ToHex(const TraceId& id);
// 16 lower-case hexadecimal digits.
std::string ToHex(uint64_t span_id);
// Nothing unless the text has exactly 32 lower-case hexadecimal digits and is not zero.
std::optional<TraceId> ParseTraceId(std::string_view text);

// The position of a span in its trace, as it travels between processes.
struct SpanContext {
  TraceId trace;
  uint64_t span = 0;
  bool sampled = true;
  auto operator<=>(const SpanContext&) const = default;
};

// The header "traceparent": "00-<trace>-<span>-<flags>".
std::string FormatTraceparent(const SpanContext& context);
// Accepts later versions with further fields, as the format's rules demand. Nothing if malformed.
std::optional<SpanContext> ParseTraceparent(std::string_view header);

// Draws ids.
class SpanIdGenerator {
 public:
  explicit SpanIdGenerator(uint64_t seed) : random(seed) {}
  // A context without a parent: the root of a new trace.
  SpanContext NewTrace();
  // A new span in the same trace.
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
  uint64_t parent = 0;  // 0: a root
  std::string name;
  std::string host;      // id of the process
  int64_t start_ns = 0;  // Unix time
  int64_t end_ns = 0;    // Unix time
  std::vector<SpanAttribute> attributes;
  SpanStatus status = SpanStatus::kUnset;
  std::string message;  // of a failure
  bool operator==(const Span&) const = default;
};

// One OTLP-style JSON object, without a line end.
std::string ToJsonLine(const Span& span);
// kBadRequest if the line is not a span.
Result<Span> ParseSpan(std::string_view line);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SPAN_H_
