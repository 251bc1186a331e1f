#include "io/gateway.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/caller_wait.h"
#include "core/extra_attempt_limit.h"
#include "core/plan.h"
#include "core/quarantine.h"
#include "core/recent_maximum.h"
#include "core/replica_choice.h"
#include "core/request_times.h"
#include "core/route_plan.h"
#include "core/router_offer.h"
#include "core/warmup_limit.h"
#include "io/clock.h"
#include "io/crash_guard.h"
#include "io/evacuations.h"
#include "io/explain_routes.h"
#include "io/overload_guard.h"
#include "io/quota_gate.h"
#include "io/random_seed.h"
#include "io/route_request.h"
#include "io/target_event.h"
#include "io/target_health.h"
#include "state/push_pacing.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// Share of a target's connection limit that all routers together use. The rest is a reserve for
// connections that one side has closed and the other still counts.
constexpr double kConnectionShare = 0.9;
// Callers retry after this time if the router has no configuration. A restarted router is
// synchronized after an election, which takes 200 to 400 ms.
constexpr Duration kSynchronizeDelay = Millis(400);
// Callers can send a request that a draining router refuses to another router at once.
constexpr Duration kDrainingRetryDelay{0};
// A caller of a suspect request retries after this time, in which another request may have shown
// that it is harmless.
constexpr Duration kTrialDelay = Millis(100);
constexpr Duration kLeaveTimeout = Seconds(2);
// With fewer connections to a target of any service, connections count as scarce and the router
// avoids one replica of each shard.
constexpr size_t kScarceConnectionsThreshold = 2;
constexpr std::string_view kRouteReplicaChoice = "least";
// Reports of grown debts are sent at most once in this many push intervals of the leader, so that
// those of all routers together stay a small part of its work.
constexpr int kDebtReportPushIntervals = 4;

}  // namespace

class Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl> {
 public:
  Impl(asio::io_context& io, const Settings& settings, RouterRecord self, ControlClient& control,
       const RouteCodec& codec, Metrics& metrics, EventLog& log,
       std::shared_ptr<ByteBudget> response_bytes)
      : settings(settings),
        self(std::move(self)),
        control(control),
        plans(planner),
        pool(
            io,
            [this](const std::string& target, const HttpHeader& request_id_header,
                   std::string_view value) { this->OnStray(target, request_id_header, value); },
            std::move(response_bytes)),
        replica_choice(ReplicaChoice::MustMake(
            settings.replica_choice.empty() ? kRouteReplicaChoice : settings.replica_choice,
            {.seed = RandomSeed(),
             .ejection = settings.ejection,
             .data_centre = settings.data_centre,
             .router = settings.id})),
        evacuations({this->pool, this->signals, metrics, log}),
        random(RandomSeed()),
        extra_limit(settings.extra_requests, settings.shutdown_grace, SteadyNow()),
        serving_routers(settings.shutdown_grace),
        debt_timer(io),
        crash_guard({io, control, metrics, log}),
        quota_gate(std::make_shared<QuotaGate>(io, control, settings.quota, metrics, log)),
        warmup(settings.warmup, settings.id),
        overload_guard(this->extra_limit.Budget(), metrics, log, this->random),
        context{io,
                codec,
                this->pool,
                *this->replica_choice,
                this->signals,
                this->extra_limit.Budget(),
                this->hedge_budgets,
                metrics,
                log,
                this->random,
                this->crash_guard,
                this->warmup,
                this->overload_guard.Admission(),
                settings.overload_admission,
                [this](Time now) { this->ReportGrownDebts(now); },
                [this](Time now, const TargetRecord& target) {
                  this->target_health.OnSend(now, target);
                }},
        target_health({this->pool, codec, this->warmup, log}) {}

  void Start() {
    this->control.OnChange([weak = this->weak_from_this()](const ControlChange& change) {
      if (auto gateway = weak.lock()) gateway->OnControlChange(change);
    });
    this->control.SetReport([weak = this->weak_from_this()](Time now) {
      const auto gateway = weak.lock();
      return gateway ? gateway->Report(now) : RouterReport{};
    });
    this->control.Start();
  }

  bool Ready() const { return !this->answer_by && !this->config->Routes().Empty(); }

