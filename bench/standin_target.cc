// Listener, connections and simulated execution of one stand-in target.
#include "standin_target.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <random>
#include <unordered_set>
#include <utility>

#include "bench/standin_headers.h"
#include "bench/standin_switches.h"
#include "core/address.h"
#include "core/caller_api.h"
#include "core/json_text.h"
#include "io/clock.h"
#include "io/http_beast.h"
#include "io/socket_options.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

// Delay before another attempt to bind the port after a restart.
constexpr Duration kRebindDelay = Millis(100);

HttpResponse NotRunResponse(std::string_view reason) {
  HttpResponse response = JsonResponse(503, "{\"error\":" + QuoteJson(reason) + "}");
  response.headers.push_back({"x-not-run", "true"});
  return response;
}

}  // namespace

class StandinTarget::Impl : public std::enable_shared_from_this<StandinTarget::Impl> {
 public:
  Impl(asio::io_context& io, RegistrationClients& clients, StandinOptions options,
       std::vector<Address> routers, uint64_t seed)
      : io(io),
        acceptor(io),
        restart_timer(io),
        cold_start_timer(io),
        random(seed),
        options(std::move(options)),
        registrar(io, clients, std::move(routers), seed,
                  [this] { return this->MakeRegistration(); }) {}

  Result<void> Start();
  Result<void> Listen();
  void Shutdown();
  Result<void> ApplySwitches(std::string_view text);
  std::string Report() const;

  // Called by connections.
  void Remove(const std::shared_ptr<Connection>& connection);
  // Admits or rejects a sub-request. Returns the response of a rejected one, or nullopt if
  // execution has started.
  std::optional<HttpResponse> Admit(const std::shared_ptr<Connection>& connection,
                                    const HttpRequest& request);
  void ReleaseSlot() { --this->running; }
  // Returns the reply to a sub-request whose service time has passed, or nullopt if
  // close_without_reply suppresses it.
  std::optional<HttpResponse> FinishSubRequest(const SubRequestHeaders& headers,
                                               const HttpRequest& request);

  asio::io_context& io;
  Tcp::acceptor acceptor;
  asio::steady_timer restart_timer;
  asio::steady_timer cold_start_timer;
  std::mt19937_64 random;
  StandinOptions options;
  StandinSwitches switches;
  StandinCounters counters;
  std::map<std::string, uint32_t> orders;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  uint32_t counted_connections = 0;  // count towards the limit; without /standin
  uint32_t running = 0;
  bool up = false;

 private:
  void Accept();
  void OnAccept(Tcp::socket socket);
  void Crash();
  void CloseConnections();
  void Restart();
  void BeginColdStart(Duration duration);
  void UpdateRegistration();
  RegistrationRequest MakeRegistration();
  TargetState State() const;
  double Load() const;
  double ColdStartFactor(Time now) const;
  HttpResponse MakeShedResponse(const SubRequestHeaders& headers, std::string_view reason);

  StandinRegistrar registrar;
  Time drain_begin;
  Time cold_start_begin;
  Time cold_start_end;
  bool starting = false;
};

class StandinTarget::Connection : public std::enable_shared_from_this<StandinTarget::Connection> {
 public:
  Connection(std::shared_ptr<Impl> impl, Tcp::socket socket)
      : impl(std::move(impl)),
        socket(std::move(socket)),
        timer(this->impl->io),
        accept_time(SteadyNow()) {}

  void Read();
  // Sends the response, at the earliest `connect_cost` after the connection was accepted.
  void Respond(HttpResponse response, bool keep_alive);
  // Occupies a slot for the service time, then replies. Responds with 504 at the deadline if that
  // comes first.
  void Run(SubRequestHeaders headers, HttpRequest request, Duration service_time);
  void Close();

  bool counted = true;  // included in Impl::counted_connections

 private:
  void OnRequest();
  void OnAdmin(const HttpRequest& request);
  void WatchForClose();
  void OnServiceEnd(bool in_time);
  void Write(HttpResponse response, bool keep_alive);

