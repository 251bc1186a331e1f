// Deltas of the router list, sent from the leader to each router: only the changes if the leader
// still knows them, otherwise the full list.
//
// Use, leader:
//   changes.Add(index, "r7");                         // on each change of the record of r7
//   RouterDelta delta = DeltaSince(routers, changes, known_index);
// Use, router:
//   if (!ApplyDelta(delta, routers)) RequestFullList();
//
// Contract: a delta created for `known_index` may be applied to the list of that index or of any
// later index, up to the index at which the delta was created. The digest covers the list after the
// delta, so that a router detects a list that differs from the leader's.
//
// Load pattern: 93 routers restart within a second. If each change sent the full list, each of the
// 93 routers would receive 93 records 93 times.
#ifndef PERIDOTGAUGE_STATE_ROUTER_LIST_H_
#define PERIDOTGAUGE_STATE_ROUTER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/records.h"

namespace peridotgauge {

// Number of changes that are retained: enough for two restarts of every router at the planned size
// (480 routers).
constexpr size_t kMaxRouterChanges = 1024;

// The recent changes of the router list. Not persistent: after a restart, a router that lags behind
// gets the full list.
class RouterChangeLog {
 public:
  // Creates a log that contains no changes up to `index`.
  explicit RouterChangeLog(uint64_t index = 0) : complete_after(index) {}

  // Records a change of the router. `index` must not decrease from call to call.
  void Add(uint64_t index, const std::string& router);
  // Returns the routers that have changed after `index`, or nothing if the log does not reach back
  // that far.
  std::optional<std::set<std::string>> ChangedSince(uint64_t index) const;

 private:
  struct Change {
    uint64_t index = 0;
    std::string router;
  };
  std::deque<Change> changes;   // by index, at most kMaxRouterChanges
  uint64_t complete_after = 0;  // all changes with a higher index are in `changes`
};

struct RouterDelta {
  bool full = true;  // `routers` is the full list
  std::vector<RouterRecord> routers;
  std::vector<std::string> gone;
  uint64_t digest = 0;  // of the list after the delta; 0: unknown
  bool operator==(const RouterDelta&) const = default;
};

// Returns a digest of the list; never 0.
uint64_t DigestOf(const RouterMap& routers);
// Returns the changes after `known_index`. 0 requests the full list.
RouterDelta DeltaSince(const RouterMap& routers, const RouterChangeLog& changes,
                       uint64_t known_index);
// Applies the delta. Returns false if the resulting list differs from the leader's.
bool ApplyDelta(const RouterDelta& delta, RouterMap& routers);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_ROUTER_LIST_H_
