// Strict JSON in two passes: the first finds duplicate keys, which Boost.JSON's parser accepts
// silently; the second builds the value.
#include "core/strict_json.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <vector>

namespace peridotgauge {
namespace {

namespace json = boost::json;

constexpr size_t kShownBytes = 60;

std::string Quoted(std::string_view text) { return "\"" + std::string(text) + "\""; }

std::string Join(const std::string& path, std::string_view key) {
  return path.empty() ? std::string(key) : path + "." + std::string(key);
}

// A parser handler that stops at the first duplicate key.
struct DuplicateKeyHandler {
  static constexpr size_t max_object_size = SIZE_MAX;  // NOLINT(readability-identifier-naming)
  static constexpr size_t max_array_size = SIZE_MAX;   // NOLINT(readability-identifier-naming)
  static constexpr size_t max_key_size = SIZE_MAX;     // NOLINT(readability-identifier-naming)
  static constexpr size_t max_string_size = SIZE_MAX;  // NOLINT(readability-identifier-naming)

  // An open object or array. `key` is the current member of an object.
  struct Level {
    bool array = false;
    size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };
  std::vector<Level> levels;
  std::string partial_key;
  std::string duplicate;  // path of the first duplicate key

  std::string Path() const {
    std::string path;
    for (const Level& level : this->levels) {
      if (level.array) {
        path.append("[").append(std::to_string(level.index)).append("]");
      } else {
        path = Join(path, level.key);
      }
    }
    return path;
  }
  bool EndValue() {
    if (!this->levels.empty() && this->levels.back().array) ++this->levels.back().index;
    return true;
  }
  bool Open(bool array) {
    this->levels.push_back({.array = array, .index = 0, .key = {}, .keys = {}});
    return true;
  }
  bool Close() {
    this->levels.pop_back();
    return this->EndValue();
  }

  // Boost.JSON requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) { return this->Open(false); }
  bool on_object_end(size_t, json::error_code&) { return this->Close(); }
  bool on_array_begin(json::error_code&) { return this->Open(true); }
  bool on_array_end(size_t, json::error_code&) { return this->Close(); }
  bool on_key_part(json::string_view part, size_t, json::error_code&) {
    this->partial_key.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, size_t, json::error_code& error) {
    this->partial_key.append(part.data(), part.size());
    Level& level = this->levels.back();
    level.key = std::move(this->partial_key);
    this->partial_key.clear();
    if (level.keys.insert(level.key).second) return true;
    this->duplicate = this->Path();
    error = json::error::syntax;
    return false;
  }
  bool on_string_part(json::string_view, size_t, json::error_code&) { return true; }
  bool on_string(json::string_view, size_t, json::error_code&) { return this->EndValue(); }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(int64_t, json::string_view, json::error_code&) { return this->EndValue(); }
  bool on_uint64(uint64_t, json::string_view, json::error_code&) { return this->EndValue(); }
  bool on_double(double, json::string_view, json::error_code&) { return this->EndValue(); }
  bool on_bool(bool, json::error_code&) { return this->EndValue(); }
  bool on_null(json::error_code&) { return this->EndValue(); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)
};

std::string LineAndColumn(std::string_view text, size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const size_t newline = before.rfind('\n');
  const size_t column = newline == std::string_view::npos ? offset + 1 : offset - newline;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

void AppendCanonical(const json::value& value, std::string& out) {
  if (const json::array* array = value.if_array()) {
    out += '[';
    for (size_t i = 0; i < array->size(); ++i) {
      if (i > 0) out += ',';
      AppendCanonical((*array)[i], out);
    }
    out += ']';
  } else if (const json::object* object = value.if_object()) {
    std::vector<const json::key_value_pair*> members;
    for (const json::key_value_pair& member : *object) members.push_back(&member);
    std::sort(members.begin(), members.end(),
              [](const auto* a, const auto* b) { return a->key() < b->key(); });
    out += '{';
    for (size_t i = 0; i < members.size(); ++i) {
      if (i > 0) out += ',';
      out += json::serialize(json::value(members[i]->key())) + ":";
      AppendCanonical(members[i]->value(), out);
    }
    out += '}';
  } else {
    out += json::serialize(value);
  }
}

}  // namespace

Result<json::value> ParseStrictJson(std::string_view text, ErrorCode code) {
  json::basic_parser<DuplicateKeyHandler> checker(json::parse_options{});
  json::error_code error;
  const size_t end = checker.write_some(false, text.data(), text.size(), error);
  const std::string& duplicate = checker.handler().duplicate;
  if (!duplicate.empty()) {
    return Fail(code, duplicate + ": the key is given twice (" + LineAndColumn(text, end) + ")");
  }
  if (error) return Fail(code, LineAndColumn(text, end) + ": " + error.message());
  if (end < text.size()) {
    return Fail(code, LineAndColumn(text, end) + ": text after the JSON value");
  }
  json::value value = json::parse({text.data(), text.size()}, error);
  if (error) return Fail(code, error.message());
  return value;
}

std::string CanonicalJson(const json::value& value) {
  std::string out;
  AppendCanonical(value, out);
  return out;
}

std::string AbbreviatedJson(const json::value& value) {
  std::string text = json::serialize(value);
  if (text.size() <= kShownBytes) return text;
  size_t end = kShownBytes;
  // Truncates at the start of a UTF-8 sequence, so that the message remains valid UTF-8.
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) --end;
  return text.substr(0, end) + "...";
}

bool IsValidName(std::string_view name) {
  constexpr size_t kMaxNameBytes = 64;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), allowed);
}

