// Services all of whose targets cannot be reached, and the searches that cannot complete then.
//
// Use:
//   LostServices lost_services;
//   lost_services.OnUnreachable(now, target);     // an attempt failed before it reached the target
//   lost_services.OnReached(target);              // any reply
//   if (!lost_services.CanCover(now, plan, needed)) Reject();
//
// Load that it answers: services have lost all targets, but the directory still lists them, while
// other targets are slow. A search that needs more shards than are left cannot complete. Its
// sub-requests to the other services take capacity from searches that can.
//
// Contract: a search is rejected only if each target of too many services could not be reached by
// the last attempt, and was tried within kRememberUnreachable. Targets are identified by name and
// incarnation, so a restarted target is not affected.
#ifndef PERIDOTGAUGE_CORE_LOST_SERVICES_H_
#define PERIDOTGAUGE_CORE_LOST_SERVICES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/plan.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// After this time a search is admitted to find out whether the targets can be reached. A caller
// with a deadline of 800 ms that is rejected at the end of the fault can then still be served when
// it returns. In the replay, 1 s loses a third of the searches of the first second after the
// fault, and 100 ms serves fewer of those that can complete while targets are 6 times slower.
constexpr Duration kRememberUnreachable = Millis(250);
// Further unreachable targets are not remembered.
constexpr size_t kMaxUnreachable = 10'000;

class LostServices {
 public:
  void OnUnreachable(Time now, const TargetRecord& target);
  void OnReached(const TargetRecord& target);
  // Returns false if `needed` shards of the plan cannot be covered because targets could not be
  // reached. Shards without any target count as lost if another service is lost.
  bool CanCover(Time now, const Plan& plan, uint32_t needed) const;

 private:
  // When an attempt at the target last failed, by name and incarnation.
  std::map<std::pair<std::string, uint64_t>, Time> unreachable;
  Time last_unreachable;  // the latest of them, so that older entries cost admissions nothing
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_LOST_SERVICES_H_
