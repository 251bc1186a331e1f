// Trace and span ids, the traceparent header, and the JSON form of spans.
#include "core/span.h"

#include <boost/json.hpp>
#include <charconv>

namespace peridotgauge {
namespace {

namespace json = boost::json;

constexpr size_t kTraceDigits = 32;
constexpr size_t kSpanDigits = 16;
// "00-" trace "-" span "-" flags
constexpr size_t kTraceparentBytes = 2 + 1 + kTraceDigits + 1 + kSpanDigits + 1 + 2;

// Parses lower-case hexadecimal digits; nullopt if there is another character.
std::optional<uint64_t> ParseHex(std::string_view text) {
  uint64_t value = 0;
  for (const char c : text) {
    const bool digit = c >= '0' && c <= '9';
    if (!digit && (c < 'a' || c > 'f')) return std::nullopt;
    value = value << 4U | static_cast<uint64_t>(digit ? c - '0' : c - 'a' + 10);
  }
  return value;
}

std::string TextOf(const json::object& object, json::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Reads a 64-bit integer, which OTLP's JSON encoding represents as a string.
std::optional<int64_t> NumberOf(const json::object& object, json::string_view key) {
  const std::string text = TextOf(object, key);
  int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

void ReadAttributes(const json::object& object, Span& span) {
  const json::value* list = object.if_contains("attributes");
  if (list == nullptr || !list->is_array()) return;
  for (const json::value& item : list->get_array()) {
    const json::object* attribute = item.if_object();
    const json::value* value = attribute == nullptr ? nullptr : attribute->if_contains("value");
    if (value == nullptr || !value->is_object()) continue;
    span.attributes.push_back(
        {.key = TextOf(*attribute, "key"), .value = TextOf(value->get_object(), "stringValue")});
  }
}

void ReadStatus(const json::object& object, Span& span) {
  const json::value* status = object.if_contains("status");
  if (status == nullptr || !status->is_object()) return;
  const json::value* code = status->get_object().if_contains("code");
  if (code != nullptr && code->is_int64() && code->get_int64() >= 0 && code->get_int64() <= 2) {
    span.status = static_cast<SpanStatus>(code->get_int64());
  }
  span.message = TextOf(status->get_object(), "message");
}

}  // namespace

std::string ToHex(uint64_t span_id) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out(kSpanDigits, '0');
  for (size_t i = kSpanDigits; i-- > 0; span_id >>= 4U) out[i] = kDigits[span_id & 15U];
  return out;
}

std::string ToHex(const TraceId& id) { return ToHex(id.high) + ToHex(id.low); }

std::optional<TraceId> ParseTraceId(std::string_view text) {
  if (text.size() != kTraceDigits) return std::nullopt;
  const std::optional<uint64_t> high = ParseHex(text.substr(0, kSpanDigits));
  const std::optional<uint64_t> low = ParseHex(text.substr(kSpanDigits));
  if (!high || !low || (*high == 0 && *low == 0)) return std::nullopt;
  return TraceId{.high = *high, .low = *low};
}

std::string FormatTraceparent(const SpanContext& context) {
  return "00-" + ToHex(context.trace) + "-" + ToHex(context.span) +
         (context.sampled ? "-01" : "-00");
}

std::optional<SpanContext> ParseTraceparent(std::string_view header) {
  if (header.size() < kTraceparentBytes) return std::nullopt;
  const std::string_view version = header.substr(0, 2);
  if (!ParseHex(version) || version == "ff") return std::nullopt;
  // Version 00 has no further fields; higher versions may append some.
  if (header.size() > kTraceparentBytes && (version == "00" || header[kTraceparentBytes] != '-')) {
    return std::nullopt;
  }
  constexpr size_t kTraceAt = 3;
  constexpr size_t kSpanAt = kTraceAt + kTraceDigits + 1;
  constexpr size_t kFlagsAt = kSpanAt + kSpanDigits + 1;
  if (header[kTraceAt - 1] != '-' || header[kSpanAt - 1] != '-' || header[kFlagsAt - 1] != '-') {
    return std::nullopt;
  }
  const std::optional<TraceId> trace = ParseTraceId(header.substr(kTraceAt, kTraceDigits));
  const std::optional<uint64_t> span = ParseHex(header.substr(kSpanAt, kSpanDigits));
  const std::optional<uint64_t> flags = ParseHex(header.substr(kFlagsAt, 2));
  if (!trace || !span || *span == 0 || !flags) return std::nullopt;
  return SpanContext{.trace = *trace, .span = *span, .sampled = (*flags & 1U) != 0};
}

SpanContext SpanIdGenerator::NewTrace() {
  const TraceId trace{.high = this->NextId(), .low = this->NextId()};
  return {.trace = trace, .span = this->NextId(), .sampled = true};
}

SpanContext SpanIdGenerator::ChildOf(const SpanContext& parent) {
  return {.trace = parent.trace, .span = this->NextId(), .sampled = parent.sampled};
}

uint64_t SpanIdGenerator::NextId() {
  uint64_t id = 0;
  while (id == 0) id = this->random();
  return id;
}

std::string ToJsonLine(const Span& span) {
  json::object out;
  out["traceId"] = ToHex(span.context.trace);
  out["spanId"] = ToHex(span.context.span);
  if (span.parent != 0) out["parentSpanId"] = ToHex(span.parent);
  out["flags"] = span.context.sampled ? 1 : 0;
  out["name"] = span.name;
  out["host"] = span.host;
  out["startTimeUnixNano"] = std::to_string(span.start_ns);
  out["endTimeUnixNano"] = std::to_string(span.end_ns);
  json::array& attributes = out["attributes"].emplace_array();
  for (const SpanAttribute& attribute : span.attributes) {
    attributes.push_back({{"key", attribute.key}, {"value", {{"stringValue", attribute.value}}}});
  }
  json::object& status = out["status"].emplace_object();
  status["code"] = static_cast<int>(span.status);
  if (!span.message.empty()) status["message"] = span.message;
  return json::serialize(out);
}

Result<Span> ParseSpan(std::string_view line) {
  json::error_code error;
  const json::value parsed = json::parse({line.data(), line.size()}, error);
  if (error || !parsed.is_object()) return Fail(ErrorCode::kBadRequest, "not a JSON object");
  const json::object& object = parsed.get_object();
  const std::optional<TraceId> trace = ParseTraceId(TextOf(object, "traceId"));
  const std::string span_text = TextOf(object, "spanId");
  const std::optional<uint64_t> id = ParseHex(span_text);
  const std::optional<int64_t> start = NumberOf(object, "startTimeUnixNano");
  const std::optional<int64_t> end = NumberOf(object, "endTimeUnixNano");
  if (!trace || span_text.size() != kSpanDigits || !id || !start || !end) {
    return Fail(ErrorCode::kBadRequest, "not a span: ids or times are missing or malformed");
  }
  Span span{.context = {.trace = *trace, .span = *id},
            .parent = ParseHex(TextOf(object, "parentSpanId")).value_or(0),
            .name = TextOf(object, "name"),
            .host = TextOf(object, "host"),
            .start_ns = *start,
            .end_ns = *end};
  const json::value* flags = object.if_contains("flags");
  span.context.sampled = flags == nullptr || *flags != 0;
  ReadAttributes(object, span);
  ReadStatus(object, span);
  return span;
}

}  // namespace peridotgauge
