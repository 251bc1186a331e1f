// An HTTP/1.1 server with limits on requests and connections.
//
// Use:
//   auto server = HttpServer::Listen(io, "127.0.0.1:7001",
//       [](HttpRequest request, HttpResponder responder) { responder.Send(...); });
//   if (!server) Report(server.error());      // kUnavailable: the address cannot be bound
//   (*server)->Drain();                       // responses carry "Connection: close" from now on
//   (*server)->Stop([] { ... });              // called when every running request is answered
//
// Contract: everything runs on the thread of the io_context. The handler gets complete requests
// only, one at a time per connection. It responds through the responder, at once or later; if every
// copy of the responder is destroyed without a response, the server responds with kInternal.
//
// Requests that exceed a limit never reach the handler. The server responds with the error body of
// caller_api.h and closes the connection: kBadRequest for a malformed or incomplete request,
// kTooLarge for a header or body above its limit or a header with too many fields (status 431),
// kOverloaded, with Retry-After, for a connection above the limit or a request that does not fit
// into a budget. When the room for callers ends, connections are closed without an answer, see
// core/caller_room.h; never one whose request runs. A request is not parsed before the response to
// the one before it is written. No input ends the process or keeps a connection open without a time
// limit.
#ifndef PERIDOTGAUGE_IO_HTTP_SERVER_H_
#define PERIDOTGAUGE_IO_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/byte_budget.h"
#include "core/caller_room.h"
#include "core/error.h"
#include "core/http_message.h"
#include "core/types.h"

namespace peridotgauge {

struct HttpServerLimits {
  size_t max_header_bytes = 8 << 10;
  size_t max_header_fields = 4'096;  // of the header and the trailer together
  size_t max_body_bytes = 1 << 20;
  size_t max_connections = 4'096;          // of this listener; not used with a room
  Duration request_timeout = Seconds(10);  // from the first byte of a request to its last
  Duration write_timeout = Seconds(10);    // to write one response
  Duration idle_timeout = Seconds(60);     // between two requests on a connection
  // Budgets for bodies of requests, which are refused if they do not fit, and for answers that wait
  // for their callers, whose connections are closed if it is exceeded. Null: not bounded together.
  std::shared_ptr<ByteBudget> request_bytes = nullptr;
  std::shared_ptr<ByteBudget> response_bytes = nullptr;
  // The room for the connections of all listeners, and for what their requests make the process
  // keep. Null: not bounded together.
  std::shared_ptr<CallerRoom> room = nullptr;
};

// Gauges, and counters since the start, for metrics.
struct HttpServerStatus {
  size_t connections = 0;         // open now
  size_t running = 0;             // requests passed to the handler and not answered yet
  uint64_t requests = 0;          // requests passed to the handler
  uint64_t refused_requests = 0;  // malformed, too large or too slow
  uint64_t refused_connections = 0;
};

// Sends the response to one request. Copies refer to the same request; only the first response is
// sent.
class HttpResponder {
 public:
  // Does nothing if the request was answered or the connection is closed.
  void Send(HttpResponse response) const;
  // Sets the function to call, once, if the caller disconnects before the response. A caller that
  // shuts down only its sending side counts as disconnected, but still gets the response if one is
  // sent.
  void OnDisconnect(std::function<void()> callback) const;
  // Returns false once the caller has disconnected.
  bool Connected() const;
  // Returns how long ago the host received the last bytes from the caller. That is long if this
  // process was frozen in between. 0 if it is not known.
  Duration SinceReceived() const;

 private:
  friend class HttpServer;
  struct State;
  std::shared_ptr<State> state;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  // Binds the address (port 0: any free port) and starts to accept connections. Returns
  // kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(boost::asio::io_context& io,
                                                    const Address& address, Handler handler,
                                                    HttpServerLimits limits = {});
  // Calls Close().
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Keeps accepting, but asks the caller with every response to close its connection.
  void Drain();
  // Stops accepting, closes idle connections, lets requests that are running or partly received
  // finish, and calls `callback` when no connection is left.
  void Stop(std::function<void()> callback);
  // Stops accepting and closes all connections at once, those with running requests included.
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
