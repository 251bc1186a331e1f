// Assignment of targets to routers, and the time at which a new owner may start to dispatch.
//
// Use:
//   Ownership ownership({.id = "r1", .incarnation = 7}, Routing::kOwner);
//   ownership.UpsertTarget(now, "verstas-1/a", "tre-a");
//   for (const Handover& lost : ownership.LearnView(now, view)) StopDispatching(lost);
//   if (ownership.MayDispatch(now, lease.End(), "verstas-1/a")) ...
//   ownership.OnRelease(now, release);
//
// Contract: of all routers with a valid lease, at most one MayDispatch() to a target at any time.
// This requires that
// - a router learns views in the order of their index, and renews its lease only after it has
//   learned the view in the reply;
// - an incarnation that is draining never stops draining, and one that was removed from the view
//   and returns calls FenceOwnTargets() before it dispatches again;
// - the leader removes a router only after its session has expired or after a clean leave.
//
// Rules: the owner of a target is the router with the highest rank among those that are not
// draining. Routers in the target's data centre rank above others; then a hash decides (rendezvous
// hashing). A router knows only the views that it has learned. When it learns a view, the `possible
// owners` of a target are those routers in the view that may have owned it in any view since the
// last one that this router learned. If the current owner is the only possible owner, no other
// router can be dispatching because of this change. Otherwise a fence is set: for kHandoverWait,
// other routers may dispatch based on an older view; afterwards their leases have ended or they
// have learned the view. A Release ends the fence early. It is sent only by a router that was
// allowed to dispatch until it learned the view, and only if the possible owners are that router
// and the new owner.
#ifndef PERIDOTGAUGE_CORE_OWNERSHIP_H_
#define PERIDOTGAUGE_CORE_OWNERSHIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/records.h"
#include "core/settings.h"
#include "core/types.h"
#include "state/lease.h"

namespace peridotgauge {

// Lease length plus margin. After this time every router has learned the view or has no lease.
constexpr Duration kHandoverWait = kLeaseLength + kSessionMargin;
// Maximum number of releases that wait for their view. Further ones are dropped, and the fence then
// ends by timeout.
constexpr size_t kMaxPendingReleases = 1'000;

// One router process. A new incarnation proves that the earlier one has ended.
struct RouterIdentity {
  std::string id;
  uint64_t incarnation = 0;
  bool operator==(const RouterIdentity&) const = default;
  bool operator<(const RouterIdentity& other) const {
    return std::tie(this->id, this->incarnation) < std::tie(other.id, other.incarnation);
  }
};

// The router list as of the command at log index `index`.
struct RouterView {
  uint64_t index = 0;
  std::vector<RouterRecord> routers;
};

// A target that this router no longer owns.
struct Handover {
  std::string target;
  std::string new_owner;  // empty if there is none
  // True if a Release for the view may be sent once no request is in flight.
  bool may_release = false;
  bool operator==(const Handover&) const = default;
};

// Tells the new owner that router `from`, which has learned view `view_index`, has stopped
// dispatching.
struct TargetRelease {
  uint64_t view_index = 0;
  std::string from;
  std::vector<std::string> targets;
};

// Returns the owner among `routers`, or nullptr if all are draining.
const RouterRecord* ChooseOwner(std::string_view target, std::string_view data_centre,
                                const std::vector<RouterRecord>& routers);

class Ownership {
 public:
  // With Routing::kDirect, every router owns every target and there are no fences.
  Ownership(RouterIdentity self, Routing routing) : self(std::move(self)), routing(routing) {}

  // Applies a view; ignores it unless its index is above that of the last one. Returns the targets
  // that this router must immediately stop dispatching to.
  std::vector<Handover> LearnView(Time now, RouterView view);

  // Fences the targets that this router owns. Must be called when a lease begins after a lapse in
  // which the view has changed: this incarnation may have left the router list and joined it again,
  // and another router may have owned its targets in the views between, which it has not learned.
  void FenceOwnTargets(Time now);

  // Adds a target, or moves it to another data centre.
  void UpsertTarget(Time now, const std::string& target, const std::string& data_centre);
  void RemoveTarget(std::string_view target);

  // Ends fences if the release proves that no other router is dispatching.
  void OnRelease(Time now, const TargetRelease& release);

  // Returns the current owner, or nullptr if the target is unknown or there is no owner.
  const RouterRecord* OwnerOf(std::string_view target) const;
  bool OwnedHere(std::string_view target) const;
  // Returns true if this router owns the target, its fence has ended and the lease is valid.
  bool MayDispatch(Time now, std::optional<Time> lease_end, std::string_view target) const;
  // Returns the targets that this router owns in the current view.
  std::vector<std::string> OwnedTargets() const;
  // Returns the earliest fence end after `now` among the targets of this router, for a timer.
  std::optional<Time> NextFenceEnd(Time now) const;

  uint64_t ViewIndex() const { return this->view.index; }
  // Returns the number of fences that releases have ended.
  uint64_t Released() const { return this->released; }

 private:
  struct Entry {
    std::string data_centre;
    uint64_t hash = 0;
    const RouterRecord* owner = nullptr;  // in `view`
    Time fence_end{};                     // until then others may dispatch based on older views
    uint64_t fence_view = 0;              // index of the view that set the fence
  };

  // Status in the previous view of a router of the current view.
  enum class PreviousStatus : uint8_t { kUnknown, kEligible, kDraining };

  bool IsSelf(const RouterRecord* router) const;
  // Computes the differences between the current and the previous view.
  void CompareWithPreviousView();
  // Returns the owner in the current view; `entry.owner` is still the owner in the previous one.
  const RouterRecord* NextOwner(const Entry& entry) const;
  // Returns true if PossibleOwners() has no router other than the current owner.
  bool IsOnlyPossibleOwner(const Entry& entry) const;
  std::vector<const RouterRecord*> PossibleOwners(const Entry& entry) const;
  // Returns true if all elements of `routers` are `one` or `other`.
  static bool ContainsOnly(const std::vector<const RouterRecord*>& routers, const RouterRecord* one,
                           const RouterRecord* other);
  Handover MakeHandover(const std::string& target, const Entry& entry, bool could_dispatch) const;
  void EndFences(Time now, const TargetRelease& release);

  RouterIdentity self;
  Routing routing;
  RouterView view;
  std::vector<PreviousStatus> previous_status;  // parallel to `view.routers`
  std::vector<RouterRecord> previous_routers;   // routers of the previous view
  // Parallel to `previous_routers`: the same incarnation in `view` if it was eligible in both views
  // and is still in the same data centre, or nullptr.
  std::vector<const RouterRecord*> successors;
  std::vector<const RouterRecord*> newly_eligible;  // of `view`, not draining, not a successor
  std::vector<const RouterRecord*> newly_draining;  // of `view`, not known to be draining before
  Time view_learned = Time::min();
  Time previous_view_learned = Time::min();
  std::map<std::string, Entry, std::less<>> targets;
  // Releases for views that are not yet learned; at most kMaxPendingReleases.
  std::deque<TargetRelease> pending;
  uint64_t released = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_OWNERSHIP_H_
