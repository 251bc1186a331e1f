// The connection pool: calls wait in order, idle connections are reused newest first.
#include "http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "address.h"
#include "http_beast.h"
#include "socket_options.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

// Pause before a kept connection is opened again after a failure.
constexpr Duration kReopenTime = Millis(200);
// One read; most answers fit.
constexpr size_t kReadBytes = 4'096;

// A connection that has been idle for less than this share of the peer's limit is used unchecked.
constexpr double kCheckShare = 0.5;
// Of a peer's limit on idle connections, in seconds; longer ones are of no use here.
constexpr int64_t kLongestIdleLimit = 3'600;

// The time after which the peer closes an idle connection, from "Keep-Alive: timeout=5"; 0 if it
// does not say.
Duration IdleLimitOf(const HttpResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = response.Header("keep-alive");
  const size_t begin = value.find(kTimeout);
  if (begin == std::string_view::npos) return Duration(0);
  const std::string_view digits = value.substr(begin + kTimeout.size());
  int64_t seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) return Duration(0);
  return Seconds(std::min(seconds, kLongestIdleLimit));
}

bool ClosedByPeer(const error_code& error) {
  return error == http::error::end_of_stream || error == http::error::partial_message ||
         error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe;
}

HttpClientOptions Repair(HttpClientOptions options) {
  options.connections = std::max<size_t>(options.connections, 1);
  options.warm = std::min(options.warm, options.connections);
  return options;
}

HttpFailure NotSent(std::string detail) {
  return {.error = {ErrorCode::kUnavailable, std::move(detail)}, .sent = false, .crashed = false};
}

}  // namespace

// The pool. Owns the connections and the calls.
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  // One call from Send() to `done`.
  struct Exchange {
    Exchange(asio::io_context& io, uint64_t id, HttpCall call)
        : id(id), call(std::move(call)), timer(io) {}

    uint64_t id;
    HttpCall call;
    asio::steady_timer timer;
    std::shared_ptr<Connection> connection;  // null while the call waits
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  Impl(asio::io_context& io, Address address, HttpClientOptions options)
      : io(io), address(std::move(address)), options(Repair(options)), reopen(io) {}

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
  bool Surplus() const { return this->connections.size() > this->options.connections; }
  void CountReplaced() { ++this->replaced; }
  // Calls `callback` unless it is empty or the client was destroyed.
  void Notify(const std::function<void()>& callback) const {
    if (callback && !this->closed) callback();
  }

  asio::io_context& io;
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
  asio::steady_timer reopen;
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
// close. A read that is pending costs no system call until something arrives.
class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  using ExchangePtr = Impl::ExchangePtr;

  explicit Connection(std::shared_ptr<Impl> impl)
      : impl(std::move(impl)), socket(this->impl->io), timer(this->impl->io) {}

  void Connect();
  // `fresh`: the connection was opened for this exchange and was never idle.
  void Start(ExchangePtr exchange, bool fresh);
  // Notes that nothing runs here.
  void Rest(Time now);
  // True if the peer has closed the idle connection or has sent something. Asks the socket only if
  // that is likely, or if the next call must not be sent in vain.
  bool Stale(Time now, bool repeatable);
  // Closes the sending side, waits for the peer to close, then calls `released`.
  void BeginClose(std::function<void()> released);
  // Closes at once, without a call to the pool.
  void Abort();

 private:
  enum class Phase : uint8_t { kConnecting, kIdle, kBusy, kClosing, kClosed };

  void OnConnected(const error_code& error);
  void Write(size_t done);
  void OnWriteFailed(const error_code& error);
  void Read();
  void OnRead(error_code error, size_t bytes);
  // Takes what has arrived of the answer, or the end of the connection.
  void Parse(error_code error);
  void OnAnswer();
  void OnLost(const error_code& error);
  void EndClose(bool by_peer);

  std::shared_ptr<Impl> impl;
  Tcp::socket socket;
  asio::steady_timer timer;  // limits connecting and closing
  Phase phase = Phase::kConnecting;
  bool sent = false;     // at least one byte of the request was written
  bool written = false;  // the whole request was written without an error
  bool fresh = false;    // the running exchange is the reason for this connection
  ExchangePtr exchange;  // set exactly in kBusy
  std::string request;   // the bytes of the running exchange
  std::array<char, kReadBytes> incoming;
  beast::flat_buffer buffer;  // arrived and not parsed yet
  std::optional<http::response_parser<http::string_body>> parser;
  Time idle_since{};
  Duration idle_limit{0};  // after which the peer closes an idle connection; 0: not known
  std::function<void()> released;
};

