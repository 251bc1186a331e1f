// Interfaces through which a search selects replicas and asks the budget for hedges and retries.
//
// Use:
//   const TargetRecord* target = chooser.Choose(now, shard.candidates, tried);
//   if (target != nullptr && budget.Spend(now, "verstas", ExtraAttemptKind::kHedge)) Send(*target);
//
// Contract: implementations do not keep the pointers that are passed to them after the call
// returns, and identify a target by its name (and incarnation), because two plans can hold two
// copies of one record. The router, not the search, reports sends, replies and latencies to them.
#ifndef PERIDOTGAUGE_CORE_SEARCH_POLICY_H_
#define PERIDOTGAUGE_CORE_SEARCH_POLICY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// Targets that hold one shard. No pointer is null.
using Candidates = std::span<const TargetRecord* const>;

// Selects the replica that one attempt is sent to.
class ReplicaChooser {
 public:
  virtual ~ReplicaChooser() = default;
  // Returns an element of `candidates` whose name is not in `excluded`, or nullptr if none is
  // usable. `excluded` lists the targets that were already tried for this shard. Implementations
  // may skip candidates that have started to drain since the candidates were collected.
  virtual const TargetRecord* Choose(Time now, Candidates candidates, Candidates excluded) = 0;
};

// Reason for a sub-request in addition to the first one of a shard.
enum class ExtraAttemptKind : uint8_t {
  kHedge,           // another attempt while one is running
  kRetry,           // another attempt after a failure with unknown outcome
  kOptionalRetry,   // a retry for a shard beyond the needed coverage
  kOverdraftRetry,  // a retry that the budget refused, without which the shard would be missing
};

// A shard of a search that is neither covered nor missing.
struct OpenShard {
  std::string_view fleet;
  std::optional<Duration> running_for;  // of the last attempt; nothing if it waits for a retry
  auto operator<=>(const OpenShard&) const = default;
};

// What to do about a shard whose attempt was refused.
enum class RetryAdvice : uint8_t {
  kRetry,
  kWait,    // other attempts may still be refused
  kGiveUp,  // a retry would be wasted, because too few shards are likely to be covered
};

// The hedge delay of each fleet, and the budget that its hedges and retries share.
class ExtraAttemptBudget {
 public:
  virtual ~ExtraAttemptBudget() = default;
  // Returns the time after which a running attempt is hedged, or nullopt if the fleet gets no
  // hedges.
  virtual std::optional<Duration> HedgeDelay(Time now, std::string_view fleet) = 0;
  // Counts the first sub-requests of shards, which refill the budget.
  virtual void CountNeeded(Time now, std::string_view fleet, uint32_t count) = 0;
  // Charges one sub-request to the budget and returns true, or returns false and charges nothing.
  // Returns false if the fleet is overloaded. Otherwise kOverdraftRetry is granted even if the
  // budget is empty; it is still charged, so that the debt delays later hedges and retries.
  virtual bool Spend(Time now, std::string_view fleet, ExtraAttemptKind kind) = 0;
  // Returns true if AdviseRetry() may return anything but kRetry.
  virtual bool GivesAdvice() const { return false; }
  // Advises a search of which a shard was refused, and which needs `needed` of its open shards.
  virtual RetryAdvice AdviseRetry(Time /*now*/, std::span<const OpenShard> /*open*/,
                                  uint32_t /*needed*/) {
    return RetryAdvice::kRetry;
  }
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SEARCH_POLICY_H_
