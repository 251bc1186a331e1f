// Validates JSON with Boost.JSON and splits valid text into members or elements.
#include "core/json_text.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <cmath>
#include <utility>

namespace peridotgauge {
namespace {

namespace json = boost::json;

// Deeper texts are rejected, because a recursive parser that reads them could overflow its stack.
constexpr size_t kMaxDepth = 64;
// Bounds the search for duplicate members, which takes quadratic time in their number.
constexpr size_t kMaxMembers = 1'000;

// A parser handler that accepts any document and stores nothing.
struct NullHandler {
  // Boost.JSON requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = -1;
  static constexpr size_t max_array_size = -1;
  static constexpr size_t max_key_size = -1;
  static constexpr size_t max_string_size = -1;
  using error_code = boost::system::error_code;
  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return true; }
  bool on_object_end(size_t, error_code&) { return true; }
  bool on_array_begin(error_code&) { return true; }
  bool on_array_end(size_t, error_code&) { return true; }
  bool on_key_part(json::string_view, size_t, error_code&) { return true; }
  bool on_key(json::string_view, size_t, error_code&) { return true; }
  bool on_string_part(json::string_view, size_t, error_code&) { return true; }
  bool on_string(json::string_view, size_t, error_code&) { return true; }
  bool on_number_part(json::string_view, error_code&) { return true; }
  bool on_int64(int64_t, json::string_view, error_code&) { return true; }
  bool on_uint64(uint64_t, json::string_view, error_code&) { return true; }
  bool on_double(double, json::string_view, error_code&) { return true; }
  bool on_bool(bool, error_code&) { return true; }
  bool on_null(error_code&) { return true; }
  bool on_comment_part(json::string_view, error_code&) { return true; }
  bool on_comment(json::string_view, error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)
};

json::parse_options Options() {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  return options;
}

// Returns the syntax error of the text, or no error if it is exactly one valid JSON value.
boost::system::error_code CheckJson(std::string_view text) {
  json::basic_parser<NullHandler> parser(Options());
  boost::system::error_code error;
  const size_t used = parser.write_some(false, text.data(), text.size(), error);
  if (!error && used < text.size()) error = json::error::extra_data;
  return error;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

// Splits a JSON object or array at the separators of its outermost level. The text must have been
// accepted by CheckJson(), so that brackets and quotes are balanced.
std::vector<std::string_view> SplitTopLevel(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  const std::string_view inner = text.substr(1, text.size() - 2);
  if (Trim(inner).empty()) return parts;
  size_t begin = 0;
  int depth = 0;
  bool quoted = false;
  for (size_t i = 0; i < inner.size(); ++i) {
    const char c = inner[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      ++depth;
    } else if (c == '}' || c == ']') {
      --depth;
    } else if (c == separator && depth == 0) {
      parts.push_back(Trim(inner.substr(begin, i - begin)));
      begin = i + 1;
    }
  }
  parts.push_back(Trim(inner.substr(begin)));
  return parts;
}

// Returns the length of the JSON string at the start of the text, including the quotes.
size_t QuotedLength(std::string_view text) {
  size_t i = 1;
  while (text[i] != '"') i += text[i] == '\\' ? 2 : 1;
  return i + 1;
}

std::optional<json::value> ParseValue(std::string_view text) {
  boost::system::error_code error;
  json::value value =
      json::parse(json::string_view(text.data(), text.size()), error, {}, Options());
  if (error) return std::nullopt;
  return value;
}

}  // namespace

bool IsJson(std::string_view text) { return !CheckJson(text); }

std::string QuoteJson(std::string_view text) {
  std::string quoted = json::serialize(json::string_view(text.data(), text.size()));
  if (IsJson(quoted)) return quoted;
  // The text is not valid UTF-8: replaces every byte that is not ASCII.
  std::string ascii;
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < 0x80) {
      ascii += c;
    } else {
      ascii += "\xEF\xBF\xBD";
    }
  }
  return json::serialize(json::string_view(ascii));
}

Result<JsonObject> JsonObject::Parse(std::string_view text, std::string_view context) {
  JsonObject object;
  object.context = context;
  if (const auto error = CheckJson(text)) {
    return Fail(ErrorCode::kBadRequest, object.context + ": invalid JSON: " + error.message());
  }
  text = Trim(text);
  if (text.front() != '{') {
    return Fail(ErrorCode::kBadRequest, object.context + ": expected a JSON object");
  }
  const std::vector<std::string_view> parts = SplitTopLevel(text, ',');
  if (parts.size() > kMaxMembers) {
    return Fail(ErrorCode::kBadRequest, object.context + ": too many fields");
  }
  for (const std::string_view part : parts) {
    const size_t length = QuotedLength(part);
    const std::optional<json::value> name = ParseValue(part.substr(0, length));
    if (!name) return Fail(ErrorCode::kBadRequest, object.context + ": invalid field name");
    const std::string_view rest = Trim(part.substr(length));
    JsonMember member{std::string(name->get_string()), std::string(Trim(rest.substr(1)))};
    if (object.Has(member.name)) return object.FieldError(member.name, "given twice");
    object.members.push_back(std::move(member));
  }
  return object;
}

const JsonMember* JsonObject::Find(std::string_view name) const {
  for (const JsonMember& member : this->members) {
    if (member.name == name) return &member;
  }
  return nullptr;
}

