// Helpers for JSON text that must be passed on unchanged.
//
// Use:
//   JsonReader reader(text, "search request");
//   reader.RejectUnknownFields({"service", "query"});
//   request.service = reader.String("service", 1, kMaxNameLength);
//   request.query = reader.Raw("query");
//   return reader.Finish(request);               // the request, or the first error
//
// Contract: texts are checked with Boost.JSON. Values of callers and targets are kept as they were
// written, because a parsed number can lose digits (a price, an order number) when it is written
// again. Errors are kBadRequest and name the field. No function throws.
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

// True if the text is one valid JSON value.
bool IsJson(std::string_view text);
// Writes a text as a JSON string with its quotes. Bytes that are not UTF-8 become U+FFFD, so the
// result is valid JSON for any input.
std::string QuoteJson(std::string_view text);

// One member of a JSON object; `raw` is the value as it was written.
struct JsonMember {
  std::string name;
  std::string raw;
  bool operator==(const JsonMember&) const = default;
};

// A JSON object whose values are kept as text until they are asked for.
class JsonObject {
 public:
  // kBadRequest if the text is not a JSON object or has a member twice. `what` names the object in
  // messages, for example "search request".
  static Result<JsonObject> Parse(std::string_view text, std::string_view what);

  const std::vector<JsonMember>& Members() const { return this->members; }
  bool Has(std::string_view name) const { return this->Find(name) != nullptr; }
  // Each is kBadRequest if the member is absent, has another type or is out of range.
  Result<std::string> Raw(std::string_view name) const;
  Result<std::string> String(std::string_view name, size_t min_length, size_t max_length) const;
  Result<uint64_t> Unsigned(std::string_view name, uint64_t min, uint64_t max) const;
  Result<double> Number(std::string_view name, double min, double max) const;
  Result<bool> Bool(std::string_view name) const;
  // The elements of an array as text.
  Result<std::vector<std::string>> Array(std::string_view name, size_t max_length) const;
  // The elements of an array of strings.
  Result<std::vector<std::string>> Strings(std::string_view name, size_t max_count,
                                           size_t max_length) const;
  // kBadRequest if there is a member that is not in the list.
  Result<void> RejectUnknownFields(std::initializer_list<std::string_view> known) const;

 private:
  const JsonMember* Find(std::string_view name) const;
  tl::unexpected<Error> Bad(std::string_view name, std::string_view what) const;
  // nothing if the member is absent
  std::optional<boost::json::value> Value(std::string_view name) const;

  std::string what;
  std::vector<JsonMember> members;
};

// Reads the members of an object one after another and keeps the first error, so that a parser
// checks once, at its end. After an error every function returns an empty value.
class JsonReader {
 public:
  JsonReader(std::string_view text, std::string_view what);

  bool Has(std::string_view name) const { return this->object && this->object->Has(name); }
  std::string Raw(std::string_view name);
  std::string String(std::string_view name, size_t min_length, size_t max_length);
  uint64_t Unsigned(std::string_view name, uint64_t min, uint64_t max);
  double Number(std::string_view name, double min, double max);
  bool Bool(std::string_view name);
  std::vector<std::string> Array(std::string_view name, size_t max_length);
  std::vector<std::string> Strings(std::string_view name, size_t max_count, size_t max_length);
  void RejectUnknownFields(std::initializer_list<std::string_view> known);
  // Reads each element of an array of objects; `read` takes the element's text.
  template <typename T, typename Read>
  std::vector<T> ReadArray(std::string_view name, size_t max_length, Read read) {
    std::vector<T> values;
    for (const std::string& raw : this->Array(name, max_length)) {
      values.push_back(this->Unwrap(read(raw)));
      if (!this->object) return {};
    }
    return values;
  }
  // Returns the value, or keeps the error and returns an empty value.
  template <typename T>
  T Unwrap(Result<T> result) {
    if (result) return std::move(*result);
    if (this->object) this->object = tl::unexpected<Error>(std::move(result.error()));
    return T();
  }

  // The value if there was no error.
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
