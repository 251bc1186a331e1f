#include "io/router.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <set>
#include <utility>

#include "core/admission.h"
#include "core/caller_api.h"
#include "core/hedge.h"
#include "core/plan.h"
#include "core/quarantine.h"
#include "core/replica_choice.h"
#include "core/request_times.h"
#include "core/target_signals.h"
#include "io/clock.h"
#include "io/order_runner.h"
#include "io/owner.h"
#include "io/quota_gate.h"
#include "io/random_seed.h"
#include "io/request_context.h"
#include "io/search_runner.h"
#include "io/sub_request_sender.h"
#include "state/registration.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

constexpr Duration kMaintenanceInterval = Millis(50);
// Timeout of a Leave command. Without an answer of the leader, the session expires by itself.
constexpr Duration kLeaveTimeout = Seconds(3);

std::string RandomRequestId(std::mt19937_64& random) { return ToHex(TraceId{random(), random()}); }

}  // namespace

class Router::Impl : public std::enable_shared_from_this<Router::Impl> {
 public:
  Impl(asio::io_context& io, const Settings& settings, const RouterRecord& self,
       ControlClient& control, PeerPool& peers, Metrics& metrics, Tracer& tracer, EventLog& log,
       std::shared_ptr<ByteBudget> response_bytes)
      : self(self),
        control(control),
        peers(peers),
        metrics(metrics),
        replica_choice(ReplicaChoice::MustMake(
            settings.replica_choice, {.seed = RandomSeed(), .ejection = settings.ejection})),
        chooser(*this->replica_choice, this->signals, &TargetSignals::IsNotEvacuated),
        admission(settings.admission),
        owner({io, settings, control, peers, tracer, metrics, std::move(response_bytes)},
              {self.id, self.incarnation}),
        sender(self.id, this->owner, peers, *this->replica_choice, this->hedge_budget),
        registrations(self.id),
        crash_guard({io, control, metrics, log}),
        quota_gate(std::make_shared<QuotaGate>(io, control, settings.quota, metrics, log)),
        context{io,
                settings,
                control,
                this->planner,
                this->chooser,
                this->hedge_budget,
                this->admission,
                this->quarantine,
                this->crash_guard,
                this->sender,
                tracer,
                metrics},
        orders{self.id, self.incarnation},
        timer(io),
        random(RandomSeed()) {}

  void Start() {
    this->control.OnChange([weak = this->weak_from_this()](const ControlChange& change) {
      if (auto router = weak.lock()) router->OnControlChange(change);
    });
    this->control.Start();
    this->RunMaintenance();
  }

  static const auto& Routes() {
    struct Route {
      std::string_view method;
      std::string_view path;
      void (Impl::*handle)(const HttpRequest&, const HttpResponder&);
    };
    static const Route kRoutes[] = {{"GET", "/v1/routers", &Impl::ListRouters},
                                    {"POST", "/v1/search", &Impl::Search},
                                    {"POST", "/v1/order", &Impl::Order},
                                    {"POST", "/v1/targets", &Impl::RegisterTarget}};
    return kRoutes;
  }

  bool Handles(const HttpRequest& request) const {
    for (const auto& route : Routes()) {
      if (route.path == request.path && route.method == request.method) return true;
    }
    return false;
  }

  void Handle(const HttpRequest& request, const HttpResponder& responder) {
    for (const auto& route : Routes()) {
      if (route.path != request.path || route.method != request.method) continue;
      return (this->*route.handle)(request, responder);
    }
    responder.Send(ErrorResponse({ErrorCode::kNotFound, "no such path"}, ""));
  }

