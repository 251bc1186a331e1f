// One Connection per socket, each with at most one outstanding read.
#include "io/http_server.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <limits>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

#include "core/address.h"
#include "core/caller_api.h"
#include "io/clock.h"
#include "io/http_beast.h"
#include "io/socket_options.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

// Bytes read ahead while a request runs. More is read after its response is written.
constexpr size_t kReadBytes = 4'096;
// Time for which data is read and discarded after the last response. Closing a socket with unread
// data resets the connection, and the caller could lose the error response.
constexpr Duration kLingerTimeout = Seconds(1);
// Time that Stop() allows for the first request of a connection that was just accepted.
constexpr Duration kFirstRequestTimeout = Seconds(1);
// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr Duration kAcceptRetryDelay = Millis(100);
// Connections accepted in one pass of the event loop. With one, a pass runs more requests of a
// crowd than it accepts, and an ordinary caller waits until all that connected before it were
// served.
constexpr size_t kAcceptBatch = 32;
// Number of connections above the limit that receive an error response at the same time. Further
// ones are closed without one.
constexpr size_t kMaxRefusedConnections = 64;

// Bytes in one read of the rest of a request.
constexpr size_t kReceiveBytes = 16'384;
// What a connection keeps without a request: the socket, the timer, and a read ahead.
constexpr size_t kConnectionBytes = 8'192;
// What a request in the handler keeps for each field of its header, in addition to copies of its
// text: the names and values of the request, and of a request to a target.
constexpr size_t kFieldBytes = 2 * sizeof(HttpHeader);
// Copies of the text of a header, and of a body, that a request in the handler may keep: its own,
// and two of an attempt at a target.
constexpr size_t kTextCopies = 3;
// Time after which a request that was refused for want of room may come again, in seconds. Requests
// in the handler take about as long.
constexpr char kRetryAfter[] = "0.200";
constexpr unsigned kFieldsTooLargeStatus = 431;
// Time between two lines in the log about refusals and closed connections of the same kind.
constexpr int kLogPeriod = 1'000;

// Returns the error response to a request that could not be read.
Error ErrorOf(const error_code& error, const HttpServerLimits& limits) {
  if (error == http::error::body_limit) {
    return {ErrorCode::kTooLarge,
            "request body exceeds " + std::to_string(limits.max_body_bytes) + " bytes"};
  }
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return {ErrorCode::kTooLarge,
            "request header exceeds " + std::to_string(limits.max_header_bytes) + " bytes"};
  }
  return {ErrorCode::kBadRequest, "malformed HTTP request: " + error.message()};
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context& io, Handler handler, HttpServerLimits limits)
      : io(io),
        acceptor(io),
        accept_retry(io),
        handler(std::move(handler)),
        limits(std::move(limits)) {}

  Result<void> Bind(const Address& address);
  void Accept();
  void Drain() { this->draining = true; }
  void Stop(std::function<void()> callback);
  void Close();
  void Remove(const std::shared_ptr<Connection>& connection);

  bool Closing() const { return this->draining || this->stopping; }
  // Returns the number of connections that count against the limit.
  size_t CountedConnections() const { return this->connections.size() - this->refused_open; }
  // Connections that receive an error response take descriptors beyond those of the room.
  size_t MaxRefusedConnections() const {
    if (!this->limits.room) return kMaxRefusedConnections;
    return std::min(kMaxRefusedConnections, this->limits.room->Limits().connections / 16);
  }

  asio::io_context& io;
  Tcp::acceptor acceptor;
  asio::steady_timer accept_retry;
  Handler handler;
  const HttpServerLimits limits;
  HttpServerStatus status;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  size_t refused_open = 0;  // connections in the set that are refused because of the limit
  bool draining = false;
  bool stopping = false;
  bool closed = false;

 private:
  void OnAccept(Tcp::socket socket);
  // Accepts up to `most` connections that wait, without waiting for one.
  void AcceptPending(size_t most);
  // Closes the connections that are idle.
  void StopIdle();
  void NotifyStopped();

  std::function<void()> on_stopped;
};

// State that the copies of a responder share.
struct HttpResponder::State {
  ~State();
  void Disconnect();

