// Options of every TCP connection.
#include "io/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace peridotgauge {

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  using boost::asio::ip::tcp;
  using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(static_cast<int>(kUnacknowledgedTimeout / Millis(1))), ignored);
}

}  // namespace peridotgauge
