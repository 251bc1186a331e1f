// Addresses in the form "127.0.0.1:7001" or "[::1]:7001".
#ifndef PERIDOTGAUGE_ADDRESS_H_
#define PERIDOTGAUGE_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "error.h"

namespace peridotgauge {

struct Endpoint {
  std::string ip;
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

// kBadRequest with the text and the expected form if the address is not an IP number and a port.
// Host names are refused: processes find each other by IP number only.
Result<Endpoint> ParseEndpoint(std::string_view address);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_ADDRESS_H_
