// Intervals between the leader's replies to routers.
#include "state/push_pacing.h"

#include <algorithm>

namespace peridotgauge {
namespace {

// Returns the interval at which each of `routers` gets a reply at the given total rate.
Duration Interval(size_t routers, size_t replies_per_second) {
  return Seconds(1) * static_cast<int64_t>(routers) / static_cast<int64_t>(replies_per_second);
}

}  // namespace

Duration MaxPollHold(size_t routers) {
  return std::clamp<Duration>(Interval(routers, kPollsPerSecond), kMinPollHold, kMaxPollHold);
}

Duration PollHold(size_t routers, Duration requested) {
  return std::clamp<Duration>(requested, Duration(0), MaxPollHold(routers));
}

Duration PushInterval(size_t routers) {
  return std::max<Duration>(Interval(routers, kPushesPerSecond), kMinPushInterval);
}

bool PushPacer::TryStart(Time now, size_t routers) {
  if (this->last_start && now - *this->last_start < PushInterval(routers)) return false;
  this->last_start = now;
  return true;
}

}  // namespace peridotgauge
