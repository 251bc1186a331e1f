// Directory versions by router, and the callbacks that wait for them.
#include "state/directory_ack_tracker.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {

uint64_t DirectoryAckTracker::AcknowledgedVersion(
    Time now, uint64_t current, const std::map<std::string, Session>& sessions) const {
  uint64_t least = current;
  for (const auto& [id, session] : sessions) {
    if (now - session.last_arrival >= kSessionLength) continue;
    const auto found = this->versions.find(id);
    least = std::min(least, found == this->versions.end() ? 0 : found->second);
  }
  return least;
}

void DirectoryAckTracker::Notify(Time now, uint64_t acknowledged) {
  std::erase_if(this->waiters, [&](const Waiter& waiter) {
    if (waiter.version > acknowledged && now < waiter.deadline) return false;
    waiter.callback(waiter.version <= acknowledged ? DirectoryAck::kAllRouters
                                                   : DirectoryAck::kTimedOut);
    return true;
  });
}

void DirectoryAckTracker::FailWaiters(DirectoryAck reason) {
  for (const Waiter& waiter : std::exchange(this->waiters, {})) {
    waiter.callback(reason);
  }
}

}  // namespace peridotgauge
