// The longest patience of two periods.
#include "core/patience.h"

#include <algorithm>

namespace peridotgauge {

Duration PatienceWindow::Spent(Time now, Duration patience) {
  if (now >= this->period_end) {
    const bool adjacent = now < this->period_end + kPatiencePeriod;
    this->previous = adjacent ? this->longest : Duration(0);
    this->longest = Duration(0);
    this->period_end = now + kPatiencePeriod;
  }
  this->longest = std::max(this->longest, patience);
  return std::max(this->longest, this->previous) - patience;
}

}  // namespace peridotgauge