  std::weak_ptr<HttpServer::Connection> connection;
  bool answered = false;
  bool disconnected = false;
  std::function<void()> on_disconnect;
};

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  Connection(std::shared_ptr<Impl> impl, Tcp::socket socket)
      : impl(std::move(impl)), socket(std::move(socket)), timer(this->impl->io) {}

  // Takes a place in the room. Returns false if there is none.
  bool Join();
  // Waits for the first or next request.
  void AwaitRequest();
  // Responds with an error and closes the connection.
  void Refuse(const Error& error);
  void Refuse(HttpResponse answer);
  // Refuses a connection above the limit.
  void RefuseConnection();
  // Sends the response to the running request.
  void Respond(HttpResponse response);
  // Closes the connection if it is idle. A new connection is given kFirstRequestTimeout to send its
  // first request.
  void BeginStop();
  void Close();
  // Returns the time since the last bytes were received, read or not; 0 if it is not known.
  Duration SinceReceived();

  bool refused = false;  // above the limit, and not counted against it

 private:
  enum class Phase : uint8_t { kIdle, kReceiving, kRunning, kWriting, kLingering, kClosed };
  using Parser = http::request_parser<http::string_body>;

  void ReadAhead();
  void OnReadAhead(const error_code& error, size_t bytes);
  void Receive();
  void ReceiveMore();
  void OnReceived(error_code error, size_t bytes);
  // Parses what has arrived, and reads more or runs the request.
  void Parse();
  // Returns false if the body does not follow yet, or the request was refused.
  bool OnHead();
  // Counts what the incomplete request keeps. Returns false if it was refused.
  bool KeepPartialRequest();
  // Counts what the request keeps in the handler. Returns false if it was refused.
  bool KeepRunningRequest(const HttpRequest& request);
  // Counts what is kept without a request. Keeps the connection in the order of closing.
  void KeepIdle();
  void RefuseForRoom(const std::string& detail);
  size_t FieldCount() const;
  // Counts the body in the budget. Returns false if it does not fit.
  bool ReserveBody();
  void OnRequest(const error_code& error);
  void Run();
  // Counts an answer that is to be written in the budget.
  void KeepResponse(HttpResponse& answer);
  void Write(HttpResponse response, bool keep_alive);
  void WriteMore(bool keep_alive);
  void OnWritten(const error_code& error, bool keep_alive);
  void Linger();
  void Discard();
  void StartTimer(Duration duration);
  void OnTimer();

  using Serializer = http::response_serializer<http::string_body>;

  std::shared_ptr<Impl> impl;
  Tcp::socket socket;
  asio::steady_timer timer;
  Phase phase = Phase::kIdle;
  beast::flat_buffer buffer;   // limited, because a chunk header or a trailer may have no end
  bool reading_ahead = false;  // a read of ReadAhead() is outstanding; `buffer` is empty then
  std::optional<Parser> parser;
  std::weak_ptr<HttpResponder::State> responder;  // of the running request
  BeastResponse response;
  std::optional<Serializer> serializer;                // of `response`, while it is being written
  std::unique_ptr<CallerRoom::Member> member;          // null without a room
  std::shared_ptr<ByteBudget::Account> kept_request;   // of a body that is not small
  std::shared_ptr<ByteBudget::Account> kept_response;  // of a large answer that is being written
  std::unique_ptr<std::array<char, kReadBytes>> discarded;  // set while lingering
  uint64_t requests = 0;
  size_t fields = 0;           // of the request that is being received
  size_t uncounted_bytes = 0;  // of its header, parsed since its fields were counted
  bool keep_alive = false;
  bool head_complete = false;  // of the request that is being received
  bool head_only = false;      // the running request is a HEAD request
  bool peer_closed = false;    // the caller has shut down its sending side
};

// --- Impl ---

Result<void> HttpServer::Impl::Bind(const Address& address) {
  const Result<Endpoint> endpoint = ParseListenAddress(address);
  if (!endpoint) return tl::unexpected<Error>(endpoint.error());
  const Tcp::endpoint local(asio::ip::make_address(endpoint->host), endpoint->port);
  error_code error = OpenListener(this->acceptor, local);
  if (!error) this->acceptor.non_blocking(true, error);
  if (error) {
    return Fail(ErrorCode::kUnavailable, "cannot bind " + address + ": " + error.message());
  }
  return {};
}

