// One router's part of the request quotas of workspaces, which all routers of a deployment keep
// together with the leader of the controllers (state/quota_table.h).
//
// Use:
//   WorkspaceQuota quota(settings.quota);
//   quota.SetRouters(now, offered);                       // when the number changes
//   QuotaVerdict verdict = quota.Admit(now, *workspace, max_wait);
//   if (auto ask = quota.NextAsk(now)) Send(*ask);        // at NextAction() and after Admit()
//   for (const QuotaDecision& d : quota.OnGrants(now, grants)) Continue(d);
//   for (const QuotaDecision& d : quota.OnNoReply(now)) Continue(d);
//   for (const QuotaDecision& d : quota.Expire(now)) Continue(d);
//   quota.OnLost(lease_end);  quota.OnRegained();
//
// Contract: while the leader has recently said which workspaces are near their limit, a request of
// another one is admitted at once and reported with the next ask (an open request). Otherwise it is
// admitted from the base allowance, else with a permit, else, while the lease is lost, from this
// router's share of the limit. Otherwise it waits for the reply of the leader, at most as long as
// the caller of Admit() allows, or is refused if the leader has just granted too little. Each
// ticket is decided exactly once. At most one ask is in flight; it is ended by OnGrants() or
// OnNoReply().
//
// Over all routers, the requests admitted in any window exceed rate x window + burst by at most
// the excess E = overage x (rate x window + burst) + slack. Its parts, see the constants:
// - Base allowances: each of n offered routers uses kBaseShare x E / n in any window, or less if
//   its share of the limit is less than 1 / n, because a router without contact has a larger one.
//   A router has none until it has served callers for two windows, so that the allowances of
//   routers that it replaces, or of its own earlier incarnation, have left the window.
// - Permits: the leader's bucket and all unspent permits together never exceed burst plus
//   kBucketShare x E, and grow at the rate plus kFillShare x E per window, so that more cannot be
//   spent in a window.
// - A new leader starts with at most kTermShare x E.
// - The rest covers the return of routers that had lost the lease, until they learn of it, and open
//   requests: the leader takes each from its bucket once it is reported, and a workspace counts as
//   near its limit before its bucket is empty. With more than kAllOpenRouters, the leader limits
//   those of all routers together by open slots (state/open_slots.h).
//
// Load pattern of open requests: 86 workspaces, most with less than one request per second, at up
// to 64 routers. No router can hold permits for them, and a wait of 10 to 20 ms for the leader with
// each request made answers late whose objective is 50 ms.
#ifndef PERIDOTGAUGE_CORE_WORKSPACE_QUOTA_H_
#define PERIDOTGAUGE_CORE_WORKSPACE_QUOTA_H_

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/recent_maximum.h"
#include "core/settings.h"
#include "core/types.h"
#include "core/workspaces.h"

