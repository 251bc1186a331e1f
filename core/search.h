// State machine of one search: sends the request to every shard of a plan, hedges and retries
// sub-requests, and gathers the replies.
//
// Use:
//   Search search(plan, request, policies);
//   Apply(search.Start(now));                        // sends, cancels, sets the timer, answers
//   Apply(search.OnReply(now, std::move(reply)));    // for every reply and every failed send
//   Apply(search.OnTimer(now));
//
// Contract: the answer is emitted exactly once unless Abort() is called first, and no later than
// the first event at or after the deadline. Every attempt is settled once, by its reply or by its
// cancellation. Replies for unknown or settled attempts are counted and otherwise ignored. The
// shards of the answer are exactly those whose reply was merged; every other shard has a cause.
//
// Rules:
// - Attempts for one shard use distinct targets.
// - Canaries: an untrusted request is first sent to kCanaries shards (one if it is already
//   suspect) on distinct targets, and to the remaining shards after a target has answered with a
//   result or an error. Until then at most that many attempts, including hedges and retries, are
//   running or may have reached a target. If all of them fail, the search ends. A request that
//   crashes every target therefore reaches at most kCanaries targets.
// - Crashes: a crash before any target has answered, or a crash of a second target, makes the
//   request suspect. A suspect request gets no hedges and no retries. A single crash for a request
//   that other targets have answered is more likely a lost target, so its shard may be retried from
//   the budget.
// - A failure that proves that nothing was executed is retried without charging the budget, at most
//   kMaxUnchargedRetries times per shard: a refused sub-request costs a target almost nothing.
// - Other failures are retried from the fleet's budget. With Preference::kCoverage, a shard without
//   a running attempt gets kMaxOverdraftRetries retries even if the budget is empty, unless the
//   fleet is overloaded. Extra load is bounded by that number for each needed sub-request even if
//   every reply is lost, and the budget is still charged, which reduces later hedges. If the
//   overdraft is refused as well, the budget is asked again until the deadline.
// - Preference::kLatency answers at the soft deadline and hedges a shard once.
//   Preference::kCoverage waits until the deadline and hedges again after each further delay.
// - Stragglers: once all but `straggler_share` of the shards are covered, the remaining shards are
//   hedged at kStragglerFactor times the time that this took, if that is sooner. The shards of one
//   search take similar times under any load, whereas a delay derived from earlier searches adapts
//   too late.
#ifndef PERIDOTGAUGE_CORE_SEARCH_H_
#define PERIDOTGAUGE_CORE_SEARCH_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/plan.h"
#include "core/search_policy.h"
#include "core/types.h"