void HttpServer::Impl::Accept() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](const error_code& error, Tcp::socket socket) {
        if (self->closed) return;
        if (!error) self->OnAccept(std::move(socket));
        if (self->stopping) {
          // A connection that was accepted before Stop() and is reported after it is served like
          // those that Stop() accepts: its caller may have sent a request.
          if (!error) self->StopIdle();
          return;
        }
        if (!error) {
          self->AcceptPending(kAcceptBatch - 1);
          return self->Accept();
        }
        LOG(WARNING) << "http: cannot accept a connection, retrying: " << error.message();
        self->accept_retry.expires_after(kAcceptRetryDelay);
        self->accept_retry.async_wait([self](const error_code& cancelled) {
          if (!cancelled && !self->closed && !self->stopping) self->Accept();
        });
      });
}

void HttpServer::Impl::OnAccept(Tcp::socket socket) {
  const bool refuse =
      !this->limits.room && this->CountedConnections() >= this->limits.max_connections;
  if (refuse) {
    ++this->status.refused_connections;
    if (this->refused_open >= this->MaxRefusedConnections()) return;
  }
  SetSocketOptions(socket);
  auto connection = std::make_shared<Connection>(this->shared_from_this(), std::move(socket));
  this->connections.insert(connection);
  if (!refuse && connection->Join()) {
    connection->AwaitRequest();
    return;
  }
  if (!refuse) {
    ++this->status.refused_connections;
    if (this->refused_open >= this->MaxRefusedConnections()) return connection->Close();
  }
  connection->refused = true;
  ++this->refused_open;
  connection->RefuseConnection();
}

void HttpServer::Impl::AcceptPending(size_t most) {
  for (size_t accepted = 0; accepted < most; ++accepted) {
    error_code error;
    Tcp::socket socket(this->io);
    this->acceptor.accept(socket, error);
    // async_accept() reports other errors than that no connection waits.
    if (error) return;
    this->OnAccept(std::move(socket));
  }
}

void HttpServer::Impl::Stop(std::function<void()> callback) {
  this->on_stopped = std::move(callback);
  if (!this->stopping && !this->closed) {
    // Accepts the connections in the backlog, whose callers may already have sent a request.
    this->AcceptPending(std::numeric_limits<size_t>::max());
    this->stopping = true;
    error_code error;
    this->acceptor.close(error);
    this->accept_retry.cancel();
  }
  this->StopIdle();
  this->NotifyStopped();
}

void HttpServer::Impl::StopIdle() {
  const auto open_connections = this->connections;
  for (const auto& connection : open_connections) connection->BeginStop();
}

void HttpServer::Impl::NotifyStopped() {
  if (!this->connections.empty() || !this->on_stopped) return;
  // The report of a connection that was accepted before may still be queued.
  asio::post(this->io, [self = this->shared_from_this()] {
    if (!self->connections.empty() || !self->on_stopped) return;
    std::exchange(self->on_stopped, {})();
  });
}

void HttpServer::Impl::Close() {
  this->closed = true;
  error_code ignored;
  this->acceptor.close(ignored);
  this->accept_retry.cancel();
  const auto open_connections = this->connections;
  for (const auto& connection : open_connections) connection->Close();
}

void HttpServer::Impl::Remove(const std::shared_ptr<Connection>& connection) {
  if (this->connections.erase(connection) == 0) return;
  if (connection->refused) --this->refused_open;
  if (this->stopping) this->NotifyStopped();
}

// --- Connection ---

bool HttpServer::Connection::Join() {
  const std::shared_ptr<CallerRoom>& room = this->impl->limits.room;
  if (!room) return true;
  const Time now = SteadyNow();
  this->member = std::make_unique<CallerRoom::Member>(room, now, [this] {
    LOG_EVERY_N(WARNING, kLogPeriod)
        << "http: closing connections that make no progress, because there is no room for more";
    this->Close();
  });
  if (room->MakeRoom(*this->member) && this->member->Keep(now, kConnectionBytes)) return true;
  this->member = nullptr;
  return false;
}

