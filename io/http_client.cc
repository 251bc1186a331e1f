// The connection pool: calls wait in order, idle connections are reused newest first.
#include "io/http_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "io/clock.h"
#include "io/http_beast.h"
#include "io/http_client_impl.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Pause before a kept connection is opened again after a failure.
constexpr Duration kReopenTime = Millis(200);

HttpClientOptions Repair(HttpClientOptions options) {
  options.max_connections = std::max<size_t>(options.max_connections, 1);
  options.min_connections = std::min(options.min_connections, options.max_connections);
  return options;
}

}  // namespace

// --- Pool ---

HttpClient::Impl::Impl(asio::io_context& io, Address address, HttpClientOptions options,
                       StrayCallback on_stray)
    : io(io),
      address(std::move(address)),
      options(Repair(options)),
      on_stray(std::move(on_stray)),
      reopen(io) {}

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
    if (connection->Stale(SteadyNow(), this->waiting.front()->call.idempotent)) {
      ++this->replaced;
      std::erase(this->connections, connection);
      connection->Abort();
      continue;
    }
    this->Assign(connection, /*fresh=*/false);
  }
  while (this->connecting < this->waiting.size() &&
         this->connections.size() < this->options.max_connections) {
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
      this->connections.size() - std::min(this->connections.size(), this->options.max_connections);
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
  while (this->connections.size() < this->options.min_connections) this->Open();
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

// --- HttpClient ---

HttpClient::HttpClient(asio::io_context& io, Address address, HttpClientOptions options,
                       StrayCallback on_stray)
    : impl(std::make_shared<Impl>(io, std::move(address), options, std::move(on_stray))) {
  this->impl->KeepWarm();
}

HttpClient::~HttpClient() { this->impl->Shutdown(); }

uint64_t HttpClient::Send(HttpCall call) { return this->impl->Send(std::move(call)); }

void HttpClient::Cancel(uint64_t id) { this->impl->Cancel(id); }

void HttpClient::SetOptions(HttpClientOptions options) { this->impl->SetOptions(options); }

const Address& HttpClient::PeerAddress() const { return this->impl->address; }

HttpClientStatus HttpClient::Status() const { return this->impl->Status(); }

}  // namespace peridotgauge
