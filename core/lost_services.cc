// Unreachable targets, and the shards of a plan that have no others.
#include "core/lost_services.h"

#include <algorithm>

namespace peridotgauge {

void LostServices::OnUnreachable(Time now, const TargetRecord& target) {
  if (this->unreachable.size() >= kMaxUnreachable) {
    std::erase_if(this->unreachable,
                  [&](const auto& entry) { return now - entry.second > kRememberUnreachable; });
    if (this->unreachable.size() >= kMaxUnreachable) return;
  }
  this->unreachable[{target.target, target.incarnation}] = now;
  this->last_unreachable = now;
}

void LostServices::OnReached(const TargetRecord& target) {
  if (!this->unreachable.empty()) this->unreachable.erase({target.target, target.incarnation});
}

bool LostServices::CanCover(Time now, const Plan& plan, uint32_t needed) const {
  if (now - this->last_unreachable > kRememberUnreachable) return true;
  const auto lost = [&](const TargetRecord* target) {
    const auto found = this->unreachable.find({target->target, target->incarnation});
    return found != this->unreachable.end() && now - found->second <= kRememberUnreachable;
  };
  uint32_t left = 0;
  bool any_lost = false;
  for (const PlannedShard& shard : plan.shards) {
    if (!std::all_of(shard.candidates.begin(), shard.candidates.end(), lost)) {
      ++left;
    } else if (!shard.candidates.empty()) {
      any_lost = true;
    }
  }
  return !any_lost || left >= needed;
}

}  // namespace peridotgauge
