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

boost::system::error_code OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                                       const boost::asio::ip::tcp::endpoint& endpoint) {
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  return error;
}

}  // namespace peridotgauge
