// Decisions about requests whose services are short of room: which ones are rejected at arrival,
// and which ones get the retries that are left.
//
// Use:
//   OverloadAdmission admission(budget);
//   admission.OnAttempt(now, "shard-7", /*refused=*/true, elapsed);  // for every ended attempt
//   AdmissionVerdict verdict = admission.Admit(now, {.load_class = load_class, .plan = *plan,
//   ...}); if (!verdict.Admitted()) Refuse(503, verdict.RetryAfter(random));   // nothing has been
//   sent OverloadBudget retries(route_budget, budget, admission, *plan, load_class); Search
//   search(plan, params, {chooser, retries}); admission.OnEnded(now, load_class, {.served = true,
//   .elapsed = elapsed});
//
// Load that it answers: for seconds, most targets of a sharded service refuse most of what they
// get. Each search then needs retries of a third of its shards, more than the budget grants. If all
// searches take what is left, each gets a part of the retries that it needs and nearly all fail.
//
// Contract: nothing is decided, and the budget grants as without this code, unless the services of
// a request have refused at least kShortShare of the recent attempts, all targets of a service are
// unreachable, or answers of its class are later than its objective. A request that is rejected at
// arrival has not been sent. All state is local to one router and is based on its own observations;
// a restarted router knows nothing and decides nothing.
//
// Rules while services are short of room:
// - Arrival: a request with a chance below kLeastChance is rejected. The chance is the probability
//   that the needed shards are covered, from the refusal share of each service and the retries that
//   its budget can still grant.
// - Retries: when it is known which first attempts of a search were refused, the search gets
//   retries if its chance is at least kUsefulChance, and as long as it is at least kKeepChance.
//   Otherwise it ends at once, and its retries go to searches that complete. First attempts of
//   searches that end this way are not wasted: the budget is a share of them, and of many searches
//   those with the fewest refusals need the fewest retries.
// - Hedges, and retries of shards that the answer does not need, are not granted.
// - Urgency: a class leaves kReservedRetries of each service to more urgent classes that share a
//   service with it, and gets only cheap retries while it is served more often than one of them.
//   Neither applies to a class that is served less than kLeastShare times as often as all.
// - Recovery: the estimates follow the last second. One search of 36 shards shows that refusals
//   have stopped.
// - Late answers: while requests of a class become late, because requests wait at targets, a share
//   of it is rejected at arrival, see core/lateness_shedding.h, and the same share of the less
//   urgent classes that share a service with it. Lateness of a class that has a more urgent one
//   beside it rejects nothing: its objective may be too short for targets that are slow but not
//   overloaded. While targets report free slots, nothing is rejected, see core/slow_targets.h.
//   Requests for one target are never rejected for this: they take room at one target only, and a
//   late answer still has value.
// - Lost services: a search that cannot complete while targets are unreachable is rejected at
//   arrival, see core/lost_services.h. A request for one target is not: it takes no room elsewhere.
// - Latency: if nine of ten recent answers of a class are later than its objective and than the
//   time that a request has left, the request is rejected at arrival. One request in each
//   kLatencyProbeInterval is admitted regardless.
#ifndef PERIDOTGAUGE_CORE_OVERLOAD_H_
#define PERIDOTGAUGE_CORE_OVERLOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "core/hedge.h"
#include "core/lateness_shedding.h"
#include "core/lost_services.h"
#include "core/plan.h"
#include "core/quantile_window.h"
#include "core/routes.h"
#include "core/search_policy.h"
#include "core/slow_targets.h"
#include "core/types.h"

