// The leader's record of debts of routers.
#include "state/debt_table.h"

#include <algorithm>
#include <utility>

#include "state/lease.h"

namespace peridotgauge {
namespace {

void TakeHigher(const ExtraDebts& from, ExtraDebts& to) {
  for (const auto& [service, debt] : from) {
    double& value = to[service];
    value = std::max(value, debt);
  }
}

}  // namespace

void DebtTable::Reset(Time now) {
  this->entries.clear();
  this->since = now;
  this->nothing_granted_before = false;
}

void DebtTable::DeclareNothingGranted() {
  if (std::exchange(this->nothing_granted_before, true)) return;
  // These routers reported before this leader knew that no revision had been accepted.
  for (auto& [id, entry] : this->entries) entry.inherited_known = true;
}

Time DebtTable::EndOf(const Entry& entry) {
  // The router may have ended as late as its session.
  return entry.reported + kSessionLength + entry.report.window;
}

bool DebtTable::KnowsAll(Time now, Duration window) const {
  return this->nothing_granted_before || now >= this->since + kSessionLength + window;
}

void DebtTable::Report(Time now, const RouterId& router, DebtReport report) {
  Entry& entry = this->entries[router.id];
  if (router.incarnation < entry.incarnation) return;
  if (router.incarnation > entry.incarnation) {
    if (now >= entry.inherited_until) {
      entry.inherited.clear();
      entry.inherited_known = false;
    }
    if (entry.incarnation != 0 && now < EndOf(entry)) {
      // An incarnation that ended before it took over the debts of its predecessor did not report
      // them.
      TakeHigher(entry.report.debts, entry.inherited);
      entry.inherited_known = entry.inherited_known || entry.report.complete;
    } else {
      entry.inherited_known = this->KnowsAll(now, report.window);
    }
    entry.inherited_until = now + report.window;
    entry.incarnation = router.incarnation;
  }
  entry.report = std::move(report);
  entry.reported = now;
}

std::optional<ExtraDebts> DebtTable::InheritedBy(Time now, const RouterId& router) const {
  const auto found = this->entries.find(router.id);
  if (found == this->entries.end()) return std::nullopt;
  const Entry& entry = found->second;
  if (entry.incarnation != router.incarnation) return std::nullopt;
  if (now >= entry.inherited_until) return ExtraDebts{};
  if (!entry.inherited_known) return std::nullopt;
  ExtraDebts inherited = this->MeanOfOthers(now, router.id);
  TakeHigher(entry.inherited, inherited);
  return inherited;
}

ExtraDebts DebtTable::MeanOfOthers(Time now, const std::string& router) const {
  ExtraDebts mean;
  size_t others = 0;
  for (const auto& [id, entry] : this->entries) {
    if (id == router || now >= EndOf(entry)) continue;
    ++others;
    for (const auto& [service, debt] : entry.report.debts) mean[service] += debt;
  }
  for (auto& [service, debt] : mean) debt /= static_cast<double>(others);
  return mean;
}

void DebtTable::Expire(Time now) {
  std::erase_if(this->entries, [&](const auto& item) { return now >= EndOf(item.second); });
}

}  // namespace peridotgauge