void HttpServer::Connection::KeepIdle() {
  if (!this->reading_ahead && this->buffer.capacity() > kReadBytes) this->buffer.shrink_to_fit();
  if (!this->member) return;
  const Time now = SteadyNow();
  this->member->OnComplete(now);
  this->member->AllowClose(true);
  this->member->Keep(now, kConnectionBytes + this->buffer.capacity());
}

void HttpServer::Connection::AwaitRequest() {
  if (this->peer_closed) {
    this->Close();
    return;
  }
  this->phase = Phase::kIdle;
  this->StartTimer(this->impl->limits.idle_timeout);
  if (this->buffer.size() > 0) {
    this->Receive();
  } else {
    this->ReadAhead();
  }
}

// Reads the first bytes of the next request. While a request runs, the same read detects that the
// caller disconnects.
void HttpServer::Connection::ReadAhead() {
  if (this->reading_ahead || this->buffer.size() > 0) return;
  this->reading_ahead = true;
  this->socket.async_read_some(
      this->buffer.prepare(kReadBytes),
      [self = this->shared_from_this()](const error_code& error, size_t bytes) {
        self->OnReadAhead(error, bytes);
      });
}

void HttpServer::Connection::OnReadAhead(const error_code& error, size_t bytes) {
  this->reading_ahead = false;
  if (this->phase == Phase::kClosed || this->phase == Phase::kLingering) return;
  this->buffer.commit(bytes);
  if (this->member) this->member->OnProgress(SteadyNow(), bytes);
  if (!error) {
    if (this->phase == Phase::kIdle) this->Receive();
    return;
  }
  this->peer_closed = true;
  if (this->phase == Phase::kIdle || error != asio::error::eof) {
    this->Close();
    return;
  }
  if (const auto state = this->responder.lock()) state->Disconnect();
}

void HttpServer::Connection::Receive() {
  this->phase = Phase::kReceiving;
  this->StartTimer(this->impl->limits.request_timeout);
  this->parser.emplace();
  this->head_complete = false;
  this->fields = 0;
  this->uncounted_bytes = 0;
  this->buffer.max_size(this->impl->limits.max_header_bytes + kReadBytes);
  this->parser->header_limit(static_cast<uint32_t>(this->impl->limits.max_header_bytes));
  this->parser->body_limit(this->impl->limits.max_body_bytes);
  this->Parse();
}

// Each part is parsed as soon as it is received, and the request run in the same step: requests
// that wait for their turn in the event loop would all be kept parsed, at a multiple of their size.
void HttpServer::Connection::Parse() {
  while (!this->parser->is_done()) {
    if (this->buffer.size() == 0) break;
    error_code error;
    const size_t parsed = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(parsed);
    this->uncounted_bytes += parsed;
    if (error == http::error::need_more) break;
    if (error) return this->OnRequest(error);
    if (!this->head_complete && this->parser->is_header_done() && !this->OnHead()) return;
  }
  if (!this->KeepPartialRequest()) return;
  if (this->parser->is_done()) return this->Run();
  this->ReceiveMore();
}

void HttpServer::Connection::ReceiveMore() {
  const size_t size = std::min(kReceiveBytes, this->buffer.max_size() - this->buffer.size());
  if (size == 0) return this->OnRequest(http::error::buffer_overflow);
  this->socket.async_read_some(
      this->buffer.prepare(std::min(size, this->head_complete ? kReceiveBytes : kReadBytes)),
      [self = this->shared_from_this()](const error_code& error, size_t bytes) {
        self->OnReceived(error, bytes);
      });
}

void HttpServer::Connection::OnReceived(error_code error, size_t bytes) {
  if (this->phase != Phase::kReceiving) return;
  this->buffer.commit(bytes);
  if (this->member) this->member->OnProgress(SteadyNow(), bytes);
  if (error == asio::error::eof) {
    error = http::error::end_of_stream;
    if (this->parser->got_some()) {
      error = {};
      this->parser->put_eof(error);
    }
  }
  if (error) return this->OnRequest(error);
  this->Parse();
}

size_t HttpServer::Connection::FieldCount() const {
  const auto& head = this->parser->get();
  return static_cast<size_t>(std::distance(head.begin(), head.end()));
}