tl::unexpected<Error> JsonObject::FieldError(std::string_view name,
                                             std::string_view problem) const {
  std::string detail = this->context + ": " + std::string(name) + ": " + std::string(problem);
  return Fail(ErrorCode::kBadRequest, std::move(detail));
}

std::optional<json::value> JsonObject::Value(std::string_view name) const {
  const JsonMember* member = this->Find(name);
  if (member == nullptr) return std::nullopt;
  return ParseValue(member->raw);
}

Result<std::string> JsonObject::Raw(std::string_view name) const {
  const JsonMember* member = this->Find(name);
  if (member == nullptr) return this->FieldError(name, "is missing");
  return member->raw;
}

Result<std::string> JsonObject::String(std::string_view name, size_t min_length,
                                       size_t max_length) const {
  if (!this->Has(name)) return this->FieldError(name, "is missing");
  const std::optional<json::value> value = this->Value(name);
  if (!value || !value->is_string()) return this->FieldError(name, "expected a string");
  std::string text(value->get_string());
  if (text.size() < min_length || text.size() > max_length) {
    return this->FieldError(name, "expected " + std::to_string(min_length) + " to " +
                                      std::to_string(max_length) + " characters");
  }
  return text;
}

Result<uint64_t> JsonObject::Unsigned(std::string_view name, uint64_t min, uint64_t max) const {
  if (!this->Has(name)) return this->FieldError(name, "is missing");
  const std::optional<json::value> value = this->Value(name);
  boost::system::error_code error;
  const bool integer = value && (value->is_int64() || value->is_uint64());
  const uint64_t number = integer ? value->to_number<uint64_t>(error) : 0;
  if (!integer || error || number < min || number > max) {
    return this->FieldError(
        name, "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return number;
}

Result<double> JsonObject::Number(std::string_view name, double min, double max) const {
  if (!this->Has(name)) return this->FieldError(name, "is missing");
  const std::optional<json::value> value = this->Value(name);
  const double number = value && value->is_number() ? value->to_number<double>() : NAN;
  if (!(number >= min && number <= max)) {
    return this->FieldError(
        name, "expected a number from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return number;
}

Result<bool> JsonObject::Bool(std::string_view name) const {
  if (!this->Has(name)) return this->FieldError(name, "is missing");
  const std::optional<json::value> value = this->Value(name);
  if (!value || !value->is_bool()) return this->FieldError(name, "expected true or false");
  return value->get_bool();
}

Result<std::vector<std::string>> JsonObject::Array(std::string_view name, size_t max_length) const {
  const JsonMember* member = this->Find(name);
  if (member == nullptr) return this->FieldError(name, "is missing");
  if (member->raw.front() != '[') return this->FieldError(name, "expected an array");
  std::vector<std::string> elements;
  for (const std::string_view part : SplitTopLevel(member->raw, ',')) elements.emplace_back(part);
  if (elements.size() > max_length) {
    return this->FieldError(name, "expected at most " + std::to_string(max_length) + " elements");
  }
  return elements;
}

Result<std::vector<std::string>> JsonObject::Strings(std::string_view name, size_t max_count,
                                                     size_t max_length) const {
  Result<std::vector<std::string>> elements = this->Array(name, max_count);
  if (!elements) return elements;
  std::vector<std::string> texts;
  for (const std::string& raw : *elements) {
    const std::optional<json::value> value = ParseValue(raw);
    if (!value || !value->is_string() || value->get_string().size() > max_length) {
      return this->FieldError(
          name, "expected strings of at most " + std::to_string(max_length) + " characters");
    }
    texts.emplace_back(value->get_string());
  }
  return texts;
}

Result<void> JsonObject::RejectUnknownFields(std::initializer_list<std::string_view> known) const {
  for (const JsonMember& member : this->members) {
    if (std::find(known.begin(), known.end(), member.name) == known.end()) {
      return this->FieldError(member.name, "unknown field");
    }
  }
  return {};
}

JsonReader::JsonReader(std::string_view text, std::string_view context)
    : object(JsonObject::Parse(text, context)) {}

std::string JsonReader::Raw(std::string_view name) {
  return this->object ? this->Unwrap(this->object->Raw(name)) : std::string();
}

std::string JsonReader::String(std::string_view name, size_t min_length, size_t max_length) {
  return this->object ? this->Unwrap(this->object->String(name, min_length, max_length))
                      : std::string();
}

uint64_t JsonReader::Unsigned(std::string_view name, uint64_t min, uint64_t max) {
  return this->object ? this->Unwrap(this->object->Unsigned(name, min, max)) : uint64_t();
}

double JsonReader::Number(std::string_view name, double min, double max) {
  return this->object ? this->Unwrap(this->object->Number(name, min, max)) : double();
}

bool JsonReader::Bool(std::string_view name) {
  return this->object ? this->Unwrap(this->object->Bool(name)) : bool();
}

std::vector<std::string> JsonReader::Array(std::string_view name, size_t max_length) {
  return this->object ? this->Unwrap(this->object->Array(name, max_length))
                      : std::vector<std::string>();
}

std::vector<std::string> JsonReader::Strings(std::string_view name, size_t max_count,
                                             size_t max_length) {
  return this->object ? this->Unwrap(this->object->Strings(name, max_count, max_length))
                      : std::vector<std::string>();
}

void JsonReader::RejectUnknownFields(std::initializer_list<std::string_view> known) {
  if (!this->object) return;
  const Result<void> checked = this->object->RejectUnknownFields(known);
  if (!checked) this->object = tl::unexpected<Error>(checked.error());
}

}  // namespace peridotgauge
