// Decides which requests a router that is shutting down still accepts.
//
// Use:
//   std::optional<Time> deadline = DrainDeadline(now, answer_by, {...});
//   if (!deadline) Refuse(ErrorCode::kDraining);  // not run: another router can serve it
//
// Contract: the returned deadline is never after `answer_by`, the time at which the router answers
// whatever is still running, so that no accepted request is cut off by the end of the process. A
// request that is not idempotent is accepted only if it may take all of its time: it could neither
// be sent again nor reported as not run if it were ended early.
//
// Load pattern: callers with an old address list send requests that may take 5 s until 6.5 s after
// the SIGTERM, to a router that is killed 6 s after it.
#ifndef PERIDOTGAUGE_CORE_DRAIN_POLICY_H_
#define PERIDOTGAUGE_CORE_DRAIN_POLICY_H_

#include <optional>

#include "core/types.h"

namespace peridotgauge {

// An idempotent request is accepted if this multiple of its expected latency is left. Hedges and
// one retry fit into it.
constexpr int kDrainLatencyFactor = 2;

struct DrainCandidate {
  Time deadline;
  bool idempotent = false;
  // A high quantile of the latency of such requests; nothing if too few are known.
  std::optional<Duration> slow_latency;
  auto operator<=>(const DrainCandidate&) const = default;
};

// Returns the deadline of the request if the router should accept it, or nothing.
std::optional<Time> DrainDeadline(Time now, Time answer_by, const DrainCandidate& request);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_DRAIN_POLICY_H_