// --- Pool ---

uint64_t HttpClient::Impl::Send(HttpCall call) {
  const uint64_t id = ++this->last_id;
  auto exchange = std::make_shared<Exchange>(this->io, id, std::move(call));
  this->exchanges.emplace(id, exchange);
  exchange->timer.expires_at(exchange->call.deadline);
  exchange->timer.async_wait([self = this->shared_from_this(), exchange](const error_code& error) {
    if (!error && !self->closed) self->OnDeadline(exchange);
  });
  if (HasControlCharacter(exchange->call.request.headers)) {
    asio::post(this->io, [self = this->shared_from_this(), exchange] {
      self->FailCall(exchange, "a request header has a control character");
    });
    return id;
  }
  this->waiting.push_back(exchange);
  this->Pump();
  return id;
}

void HttpClient::Impl::Pump() {
  while (!this->waiting.empty() && !this->idle.empty()) {
    const auto connection = this->idle.back();
    this->idle.pop_back();
    if (connection->Stale(SteadyNow(), this->waiting.front()->call.repeatable)) {
      ++this->replaced;
      std::erase(this->connections, connection);
      connection->Abort();
      continue;
    }
    this->Assign(connection, /*fresh=*/false);
  }
  while (this->connecting < this->waiting.size() &&
         this->connections.size() < this->options.connections) {
    this->Open();
  }
}

void HttpClient::Impl::Open() {
  auto connection = std::make_shared<Connection>(this->shared_from_this());
  this->connections.push_back(connection);
  ++this->connecting;
  connection->Connect();
}

void HttpClient::Impl::OnConnected(const std::shared_ptr<Connection>& connection) {
  --this->connecting;
  ++this->opened;
  if (this->Surplus()) {
    connection->BeginClose({});
  } else if (this->waiting.empty()) {
    this->OnReady(connection);
  } else {
    // A peer that refuses connections may have answered already. The call takes that answer;
    // replacing the connection would repeat without end.
    this->Assign(connection, /*fresh=*/true);
  }
}

// Gives the connection to the call that has waited longest.
void HttpClient::Impl::Assign(const std::shared_ptr<Connection>& connection, bool fresh) {
  const ExchangePtr exchange = this->waiting.front();
  this->waiting.pop_front();
  exchange->connection = connection;
  connection->Start(exchange, fresh);
}

void HttpClient::Impl::OnReady(const std::shared_ptr<Connection>& connection) {
  this->idle.push_back(connection);
  this->Pump();
}

void HttpClient::Impl::OnConnectFailed(const std::shared_ptr<Connection>& connection,
                                       const std::string& why) {
  --this->connecting;
  std::erase(this->connections, connection);
  connection->Abort();
  const std::string detail = "cannot connect to " + this->address + ": " + why;
  if (this->connections.empty()) {
    this->FailWaiting(detail);
  } else if (this->waiting.size() > this->connecting) {
    const ExchangePtr first = this->waiting.front();  // FailCall() removes it from the queue
    this->FailCall(first, detail);
  }
  this->ScheduleWarm();
  if (!this->closed) this->Pump();
}

// Ends a call of which nothing was sent, unless it has ended already.
void HttpClient::Impl::FailCall(const ExchangePtr& exchange, const std::string& why) {
  if (!this->exchanges.contains(exchange->id)) return;
  this->Finish(exchange, tl::unexpected<HttpFailure>(NotSent(why)));
  this->Release(exchange);
}

// Fails the calls that wait now; calls that their callbacks add are not touched.
void HttpClient::Impl::FailWaiting(const std::string& why) {
  const std::deque<ExchangePtr> failed = std::exchange(this->waiting, {});
  for (const ExchangePtr& exchange : failed) {
    this->FailCall(exchange, why);
  }
}

void HttpClient::Impl::OnIdleClosed(const std::shared_ptr<Connection>& connection) {
  std::erase(this->idle, connection);
  std::erase(this->connections, connection);
  connection->Abort();
  this->ScheduleWarm();
  this->Pump();
}