bool HttpServer::Connection::KeepPartialRequest() {
  // Counted while the header arrives, because the parser keeps the fields of an incomplete one, and
  // once more at the end, because a trailer adds fields. Counting at each read would take long for
  // bodies that arrive byte by byte after thousands of fields.
  if (this->parser->is_done() || (!this->head_complete && this->uncounted_bytes >= kRecountBytes)) {
    this->fields = this->FieldCount();
    this->uncounted_bytes = 0;
  }
  if (this->fields > this->impl->limits.max_header_fields) {
    HttpResponse response =
        ErrorResponse({ErrorCode::kTooLarge,
                       "request header has more than " +
                           std::to_string(this->impl->limits.max_header_fields) + " fields"},
                      "");
    response.status = kFieldsTooLargeStatus;
    this->Refuse(std::move(response));
    return false;
  }
  if (!this->member) return true;
  const size_t bytes = kConnectionBytes + this->buffer.capacity() +
                       this->fields * kParsedFieldBytes + this->parser->get().body().capacity();
  if (this->member->Keep(SteadyNow(), bytes)) return true;
  this->RefuseForRoom("too many bytes of requests are held");
  return false;
}

bool HttpServer::Connection::KeepRunningRequest(const HttpRequest& request) {
  if (!this->member) return true;
  size_t text = request.body.capacity();
  for (const HttpHeader& header : request.headers) {
    text += header.name.size() + header.value.size();
  }
  const size_t bytes = kConnectionBytes + this->buffer.capacity() +
                       request.headers.size() * kFieldBytes + kTextCopies * text;
  if (!this->member->Keep(SteadyNow(), bytes)) {
    this->RefuseForRoom("too many bytes of requests are held");
    return false;
  }
  this->member->OnComplete(SteadyNow());
  this->member->AllowClose(false);
  return true;
}

bool HttpServer::Connection::OnHead() {
  this->head_complete = true;
  this->fields = this->FieldCount();
  if (!this->ReserveBody()) {
    this->RefuseForRoom("too many bytes of request bodies are held");
    return false;
  }
  this->parser->eager(true);
  const auto expect = this->parser->get()[http::field::expect];
  if (!beast::iequals(expect, "100-continue")) return true;
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(this->socket, asio::buffer(kContinue),
                    [self = this->shared_from_this()](const error_code& failed, size_t) {
                      if (self->phase != Phase::kReceiving) return;
                      if (failed) {
                        self->Close();
                      } else {
                        self->Parse();
                      }
                    });
  return false;
}

bool HttpServer::Connection::ReserveBody() {
  const std::shared_ptr<ByteBudget>& budget = this->impl->limits.request_bytes;
  const size_t longest = this->impl->limits.max_body_bytes;
  const auto announced = this->parser->content_length();
  const size_t bytes = announced                 ? std::min<uint64_t>(*announced, longest)
                       : this->parser->chunked() ? longest
                                                 : 0;
  if (!budget || bytes <= kReadBytes) return true;
  if (!budget->Fits(bytes)) return false;
  this->kept_request = std::make_shared<ByteBudget::Account>(budget);
  this->kept_request->Set(bytes);
  return true;
}

void HttpServer::Connection::OnRequest(const error_code& error) {
  if (error == http::error::end_of_stream || error == asio::error::connection_reset ||
      error == asio::error::broken_pipe) {
    this->Close();
  } else {
    this->Refuse(ErrorOf(error, this->impl->limits));
  }
}

void HttpServer::Connection::Run() {
  this->keep_alive = this->parser->get().keep_alive();
  this->head_only = this->parser->get().method() == http::verb::head;
  HttpRequest request = ToRequest(this->parser->release());
  if (!this->KeepRunningRequest(request)) return;
  this->phase = Phase::kRunning;
  this->timer.cancel();
  ++this->requests;
  ++this->impl->status.requests;
  ++this->impl->status.running;
  if (this->kept_request) this->kept_request->Set(request.body.capacity());
  HttpResponder responder;
  responder.state = std::make_shared<HttpResponder::State>();
  responder.state->connection = this->weak_from_this();
  this->responder = responder.state;
  this->ReadAhead();
  try {
    this->impl->handler(std::move(request), std::move(responder));
  } catch (const std::exception& failure) {
    LOG(ERROR) << "http: request handler threw an exception: " << failure.what();
  }
}

