// Ring of time slots.
#include "core/sliding_window_limit.h"

#include <algorithm>
#include <cmath>

namespace peridotgauge {

SlidingWindowLimit::Slot& SlidingWindowLimit::SlotAt(Time now) {
  const int64_t number = this->NumberOf(now);
  Slot& slot = this->slots[static_cast<size_t>(number) % this->slots.size()];
  if (slot.number != number) slot = {.number = number};
  return slot;
}

const SlidingWindowLimit::Slot* SlidingWindowLimit::FindSlot(int64_t number) const {
  const Slot& slot = this->slots[static_cast<size_t>(number) % this->slots.size()];
  return slot.number == number ? &slot : nullptr;
}

void SlidingWindowLimit::CountNeeded(Time now, uint32_t count) {
  this->SlotAt(now).needed += count;
}

SlidingWindowLimit::Sums SlidingWindowLimit::Count(int64_t current) const {
  const auto oldest_granted = current - static_cast<int64_t>(kSlots);
  Sums sums;
  for (const Slot& slot : this->slots) {
    // The window that ends now overlaps the oldest slot only in part. Its grants are counted and
    // its needed sub-requests are not, so that the limit holds for every alignment.
    if (slot.number >= oldest_granted) sums.granted += slot.granted;
    if (slot.number > oldest_granted) sums.needed += slot.needed;
  }
  return sums;
}

bool SlidingWindowLimit::Spend(Time now, double ratio, double slack, double share) {
  Slot& current = this->SlotAt(now);
  const Sums sums = this->Count(current.number);
  if (sums.granted + 1 > share * (ratio * sums.needed + slack)) return false;
  ++current.granted;
  return true;
}

double SlidingWindowLimit::Left(Time now, double ratio, double slack) const {
  const Sums sums = this->Count(this->NumberOf(now));
  return std::max(0.0, ratio * sums.needed + slack - sums.granted);
}

double SlidingWindowLimit::Debt(Time now, double ratio) const {
  const int64_t current = this->NumberOf(now);
  double debt = 0;
  double sum = 0;
  for (int64_t number = current; number >= current - static_cast<int64_t>(kSlots); --number) {
    const Slot* slot = this->FindSlot(number);
    if (slot == nullptr) continue;
    // An interval may begin after the needed sub-requests of its oldest slot and before its grants.
    debt = std::max(debt, sum + slot->granted);
    sum += slot->granted - ratio * slot->needed;
  }
  return debt;
}

void SlidingWindowLimit::Inherit(Time now, double debt) {
  this->SlotAt(now).granted += static_cast<uint32_t>(std::ceil(std::max(debt, 0.0)));
}

}  // namespace peridotgauge