namespace peridotgauge {

// Services that refuse less than this share of the attempts are not short of room: with one retry
// for each refusal, a tenth is well within the usual budget of a fifth of the needed attempts.
constexpr double kShortShare = 0.1;
// Requests that are less likely to complete are rejected at arrival. In the replay of the test, a
// limit of 0.05 rejects requests that would have completed, and 0.2 loses most of the gain.
constexpr double kLeastChance = 0.01;
// Chances with which a search gets its first and its further retries. In the replay, a lower chance
// for the first one wastes retries on searches that fail: 0.3 serves two thirds as much as 0.8.
constexpr double kUsefulChance = 0.9;
constexpr double kKeepChance = 0.2;
// A search that waits for at most this many retries is not given up, because it costs little. Nor
// is one that needs at most this many given up in favour of a more urgent class: while half of the
// targets refuse, seat checks need few retries, and giving them up gains nothing for merit lists,
// which wait for the retries of a few services.
constexpr size_t kFewRetries = 2;
// A class is served at least this many times as often as all classes together.
constexpr double kLeastShare = 0.25;
// Retries of each service that a class leaves to more urgent ones. A search that needs nearly all
// of its shards completes only if none of the services runs out, whereas one that needs fewer
// shards completes with fewer retries and would otherwise take all.
constexpr double kReservedRetries = 3;
// Time constants of the decay of attempt counts: short, to notice the end of refusals within a
// second, and long, to know the refusal share of a service that gets three attempts per second.
constexpr Duration kRecentTime = Millis(500);
constexpr Duration kLongTime = Seconds(4);
// Fewer refusals within kLongTime are no evidence: single ones occur in calm operation.
constexpr double kLeastRefusals = 5;
// Without any attempt for this time, it is unknown whether targets still refuse, and the next
// request is admitted to find out.
constexpr Duration kSilence = Millis(700);
// An attempt that has run for this time is not refused any more: a refusal takes the time of the
// network in both directions, 6 ms in the users' deployments, and little more.
constexpr Duration kSettleTime = Millis(10);
// Requests are late because of queues only if accepted attempts take at least this share of the
// objective on average. Otherwise they wait for retries, which rejecting others does not change.
constexpr double kQueuedAttempt = 0.25;
// Time constant of the decay of the served shares of classes.
constexpr Duration kServedTime = Seconds(5);
// A rejected caller is asked to return after half to one and a half times this time.
constexpr Duration kRoomCheckInterval = Millis(100);
constexpr Duration kLatencyWindow = Seconds(1);
constexpr uint64_t kLatencyMinSamples = 10;
constexpr double kLatencyQuantile = 0.1;
constexpr Duration kLatencyProbeInterval = Millis(500);
// Classes beyond this number are admitted without a decision.
constexpr size_t kMaxClasses = 2'000;

// Requests that are alike for the decision.
struct LoadClass {
  RouteId route;
  uint32_t priority = 0;  // 0 is the most urgent
  bool operator==(const LoadClass&) const = default;
  bool operator<(const LoadClass& other) const {
    return std::tie(this->route, this->priority) < std::tie(other.route, other.priority);
  }
};

// The request to decide about.
struct AdmissionQuery {
  LoadClass load_class;
  const Plan& plan;
  uint32_t needed = 1;  // shards in an answer
  Duration time_left{};
  Duration objective{};  // 0: none
};

enum class RejectReason : uint8_t {
  kNone,
  kChance,   // too few shards are likely to be covered
  kUrgency,  // the retries left are for more urgent requests
  kLatency,  // recent answers took longer than the time left
  kLate,     // requests become late, and fewer of them make the others faster
  kLost,     // too many services have no target that can be reached
};
std::string_view NameOf(RejectReason reason);

// The decision and what it is based on.
struct AdmissionVerdict {
  RejectReason reason = RejectReason::kNone;
  double refused_share = 0;         // of recent attempts at the services of the request
  double chance = 1;                // of covering the needed shards
  double retries_left = 0;          // mean of the services
  double shed_share = 0;            // of the arrivals that is rejected; only set for kLate
  std::optional<Duration> latency;  // nine of ten answers took longer; only set for kLatency
  // Returns when the caller may try again: after half to one and a half kRoomCheckInterval, at
  // random, so that rejected callers do not return at the same time.
  Duration RetryAfter(std::mt19937_64& random) const;
  bool Admitted() const { return this->reason == RejectReason::kNone; }
  bool operator==(const AdmissionVerdict&) const = default;
};

struct RequestEnd {
  bool served = false;
  Duration elapsed{};
  bool operator==(const RequestEnd&) const = default;
};

class OverloadAdmission {
 public:
  // `budget` keeps the retries of each service and outlives this object.
  explicit OverloadAdmission(const HedgeBudget& budget) : budget(budget) {}

  AdmissionVerdict Admit(Time now, const AdmissionQuery& query);
  // Returns what Admit() would decide. Changes nothing: a copy decides.
  AdmissionVerdict Preview(Time now, const AdmissionQuery& query) const {
    return OverloadAdmission(*this).Admit(now, query);
  }
  // `elapsed` is the time from sending the attempt to its reply or cancellation.
  void OnAttempt(Time now, std::string_view service, bool refused, Duration elapsed);
  // `load` is what a target reports in a reply: running and waiting sub-requests for each slot.
  void OnReportedLoad(Time now, std::string_view service, double load) {
    this->slow_targets.OnReport(now, service, load);
  }
  // An attempt failed before it reached the target.
  void OnUnreachable(Time now, const TargetRecord& target) {
    this->lost_services.OnUnreachable(now, target);
  }
  // The target has replied.
  void OnReached(const TargetRecord& target) { this->lost_services.OnReached(target); }
  // Must be called for admitted requests only.
  void OnEnded(Time now, const LoadClass& load_class, const RequestEnd& end);