void HttpServer::Connection::Respond(HttpResponse response) {
  if (this->phase != Phase::kRunning) return;
  --this->impl->status.running;
  this->Write(std::move(response), this->keep_alive && !this->impl->Closing());
}

void HttpServer::Connection::Refuse(const Error& error) { this->Refuse(ErrorResponse(error, "")); }

void HttpServer::Connection::Refuse(HttpResponse answer) {
  if (!this->refused) ++this->impl->status.refused_requests;
  this->parser.reset();
  this->head_only = false;
  this->Write(std::move(answer), false);
}

void HttpServer::Connection::RefuseForRoom(const std::string& detail) {
  LOG_EVERY_N(WARNING, kLogPeriod) << "http: refusing requests: " << detail;
  HttpResponse answer = ErrorResponse({ErrorCode::kOverloaded, detail}, "");
  answer.headers.push_back({"Retry-After", kRetryAfter});
  this->Refuse(std::move(answer));
}

void HttpServer::Connection::RefuseConnection() {
  const HttpServerLimits& limits = this->impl->limits;
  const size_t most = limits.room ? limits.room->Limits().connections : limits.max_connections;
  this->RefuseForRoom("the server has reached its limit of " + std::to_string(most) +
                      " connections");
}

void HttpServer::Connection::Write(HttpResponse response, bool keep_alive) {
  this->phase = Phase::kWriting;
  this->StartTimer(this->impl->limits.write_timeout);
  this->kept_request = nullptr;
  this->KeepIdle();
  this->KeepResponse(response);
  this->response = ToBeastResponse(std::move(response), keep_alive, this->head_only);
  this->serializer.emplace(this->response);
  this->WriteMore(keep_alive);
}

// Writes in steps, so that the room sees which callers read.
void HttpServer::Connection::WriteMore(bool keep_alive) {
  http::async_write_some(
      this->socket, *this->serializer,
      [self = this->shared_from_this(), keep_alive](const error_code& error, size_t bytes) {
        if (self->phase != Phase::kWriting) return;
        if (self->member) self->member->OnProgress(SteadyNow(), bytes);
        if (!error && !self->serializer->is_done()) return self->WriteMore(keep_alive);
        self->OnWritten(error, keep_alive);
      });
}

void HttpServer::Connection::KeepResponse(HttpResponse& answer) {
  const std::shared_ptr<ByteBudget>& budget = this->impl->limits.response_bytes;
  this->kept_response = std::move(answer.kept);
  const size_t bytes = KeptBytes(answer);
  if (!budget || bytes <= kReadBytes) return;
  if (!this->kept_response) this->kept_response = std::make_shared<ByteBudget::Account>(budget);
  this->kept_response->AllowCut(this, ByteBudget::CutOrder::kLast, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    asio::post(self->impl->io, [self, requests = self->requests] {
      if (self->phase != Phase::kWriting || self->requests != requests) return;
      LOG(WARNING) << "http: closing a connection before its answer is complete: the answers that "
                      "wait for their callers exceed the memory for them";
      self->Close();
    });
  });
  this->kept_response->Set(bytes);
}

void HttpServer::Connection::OnWritten(const error_code& error, bool keep_alive) {
  this->kept_response = nullptr;
  this->serializer.reset();
  // The assignment of an empty string would keep the memory of the body, uncounted, until the next
  // answer.
  std::string().swap(this->response.body());
  this->response = {};
  if (error) {
    this->Close();
  } else if (keep_alive) {
    if (this->member) this->member->OnComplete(SteadyNow());
    this->AwaitRequest();
    if (this->impl->stopping) this->BeginStop();
  } else {
    this->Linger();
  }
}

// Shuts down the sending side and discards what the caller still sends, so that the caller can read
// the response before the connection closes.
void HttpServer::Connection::Linger() {
  this->phase = Phase::kLingering;
  error_code error;
  this->socket.shutdown(Tcp::socket::shutdown_send, error);
  if (error || this->peer_closed) {
    this->Close();
    return;
  }
  this->StartTimer(kLingerTimeout);
  this->discarded = std::make_unique<std::array<char, kReadBytes>>();
  this->Discard();
}

