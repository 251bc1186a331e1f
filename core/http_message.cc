// Header lookup and query parameters.
#include "core/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <cstdio>
#include <utility>

namespace peridotgauge {
namespace {

HttpResponse ResponseWithType(int status, std::string_view type, std::string body) {
  return {
      .status = status, .headers = {{"content-type", std::string(type)}}, .body = std::move(body)};
}

}  // namespace

std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (boost::beast::iequals(header.name, name)) return header.value;
  }
  return {};
}

std::optional<std::string_view> HttpRequest::Parameter(std::string_view name) const {
  std::string_view rest = this->query;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1);
  }
  return std::nullopt;
}

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

size_t KeptBytes(const HttpResponse& response) {
  // The headers of usual responses take less.
  constexpr size_t kSmallHeadersBytes = 4'096;
  size_t bytes = response.headers.capacity() * sizeof(HttpHeader);
  const std::string empty;
  for (const HttpHeader& header : response.headers) {
    // Short strings are kept inside the object.
    for (const std::string* text : {&header.name, &header.value}) {
      if (text->capacity() > empty.capacity()) bytes += text->capacity();
    }
  }
  return response.body.capacity() + (bytes > kSmallHeadersBytes ? bytes : 0);
}

std::string RetryAfterValue(Duration retry_after) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                std::chrono::duration<double>(retry_after).count());
  return text.data();
}

HttpResponse JsonResponse(int status, std::string body) {
  return ResponseWithType(status, "application/json", std::move(body));
}

HttpResponse TextResponse(int status, std::string body) {
  return ResponseWithType(status, "text/plain; charset=utf-8", std::move(body));
}

}  // namespace peridotgauge
