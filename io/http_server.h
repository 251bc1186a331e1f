// An HTTP/1.1 server with limits, on the event loop of its owner.
//
// Use:
//   auto server = HttpServer::Listen(io, "127.0.0.1:7001",
//       [](HttpRequest request, HttpResponder responder) { responder.Send(...); });
//   if (!server) Report(server.error());      // kUnavailable: the address cannot be bound
//   (*server)->Drain();                       // answers carry "Connection: close" from now on
//   (*server)->Stop([] { ... });              // called when every running request is answered
//
// Contract: everything runs on the thread of the io_context. The handler gets complete requests
// only, one at a time per connection. It answers at once or later through the responder; if every
// copy of the responder is dropped without an answer, the server answers with kInternal.
//
// Requests that exceed a limit never reach the handler. They are answered with the error body of
// caller_api.h and the connection is closed: kBadRequest for a malformed or unfinished request,
// kTooLarge for a head or body above its limit, kOverloaded for a connection above the limit. No
// input ends the process or keeps a connection open without a time limit.
#ifndef PERIDOTGAUGE_IO_HTTP_SERVER_H_
#define PERIDOTGAUGE_IO_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/error.h"
#include "core/http_message.h"
#include "core/types.h"

namespace peridotgauge {

struct HttpServerLimits {
  size_t max_header_bytes = 8 << 10;
  size_t max_body_bytes = 1 << 20;
  size_t max_connections = 4'096;
  Duration request_timeout = Seconds(10);  // from the first byte of a request to its last
  Duration write_timeout = Seconds(10);    // to write one response
  Duration idle_timeout = Seconds(60);     // between two requests on one connection
};

// Counters since the start, for metrics.
struct HttpServerStatus {
  size_t connections = 0;         // open now
  size_t running = 0;             // requests with the handler now
  uint64_t requests = 0;          // requests given to the handler
  uint64_t refused_requests = 0;  // malformed, too large or too slow
  uint64_t refused_connections = 0;
};

// Answers one request. Copies answer the same request; only the first answer is sent.
class HttpResponder {
 public:
  // Does nothing if the request was answered or the connection has closed.
  void Send(HttpResponse response) const;
  // Sets the function to call, once, if the caller disconnects before the answer. A caller that
  // closes only its sending side counts as disconnected, but still gets the answer if one is sent.
  void OnDisconnect(std::function<void()> callback) const;
  // False once the caller has disconnected.
  bool Connected() const;

 private:
  friend class HttpServer;
  struct State;
  std::shared_ptr<State> state;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  // Binds the address (port 0: any free port) and starts to accept. kUnavailable if it is taken.
  static Result<std::unique_ptr<HttpServer>> Listen(boost::asio::io_context& io,
                                                    const Address& address, Handler handler,
                                                    HttpServerLimits limits = {});
  // Closes everything at once, like Close().
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Keeps accepting, but every answer asks the caller to close its connection.
  void Drain();
  // Stops accepting, closes idle connections, lets received and half-received requests finish, and
  // calls back when no connection is left.
  void Stop(std::function<void()> callback);
  // Closes all connections, running requests included.
  void Close();

  uint16_t Port() const;
  HttpServerStatus Status() const;

 private:
  class Impl;
  class Connection;
  friend class HttpResponder;
  explicit HttpServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_HTTP_SERVER_H_
