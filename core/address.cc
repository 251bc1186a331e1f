// Parsing of addresses with inet_pton(), which accepts IP addresses but no host names.
#include "core/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>

namespace peridotgauge {
namespace {

// Returns the canonical form of an IP address, or nullopt if `host` is none.
std::optional<std::string> CanonicalHost(int family, const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  if (inet_pton(family, host.c_str(), binary.data()) != 1) return std::nullopt;
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (inet_ntop(family, binary.data(), text.data(), text.size()) == nullptr) return std::nullopt;
  return std::string(text.data());
}

std::optional<uint16_t> ParsePort(std::string_view text, uint16_t lowest) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end || port < lowest) return std::nullopt;
  return port;
}

Result<Endpoint> Parse(std::string_view address, uint16_t lowest_port) {
  const auto fail = [&](std::string_view problem) {
    return Fail(ErrorCode::kBadRequest, "\"" + std::string(address) + "\" " + std::string(problem) +
                                            "; allowed is an IP address with a port, such as "
                                            "\"127.0.0.1:7001\" or \"[::1]:7001\"");
  };
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return fail("has no port");
  const std::optional<uint16_t> port = ParsePort(address.substr(colon + 1), lowest_port);
  if (!port) return fail("has no port from " + std::to_string(lowest_port) + " to 65535");
  std::string host(address.substr(0, colon));
  const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  const std::optional<std::string> canonical = CanonicalHost(bracketed ? AF_INET6 : AF_INET, host);
  if (!canonical) return fail("is not an IP address");
  if (*canonical == "0.0.0.0" || *canonical == "::") return fail("is an unspecified IP address");
  return Endpoint{.host = *canonical, .port = *port};
}

}  // namespace

Result<Endpoint> ParseAddress(std::string_view address) { return Parse(address, 1); }
Result<Endpoint> ParseListenAddress(std::string_view address) { return Parse(address, 0); }

Address JoinAddress(std::string_view host, uint16_t port) {
  return std::string(host) + ":" + std::to_string(port);
}

}  // namespace peridotgauge
