// Value types for HTTP requests and responses, independent of the HTTP library.
//
// Use:
//   if (request.path == "/v1/status" && request.method == "GET") ...
//   std::string_view trace = request.Header("traceparent");   // empty if absent
//   responder.Send(JsonResponse(200, FormatStatus(status)));
//
// Header names are case-insensitive. The value of an absent header is empty.
#ifndef PERIDOTGAUGE_CORE_HTTP_MESSAGE_H_
#define PERIDOTGAUGE_CORE_HTTP_MESSAGE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/byte_budget.h"
#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

struct HttpHeader {
  std::string name;
  std::string value;
  bool operator==(const HttpHeader&) const = default;
};

// Returns the value of the first header with that name, or an empty string.
std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name);

struct HttpRequest {
  std::string method;  // upper case, for example "GET"
  std::string path;    // without the query, for example "/v1/config"
  std::string query;   // after the '?', not decoded; may be empty
  std::vector<HttpHeader> headers;
  std::string body;
  bool operator==(const HttpRequest&) const = default;

  std::string_view Header(std::string_view name) const { return FindHeader(this->headers, name); }
  // Returns the value of a query parameter ("7" for "revision=7"), or nullopt if it is absent.
  // Does not decode percent escapes.
  std::optional<std::string_view> Parameter(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  // Accounts for the response in the process's budget; null for small ones.
  std::shared_ptr<ByteBudget::Account> kept;
  bool operator==(const HttpResponse& other) const {
    return this->status == other.status && this->headers == other.headers &&
           this->body == other.body;
  }

  std::string_view Header(std::string_view name) const { return FindHeader(this->headers, name); }
};

// Returns true if the text has only visible ASCII characters, no spaces. It can be sent in a header
// and arrives unchanged.
bool IsVisibleAscii(std::string_view text);

// Returns the memory that the body takes, and the headers if that is more than 4 KiB.
size_t KeptBytes(const HttpResponse& response);

// Returns the value of a Retry-After header: seconds with three decimals.
std::string RetryAfterValue(Duration retry_after);

HttpResponse JsonResponse(int status, std::string body);
HttpResponse TextResponse(int status, std::string body);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_HTTP_MESSAGE_H_
