// Strict reading of JSON that people write: the configuration text and the settings.
//
// Use:
//   Result<boost::json::value> json = ParseStrictJson(text, ErrorCode::kInvalidConfig);
//   JsonErrorCollector errors(ErrorCode::kInvalidConfig);
//   StrictJsonObject fleet(errors, *json, "fleets.verstas");
//   fleet.Read("slots", slots, {.min = 1, .max = 1024});
//   fleet.RejectUnknownKeys();
//   if (errors.HasError()) return Fail(errors.FirstError());
//
// Contract: a reader keeps the first problem and ignores later ones, so callers check once at the
// end. A member that is absent leaves its variable unchanged unless it is required. Problems name
// the path, the value and what is allowed.
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

// Parses a text. Syntax errors are reported with line and column, repeated keys with their path.
Result<boost::json::value> ParseStrictJson(std::string_view text, ErrorCode code);

// The text with sorted keys and without white space; equal for texts with equal meaning.
std::string CanonicalJson(const boost::json::value& value);

// A value as it is shown in messages: on one line, shortened to about 60 bytes.
std::string AbbreviatedJson(const boost::json::value& value);

// Names of services, fleets and processes: 1 to 64 letters, digits, '-', '_' or '.'.
bool IsValidName(std::string_view name);
constexpr std::string_view kNameSyntax = "1 to 64 letters, digits, '-', '_' or '.'";

// Keeps the first problem of one text.
class JsonErrorCollector {
 public:
  explicit JsonErrorCollector(ErrorCode code) : code(code) {}

  // Records a problem at a path.
  void Add(const std::string& path, const std::string& problem);
  bool HasError() const { return this->failed; }
  Error FirstError() const { return {this->code, this->problem}; }

 private:
  ErrorCode code;
  bool failed = false;
  std::string problem;
};

// Inclusive bounds of a number.
struct IntegerRange {
  uint64_t min = 0;
  uint64_t max = UINT32_MAX;
};

// One object of the text. The value must outlive it.
class StrictJsonObject {
 public:
  // Refuses a value that is not an object and then behaves like an empty one. `path` is empty for
  // the whole text.
  StrictJsonObject(JsonErrorCollector& errors, const boost::json::value& value, std::string path);

  // Returns the member, or nullptr; the key counts as known.
  const boost::json::value* Find(std::string_view key);
  // As Find(), and refuses an object without the key.
  const boost::json::value* Require(std::string_view key);

  // Each reads one member into `out` and returns true if it was present and valid.
  bool Read(std::string_view key, uint64_t& out, IntegerRange range);
  bool Read(std::string_view key, uint32_t& out, IntegerRange range);
  bool ReadMillis(std::string_view key, Duration& out, IntegerRange range);
  bool Read(std::string_view key, bool& out);
  bool Read(std::string_view key, std::string& out);
  // Reads a name with the syntax of IsValidName().
  bool ReadName(std::string_view key, std::string& out);
  // Sets `out` to the index of the member's text in `choices`.
  bool ReadChoice(std::string_view key, size_t& out,
                  std::initializer_list<std::string_view> choices);

  // Refuses keys that nothing has asked for.
  void RejectUnknownKeys();
  // The path of a member, for example "services.kassa-3.fleet".
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
