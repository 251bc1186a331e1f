// Interfaces of the decisions that a search leaves to replica selection and to the hedge budget.
//
// Use:
//   const TargetRecord* target = chooser.Choose(now, shard.candidates, tried);
//   if (target != nullptr && budget.Spend(now, "verstas", ExtraAttemptKind::kHedge)) Send(*target);
//
// Contract: implementations do not keep the pointers they are given after the call returns, and
// identify a target by its name (and incarnation), because two plans can hold two copies of one
// record. They learn about sends, replies and latencies from the router, not through these
// interfaces.
#ifndef PERIDOTGAUGE_CORE_SEARCH_POLICY_H_
#define PERIDOTGAUGE_CORE_SEARCH_POLICY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// Targets that hold one shard. No pointer is null.
using Candidates = std::span<const TargetRecord* const>;

// Selects the replica for one attempt.
class ReplicaChooser {
 public:
  virtual ~ReplicaChooser() = default;
  // Returns an element of `candidates` whose name is not among `excluded`, or nullptr if none is
  // usable. `excluded` has the targets that were already tried for this shard. May skip candidates
  // that have started to drain since the candidates were collected.
  virtual const TargetRecord* Choose(Time now, Candidates candidates, Candidates excluded) = 0;
};

// Why a sub-request beyond the one that every shard needs is wanted.
enum class ExtraAttemptKind : uint8_t {
  kHedge,           // another attempt while one is running
  kRetry,           // another attempt after a failure with unknown outcome
  kOverdraftRetry,  // a retry that the budget refused, without which the shard would be missing
};

// The latency quantile and the shared budget of a fleet for hedges and retries.
class ExtraAttemptBudget {
 public:
  virtual ~ExtraAttemptBudget() = default;
  // Time after which a running attempt deserves a hedge, or nothing if the fleet gets no hedges.
  virtual std::optional<Duration> HedgeDelay(Time now, std::string_view fleet) = 0;
  // Counts sub-requests that were needed anyway; they fill the budget.
  virtual void CountNeeded(Time now, std::string_view fleet, uint32_t count) = 0;
  // Takes one sub-request out of the budget and returns true, or returns false and takes nothing.
  // Always false if the fleet is overloaded. kOverdraftRetry is otherwise granted even if the
  // budget is empty, and still charged, so that the debt delays later hedges and retries.
  virtual bool Spend(Time now, std::string_view fleet, ExtraAttemptKind kind) = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SEARCH_POLICY_H_
