// Implements the daemon process: starts, connects and shuts down its roles.
#include "io/daemon.h"

#include <glog/logging.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "core/address.h"
#include "core/caller_api.h"
#include "core/heartbeat_address.h"
#include "core/loop_pauses.h"
#include "core/metrics.h"
#include "core/router_offer.h"
#include "io/clock.h"
#include "io/control_client.h"
#include "io/control_events.h"
#include "io/controller.h"
#include "io/event_log.h"
#include "io/gateway.h"
#include "io/http_server.h"
#include "io/operator_http.h"
#include "io/peer.h"
#include "io/peer_pool.h"
#include "io/random_seed.h"
#include "io/replica.h"
#include "io/replicated_log.h"
#include "io/router.h"
#include "io/thread_times.h"
#include "io/tracer.h"
#include "state/control_state.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

constexpr Duration kSpanFlushInterval = Millis(200);
constexpr Duration kTransferTimeout = Seconds(3);
// Requests in progress during a shutdown may take as long as the longest deadline. A second stop
// signal ends the process immediately.
constexpr Duration kCloseTimeout = Seconds(30);
// Time for which a draining router still accepts requests: callers may use a cached router list for
// three times its lifetime of 2 s.
constexpr Duration kStaleListAcceptTime = Millis(6'500);
// Times before the end of the grace period at which the router stops accepting connections, at
// which it answers all requests that are still running, and at which the process exits. Between the
// last two the answers are written, also on a host that is slowed down.
constexpr Duration kDrainReserve = Millis(1'500);
constexpr Duration kAnswerReserve = Millis(700);
constexpr Duration kExitReserve = Millis(400);
// Maximum number of voting controllers if controllers are discovered from seeds, unless the
// tolerated losses need more.
constexpr size_t kVotingControllers = 5;
// A target's registration expires after this many missed heartbeats. Heartbeats may be late by more
// than one interval.
constexpr int kMaxMissedHeartbeats = 4;
// Raft timing if controllers are discovered from seeds. After the loss of all processes callers
// wait for an election, so the timeout is only twice the longest pause of a host with CPU
// throttling (100 ms). The heartbeat interval is a fifth of it.
constexpr Duration kDiscoveryRaftHeartbeat = Millis(40);
constexpr Duration kDiscoveryElectionTimeout = Millis(200);
constexpr size_t kMaxCallerHeaderBytes = 64 << 10;
// Shares of the memory for responses of targets and answers that wait for callers, and for bodies
// of requests. Each attempt of a request holds up to two more copies of its body.
constexpr double kResponseMemoryShare = 1.0 / 4;
constexpr double kRequestMemoryShare = 1.0 / 16;
// Share of the memory for all that requests of callers make the process keep, counted as held: read
// buffers, parsed headers, and bodies with the copies above.
constexpr double kCallerMemoryShare = 1.0 / 4;
// Share of the memory for incomplete frames of peers, their unanswered requests, and replies that
// they have not read. The smallest controllers, of 256 MiB, have room for eight of the longest
// frames, or for requests that carry the largest directory five times.
constexpr double kPeerMemoryShare = 1.0 / 8;
// Share of the descriptors that connections of callers leave free, unless the settings name another
// number, and the part of it that connections of peers may take.
constexpr size_t kReservedDescriptorsDivisor = 4;
constexpr size_t kPeerDescriptorsDivisor = 2;

// Returns 0 for an address without a port, which validated settings do not contain.
uint16_t PortOf(const Address& address) { return ParseAddress(address).value_or(Endpoint{}).port; }

}  // namespace

class Daemon::Impl : public std::enable_shared_from_this<Daemon::Impl> {
 public:
  Impl(asio::io_context& io, Settings settings, const ExternalInterface* external)
      : io(io),
        settings(std::move(settings)),
        external(external),
        log(external != nullptr ? STDOUT_FILENO : -1),
        request_bytes(this->MemoryFor(kRequestMemoryShare)),
        response_bytes(this->MemoryFor(kResponseMemoryShare)),
        peer_bytes(this->MemoryFor(kPeerMemoryShare)),
        reserved_descriptors(this->ReservedDescriptors()),
        room(std::make_shared<CallerRoom>(
            CallerRoomLimits{.connections = this->Descriptors() - this->reserved_descriptors,
                             .bytes = this->MemoryFor(kCallerMemoryShare)->Limit()})),
        tracer(this->settings.id, this->settings.span_file, RandomSeed()),
        peers(io),
        self{.id = this->settings.id,
             // An incarnation only has to increase with every start, as wall-clock time does.
             .incarnation = static_cast<uint64_t>(UnixNanos()),
             .data_centre = this->settings.data_centre,
             .http_address = this->settings.http_address,
             .peer_address = this->settings.peer_address},
        control(io, {.self = this->self,
                     .controllers = this->settings.controllers,
                     .peer_port = this->PeerPort(),
                     .parse_config = this->SelectConfigParser(),
                     // Only a router that answers callers who ask for routers needs their list.
                     .compact = external != nullptr && this->settings.directory_address.empty()}),
        operators(this->control),
        flush_timer(io),
        pause_timer(io),
        close_timer(io) {}

  Result<void> Open() {
    if (this->settings.controller) {
      if (Result<void> opened = this->OpenController(); !opened) return opened;
    }
    if (Result<void> listening = this->Listen(); !listening) return listening;
    if (this->settings.router && this->external != nullptr) {
      this->gateway = std::make_unique<Gateway>(this->io, this->settings, this->self, this->control,
                                                this->external->Codec(), this->metrics, this->log,
                                                this->response_bytes);
      this->gateway->Start();
    } else if (this->settings.router) {
      this->router =
          std::make_unique<Router>(this->io, this->settings, this->self, this->control, this->peers,
                                   this->metrics, this->tracer, this->log, this->response_bytes);
      this->router->Start();
    }
    this->FlushSpans();
    this->CheckLoop();
    this->log.Write(SteadyNow(), UnixMillis(),
                    Event("start")
                        .Add("id", this->settings.id)
                        .Add("incarnation", this->self.incarnation)
                        .Add("router", this->settings.router)
                        .Add("controller", this->settings.controller)
                        .Add("data_centre", this->settings.data_centre));
    LOG(INFO) << "daemon: " << this->settings.id << " serves " << this->settings.http_address
              << " and " << this->settings.peer_address << ", pid " << getpid();
    return {};
  }

  // Addresses and roles cannot be changed while running; new seeds take effect immediately.
  void Reload(const Settings& changed) {
    this->log.Write(
        SteadyNow(), UnixMillis(),
        Event("reload").Add("id", this->settings.id).Add("seeds", changed.seeds.size()));
    this->control.AddControllers(changed.seeds);
  }

  void Abort() {
    LOG(WARNING) << "daemon: stopping without draining";
    this->io.stop();
  }

  void Shutdown() {
    if (std::exchange(this->stopping, true)) {
      LOG(WARNING) << "daemon: another stop request; the shutdown is in progress";
      return;
    }
    this->log.Write(SteadyNow(), UnixMillis(), Event("stop").Add("id", this->settings.id));
    if (this->gateway) return this->DrainGateway();
    if (!this->router) return this->CloseHttp();
    this->router->Drain([self = this->shared_from_this()] { self->CloseHttp(); });
    this->http->Drain();
  }

 private:
  Result<void> OpenController() {
    ReplicaOptions options{.id = this->settings.id,
                           .controllers = this->settings.controllers,
                           .address = this->settings.peer_address,
                           .data_folder = this->settings.data_folder};
    if (!this->settings.seeds.empty()) {
      options.tolerated_losses = this->settings.tolerated_hosts;
      options.max_members = std::max(kVotingControllers, 2 * this->settings.tolerated_hosts + 1);
      options.heartbeat = kDiscoveryRaftHeartbeat;
      options.election_timeout = kDiscoveryElectionTimeout;
    }
    auto opened = Replica::Open(this->io, std::move(options), this->state);
    if (!opened) return tl::unexpected(opened.error());
    this->replica = std::move(*opened);
    this->raft_log = MakeReplicatedLog(*this->replica);
    this->control.SetLeaderSource([this] { return this->raft_log->Leader(); });
    this->controller = std::make_unique<Controller>(
        this->io,
        ControllerOptions{
            .id = this->settings.id,
            .controllers = this->settings.controllers,
            .peer_port = this->PeerPort(),
            .parse_config = this->SelectConfigParser(),
            .highest_revision_wins = this->external != nullptr,
            .callers_use_all_routers = this->external == nullptr,
            .registration_lease = kMaxMissedHeartbeats * this->settings.heartbeat_interval,
            .quota = this->settings.quota,
            .events = &this->log},
        *this->raft_log, this->state);
    this->replica->OnLeadershipChange([this](bool) { this->controller->CheckLeadership(); });
    return {};
  }

  Result<void> Listen() {
    try {
      this->peer_server = std::make_unique<PeerServer>(
          this->io, this->settings.peer_address,
          [weak = this->weak_from_this()](wire::BodyUnion body, const PeerRequest& request) {
            if (auto self = weak.lock()) self->OnPeerRequest(std::move(body), request);
          },
          PeerServerLimits{.max_connections = std::max<size_t>(
                               this->reserved_descriptors / kPeerDescriptorsDivisor, 1),
                           .bytes = this->peer_bytes});
    } catch (const boost::system::system_error& error) {
      return Fail(ErrorCode::kInvalidSettings, "peer_address " + this->settings.peer_address +
                                                   " cannot be used: " + error.what());
    }
    return this->external == nullptr ? this->ListenNative() : this->ListenExternal();
  }

  using Handler = void (Impl::*)(const HttpRequest&, const HttpResponder&);

  HttpServer::Handler BindHandler(Handler handler) {
    return [weak = this->weak_from_this(), handler](const HttpRequest& request,
                                                    const HttpResponder& responder) {
      if (auto self = weak.lock()) ((*self).*handler)(request, responder);
    };
  }

  static Result<void> Open(Result<std::unique_ptr<HttpServer>> opened,
                           std::unique_ptr<HttpServer>& server) {
    if (!opened) return tl::unexpected(opened.error());
    server = std::move(*opened);
    return {};
  }

  std::shared_ptr<ByteBudget> MemoryFor(double share) const {
    constexpr double kBytesInMegabyte = 1 << 20;
    return std::make_shared<ByteBudget>(
        static_cast<size_t>(share * this->settings.memory_mb * kBytesInMegabyte));
  }

  HttpServerLimits Limited(HttpServerLimits limits) const {
    limits.request_bytes = this->request_bytes;
    limits.response_bytes = this->response_bytes;
    limits.room = this->room;
    limits.max_header_fields = this->settings.max_header_fields;
    return limits;
  }

  size_t Descriptors() const {
    rlimit limit{};
    size_t most = std::numeric_limits<size_t>::max();
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) most = limit.rlim_cur;
    // A process with more has memory for fewer connections than that.
    constexpr size_t kMostDescriptors = 1 << 20;
    most = std::min(most, kMostDescriptors);
    return this->settings.descriptors == 0 ? most : std::min(most, this->settings.descriptors);
  }

  // Returns less than Descriptors(), whatever the limit of the operating system.
  size_t ReservedDescriptors() const {
    const size_t all = this->Descriptors();
    const size_t chosen = this->settings.reserved_descriptors;
    const size_t reserved = chosen == 0 ? all / kReservedDescriptorsDivisor : chosen;
    LOG_IF(WARNING, reserved >= all) << "daemon: reserved_descriptors " << reserved
                                     << " leaves none of the " << all << " descriptors";
    return std::min(reserved, all - 1);
  }

  Result<void> ListenNative() {
    return Open(HttpServer::Listen(this->io, this->settings.http_address,
                                   this->BindHandler(&Impl::OnHttp), this->Limited({})),
                this->http);
  }

  // Opens one listener for each group of callers. Empty addresses are skipped.
  Result<void> ListenExternal() {
    const HttpServer::Handler controller_handler = this->external->ControllerHandler(
        {.control = this->control,
         .routers =
             [this](const std::string& data_centre) { return this->RouterAddresses(data_centre); },
         .heartbeat_address =
             [this](const std::string& target) { return this->HeartbeatAddress(target); },
         .unavailable = [this] { return this->ControlUnavailable(); },
         .config_refused =
             [this](const Error& error) { ControlEvents(&this->log).ConfigRefused(error); }});
    const HttpServer::Handler main_handler =
        this->settings.router ? this->BindHandler(&Impl::OnRouteRequest) : controller_handler;
    struct Listener {
      const Address& address;
      HttpServer::Handler handler;
      std::unique_ptr<HttpServer>& server;
      HttpServerLimits limits;
    };
    const HttpServerLimits caller_limits{.max_header_bytes = kMaxCallerHeaderBytes};
    const Listener listeners[] = {
        {this->settings.http_address, main_handler, this->http, caller_limits},
        {this->settings.directory_address, controller_handler, this->directory_http, {}},
        {this->settings.health_address,
         this->BindHandler(&Impl::OnReadiness),
         this->health_http,
         {}},
        {this->settings.metrics_address, this->BindHandler(&Impl::OnHttp), this->metrics_http, {}}};
    for (const Listener& listener : listeners) {
      if (listener.address.empty()) continue;
      Result<void> opened = Open(HttpServer::Listen(this->io, listener.address, listener.handler,
                                                    this->Limited(listener.limits)),
                                 listener.server);
      if (!opened) return opened;
    }
    return {};
  }

  void OnRouteRequest(const HttpRequest& request, const HttpResponder& responder) {
    if (this->gateway) this->gateway->Handle(request, responder);
  }

  void OnReadiness(const HttpRequest& request, const HttpResponder& responder) {
    const bool ready = !this->stopping && this->gateway && this->gateway->Ready();
    responder.Send(this->external->Readiness(request, ready));
  }

  // Returns the addresses of the routers to offer to a caller. A router uses its copy of the list,
  // so that callers can find routers while no controller is reachable.
  Result<std::vector<Address>> RouterAddresses(const std::string& data_centre) const {
    const auto& routers = this->raft_log ? this->state.Routers() : this->control.Routers();
    std::vector<Address> addresses =
        OfferedRouters(routers, this->raft_log ? this->state.OfferedRouterCount() : 0, data_centre);
    if (addresses.empty()) return Fail(ErrorCode::kNotSynchronized, "no router accepts requests");
    return addresses;
  }

  // Returns the address for the next heartbeats of a target, or an empty one if the leader is
  // unknown. All controllers use the same port, and their ids are their IP addresses.
  Address HeartbeatAddress(const std::string& target) const {
    if (!this->raft_log) return {};
    const std::string controller =
        HeartbeatController(target, this->settings.id, this->raft_log->Leader(),
                            this->raft_log->Status().members, this->control.RegisteredTargets());
    if (controller.empty()) return {};
    return JoinAddress(controller, PortOf(this->settings.http_address));
  }

  // A controller that cannot store passes requests on to the leader. If it knows none, it would
  // only hold them until their deadline.
  std::optional<Error> ControlUnavailable() const {
    if (!this->replica || this->replica->StorageError().empty()) return std::nullopt;
    if (!this->replica->Leader().empty()) return std::nullopt;
    return Error{ErrorCode::kUnavailable, "this controller cannot store and knows no leader: " +
                                              this->replica->StorageError()};
  }

  uint16_t PeerPort() const {
    return this->settings.seeds.empty() ? 0 : PortOf(this->settings.peer_address);
  }

  ConfigParser SelectConfigParser() const {
    return this->external == nullptr ? &Config::Parse : this->external->GetConfigParser();
  }

  // Serves callers with a stale router list for a while and asks each to close its connection. Then
  // finishes the requests in progress, answers those that are still running shortly before the end
  // of the grace period, and exits before the process is killed.
  void DrainGateway() {
    const Time now = SteadyNow();
    const Time answer_by = now + this->Before(kAnswerReserve);
    this->gateway->Drain(answer_by);
    this->http->Drain();
    this->RunAt(now + std::min(this->Before(kDrainReserve), kStaleListAcceptTime), [this] {
      this->http->Stop([self = this->shared_from_this()] { self->TransferLeadership(); });
    });
    this->RunAt(answer_by, [this] { this->gateway->AnswerRunning(); });
    this->RunAt(now + this->Before(kExitReserve), [this] { this->TransferLeadership(); });
  }

  // Calls `function` at `at`, unless the event loop has stopped by then.
  template <typename Function>
  void RunAt(Time at, Function function) {
    auto at_timer = std::make_shared<asio::steady_timer>(this->io, at);
    at_timer->async_wait([self = this->shared_from_this(), at_timer,
                          function = std::move(function)](boost::system::error_code error) {
      if (!error) function();
    });
  }

  // Returns the time from the stop signal to `reserve` before the end of the grace period.
  Duration Before(Duration reserve) const {
    return std::max(this->settings.shutdown_grace - reserve, Duration(0));
  }

  void OnPeerRequest(wire::BodyUnion body, const PeerRequest& request) {
    switch (body.type) {
      case wire::Body::RaftEnvelope:
        if (this->replica) this->replica->Receive(*body.AsRaftEnvelope());
        return;
      case wire::Body::SubRequest:
      case wire::Body::Release:
        if (this->router) this->router->HandlePeer(std::move(body), request);
        return;
      default:
        if (this->controller) this->controller->Handle(std::move(body), request);
    }
  }

  void OnHttp(const HttpRequest& request, const HttpResponder& responder) {
    if (this->router && this->router->Handles(request)) {
      return this->router->Handle(request, responder);
    }
    if (this->operators.Handles(request)) {
      return this->operators.Handle(request, responder);
    }
    if (this->gateway && request.method == "POST" && request.path == "/v1/explain") {
      return responder.Send(this->gateway->Explain(request));
    }
    if (request.method == "GET" && request.path == "/metrics") {
      return responder.Send(TextResponse(200, this->MetricsText()));
    }
    if (request.method == "GET" && request.path == "/healthz") {
      return responder.Send(JsonResponse(200, this->HealthJson()));
    }
    responder.Send(ErrorResponse(
        {ErrorCode::kNotFound, "no such path: " + request.method + " " + request.path}, ""));
  }

  std::string MetricsText() {
    const HttpServerStatus status = this->http->Status();
    this->metrics.GaugeOf("peridotgauge_http_connections")
        .Set(static_cast<double>(status.connections));
    this->metrics.GaugeOf("peridotgauge_http_running").Set(static_cast<double>(status.running));
    this->metrics.GaugeOf("peridotgauge_http_refused_requests")
        .Set(static_cast<double>(status.refused_requests));
    this->metrics.GaugeOf("peridotgauge_spans_dropped")
        .Set(static_cast<double>(this->tracer.Dropped()));
    this->metrics.GaugeOf("peridotgauge_config_revision")
        .Set(static_cast<double>(this->control.CurrentConfig()->Revision()));
    const auto show = [this](const ByteBudget& budget, const std::string& of) {
      this->metrics.GaugeOf("peridotgauge_kept_bytes", {{"of", of}})
          .Set(static_cast<double>(budget.Used()));
      this->metrics.GaugeOf("peridotgauge_kept_limit_bytes", {{"of", of}})
          .Set(static_cast<double>(budget.Limit()));
      this->metrics.GaugeOf("peridotgauge_kept_cuts", {{"of", of}})
          .Set(static_cast<double>(budget.Cuts()));
    };
    show(*this->request_bytes, "requests");
    show(*this->response_bytes, "responses");
    show(*this->peer_bytes, "peers");
    const auto set = [this](const std::string& name, size_t value) {
      this->metrics.GaugeOf(name).Set(static_cast<double>(value));
    };
    set("peridotgauge_caller_connections", this->room->Connections());
    set("peridotgauge_caller_connections_limit", this->room->Limits().connections);
    set("peridotgauge_caller_bytes", this->room->UsedBytes());
    set("peridotgauge_caller_bytes_limit", this->room->Limits().bytes);
    set("peridotgauge_caller_closed_for_room", this->room->Closed());
    set("peridotgauge_caller_refused_for_room", this->room->Refused());
    set("peridotgauge_peer_connections", this->peer_server->Connections());
    this->metrics.GaugeOf("peridotgauge_loop_longest_pause_seconds")
        .Set(std::chrono::duration<double>(this->loop_pauses.Longest(SteadyNow())).count());
    if (this->replica) {
      const ReplicaStatus replica_status = this->replica->Status();
      this->metrics.GaugeOf("peridotgauge_storage_available")
          .Set(replica_status.storage_error.empty() ? 1 : 0);
      this->metrics.GaugeOf("peridotgauge_storage_outages")
          .Set(static_cast<double>(replica_status.storage_outages));
    }
    return this->metrics.Text();
  }

  std::string HealthJson() const {
    boost::json::object json{{"id", this->settings.id},
                             {"data_centre", this->settings.data_centre},
                             {"stopping", this->stopping}};
    if (this->router) {
      json["router"] = {{"synchronized", this->router->Synchronized(SteadyNow())},
                        {"revision", this->control.CurrentConfig()->Revision()}};
    }
    if (this->replica) {
      const ReplicaStatus status = this->replica->Status();
      json["controller"] = {{"role", status.role},
                            {"leader", status.leader},
                            {"term", status.term},
                            {"commit_index", status.commit_index},
                            {"log_entries", status.log_entries},
                            {"log_bytes", status.log_bytes},
                            {"storage_error", status.storage_error}};
    }
    return boost::json::serialize(json);
  }

  void FlushSpans() {
    if (Result<void> flushed = this->tracer.Flush(); !flushed) {
      LOG_EVERY_N(WARNING, 100) << "daemon: flushing spans failed, retrying: "
                                << flushed.error().ToString();
    }
    this->flush_timer.expires_after(kSpanFlushInterval);
    this->flush_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self) self->FlushSpans();
    });
  }

  // Measures pauses of the event loop, and logs long ones.
  void CheckLoop() {
    const Time now = SteadyNow();
    const auto pause = this->loop_pauses.Check(
        {.now = now, .cpu = ThreadTimes::Cpu(), .queued = this->thread_times.Queued()});
    if (pause) {
      Event event("loop_paused");
      event.Add("paused_ms", pause->length).Add("cpu_ms", pause->cpu);
      if (pause->queued) event.Add("queued_ms", *pause->queued);
      this->log.Write(now, UnixMillis(), event.Add("not_logged", pause->left_out));
    }
    this->pause_timer.expires_after(kLoopCheckInterval);
    this->pause_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self) self->CheckLoop();
    });
  }

  // --- Shutdown after the router has drained ---

  void CloseHttp() {
    this->close_timer.expires_after(kCloseTimeout);
    this->close_timer.async_wait([self =
                                      this->shared_from_this()](boost::system::error_code error) {
      if (error) return;
      LOG(WARNING) << "daemon: close timeout expired; closing the connections that are still open";
      self->TransferLeadership();
    });
    this->http->Stop([self = this->shared_from_this()] {
      self->close_timer.cancel();
      self->TransferLeadership();
    });
  }

  void TransferLeadership() {
    if (std::exchange(this->transferring, true)) return;
    if (!this->replica) return this->Finish();
    this->replica->TransferLeadership(SteadyNow() + kTransferTimeout,
                                      [self = this->shared_from_this()] { self->Finish(); });
  }

  void Finish() {
    if (this->controller) this->controller->Stop();
    this->control.Stop();
    while (this->tracer.Flush()) {
      if (!this->tracer.HasBuffered()) break;
    }
    LOG(INFO) << "daemon: stopped";
    this->io.stop();
  }

  asio::io_context& io;
  Settings settings;
  const ExternalInterface* external;
  EventLog log;
  const std::shared_ptr<ByteBudget> request_bytes;
  const std::shared_ptr<ByteBudget> response_bytes;
  const std::shared_ptr<ByteBudget> peer_bytes;
  const size_t reserved_descriptors;
  const std::shared_ptr<CallerRoom> room;
  Metrics metrics;
  Tracer tracer;
  PeerPool peers;
  RouterRecord self;
  ControlClient control;
  OperatorHttp operators;
  // The controller role; the three pointers are all set or all null. `state` must outlive the
  // replica.
  ControlState state;
  std::unique_ptr<Replica> replica;
  std::unique_ptr<ReplicatedLog> raft_log;
  std::unique_ptr<Controller> controller;
  // The router role; at most one of the two is set.
  std::unique_ptr<Router> router;
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<PeerServer> peer_server;
  std::unique_ptr<HttpServer> http;
  std::unique_ptr<HttpServer> directory_http;
  std::unique_ptr<HttpServer> health_http;
  std::unique_ptr<HttpServer> metrics_http;
  asio::steady_timer flush_timer;
  LoopPauses loop_pauses;
  ThreadTimes thread_times;
  asio::steady_timer pause_timer;
  asio::steady_timer close_timer;
  bool stopping = false;
  bool transferring = false;
};

Daemon::Daemon(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}
Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::Start(asio::io_context& io, Settings settings,
                                              const ExternalInterface* external) {
  auto impl = std::make_shared<Impl>(io, std::move(settings), external);
  if (Result<void> opened = impl->Open(); !opened) return tl::unexpected(opened.error());
  return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

void Daemon::Reload(const Settings& settings) { this->impl->Reload(settings); }

void Daemon::Shutdown() { this->impl->Shutdown(); }
void Daemon::Abort() { this->impl->Abort(); }

}  // namespace peridotgauge
