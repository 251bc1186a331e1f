// How often the leader replies to the sync requests of routers, as a function of their number.
//
// Use:
//   Duration hold = PollHold(sessions.size(), requested);
//   PushPacer pacer;
//   if (pacer.MayPush(now, sessions.size())) Publish();
//
// Contract: with any number of routers, the leader sends about kPollsPerSecond replies without a
// change and at most about kPushesPerSecond with changes. The first change after an idle interval
// is sent immediately.
//
// Load pattern: hundreds of routers wait for the leader while every 60 ms a new revision is
// accepted or a target registers. A reply to each of them for each change costs the product of
// routers and changes, which delays the changes themselves by seconds.
#ifndef PERIDOTGAUGE_STATE_PUSH_PACING_H_
#define PERIDOTGAUGE_STATE_PUSH_PACING_H_

#include <cstddef>
#include <optional>

#include "core/types.h"

namespace peridotgauge {

// Replies of the leader to all routers together.
constexpr size_t kPollsPerSecond = 400;
constexpr size_t kPushesPerSecond = 1'000;
// Bounds of the time for which a request is held. A lease begins when a request is sent and is
// renewed by the reply to the next one, so two holds must fit into it (2 s).
constexpr Duration kMinPollHold = Millis(400);
constexpr Duration kMaxPollHold = Millis(800);
// Minimum interval between two pushes to a router in a small fleet, so that a flapping target
// cannot make the leader reply continuously.
constexpr Duration kMinPushInterval = Millis(50);

// Returns how long the leader holds a request that asks for `requested`.
Duration PollHold(size_t routers, Duration requested);
// Returns the longest hold that a router should request.
Duration MaxPollHold(size_t routers);
// Returns the minimum interval between two pushes to one router.
Duration PushInterval(size_t routers);

// Decides when the next round of pushes to all routers begins.
class PushPacer {
 public:
  // Returns true, and starts a round, if the previous one began at least PushInterval() ago.
  bool TryStart(Time now, size_t routers);
  void Reset() { this->last_start.reset(); }

 private:
  std::optional<Time> last_start;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_PUSH_PACING_H_
