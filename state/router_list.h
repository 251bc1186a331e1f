// The list of routers as it travels from the leader to each router: as a delta where the leader
// still knows what has changed, else in full.
//
// Use, leader:
//   changes.Note(index, "r7");                        // whenever the record of r7 changes
//   RouterDelta delta = DeltaSince(routers, changes, known_index);
// Use, router:
//   if (!ApplyDelta(delta, routers)) AskForEverything();
//
// Contract: a delta that was made for `known_index` may be applied to the list of that index and of
// any later one, up to the index at which it was made. The digest covers the list after the delta,
// so that a router that differs finds out.
//
// Load pattern: 93 routers restart within a second. With the whole list for every change, each of
// 93 routers gets 93 records 93 times.
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

// Changes that are remembered: every router of the planned size (480) restarts twice.
constexpr size_t kRouterChangesKept = 1024;

// Which routers have changed since when. Soft: it need not survive a restart.
class RouterChanges {
 public:
  // Nothing before `index` is known.
  explicit RouterChanges(uint64_t index = 0) : complete_after(index) {}

  // `index` does not decrease from call to call.
  void Note(uint64_t index, const std::string& router);
  // The routers that have changed after `index`, or nothing if that is not known.
  std::optional<std::set<std::string>> Since(uint64_t index) const;

 private:
  struct Change {
    uint64_t index = 0;
    std::string router;
  };
  std::deque<Change> changes;   // by index, at most kRouterChangesKept
  uint64_t complete_after = 0;  // all changes with a greater index are in `changes`
};

struct RouterDelta {
  bool full = true;  // `routers` is the whole list
  std::vector<RouterRecord> routers;
  std::vector<std::string> gone;
  uint64_t digest = 0;  // of the list afterwards; 0: not given
  bool operator==(const RouterDelta&) const = default;
};

// Never 0.
uint64_t DigestOf(const RouterMap& routers);
// `known_index` 0 asks for the whole list.
RouterDelta DeltaSince(const RouterMap& routers, const RouterChanges& changes,
                       uint64_t known_index);
// Returns false if the list differs from the leader's afterwards.
bool ApplyDelta(const RouterDelta& delta, RouterMap& routers);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_ROUTER_LIST_H_
