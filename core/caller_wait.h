// Estimates how long callers had waited before their request arrived, from the remaining time that
// their requests state.
//
// Use:
//   const Duration wait = estimator.Elapsed(now, remaining);  // for each request of one route
//
// A caller that has to connect first sends its request two round trips later and states that much
// less remaining time. Its answer is then due that much earlier after the request has arrived.
//
// Contract: the longest remaining time in the last one to two periods is taken as that of a caller
// that has not waited yet. Callers of one route that use different timeouts look as if they had
// waited, so users of Elapsed() must expect any value from 0 to the longest remaining time.
#ifndef PERIDOTGAUGE_CORE_CALLER_WAIT_H_
#define PERIDOTGAUGE_CORE_CALLER_WAIT_H_

#include "core/types.h"

namespace peridotgauge {

// Long enough that each period has requests over an open connection even at a few requests per
// second.
constexpr Duration kCallerWaitPeriod = Seconds(10);

class CallerWaitEstimator {
 public:
  // Records a caller's remaining time and returns by how much it is below the recent maximum.
  Duration Elapsed(Time now, Duration remaining);

 private:
  Time period_end{};
  Duration longest{0};   // of the current period
  Duration previous{0};  // of the previous period
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CALLER_WAIT_H_
