// Reads JSON objects whose values must be forwarded verbatim.
//
// Use:
//   JsonReader reader(text, "search request");
//   reader.RejectUnknownFields({"service", "query"});
//   request.service = reader.String("service", 1, kMaxNameLength);
//   request.query = reader.Raw("query");
//   return reader.Finish(request);               // the request, or the first error
//
// Texts are validated with Boost.JSON. Values from callers and targets are kept as text, because a
// number (a price, an order number) can lose digits when it is parsed and formatted again. Errors
// are kBadRequest and name the field. No function throws.
#ifndef PERIDOTGAUGE_CORE_JSON_TEXT_H_
#define PERIDOTGAUGE_CORE_JSON_TEXT_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/error.h"

namespace peridotgauge {

// Returns true if the text is exactly one valid JSON value.
bool IsJson(std::string_view text);
// Returns the text as a quoted JSON string. If the text is not valid UTF-8, each of its non-ASCII
// bytes becomes U+FFFD, so the result is valid JSON for any input.
std::string QuoteJson(std::string_view text);

// A member of a JSON object; `raw` is the text of its value.
struct JsonMember {
  std::string name;
  std::string raw;
  bool operator==(const JsonMember&) const = default;
};

// A JSON object whose values are kept as text and parsed on access.
class JsonObject {
 public:
  // Returns kBadRequest if the text is not a JSON object or has a duplicate member. `context` names
  // the object in error messages, for example "search request".
  static Result<JsonObject> Parse(std::string_view text, std::string_view context);

  const std::vector<JsonMember>& Members() const { return this->members; }
  bool Has(std::string_view name) const { return this->Find(name) != nullptr; }
  // Each returns kBadRequest if the member is absent, has another type or is out of range.
  Result<std::string> Raw(std::string_view name) const;
  Result<std::string> String(std::string_view name, size_t min_length, size_t max_length) const;
  Result<uint64_t> Unsigned(std::string_view name, uint64_t min, uint64_t max) const;
  Result<double> Number(std::string_view name, double min, double max) const;
  Result<bool> Bool(std::string_view name) const;
  // Returns the elements of an array as text.
  Result<std::vector<std::string>> Array(std::string_view name, size_t max_length) const;
  // Returns the elements of an array of strings.
  Result<std::vector<std::string>> Strings(std::string_view name, size_t max_count,
                                           size_t max_length) const;
  // Returns kBadRequest if there is a member that is not in the list.
  Result<void> RejectUnknownFields(std::initializer_list<std::string_view> known) const;

 private:
  const JsonMember* Find(std::string_view name) const;
  tl::unexpected<Error> FieldError(std::string_view name, std::string_view problem) const;
  // Returns nullopt if the member is absent.
  std::optional<boost::json::value> Value(std::string_view name) const;

  std::string context;
  std::vector<JsonMember> members;
};

// Reads the members of an object and keeps the first error, so that a parser checks for errors
// once, in Finish(). After an error all functions return empty values.
class JsonReader {
 public:
  JsonReader(std::string_view text, std::string_view context);

  bool Has(std::string_view name) const { return this->object && this->object->Has(name); }
  std::string Raw(std::string_view name);
  std::string String(std::string_view name, size_t min_length, size_t max_length);
  uint64_t Unsigned(std::string_view name, uint64_t min, uint64_t max);
  double Number(std::string_view name, double min, double max);
  bool Bool(std::string_view name);
  std::vector<std::string> Array(std::string_view name, size_t max_length);
  std::vector<std::string> Strings(std::string_view name, size_t max_count, size_t max_length);
  void RejectUnknownFields(std::initializer_list<std::string_view> known);
  // Reads an array by calling `read` with the text of each element.
  template <typename T, typename Read>
  std::vector<T> ReadArray(std::string_view name, size_t max_length, Read read) {
    std::vector<T> values;
    for (const std::string& raw : this->Array(name, max_length)) {
      values.push_back(this->Unwrap(read(raw)));
      if (!this->object) return {};
    }
    return values;
  }
  // Returns the value, or records the error and returns an empty value.
  template <typename T>
  T Unwrap(Result<T> result) {
    if (result) return std::move(*result);
    if (this->object) this->object = tl::unexpected<Error>(std::move(result.error()));
    return T();
  }

  // Returns `value`, or the first error if there was one.
  template <typename T>
  Result<T> Finish(T value) const {
    if (!this->object) return tl::unexpected<Error>(this->object.error());
    return value;
  }

 private:
  Result<JsonObject> object;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_JSON_TEXT_H_