  // Returns the share of recent attempts at the services of the plan that were refused. They are
  // counted together, because one service of a router gets only a few attempts per second.
  double RefusedShare(Time now, const Plan& plan) const;
  // Returns the chance that `needed` of the open shards of a search with that plan will be covered,
  // if `reserve` retries of each service are left for others, and its inputs.
  AdmissionVerdict Assess(Time now, const Plan& plan, std::span<const OpenShard> open,
                          uint32_t needed, double reserve) const;
  // Returns true if the class is served more often than a more urgent one that shares a service
  // with it.
  bool TooOften(Time now, const LoadClass& load_class) const;
  // Returns the number of retries of each service that the class leaves for more urgent ones.
  double Reserve(Time now, const LoadClass& load_class) const;

 private:
  // Counts with exponential decay.
  struct Counts {
    double all = 0;
    double marked = 0;  // refused attempts, or served requests
    Time updated{};

    void Add(Time now, Duration time_constant, double count, double marked_count);
    Counts At(Time now, Duration time_constant) const;
  };
  struct ServiceState {
    Counts recent;
    Counts long_term;
  };
  struct LoadState {
    std::set<std::string, std::less<>> services;
    uint64_t revision = 0;  // of the plan that has these services
    Time last_seen{};
    Duration objective{};
    Counts served;
    QuantileWindow latency{kLatencyWindow, kLatencyMinSamples};
    std::optional<Time> last_admitted;
    LatenessShedding lateness;
    double shed_credit = 0;  // a rejection takes 1
  };

  AdmissionVerdict Decide(Time now, const AdmissionQuery& query, LoadState& state);
  // Returns the mean time of the recent attempts that were not refused, or nothing without any.
  std::optional<Duration> MeanAttempt(Time now) const;
  void Shed(Time now, const AdmissionQuery& query, LoadState& state, AdmissionVerdict& verdict);
  // Returns the share of the class to reject because it or a more urgent one becomes late.
  double ShedShare(Time now, const LoadClass& load_class, const LoadState& state);
  bool TooLate(Time now, const AdmissionQuery& query, LoadState& state, AdmissionVerdict& verdict);
  // Returns the lowest served share of the more urgent classes that share a service with this one,
  // or nothing if there are none.
  std::optional<double> MoreUrgentShare(Time now, const LoadClass& load_class,
                                        const LoadState& state) const;
  double ServedShare(Time now, const LoadState& state) const;
  static bool ShareService(const LoadState& a, const LoadState& b);
  // Returns true if the class is served less than kLeastShare times as often as all.
  bool ServedLittle(Time now, const LoadState& state) const;

  const HedgeBudget& budget;
  std::map<std::string, ServiceState, std::less<>> services;
  std::map<LoadClass, LoadState> classes;
  Counts served;    // of all classes
  Counts accepted;  // attempts of all services; their seconds are marked
  SlowTargets slow_targets;
  LostServices lost_services;
};

// Returns the probability that at least `needed` of independent events with these probabilities
// occur.
double ChanceOfAtLeast(const std::vector<double>& probabilities, uint32_t needed);

// The budget of one request. While a service is short of room, it grants no hedges and no retries
// of shards that the answer does not need, and keeps retries for more urgent requests.
class OverloadBudget : public ExtraAttemptBudget {
 public:
  // `shared` is the budget of all routes, which `budget` draws from. All outlive this object.
  OverloadBudget(ExtraAttemptBudget& budget, const HedgeBudget& shared,
                 const OverloadAdmission& admission, const Plan& plan, LoadClass load_class)
      : budget(budget),
        shared(shared),
        admission(admission),
        plan(plan),
        load_class(std::move(load_class)) {}

  std::optional<Duration> HedgeDelay(Time now, std::string_view service) override {
    return this->budget.HedgeDelay(now, service);
  }
  void CountNeeded(Time now, std::string_view service, uint32_t count) override {
    this->budget.CountNeeded(now, service, count);
  }
  bool Spend(Time now, std::string_view service, ExtraAttemptKind kind) override;
  bool GivesAdvice() const override { return true; }
  RetryAdvice AdviseRetry(Time now, std::span<const OpenShard> open, uint32_t needed) override;
  // Returns why the search got no more retries, or nothing if it got all that it asked for.
  const std::optional<AdmissionVerdict>& GivenUp() const { return this->given_up; }

 private:
  // Returns true if the services are short of room.
  bool Short(Time now);
  RetryAdvice GiveUp(RejectReason reason, const AdmissionVerdict& inputs);

  ExtraAttemptBudget& budget;
  const HedgeBudget& shared;
  const OverloadAdmission& admission;
  const Plan& plan;
  LoadClass load_class;
  // A search asks for each waiting shard every 10 ms, so the result is kept for that time.
  std::optional<Time> checked;
  bool short_of_room = false;
  bool retrying = false;  // the search has got a retry
  std::optional<AdmissionVerdict> given_up;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_OVERLOAD_H_
