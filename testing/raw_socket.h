// Plain TCP ends for tests, polled from the test's own event loop.
//
// Use:
//   RawListener peer;
//   ... start a client at "127.0.0.1:" + peer.Port()
//   REQUIRE(RunUntil(io, [&] { return peer.Accept(); }));
//   RawSocket& socket = peer.sockets.front();
//   REQUIRE(RunUntil(io, [&] { return socket.Received("\r\n\r\n"); }));
//   socket.Send("HTTP/1.1 200 OK\r\n\r\n");
#ifndef PERIDOTGAUGE_TESTING_RAW_SOCKET_H_
#define PERIDOTGAUGE_TESTING_RAW_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace peridotgauge {

// Runs the loop until the condition holds. False after 20 s, which only guards against a hang.
bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& condition);

class RawSocket {
 public:
  RawSocket();
  // Connects to a port on the loopback address.
  static RawSocket Connect(uint16_t port);

  // Writes as much as the kernel accepts without waiting; returns what is left.
  std::string_view Send(std::string_view text);
  // Reads what has arrived. True if all that was ever received contains the text.
  bool Received(std::string_view text);
  // Reads what has arrived. True if the other side has closed or reset the connection.
  bool Closed();
  // All that was received and not cleared.
  std::string& Text() { return this->text; }
  void Close();
  void CloseSending();
  // Closes with a reset instead of an orderly end.
  void Reset();

 private:
  void Poll();

  friend class RawListener;
  // A socket needs a loop to exist; this one is never run.
  struct Owned {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket{this->io};
  };

  std::unique_ptr<Owned> owned;
  std::string text;
  bool closed = false;
};

class RawListener {
 public:
  RawListener();

  uint16_t Port() const;
  std::string AddressText() const;
  // Accepts what waits. True if anything was accepted by this call.
  bool Accept();

  std::list<RawSocket> sockets;  // in the order of their arrival

 private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_RAW_SOCKET_H_
