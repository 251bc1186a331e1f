// Syntax of addresses: an IP number and a port.
//
// Use:
//   Result<Endpoint> endpoint = ParseAddress("127.0.0.1:7001");
//
// Contract: host names are refused, because the system has no name service. The host of the result
// is in its canonical form, so that two endpoints compare equal if they mean the same.
#ifndef PERIDOTGAUGE_CORE_ADDRESS_H_
#define PERIDOTGAUGE_CORE_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

struct Endpoint {
  std::string host;  // canonical IP number, without brackets
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

// Returns kBadRequest for a host name, a missing or zero port, or an unspecified IP number
// (0.0.0.0 or ::), which other processes cannot connect to. The detail names the value.
Result<Endpoint> ParseAddress(std::string_view address);

// The same for an address to listen on, where port 0 stands for any free port.
Result<Endpoint> ParseListenAddress(std::string_view address);

// The address of a port on a host; `host` is an IP number, an IPv6 number in square brackets.
Address JoinAddress(std::string_view host, uint16_t port);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ADDRESS_H_