namespace peridotgauge {

constexpr uint32_t kMaxUnchargedRetries = 3;
// Limit on the retries of a shard after refusals if an overload policy decides on them. With
// three targets that refuse 60 % of their requests each, a shard fails with 3 retries in 13 % of
// the cases, and a search with 18 such shards of which it may miss one in 70 %; with 8 retries in 1
// %.
constexpr uint32_t kMaxChargedRefusalRetries = 8;
constexpr uint32_t kMaxOverdraftRetries = 1;
constexpr uint32_t kCanaries = 2;
// Replies up to a fifth later than those of the fast shards are normal variation.
constexpr double kStragglerFactor = 1.2;
// Interval after which a shard without a running attempt asks the budget again.
constexpr Duration kBudgetRetryInterval = Millis(10);

struct SearchParams {
  std::string request_id;
  Time deadline;  // of the caller, or of the service
  // How long the caller had already waited when the search starts. The soft deadline is shortened
  // by this time, but at most by half, and not at all if the caller has waited for the whole soft
  // deadline or longer.
  Duration caller_wait{0};
  bool trusted = false;  // the fingerprint succeeded recently: no canaries
  bool suspect = false;  // the fingerprint crashed a target: no hedges, no retries
  bool canaries = true;  // false disables canaries, for benchmarks
  bool hedging = true;   // false disables hedges, for benchmarks
  // Minimum number of covered shards in an answer. With Preference::kLatency the search continues
  // after the soft deadline until it has them, and ends at once when they can no longer be reached.
  uint32_t min_covered = 0;
  // Maximum number of attempts per shard that may have been executed.
  uint32_t max_attempts = UINT32_MAX;
  bool idempotent = true;  // false: no second attempt unless the first one provably did not run
  bool suspect_on_crash = true;  // false: a crash does not stop hedges and retries
  double straggler_share = 0;    // of the shards; 0: none is hedged before the budget's hedge delay
  // Services whose shards are not sent to; they are missing with kSuspect.
  std::vector<std::string> excluded_services;
  // Retries after a refusal are charged to the budget like other retries, wait while it is empty,
  // and may go to a target that has refused the request before.
  bool charge_refusals = false;
  uint32_t max_refusal_retries = kMaxUnchargedRetries;  // of a shard
};

enum class AttemptKind : uint8_t {
  kFirst,  // the needed one of its shard
  kHedge,
  kRetry,           // charged to the budget
  kUnchargedRetry,  // after an attempt that did not reach its target
};

// An attempt that the router must send. `target` is valid as long as the plan.
struct AttemptSend {
  uint32_t attempt = 0;  // unique within the search, from 1
  uint32_t shard = 0;    // index into Plan::shards
  const TargetRecord* target = nullptr;
  AttemptKind kind = AttemptKind::kFirst;
};

// The result of one attempt. On success, `request_id`, `attempt` and `snapshot` are the values that
// the target echoed.
struct AttemptReply {
  uint32_t sent_attempt = 0;  // the attempt whose call this reply completes
  std::optional<Error> error;
  bool crashed = false;  // the connection to the target was lost without a reply
  std::string request_id;
  uint32_t attempt = 0;
  uint64_t snapshot = 0;
  std::string body;  // JSON text
};

struct ShardBody {
  uint32_t shard = 0;    // index into Plan::shards
  uint32_t attempt = 0;  // the attempt that returned `body`
  std::string body;
  bool operator==(const ShardBody&) const = default;
};

struct ShardMissing {
  uint32_t shard = 0;  // index into Plan::shards
  ErrorCode cause = ErrorCode::kInternal;
  bool operator==(const ShardMissing&) const = default;
};

// Counters of one search. `needed` counts all shards of the plan. Wrong, late and unknown replies
// are not merged.
struct SearchCounts {
  uint32_t needed = 0;
  uint32_t sent = 0;
  uint32_t hedges = 0;
  uint32_t retries = 0;
  uint32_t wrong_replies = 0;    // of another request or attempt
  uint32_t wrong_snapshots = 0;  // of another snapshot
  uint32_t late_replies = 0;     // of an attempt that was settled or cancelled
  uint32_t unknown_replies = 0;  // of an attempt that was never sent
  bool operator==(const SearchCounts&) const = default;
};

// The answer. Covered and missing shards are in plan order; each shard is in exactly one list.
struct SearchOutcome {
  std::shared_ptr<const Plan> plan;
  std::vector<ShardBody> covered;
  std::vector<ShardMissing> missing;
  SearchCounts counts;
  uint32_t crashes = 0;  // distinct targets that crashed
  // No target answered and every canary crashed its target, so no other shard was queried. If
  // Quarantine::Check() returns kCrashing, the caller gets kQuarantined once the quarantine is
  // committed.
  bool canaries_crashed = false;

  bool Complete() const { return this->missing.empty(); }
  // Returns true if the fingerprint may be recorded as successful.
  bool Succeeded() const { return this->crashes == 0 && !this->covered.empty(); }
};

// Actions that the router must carry out, in this order. A new timer replaces the previous one.
struct SearchEffects {
  std::vector<uint32_t> cancels;  // attempts
  std::vector<AttemptSend> sends;
  std::optional<Time> timer;
  std::optional<SearchOutcome> outcome;  // no further effects follow
};

// Policies shared by the searches of a router. Both must outlive the search.
struct SearchPolicies {
  ReplicaChooser& chooser;
  ExtraAttemptBudget& budget;
};

class Search {
 public:
  Search(std::shared_ptr<const Plan> plan, SearchParams params, SearchPolicies policies);

  SearchEffects Start(Time now);
  SearchEffects OnReply(Time now, AttemptReply reply);
  SearchEffects OnTimer(Time now);
  // Emits the answer now, as if the deadline had passed.
  SearchEffects Expire(Time now);
  // Cancels all attempts without emitting an answer, because the caller has disconnected.
  SearchEffects Abort();

  bool Finished() const { return this->finished; }
  const SearchCounts& Counts() const { return this->counts; }

