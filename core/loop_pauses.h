// Detects long pauses of an event loop: times in which it ran nothing that was due.
//
// Use:
//   LoopPauses pauses;
//   // on the loop, by a timer that is set to kLoopCheckInterval again and again:
//   if (const auto pause = pauses.Check({.now = now, .cpu = cpu, .queued = queued})) Log(*pause);
//
// Contract: a pause is reported up to kLoopCheckInterval too short, because it may have begun at
// any time after a check. Pauses are returned for the log at a bounded rate: within
// kPauseLogInterval after a logged one, only those that are at least kPauseLogGrowth times as long,
// so that the longest is known to within this factor also if the process is killed.
//
// The processor time of a pause tells its cause: about as long as the pause if a function on the
// loop computed; hardly any, and a long wait in the queue for a processor, if the host had none
// free; neither if a system call blocked, as on a slow disk, or the process was stopped.
#ifndef PERIDOTGAUGE_CORE_LOOP_PAUSES_H_
#define PERIDOTGAUGE_CORE_LOOP_PAUSES_H_

#include <cstddef>
#include <optional>

#include "core/recent_maximum.h"
#include "core/types.h"

namespace peridotgauge {

// A shorter interval costs more than it tells: hosts whose processor time is limited pause their
// processes for 100 ms in ordinary operation.
constexpr Duration kLoopCheckInterval = Millis(100);
// Shorter pauses are not logged: twice the pause of a host with limited processor time, and half of
// the time that a router keeps to exit before the end of its grace period.
constexpr Duration kLongPause = Millis(200);
constexpr Duration kPauseLogInterval = Seconds(10);
constexpr int kPauseLogGrowth = 2;
// Longest() covers this time. Metrics are usually collected several times within it.
constexpr Duration kPauseMemory = Seconds(60);

// State of the thread of the loop. The two times are totals since any fixed time.
struct LoopSample {
  Time now;
  Duration cpu{};                  // time on a processor
  std::optional<Duration> queued;  // time in the queue for a processor; nothing if unknown
};

struct LoopPause {
  Duration length{};
  // Parts of the pause and of the check interval before it.
  Duration cpu{};
  std::optional<Duration> queued;
  size_t left_out = 0;  // long pauses since the last logged one, which were not logged
};

class LoopPauses {
 public:
  // Returns the pause before this check if it should be logged.
  std::optional<LoopPause> Check(const LoopSample& sample);
  // Returns the longest pause within kPauseMemory. It may be a short one.
  Duration Longest(Time now) const;

 private:
  std::optional<LoopSample> last;
  RecentMaximum longest{kPauseMemory};  // microseconds
  std::optional<Time> logged;
  Duration logged_length{};
  size_t left_out = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_LOOP_PAUSES_H_
