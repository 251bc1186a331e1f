// Tracks at the leader which directory version each router holds, and notifies callers that wait
// until all routers hold a version.
//
// Use:
//   tracker.RecordVersion("r1", version);                   // from each sync request
//   tracker.AddWaiter(directory.Version(), deadline, callback);
//   tracker.Notify(now, tracker.AcknowledgedVersion(now, directory.Version(),
//                                                   sessions.Sessions()));
//
// Contract: each callback is called exactly once.
#ifndef PERIDOTGAUGE_STATE_DIRECTORY_ACK_TRACKER_H_
#define PERIDOTGAUGE_STATE_DIRECTORY_ACK_TRACKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"
#include "state/session.h"

namespace peridotgauge {

// Why a wait has ended.
enum class DirectoryAck : uint8_t {
  kAllRouters,  // every router with a live session holds the version
  kTimedOut,    // the deadline has passed
  kLeadershipLost,
  kStopping,  // the controller is shutting down
};

class DirectoryAckTracker {
 public:
  using Callback = std::function<void(DirectoryAck)>;

  // Clears the recorded versions. Must not be called while there are waiters.
  void Reset() { this->versions.clear(); }
  // Records the directory version that the router reports.
  void RecordVersion(const std::string& router, uint64_t version) {
    this->versions[router] = version;
  }
  // Returns the highest version, at most `current`, that every router with a live session holds.
  uint64_t AcknowledgedVersion(Time now, uint64_t current,
                               const std::map<std::string, Session>& sessions) const;

  void AddWaiter(uint64_t version, Time deadline, Callback callback) {
    this->waiters.push_back({version, deadline, std::move(callback)});
  }
  // Calls the waiters for `acknowledged` or an older version, and those whose deadline has passed.
  void Notify(Time now, uint64_t acknowledged);
  // Calls all waiters, with the reason for which the leader waits no longer.
  void FailWaiters(DirectoryAck reason);
  bool HasWaiters() const { return !this->waiters.empty(); }

 private:
  struct Waiter {
    uint64_t version = 0;
    Time deadline;
    Callback callback;
  };

  std::map<std::string, uint64_t> versions;  // by router
  std::vector<Waiter> waiters;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_DIRECTORY_ACK_TRACKER_H_
