// The parts of HttpClient: the pool, which assigns calls to connections, and one connection.
// For http_client.cc and http_connection.cc only.
#ifndef PERIDOTGAUGE_IO_HTTP_CLIENT_IMPL_H_
#define PERIDOTGAUGE_IO_HTTP_CLIENT_IMPL_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "io/http_client.h"

namespace peridotgauge {

// One read; most answers fit.
constexpr size_t kReadBytes = 4'096;

// The failure of a call of which nothing was sent.
inline HttpFailure NotSent(std::string detail) {
  return {.error = {ErrorCode::kUnavailable, std::move(detail)}, .sent = false, .crashed = false};
}

// The pool. Owns the connections and the calls.
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  // One call from Send() to `done`.
  struct Exchange {
    Exchange(boost::asio::io_context& io, uint64_t id, HttpCall call)
        : id(id), call(std::move(call)), timer(io) {}

    uint64_t id;
    HttpCall call;
    boost::asio::steady_timer timer;
    std::shared_ptr<Connection> connection;  // null while the call waits
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  Impl(boost::asio::io_context& io, Address address, HttpClientOptions options,
       StrayCallback on_stray);

  uint64_t Send(HttpCall call);
  void Cancel(uint64_t id);
  void SetOptions(HttpClientOptions options);
  void Shutdown();
  void KeepWarm();
  HttpClientStatus Status() const;

  // Called by connections.
  void OnConnected(const std::shared_ptr<Connection>& connection);
  void OnReady(const std::shared_ptr<Connection>& connection);
  void OnConnectFailed(const std::shared_ptr<Connection>& connection, const std::string& why);
  void OnIdleClosed(const std::shared_ptr<Connection>& connection);
  void OnClosed(const std::shared_ptr<Connection>& connection, bool by_peer);
  // Puts a call of which nothing was sent back to the front of the queue.
  void Requeue(const ExchangePtr& exchange);
  // Ends a call; `released` stays with the caller of this function.
  void Finish(const ExchangePtr& exchange, HttpResult result);
  bool Surplus() const { return this->connections.size() > this->options.max_connections; }
  void CountReplaced() { ++this->replaced; }
  void OnStray(const HttpHeader& echo, std::string_view value) const {
    if (this->on_stray) this->on_stray(echo, value);
  }
  // Calls `callback` unless it is empty or the client was destroyed.
  void Notify(const std::function<void()>& callback) const {
    if (callback && !this->closed) callback();
  }

  boost::asio::io_context& io;
  const Address address;

 private:
  void Pump();
  void Assign(const std::shared_ptr<Connection>& connection, bool fresh);
  void Open();
  void OnDeadline(const ExchangePtr& exchange);
  void FailCall(const ExchangePtr& exchange, const std::string& why);
  void FailWaiting(const std::string& why);
  void ScheduleWarm();
  void Release(const ExchangePtr& exchange);

  HttpClientOptions options;
  StrayCallback on_stray;
  boost::asio::steady_timer reopen;
  bool reopen_pending = false;
  bool closed = false;
  uint64_t last_id = 0;
  std::unordered_map<uint64_t, ExchangePtr> exchanges;
  std::deque<ExchangePtr> waiting;
  std::vector<std::shared_ptr<Connection>> connections;  // all, the idle ones included
  std::vector<std::shared_ptr<Connection>> idle;
  size_t connecting = 0;
  uint64_t opened = 0;
  uint64_t replaced = 0;
};

// One read is pending from the moment of the connection to its end, whatever the phase: it takes
// the answer, notices that the peer closes an idle connection, and discards what comes after a
// close. Asking for it costs one recv that finds nothing, which a wait for the socket would not
// save.
class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  using ExchangePtr = Impl::ExchangePtr;

  explicit Connection(std::shared_ptr<Impl> impl)
      : impl(std::move(impl)), socket(this->impl->io), timer(this->impl->io) {}

  void Connect();
  // `fresh`: the connection was opened for this exchange and was never idle.
  void Start(ExchangePtr exchange, bool fresh);
  // True if the peer has closed the idle connection or has sent something. Asks the socket only if
  // that is likely, or if the next call must not be sent in vain.
  bool Stale(Time now, bool idempotent);
  // Closes the sending side, waits for the peer to close, then calls `released`.
  void BeginClose(std::function<void()> released);
  // Closes at once, without a call to the pool.
  void Abort();

 private:
  enum class Phase : uint8_t { kConnecting, kIdle, kBusy, kClosing, kClosed };

  void OnConnected(const boost::system::error_code& error);
  void Write(size_t done);
  void OnWriteFailed(const boost::system::error_code& error);
  void Read();
  void OnRead(boost::system::error_code error, size_t bytes);
  // Takes what has arrived of the answer, or the end of the connection.
  void Parse(boost::system::error_code error);
  void NewParser();
  // True if the response that is complete answers another request, and the next one may answer the
  // running exchange. Prepares for it.
  bool DiscardStray();
  void OnAnswer();
  void OnLost(const boost::system::error_code& error);
  void EndClose(bool by_peer);

  std::shared_ptr<Impl> impl;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;  // limits connecting and closing
  Phase phase = Phase::kConnecting;
  bool sent = false;     // at least one byte of the request was written
  bool written = false;  // the whole request was written without an error
  int strays = 0;        // discarded in the running exchange
  bool fresh = false;    // the running exchange is the reason for this connection
  ExchangePtr exchange;  // set exactly in kBusy
  std::string request;   // the bytes of the running exchange
  std::array<char, kReadBytes> incoming;
  boost::beast::flat_buffer buffer;  // arrived and not parsed yet
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
  Time idle_since{};
  Duration idle_limit{0};  // after which the peer closes an idle connection; 0: not known
  std::function<void()> released;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_HTTP_CLIENT_IMPL_H_