  void HandlePeer(wire::BodyUnion body, const PeerRequest& request) {
    const Time now = SteadyNow();
    if (const wire::ReleaseT* release = body.AsRelease()) {
      return this->owner.OnRelease(now, *release);
    }
    wire::SubRequestT* sub_request = body.AsSubRequest();
    if (sub_request == nullptr) return;
    const Time deadline = now + Duration(sub_request->budget_us);
    const uint64_t job = this->owner.Run(
        now, std::move(*sub_request), deadline,
        [request](wire::SubReplyT reply) { request.Reply(ToBody(std::move(reply))); });
    request.OnCancel([weak = this->weak_from_this(), job] {
      if (auto router = weak.lock()) router->owner.Cancel(SteadyNow(), job);
    });
  }

  void Drain(std::function<void()> done) {
    LOG(INFO) << "router: draining, leaving the address list";
    this->on_drained = std::move(done);
    this->control.Command(LeaveCommand(this->self.id, this->self.incarnation, /*clean=*/false),
                          SteadyNow() + kLeaveTimeout, [](const Result<wire::CommandReplyT>&) {});
    this->refuse_at = SteadyNow() + kDrainTime;
  }

  bool Synchronized(Time now) const { return this->control.Synchronized(now); }

 private:
  // --- Callers ---

  bool IsRefusing(Time now) const { return this->refuse_at && now >= *this->refuse_at; }

  // Refuses the request and returns true if the drain time has ended or this router is not
  // synchronized. `not_run` is false for an order, because an earlier request with the same id may
  // have been executed.
  bool RefuseUnlessServing(Time now, const HttpResponder& responder, std::string_view id,
                           bool not_run = true) const {
    if (this->IsRefusing(now)) {
      responder.Send(ErrorResponse({ErrorCode::kDraining, ""}, id, not_run));
      return true;
    }
    if (this->control.Synchronized(now)) return false;
    responder.Send(ErrorResponse({ErrorCode::kNotSynchronized, ""}, id, not_run));
    return true;
  }

  void CountRefusal(const Error& error) {
    this->metrics
        .CounterOf("peridotgauge_callers_refused_total", {{"error", std::string(error.Name())}})
        .Add();
  }

  // Returns the workspace of a caller in the current configuration; null if the service needs no
  // key.
  Result<std::shared_ptr<const Workspace>> FindCaller(const std::string& key,
                                                      const std::string& service) {
    const auto config = this->control.CurrentConfig();
    const Result<const Workspace*> found = config->FindCaller(service, key);
    if (!found) {
      this->CountRefusal(found.error());
      return tl::unexpected(found.error());
    }
    if (*found == nullptr) return nullptr;
    return std::shared_ptr<const Workspace>(config, *found);
  }

  void ListRouters(const HttpRequest&, const HttpResponder& responder) {
    if (this->RefuseUnlessServing(SteadyNow(), responder, "")) return;
    RouterList list{.ttl = kRouterListTtl};
    for (const auto& [id, router] : this->control.Routers()) {
      if (!router.draining) list.routers.push_back({router.http_address, router.data_centre});
    }
    responder.Send(JsonResponse(200, FormatRouterList(list)));
  }

  // A search or order whose caller is known, until its quota is decided.
  struct Arrival {
    Time time;
    std::string service;
    std::string request_id;
    std::string key;
    std::optional<Duration> deadline;  // that the caller asks for
    // Whether an error before the execution proves that the request was not executed.
    bool not_run = true;
  };

  // An admitted request. `deadline` is that of the arrival, less the wait for a permit.
  struct Admitted {
    Time now;
    std::string workspace;  // empty: none
    std::optional<Duration> deadline;
  };

