// State machine of one search: scatter to the shards of a plan, hedge, retry, gather.
//
// Use:
//   Search search(plan, request, policies);
//   Apply(search.Start(now));                        // send, cancel, set the timer, answer
//   Apply(search.OnReply(now, std::move(reply)));    // for every reply and every failed send
//   Apply(search.OnTimer(now));
//
// Contract: the answer is emitted exactly once, unless Abort() comes first, and at the latest by
// the first event at or after the deadline. Every attempt is settled once: by its reply, or by
// being cancelled. Replies for unknown or settled attempts change nothing and are counted. The
// shards of the answer are exactly those whose reply was merged; every other shard has a cause.
//
// Rules:
// - Attempts for one shard use distinct targets.
// - Canaries: an untrusted request goes to kCanaries shards first (one if it is already suspect),
//   on distinct targets, and to the rest when a target has answered, with a result or an error.
//   Until then at most that many attempts, hedges and retries included, run or may have reached a
//   target. If all of them fail, the search ends. So a request that crashes every target reaches at
//   most kCanaries targets.
// - Crashes: a crash before any target answered, or of a second target, makes the request suspect.
//   A suspect request gets no hedges and no retries. One crash of a request that other targets have
//   answered is more likely a lost target, and its shard may be retried from the budget.
// - A failure that proves that nothing was executed is retried without charge, at most
//   kMaxUnchargedRetries times for a shard: a refused sub-request costs a target almost nothing.
// - Other failures are retried from the fleet's budget. With Preference::kCoverage a shard with no
//   running attempt is granted kMaxOverdraftRetries retries although the budget is empty, unless
//   the fleet is overloaded. Extra load is bounded by that number for each needed sub-request even
//   if every reply is lost, and the budget is charged, so hedges pay for it later. If that is
//   refused too, the budget is asked again until the deadline.
// - Preference::kLatency answers at the soft deadline and hedges a shard once.
//   Preference::kCoverage waits until the deadline and hedges again after each further delay.
// - Stragglers: once all but `straggler_share` of the shards are covered, the others are hedged at
//   kStragglerFactor times the time that took, if that is sooner. The shards of one search take
//   alike, whatever the load is at the moment; a delay learned from earlier searches follows too
//   late.
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
constexpr uint32_t kMaxOverdraftRetries = 1;
constexpr uint32_t kCanaries = 2;
// A tail of a fifth above the quick shards is ordinary spread, not a straggler.
constexpr double kStragglerFactor = 1.2;
// Time until a refused budget is asked again for a shard without a running attempt.
constexpr Duration kBudgetPause = Millis(10);

struct SearchParams {
  std::string request_id;
  Time deadline;  // of the caller, or of the service
  // How long the caller had waited at the start. The soft deadline is earlier by this, at most by
  // half; it is not if the caller has waited for longer than that already.
  Duration caller_wait{0};
  bool trusted = false;  // the fingerprint succeeded recently: no canaries
  bool suspect = false;  // the fingerprint crashed a target: no hedges, no retries
  bool canaries = true;  // false switches canaries off for benchmarks
  bool hedging = true;   // false switches hedges off for benchmarks
  // Least number of covered shards in an answer. With Preference::kLatency the search goes on after
  // the soft deadline until it has them, and ends at once when it cannot get them any more.
  uint32_t min_covered = 0;
  // Attempts for one shard that may have been executed.
  uint32_t max_attempts = UINT32_MAX;
  bool idempotent = true;  // false: no second attempt unless the first one provably did not run
  bool suspect_on_crash = true;  // false: crashes do not stop hedges and retries of this request
  double straggler_share = 0;    // of the shards; 0: none is hedged before the delay of the budget
  // Retries after a refusal are paid from the budget like others, wait for it if it is empty, and
  // may go to a target that has refused the request before.
  bool charge_refusals = false;
};

// An attempt to send. `target` lives as long as the plan.
struct AttemptSend {
  uint32_t attempt = 0;  // unique within the search, from 1
  uint32_t shard = 0;    // index into Plan::shards
  const TargetRecord* target = nullptr;
};

// What became of one attempt. `request_id`, `attempt` and `snapshot` of a success are those that
// the target echoed.
struct AttemptReply {
  uint32_t sent_attempt = 0;  // the attempt whose call this reply completes
  std::optional<Error> error;
  bool crashed = false;  // the connection to the target died without a reply
  std::string request_id;
  uint32_t attempt = 0;
  uint64_t snapshot = 0;
  std::string body;  // JSON text
};

struct ShardBody {
  uint32_t shard = 0;    // index into Plan::shards
  uint32_t attempt = 0;  // whose reply it is
  std::string body;
  bool operator==(const ShardBody&) const = default;
};

struct ShardMissing {
  uint32_t shard = 0;  // index into Plan::shards
  ErrorCode cause = ErrorCode::kInternal;
  bool operator==(const ShardMissing&) const = default;
};

