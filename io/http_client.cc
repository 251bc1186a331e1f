// The connection pool. Calls wait in a FIFO queue; the idle connection used last is reused first.
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

// Delay after a failure before connections are opened again to reach `min_connections`.
constexpr Duration kReconnectDelay = Millis(200);

HttpClientOptions ClampOptions(HttpClientOptions options) {
  options.max_connections = std::max<size_t>(options.max_connections, 1);
  options.min_connections = std::min(options.min_connections, options.max_connections);
  return options;
}

}  // namespace

bool EchoedRequest::WasSentOn(const std::weak_ptr<void>& connection) const {
  return std::any_of(this->connections.begin(), this->connections.end(), [&](const auto& used) {
    return !used.owner_before(connection) && !connection.owner_before(used);
  });
}

// --- Pool ---

HttpClient::Impl::Impl(asio::io_context& io, Address address, HttpClientOptions options,
                       StrayCallback on_stray, std::shared_ptr<ByteBudget> budget)
    : io(io),
      address(std::move(address)),
      budget(std::move(budget)),
      options(ClampOptions(options)),
      on_stray(std::move(on_stray)),
      reconnect_timer(io) {}

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
      self->FailCall(exchange, "a request header value contains a control character");
    });
    return id;
  }
  this->waiting.push_back(exchange);
  this->AssignQueued();
  return id;
}

void HttpClient::Impl::AssignQueued() {
  for (size_t i = 0; i < this->waiting.size() && !this->idle.empty();) {
    const ExchangePtr exchange = this->waiting[i];
    if (const auto connection = this->TakeIdleFor(exchange->call)) {
      this->Assign(exchange, connection, /*newly_opened=*/false);
    } else {
      ++i;
    }
  }
  while (this->connecting < this->waiting.size() &&
         this->connections.size() < this->options.max_connections) {
    this->Open();
  }
  // The calls that are left can use none of the idle connections, and no further one may be opened.
  if (this->connecting < this->waiting.size() && !this->idle.empty()) this->MakeRoom();
}

std::shared_ptr<HttpClient::Connection> HttpClient::Impl::TakeIdleFor(const HttpCall& call) {
  for (size_t i = this->idle.size(); i > 0; --i) {
    auto connection = this->idle[i - 1];
    if (call.echo && call.echo->WasSentOn(connection)) continue;
    this->idle.erase(this->idle.begin() + static_cast<ptrdiff_t>(i - 1));
    if (!connection->IsStale(SteadyNow(), call.idempotent)) return connection;
    ++this->replaced;
    std::erase(this->connections, connection);
    connection->Abort();
  }
  return nullptr;
}

