// Non-blocking TCP sockets for tests, polled while the event loop of the test runs.
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

// Runs the event loop until `condition` returns true. Returns false after 20 s, so that a failing
// test does not hang.
bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& condition);

class RawSocket {
 public:
  RawSocket();
  // Connects to a port on the loopback address.
  static RawSocket Connect(uint16_t port);

  // Writes as much as the kernel accepts without blocking; returns the rest.
  std::string_view Send(std::string_view text);
  // Reads the available data. Returns true if the data received and not cleared contains `text`.
  bool Received(std::string_view text);
  // Reads the available data. Returns true if the peer has closed or reset the connection.
  bool Closed();
  // Returns the data received so far, which the test may clear.
  std::string& Text() { return this->text; }
  void Close();
  // Shuts down the sending side only.
  void ShutdownSend();
  // Closes the connection with a reset.
  void Reset();

 private:
  void Poll();

  friend class RawListener;
  // A socket must have an io_context; this one is never run.
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
  // Accepts all waiting connections. Returns true if there was one.
  bool Accept();

  std::list<RawSocket> sockets;  // in the order of accepting

 private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_RAW_SOCKET_H_
