// A pool of HTTP/1.1 connections to one address.
//
// Use:
//   HttpClient client(io, "127.0.0.1:9001", {.max_connections = 40, .min_connections = 2});
//   uint64_t call = client.Send({.request = request, .deadline = deadline,
//       .done = [](HttpResult result) { ... }, .released = [] { ... }});
//   client.Cancel(call);                         // `done` is not called afterwards
//
// Contract: everything runs on the thread of the io_context. `done` is called exactly once unless
// the call was cancelled, and never from inside Send(). A connection carries one exchange at a
// time. A connection whose exchange was cancelled, timed out or failed is closed, never reused.
//
// If no byte of the request was sent, a failure has kUnavailable whatever its cause (timeouts
// included), and the request was not executed. Once the first byte was sent, a failure has
// kConnectionLost, or kDeadlineExceeded if the deadline passed, and the outcome is unknown. If the
// peer closes a persistent connection before any byte of the request was sent, the call moves to
// another connection without an error.
//
// A response belongs to the call if it echoes the header of the call (HttpCall::echo). No
// connection carries one request twice, so that a second copy of the response to an earlier sending
// cannot be taken for the response to a later one. A response that echoes nothing is accepted only
// on a connection that has carried nothing else; otherwise the outcome is unknown. After a response
// that does not identify its request the connection is closed, since a copy of it could not be told
// from a later response.
//
// A response is an answer only with a final status, 200 to 599, and if each line of its head is a
// field of its own with a valid name. Any other one ends its exchange like a failed connection:
// nothing that it says is believed, and the outcome is unknown.
//
// The bytes of responses count against a budget that all clients of the process share. If that is
// exceeded, exchanges are ended like those whose connection failed: first those of the peer whose
// incomplete responses hold the most.
//
// The pool never holds more than `max_connections`. A connection that this side closes counts
// until the peer has closed it too, for at most kCloseTimeout, because the peer counts it as well.
// Calls above the limit are queued first in, first out.
#ifndef PERIDOTGAUGE_IO_HTTP_CLIENT_H_
#define PERIDOTGAUGE_IO_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "core/byte_budget.h"
#include "core/error.h"
#include "core/http_message.h"
#include "core/types.h"

namespace peridotgauge {

constexpr Duration kConnectTimeout = Millis(500);
// A connection that this side has closed counts against the limit for at most this time if the peer
// does not close its side.
constexpr Duration kCloseTimeout = Millis(250);
constexpr size_t kMaxResponseBytes = 4 << 20;
// Maximum number of bytes of an incomplete element (a head, a chunk header, a trailer). The parser
// reads these as a whole.
constexpr size_t kMaxUnparsedBytes = 64 << 10;
// Maximum number of bytes of a head. The parser limits only what it has not read yet.
constexpr size_t kMaxHeadBytes = 64 << 10;
// Maximum number of fields of a head and its trailer: more than fit into 16,384 bytes.
constexpr size_t kMaxResponseFields = 4'096;
// Responses to other requests that a call discards; it accepts the next response unchecked.
constexpr int kMaxStrays = 4;

struct HttpClientOptions {
  size_t max_connections = 1;  // at least 1
  size_t min_connections = 0;  // kept open even if idle; at most `max_connections`
};

// The header with which the peer identifies the responses to one request. All sendings of the
// request share it.
struct EchoedRequest {
  explicit EchoedRequest(HttpHeader header) : header(std::move(header)) {}

  // Returns true if the request was sent on this connection.
  bool WasSentOn(const std::weak_ptr<void>& connection) const;

  HttpHeader header;
  std::vector<std::weak_ptr<void>> connections;  // on which the request was sent
};

// Called for each discarded response, with the `echo` of the call and the value received instead.
using StrayCallback = std::function<void(const HttpHeader& echo, std::string_view value)>;

// The failure of an exchange without a complete response.
struct HttpFailure {
  Error error;
  bool sent = false;     // at least one byte of the request may have been sent
  bool crashed = false;  // the peer closed the connection after `sent`, before a complete response
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
  // A response that echoes another value belongs to another request: it is discarded, and the
  // client waits for the next response on the connection. Null accepts every response.
  std::shared_ptr<EchoedRequest> echo;
  // Without `echo`: the header with which a response identifies its request; empty if there is
  // none.
  std::string_view identifying_header;
  // The connection is closed after the response: a late copy of it could not be told from a later
  // response.
  bool close_after = false;
  // Called with the request each time before it is written, for fields that depend on the time that
  // the call has waited for a connection. May be empty.
  std::function<void(HttpRequest& request)> before_sending;
  // The request may be sent again if its connection turns out to be closed. This saves the system
  // call that checks a recently used connection before it is reused.
  bool idempotent = false;
};

struct HttpClientStatus {
  size_t connections = 0;  // connecting, idle, busy or closing
  size_t idle = 0;
  size_t waiting = 0;  // calls without a connection
  size_t running = 0;  // calls that have not ended, the waiting ones included
  uint64_t opened = 0;
  uint64_t replaced = 0;  // persistent connections found closed by the peer when a call needed them
};

class HttpClient {
 public:
  // `budget`: for the bytes of responses; null: they are not bounded together.
  HttpClient(boost::asio::io_context& io, Address address, HttpClientOptions options,
             StrayCallback on_stray = {}, std::shared_ptr<ByteBudget> budget = nullptr);
  // Closes all connections; no callback is called afterwards.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call and returns its id, for Cancel().
  uint64_t Send(HttpCall call);
  // Cancels the call and closes its connection if it has one. Does nothing for a call that has
  // ended.
  void Cancel(uint64_t id);
  // Fails the calls that wait for a connection, soon after the call.
  void FailWaiting(const std::string& reason);
  // Changes the limits. Connections above the new maximum are closed as they become idle.
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
