// One connection of the pool: connecting, one exchange at a time, closing.
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <string_view>

#include "core/address.h"
#include "io/clock.h"
#include "io/http_beast.h"
#include "io/http_client_impl.h"
#include "io/socket_options.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

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

}  // namespace

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

bool HttpClient::Connection::Stale(Time now, bool idempotent) {
  if (idempotent && now - this->idle_since < kCheckShare * this->idle_limit) return false;
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
  this->request = SerializeRequest(this->exchange->call.request, this->impl->address);
  this->strays = 0;
  this->NewParser();
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
    if (!failed && this->parser->is_done() && this->DiscardStray()) continue;
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

void HttpClient::Connection::NewParser() {
  this->parser.emplace();
  this->parser->body_limit(kMaxResponseBytes);
  this->parser->eager(true);
}

bool HttpClient::Connection::DiscardStray() {
  const std::shared_ptr<const HttpHeader>& echo = this->exchange->call.echo;
  if (!echo || this->strays == kMaxStrays || !this->parser->keep_alive()) return false;
  const auto found = this->parser->get().find(echo->name);
  if (found == this->parser->get().end() || found->value() == echo->value) return false;
  ++this->strays;
  this->impl->OnStray(*echo, {found->value().data(), found->value().size()});
  this->NewParser();
  return true;
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
  this->phase = Phase::kIdle;
  if (reusable) {
    this->idle_since = SteadyNow();
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

}  // namespace peridotgauge
