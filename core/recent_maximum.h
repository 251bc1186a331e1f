// The highest value that a quantity has had within a time span.
//
// Use:
//   RecentMaximum routers(Seconds(10));
//   routers.Set(now, 8);  routers.Set(now, 7);
//   routers.Get(now);                            // 8, and 7 ten seconds later
//
// Contract: Get() returns the highest of the current value and of those that were replaced less
// than `span` ago. Calls must be in order of time.
#ifndef PERIDOTGAUGE_CORE_RECENT_MAXIMUM_H_
#define PERIDOTGAUGE_CORE_RECENT_MAXIMUM_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "core/types.h"

namespace peridotgauge {

class RecentMaximum {
 public:
  explicit RecentMaximum(Duration span) : span(span) {}

  void Set(Time now, size_t value);
  size_t Get(Time now) const;
  // Returns when Get() decreases next if the value is not set again, or nothing if it does not.
  std::optional<Time> NextDecrease(Time now) const;

 private:
  struct Replaced {
    size_t value = 0;
    Time until;
  };

  Duration span;
  size_t current = 0;
  std::deque<Replaced> replaced;  // values above `current`, falling, each with a later `until`
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_RECENT_MAXIMUM_H_
