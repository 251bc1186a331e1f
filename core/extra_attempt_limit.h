// One router's part of the limits on extra attempts (hedges and retries), which all routers of a
// deployment keep together.
//
// Use:
//   ExtraAttemptLimit limit(settings.extra_requests, settings.shutdown_grace, /*started=*/now);
//   limit.SetServices(now, {"verstas", "kassa"});       // on every configuration
//   limit.SetRouters(now, /*offered=*/8, /*active=*/8); // when a number changes
//   limit.Inherit(now, debts);                          // once, as the controllers know them
//   if (now >= limit.NextUpdate()) limit.Update(now);   // before requests
//   Search search(plan, params, {chooser, limit.Budget()});
//
// Contract: for each service, the extra attempts that all routers grant in any window stay within
// the ratio of the needed ones plus the slack, however many routers start, leave, or are replaced:
// the routers divide the slack, and each counts what its predecessor has granted. A router that
// does not know that grants nothing from the slack for one window after its start, since its
// predecessor may have used it up. Only what a router grants between its last report and its end
// is not known to its successor.
#ifndef PERIDOTGAUGE_CORE_EXTRA_ATTEMPT_LIMIT_H_
#define PERIDOTGAUGE_CORE_EXTRA_ATTEMPT_LIMIT_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "core/extra_debts.h"
#include "core/hedge.h"
#include "core/recent_maximum.h"
#include "core/settings.h"
#include "core/types.h"

namespace peridotgauge {

// Share of the platform's limit on extra sub-requests that is used. The rest is a reserve for
// requests whose first sub-request this router counts but the target never receives.
constexpr double kExtraShare = 0.8;
// A router of a large fleet may send this many extra sub-requests that the ratio does not cover.
constexpr double kLeastSlack = 1;
// Debts of extra sub-requests below this share of the router's slack, or below one, are not
// reported.
constexpr double kLeastDebtShare = 0.25;
constexpr double kLeastDebt = 1;
// A debt that has grown by this share of the slack, or by this number, since the last report is
// reported at once. In a calm fleet single hedges make small debts all the time.
constexpr double kUrgentDebtShare = 0.5;
constexpr double kUrgentDebt = 3;

class ExtraAttemptLimit {
 public:
  // `grace` is the time for which a router that leaves still serves callers.
  ExtraAttemptLimit(ExtraRequestLimit limit, Duration grace, Time started);

  HedgeBudget& Budget() { return this->budget; }
  const HedgeBudget& Budget() const { return this->budget; }

  void SetServices(Time now, const std::set<std::string, std::less<>>& services);
  // `offered`: number of routers that callers are told about. `active`: number of routers that are
  // not draining. Both at least 1.
  void SetRouters(Time now, size_t offered, size_t active);
  // Takes over the debts of the router's predecessors, or nothing if they are not known.
  void Inherit(Time now, const std::optional<ExtraDebts>& debts);
  // Computes the slack again. Must be called at NextUpdate().
  void Update(Time now);
  Time NextUpdate() const { return this->next_update; }

  // Returns true if the debts include what the predecessors have granted in the last window.
  bool HistoryComplete(Time now) const {
    return this->history_known || now >= this->started + this->limit.window;
  }
  // Returns the debts to report, and takes them as reported.
  ExtraDebts Report(Time now);
  // Returns true if debts have grown so much since the last report that they should be reported at
  // once, as this process may be killed before the next one.
  bool HasGrownDebt(Time now) const;

  // This router's part of the slack, and the number of routers among which it is divided.
  double Slack() const { return this->slack; }
  size_t Routers(Time now) const { return this->active_routers.Get(now); }

 private:
  ExtraRequestLimit limit;
  Time started;
  bool history_known = false;
  HedgeBudget budget;
  // A router that leaves still serves callers for its grace period, and what it has spent counts
  // for a window longer, so the others take over its share only then.
  RecentMaximum offered_routers;
  RecentMaximum active_routers;
  Time next_update = Time::max();
  double slack = 0;           // in sub-requests
  ExtraDebts reported_debts;  // in the last report
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_EXTRA_ATTEMPT_LIMIT_H_
