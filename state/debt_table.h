// What the routers have spent of the limits on extra attempts, as the leader knows it, so that the
// successor of a router that has ended takes over what still counts.
//
// Use:
//   table.Reset(now);                               // when a term begins
//   table.DeclareNothingGranted();                  // no revision has been accepted yet
//   table.Report(now, router, {.debts = debts, .complete = true, .window = window});
//   std::optional<ExtraDebts> inherited = table.InheritedBy(now, router);
//   table.Expire(now);                              // regularly
//
// Contract: InheritedBy() returns the last debts that an earlier incarnation of the router has
// reported, for one window after the first report of the new one, but at least the mean of the
// other routers: troubles of targets concern all of them, and in a calm fleet the mean is close to
// 0. A router without an earlier incarnation inherits the mean.
//
// It returns nothing if an earlier incarnation may have granted what is not known here: none has
// reported to this leader, which has not led for long enough to rule one out, or the last one did
// not know all debts of its own predecessors. After DeclareNothingGranted() in the same term, a
// router that has not reported has granted nothing, as later grants are reported to this leader.
// Entries are forgotten once nothing in them can count any more.
#ifndef PERIDOTGAUGE_STATE_DEBT_TABLE_H_
#define PERIDOTGAUGE_STATE_DEBT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/extra_debts.h"
#include "core/types.h"
#include "state/session.h"

namespace peridotgauge {

struct DebtReport {
  ExtraDebts debts;
  bool complete = false;  // `debts` include those of earlier incarnations
  Duration window{0};     // of the router's limits
};

class DebtTable {
 public:
  void Reset(Time now);
  // Declares that no router has granted anything yet, in this term or before. Must not be called
  // once a router has received a configuration.
  void DeclareNothingGranted();
  void Report(Time now, const RouterId& router, DebtReport report);
  std::optional<ExtraDebts> InheritedBy(Time now, const RouterId& router) const;
  void Expire(Time now);
  size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    uint64_t incarnation = 0;
    DebtReport report;  // of this incarnation
    Time reported;
    ExtraDebts inherited;  // of earlier incarnations, if they are known
    bool inherited_known = false;
    Time inherited_until;  // nothing that earlier incarnations did counts from then on
  };

  // Returns the time from which nothing that the entry's incarnation has done counts any more.
  static Time EndOf(const Entry& entry);
  ExtraDebts MeanOfOthers(Time now, const std::string& router) const;

  // Returns true if a router without an entry has granted nothing that still counts.
  bool KnowsAll(Time now, Duration window) const;

  std::map<std::string, Entry> entries;  // by router id
  Time since;                            // when the term began
  // DeclareNothingGranted() was called in this term.
  bool nothing_granted_before = false;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_DEBT_TABLE_H_