 private:
  // A shard in state kRunning without a running attempt waits for the budget or for the canaries.
  enum class ShardState : uint8_t { kUnsent, kRunning, kCovered, kMissing };

  struct Attempt {
    uint32_t shard = 0;
    uint32_t previous = 0;  // previous attempt for the same shard; 0 if none
    const TargetRecord* target = nullptr;
    Time sent{};
    bool running = true;
    bool not_run = false;  // failed, and the target provably did not execute it
  };

  struct Shard {
    ShardState state = ShardState::kUnsent;
    ErrorCode cause = ErrorCode::kDeadlineExceeded;  // of the last failure
    uint32_t last_attempt = 0;                       // 0 if none
    uint32_t running = 0;                            // attempts
    uint32_t hedges = 0;
    uint32_t uncharged_retries = 0;
    uint32_t overdraft_retries = 0;
    uint32_t covered_by = 0;         // attempt whose reply was merged
    bool refused = false;            // no attempt is running because a target refused the last one
    bool refused_unsent = false;     // the last refusal came before the request reached the target
    Time next_action = Time::max();  // next hedge, or next budget request if nothing is running
    std::string body;
  };

  Time AnswerTime() const;
  // Returns true if `min_covered` shards can no longer be covered.
  bool CannotReachMinimum() const { return this->open + this->covered < this->params.min_covered; }
  uint32_t CanaryLimit() const { return this->params.suspect ? 1 : kCanaries; }
  // Returns true if another attempt may be sent without exceeding the limit on canaries.
  bool CanarySlotFree() const {
    return this->canaries_done || this->open_canaries < this->CanaryLimit();
  }

  void SendCanaries(Time now, SearchEffects& effects);
  // Ends the canary phase: sends to all shards that have not been sent to.
  void SendRemaining(Time now, SearchEffects& effects);
  bool SendFirst(Time now, uint32_t index, SearchEffects& effects);
  bool AttemptsLeft(uint32_t index) const;
  const TargetRecord* ChooseTarget(Time now, uint32_t index);
  void SendTo(Time now, uint32_t index, const TargetRecord& target, AttemptKind kind,
              SearchEffects& effects);

  // Returns the reason why a successful reply cannot be merged, or nullopt if it can.
  std::optional<ErrorCode> CheckReply(const AttemptReply& reply, uint32_t index) const;
  void Merge(uint32_t attempt, std::string body, SearchEffects& effects);
  void OnFailure(Time now, uint32_t attempt, ErrorCode code, bool crashed, SearchEffects& effects);
  void RecordCrash(const TargetRecord* target);
  bool RetryUncharged(Time now, uint32_t index, SearchEffects& effects);
  void ScheduleRefusedRetry(Time now, uint32_t index);
  void RetryCharged(Time now, uint32_t index, SearchEffects& effects);
  bool SpendRetry(Time now, uint32_t index);
  RetryAdvice AdviseRetry(Time now) const;
  // Schedules the hedges of the remaining shards earlier once all other shards are covered.
  void AdvanceStragglerHedges(Time now);
  void Hedge(Time now, uint32_t index, SearchEffects& effects);
  void MarkMissing(uint32_t index, ErrorCode cause);
  void CancelRunning(uint32_t index, SearchEffects& effects);

  void AfterEvent(Time now, SearchEffects& effects);
  void GiveUpIfCanariesStuck(Time now);
  void Finish(SearchEffects& effects);
  Time NextTimer() const;

  std::shared_ptr<const Plan> plan;
  SearchParams params;
  SearchPolicies policies;
  Time started{};
  Time soft_deadline{};
  std::vector<Shard> shards;                 // parallel to Plan::shards
  std::vector<Attempt> attempts;             // attempt n is at index n - 1
  std::vector<const TargetRecord*> tried;    // scratch space of ChooseTarget()
  std::vector<const TargetRecord*> crashed;  // distinct targets
  uint32_t running = 0;                      // attempts
  // Canary attempts that are running, or that failed and may have been executed.
  uint32_t open_canaries = 0;
  uint32_t open = 0;           // shards that are neither covered nor missing
  uint32_t covered = 0;        // shards
  bool canaries_done = false;  // a target has answered, or no canaries are needed
  bool suspect = false;
  bool straggler_hedges_set = false;
  bool finished = false;
  std::optional<Time> timer;  // the last timer emitted
  SearchCounts counts;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SEARCH_H_