void JsonErrorCollector::Add(const std::string& path, const std::string& problem) {
  if (this->failed) return;
  this->failed = true;
  this->problem = path.empty() ? problem : path + ": " + problem;
}

StrictJsonObject::StrictJsonObject(JsonErrorCollector& errors, const json::value& value,
                                   std::string path)
    : errors(errors), path(std::move(path)), members(value.if_object()) {
  static const json::object kEmpty;
  if (this->members != nullptr) return;
  errors.Add(this->path, AbbreviatedJson(value) + "; allowed is an object");
  this->members = &kEmpty;
}

const json::value* StrictJsonObject::Find(std::string_view key) {
  this->known.emplace(key);
  return this->members->if_contains({key.data(), key.size()});
}

const json::value* StrictJsonObject::Require(std::string_view key) {
  const json::value* value = this->Find(key);
  if (value == nullptr) this->errors.Add(this->PathOf(key), "missing; the key is required");
  return value;
}

bool StrictJsonObject::Read(std::string_view key, uint64_t& out, IntegerRange range) {
  const json::value* value = this->Find(key);
  if (value == nullptr) return false;
  json::error_code error;
  const auto number = value->is_double() ? 0 : value->to_number<uint64_t>(error);
  if (value->is_double() || error || number < range.min || number > range.max) {
    this->errors.Add(this->PathOf(key), AbbreviatedJson(*value) + "; allowed is an integer from " +
                                            std::to_string(range.min) + " to " +
                                            std::to_string(range.max));
    return false;
  }
  out = number;
  return true;
}

bool StrictJsonObject::Read(std::string_view key, uint32_t& out, IntegerRange range) {
  uint64_t number = 0;
  range.max = std::min<uint64_t>(range.max, UINT32_MAX);
  if (!this->Read(key, number, range)) return false;
  out = static_cast<uint32_t>(number);
  return true;
}

bool StrictJsonObject::ReadMillis(std::string_view key, Duration& out, IntegerRange range) {
  uint64_t number = 0;
  if (!this->Read(key, number, range)) return false;
  out = Millis(static_cast<int64_t>(number));
  return true;
}

bool StrictJsonObject::Read(std::string_view key, bool& out) {
  const json::value* value = this->Find(key);
  if (value == nullptr) return false;
  if (!value->is_bool()) {
    this->errors.Add(this->PathOf(key), AbbreviatedJson(*value) + "; allowed is true or false");
    return false;
  }
  out = value->get_bool();
  return true;
}

bool StrictJsonObject::Read(std::string_view key, std::string& out) {
  const json::value* value = this->Find(key);
  if (value == nullptr) return false;
  if (!value->is_string()) {
    this->errors.Add(this->PathOf(key), AbbreviatedJson(*value) + "; allowed is a string");
    return false;
  }
  out = std::string(value->get_string());
  return true;
}

bool StrictJsonObject::ReadName(std::string_view key, std::string& out) {
  std::string name;
  if (!this->Read(key, name)) return false;
  if (!IsValidName(name)) {
    this->errors.Add(this->PathOf(key), AbbreviatedJson(json::value(name)) + "; allowed are " +
                                            std::string(kNameSyntax));
    return false;
  }
  out = std::move(name);
  return true;
}

bool StrictJsonObject::ReadChoice(std::string_view key, size_t& out,
                                  std::initializer_list<std::string_view> choices) {
  const json::value* value = this->Find(key);
  if (value == nullptr) return false;
  std::string allowed;
  size_t index = 0;
  for (const std::string_view choice : choices) {
    if (value->is_string() &&
        value->get_string() == json::string_view(choice.data(), choice.size())) {
      out = index;
      return true;
    }
    allowed += (index++ == 0 ? "" : " or ") + Quoted(choice);
  }
  this->errors.Add(this->PathOf(key), AbbreviatedJson(*value) + "; allowed is " + allowed);
  return false;
}

void StrictJsonObject::RejectUnknownKeys() {
  for (const json::key_value_pair& member : *this->members) {
    const std::string_view key(member.key().data(), member.key().size());
    if (this->known.find(key) != this->known.end()) continue;
    std::string allowed;
    for (const std::string& name : this->known) allowed += (allowed.empty() ? "" : ", ") + name;
    this->errors.Add(this->PathOf(key), "unknown key; allowed are " + allowed);
    return;
  }
}

std::string StrictJsonObject::PathOf(std::string_view key) const { return Join(this->path, key); }

}  // namespace peridotgauge
