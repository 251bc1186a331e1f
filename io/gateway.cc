// Routes of the configuration, targets of the directory, and the requests that bring both together.
#include "io/gateway.h"

#include <algorithm>
#include <limits>
#include <random>
#include <string_view>
#include <utility>

#include "core/patience.h"
#include "core/plan.h"
#include "core/replica_choice.h"
#include "core/route_plan.h"
#include "io/clock.h"
#include "io/random_seed.h"
#include "io/route_request.h"
#include "io/target_event.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// An answer at the deadline still has to reach the caller.
constexpr Duration kDeadlineMargin = Millis(20);
constexpr Duration kShortestDeadline = Millis(1);
// Share of a target's connections that all routers together may use. The rest is for connections
// that one side has closed and the other still counts.
constexpr double kConnectionShare = 0.9;
// Part of the platform's limit on extra sub-requests that is used. The rest is for requests whose
// first sub-request this router counts and the target never receives.
constexpr double kExtraShare = 0.8;
// A restarted router is synchronized after an election, which takes 200 to 400 ms.
constexpr Duration kSynchronizePause = Millis(400);
constexpr Duration kLeaveTime = Seconds(2);
// With fewer connections to each target a router spares one replica of each shard.
constexpr size_t kPlentyConnections = 2;
constexpr std::string_view kRouteReplicaChoice = "least";

}  // namespace

class Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl> {
 public:
  Impl(asio::io_context& io, const Settings& settings, RouterRecord self, ControlClient& control,
       const RouteCodec& codec, Metrics& metrics, EventLog& log)
      : settings(settings),
        self(std::move(self)),
        control(control),
        plans(planner),
        pool(io, [this](const std::string& target, const HttpHeader& echo,
                        std::string_view value) { this->OnStray(target, echo, value); }),
        replicas(ReplicaChoice::MustMake(
            settings.replica_choice.empty() ? kRouteReplicaChoice : settings.replica_choice,
            {.seed = RandomSeed(),
             .ejection = settings.ejection,
             .data_centre = settings.data_centre,
             .router = settings.id})),
        random(RandomSeed()),
        context{io,      codec, this->pool,  *this->replicas, this->budget, this->route_budgets,
                metrics, log,   this->random} {}

  void Start() {
    this->control.OnChange([weak = this->weak_from_this()](const ControlChange& change) {
      if (auto gateway = weak.lock()) gateway->OnControlChange(change);
    });
    this->control.Start();
  }

  bool Ready() const { return !this->draining && !this->config->Routes().Empty(); }

  void Handle(HttpRequest http, const HttpResponder& responder) {
    const Time now = SteadyNow();
    Result<CallerTerms> terms = this->context.codec.ReadCaller(http);
    if (!terms) return this->Refuse(now, http, "", terms.error(), responder);
    if (this->config->Revision() == 0) {
      return this->Refuse(now, http, terms->request_id,
                          {ErrorCode::kNotSynchronized, "no configuration is known yet"},
                          responder);
    }
    const Route* route = this->config->Routes().Match(terms->host, http.path);
    if (route == nullptr) {
      return this->Refuse(now, http, terms->request_id, {ErrorCode::kNotFound, "no route"},
                          responder);
    }
    const Duration spent =
        terms->patience ? this->patience[route->name].Spent(now, *terms->patience) : Duration(0);
    const Duration patience = std::min(terms->patience.value_or(route->timeout), route->timeout);
    const uint64_t revision = this->config->Revision();
    RouteTask task{.http = std::move(http),
                   .terms = std::move(*terms),
                   .route = std::shared_ptr<const Route>(this->config, route),
                   .plan = route->Gathers()
                               ? this->plans.ForShards(revision, *route)
                               : this->plans.ForService(revision, *route, this->split.Next(*route)),
                   .directory_version = this->control.Directory().Version(),
                   .arrived = now,
                   .spent = spent,
                   .deadline = now + std::max(patience - kDeadlineMargin, kShortestDeadline)};
    const auto run = RouteRequest::Start(
        this->context, std::move(task),
        [responder](HttpResponse response) { responder.Send(std::move(response)); });
    responder.OnDisconnect([weak = std::weak_ptr<RouteRequest>(run)] {
      if (auto request = weak.lock()) request->Abort();
    });
  }

  void Drain() {
    this->draining = true;
    this->control.Command(LeaveCommand(this->self.id, this->self.incarnation, /*clean=*/false),
                          SteadyNow() + kLeaveTime, [](const Result<wire::CommandReplyT>&) {});
  }

 private:
  void Refuse(Time now, const HttpRequest& http, const std::string& id, const Error& error,
              const HttpResponder& responder) {
    const bool temporary = error.code == ErrorCode::kNotSynchronized;
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
    std::optional<Duration> pause;
    if (temporary) pause = kSynchronizePause + RetryPause(this->random);
    responder.Send(this->context.codec.Failure(error, true, pause));
  }

