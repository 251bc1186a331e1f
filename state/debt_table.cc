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

Time DebtTable::EndOf(const Entry& entry) {
  // The router may have ended as late as its session.
  return entry.reported + kSessionLength + entry.window;
}

void DebtTable::Report(Time now, const RouterId& router, const ExtraDebts& debts, Duration window) {
  Entry& entry = this->entries[router.id];
  if (router.incarnation < entry.incarnation) return;
  if (router.incarnation > entry.incarnation) {
    if (now >= entry.inherited_until) entry.inherited.clear();
    // An incarnation that ended before it took over the debts of its predecessor did not report
    // them.
    if (entry.incarnation != 0 && now < EndOf(entry)) TakeHigher(entry.debts, entry.inherited);
    entry.inherited_until = now + window;
    entry.incarnation = router.incarnation;
  }
  entry.debts = debts;
  entry.window = window;
  entry.reported = now;
}

ExtraDebts DebtTable::InheritedBy(Time now, const RouterId& router) const {
  const auto found = this->entries.find(router.id);
  if (found == this->entries.end()) return {};
  const Entry& entry = found->second;
  if (entry.incarnation != router.incarnation || now >= entry.inherited_until) return {};
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
    for (const auto& [service, debt] : entry.debts) mean[service] += debt;
  }
  for (auto& [service, debt] : mean) debt /= static_cast<double>(others);
  return mean;
}

void DebtTable::Expire(Time now) {
  std::erase_if(this->entries, [&](const auto& item) { return now >= EndOf(item.second); });
}

}  // namespace peridotgauge
