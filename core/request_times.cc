// Waits for permits and deadlines of requests.
#include "core/request_times.h"

#include <algorithm>

#include "core/drain_policy.h"

namespace peridotgauge {

Duration MaxQuotaWait(Time now, Duration time_left, std::optional<Time> answer_by) {
  const Duration max_wait = time_left / kQuotaWaitDivisor;
  return answer_by ? std::min(max_wait, *answer_by - now) : max_wait;
}

Time LatestDeadline(Time now, const RequestTimes& request) {
  return std::max(request.arrived + request.time_left - kDeadlineMargin, now + kShortestDeadline);
}

std::optional<Time> RequestDeadline(Time now, const RequestTimes& request,
                                    std::optional<Time> answer_by) {
  const Time deadline = LatestDeadline(now, request);
  if (!answer_by) return deadline;
  return DrainDeadline(now, *answer_by,
                       {.deadline = deadline,
                        .idempotent = request.idempotent,
                        .slow_latency = request.slow_latency});
}

}  // namespace peridotgauge