  std::shared_ptr<Impl> impl;
  Tcp::socket socket;
  asio::steady_timer timer;
  const Time accept_time;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  BeastResponse response;
  SubRequestHeaders headers;
  HttpRequest request;
  bool running = false;  // occupies a slot
  bool closed = false;
};

// --- Listener ---

Result<void> StandinTarget::Impl::Listen() {
  const Result<Endpoint> endpoint = ParseListenAddress(this->options.record.address);
  if (!endpoint) return tl::unexpected<Error>(endpoint.error());
  const Tcp::endpoint listen_endpoint(asio::ip::make_address(endpoint->host), endpoint->port);
  error_code error = OpenListener(this->acceptor, listen_endpoint);
  if (error) {
    const std::string reason = error.message();
    this->acceptor.close(error);
    return Fail(ErrorCode::kUnavailable,
                "cannot bind " + this->options.record.address + ": " + reason);
  }
  this->options.record.address =
      endpoint->host + ":" + std::to_string(this->acceptor.local_endpoint().port());
  this->up = true;
  this->Accept();
  return {};
}

Result<void> StandinTarget::Impl::Start() {
  this->options.record.incarnation = static_cast<uint64_t>(UnixMillis());
  Result<void> listening = this->Listen();
  if (listening) this->UpdateRegistration();
  return listening;
}

void StandinTarget::Impl::Accept() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](const error_code& error, Tcp::socket socket) {
        if (!self->up || error == asio::error::operation_aborted) return;
        if (!error) self->OnAccept(std::move(socket));
        if (self->up) self->Accept();
      });
}

void StandinTarget::Impl::OnAccept(Tcp::socket socket) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<Connection>(this->shared_from_this(), std::move(socket));
  this->connections.insert(connection);
  ++this->counted_connections;
  ++this->counters.connections_opened;
  this->counters.max_connections =
      std::max(this->counters.max_connections, this->counted_connections);
  if (this->counted_connections > this->options.record.connections) {
    ++this->counters.connection_overruns;
    connection->Respond(NotRunResponse("too many connections"), /*keep_alive=*/false);
    return;
  }
  connection->Read();
}

void StandinTarget::Impl::Remove(const std::shared_ptr<Connection>& connection) {
  if (this->connections.erase(connection) > 0 && connection->counted) --this->counted_connections;
}

void StandinTarget::Impl::CloseConnections() {
  this->up = false;
  error_code ignored;
  this->acceptor.close(ignored);
  const auto open_connections = this->connections;
  for (const auto& connection : open_connections) connection->Close();
}

void StandinTarget::Impl::Shutdown() {
  this->registrar.StopRegistering();
  this->restart_timer.cancel();
  this->cold_start_timer.cancel();
  this->CloseConnections();
}

// Simulates a process crash: closes all connections without deregistering.
void StandinTarget::Impl::Crash() {
  ++this->counters.crashes;
  this->registrar.StopRegistering();
  this->CloseConnections();
  this->restart_timer.expires_after(this->switches.restart_time);
  this->restart_timer.async_wait([self = this->shared_from_this()](const error_code& error) {
    if (!error) self->Restart();
  });
}

void StandinTarget::Impl::Restart() {
  ++this->options.record.incarnation;
  this->options.record.sequence = 0;
  if (this->Listen()) {
    this->UpdateRegistration();
    return;
  }
  this->restart_timer.expires_after(kRebindDelay);
  this->restart_timer.async_wait([self = this->shared_from_this()](const error_code& error) {
    if (!error) self->Restart();
  });
}

// --- Registration ---

TargetState StandinTarget::Impl::State() const {
  if (this->switches.gone) return TargetState::kGone;
  if (this->switches.drain) return TargetState::kDraining;
  return this->starting ? TargetState::kStarting : TargetState::kServing;
}

double StandinTarget::Impl::Load() const {
  const double load = static_cast<double>(this->running) / this->options.record.slots;
  return this->switches.load.value_or(std::min(load, 1.0));
}

RegistrationRequest StandinTarget::Impl::MakeRegistration() {
  ++this->options.record.sequence;
  this->options.record.state = this->State();
  return {.record = this->options.record, .load = this->Load()};
}

