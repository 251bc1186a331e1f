// Strict parsing of JSON that people write: the configuration and the settings.
//
// Use:
//   Result<boost::json::value> json = ParseStrictJson(text, ErrorCode::kInvalidConfig);
//   JsonErrorCollector errors(ErrorCode::kInvalidConfig);
//   StrictJsonObject fleet(errors, *json, "fleets.verstas");
//   fleet.Read("slots", slots, {.min = 1, .max = 1024});
//   fleet.RejectUnknownKeys();
//   if (errors.HasError()) return Fail(errors.FirstError());
//
// The error collector keeps the first error and ignores later ones, so callers check once, at the
// end. An absent member leaves its variable unchanged and is an error only if it is required.
// Errors name the path, the value and the allowed values.
#ifndef PERIDOTGAUGE_CORE_STRICT_JSON_H_
#define PERIDOTGAUGE_CORE_STRICT_JSON_H_

#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

// Parses a text. Rejects duplicate keys. Syntax errors name the line and column, duplicate keys
// also their path. Errors have the given code.
Result<boost::json::value> ParseStrictJson(std::string_view text, ErrorCode code);

// Returns the JSON text with sorted keys and without white space, which is equal for equivalent
// texts.
std::string CanonicalJson(const boost::json::value& value);

// Returns the value as JSON text for error messages: on one line, truncated to about 60 bytes.
std::string AbbreviatedJson(const boost::json::value& value);

// Returns true if the text is a valid name of a service, fleet or process: 1 to 64 letters, digits,
// '-', '_' or '.'.
bool IsValidName(std::string_view name);
constexpr std::string_view kNameSyntax = "1 to 64 letters, digits, '-', '_' or '.'";

// Keeps the first error of one text.
class JsonErrorCollector {
 public:
  explicit JsonErrorCollector(ErrorCode code) : code(code) {}

  // Records a problem of the value at `path`.
  void Add(const std::string& path, const std::string& problem);
  bool HasError() const { return this->failed; }
  Error FirstError() const { return {this->code, this->problem}; }

 private:
  ErrorCode code;
  bool failed = false;
  std::string problem;
};

// Inclusive bounds of an integer.
struct IntegerRange {
  uint64_t min = 0;
  uint64_t max = UINT32_MAX;
};

// Reads the members of one JSON object. The JSON value must outlive it.
class StrictJsonObject {
 public:
  // Records an error if the value is not an object, and then acts as an empty object. `path` is
  // empty for the root of the text.
  StrictJsonObject(JsonErrorCollector& errors, const boost::json::value& value, std::string path);

  // Returns the member, or nullptr if it is absent. Marks the key as known.
  const boost::json::value* Find(std::string_view key);
  // As Find(), but records an error if the member is absent.
  const boost::json::value* Require(std::string_view key);

  // Each reads one member into `out`. Returns true if the member is present and valid.
  bool Read(std::string_view key, uint64_t& out, IntegerRange range);
  bool Read(std::string_view key, uint32_t& out, IntegerRange range);
  bool ReadMillis(std::string_view key, Duration& out, IntegerRange range);
  bool Read(std::string_view key, bool& out);
  bool Read(std::string_view key, std::string& out);
  // Reads a name with the syntax of IsValidName().
  bool ReadName(std::string_view key, std::string& out);
  // Sets `out` to the index of the member's value in `choices`.
  bool ReadChoice(std::string_view key, size_t& out,
                  std::initializer_list<std::string_view> choices);

  // Records an error if there is a key that no other function was called with.
  void RejectUnknownKeys();
  // Returns the path of a member, for example "services.kassa-3.fleet".
  std::string PathOf(std::string_view key) const;
  const boost::json::object& Members() const { return *this->members; }

 private:
  JsonErrorCollector& errors;
  std::string path;
  const boost::json::object* members;
  std::set<std::string, std::less<>> known;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_STRICT_JSON_H_
