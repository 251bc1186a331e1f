// How a router divides the time that a caller allows for a request.
//
// Use:
//   Duration max_wait = MaxQuotaWait(now, time_left, answer_by);
//   std::optional<Time> deadline = RequestDeadline(now, {...}, answer_by);
//   if (!deadline) Refuse(ErrorCode::kDraining);
//
// `answer_by` is set while the router shuts down: the time at which it answers whatever is still
// running.
#ifndef PERIDOTGAUGE_CORE_REQUEST_TIMES_H_
#define PERIDOTGAUGE_CORE_REQUEST_TIMES_H_

#include <optional>

#include "core/types.h"

namespace peridotgauge {

// Time kept before the caller's deadline for sending the response.
constexpr Duration kDeadlineMargin = Millis(20);
constexpr Duration kShortestDeadline = Millis(1);
// A request waits for a permit for at most this part of the time that its caller allows.
constexpr int kQuotaWaitDivisor = 4;
// Until enough latencies are known, the median is assumed to be the route's objective divided by
// this.
constexpr int kMediansInObjective = 6;

// The times of a request that has its permit.
struct RequestTimes {
  Time arrived;
  Duration time_left{};  // that its caller and its route allowed at its arrival
  bool idempotent = true;
  // See DrainCandidate in drain_policy.h. Used only while the router shuts down.
  std::optional<Duration> slow_latency = std::nullopt;
};

// Returns for how long a request that arrives now may wait for a permit of its workspace.
Duration MaxQuotaWait(Time now, Duration time_left, std::optional<Time> answer_by);
// Returns the deadline of a request in a router that does not shut down.
Time LatestDeadline(Time now, const RequestTimes& request);
// Returns the deadline of a request, or nothing if it may outlast a router that shuts down.
std::optional<Time> RequestDeadline(Time now, const RequestTimes& request,
                                    std::optional<Time> answer_by);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_REQUEST_TIMES_H_