void StandinTarget::Impl::UpdateRegistration() {
  if (!this->up) return;
  if (this->switches.registering) this->registrar.RegisterNow();
  // A registration with the state "gone" is the last one.
  if (!this->switches.registering || this->switches.gone) this->registrar.StopRegistering();
}

// --- Sub-requests ---

HttpResponse StandinTarget::Impl::MakeShedResponse(const SubRequestHeaders& headers,
                                                   std::string_view reason) {
  ++this->counters.shed;
  HttpResponse response = NotRunResponse(reason);
  AddEchoedHeaders(headers, response);
  response.headers.push_back({"x-load", std::to_string(this->Load())});
  return response;
}

double StandinTarget::Impl::ColdStartFactor(Time now) const {
  if (now >= this->cold_start_end) return 1;
  const double remaining =
      static_cast<double>((this->cold_start_end - now).count()) /
      static_cast<double>((this->cold_start_end - this->cold_start_begin).count());
  return 1 + (this->switches.cold_factor - 1) * remaining;
}

std::optional<HttpResponse> StandinTarget::Impl::Admit(
    const std::shared_ptr<Connection>& connection, const HttpRequest& request) {
  const Time now = SteadyNow();
  ++this->counters.requests;
  if (this->switches.drain) {
    ++this->counters.after_drain;
    this->counters.last_after_drain = now - this->drain_begin;
  }
  const std::optional<SubRequestHeaders> headers = ParseSubRequestHeaders(request);
  if (!headers) {
    ++this->counters.malformed;
    return JsonResponse(400, R"({"error":"malformed sub-request"})");
  }
  const TargetRecord& record = this->options.record;
  const auto& holds = record.holds;
  if (headers->service != record.service ||
      std::find(holds.begin(), holds.end(), headers->holding) == holds.end()) {
    ++this->counters.malformed;
    return this->MakeShedResponse(*headers, "shard or snapshot not held");
  }
  if (this->switches.shed) return this->MakeShedResponse(*headers, "shedding");
  if (this->running >= record.slots) {
    ++this->counters.slot_overruns;
    return this->MakeShedResponse(*headers, "all slots are in use");
  }
  ++this->running;
  this->counters.max_running = std::max(this->counters.max_running, this->running);
  if (request.path == "/order") {
    ++this->counters.orders;
    ++this->orders[headers->request_id];
  }
  const double factor = this->switches.slow_factor * this->ColdStartFactor(now);
  const Duration base_time = this->options.latency.Sample(this->random);
  connection->Run(*headers, request, std::chrono::duration_cast<Duration>(base_time * factor));
  const std::string& crash_text = this->switches.crash_text;
  if (!crash_text.empty() && request.body.find(crash_text) != std::string::npos) this->Crash();
  return std::nullopt;
}

std::optional<HttpResponse> StandinTarget::Impl::FinishSubRequest(const SubRequestHeaders& headers,
                                                                  const HttpRequest& request) {
  if (this->switches.close_without_reply > 0) {
    --this->switches.close_without_reply;
    ++this->counters.lost_replies;
    return std::nullopt;
  }
  std::string body = R"({"target":)" + QuoteJson(this->options.record.target);
  if (request.path == "/order") {
    body += R"(,"order":)" + QuoteJson(headers.request_id) + R"(,"executions":)" +
            std::to_string(this->orders[headers.request_id]);
  } else {
    ++this->counters.searches;
    body += R"(,"shard":)" + std::to_string(headers.holding.shard) + R"(,"query":)" +
            (IsJson(request.body) ? request.body : "null");
  }
  HttpResponse response = JsonResponse(200, body + "}");
  SubRequestHeaders echoed = headers;
  if (this->switches.wrong_echo > 0) {
    --this->switches.wrong_echo;
    echoed.request_id += "-other";
  }
  AddEchoedHeaders(echoed, response);
  response.headers.push_back({"x-load", std::to_string(this->Load())});
  return response;
}

// --- Connection ---

