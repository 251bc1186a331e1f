// A pool of HTTP/1.1 connections to one address.
//
// Use:
//   HttpClient client(io, "127.0.0.1:9001", {.max_connections = 40, .min_connections = 2});
//   uint64_t call = client.Send({.request = request, .deadline = deadline,
//       .done = [](HttpResult result) { ... }, .released = [] { ... }});
//   client.Cancel(call);                         // `done` is not called afterwards
//
// Contract: everything runs on the thread of the io_context. `done` is called exactly once unless
// the call was cancelled, and never from inside Send(). One connection carries one exchange at a
// time. A connection whose exchange was cancelled, timed out or failed is closed, never reused.
//
// A failure has kUnavailable if no byte of the request was sent, whatever the cause (a time-out
// included), so the request was not executed. After the first byte it has kConnectionLost, or
// kDeadlineExceeded if the deadline passed, and the outcome is unknown. A kept connection that the
// peer closed before any byte of the request was sent is replaced without an error.
//
// The pool never has more connections than its limit. A connection that this side closes counts
// until the peer has closed it too, for at most kCloseTimeout, because the peer counts it as well.
// Calls above the limit wait in the order of their arrival.
#ifndef PERIDOTGAUGE_IO_HTTP_CLIENT_H_
#define PERIDOTGAUGE_IO_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "core/error.h"
#include "core/http_message.h"
#include "core/types.h"

namespace peridotgauge {

constexpr Duration kConnectTimeout = Millis(500);
// How long a closed connection counts against the limit if the peer does not close its side.
constexpr Duration kCloseTimeout = Millis(250);
constexpr size_t kMaxResponseBytes = 4 << 20;
// Responses to other requests that one call discards before it takes whatever comes.
constexpr int kMaxStrays = 4;

struct HttpClientOptions {
  size_t max_connections = 1;  // at least 1
  size_t min_connections = 0;  // kept open even if idle; at most `max_connections`
};

// Called for each discarded response, with the `echo` of the call and the value that came.
using StrayCallback = std::function<void(const HttpHeader& echo, std::string_view value)>;

// Why an exchange has no response.
struct HttpFailure {
  Error error;
  bool sent = false;     // at least one byte of the request may have left this process
  bool crashed = false;  // the peer closed the connection after `sent`, without a whole reply
  bool operator==(const HttpFailure&) const = default;
};

using HttpResult = tl::expected<HttpResponse, HttpFailure>;

struct HttpCall {
  HttpRequest request;
  Time deadline;
  std::function<void(HttpResult)> done;
  // Called once, after `done` or Cancel(), when the exchange no longer occupies the peer: the
  // response is complete, nothing was sent, or the peer has closed the connection (or
  // kCloseTimeout has passed). May be empty.
  std::function<void()> released;
  // A response that has this header with another value answers another request. It is discarded,
  // and the next response of the connection is awaited. Null: every response is taken. Shared by
  // the calls of one request.
  std::shared_ptr<const HttpHeader> echo;
  // The request may be sent again if its connection turns out to be closed. A connection that was
  // used a moment ago is then not checked before, which saves a system call.
  bool idempotent = false;
};

struct HttpClientStatus {
  size_t connections = 0;  // connecting, idle, busy or closing
  size_t idle = 0;
  size_t waiting = 0;  // calls without a connection
  size_t running = 0;  // calls that have not ended
  uint64_t opened = 0;
  uint64_t replaced = 0;  // kept connections that the peer had closed
};

class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, Address address, HttpClientOptions options,
             StrayCallback on_stray = {});
  // Closes all connections; no callback is called afterwards.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts an exchange and returns its id, for Cancel().
  uint64_t Send(HttpCall call);
  // Withdraws the call and closes its connection if anything was sent. Does nothing for a call
  // that has ended.
  void Cancel(uint64_t id);
  // Changes the limits; surplus connections are closed as they become idle.
  void SetOptions(HttpClientOptions options);

  const Address& PeerAddress() const;
  HttpClientStatus Status() const;

 private:
  class Impl;
  class Connection;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_HTTP_CLIENT_H_
