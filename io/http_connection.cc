// One connection of the pool: connects, runs one exchange at a time, closes.
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <iterator>
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

// An idempotent request reuses a connection without a check if it was idle for less than this share
// of the peer's idle timeout.
constexpr double kUncheckedIdleShare = 0.5;
// Upper bound on the idle timeout taken from a peer, in seconds. Longer ones are not needed here.
constexpr int64_t kMaxIdleTimeoutSeconds = 3'600;

// Returns the peer's idle timeout from a header such as "Keep-Alive: timeout=5", or 0 if there is
// none.
Duration IdleTimeoutOf(const HttpResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = response.Header("keep-alive");
  const size_t begin = value.find(kTimeout);
  if (begin == std::string_view::npos) return Duration(0);
  const std::string_view digits = value.substr(begin + kTimeout.size());
  int64_t seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) return Duration(0);
  return Seconds(std::min(seconds, kMaxIdleTimeoutSeconds));
}

// Returns true if the text contains the beginning of a status line, such as "HTTP/1.1 200".
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::string_view kDigits = "0123456789";
  const size_t found = text.find(kVersion);
  if (found == std::string_view::npos) return false;
  text.remove_prefix(found + kVersion.size());
  return text.size() >= 3 && kDigits.find(text[0]) != std::string_view::npos && text[1] == ' ' &&
         kDigits.find(text[2]) != std::string_view::npos;
}

// Returns true if the head consists of the heads of two responses: the beginning of one that was
// cut off, and the next one. Its status and headers then belong to different requests.
bool IsJoinedHead(const http::response<http::string_body>& response) {
  return ContainsStatusLine({response.reason().data(), response.reason().size()}) ||
         std::any_of(response.begin(), response.end(), [](const auto& field) {
           return ContainsStatusLine({field.value().data(), field.value().size()});
         });
}

// Returns true for the status of an answer. A response with a status below 200 announces another
// response; HTTP has no statuses above 599.
bool IsFinalStatus(unsigned status) {
  constexpr unsigned kMinFinalStatus = 200;
  constexpr unsigned kMaxFinalStatus = 599;
  return status >= kMinFinalStatus && status <= kMaxFinalStatus;
}

// Returns true if a line of the head begins with a blank. The parser joins it to the line before. A
// target that does not mean to continue that line has sent a field whose name begins with a blank.
// `parsed`: lines of a head from the beginning of a line, and what follows the head if it ends.
bool HasFoldedLine(std::string_view parsed) {
  constexpr std::string_view kLineEnd = "\r\n";
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  if (parsed.starts_with(kLineEnd)) return false;
  const std::string_view head = parsed.substr(0, parsed.find(kHeadEnd));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

bool IsCloseByPeer(const error_code& error) {
  return error == http::error::end_of_stream || error == http::error::partial_message ||
         error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe;
}

}  // namespace