void StandinTarget::Connection::Read() {
  this->parser.emplace();
  http::async_read(this->socket, this->buffer, *this->parser,
                   [self = this->shared_from_this()](const error_code& error, size_t) {
                     if (self->closed) return;
                     if (error) {
                       self->Close();
                     } else {
                       self->OnRequest();
                     }
                   });
}

void StandinTarget::Connection::OnRequest() {
  const HttpRequest received = ToRequest(this->parser->release());
  if (received.path == "/standin") {
    this->OnAdmin(received);
    return;
  }
  if (auto response = this->impl->Admit(this->shared_from_this(), received)) {
    this->Respond(std::move(*response), /*keep_alive=*/true);
  }
}

void StandinTarget::Connection::OnAdmin(const HttpRequest& request) {
  if (std::exchange(this->counted, false)) --this->impl->counted_connections;
  if (request.method == "POST") {
    const Result<void> changed = this->impl->ApplySwitches(request.body);
    if (!changed) {
      this->Write(ErrorResponse(changed.error(), ""), /*keep_alive=*/false);
      return;
    }
  }
  this->Write(JsonResponse(200, this->impl->Report()), /*keep_alive=*/false);
}

void StandinTarget::Connection::Run(SubRequestHeaders headers, HttpRequest request,
                                    Duration service_time) {
  this->headers = std::move(headers);
  this->request = std::move(request);
  this->running = true;
  this->WatchForClose();
  const bool in_time = service_time <= this->headers.deadline;
  this->timer.expires_after(std::min(service_time, this->headers.deadline));
  this->timer.async_wait([self = this->shared_from_this(), in_time](const error_code& error) {
    if (!error && !self->closed) self->OnServiceEnd(in_time);
  });
}

// Cancels the sub-request when the peer closes the connection.
void StandinTarget::Connection::WatchForClose() {
  this->socket.async_wait(Tcp::socket::wait_read,
                          [self = this->shared_from_this()](const error_code&) {
                            if (self->closed || !self->running) return;
                            ++self->impl->counters.cancelled;
                            self->Close();
                          });
}

void StandinTarget::Connection::OnServiceEnd(bool in_time) {
  this->running = false;
  this->impl->ReleaseSlot();
  std::optional<HttpResponse> reply;
  if (in_time) {
    reply = this->impl->FinishSubRequest(this->headers, this->request);
  } else {
    ++this->impl->counters.expired;
    reply = JsonResponse(504, R"({"error":"the deadline has passed"})");
    AddEchoedHeaders(this->headers, *reply);
  }
  if (reply) {
    this->Respond(std::move(*reply), /*keep_alive=*/true);
  } else {
    this->Close();
  }
}

void StandinTarget::Connection::Respond(HttpResponse response, bool keep_alive) {
  const Time earliest = this->accept_time + this->impl->options.connect_cost;
  if (SteadyNow() >= earliest) {
    this->Write(std::move(response), keep_alive);
    return;
  }
  this->timer.expires_at(earliest);
  this->timer.async_wait([self = this->shared_from_this(), response = std::move(response),
                          keep_alive](const error_code& error) mutable {
    if (!error && !self->closed) self->Write(std::move(response), keep_alive);
  });
}

void StandinTarget::Connection::Write(HttpResponse response, bool keep_alive) {
  this->response = ToBeastResponse(std::move(response), keep_alive, /*head_only=*/false);
  http::async_write(this->socket, this->response,
                    [self = this->shared_from_this(), keep_alive](const error_code& error, size_t) {
                      if (self->closed) return;
                      if (error || !keep_alive) {
                        error_code ignored;
                        self->socket.shutdown(Tcp::socket::shutdown_send, ignored);
                        self->Close();
                      } else {
                        self->Read();
                      }
                    });
}

void StandinTarget::Connection::Close() {
  if (std::exchange(this->closed, true)) return;
  if (std::exchange(this->running, false)) this->impl->ReleaseSlot();
  this->timer.cancel();
  error_code ignored;
  this->socket.close(ignored);
  const auto self = this->shared_from_this();
  this->impl->Remove(self);
}