  void OnStray(const std::string& target, const HttpHeader& echo, std::string_view value) {
    this->context.metrics.CounterOf("peridotgauge_stray_responses_total").Add();
    this->Log(SteadyNow(), Event("stray_discarded")
                               .Add("request", echo.value)
                               .Add("target", target)
                               .Add("answers", value));
  }

  void Log(Time now, const Event& event) { this->context.log.Write(now, UnixMillis(), event); }

  // --- Control plane ---

  void OnControlChange(const ControlChange& change) {
    const Time now = SteadyNow();
    if (change.lease_expired) {
      this->Log(now, Event("controllers_lost")
                         .Add("lease_ms", now - *this->control.CurrentLease().End() + kLeaseLength)
                         .Add("revision", this->config->Revision())
                         .Add("directory", this->control.Directory().Version()));
    }
    if (change.config) this->OnConfig(now);
    if (change.directory) this->OnDirectory(now);
    if (change.config || change.routers) this->OnShares();
    if (change.lease_acquired) {
      this->Log(now, Event("controllers_regained").Add("leader", this->control.Leader()));
    }
    if (change.config || change.directory) {
      this->plans.Invalidate();
      this->pool.Keep(this->known);
    }
  }

  void OnConfig(Time now) {
    this->config = this->control.CurrentConfig();
    const std::vector<Route>& routes = this->config->Routes().Routes();
    std::erase_if(this->patience, [&](const auto& item) {
      return std::none_of(routes.begin(), routes.end(),
                          [&](const Route& route) { return route.name == item.first; });
    });
    this->Log(now, Event("config_in_force")
                       .Add("revision", this->config->Revision())
                       .Add("routes", this->config->Routes().Routes().size()));
  }

  // Divides what all routers share: connections to targets and extra sub-requests.
  void OnShares() {
    size_t routers = 0;
    for (const auto& [id, router] : this->control.Routers()) routers += router.draining ? 0 : 1;
    routers = std::max<size_t>(routers, 1);
    std::map<std::string, double, std::less<>> shares;
    size_t least = std::numeric_limits<size_t>::max();
    const auto add = [&](const std::string& service) {
      const ServiceSpec* spec = this->config->Routes().FindService(service);
      if (spec == nullptr ||
          !shares.emplace(service, this->settings.extra.ratio * kExtraShare).second) {
        return;
      }
      const size_t own = static_cast<size_t>(spec->connections * kConnectionShare) / routers;
      least = std::min(least, own);
      this->pool.SetShare(service, own);
    };
    for (const Route& route : this->config->Routes().Routes()) {
      for (const WeightedService& part : route.split) add(part.service);
      for (const std::string& shard : route.shards) add(shard);
    }
    this->replicas->SpareOne(least < kPlentyConnections);
    const double slack = this->settings.extra.slack * kExtraShare / static_cast<double>(routers);
    this->budget.SetOptions({.burst = std::max(slack, 1.0),
                             .max_debt = 0,
                             .retry_in_overload = true,
                             .window = this->settings.extra.window});
    this->budget.SetShares(shares);
  }

  void OnDirectory(Time now) {
    FollowTargets(
        this->control.Directory().Targets(), this->known,
        [&](const TargetRecord& record) {
          this->planner.Upsert(record);
          this->LogTarget(now, record, record.state);
        },
        [&](const TargetRecord& record) {
          this->LogTarget(now, record, TargetState::kGone);
          this->planner.Remove(record.target);
          this->replicas->Remove(record.target);
        });
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
  std::unique_ptr<ReplicaChoice> replicas;
  HedgeBudget budget;
  std::map<std::string, RouteBudget> route_budgets;
  SplitCounter split;
  std::map<std::string, PatienceWindow> patience;  // by route name
  std::mt19937_64 random;
  RouteContext context;
  std::shared_ptr<const Config> config = std::make_shared<const Config>();
  std::map<std::string, TargetRecord> known;  // the directory as the planner knows it
  bool draining = false;
};

Gateway::Gateway(asio::io_context& io, const Settings& settings, const RouterRecord& self,
                 ControlClient& control, const RouteCodec& codec, Metrics& metrics, EventLog& log)
    : impl(std::make_shared<Impl>(io, settings, self, control, codec, metrics, log)) {}
Gateway::~Gateway() = default;
void Gateway::Start() { this->impl->Start(); }
void Gateway::Handle(HttpRequest request, const HttpResponder& responder) {
  this->impl->Handle(std::move(request), responder);
}
void Gateway::Drain() { this->impl->Drain(); }
bool Gateway::Ready() const { return this->impl->Ready(); }

}  // namespace peridotgauge