void HttpClient::Impl::OnClosed(const std::shared_ptr<Connection>& connection, bool by_peer) {
  std::erase(this->idle, connection);
  std::erase(this->connections, connection);
  if (this->closed) return;
  this->Pump();
  // A peer that closes connections could do so at once again.
  if (by_peer) {
    this->ScheduleWarm();
  } else {
    this->KeepWarm();
  }
}

void HttpClient::Impl::Requeue(const ExchangePtr& exchange) {
  exchange->connection = nullptr;
  this->waiting.push_front(exchange);
}

void HttpClient::Impl::Finish(const ExchangePtr& exchange, HttpResult result) {
  exchange->timer.cancel();
  exchange->connection = nullptr;
  this->exchanges.erase(exchange->id);
  std::erase(this->waiting, exchange);
  if (const auto done = std::exchange(exchange->call.done, {})) done(std::move(result));
}

void HttpClient::Impl::Release(const ExchangePtr& exchange) {
  this->Notify(std::exchange(exchange->call.released, {}));
}

void HttpClient::Impl::OnDeadline(const ExchangePtr& exchange) {
  if (!this->exchanges.contains(exchange->id)) return;
  const auto connection = exchange->connection;
  if (connection == nullptr) {
    this->FailCall(exchange, "no connection to " + this->address + " in time");
    return;
  }
  connection->BeginClose(std::exchange(exchange->call.released, {}));
  this->Finish(exchange, tl::unexpected<HttpFailure>(
                             {{ErrorCode::kDeadlineExceeded, "no reply from " + this->address},
                              /*sent=*/true,
                              /*crashed=*/false}));
}

void HttpClient::Impl::Cancel(uint64_t id) {
  const auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) return;
  const ExchangePtr exchange = found->second;
  this->exchanges.erase(found);
  exchange->timer.cancel();
  exchange->call.done = {};
  auto released = std::exchange(exchange->call.released, {});
  if (const auto connection = std::exchange(exchange->connection, nullptr)) {
    connection->BeginClose(std::move(released));
    return;
  }
  std::erase(this->waiting, exchange);
  asio::post(this->io, [self = this->shared_from_this(), released = std::move(released)] {
    self->Notify(released);
  });
}

void HttpClient::Impl::SetOptions(HttpClientOptions options) {
  this->options = Repair(options);
  size_t surplus =
      this->connections.size() - std::min(this->connections.size(), this->options.connections);
  while (surplus > 0 && !this->idle.empty()) {
    const auto connection = this->idle.back();
    this->idle.pop_back();
    connection->BeginClose({});
    --surplus;
  }
  this->Pump();
  this->KeepWarm();
}

void HttpClient::Impl::KeepWarm() {
  if (this->reopen_pending || this->closed) return;
  while (this->connections.size() < this->options.warm) this->Open();
}

void HttpClient::Impl::ScheduleWarm() {
  if (this->reopen_pending || this->closed) return;
  this->reopen_pending = true;
  this->reopen.expires_after(kReopenTime);
  this->reopen.async_wait([self = this->shared_from_this()](const error_code& error) {
    if (error) return;
    self->reopen_pending = false;
    self->KeepWarm();
  });
}

void HttpClient::Impl::Shutdown() {
  this->closed = true;
  this->reopen.cancel();
  for (const auto& [id, exchange] : this->exchanges) exchange->timer.cancel();
  this->exchanges.clear();
  this->waiting.clear();
  this->idle.clear();
  for (const auto& connection : std::exchange(this->connections, {})) connection->Abort();
}

HttpClientStatus HttpClient::Impl::Status() const {
  return {.connections = this->connections.size(),
          .idle = this->idle.size(),
          .waiting = this->waiting.size(),
          .running = this->exchanges.size(),
          .opened = this->opened,
          .replaced = this->replaced};
}

// --- Connection ---

void HttpClient::Connection::Connect() {
  const Result<Endpoint> endpoint = ParseAddress(this->impl->address);
  if (!endpoint) {
    asio::post(this->impl->io, [self = this->shared_from_this(), why = endpoint.error().detail] {
      if (self->phase == Phase::kConnecting) self->impl->OnConnectFailed(self, why);
    });
    return;
  }
  this->timer.expires_after(kConnectTimeout);
  this->timer.async_wait([self = this->shared_from_this()](const error_code& error) {
    if (error || self->phase != Phase::kConnecting) return;
    self->impl->OnConnectFailed(self, "timed out");
  });
  const Tcp::endpoint where(asio::ip::make_address(endpoint->host), endpoint->port);
  this->socket.async_connect(where, [self = this->shared_from_this()](const error_code& error) {
    if (self->phase == Phase::kConnecting) self->OnConnected(error);
  });
}

