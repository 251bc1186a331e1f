// Recent and running requests in multiples of their objective.
#include "core/lateness_shedding.h"

#include <algorithm>

#include "core/decay.h"

namespace peridotgauge {
namespace {

// Removes the entry of a request that started then. The start that is derived from its end may be
// a little before the recorded one.
bool Remove(std::deque<Time>& starts, Time started) {
  const auto entry = std::lower_bound(starts.begin(), starts.end(), started);
  if (entry == starts.end()) return false;
  starts.erase(entry);
  return true;
}

}  // namespace

void LatenessShedding::OnEnded(Time now, Duration elapsed, Duration objective) {
  if (objective <= Duration(0)) return this->Clear();
  this->CountLate(now, objective);
  if (Remove(this->late, now - elapsed)) return;  // was counted at its objective
  if (!Remove(this->running, now - elapsed)) return;
  this->Add(now, std::chrono::duration<double>(elapsed) / objective);
}

double LatenessShedding::Share(Time now, Duration objective) {
  if (objective <= Duration(0)) return 0;
  this->CountLate(now, objective);
  if (this->late.size() >= kLateRunning) return kMaxShedShare;
  const double faded = this->usage * DecayWeight(now - this->updated, kUsageTime);
  return std::clamp((faded - kShedFromUsage) / (kShedAllUsage - kShedFromUsage), 0.0,
                    kMaxShedShare);
}

void LatenessShedding::Clear() {
  this->running.clear();
  this->late.clear();
  this->usage = 0;
}

void LatenessShedding::CountLate(Time now, Duration objective) {
  while (!this->running.empty() && now - this->running.front() >= objective) {
    this->late.push_back(this->running.front());
    this->running.pop_front();
    this->Add(std::max(this->updated, this->late.back() + objective), kLateUsage);
  }
  while (!this->late.empty() && now - this->late.front() >= kForgetRunningAfter) {
    this->late.pop_front();
  }
}

void LatenessShedding::Add(Time now, double usage) {
  this->usage += kUsageWeight * (usage - this->usage);
  this->updated = now;
}

}  // namespace peridotgauge