  // Looks up the caller and counts the request against the quota of the workspace. Then calls `run`
  // once, or refuses the request.
  void Admit(const Arrival& arrival, const HttpResponder& responder,
             std::function<void(Admitted)> run) {
    const auto config = this->control.CurrentConfig();
    const auto caller = this->FindCaller(arrival.key, arrival.service);
    if (!caller) {
      return responder.Send(ErrorResponse(caller.error(), arrival.request_id, arrival.not_run));
    }
    const std::shared_ptr<const Workspace>& workspace = *caller;
    const Service* service = config->FindService(arrival.service);
    if (!workspace || !workspace->quota.Limited() || service == nullptr) {
      return run({arrival.time, workspace ? workspace->name : "", arrival.deadline});
    }
    const Duration time_left = std::min(arrival.deadline.value_or(service->deadline), kMaxDeadline);
    const Duration max_wait = MaxQuotaWait(arrival.time, time_left, this->refuse_at);
    this->quota_gate->Admit(
        arrival.time, *workspace, max_wait, responder,
        [this, arrival, workspace, config, time_left, responder,
         run = std::move(run)](std::optional<Duration> retry_after) {
          if (retry_after) {
            return this->RefuseForQuota(arrival, *workspace, *retry_after, responder);
          }
          const Time now = SteadyNow();
          const Duration left = std::max(time_left - (now - arrival.time), Duration(0));
          if (config == this->control.CurrentConfig()) return run({now, workspace->name, left});
          // The key may have been removed during the wait.
          const auto again = this->FindCaller(arrival.key, arrival.service);
          if (!again) {
            return responder.Send(
                ErrorResponse(again.error(), arrival.request_id, arrival.not_run));
          }
          run({now, *again ? (*again)->name : "", left});
        });
  }

  void RefuseForQuota(const Arrival& arrival, const Workspace& workspace, Duration retry_after,
                      const HttpResponder& responder) {
    const Error error{ErrorCode::kQuotaExceeded,
                      "workspace " + workspace.name + " has used up its request quota"};
    this->CountRefusal(error);
    responder.Send(RetryResponse(error, arrival.request_id, retry_after, arrival.not_run));
  }

  // The destructor of the last copy ends the request, also if it is refused, aborted or withdrawn.
  std::shared_ptr<void> CountRunning() {
    ++this->running_requests;
    return {nullptr, [weak = this->weak_from_this()](void*) {
              if (auto router = weak.lock()) --router->running_requests;
            }};
  }

  void Search(const HttpRequest& http, const HttpResponder& responder) {
    Result<SearchRequest> request = ParseSearchRequest(http.body);
    if (!request) return responder.Send(ErrorResponse(request.error(), ""));
    if (request->request_id.empty()) request->request_id = RandomRequestId(this->random);
    const Time now = SteadyNow();
    if (this->RefuseUnlessServing(now, responder, request->request_id)) return;
    const Arrival arrival{.time = now,
                          .service = request->service,
                          .request_id = request->request_id,
                          .key = std::string(WorkspaceKey(http)),
                          .deadline = request->deadline};
    this->Admit(arrival, responder,
                [this, request = std::move(*request), running = this->CountRunning(), responder,
                 parent = ParseTraceparent(http.Header("traceparent"))](Admitted admitted) mutable {
                  request.workspace = std::move(admitted.workspace);
                  request.deadline = admitted.deadline;
                  this->RunSearch(admitted.now, std::move(request), parent, running, responder);
                });
  }

  // `running` is kept until the search has ended.
  void RunSearch(Time now, SearchRequest request, const std::optional<SpanContext>& parent,
                 const std::shared_ptr<void>& running, const HttpResponder& responder) {
    const std::string id = request.request_id;
    auto run = SearchRun::Start(this->context, std::move(request), parent, now,
                                [responder, id, running](Result<SearchResponse> answer) {
                                  if (!answer) {
                                    return responder.Send(ErrorResponse(answer.error(), id));
                                  }
                                  responder.Send(JsonResponse(200, FormatSearchResponse(*answer)));
                                });
    if (!run) return;
    responder.OnDisconnect([weak = std::weak_ptr<SearchRun>(run)] {
      if (auto search = weak.lock()) search->Abort();
    });
  }