  void Handle(HttpRequest http, const HttpResponder& responder) {
    const Time now = SteadyNow();
    if (now >= this->connection_shares_due) this->UpdateShares(now);
    if (now >= this->extra_limit.NextUpdate()) this->UpdateSlack(now);
    Result<CallerRequestInfo> request_info = this->context.codec.ParseCallerRequest(http);
    if (!request_info) return this->Refuse(now, http, "", request_info.error(), responder);
    if (this->config->Revision() == 0) {
      return this->Refuse(now, http, request_info->request_id,
                          {ErrorCode::kNotSynchronized, "no configuration is known yet"},
                          responder);
    }
    Arrival arrival{.time = now, .http = std::move(http), .request_info = std::move(*request_info)};
    if (const auto error = this->Resolve(arrival)) {
      return this->Refuse(now, arrival.http, arrival.request_info.request_id, *error, responder);
    }
    // A router that must not accept any more refuses without using up a permit.
    const bool past_drain = this->answer_by && now >= *this->answer_by;
    if (!arrival.workspace || !arrival.workspace->quota.Limited() || past_drain) {
      return this->Accept(std::move(arrival), responder);
    }
    this->CheckQuota(std::move(arrival), responder);
  }

  HttpResponse Explain(const HttpRequest& request) {
    return RespondToExplain(SteadyNow(), UnixMillis(), request,
                            {.self = this->self,
                             .control = this->control,
                             .codec = this->context.codec,
                             .config = this->config,
                             .plans = this->plans,
                             .targets = this->known_targets,
                             .replica_choice = *this->replica_choice,
                             .signals = this->signals,
                             .warmup = this->warmup,
                             .pool = this->pool,
                             .quota = *this->quota_gate,
                             .overload = this->overload_guard.Admission(),
                             .overload_admission = this->settings.overload_admission,
                             .crash_guard = this->crash_guard,
                             .extra_limit = this->extra_limit,
                             .hedge_budgets = this->hedge_budgets,
                             .split = this->split,
                             .answer_by = this->answer_by});
  }

  void AnswerRunning() {
    const auto open_requests = this->running;
    this->Log(SteadyNow(), Event("answer_running").Add("requests", open_requests.size()));
    for (const auto& [id, weak] : open_requests) {
      if (const auto request = weak.lock()) request->Expire();
    }
  }

  void Drain(Time deadline) {
    this->answer_by = deadline;
    this->control.Command(LeaveCommand(this->self.id, this->self.incarnation, /*clean=*/false),
                          SteadyNow() + kLeaveTimeout, [](const Result<wire::CommandReplyT>&) {});
  }

 private:
  // --- Requests ---

  // A request whose route and caller are looked up in one configuration.
  struct Arrival {
    Time time;
    HttpRequest http;
    CallerRequestInfo request_info;
    std::shared_ptr<const Config> config;
    std::shared_ptr<const Route> route;          // kept alive with its configuration
    std::shared_ptr<const Workspace> workspace;  // null if the caller has none

    Duration TimeLeft() const {
      return std::min(this->request_info.timeout.value_or(this->route->timeout),
                      this->route->timeout);
    }
  };

  // Looks up the route and the workspace in the current configuration. Returns why the request is
  // refused, or nothing.
  std::optional<Error> Resolve(Arrival& arrival) const {
    const Route* route = this->config->Routes().Match(arrival.request_info.host, arrival.http.path);
    if (route == nullptr) {
      return Error{ErrorCode::kNotFound, "no route matches the host and path"};
    }
    const WorkspaceTable* workspaces = this->config->Routes().Workspaces();
    const Workspace* workspace = nullptr;
    if (workspaces != nullptr && route->needs_key) {
      workspace = workspaces->FindByKey(arrival.request_info.key);
      if (workspace == nullptr) {
        return Error{ErrorCode::kUnknownKey, "the request carries no key of a workspace"};
      }
    }
    arrival.config = this->config;
    arrival.route = std::shared_ptr<const Route>(this->config, route);
    arrival.workspace = nullptr;
    if (workspace != nullptr) {
      arrival.workspace = std::shared_ptr<const Workspace>(this->config, workspace);
    }
    return std::nullopt;
  }

  // Counts the request against the quota of its workspace, and accepts or refuses it.
  void CheckQuota(Arrival arrival, const HttpResponder& responder) {
    const Duration max_wait = MaxQuotaWait(arrival.time, arrival.TimeLeft(), this->answer_by);
    auto shared = std::make_shared<Arrival>(std::move(arrival));
    this->quota_gate->Admit(
        shared->time, *shared->workspace, max_wait, responder,
        [this, shared, responder](std::optional<Duration> retry_after) {
          if (!retry_after) return this->Accept(std::move(*shared), responder);
          this->Refuse(SteadyNow(), shared->http, shared->request_info.request_id,
                       {ErrorCode::kQuotaExceeded,
                        "workspace " + shared->workspace->name + " has used up its request quota"},
                       responder, retry_after);
        });
  }