namespace peridotgauge {

// Shares of the excess. With 0.4, workspaces with a small limit (E about 20) have one request of
// base allowance at each of up to 8 routers. The bucket's share is what lets a workspace with a
// burst below one request send a few at once. Its filling share keeps workspaces with a small limit
// from being refused because their requests come at random: one that uses 0.2 of 0.32 requests per
// second on average exceeds that for minutes (simulated: 1 to 4 of 20 requests were refused).
constexpr double kBaseShare = 0.4;
constexpr double kBucketShare = 0.3;
constexpr double kFillShare = 0.1;
constexpr double kTermShare = 0.1;
// Permits expire this long after the request for them was sent. Longer ones would keep tokens of
// the leader's bucket bound at routers that do not need them; an answer may take 100 ms.
constexpr Duration kPermitLifetime = Millis(400);
// A router holds permits for the requests of this time, at the rate of the last second.
constexpr double kStockSeconds = 0.25;
// Longest time that a request waits for a permit. Covers an election.
constexpr Duration kMaxQuotaWait = Millis(500);
// Requests that may wait at one router; each keeps its head and body.
constexpr size_t kMaxQuotaWaiting = 256;
constexpr size_t kMaxQuotaWaitingPerWorkspace = 64;
// Pace of asks for each offered router: all routers together send at most 1,000 asks per second
// while requests wait and 200 otherwise, which is less than a tenth of a small controller.
constexpr Duration kUrgentAskPace = Millis(1);
constexpr Duration kMinUrgentAskInterval = Millis(10);
constexpr Duration kMaxUrgentAskInterval = Millis(200);
// Asks that a router may send at the minimum interval after a quiet time. Without this burst, a
// request at one of 83 routers waited up to 83 ms because another workspace had just asked.
constexpr int kUrgentAskBurst = 3;
constexpr Duration kAskPace = Millis(5);
constexpr Duration kMinAskInterval = Millis(50);
constexpr Duration kMaxAskInterval = Millis(250);
// Open requests of a workspace at one router between two reports: one, an equal part of this share
// of the excess, and those of this time at the rate of the limit, for workspaces with all their
// callers at one router. With four in place of one, a burst of a small workspace at all routers at
// the same moment exceeds the limit. The share is what base allowances, bucket and filling leave: a
// burst of open requests at the end of a window adds to these parts.
constexpr double kOpenRequests = 1;
constexpr double kOpenShare = 0.2;
constexpr double kOpenSeconds = 0.05;
// With more routers, one open request at each is more than this share: a burst at 83 routers
// exceeded a limit below 1/s by 63 requests. A router then needs an open slot of the workspace, and
// admits one open request with it between two reports.
constexpr size_t kAllOpenRouters = 12;
// What the leader has said of the workspaces near their limit counts for this time after the ask.
constexpr Duration kOpenTime = Millis(2'500);
// Pause after an ask without a reply.
constexpr Duration kAskRetryDelay = Millis(50);
constexpr size_t kMaxDemands = 1'000;
// After the leader has granted too little, requests are refused until the next permit can be
// expected, at least and at most for these times.
constexpr Duration kMinRefusal = Millis(50);
constexpr Duration kMaxRefusal = Millis(500);
// A router uses its share of the limit from this time after the end of its lease. Until then, the
// leader may not know that it has lost contact, as a request may have arrived late.
constexpr Duration kOwnShareDelay = Seconds(1);
// It does so for this time, as long as the leader reserves the share.
constexpr Duration kOwnShareTime = Seconds(60);
// A router that serves requests of workspaces with a limit asks at least once in this time, so that
// it knows its share.
constexpr Duration kMaxAskPause = Seconds(1);
// Part of the excess that all shares of routers without a lease have, in addition to what the
// leader's bucket has.
constexpr double kOwnShareExcess = 0.1;

// Returns the requests by which a workspace may exceed rate x window + burst.
double QuotaExcess(const RequestQuota& quota, const QuotaTolerance& tolerance);

struct QuotaDemand {
  std::string workspace;
  uint32_t wanted = 0;
  uint32_t held = 0;   // permits that the router has left
  uint32_t spent = 0;  // open requests since the last report
  bool operator==(const QuotaDemand&) const = default;
};

struct QuotaAsk {
  uint64_t sequence = 0;
  std::vector<QuotaDemand> demands;  // may be empty
  double own_share = 0;              // that the router would use without a lease
  bool operator==(const QuotaAsk&) const = default;
};

// Reply to a QuotaAsk: new permits by workspace. For each workspace in it, the permits that the ask
// named as held are valid as long as the new ones.
struct QuotaGrants {
  std::map<std::string, uint32_t, std::less<>> permits;
  Duration valid{0};  // from the time at which the ask was sent
  // The share of the limits that the router may use without a lease. Those of all routers together
  // are at most 1.
  double own_share = 0;
  // All workspaces that are near their limit.
  std::set<std::string, std::less<>> near_limit;
  // The workspaces of which the router has an open slot.
  std::set<std::string, std::less<>> open_slots;
  bool operator==(const QuotaGrants&) const = default;
};

enum class QuotaResult : uint8_t { kAdmitted, kRefused, kWaiting };

// When a caller may send a refused request again: after `earliest`, spread over `spread`.
struct QuotaRetry {
  Duration earliest{0};
  Duration spread{0};
  bool operator==(const QuotaRetry&) const = default;
};

struct QuotaVerdict {
  QuotaResult result = QuotaResult::kRefused;
  uint64_t ticket = 0;  // if the request waits
  QuotaRetry retry;     // if it is refused
  bool operator==(const QuotaVerdict&) const = default;
};

// What a request of a workspace would get now, and what that is based on.
struct QuotaPreview {
  QuotaVerdict verdict;
  uint32_t permits = 0;            // that this router holds
  uint32_t waiting = 0;            // requests of the workspace that wait for permits
  std::optional<bool> near_limit;  // nothing if the leader has not said so recently
  bool operator==(const QuotaPreview&) const = default;
};

// The decision about a request that has waited.
struct QuotaDecision {
  uint64_t ticket = 0;
  bool admitted = false;
  QuotaRetry retry;  // if it is refused
  bool operator==(const QuotaDecision&) const = default;
};

class WorkspaceQuota {
 public:
  explicit WorkspaceQuota(QuotaTolerance tolerance);

  // `offered`: number of routers that callers are told about.
  void SetRouters(Time now, size_t offered);
  // Admits, refuses or queues a request of a workspace with a limit. The quota of the last call
  // counts.
  QuotaVerdict Admit(Time now, const Workspace& workspace, Duration max_wait);
  // Returns what Admit() would decide. Changes nothing.
  QuotaPreview Preview(Time now, const Workspace& workspace, Duration max_wait) const;
  // Drops a request that waits, because its caller has left.
  void Withdraw(uint64_t ticket);

  // Returns the ask to send now, if one is due; it is in flight from then on.
  std::optional<QuotaAsk> NextAsk(Time now);
  std::vector<QuotaDecision> OnGrants(Time now, const QuotaGrants& grants);
  std::vector<QuotaDecision> OnNoReply(Time now);
  // Refuses the requests that have waited for their longest time, and forgets idle workspaces.
  std::vector<QuotaDecision> Expire(Time now);
  // Returns when to call NextAsk() and Expire() next; Time::max() if never.
  Time NextAction() const;

  // The lease has ended; `lease_end` is its end.
  void OnLost(Time lease_end);
  void OnRegained();

  size_t Waiting() const { return this->waiting; }
  size_t Workspaces() const { return this->states.size(); }
  uint64_t PermitsGranted() const { return this->granted; }
  uint64_t PermitsExpired() const { return this->expired; }

 private:
  static constexpr int64_t kSlots = 10;
  // Counts events of a sliding window, in slots of a tenth of it. Never counts too few.
  class RecentCount {
   public:
    void Add(int64_t slot);
    uint32_t Get(int64_t slot) const;

   private:
    struct Slot {
      int64_t number = -1;
      uint32_t count = 0;
    };
    std::array<Slot, kSlots + 1> slots;  // a window overlaps one slot more than it has
  };
  struct Waiter {
    uint64_t ticket = 0;
    Time until;
    bool asked = false;  // the ask in flight counts it
  };
  struct State {
    RequestQuota quota;
    RecentCount base;    // requests admitted from the base allowance
    RecentCount demand;  // requests of the last second that the base allowance did not cover
    uint32_t permits = 0;
    Time permits_end;
    uint32_t unreported = 0;  // open requests
    uint32_t reporting = 0;   // of these, in the ask in flight
    bool asked = false;       // the ask in flight names the workspace
    std::deque<Waiter> waiters;
    Time refused_until;
    double own_tokens = 0;  // of the share that is used without a lease
    Time own_updated;       // before the current loss: no tokens
    Time used;
  };

  static int64_t DemandSlot(Time now) { return now.time_since_epoch() / (Seconds(1) / kSlots); }
  int64_t BaseSlot(Time now) const {
    return now.time_since_epoch() / (this->tolerance.window / kSlots);
  }
  double Routers(Time now) const;
  double BaseShare(Time now) const;
  double BaseAllowance(Time now, const State& state) const;
  // Open requests of the workspace that this router may admit between two reports.
  double OpenAllowance(Time now, const std::string& workspace, const State& state) const;
  bool AdmitOpen(Time now, const std::string& workspace, State& state);
  bool AdmitFromBase(Time now, State& state);
  bool AdmitWithPermit(Time now, State& state);
  bool AdmitFromOwnShare(Time now, State& state);
  void ExpirePermits(Time now, State& state);
  QuotaRetry RetryOf(Time now, const State& state) const;
  static uint32_t StockTarget(Time now, const State& state);
  static bool NeedsAsk(Time now, const State& state);
  // The ask is due although no permits are needed.
  bool NeedsShare(Time now) const;
  double OwnShare(Time now) const;
  Duration AskInterval(bool urgent) const;
  // Returns when the next ask may be sent. `urgent`: requests wait.
  Time AskDue(bool urgent) const;
  void RefuseExpired(Time now, State& state, std::vector<QuotaDecision>& decisions);

  QuotaTolerance tolerance;
  RecentMaximum offered;
  size_t offered_now = 1;
  std::map<std::string, State, std::less<>> states;
  uint64_t last_ticket = 0;
  size_t waiting = 0;  // in all `waiters`
  bool in_flight = false;
  uint64_t sequence = 0;
  Time asked_at = TimeAt(-10'000);  // when the last ask was sent
  // The asks sent so far use up the mean pace until this time.
  Time asks_paced_until = TimeAt(-10'000);
  Time next_ask;  // not before, after an ask without a reply
  Time next_check = Time::max();
  std::optional<Time> serving_since;  // start of the current time of service
  Time last_use;
  std::optional<Time> lost_at;                    // end of the lost lease
  std::set<std::string, std::less<>> near_limit;  // as the leader said at `own_share_at`
  std::set<std::string, std::less<>> open_slots;  // as above
  double own_share = 0;                           // as above
  RecentMaximum share_divisor;                    // 1 / own_share, rounded up
  Time own_share_at;
  uint64_t granted = 0;
  uint64_t expired = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_WORKSPACE_QUOTA_H_
