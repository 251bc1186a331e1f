// How a router divides the time that a caller allows for a request.
#ifndef PERIDOTGAUGE_IO_REQUEST_TIMES_H_
#define PERIDOTGAUGE_IO_REQUEST_TIMES_H_

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

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_REQUEST_TIMES_H_
