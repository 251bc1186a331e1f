// Chooses replicas so that cold targets get no more requests than they tolerate.
//
// Use:
//   ColdTargetChooser chooser(replica_choice, warmup_limit, pool);
//   const TargetRecord* target = chooser.Choose(now, candidates, tried);
//
// Contract: leaves out the cold targets to which this router may not send a request now, and those
// without a free connection: requests that waited for one could be sent together later. Other
// targets are chosen as by the given chooser.
#ifndef PERIDOTGAUGE_IO_COLD_TARGET_CHOOSER_H_
#define PERIDOTGAUGE_IO_COLD_TARGET_CHOOSER_H_

#include <algorithm>
#include <iterator>
#include <vector>

#include "core/search_policy.h"
#include "core/warmup_limit.h"
#include "io/target_pool.h"

namespace peridotgauge {

class ColdTargetChooser : public ReplicaChooser {
 public:
  // All outlive this object.
  ColdTargetChooser(ReplicaChooser& chooser, const WarmupLimit& limit, const TargetPool& pool)
      : chooser(chooser), limit(limit), pool(pool) {}

  const TargetRecord* Choose(Time now, Candidates candidates, Candidates excluded) override {
    if (this->limit.Empty()) return this->chooser.Choose(now, candidates, excluded);
    this->usable.clear();
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(this->usable),
        [&](const TargetRecord* target) {
          return !this->limit.IsLimited(now, *target) ||
                 (this->limit.HasRoom(now, *target) && this->pool.HasFreeConnection(*target));
        });
    if (this->usable.empty()) return nullptr;
    return this->chooser.Choose(now, this->usable, excluded);
  }

 private:
  ReplicaChooser& chooser;
  const WarmupLimit& limit;
  const TargetPool& pool;
  std::vector<const TargetRecord*> usable;  // scratch space of Choose()
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_COLD_TARGET_CHOOSER_H_