  void Order(const HttpRequest& http, const HttpResponder& responder) {
    Result<OrderRequest> request = ParseOrderRequest(http.body);
    if (!request) return responder.Send(ErrorResponse(request.error(), ""));
    const Time now = SteadyNow();
    if (this->RefuseUnlessServing(now, responder, request->request_id, false)) return;
    const Arrival arrival{.time = now,
                          .service = request->service,
                          .request_id = request->request_id,
                          .key = std::string(WorkspaceKey(http)),
                          .deadline = request->deadline,
                          // An earlier request with the same id may have been executed, with a
                          // key that was removed since or before the quota was used up.
                          .not_run = false};
    this->Admit(arrival, responder,
                [this, request = std::move(*request), running = this->CountRunning(), responder,
                 parent = ParseTraceparent(http.Header("traceparent"))](Admitted admitted) mutable {
                  request.workspace = std::move(admitted.workspace);
                  request.deadline = admitted.deadline;
                  this->RunOrder(admitted.now, std::move(request), parent, running, responder);
                });
  }

  // `running` is kept until the order is answered.
  void RunOrder(Time now, OrderRequest request, const std::optional<SpanContext>& parent,
                const std::shared_ptr<void>& running, const HttpResponder& responder) {
    const std::string id = request.request_id;
    StartOrder(this->context, this->orders, std::move(request), parent, now,
               [responder, id, running](OrderReply reply) {
                 if (!reply.answer) {
                   return responder.Send(ErrorResponse(reply.answer.error(), id, reply.not_run));
                 }
                 responder.Send(JsonResponse(200, FormatOrderResponse(*reply.answer)));
               });
  }

  // --- Targets ---

  void RegisterTarget(const HttpRequest& http, const HttpResponder& responder) {
    Result<RegistrationRequest> request = ParseRegistrationRequest(http.body);
    if (!request) return responder.Send(ErrorResponse(request.error(), ""));
    const Time now = SteadyNow();
    if (this->RefuseUnlessServing(now, responder, "")) return;
    const auto change = this->registrations.Register(now, request->record);
    if (!change) return responder.Send(ErrorResponse(change.error(), ""));
    if (*change != RegistrationChange::kStale) this->control.Register(request->record);
    RegistrationResponse answer{.lease = kRegistrationLease};
    for (const auto& [id, router] : this->control.Routers()) {
      if (!router.draining) answer.routers.push_back(router.http_address);
    }
    responder.Send(JsonResponse(200, FormatRegistrationResponse(answer)));
  }

  // --- Control plane ---

  void OnControlChange(const ControlChange& change) {
    const Time now = SteadyNow();
    if (change.lease_acquired) ++this->orders.lease_generation;
    if (change.evacuations) this->OnEvacuations();
    if (change.config) this->OnConfig();
    if (change.directory) this->OnDirectory();
    if (change.quarantine) this->quarantine.SetCommitted(this->control.QuarantineList());
    this->crash_guard.OnControlChange(now, change);
    if (change.routers) this->OnRouters();
    this->quota_gate->OnControlChange(now, change);
    this->owner.OnControlChange(now, change);
  }

  void OnConfig() {
    const auto config = this->control.CurrentConfig();
    this->planner.SetConfig(config);
    this->hedge_budget.SetConfig(SteadyNow(), *config);
    LOG(INFO) << "router: configuration revision " << config->Revision()
              << " is active on this router";
  }

  // Applies the differences between the directory and the known targets.
  void OnDirectory() {
    this->signals.Expire(SteadyNow());
    UpdateKnownTargets(
        this->control.Directory().Targets(), this->known_targets,
        [this](const TargetRecord& record) {
          this->signals.OnDirectory(SteadyNow(), record);
          this->PlanTarget(record);
          this->registrations.RemoveSuperseded(record);
        },
        [this](const TargetRecord& record) {
          TargetRecord gone = record;
          gone.state = TargetState::kGone;
          this->signals.OnDirectory(SteadyNow(), gone);
          this->planner.Remove(record.target);
          this->replica_choice->Remove(record.target);
        });
  }

  // New plans leave out the targets in evacuated data centres, so that a snapshot that only they
  // hold is not chosen. Running requests have older plans; see `chooser`.
  void PlanTarget(const TargetRecord& record) {
    if (this->signals.IsEvacuated(record)) return this->planner.Remove(record.target);
    this->planner.Upsert(record);
  }