void HttpClient::Impl::MakeRoom() {
  for (const ExchangePtr& exchange : this->waiting) {
    if (this->idle.empty()) return;
    if (std::exchange(exchange->made_room, true)) continue;
    const auto connection = this->idle.front();
    this->idle.erase(this->idle.begin());
    connection->BeginClose({});
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
  if (this->AboveLimit()) {
    connection->BeginClose({});
  } else if (this->waiting.empty()) {
    this->OnIdle(connection);
  } else {
    // A peer above its connection limit may already have sent an error response. The call takes it:
    // opening another connection instead would be refused in the same way, without end.
    this->Assign(this->waiting.front(), connection, /*newly_opened=*/true);
  }
}

void HttpClient::Impl::Assign(ExchangePtr exchange, const std::shared_ptr<Connection>& connection,
                              bool newly_opened) {
  std::erase(this->waiting, exchange);
  exchange->connection = connection;
  if (const auto& echo = exchange->call.echo) echo->connections.push_back(connection);
  connection->Start(std::move(exchange), newly_opened);
}

void HttpClient::Impl::OnIdle(const std::shared_ptr<Connection>& connection) {
  this->idle.push_back(connection);
  this->AssignQueued();
}

void HttpClient::Impl::OnConnectFailed(const std::shared_ptr<Connection>& connection,
                                       const std::string& reason) {
  --this->connecting;
  std::erase(this->connections, connection);
  connection->Abort();
  const std::string detail = "cannot connect to " + this->address + ": " + reason;
  if (this->connections.empty()) {
    this->FailQueued(detail);
  } else if (this->waiting.size() > this->connecting) {
    const ExchangePtr first = this->waiting.front();  // FailCall() removes it from the queue
    this->FailCall(first, detail);
  }
  this->ScheduleReconnect();
  if (!this->closed) this->AssignQueued();
}

// Fails a call of which nothing was sent, unless it has ended already.
void HttpClient::Impl::FailCall(const ExchangePtr& exchange, const std::string& reason) {
  if (!this->exchanges.contains(exchange->id)) return;
  this->Finish(exchange, tl::unexpected<HttpFailure>(NotSent(reason)));
  this->Release(exchange);
}

// Fails the calls in the queue, but not those that their callbacks add.
void HttpClient::Impl::FailQueued(const std::string& reason) {
  const std::deque<ExchangePtr> failed = std::exchange(this->waiting, {});
  for (const ExchangePtr& exchange : failed) {
    this->FailCall(exchange, reason);
  }
}

void HttpClient::Impl::OnIdleClosed(const std::shared_ptr<Connection>& connection) {
  std::erase(this->idle, connection);
  std::erase(this->connections, connection);
  connection->Abort();
  this->ScheduleReconnect();
  this->AssignQueued();
}

void HttpClient::Impl::OnClosed(const std::shared_ptr<Connection>& connection, bool by_peer) {
  std::erase(this->idle, connection);
  std::erase(this->connections, connection);
  if (this->closed) return;
  this->AssignQueued();
  // A peer that closes connections may close a new one at once, so reconnecting waits.
  if (by_peer) {
    this->ScheduleReconnect();
  } else {
    this->OpenMinConnections();
  }
}

void HttpClient::Impl::Requeue(const ExchangePtr& exchange) {
  exchange->connection = nullptr;
  exchange->made_room = false;
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
    this->FailCall(exchange, "no connection to " + this->address + " before the deadline");
    return;
  }
  connection->BeginClose(std::exchange(exchange->call.released, {}));
  this->Finish(
      exchange,
      tl::unexpected<HttpFailure>(
          {{ErrorCode::kDeadlineExceeded, "no response before the deadline from " + this->address},
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
  this->options = ClampOptions(options);
  size_t surplus =
      this->connections.size() - std::min(this->connections.size(), this->options.max_connections);
  while (surplus > 0 && !this->idle.empty()) {
    const auto connection = this->idle.back();
    this->idle.pop_back();
    connection->BeginClose({});
    --surplus;
  }
  this->AssignQueued();
  this->OpenMinConnections();
}

void HttpClient::Impl::OpenMinConnections() {
  if (this->reconnect_pending || this->closed) return;
  while (this->connections.size() < this->options.min_connections) this->Open();
}

void HttpClient::Impl::ScheduleReconnect() {
  if (this->reconnect_pending || this->closed) return;
  this->reconnect_pending = true;
  this->reconnect_timer.expires_after(kReconnectDelay);
  this->reconnect_timer.async_wait([self = this->shared_from_this()](const error_code& error) {
    if (error) return;
    self->reconnect_pending = false;
    self->OpenMinConnections();
  });
}

void HttpClient::Impl::Shutdown() {
  this->closed = true;
  this->reconnect_timer.cancel();
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
                       StrayCallback on_stray, std::shared_ptr<ByteBudget> budget)
    : impl(std::make_shared<Impl>(io, std::move(address), options, std::move(on_stray),
                                  std::move(budget))) {
  this->impl->OpenMinConnections();
}

HttpClient::~HttpClient() { this->impl->Shutdown(); }

uint64_t HttpClient::Send(HttpCall call) { return this->impl->Send(std::move(call)); }

void HttpClient::Cancel(uint64_t id) { this->impl->Cancel(id); }

void HttpClient::FailWaiting(const std::string& reason) {
  asio::post(this->impl->io, [impl = this->impl, reason] { impl->FailQueued(reason); });
}

void HttpClient::SetOptions(HttpClientOptions options) { this->impl->SetOptions(options); }

const Address& HttpClient::PeerAddress() const { return this->impl->address; }

HttpClientStatus HttpClient::Status() const { return this->impl->Status(); }

}  // namespace peridotgauge
