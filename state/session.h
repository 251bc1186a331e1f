// Sessions of the routers at the leader: expiry, acknowledgements, and whether a state version is
// in force, that is used by all routers.
//
// Use:
//   sessions.Reset(now);                              // on gaining leadership
//   sessions.Renew(now, id, incarnation, acknowledged);  // on the arrival of each sync request
//   sessions.Tick(now, state.Routers());
//   for (const RouterId& router : sessions.Expired(now)) ProposeLeave(router);
//   bool in_force = sessions.InForce(now, index, state.Routers());
//
// Contract: a session ends kSessionLength after the last request has arrived, and so never before
// the lease of the router, which starts when that request is sent. A new leader gives every member
// of the view a full session, because the previous leader may just have renewed its lease. A
// version is in force when no router can hold a lease on an older one.
#ifndef PERIDOTGAUGE_STATE_SESSION_H_
#define PERIDOTGAUGE_STATE_SESSION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/records.h"
#include "core/types.h"
#include "state/lease.h"

namespace peridotgauge {

// One incarnation of a router.
struct RouterId {
  std::string id;
  uint64_t incarnation = 0;
  auto operator<=>(const RouterId&) const = default;
};

// Order of map keys. With the defaulted operator<=>, clang-tidy 14 reports modernize-use-nullptr.
struct RouterIdLess {
  bool operator()(const RouterId& a, const RouterId& b) const {
    return std::tie(a.id, a.incarnation) < std::tie(b.id, b.incarnation);
  }
};

struct Session {
  uint64_t incarnation = 0;
  Time last_arrival;
  uint64_t acknowledged = 0;  // the state version that the router has applied
  // The removal of the router has been proposed. Until it is applied, the router gets no reply;
  // otherwise it could hold a lease after it has left the view.
  bool removal_pending = false;
};

// A longer gap between two ticks means that this process was stalled and could not receive
// requests; sessions are extended by the gap. Far above the tick interval, far below the session
// length.
constexpr Duration kMaxTickGap = Millis(300);

class SessionTable {
 public:
  // Starts a new leadership term: clears all sessions and acknowledgements.
  void Reset(Time now);

  // Renews the session on the arrival of a request. A higher incarnation starts a new session; a
  // lower one is ignored.
  void Renew(Time now, const RouterId& router, uint64_t acknowledged);

  // Creates a full session for each member of the view that has none, and removes sessions of
  // routers that are not members. Must be called regularly and after each change of the view.
  void Tick(Time now, const RouterMap& view);

  // Returns the routers whose session has ended and whose removal is not pending.
  std::vector<RouterId> Expired(Time now) const;
  // Marks the removal of a router as pending, or clears the mark if the removal failed.
  void SetRemovalPending(const RouterId& router, bool pending);
  bool IsRemovalPending(const RouterId& router) const;

  // Returns true once every member of the view has acknowledged `version` or its session has ended.
  // Stays true within one leadership term, because a router that joins later receives that version
  // with its first lease.
  bool InForce(Time now, uint64_t version, const RouterMap& view);
  // Returns the members for which InForce(version) still waits.
  std::vector<std::string> PendingRouters(Time now, uint64_t version, const RouterMap& view) const;

  const std::map<std::string, Session>& Sessions() const { return this->sessions; }

 private:
  std::map<std::string, Session> sessions;
  std::optional<Time> last_tick;
  uint64_t in_force = 0;  // highest version known to be in force
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_SESSION_H_