void HttpServer::Connection::Discard() {
  this->socket.async_read_some(asio::buffer(*this->discarded),
                               [self = this->shared_from_this()](const error_code& error, size_t) {
                                 if (self->phase != Phase::kLingering) return;
                                 if (error) {
                                   self->Close();
                                 } else {
                                   self->Discard();
                                 }
                               });
}

void HttpServer::Connection::BeginStop() {
  if (this->phase != Phase::kIdle) return;
  error_code error;
  if (this->buffer.size() > 0 || this->socket.available(error) > 0) return;
  if (this->requests == 0 && !error) {
    this->StartTimer(std::min(kFirstRequestTimeout, this->impl->limits.idle_timeout));
  } else {
    this->Close();
  }
}

void HttpServer::Connection::Close() {
  if (this->phase == Phase::kClosed) return;
  if (this->phase == Phase::kRunning) --this->impl->status.running;
  this->phase = Phase::kClosed;
  this->kept_request = nullptr;
  this->kept_response = nullptr;
  this->member = nullptr;
  this->timer.cancel();
  error_code ignored;
  this->socket.close(ignored);
  const auto self = this->shared_from_this();
  this->impl->Remove(self);
  if (const auto state = this->responder.lock()) state->Disconnect();
}

Duration HttpServer::Connection::SinceReceived() {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed =
      ::getsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failed != 0 ? Duration(0) : Millis(info.tcpi_last_data_recv);
}

void HttpServer::Connection::StartTimer(Duration duration) {
  this->timer.expires_after(duration);
  this->timer.async_wait([self = this->shared_from_this()](const error_code& cancelled) {
    // The handler of an expired wait may run after the timer was armed again with a later expiry.
    if (!cancelled && self->timer.expiry() <= std::chrono::steady_clock::now()) self->OnTimer();
  });
}

void HttpServer::Connection::OnTimer() {
  if (this->phase != Phase::kReceiving) {
    if (this->phase != Phase::kRunning) this->Close();
    return;
  }
  error_code ignored;
  this->socket.cancel(ignored);
  this->Refuse({ErrorCode::kBadRequest,
                "request was not received completely within " +
                    std::to_string(ToMillis(this->impl->limits.request_timeout)) + " ms"});
}

// --- HttpResponder ---

HttpResponder::State::~State() {
  if (this->answered) return;
  if (const auto open = this->connection.lock()) {
    open->Respond(
        ErrorResponse({ErrorCode::kInternal, "request handler sent no response"}, "", false));
  }
}

void HttpResponder::State::Disconnect() {
  if (this->disconnected || this->answered) return;
  this->disconnected = true;
  if (const auto callback = std::exchange(this->on_disconnect, {})) callback();
}

void HttpResponder::Send(HttpResponse response) const {
  if (!this->state || std::exchange(this->state->answered, true)) return;
  this->state->on_disconnect = {};
  if (const auto open = this->state->connection.lock()) open->Respond(std::move(response));
}

void HttpResponder::OnDisconnect(std::function<void()> callback) const {
  if (!this->state || this->state->answered || this->state->disconnected) return;
  this->state->on_disconnect = std::move(callback);
}

bool HttpResponder::Connected() const { return this->state && !this->state->disconnected; }

Duration HttpResponder::SinceReceived() const {
  const auto open = this->state ? this->state->connection.lock() : nullptr;
  return open ? open->SinceReceived() : Duration(0);
}

// --- HttpServer ---

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

HttpServer::~HttpServer() { this->impl->Close(); }

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(asio::io_context& io, const Address& address,
                                                       Handler handler, HttpServerLimits limits) {
  auto impl = std::make_shared<Impl>(io, std::move(handler), std::move(limits));
  const Result<void> bound = impl->Bind(address);
  if (!bound) return tl::unexpected<Error>(bound.error());
  impl->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::Drain() { this->impl->Drain(); }

void HttpServer::Stop(std::function<void()> callback) { this->impl->Stop(std::move(callback)); }

void HttpServer::Close() { this->impl->Close(); }

uint16_t HttpServer::Port() const {
  error_code error;
  const Tcp::endpoint bound = this->impl->acceptor.local_endpoint(error);
  return error ? 0 : bound.port();
}

HttpServerStatus HttpServer::Status() const {
  HttpServerStatus status = this->impl->status;
  status.connections = this->impl->connections.size();
  return status;
}

}  // namespace peridotgauge