void HttpClient::Connection::Connect() {
  const Result<Endpoint> endpoint = ParseAddress(this->impl->address);
  if (!endpoint) {
    asio::post(this->impl->io, [self = this->shared_from_this(), reason = endpoint.error().detail] {
      if (self->phase == Phase::kConnecting) self->impl->OnConnectFailed(self, reason);
    });
    return;
  }
  this->timer.expires_after(kConnectTimeout);
  this->timer.async_wait([self = this->shared_from_this()](const error_code& error) {
    if (error || self->phase != Phase::kConnecting) return;
    self->impl->OnConnectFailed(self, "timed out");
  });
  const Tcp::endpoint remote(asio::ip::make_address(endpoint->host), endpoint->port);
  this->socket.async_connect(remote, [self = this->shared_from_this()](const error_code& error) {
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
  error_code option_error;
  this->socket.non_blocking(true, option_error);
  if (option_error) {
    this->impl->OnConnectFailed(this->shared_from_this(), option_error.message());
    return;
  }
  this->phase = Phase::kIdle;
  // This writes the request before the first read, so that a connection that the peer has already
  // reset fails in the write, which proves that nothing was sent.
  this->impl->OnConnected(this->shared_from_this());
  if (this->phase != Phase::kClosed) this->Read();
}

bool HttpClient::Connection::IsStale(Time now, bool idempotent) {
  if (idempotent && now - this->idle_since < kUncheckedIdleShare * this->idle_timeout) return false;
  char byte = 0;
  const ssize_t received =
      ::recv(this->socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpClient::Connection::Start(ExchangePtr exchange, bool newly_opened) {
  this->phase = Phase::kBusy;
  this->exchange = std::move(exchange);
  this->sent = false;
  this->written = false;
  this->newly_opened = newly_opened;
  HttpCall& call = this->exchange->call;
  if (call.before_sending) call.before_sending(call.request);
  this->request = SerializeRequest(this->exchange->call.request, this->impl->address);
  this->strays = 0;
  this->ResetParser();
  error_code error;
  const size_t bytes_written = this->socket.write_some(asio::buffer(this->request), error);
  if (error && error != asio::error::would_block) {
    // Callbacks must not be called from inside Send().
    asio::post(this->impl->io, [self = this->shared_from_this(), error] {
      if (self->phase == Phase::kBusy) self->OnWriteFailed(error);
    });
    return;
  }
  this->sent = bytes_written > 0;
  this->written = bytes_written == this->request.size();
  if (!this->written) this->Write(bytes_written);
}

void HttpClient::Connection::Write(size_t bytes_written) {
  asio::async_write(
      this->socket, asio::buffer(this->request) + bytes_written,
      [self = this->shared_from_this()](const error_code& error, size_t more_written) {
        if (self->phase != Phase::kBusy) return;
        self->sent = self->sent || more_written > 0;
        self->written = !error;
        // After a partial write the peer may still have responded, for example with an error, which
        // the outstanding read receives.
        if (error && !self->sent) self->OnWriteFailed(error);
      });
}

void HttpClient::Connection::OnWriteFailed(const error_code& error) {
  const auto self = this->shared_from_this();
  const ExchangePtr failed = std::exchange(this->exchange, nullptr);
  this->phase = Phase::kClosed;
  this->Abort();
  if (!this->newly_opened) {
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
      asio::buffer(this->read_buffer),
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
      // The write fails too, and its handler reports that nothing was sent.
      if (error && !this->sent) return;
      // The budget has cut the exchange, which ends after this.
      if (!this->parser) return this->Read();
      this->buffer.commit(
          asio::buffer_copy(this->buffer.prepare(bytes), asio::buffer(this->read_buffer, bytes)));
      return this->Parse(error);
    case Phase::kConnecting:
    case Phase::kClosed:
      return;
  }
}

void HttpClient::Connection::Parse(error_code error) {
  error_code failed;
  while (this->buffer.size() > 0 && !this->parser->is_done() && !failed) {
    const bool in_head = !this->parser->is_header_done();
    const auto unparsed = this->buffer.data();
    const size_t parsed = this->parser->put(unparsed, failed);
    if (in_head) {
      this->head_bytes += parsed;
      // The parser takes a field only when it has seen that the next line is not part of it.
      const std::string_view lines(static_cast<const char*>(unparsed.data()), parsed);
      if (HasFoldedLine(lines)) failed = http::error::bad_field;
    }
    this->buffer.consume(parsed);
    this->uncounted_bytes += parsed;
    if (!IsFinalStatus(this->parser->get().result_int())) failed = http::error::bad_status;
    if (!failed && this->parser->is_done() && this->DiscardStray()) continue;
  }
  if (failed == http::error::need_more) failed = {};
  if (!failed && !this->parser->is_done() && this->buffer.size() > kMaxUnparsedBytes) {
    failed = http::error::header_limit;
  }
  this->CountFields();
  if (!failed && (this->fields > kMaxResponseFields ||
                  (!this->parser->is_header_done() && this->head_bytes > kMaxHeadBytes))) {
    failed = http::error::header_limit;
  }
  if (error == asio::error::eof && !failed && !this->parser->is_done()) {
    // A response without a length ends at the end of the stream.
    if (this->parser->got_some()) {
      this->parser->put_eof(failed);
    } else {
      failed = http::error::end_of_stream;
    }
  } else if (error && !failed && !this->parser->is_done()) {
    failed = error;
  }
  if (!failed && this->parser->is_done() && !this->IsAttributable()) {
    failed = make_error_code(boost::system::errc::bad_message);
  }
  if (failed) return this->OnExchangeFailed(failed, /*reading=*/false);
  if (!this->parser->is_done()) this->CountBytes();
  this->Read();
  if (this->parser && this->parser->is_done()) this->OnResponse();
}

void HttpClient::Connection::ResetParser() {
  this->parser.emplace();
  this->parser->body_limit(kMaxResponseBytes);
  this->parser->eager(true);
  this->head_bytes = 0;
  this->uncounted_bytes = 0;
  this->fields = 0;
  this->head_counted = false;
}

void HttpClient::Connection::CountFields() {
  const bool head_done = this->parser->is_header_done();
  const bool counted = head_done ? this->head_counted : this->uncounted_bytes < kRecountBytes;
  // A trailer adds its fields when the response is complete.
  if (counted && !this->parser->is_done()) return;
  this->head_counted = head_done;
  const auto& head = this->parser->get();
  this->fields = static_cast<size_t>(std::distance(head.begin(), head.end()));
  this->uncounted_bytes = 0;
}

void HttpClient::Connection::CountBytes() {
  const size_t bytes = this->parser->get().body().capacity() + this->buffer.capacity() +
                       this->head_bytes + this->fields * kParsedFieldBytes;
  if (!this->impl->budget || (!this->kept && bytes <= 2 * kReadBytes)) return;
  if (!this->kept) {
    this->kept = std::make_shared<ByteBudget::Account>(this->impl->budget);
    const bool length_known = this->parser->is_header_done() && this->parser->content_length();
    this->kept->AllowCut(this->impl.get(),
                         length_known ? ByteBudget::CutOrder::kLast : ByteBudget::CutOrder::kFirst,
                         [weak = this->weak_from_this(), cut = std::weak_ptr(this->exchange)] {
                           const auto self = weak.lock();
                           if (!self) return;
                           // The account counts until the exchange ends.
                           self->parser.reset();
                           self->buffer.clear();
                           self->buffer.shrink_to_fit();
                           asio::post(self->impl->io, [self, cut] { self->Cut(cut.lock()); });
                         });
  }
  this->kept->Set(bytes);
}

void HttpClient::Connection::Cut(const ExchangePtr& cut_exchange) {
  if (this->phase != Phase::kBusy || this->exchange != cut_exchange) return;
  this->OnExchangeFailed(asio::error::no_buffer_space, /*reading=*/true);
}

void HttpClient::Connection::ReleaseBuffers() {
  constexpr size_t kKeptBytes = 4 * kReadBytes;
  this->kept = nullptr;
  this->parser.reset();
  this->buffer.clear();
  if (this->buffer.capacity() > kKeptBytes) this->buffer.shrink_to_fit();
  // A write that has not ended still reads the request.
  if (this->written && this->request.capacity() > kKeptBytes) std::string().swap(this->request);
}

bool HttpClient::Connection::DiscardStray() {
  const std::shared_ptr<EchoedRequest>& echo = this->exchange->call.echo;
  if (!echo || this->strays == kMaxStrays || !this->parser->keep_alive()) return false;
  const auto found = this->parser->get().find(echo->header.name);
  if (found == this->parser->get().end() || found->value() == echo->header.value) return false;
  ++this->strays;
  this->impl->OnStray(echo->header, {found->value().data(), found->value().size()});
  this->ResetParser();
  return true;
}

bool HttpClient::Connection::IdentifiesRequest() const {
  const HttpCall& call = this->exchange->call;
  const std::string_view name = call.echo ? call.echo->header.name : call.identifying_header;
  return name.empty() || this->parser->get().find(name) != this->parser->get().end();
}

bool HttpClient::Connection::IsAttributable() const {
  if (!this->reused && this->strays == 0) return true;
  if (IsJoinedHead(this->parser->get())) return false;
  return !this->exchange->call.echo || this->IdentifiesRequest();
}

void HttpClient::Connection::OnResponse() {
  const auto self = this->shared_from_this();
  const auto pool = this->impl;
  const bool identified = this->IdentifiesRequest();
  const ExchangePtr ended = std::exchange(this->exchange, nullptr);
  auto released = std::exchange(ended->call.released, {});
  const bool reusable = this->written && this->parser->get().keep_alive() && identified &&
                        !ended->call.close_after && this->buffer.size() == 0 && !pool->AboveLimit();
  HttpResponse response = ToResponse(this->parser->release());
  const size_t bytes = KeptBytes(response);
  if (this->impl->budget && bytes > kReadBytes) {
    response.kept = this->kept ? std::move(this->kept)
                               : std::make_shared<ByteBudget::Account>(this->impl->budget);
    response.kept->ForbidCut();
    response.kept->Set(bytes);
  }
  this->ReleaseBuffers();
  this->phase = Phase::kIdle;
  if (reusable) {
    this->reused = true;
    this->idle_since = SteadyNow();
    this->idle_timeout = IdleTimeoutOf(response);
    pool->OnIdle(self);
  } else {
    this->BeginClose({});
  }
  pool->Finish(ended, std::move(response));
  pool->Notify(released);
}

void HttpClient::Connection::OnExchangeFailed(const error_code& error, bool reading) {
  const auto self = this->shared_from_this();
  const auto pool = this->impl;
  const ExchangePtr ended = std::exchange(this->exchange, nullptr);
  auto released = std::exchange(ended->call.released, {});
  this->phase = Phase::kIdle;
  const bool crashed = IsCloseByPeer(error);
  HttpFailure failure{.error = {ErrorCode::kConnectionLost,
                                "exchange with " + pool->address + " failed: " + error.message()},
                      .sent = true,
                      .crashed = crashed};
  if (crashed) {
    this->EndClose(/*by_peer=*/true);
    pool->Finish(ended, tl::unexpected<HttpFailure>(std::move(failure)));
    pool->Notify(released);
    return;
  }
  this->BeginClose(std::move(released));
  if (!reading) this->Read();
  pool->Finish(ended, tl::unexpected<HttpFailure>(std::move(failure)));
}

void HttpClient::Connection::BeginClose(std::function<void()> released) {
  this->phase = Phase::kClosing;
  this->exchange = nullptr;
  this->released = std::move(released);
  this->ReleaseBuffers();
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
  this->kept = nullptr;
  this->released = {};
  this->timer.cancel();
  error_code ignored;
  this->socket.close(ignored);
}

}  // namespace peridotgauge
