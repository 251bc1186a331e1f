// Admission of requests while a router is shutting down.
#include "core/drain_policy.h"

namespace peridotgauge {

std::optional<Time> DrainDeadline(Time now, Time answer_by, const DrainCandidate& request) {
  if (request.deadline <= answer_by) return request.deadline;
  if (!request.idempotent || !request.slow_latency) return std::nullopt;
  if (now + kDrainLatencyFactor * *request.slow_latency > answer_by) return std::nullopt;
  return answer_by;
}

}  // namespace peridotgauge
