// Division of the limits on extra attempts among the routers.
#include "core/extra_attempt_limit.h"

#include <algorithm>
#include <map>

namespace peridotgauge {

ExtraAttemptLimit::ExtraAttemptLimit(ExtraRequestLimit limit, Duration grace, Time started)
    : limit(limit),
      started(started),
      budget({.burst = 0, .max_debt = 0, .retry_in_overload = true, .window = limit.window}),
      offered_routers(limit.window + grace),
      active_routers(limit.window + grace) {}

void ExtraAttemptLimit::SetServices(Time now, const std::set<std::string, std::less<>>& services) {
  std::map<std::string, double, std::less<>> shares;
  for (const std::string& service : services) shares[service] = this->limit.ratio * kExtraShare;
  this->budget.SetShares(now, shares);
}

void ExtraAttemptLimit::SetRouters(Time now, size_t offered, size_t active) {
  this->offered_routers.Set(now, offered);
  this->active_routers.Set(now, active);
  this->Update(now);
}

void ExtraAttemptLimit::Inherit(Time now, const std::optional<ExtraDebts>& debts) {
  this->history_known = this->history_known || debts.has_value();
  if (debts) this->budget.Inherit(now, *debts);
  this->Update(now);
}

// All routers divide the slack, and each gets one sub-request at least as far as those that callers
// are told about do not exceed it together.
void ExtraAttemptLimit::Update(Time now) {
  this->next_update = std::min(this->offered_routers.NextDecrease(now).value_or(Time::max()),
                               this->active_routers.NextDecrease(now).value_or(Time::max()));
  const size_t routers = this->active_routers.Get(now);
  if (!this->HistoryComplete(now)) {
    this->slack = 0;
    this->next_update = std::min(this->next_update, this->started + this->limit.window);
  } else if (routers > 0) {
    const double sum = this->limit.slack * kExtraShare;
    const double equal_share = sum / static_cast<double>(routers);
    const double highest_share = sum / static_cast<double>(this->offered_routers.Get(now));
    this->slack = std::min(std::max(equal_share, kLeastSlack), highest_share);
  }
  this->budget.SetOptions({.burst = this->slack,
                           .max_debt = 0,
                           .retry_in_overload = true,
                           .window = this->limit.window});
}

ExtraDebts ExtraAttemptLimit::Report(Time now) {
  this->reported_debts =
      this->budget.Debts(now, std::max(kLeastDebt, kLeastDebtShare * this->slack));
  return this->reported_debts;
}

bool ExtraAttemptLimit::HasGrownDebt(Time now) const {
  const double urgent = std::max(kUrgentDebt, kUrgentDebtShare * this->slack);
  for (const auto& [service, debt] : this->budget.Debts(now, urgent)) {
    const auto known = this->reported_debts.find(service);
    if (debt >= (known == this->reported_debts.end() ? 0 : known->second) + urgent) return true;
  }
  return false;
}

}  // namespace peridotgauge
