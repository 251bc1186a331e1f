#include "io/http_beast.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

namespace peridotgauge {
namespace {

constexpr unsigned kHttp11 = 11;

template <typename Fields>
std::vector<HttpHeader> ToHeaders(const Fields& fields) {
  std::vector<HttpHeader> headers;
  // Messages of many short fields would otherwise keep up to twice the memory of their headers.
  headers.reserve(static_cast<size_t>(std::distance(fields.begin(), fields.end())));
  for (const auto& field : fields) {
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

bool IsControl(char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f'; }

// Returns true for the headers that determine the length of the body.
bool IsBodyLengthHeader(std::string_view name) {
  return boost::beast::iequals(name, "content-length") ||
         boost::beast::iequals(name, "transfer-encoding");
}

}  // namespace

HttpRequest ToRequest(BeastRequest message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const size_t question_mark = target.find('?');
  request.path = target.substr(0, question_mark);
  if (question_mark != std::string::npos) request.query = target.substr(question_mark + 1);
  request.headers = ToHeaders(message);
  request.body = std::move(message.body());
  return request;
}

HttpResponse ToResponse(BeastResponse message) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.headers = ToHeaders(message);
  response.body = std::move(message.body());
  return response;
}

std::string SerializeRequest(const HttpRequest& request, const Address& address) {
  constexpr size_t kTypicalHeaderBytes = 512;
  std::string text;
  text.reserve(kTypicalHeaderBytes + request.body.size());
  text.append(request.method).append(" ").append(request.path);
  if (!request.query.empty()) text.append("?").append(request.query);
  text.append(" HTTP/1.1\r\n");
  const auto add = [&](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  if (request.Header("host").empty()) add("Host", address);
  for (const HttpHeader& header : request.headers) {
    if (!IsBodyLengthHeader(header.name)) add(header.name, header.value);
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "OPTIONS";
  if (has_body) add("Content-Length", std::to_string(request.body.size()));
  return text.append("\r\n").append(request.body);
}

BeastResponse ToBeastResponse(HttpResponse response, bool keep_alive, bool head_only) {
  BeastResponse message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.status));
  for (const HttpHeader& header : response.headers) message.insert(header.name, header.value);
  message.keep_alive(keep_alive);
  message.content_length(response.body.size());
  if (!head_only) message.body() = std::move(response.body);
  return message;
}

bool HasControlCharacter(const std::vector<HttpHeader>& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const HttpHeader& header) {
    return std::any_of(header.value.begin(), header.value.end(), IsControl);
  });
}

}  // namespace peridotgauge