  void Accept(Arrival arrival, const HttpResponder& responder) {
    // Latencies of targets count from the end of the wait for a permit.
    const Time now = SteadyNow();
    const Duration quota_wait = now - arrival.time;
    // The plan is that of the current configuration, and a route or key may have been removed
    // during the wait.
    if (arrival.config != this->config) {
      if (const auto error = this->Resolve(arrival)) {
        return this->Refuse(now, arrival.http, arrival.request_info.request_id, *error, responder);
      }
    }
    HttpRequest& http = arrival.http;
    CallerRequestInfo* request_info = &arrival.request_info;
    const Route* route = arrival.route.get();
    const Workspace* workspace = arrival.workspace.get();
    const Duration caller_wait = request_info->timeout
                                     ? this->caller_wait_estimators[route->Id()].Elapsed(
                                           arrival.time, *request_info->timeout)
                                     : Duration(0);
    RequestTimes times{
        .arrived = arrival.time, .time_left = arrival.TimeLeft(), .idempotent = route->idempotent};
    if (this->answer_by) times.slow_latency = this->SlowLatency(now, *route);
    const std::optional<Time> deadline = RequestDeadline(now, times, this->answer_by);
    if (!deadline) {
      return this->Refuse(now, http, request_info->request_id,
                          {ErrorCode::kDraining, "the request may outlast this process"},
                          responder);
    }
    const uint64_t revision = this->config->Revision();
    const uint64_t fingerprint = RouteFingerprint(request_info->host, http);
    RouteRequestParams params{
        .http = std::move(http),
        .request_info = std::move(*request_info),
        .route = arrival.route,
        .workspace = workspace != nullptr ? workspace->name : "",
        .priority =
            workspace != nullptr ? workspace->priority.value_or(route->priority) : route->priority,
        .plan = route->Gathers()
                    ? this->plans.ForShards(revision, *route)
                    : this->plans.ForService(revision, *route, this->split.Next(*route)),
        .directory_version = this->control.Directory().Version(),
        .fingerprint = fingerprint,
        .arrived = now,
        .caller_wait = caller_wait + quota_wait,
        .deadline = *deadline};
    const Suspicion suspicion = this->crash_guard.Check(UnixMillis(), fingerprint);
    if (suspicion.status == SuspectStatus::kClear) return this->Run(std::move(params), responder);
    this->HandleSuspect(std::move(params), suspicion, responder);
  }

  void Run(RouteRequestParams params, const HttpResponder& responder) {
    if (this->settings.overload_admission) {
      if (const auto rejection = this->overload_guard.Check(SteadyNow(), params)) {
        return responder.Send(
            this->context.codec.BuildErrorResponse(rejection->error, true, rejection->retry_after));
      }
    }
    this->sub_request_rate.Add(params.arrived, static_cast<double>(params.plan->shards.size()));
    const uint64_t id = ++this->last_running_id;
    this->running.emplace(id, std::weak_ptr<RouteRequest>());
    // Called when the request has its answer or its caller has left.
    const auto ended = [gateway = this->weak_from_this(), id] {
      if (const auto self = gateway.lock()) self->running.erase(id);
    };
    const auto route_request = RouteRequest::Start(this->context, std::move(params),
                                                   [responder, ended](HttpResponse response) {
                                                     ended();
                                                     responder.Send(std::move(response));
                                                   });
    const auto entry = this->running.find(id);
    if (entry == this->running.end()) return;  // it has ended already
    entry->second = route_request;
    responder.OnDisconnect([ended, weak = std::weak_ptr<RouteRequest>(route_request)] {
      ended();
      if (auto request = weak.lock()) request->Abort();
    });
  }