  void OnEvacuations() {
    const std::vector<std::string>& data_centres = this->control.Evacuated();
    this->signals.SetEvacuated(data_centres);
    for (const auto& [name, record] : this->known_targets) this->PlanTarget(record);
    this->metrics.GaugeOf("peridotgauge_evacuated_data_centres")
        .Set(static_cast<double>(data_centres.size()));
    std::string names;
    for (const std::string& name : data_centres) names += " " + name;
    LOG(INFO) << "router: evacuated data centres:" << (names.empty() ? " none" : names);
  }

  void OnRouters() {
    std::set<Address> addresses;
    for (const auto& [id, router] : this->control.Routers()) addresses.insert(router.peer_address);
    this->peers.CloseExcept(addresses);
  }

  // --- Timer ---

  void RunMaintenance() {
    const Time now = SteadyNow();
    for (TargetRecord& expired : this->registrations.Expire(now)) {
      this->control.Register(std::move(expired));
    }
    this->ContinueDrain(now);
    this->timer.expires_after(kMaintenanceInterval);
    this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto router = weak.lock();
      if (!error && router) router->RunMaintenance();
    });
  }

  // Leaves the router list once all running work has ended.
  void ContinueDrain(Time now) {
    if (!this->IsRefusing(now) || this->leaving) return;
    if (this->running_requests > 0 || this->orders.running > 0 || !this->owner.Idle()) return;
    this->leaving = true;
    this->control.StopSync();
    this->control.Command(LeaveCommand(this->self.id, this->self.incarnation, /*clean=*/true),
                          now + kLeaveTimeout,
                          [weak = this->weak_from_this()](const Result<wire::CommandReplyT>&) {
                            auto router = weak.lock();
                            if (!router || !router->on_drained) return;
                            LOG(INFO) << "router: drained, all running requests have ended";
                            std::exchange(router->on_drained, nullptr)();
                          });
  }

  RouterRecord self;
  ControlClient& control;
  PeerPool& peers;
  Metrics& metrics;
  Planner planner;
  std::unique_ptr<ReplicaChoice> replica_choice;
  TargetSignals signals;  // only of evacuated data centres
  SignalChooser chooser;  // of targets that are not evacuated
  HedgeBudget hedge_budget;
  Admission admission;
  Quarantine quarantine;
  Owner owner;
  SubRequestSender sender;
  Registrations registrations;
  CrashGuard crash_guard;
  std::shared_ptr<QuotaGate> quota_gate;
  RequestContext context;
  OrderContext orders;
  asio::steady_timer timer;
  std::mt19937_64 random;
  std::map<std::string, TargetRecord> known_targets;  // the targets that the planner has
  uint32_t running_requests = 0;                      // searches and orders without an answer
  std::optional<Time> refuse_at;  // when to start refusing requests; set by Drain()
  bool leaving = false;
  std::function<void()> on_drained;
};

Router::Router(asio::io_context& io, const Settings& settings, const RouterRecord& self,
               ControlClient& control, PeerPool& peers, Metrics& metrics, Tracer& tracer,
               EventLog& log, std::shared_ptr<ByteBudget> response_bytes)
    : impl(std::make_shared<Impl>(io, settings, self, control, peers, metrics, tracer, log,
                                  std::move(response_bytes))) {}
Router::~Router() = default;
void Router::Start() { this->impl->Start(); }
bool Router::Handles(const HttpRequest& request) const { return this->impl->Handles(request); }
void Router::Handle(const HttpRequest& request, const HttpResponder& responder) {
  this->impl->Handle(request, responder);
}
void Router::HandlePeer(wire::BodyUnion body, const PeerRequest& request) {
  this->impl->HandlePeer(std::move(body), request);
}
void Router::Drain(std::function<void()> done) { this->impl->Drain(std::move(done)); }
bool Router::Synchronized(Time now) const { return this->impl->Synchronized(now); }

}  // namespace peridotgauge