void HttpClient::Connection::OnConnected(const error_code& error) {
  this->timer.cancel();
  if (error) {
    this->impl->OnConnectFailed(this->shared_from_this(), error.message());
    return;
  }
  SetSocketOptions(this->socket);
  error_code blocking;
  this->socket.non_blocking(true, blocking);
  if (blocking) {
    this->impl->OnConnectFailed(this->shared_from_this(), blocking.message());
    return;
  }
  this->phase = Phase::kIdle;
  // The request is written before the first read: a peer that has reset the connection by now then
  // shows as a failed write, of which nothing was sent.
  this->impl->OnConnected(this->shared_from_this());
  if (this->phase != Phase::kClosed) this->Read();
}

void HttpClient::Connection::Rest(Time now) {
  this->phase = Phase::kIdle;
  this->idle_since = now;
}

bool HttpClient::Connection::Stale(Time now, bool repeatable) {
  if (repeatable && now - this->idle_since < kCheckShare * this->idle_limit) return false;
  char byte = 0;
  const ssize_t got =
      ::recv(this->socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpClient::Connection::Start(ExchangePtr exchange, bool fresh) {
  this->phase = Phase::kBusy;
  this->exchange = std::move(exchange);
  this->sent = false;
  this->written = false;
  this->fresh = fresh;
  this->request = RequestText(this->exchange->call.request, this->impl->address);
  this->parser.emplace();
  this->parser->body_limit(kMaxResponseBytes);
  this->parser->eager(true);
  error_code error;
  const size_t done = this->socket.write_some(asio::buffer(this->request), error);
  if (error && error != asio::error::would_block) {
    // Callbacks must not be called from inside Send().
    asio::post(this->impl->io, [self = this->shared_from_this(), error] {
      if (self->phase == Phase::kBusy) self->OnWriteFailed(error);
    });
    return;
  }
  this->sent = done > 0;
  this->written = done == this->request.size();
  if (!this->written) this->Write(done);
}

// Writes the rest of a request that did not fit into the socket's buffer.
void HttpClient::Connection::Write(size_t done) {
  asio::async_write(this->socket, asio::buffer(this->request) + done,
                    [self = this->shared_from_this()](const error_code& error, size_t more) {
                      if (self->phase != Phase::kBusy) return;
                      self->sent = self->sent || more > 0;
                      self->written = !error;
                      // After a partial write the peer may still have answered, for example with a
                      // refusal, which the pending read takes.
                      if (error && !self->sent) self->OnWriteFailed(error);
                    });
}

// Nothing of the request was sent.
void HttpClient::Connection::OnWriteFailed(const error_code& error) {
  const auto self = this->shared_from_this();
  const ExchangePtr failed = std::exchange(this->exchange, nullptr);
  this->phase = Phase::kClosed;
  this->Abort();
  if (!this->fresh) {
    this->impl->CountReplaced();
    this->impl->Requeue(failed);
    this->impl->OnClosed(self, /*by_peer=*/true);
    return;
  }
  this->impl->OnClosed(self, /*by_peer=*/true);
  const auto released = std::exchange(failed->call.released, {});
  this->impl->Finish(failed, tl::unexpected<HttpFailure>(NotSent(error.message())));
  this->impl->Notify(released);
}

void HttpClient::Connection::Read() {
  this->socket.async_read_some(
      asio::buffer(this->incoming),
      [self = this->shared_from_this()](const error_code& error, size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void HttpClient::Connection::OnRead(error_code error, size_t bytes) {
  switch (this->phase) {
    case Phase::kIdle:
      return this->impl->OnIdleClosed(this->shared_from_this());
    case Phase::kClosing:
      return error ? this->EndClose(/*by_peer=*/false) : this->Read();
    case Phase::kBusy:
      // The write fails as well, and tells that nothing was sent.
      if (error && !this->sent) return;
      this->buffer.commit(
          asio::buffer_copy(this->buffer.prepare(bytes), asio::buffer(this->incoming, bytes)));
      return this->Parse(error);
    case Phase::kConnecting:
    case Phase::kClosed:
      return;
  }
}

void HttpClient::Connection::Parse(error_code error) {
  error_code failed;
  while (this->buffer.size() > 0 && !this->parser->is_done() && !failed) {
    this->buffer.consume(this->parser->put(this->buffer.data(), failed));
  }
  if (failed == http::error::need_more) failed = {};
  if (error == asio::error::eof && !failed && !this->parser->is_done()) {
    // An answer without a length ends with its connection.
    if (this->parser->got_some()) {
      this->parser->put_eof(failed);
    } else {
      failed = http::error::end_of_stream;
    }
  } else if (error && !failed && !this->parser->is_done()) {
    failed = error;
  }
  if (failed) return this->OnLost(failed);
  this->Read();
  if (this->parser->is_done()) this->OnAnswer();
}

void HttpClient::Connection::OnAnswer() {
  const auto self = this->shared_from_this();
  const auto pool = this->impl;
  const ExchangePtr ended = std::exchange(this->exchange, nullptr);
  auto released = std::exchange(ended->call.released, {});
  const bool interim = this->parser->get().result_int() < 200;
  const bool reusable = this->written && this->parser->get().keep_alive() && !interim &&
                        this->buffer.size() == 0 && !pool->Surplus();
  HttpResponse response = ToResponse(this->parser->release());
  this->Rest(SteadyNow());
  if (reusable) {
    this->idle_limit = IdleLimitOf(response);
    pool->OnReady(self);
  } else {
    this->BeginClose({});
  }
  pool->Finish(ended, std::move(response));
  pool->Notify(released);
}

void HttpClient::Connection::OnLost(const error_code& error) {
  const auto self = this->shared_from_this();
  const auto pool = this->impl;
  const ExchangePtr ended = std::exchange(this->exchange, nullptr);
  auto released = std::exchange(ended->call.released, {});
  this->phase = Phase::kIdle;
  const bool crashed = ClosedByPeer(error);
  HttpFailure failure{.error = {ErrorCode::kConnectionLost,
                                "exchange with " + pool->address + ": " + error.message()},
                      .sent = true,
                      .crashed = crashed};
  if (crashed) {
    this->EndClose(/*by_peer=*/true);
    pool->Finish(ended, tl::unexpected<HttpFailure>(std::move(failure)));
    pool->Notify(released);
    return;
  }
  this->BeginClose(std::move(released));
  this->Read();
  pool->Finish(ended, tl::unexpected<HttpFailure>(std::move(failure)));
}

void HttpClient::Connection::BeginClose(std::function<void()> released) {
  this->phase = Phase::kClosing;
  this->exchange = nullptr;
  this->released = std::move(released);
  error_code error;
  this->socket.shutdown(Tcp::socket::shutdown_send, error);
  this->timer.expires_after(kCloseTimeout);
  this->timer.async_wait([self = this->shared_from_this()](const error_code& cancelled) {
    if (!cancelled && self->phase == Phase::kClosing) self->EndClose(/*by_peer=*/false);
  });
}

void HttpClient::Connection::EndClose(bool by_peer) {
  const auto self = this->shared_from_this();
  const auto notify = std::exchange(this->released, {});
  this->Abort();
  this->impl->OnClosed(self, by_peer);
  this->impl->Notify(notify);
}

void HttpClient::Connection::Abort() {
  this->phase = Phase::kClosed;
  this->exchange = nullptr;
  this->released = {};
  this->timer.cancel();
  error_code ignored;
  this->socket.close(ignored);
}

// --- HttpClient ---

HttpClient::HttpClient(asio::io_context& io, Address address, HttpClientOptions options)
    : impl(std::make_shared<Impl>(io, std::move(address), options)) {
  this->impl->KeepWarm();
}

HttpClient::~HttpClient() { this->impl->Shutdown(); }

uint64_t HttpClient::Send(HttpCall call) { return this->impl->Send(std::move(call)); }

void HttpClient::Cancel(uint64_t id) { this->impl->Cancel(id); }

void HttpClient::SetOptions(HttpClientOptions options) { this->impl->SetOptions(options); }

const Address& HttpClient::PeerAddress() const { return this->impl->address; }

HttpClientStatus HttpClient::Status() const { return this->impl->Status(); }

}  // namespace peridotgauge
