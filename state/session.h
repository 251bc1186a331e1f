// Sessions of the routers at the leader: expiry, acknowledgements, and whether a change is in
// force.
//
// Use:
//   sessions.Reset(now);                              // on gaining leadership
//   sessions.Renew(now, id, incarnation, acknowledged);  // on the arrival of each sync request
//   sessions.Tick(now, state.Routers());
//   for (const RouterId& router : sessions.Expired(now)) ProposeLeave(router);
//   bool in_force = sessions.InForce(now, index, state.Routers());
//
// Contract: a session ends kSessionLength after the last arrival, and so never before the lease of
// the router, which runs from the earlier moment of sending. A new leader gives every member of the
// view a full session, because the previous leader may have renewed its lease just before. A
// version is in force when no router can hold a lease on an older one.
#ifndef PERIDOTGAUGE_STATE_SESSION_H_
#define PERIDOTGAUGE_STATE_SESSION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
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

struct Session {
  uint64_t incarnation = 0;
  Time last_arrival;
  uint64_t acknowledged = 0;  // state version that the router has applied
  // The removal of the router has been proposed. It gets no reply until the removal has been
  // applied, or it could hold a lease after it has left the view.
  bool leaving = false;
};

// A gap between two ticks above this means that this process was stalled and could not take
// requests; sessions are extended by the gap. Far above the tick interval, far below a session.
constexpr Duration kMaxTickGap = Millis(300);

class SessionTable {
 public:
  // Starts a new leadership: forgets all sessions and acknowledgements.
  void Reset(Time now);

  // Notes the arrival of a request. A higher incarnation starts a new session; a lower one is
  // ignored.
  void Renew(Time now, const RouterId& router, uint64_t acknowledged);

  // Gives each member of the view without a session a full one, and forgets sessions of routers
  // that are not members. Call it regularly and after each change of the view.
  void Tick(Time now, const RouterMap& view);

  // Sessions that have ended and are not leaving yet.
  std::vector<RouterId> Expired(Time now) const;
  // Marks a session as leaving, or takes the mark back when the removal failed.
  void SetLeaving(const RouterId& router, bool leaving);
  bool Leaving(const RouterId& router) const;

  // True once every member of the view has acknowledged `version` or its session has ended. Stays
  // true within one leadership, because a router that comes later receives that version with its
  // first lease.
  bool InForce(Time now, uint64_t version, const RouterMap& view);
  // Members that hold InForce(version) up.
  std::vector<std::string> Waiting(Time now, uint64_t version, const RouterMap& view) const;

  const std::map<std::string, Session>& Sessions() const { return this->sessions; }

 private:
  std::map<std::string, Session> sessions;
  std::optional<Time> last_tick;
  uint64_t in_force = 0;  // largest version known to be in force
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_SESSION_H_
