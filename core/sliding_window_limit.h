// A limit on extra sub-requests over a sliding window.
//
// Use:
//   SlidingWindowLimit window(Seconds(10));
//   window.CountNeeded(now, 36);
//   if (window.Spend(now, /*ratio=*/0.16, /*slack=*/2.0)) SendHedge();
//
// Load pattern: calm for minutes, then a fifth of all answers are lost for four seconds. A token
// bucket has by then thrown away what the calm seconds did not use; the limit of the operators,
// which counts over a window, allows it.
//
// Contract: in every span of the window's length, at most ratio x needed + slack are granted, where
// `needed` are those counted in that span. Counts are kept in slots of a tenth of the window and
// rounded so that the limit is kept.
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
  // Grants one if `share` of the limit (0 to 1) has room for it.
  bool Spend(Time now, double ratio, double slack, double share = 1);

 private:
  static constexpr size_t kSlots = 10;
  struct Slot {
    int64_t number = -1;  // of the slot since the epoch of the clock
    uint32_t needed = 0;
    uint32_t granted = 0;
  };
  Slot& SlotAt(Time now);
  int64_t NumberOf(Time now) const { return now.time_since_epoch() / this->slot_length; }

  Duration slot_length;
  std::array<Slot, kSlots + 1> slots;  // the present one and as many as a window touches
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SLIDING_WINDOW_LIMIT_H_
