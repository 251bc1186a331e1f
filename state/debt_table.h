// What the routers have spent of the limits on extra attempts, as the leader knows it, so that the
// successor of a router that has ended takes over what still counts.
//
// Use:
//   table.Report(now, router, debts, window);       // with each sync request
//   ExtraDebts inherited = table.InheritedBy(now, router);  // for a router that has just started
//   table.Expire(now);                              // regularly
//
// Contract: InheritedBy() returns the last debts that an earlier incarnation of the router has
// reported, for one window after the first report of the new one. A router whose earlier
// incarnation is not known, since it is new or this leader is, inherits the mean of the other
// routers: troubles of targets concern all of them, and in a calm fleet the mean is close to 0.
// Entries are forgotten once nothing in them can count any more.
#ifndef PERIDOTGAUGE_STATE_DEBT_TABLE_H_
#define PERIDOTGAUGE_STATE_DEBT_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/extra_debts.h"
#include "core/types.h"
#include "state/session.h"

namespace peridotgauge {

class DebtTable {
 public:
  // `window` is that of the router's limits.
  void Report(Time now, const RouterId& router, const ExtraDebts& debts, Duration window);
  ExtraDebts InheritedBy(Time now, const RouterId& router) const;
  void Expire(Time now);
  void Clear() { this->entries.clear(); }
  size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    uint64_t incarnation = 0;
    ExtraDebts debts;  // of this incarnation
    Duration window{0};
    Time reported;
    ExtraDebts inherited;  // of earlier incarnations; empty from `inherited_until` on
    Time inherited_until;
  };

  // Returns the time from which nothing that the entry's incarnation has done counts any more.
  static Time EndOf(const Entry& entry);
  ExtraDebts MeanOfOthers(Time now, const std::string& router) const;

  std::map<std::string, Entry> entries;  // by router id
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_DEBT_TABLE_H_