// Counters of one search. `needed` counts all shards of the plan; the rejected replies were not
// merged.
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

// The answer. Covered and missing shards are in the order of the plan; each shard is in one list.
struct SearchOutcome {
  std::shared_ptr<const Plan> plan;
  std::vector<ShardBody> covered;
  std::vector<ShardMissing> missing;
  SearchCounts counts;
  // Distinct targets that crashed.
  uint32_t crashes = 0;
  // No target answered and every canary crashed its target, so the other shards were not asked. If
  // Quarantine::Check() says kCrashing, the caller gets kQuarantined once that is committed.
  bool canaries_crashed = false;

  bool Complete() const { return this->missing.empty(); }
  // True if the fingerprint can be remembered as successful.
  bool Succeeded() const { return this->crashes == 0 && !this->covered.empty(); }
};

// What the router must do, in this order. A new timer replaces the earlier one.
struct SearchEffects {
  std::vector<uint32_t> cancels;  // attempts
  std::vector<AttemptSend> sends;
  std::optional<Time> timer;
  std::optional<SearchOutcome> outcome;  // no further effects follow
};

// Policies shared by the searches of a router; both outlive the search.
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
  // The caller is gone: cancels all attempts and answers nothing.
  SearchEffects Abort();

  bool Finished() const { return this->finished; }
  const SearchCounts& Counts() const { return this->counts; }

 private:
  // A shard in kRunning without a running attempt waits for the budget or for the canaries.
  enum class ShardState : uint8_t { kUnsent, kRunning, kCovered, kMissing };

  struct Attempt {
    uint32_t shard = 0;
    uint32_t previous = 0;  // earlier attempt for the shard, 0 if none
    const TargetRecord* target = nullptr;
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
    uint32_t covered_by = 0;    // attempt whose reply was merged
    bool refused = false;       // nothing is running because a target refused the last attempt
    bool refused_free = false;  // the last refusal came before the request reached the target
    Time wake = Time::max();    // next hedge, or next request to the budget if nothing is running
    std::string body;
  };

  Time AnswerTime() const;
  // True if the search cannot get min_covered shards any more.
  bool Hopeless() const { return this->open + this->covered < this->params.min_covered; }
  uint32_t CanaryLimit() const { return this->params.suspect ? 1 : kCanaries; }
  // True if another attempt may reach a target without exceeding the limit on canaries.
  bool PlaceLeft() const { return this->released || this->canaries_out < this->CanaryLimit(); }

  void SendCanaries(Time now, SearchEffects& effects);
  // Sends to all shards that were not sent yet.
  void Release(Time now, SearchEffects& effects);
  bool SendFirst(Time now, uint32_t index, SearchEffects& effects);
  bool AttemptsLeft(uint32_t index) const;
  const TargetRecord* ChooseFor(Time now, uint32_t index);
  void SendTo(Time now, uint32_t index, const TargetRecord& target, SearchEffects& effects);

  // Returns why a successful reply cannot be merged, or nothing.
  std::optional<ErrorCode> Check(const AttemptReply& reply, uint32_t index) const;
  void Merge(uint32_t attempt, std::string body, SearchEffects& effects);
  void OnFailure(Time now, uint32_t attempt, ErrorCode code, bool crashed, SearchEffects& effects);
  void NoteCrash(const TargetRecord* target);
  bool RetryUncharged(Time now, uint32_t index, SearchEffects& effects);
  void RetryRefused(Time now, uint32_t index);
  void RetryCharged(Time now, uint32_t index, SearchEffects& effects);
  bool SpendRetry(Time now, uint32_t index);
  // Brings the hedges of the last shards forward once the others are covered.
  void HastenStragglers(Time now);
  void Hedge(Time now, uint32_t index, SearchEffects& effects);
  void Lose(uint32_t index, ErrorCode cause);
  void CancelRunning(uint32_t index, SearchEffects& effects);

  void AfterEvent(Time now, SearchEffects& effects);
  void EndCanariesIfStuck(Time now);
  void Finish(SearchEffects& effects);
  Time NextTimer() const;

  std::shared_ptr<const Plan> plan;
  SearchParams params;
  SearchPolicies policies;
  Time started{};
  Time soft_deadline{};
  std::vector<Shard> shards;                 // one for each of the plan's
  std::vector<Attempt> attempts;             // attempt n is at n - 1
  std::vector<const TargetRecord*> tried;    // scratch of ChooseFor()
  std::vector<const TargetRecord*> crashed;  // distinct targets
  uint32_t running = 0;                      // attempts
  uint32_t canaries_out = 0;  // unreleased attempts that run, or that failed and may have executed
  uint32_t open = 0;          // shards that are neither covered nor missing
  uint32_t covered = 0;       // shards
  bool released = false;      // a target has answered, or no canaries are needed
  bool suspect = false;
  bool hastened = false;  // HastenStragglers() has done its work
  bool finished = false;
  std::optional<Time> timer;  // last one emitted
  SearchCounts counts;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SEARCH_H_
