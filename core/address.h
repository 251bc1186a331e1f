// Parsing of network addresses, each an IP address and a port.
//
// Use:
//   Result<Endpoint> endpoint = ParseAddress("127.0.0.1:7001");
//
// Host names are rejected, because the system uses no name service. The host of a parsed endpoint
// is in canonical form, so two endpoints are equal exactly if they denote the same address.
#ifndef PERIDOTGAUGE_CORE_ADDRESS_H_
#define PERIDOTGAUGE_CORE_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

struct Endpoint {
  std::string host;  // canonical IP address, without brackets
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

// Parses an address that other processes connect to. Returns kBadRequest for a host name, a missing
// or zero port, or the unspecified address (0.0.0.0 or ::), which cannot be connected to. The error
// detail quotes the value.
Result<Endpoint> ParseAddress(std::string_view address);

// Parses an address to listen on. As ParseAddress(), but also accepts port 0, which stands for any
// free port.
Result<Endpoint> ParseListenAddress(std::string_view address);

// Returns "host:port". `host` is an IP address; an IPv6 address is in square brackets.
Address JoinAddress(std::string_view host, uint16_t port);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ADDRESS_H_
