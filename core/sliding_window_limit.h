// Limit on hedges and retries over a sliding window, relative to the needed sub-requests.
//
// Use:
//   SlidingWindowLimit window(Seconds(10));
//   window.CountNeeded(now, 36);
//   if (window.Spend(now, /*ratio=*/0.16, /*slack=*/2.0)) SendHedge();
//
// The limit that operators configure counts over a window, so it allows a burst that uses the whole
// share of the preceding seconds, for example when a fifth of all answers are lost for four seconds
// after minutes of low load. A token bucket denies it, because it discards tokens above its burst.
//
// Contract: in every interval of the window's length, at most ratio * needed + slack sub-requests
// are granted, where `needed` is the number counted in that interval. Counts are kept in slots of a
// tenth of the window; the rounding never exceeds the limit. The limit also holds for an object and
// its successor together, for example in a restarted process, if the successor inherits the debt.
#ifndef PERIDOTGAUGE_CORE_SLIDING_WINDOW_LIMIT_H_
#define PERIDOTGAUGE_CORE_SLIDING_WINDOW_LIMIT_H_

#include <array>
#include <cstdint>

#include "core/types.h"

namespace peridotgauge {

class SlidingWindowLimit {
 public:
  explicit SlidingWindowLimit(Duration length = Seconds(10)) : slot_length(length / kSlots) {}

  void CountNeeded(Time now, uint32_t count);
  // Grants one sub-request and returns true if the count stays within `share` (0 to 1) of the
  // limit.
  bool Spend(Time now, double ratio, double slack, double share = 1);
  // Returns how many sub-requests could be granted now; at least 0.
  double Left(Time now, double ratio, double slack) const;
  // Returns by how many sub-requests the grants exceed `ratio` of the needed ones in that interval
  // before `now`, of at most the window's length, in which they do so most; at least 0.
  double Debt(Time now, double ratio) const;
  // Counts the debt of a predecessor as granted now.
  void Inherit(Time now, double debt);

 private:
  static constexpr size_t kSlots = 10;
  struct Slot {
    int64_t number = -1;  // of the slot, counted from the epoch of the clock
    uint32_t needed = 0;
    uint32_t granted = 0;
  };
  // Counts of the window that ends in the slot `current`.
  struct Sums {
    double needed = 0;
    double granted = 0;
  };
  Sums Count(int64_t current) const;
  Slot& SlotAt(Time now);
  const Slot* FindSlot(int64_t number) const;
  int64_t NumberOf(Time now) const { return now.time_since_epoch() / this->slot_length; }

  Duration slot_length;
  std::array<Slot, kSlots + 1> slots;  // ring of the slots that a window can overlap
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SLIDING_WINDOW_LIMIT_H_