  // Handles a request that has crashed targets. It is sent in a trial if the controllers grant one,
  // and otherwise only to services whose targets it has not crashed, if that is enough for an
  // answer.
  void HandleSuspect(RouteRequestParams params, const Suspicion& suspicion,
                     const HttpResponder& responder) {
    const Time now = params.arrived;
    const uint64_t fingerprint = params.fingerprint;
    const Time deadline = params.deadline;
    if (suspicion.status == SuspectStatus::kSuspect) {
      auto shared_params = std::make_shared<RouteRequestParams>(std::move(params));
      const bool asked = this->crash_guard.RequestTrial(
          now, fingerprint, deadline,
          [weak = this->weak_from_this(), shared_params, suspicion,
           responder](const Result<uint64_t>& trial) {
            const auto self = weak.lock();
            if (self) self->OnTrial(std::move(*shared_params), suspicion, trial, responder);
          });
      if (asked) return;
      params = std::move(*shared_params);
    }
    this->RunWithoutTrial(std::move(params), suspicion, responder);
  }

  void OnTrial(RouteRequestParams params, const Suspicion& suspicion, const Result<uint64_t>& trial,
               const HttpResponder& responder) {
    const Time now = SteadyNow();
    const bool in_time = responder.Connected() && now < params.deadline;
    if (trial && !in_time) {
      this->crash_guard.EndTrial(params.fingerprint, *trial, {});
    }
    if (!trial || !in_time) return this->RunWithoutTrial(std::move(params), suspicion, responder);
    params.trial = *trial;
    this->Run(std::move(params), responder);
  }

  void RunWithoutTrial(RouteRequestParams params, const Suspicion& suspicion,
                       const HttpResponder& responder) {
    if (params.route->CanExclude(suspicion.services)) {
      params.excluded_services = suspicion.services;
      return this->Run(std::move(params), responder);
    }
    const bool blocked = suspicion.status == SuspectStatus::kBlocked;
    this->Refuse(SteadyNow(), params.http, params.request_info.request_id,
                 {ErrorCode::kSuspect, blocked ? "the request crashes targets and is blocked"
                                               : "the request has crashed targets"},
                 responder, blocked ? std::optional(suspicion.blocked_for) : std::nullopt);
  }

  void Refuse(Time now, const HttpRequest& http, const std::string& id, const Error& error,
              const HttpResponder& responder, std::optional<Duration> retry_after = std::nullopt) {
    this->context.metrics
        .CounterOf("peridotgauge_requests_total",
                   {{"route", ""}, {"result", std::string(error.Name())}})
        .Add();
    this->Log(now, Event("request_refused")
                       .Add("request", id)
                       .Add("host", http.Header("host"))
                       .Add("path", http.path)
                       .Add("error", error.ToString())
                       .Add("revision", this->config->Revision()));
    if (error.code == ErrorCode::kNotSynchronized) {
      retry_after = kSynchronizeDelay + RandomRetryDelay(this->random);
    } else if (error.code == ErrorCode::kDraining) {
      retry_after = kDrainingRetryDelay;
    } else if (error.code == ErrorCode::kSuspect && !retry_after) {
      retry_after = kTrialDelay + RandomRetryDelay(this->random);
    }
    responder.Send(this->context.codec.BuildErrorResponse(error, true, retry_after));
  }

  // Returns nothing if no latencies of the route are known.
  std::optional<Duration> SlowLatency(Time now, const Route& route) {
    const auto found = this->hedge_budgets.find(route.Id());
    return found == this->hedge_budgets.end() ? std::nullopt : found->second.SlowLatency(now);
  }

  void OnStray(const std::string& target, const HttpHeader& request_id_header,
               std::string_view value) {
    this->context.metrics.CounterOf("peridotgauge_stray_responses_total").Add();
    this->Log(SteadyNow(), Event("stray_discarded")
                               .Add("request", request_id_header.value)
                               .Add("target", target)
                               .Add("answers", value));
  }

  void Log(Time now, const Event& event) { this->context.log.Write(now, UnixMillis(), event); }

  // --- Control plane ---

  void OnControlChange(const ControlChange& change) {
    const Time now = SteadyNow();
    if (change.lease_expired) {
      this->warmup.OnContactLost();
      this->Log(now, Event("controllers_lost")
                         .Add("lease_ms", now - *this->control.CurrentLease().End() + kLeaseLength)
                         .Add("revision", this->config->Revision())
                         .Add("directory", this->control.Directory().Version()));
    }
    if (change.evacuations) {
      this->evacuations.OnChange(now, this->control.Evacuated(), this->known_targets);
    }
    if (change.config) this->OnConfig(now);
    if (change.directory) this->OnDirectory(now);
    this->crash_guard.OnControlChange(now, change);
    this->quota_gate->OnControlChange(now, change);
    if (change.config || change.routers) this->UpdateShares(now);
    if (change.inherited_debts) this->InheritDebts(now, this->control.InheritedDebts());
    if (change.lease_acquired) {
      this->warmup.OnContact(now);
      this->Log(now, Event("controllers_regained").Add("leader", this->control.Leader()));
    }
    if (change.config || change.directory) {
      this->plans.Invalidate();
      this->pool.RemoveIdleExcept(this->known_targets);
    }
  }

