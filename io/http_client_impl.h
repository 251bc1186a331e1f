// Internals of HttpClient: the pool, which assigns calls to connections, and one connection.
// Included by http_client.cc and http_connection.cc only.
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

// Size of one read; most responses fit. Smaller responses are not counted in the budget.
constexpr size_t kReadBytes = 4'096;

// Returns the failure of a call of which nothing was sent.
inline HttpFailure NotSent(std::string detail) {
  return {.error = {ErrorCode::kUnavailable, std::move(detail)}, .sent = false, .crashed = false};
}

// The connection pool. Owns the connections and the calls.
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  // A call that has not ended.
  struct Exchange {
    Exchange(boost::asio::io_context& io, uint64_t id, HttpCall call)
        : id(id), call(std::move(call)), timer(io) {}

    uint64_t id;
    HttpCall call;
    boost::asio::steady_timer timer;
    std::shared_ptr<Connection> connection;  // null while the call is queued
    // A connection that the call cannot use was closed to make room for a new one.
    bool made_room = false;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  Impl(boost::asio::io_context& io, Address address, HttpClientOptions options,
       StrayCallback on_stray, std::shared_ptr<ByteBudget> budget);

  uint64_t Send(HttpCall call);
  void Cancel(uint64_t id);
  void SetOptions(HttpClientOptions options);
  void FailQueued(const std::string& reason);
  void Shutdown();
  // Opens connections until there are `min_connections`.
  void OpenMinConnections();
  HttpClientStatus Status() const;

  // Called by connections.
  void OnConnected(const std::shared_ptr<Connection>& connection);
  void OnIdle(const std::shared_ptr<Connection>& connection);
  void OnConnectFailed(const std::shared_ptr<Connection>& connection, const std::string& reason);
  void OnIdleClosed(const std::shared_ptr<Connection>& connection);
  void OnClosed(const std::shared_ptr<Connection>& connection, bool by_peer);
  // Returns a call of which nothing was sent to the front of the queue.
  void Requeue(const ExchangePtr& exchange);
  // Ends a call and calls `done`. `released` is left to the caller of this function.
  void Finish(const ExchangePtr& exchange, HttpResult result);
  bool AboveLimit() const { return this->connections.size() > this->options.max_connections; }
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
  const std::shared_ptr<ByteBudget> budget;  // may be null

 private:
  // Assigns queued calls to idle connections, and opens connections for the rest.
  void AssignQueued();
  // Removes from `idle` the connection used last that can carry the call, and returns it. Returns
  // null if there is none.
  std::shared_ptr<Connection> TakeIdleFor(const HttpCall& call);
  void Assign(ExchangePtr exchange, const std::shared_ptr<Connection>& connection,
              bool newly_opened);
  // Closes one idle connection for each queued call, which can use none of them.
  void MakeRoom();
  void Open();
  void OnDeadline(const ExchangePtr& exchange);
  void FailCall(const ExchangePtr& exchange, const std::string& reason);
  void ScheduleReconnect();
  void Release(const ExchangePtr& exchange);

  HttpClientOptions options;
  StrayCallback on_stray;
  boost::asio::steady_timer reconnect_timer;
  bool reconnect_pending = false;
  bool closed = false;
  uint64_t last_id = 0;
  std::unordered_map<uint64_t, ExchangePtr> exchanges;
  std::deque<ExchangePtr> waiting;
  std::vector<std::shared_ptr<Connection>> connections;  // in every phase, idle included
  std::vector<std::shared_ptr<Connection>> idle;         // the one used last is at the end
  size_t connecting = 0;
  uint64_t opened = 0;
  uint64_t replaced = 0;
};

// A connection of the pool. A read is outstanding in every phase after connecting: it receives the
// response, detects that the peer closes an idle connection, and discards data that arrives while
// closing. Starting it costs one recv() that finds no data; waiting for the socket to become
// readable would not save that call.
class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  using ExchangePtr = Impl::ExchangePtr;

  explicit Connection(std::shared_ptr<Impl> impl)
      : impl(std::move(impl)), socket(this->impl->io), timer(this->impl->io) {}

  void Connect();
  // Sends the request. `newly_opened`: the connection was opened for this exchange and was never
  // idle.
  void Start(ExchangePtr exchange, bool newly_opened);
  // Returns true if the peer has closed the idle connection or has sent unexpected data. Checks the
  // socket only if the connection was idle for long or the next call is not `idempotent`.
  bool IsStale(Time now, bool idempotent);
  // Shuts down the sending side, waits for the peer to close, then calls `released`.
  void BeginClose(std::function<void()> released);
  // Closes the socket at once, without notifying the pool.
  void Abort();

 private:
  enum class Phase : uint8_t { kConnecting, kIdle, kBusy, kClosing, kClosed };

  void OnConnected(const boost::system::error_code& error);
  // Writes the rest of a request that did not fit into the socket's send buffer.
  void Write(size_t bytes_written);
  // Called if no byte of the request was sent.
  void OnWriteFailed(const boost::system::error_code& error);
  void Read();
  void OnRead(boost::system::error_code error, size_t bytes);
  // Parses the received data. `error` is that of the read, for example the end of the stream.
  void Parse(boost::system::error_code error);
  void ResetParser();
  // Counts the fields that the parser keeps, if there may be more since the last count.
  void CountFields();
  // Counts the bytes of the incomplete response in the budget.
  void CountBytes();
  // Ends the running exchange because the budget is exceeded.
  void Cut(const ExchangePtr& cut_exchange);
  // Releases large buffers of the last exchange.
  void ReleaseBuffers();
  // Returns true, and prepares the parser for the next response, if the complete response belongs
  // to another request and the next one may belong to the running exchange.
  bool DiscardStray();
  // Returns true if the complete response identifies its request, or responses do not do that.
  bool IdentifiesRequest() const;
  // Returns false if nothing shows that the complete response belongs to the running exchange.
  bool IsAttributable() const;
  void OnResponse();
  // Ends the running exchange. `reading`: a read is outstanding.
  void OnExchangeFailed(const boost::system::error_code& error, bool reading);
  void EndClose(bool by_peer);

  std::shared_ptr<Impl> impl;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;  // limits connecting and closing
  Phase phase = Phase::kConnecting;
  bool sent = false;          // at least one byte of the request was written
  bool written = false;       // the whole request was written without an error
  int strays = 0;             // responses that the running exchange has discarded
  bool reused = false;        // an earlier exchange has completed on the connection
  bool newly_opened = false;  // the connection was opened for the running exchange
  ExchangePtr exchange;       // the running exchange; set exactly in kBusy
  std::string request;        // the serialized request of the running exchange
  std::array<char, kReadBytes> read_buffer;
  boost::beast::flat_buffer buffer;  // received and not parsed yet
  size_t head_bytes = 0;       // of the response in `parser`, parsed before its head is complete
  size_t uncounted_bytes = 0;  // parsed since its fields were counted
  size_t fields = 0;           // of the response in `parser`
  bool head_counted = false;   // `fields` contains the whole head
  // Empty after an exchange, and after the budget has cut the running one.
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
  std::shared_ptr<ByteBudget::Account> kept;  // of the response in `parser`; null if it is small
  Time idle_since{};
  Duration idle_timeout{0};  // the peer closes connections idle for longer; 0: unknown
  std::function<void()> released;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_HTTP_CLIENT_IMPL_H_
