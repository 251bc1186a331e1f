// Options of every TCP connection, and how a listener is opened.
#ifndef PERIDOTGAUGE_IO_SOCKET_OPTIONS_H_
#define PERIDOTGAUGE_IO_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "core/types.h"

namespace peridotgauge {

// A connection whose peer acknowledges nothing for this time is closed. After a silent partition
// the kernel would otherwise wait for its next retransmission, which comes seconds after the
// partition has ended. Above the longest stall of a host that is to be survived without a new
// connection (100 ms) and below the time in which a healed host must be of use again (4 s on the
// smallest deployments).
constexpr Duration kUnacknowledgedTimeout = Seconds(1);

// Sends small messages at once and applies kUnacknowledgedTimeout. Failures are ignored: the
// connection works without the options.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

// Opens, binds and listens. An address whose last listener has just closed can be bound again.
boost::system::error_code OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                                       const boost::asio::ip::tcp::endpoint& where);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_SOCKET_OPTIONS_H_