// --- Switches and counters ---

void StandinTarget::Impl::BeginColdStart(Duration duration) {
  this->starting = true;
  this->cold_start_begin = SteadyNow();
  this->cold_start_end = this->cold_start_begin + duration;
  this->cold_start_timer.expires_after(duration / 2);
  this->cold_start_timer.async_wait([self = this->shared_from_this()](const error_code& error) {
    if (error) return;
    self->starting = false;
    self->UpdateRegistration();
  });
}

Result<void> StandinTarget::Impl::ApplySwitches(std::string_view text) {
  const auto update = ParseSwitches(text, this->switches, this->options.latency);
  if (!update) return tl::unexpected<Error>(update.error());
  if (update->switches.drain && !this->switches.drain) {
    this->drain_begin = SteadyNow();
    this->counters.after_drain = 0;
    this->counters.last_after_drain = Duration(0);
  }
  this->switches = update->switches;
  this->options.latency = update->latency;
  std::vector<Holding>& holds = this->options.record.holds;
  if (update->snapshots && !holds.empty()) {
    const Holding first = holds.front();
    holds.clear();
    for (const uint64_t snapshot : *update->snapshots) {
      holds.push_back({snapshot, first.shard, first.shards});
    }
  }
  if (update->holds) holds = *update->holds;
  if (update->cold_start) this->BeginColdStart(*update->cold_start);
  this->UpdateRegistration();
  // Delays the crash so that the response to this request can still be written.
  if (update->crash) {
    this->restart_timer.expires_after(Millis(20));
    this->restart_timer.async_wait([self = this->shared_from_this()](const error_code& error) {
      if (!error) self->Crash();
    });
  }
  return {};
}

std::string StandinTarget::Impl::Report() const {
  const StandinCounters& c = this->counters;
  json::object order_counts;
  for (const auto& [id, count] : this->orders) order_counts[id] = count;
  const json::object report = {{"target", this->options.record.target},
                               {"service", this->options.record.service},
                               {"address", this->options.record.address},
                               {"incarnation", this->options.record.incarnation},
                               {"up", this->up},
                               {"running", this->running},
                               {"connections", this->counted_connections},
                               {"load", this->Load()},
                               {"requests", c.requests},
                               {"searches", c.searches},
                               {"orders", c.orders},
                               {"shed", c.shed},
                               {"cancelled", c.cancelled},
                               {"expired", c.expired},
                               {"malformed", c.malformed},
                               {"slot_overruns", c.slot_overruns},
                               {"connection_overruns", c.connection_overruns},
                               {"connections_opened", c.connections_opened},
                               {"crashes", c.crashes},
                               {"lost_replies", c.lost_replies},
                               {"after_drain", c.after_drain},
                               {"last_after_drain_ms", ToMillis(c.last_after_drain)},
                               {"max_running", c.max_running},
                               {"max_connections", c.max_connections},
                               {"registrations", this->registrar.AcceptedCount()},
                               {"failed_registrations", this->registrar.FailedCount()},
                               {"order_counts", order_counts}};
  return json::serialize(report);
}

// --- StandinTarget ---

StandinTarget::StandinTarget(asio::io_context& io, RegistrationClients& clients,
                             StandinOptions options, std::vector<Address> routers, uint64_t seed)
    : impl(std::make_shared<Impl>(io, clients, std::move(options), std::move(routers), seed)) {}

StandinTarget::~StandinTarget() { this->impl->Shutdown(); }

Result<void> StandinTarget::Start() { return this->impl->Start(); }

Result<void> StandinTarget::ApplySwitches(std::string_view json) {
  return this->impl->ApplySwitches(json);
}

std::string StandinTarget::Report() const { return this->impl->Report(); }

const std::string& StandinTarget::Name() const { return this->impl->options.record.target; }

const Address& StandinTarget::BoundAddress() const { return this->impl->options.record.address; }

const StandinCounters& StandinTarget::Counters() const { return this->impl->counters; }

const std::map<std::string, uint32_t>& StandinTarget::Orders() const { return this->impl->orders; }

}  // namespace peridotgauge
