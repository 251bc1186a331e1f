// How long callers have waited before their request arrived, from the time that they still wait.
//
// Use:
//   const Duration spent = window.Elapsed(now, remaining);   // for each request of one route
//
// Load pattern: a caller that has to connect first sends its request two round trips later, and
// says that it waits for that much less. The answer is then due earlier after the request's
// arrival.
//
// Contract: the longest remaining of the last one to two periods is taken for that of a caller that
// has not waited yet. Callers of one route that differ in remaining look as if they had waited; a
// caller of this function must therefore expect any value from 0 to the longest remaining.
#ifndef PERIDOTGAUGE_CORE_CALLER_WAIT_H_
#define PERIDOTGAUGE_CORE_CALLER_WAIT_H_

#include "core/types.h"

namespace peridotgauge {

// Some requests in each period come over a kept connection, also at a few requests a second.
constexpr Duration kCallerWaitPeriod = Seconds(10);

class CallerWaitEstimator {
 public:
  // Notes what a caller still waits and returns how much less that is than the longest of late.
  Duration Elapsed(Time now, Duration remaining);

 private:
  Time period_end{};
  Duration longest{0};   // of this period
  Duration previous{0};  // of the period before
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CALLER_WAIT_H_
