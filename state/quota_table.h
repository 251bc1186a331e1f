// The leader's part of the request quotas of workspaces: a token bucket for each workspace, from
// which the leader grants permits to routers.
//
// Use:
//   QuotaTable quotas(tolerance);
//   quotas.Reset(now, calm);                              // when a term begins
//   quotas.SetWorkspaces(now, config.Workspaces());       // on every configuration
//   quotas.SetShares(now, contacts.ServedShare(now), contacts.LargestShare(now));  // regularly
//   QuotaGrants grants = quotas.Grant(arrived, router, ask);  // once a quorum round has succeeded
//
// Contract: the tokens of a bucket and the granted permits that may be unspent never exceed
// (burst + kBucketShare x E) x served share, and grow at (rate + kFillShare x E / window) x served
// share. So in any window, the permits spent exceed rate x window + burst by at most
// (kBucketShare + kFillShare) x E. `arrived` is the time at
// which the request arrived, before the quorum round, so that nothing is filled in or granted after
// the time at which a new leader may have begun.
//
// A new leader does not know which permits of its predecessors are unspent. Until they have
// expired, it grants at most kTermShare x E. If there was no other change of the leader within the
// last window (`calm`), it has these tokens at once, so that small workspaces need not wait for
// them to fill in.
//
// Open requests, which routers admit without a permit, are taken from the bucket when they are
// reported; its tokens may fall below zero by them. A workspace is near its limit from when its
// tokens are below kNearLimitShare of the full capacity until they are above kFarFromLimitShare.
// The full capacity counts, since the lower ones of a new term and of lost routers are not enough
// for the open requests of all routers. With many routers, only those with an open slot admit such
// requests; the slots of a workspace are a part of the excess (kOpenShare).
//
// Permits count as unspent until the router reports fewer as held, or they have expired. Memory is
// bounded: each entry of a router has at least one permit.
#ifndef PERIDOTGAUGE_STATE_QUOTA_TABLE_H_
#define PERIDOTGAUGE_STATE_QUOTA_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/types.h"
#include "core/workspace_quota.h"
#include "core/workspaces.h"
#include "state/open_slots.h"
#include "state/session.h"

namespace peridotgauge {

// With a quarter of the bucket left, the requests of the time until all routers know overdraw it
// for less than a window.
constexpr double kNearLimitShare = 0.25;
constexpr double kFarFromLimitShare = 0.4;
// Sequence numbers of routers are kept for this time; later, nothing that an older request could
// name as held is left.
constexpr Duration kAskMemory = Seconds(10);

class QuotaTable {
 public:
  explicit QuotaTable(QuotaTolerance tolerance) : tolerance(tolerance) {}

  // Starts a term of leadership.
  void Reset(Time now, bool calm);
  // `workspaces` may be null. A new workspace starts without tokens, since it may have been removed
  // only a moment ago.
  void SetWorkspaces(Time now, const WorkspaceTable* workspaces);
  // `served`: share of the limits that this leader grants; the rest is used by routers without
  // contact. `largest`: the largest share of a single router.
  void SetShares(Time now, double served, double largest);
  // Grants permits and open slots. An ask that is older than another of the router gets nothing.
  QuotaGrants Grant(Time now, const RouterId& router, const QuotaAsk& ask);
  // Removes expired entries. Must be called regularly.
  void Expire(Time now);

  size_t Workspaces() const { return this->buckets.size(); }
  size_t Entries() const;
  size_t Slots() const { return this->slots.Size(); }
  uint64_t PermitsGranted() const { return this->granted; }

 private:
  struct Held {
    uint32_t permits = 0;
    Time until;
  };
  struct Bucket {
    RequestQuota quota;
    double tokens = 0;
    Time updated;
    uint64_t unspent = 0;  // sum of `held`
    bool near_limit = true;
    std::map<RouterId, Held, RouterIdLess> held;
  };
  struct LastAsk {
    uint64_t sequence = 0;
    Time time;
  };

  double FillRate(const RequestQuota& quota) const;
  double Capacity(Time now, const RequestQuota& quota) const;
  // Capacity after the first moments of a term, with all routers in contact.
  double FullCapacity(const RequestQuota& quota) const;
  // How many routers may have an open slot of a workspace.
  size_t SlotLimit(const RequestQuota& quota) const;
  void Fill(Time until, Bucket& bucket) const;
  // Fills the bucket up to `now`, and removes expired permits on the way.
  void Advance(Time now, Bucket& bucket) const;
  void AdvanceAll(Time now);
  void UpdateNearLimit(const std::string& workspace, Bucket& bucket);

  QuotaTolerance tolerance;
  std::map<std::string, Bucket, std::less<>> buckets;
  std::set<std::string, std::less<>> near_limit;  // names of the buckets that are
  std::map<RouterId, LastAsk, RouterIdLess> last_asks;
  OpenSlots slots;
  double served_share = 0;
  double largest_share = 1;
  bool calm = false;
  Time term_settled;  // permits of earlier terms have expired
  uint64_t granted = 0;
};

// Which offered routers have contact with this controller, and the shares of the limits that they
// use once they have not.
//
// Contract: the leader assigns each offered router a share that it may use without a lease. A
// router counts with the larger of the share that it has reported and the one that it has been
// assigned since, so that all shares together stay at most 1, also if replies are lost. What the
// leader serves itself is what the routers without contact leave. They count until they have
// contact again or kLostRouterMemory has passed since they were last offered.
//
// Observe() must be called by every controller, also by one that does not lead, so that a new
// leader knows which routers were lost. It assumes for each an equal share of the last seconds in
// which it was offered, until the router reports its own.
class RouterContacts {
 public:
  // A router with an older sync request has no contact. Its lease ends not before, and it uses its
  // own share kOwnShareDelay later.
  static constexpr Duration kContactTime = kLeaseLength;
  // A router that was observed this long ago is still offered.
  static constexpr Duration kOfferedTime = Seconds(1);
  // A lower share of a router that has not reported it is assumed after this time; routers that
  // serve callers learn of it within two asks.
  static constexpr Duration kShareDelay = Seconds(5);
  static constexpr Duration kLostRouterMemory = kOwnShareTime + kSessionLength;

  // Starts a term of leadership: forgets contacts with earlier leaders.
  void Reset();
  // Ends a term of leadership: routers report their shares to another leader from here on, which
  // may assign larger ones.
  void EndTerm();
  // The ids of the routers that callers are told about.
  void Observe(Time now, const std::set<std::string>& offered);
  // Records a sync request of any router.
  void RecordContact(Time now, const std::string& id);
  // The router has ended cleanly.
  void Forget(const std::string& router) { this->routers.erase(router); }
  // Returns the share that the router may use without a lease. `reported`: the share that it would
  // use at present.
  double AssignShare(Time now, const std::string& id, double reported);
  double ServedShare(Time now) const;
  // Returns the largest share that a router may use, with or without contact.
  double LargestShare(Time now) const;
  size_t Size() const { return this->routers.size(); }

 private:
  struct Router {
    Time offered;            // when it was last offered; the epoch if it never was
    double share = 0;        // the largest that it may use
    bool reported = false;   // has reported its share in this term
    double lower_share = 0;  // of a router that has not; 0: none
    Time lower_since;
    bool known = false;  // has had contact in this term
    Time contact;
  };
  std::map<std::string, Router> routers;
  size_t offered_count = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_QUOTA_TABLE_H_
