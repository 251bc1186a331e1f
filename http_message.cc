// Header lookup, query parameters and address syntax.
#include "http_message.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <utility>

namespace peridotgauge {
namespace {

// Returns the port, or 0 if the text is not a port number.
uint16_t ParsePort(std::string_view text) {
  uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) return 0;
  return port;
}

HttpResponse Typed(int status, std::string_view type, std::string body) {
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

HttpResponse JsonResponse(int status, std::string body) {
  return Typed(status, "application/json", std::move(body));
}

HttpResponse TextResponse(int status, std::string body) {
  return Typed(status, "text/plain; charset=utf-8", std::move(body));
}

Result<Endpoint> SplitAddress(std::string_view address) {
  const auto bad = [&] {
    return Fail(ErrorCode::kBadRequest, "address \"" + std::string(address) +
                                            "\": expected an IP address and a port, for example "
                                            "127.0.0.1:7001 or [::1]:7001");
  };
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return bad();
  std::string_view host = address.substr(0, colon);
  const bool brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (brackets) host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error || ip.is_v6() != brackets) return bad();
  const std::string_view port_text = address.substr(colon + 1);
  const uint16_t port = ParsePort(port_text);
  if (port == 0 && port_text != "0") return bad();
  return Endpoint{std::string(host), port};
}

}  // namespace peridotgauge
