// What a process has spent of a limit on extra attempts beyond the part that grows with its
// requests.
#ifndef PERIDOTGAUGE_CORE_EXTRA_DEBTS_H_
#define PERIDOTGAUGE_CORE_EXTRA_DEBTS_H_

#include <functional>
#include <map>
#include <string>

namespace peridotgauge {

// Debts in sub-requests by service, see SlidingWindowLimit::Debt(). Services without a debt may be
// absent.
using ExtraDebts = std::map<std::string, double, std::less<>>;

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_EXTRA_DEBTS_H_
