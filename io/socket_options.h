// Options of TCP connections and listeners.
#ifndef PERIDOTGAUGE_IO_SOCKET_OPTIONS_H_
#define PERIDOTGAUGE_IO_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "core/types.h"

namespace peridotgauge {

// A connection whose sent data is not acknowledged for this time is closed. After a network
// partition that drops packets, the kernel would otherwise wait for its next retransmission, which
// comes seconds after the partition has ended. The value is above the longest stall of a host that
// connections must survive (100 ms) and below the time in which a host must serve again after a
// partition (4 s on the smallest deployments).
constexpr Duration kUnacknowledgedTimeout = Seconds(1);

// Disables Nagle's algorithm and sets kUnacknowledgedTimeout. Failures are ignored, because the
// connection also works without these options.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

// Opens the acceptor, binds it to the endpoint and listens. An address can be bound again as soon
// as its previous listener has closed.
boost::system::error_code OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                                       const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_SOCKET_OPTIONS_H_
