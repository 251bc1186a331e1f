// Which router owns which target, and when a new owner may begin to dispatch.
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
//   learned the view of the reply;
// - an incarnation that is draining never stops draining, and one that was removed from the view
//   and returns calls FenceOwnTargets() before it dispatches again;
// - the leader removes a router only after its session has expired or by a clean leave.
//
// Rules. The owner is the router that is not draining with the highest rank for the target: routers
// in the target's data centre rank above others, then the hash decides. A router knows only the
// views it has learned. When it learns a view, `possible owners` are the routers of that view that
// can have owned the target in any view since the last one it learned. If that is only the present
// owner, nothing else can dispatch because of this change. Otherwise the fence is set: for
// kHandoverWait others may dispatch on an old view; then their leases have ended or they know the
// view. A Release ends the fence early. It is sent only by a router that was allowed to dispatch
// until it learned the view, and only if the possible owners are itself and the new owner.
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

// Lease and margin: after this time every router knows the view or has no lease.
constexpr Duration kHandoverWait = kLeaseLength + kSessionMargin;
// Releases that wait for their view. More are dropped; the fence then ends by time.
constexpr size_t kMaxPendingReleases = 1'000;

// One process that is a router. A new incarnation proves the end of the earlier one.
struct RouterIdentity {
  std::string id;
  uint64_t incarnation = 0;
  bool operator==(const RouterIdentity&) const = default;
  bool operator<(const RouterIdentity& other) const {
    return std::tie(this->id, this->incarnation) < std::tie(other.id, other.incarnation);
  }
};

// The router list after the command with the log index `index` changed it.
struct RouterView {
  uint64_t index = 0;
  std::vector<RouterRecord> routers;
};

// A target that this router owned and owns no longer.
struct Handover {
  std::string target;
  std::string new_owner;  // empty if there is none
  // True if a Release for the view may be sent once nothing is in flight any more.
  bool may_release = false;
  bool operator==(const Handover&) const = default;
};

// Tells the new owner that `from` has stopped dispatching. `from` knows view `view_index`.
struct TargetRelease {
  uint64_t view_index = 0;
  std::string from;
  std::vector<std::string> targets;
};

// The owner among `routers`, or nullptr if all are draining.
const RouterRecord* ChooseOwner(std::string_view target, std::string_view data_centre,
                                const std::vector<RouterRecord>& routers);

class Ownership {
 public:
  // With Routing::kDirect every router owns every target and there are no fences.
  Ownership(RouterIdentity self, Routing routing) : self(std::move(self)), routing(routing) {}

  // Takes a view, which is ignored unless its index is above the last one. Returns the targets
  // that this router must stop dispatching to at once.
  std::vector<Handover> LearnView(Time now, RouterView view);

  // Fences the targets that this router owns. To be called when a lease begins after a lapse in
  // which the view has changed: this incarnation may have left the router list and joined it again,
  // and in the views between, which it has not learned, another router owned its targets.
  void FenceOwnTargets(Time now);

  // Adds a target, or moves it to another data centre.
  void UpsertTarget(Time now, const std::string& target, const std::string& data_centre);
  void RemoveTarget(std::string_view target);

  // Ends fences, if the release proves that nothing else dispatches.
  void OnRelease(Time now, const TargetRelease& release);

  // The present owner, or nullptr if the target is unknown or there is no owner.
  const RouterRecord* OwnerOf(std::string_view target) const;
  bool OwnedHere(std::string_view target) const;
  // True if this router owns the target, its fence has ended and its lease is valid.
  bool MayDispatch(Time now, std::optional<Time> lease_end, std::string_view target) const;
  // Targets that this router owns in the present view.
  std::vector<std::string> OwnedTargets() const;
  // The next end of a fence of an own target after `now`, for a timer.
  std::optional<Time> NextFenceEnd(Time now) const;

  uint64_t ViewIndex() const { return this->view.index; }
  // Number of fences that releases have ended.
  uint64_t Released() const { return this->released; }

 private:
  struct Entry {
    std::string data_centre;
    uint64_t hash = 0;
    const RouterRecord* owner = nullptr;  // in `view`
    Time fence_end{};                     // until then others may dispatch on older views
    uint64_t fence_view = 0;              // index of the view that set the fence
  };

  // What a router of the present view was in the previous one.
  enum class Past : uint8_t { kUnknown, kEligible, kDraining };

  bool IsSelf(const RouterRecord* router) const;
  // Compares the present view with the previous one.
  void ComputePast();
  // The owner in the present view; `entry.owner` is still that in the previous one.
  const RouterRecord* NextOwner(const Entry& entry) const;
  // True if no router but the present owner is among PossibleOwners().
  bool OnlyOwner(const Entry& entry) const;
  std::vector<const RouterRecord*> PossibleOwners(const Entry& entry) const;
  // True if all elements of `routers` are `one` or `other`.
  static bool Only(const std::vector<const RouterRecord*>& routers, const RouterRecord* one,
                   const RouterRecord* other);
  Handover Lose(const std::string& target, const Entry& entry, bool allowed) const;
  void EndFences(Time now, const TargetRelease& release);

  RouterIdentity self;
  Routing routing;
  RouterView view;
  std::vector<Past> past;            // parallel to `view.routers`
  std::vector<RouterRecord> before;  // routers of the previous view
  // Parallel to `before`: the same incarnation in `view` if it could own in both views and is in
  // the same data centre, or nullptr.
  std::vector<const RouterRecord*> successors;
  std::vector<const RouterRecord*> newcomers;  // of `view`, not draining, nobody's successor
  std::vector<const RouterRecord*> retiring;   // of `view`, draining, but not known so before
  Time view_learned = Time::min();
  Time before_learned = Time::min();
  std::map<std::string, Entry, std::less<>> targets;
  std::deque<TargetRelease> pending;  // of views that are not yet known; bounded
  uint64_t released = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_OWNERSHIP_H_