  void OnConfig(Time now) {
    this->config = this->control.CurrentConfig();
    const std::vector<Route>& routes = this->config->Routes().Routes();
    std::erase_if(this->caller_wait_estimators, [&](const auto& item) {
      return std::none_of(routes.begin(), routes.end(),
                          [&](const Route& route) { return route.Id() == item.first; });
    });
    this->Log(now, Event("config_in_force")
                       .Add("revision", this->config->Revision())
                       .Add("routes", this->config->Routes().Routes().size())
                       .Add("services", this->config->Routes().ServiceCount()));
  }

  // --- Limit on extra sub-requests ---

  RouterReport Report(Time now) {
    return {.load = {.sub_requests_per_s = this->sub_request_rate.PerSecond(now),
                     .processor_share = this->settings.processor_share},
            .extra_debts = this->extra_limit.Report(now),
            .extra_history = this->extra_limit.HistoryComplete(now),
            .extra_window = this->settings.extra_requests.window};
  }

  void ReportGrownDebts(Time now) {
    if (this->debt_check_pending || !this->extra_limit.HasGrownDebt(now)) return;
    if (now >= this->next_debt_report) {
      this->next_debt_report =
          now + kDebtReportPushIntervals * PushInterval(this->control.ActiveRouters());
      return this->control.ReportNow();
    }
    this->debt_check_pending = true;
    this->debt_timer.expires_at(this->next_debt_report);
    this->debt_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      const auto gateway = weak.lock();
      if (!gateway || error) return;
      gateway->debt_check_pending = false;
      gateway->ReportGrownDebts(SteadyNow());
    });
  }

  void InheritDebts(Time now, const std::optional<ExtraDebts>& debts) {
    double sum = 0;
    for (const auto& [service, debt] : debts.value_or(ExtraDebts{})) sum += debt;
    this->Log(now, Event("extra_debts_inherited")
                       .Add("known", debts.has_value())
                       .Add("services", debts ? debts->size() : 0)
                       .Add("sub_requests", sum));
    this->extra_limit.Inherit(now, debts);
    this->SetSlackMetrics(now);
  }

  void UpdateSlack(Time now) {
    this->extra_limit.Update(now);
    this->SetSlackMetrics(now);
  }

  void SetSlackMetrics(Time now) {
    this->context.metrics.GaugeOf("peridotgauge_extra_slack").Set(this->extra_limit.Slack());
    this->context.metrics.GaugeOf("peridotgauge_extra_slack_routers")
        .Set(static_cast<double>(this->extra_limit.Routers(now)));
  }

  // Computes this router's share of the connections to targets and of the slack of the limit on
  // extra sub-requests. The routers that callers are told about, now or within the grace period,
  // divide the connections: a router that leaves keeps its own until its requests have ended.
  void UpdateShares(Time now) {
    const size_t offered = std::max<size_t>(this->control.OfferedRouterCount(), 1);
    this->extra_limit.SetRouters(now, offered, std::max<size_t>(this->control.ActiveRouters(), 1));
    this->SetSlackMetrics(now);
    this->serving_routers.Set(now, offered);
    this->connection_shares_due = this->serving_routers.NextDecrease(now).value_or(Time::max());
    const size_t serving = this->serving_routers.Get(now);
    std::set<std::string, std::less<>> services;
    std::map<std::string, double> warmup_rates;
    std::map<std::string, std::string> health_paths;
    size_t fewest_connections = std::numeric_limits<size_t>::max();
    const auto add_service = [&](const std::string& service) {
      const ServiceSpec* service_spec = this->config->Routes().FindService(service);
      if (service_spec == nullptr || !services.insert(service).second) return;
      const size_t own_connections =
          static_cast<size_t>(service_spec->connections * kConnectionShare) / serving;
      fewest_connections = std::min(fewest_connections, own_connections);
      this->pool.SetConnectionLimit(service, own_connections);
      if (service_spec->warmup_rate <= 0) return;
      warmup_rates[service] = service_spec->warmup_rate;
      if (!service_spec->health_path.empty()) health_paths[service] = service_spec->health_path;
    };
    for (const Route& route : this->config->Routes().Routes()) {
      for (const WeightedService& part : route.split) add_service(part.service);
      for (const std::string& shard : route.shards) add_service(shard);
    }
    this->replica_choice->AvoidOneReplica(fewest_connections < kScarceConnectionsThreshold);
    this->extra_limit.SetServices(now, services);
    this->warmup.SetRouters(serving);
    this->warmup.SetServices(warmup_rates);
    this->target_health.SetPaths(std::move(health_paths));
  }

  void OnDirectory(Time now) {
    this->signals.Expire(now);
    UpdateKnownTargets(
        this->control.Directory().Targets(), this->known_targets,
        [&](const TargetRecord& record) {
          this->planner.Upsert(record);
          this->LogTarget(now, record, record.state);
          this->OnRecord(now, record);
        },
        [&](const TargetRecord& record) {
          this->LogTarget(now, record, TargetState::kGone);
          TargetRecord gone = record;
          gone.state = TargetState::kGone;
          this->OnRecord(now, gone);
          this->planner.Remove(record.target);
          this->replica_choice->Remove(record.target);
          this->warmup.Remove(record.target);
        });
  }

  // Requests that wait for a connection to a target that leaves are placed anew.
  void OnRecord(Time now, const TargetRecord& record) {
    this->signals.OnDirectory(now, record);
    if (!this->signals.Accepts(now, record)) {
      this->pool.FailWaiting(record, "the target leaves");
    }
    // Requests that wait for a target that is now cold are placed anew, within the limit.
    if (this->warmup.OnRecord(now, record)) {
      this->pool.FailWaiting(record, "the target is cold");
      this->Log(now, Event("target_cold")
                         .Add("target", record.target)
                         .Add("incarnation", record.incarnation)
                         .Add("warmup_ms", record.warmup)
                         .Add("source", "record"));
    }
  }

  void LogTarget(Time now, const TargetRecord& record, TargetState state) {
    this->Log(now, TargetEvent("target", record, state, this->control.Directory().Version()));
  }

  const Settings& settings;
  RouterRecord self;
  ControlClient& control;
  Planner planner;
  RoutePlanner plans;
  TargetPool pool;
  std::unique_ptr<ReplicaChoice> replica_choice;
  TargetSignals signals;
  Evacuations evacuations;
  std::map<RouteId, RouteHedgeBudget> hedge_budgets;
  SplitCounter split;
  std::map<RouteId, CallerWaitEstimator> caller_wait_estimators;
  std::mt19937_64 random;
  ExtraAttemptLimit extra_limit;
  RecentMaximum serving_routers;             // number of routers that may hold connections
  Time connection_shares_due = Time::max();  // when it decreases
  Time next_debt_report;  // not before this time, unless with a request for other reasons
  asio::steady_timer debt_timer;
  bool debt_check_pending = false;  // `debt_timer` runs
  CrashGuard crash_guard;
  std::shared_ptr<QuotaGate> quota_gate;
  WarmupLimit warmup;
  OverloadGuard overload_guard;
  RouteContext context;
  TargetHealth target_health;
  std::shared_ptr<const Config> config = std::make_shared<const Config>();
  std::map<std::string, TargetRecord> known_targets;  // the targets that the planner has
  RateMeter sub_request_rate;  // sub-requests that requests need, without hedges and retries
  std::unordered_map<uint64_t, std::weak_ptr<RouteRequest>> running;  // requests without an answer
  uint64_t last_running_id = 0;
  std::optional<Time> answer_by;  // set while draining: when AnswerRunning() is called
};

Gateway::Gateway(asio::io_context& io, const Settings& settings, const RouterRecord& self,
                 ControlClient& control, const RouteCodec& codec, Metrics& metrics, EventLog& log,
                 std::shared_ptr<ByteBudget> response_bytes)
    : impl(std::make_shared<Impl>(io, settings, self, control, codec, metrics, log,
                                  std::move(response_bytes))) {}
Gateway::~Gateway() = default;
void Gateway::Start() { this->impl->Start(); }
void Gateway::Handle(HttpRequest request, const HttpResponder& responder) {
  this->impl->Handle(std::move(request), responder);
}
HttpResponse Gateway::Explain(const HttpRequest& request) { return this->impl->Explain(request); }
void Gateway::Drain(Time answer_by) { this->impl->Drain(answer_by); }
void Gateway::AnswerRunning() { this->impl->AnswerRunning(); }
bool Gateway::Ready() const { return this->impl->Ready(); }

}  // namespace peridotgauge
