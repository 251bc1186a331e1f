// The highest value within a time span, as a queue of falling values.
#include "core/recent_maximum.h"

#include <algorithm>

namespace peridotgauge {

void RecentMaximum::Set(Time now, size_t value) {
  std::erase_if(this->replaced, [&](const Replaced& old) { return old.until <= now; });
  const size_t least = std::max(this->current, value);
  while (!this->replaced.empty() && this->replaced.back().value <= least) {
    this->replaced.pop_back();
  }
  if (value < this->current) this->replaced.push_back({this->current, now + this->span});
  this->current = value;
}

size_t RecentMaximum::Get(Time now) const {
  for (const Replaced& old : this->replaced) {
    if (now < old.until) return old.value;
  }
  return this->current;
}

std::optional<Time> RecentMaximum::NextDecrease(Time now) const {
  for (const Replaced& old : this->replaced) {
    if (now < old.until) return old.until;
  }
  return std::nullopt;
}

}  // namespace peridotgauge
