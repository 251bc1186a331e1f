// The open slots of workspaces: which routers may admit requests of a workspace without a permit,
// if there are too many routers for all of them to do so (core/workspace_quota.h).
//
// Use, at the leader:
//   OpenSlots slots;
//   slots.Reset(now);                                // when a term begins
//   slots.Use(now, router, "w", limit);              // for each workspace that the router asks for
//   std::set<std::string> open = slots.Renew(now, router, limit_of);   // for each ask
//   slots.Expire(now);                               // regularly
//
// Contract: at most `limit` routers have a slot of a workspace at a time, also if replies are lost
// and after a change of the leader, once a lowered limit has been in force for kSlotTime. A slot
// belongs to one incarnation of a router, because an earlier one may have admitted requests that
// nobody reports.
//
// Callers of a small workspace mostly stay with few routers, so a router keeps its slot while it
// asks, and loses it to another one that needs it only after kSlotIdleTime without a request of the
// workspace.
#ifndef PERIDOTGAUGE_STATE_OPEN_SLOTS_H_
#define PERIDOTGAUGE_STATE_OPEN_SLOTS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"
#include "core/workspace_quota.h"
#include "state/session.h"

namespace peridotgauge {

// Covers the difference between the clock rates of two hosts.
constexpr Duration kPermitMargin = Millis(100);
// A router that gets no further reply uses its slot for kOpenTime after its ask.
constexpr Duration kSlotTime = kOpenTime + kPermitMargin;
// Callers that move to another router wait for the leader for this time. Shorter times would take
// slots from workspaces with a request every few seconds.
constexpr Duration kSlotIdleTime = Seconds(10);

class OpenSlots {
 public:
  // Returns how many routers may have a slot of the workspace.
  using LimitOf = std::function<size_t(std::string_view workspace)>;

  // Starts a term of leadership. Nothing is given until the slots of earlier leaders have ended.
  void Reset(Time now);
  // Records that callers of the router use the workspace. If all slots are taken, the one that has
  // been idle longest is not renewed any more.
  void Use(Time now, const RouterId& router, const std::string& workspace, size_t limit);
  // Renews the slots of the router and returns their workspaces.
  std::set<std::string, std::less<>> Renew(Time now, const RouterId& router,
                                           const LimitOf& limit_of);
  // Removes slots that have ended. Must be called regularly.
  void Expire(Time now);

  size_t Size() const;

 private:
  struct Slot {
    RouterId router;
    Time used;
    Time until;
    bool withdrawn = false;  // not renewed, so that another router can have it
  };
  using Slots = std::vector<Slot>;  // of one workspace; those beyond the limit are not renewed

  static Slots::iterator Find(Slots& slots, const RouterId& router);
  // Removes slots of a workspace that have ended.
  void Remove(Time now, const std::string& workspace, Slots& slots);

  std::map<std::string, Slots, std::less<>> slots;  // by workspace
  std::map<RouterId, std::set<std::string, std::less<>>, RouterIdLess> workspaces;
  Time first_slots;  // those of earlier leaders have ended
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_OPEN_SLOTS_H_
