// Parsing of addresses.
#include "address.h"

#include <arpa/inet.h>

#include <charconv>

namespace peridotgauge {
namespace {

bool IsIp(const std::string& text) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}

std::string_view WithoutBrackets(std::string_view text) {
  if (text.size() >= 2 && text.front() == '[' && text.back() == ']') {
    return text.substr(1, text.size() - 2);
  }
  return text;
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view address) {
  const auto refuse = [&] {
    return Fail(ErrorCode::kBadRequest, "\"" + std::string(address) +
                                            "\" is not an address; expected IP:PORT, for example "
                                            "127.0.0.1:7001 or [::1]:7001");
  };
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return refuse();
  const std::string_view host = address.substr(0, colon);
  const std::string_view port = address.substr(colon + 1);
  Endpoint endpoint{.ip = std::string(WithoutBrackets(host))};
  const bool bracketed = host.size() != endpoint.ip.size();
  if (!IsIp(endpoint.ip) || bracketed != (endpoint.ip.find(':') != std::string::npos)) {
    return refuse();
  }
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc() || end != port.data() + port.size() || port.empty()) return refuse();
  return endpoint;
}

}  // namespace peridotgauge
