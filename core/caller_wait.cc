// Maximum remaining time over two periods.
#include "core/caller_wait.h"

#include <algorithm>

namespace peridotgauge {

Duration CallerWaitEstimator::Elapsed(Time now, Duration remaining) {
  if (now >= this->period_end) {
    const bool adjacent = now < this->period_end + kCallerWaitPeriod;
    this->previous = adjacent ? this->longest : Duration(0);
    this->longest = Duration(0);
    this->period_end = now + kCallerWaitPeriod;
  }
  this->longest = std::max(this->longest, remaining);
  return std::max(this->longest, this->previous) - remaining;
}

}  // namespace peridotgauge
