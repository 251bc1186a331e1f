// Mean of the recently reported loads of the services of a plan.
#include "core/slow_targets.h"

#include <algorithm>

#include "core/decay.h"

namespace peridotgauge {

void SlowTargets::OnReport(Time now, std::string_view service, double load) {
  auto found = this->services.find(service);
  if (found == this->services.end()) found = this->services.emplace(service, Reports{}).first;
  Reports& reports = found->second;
  const double weight = DecayWeight(now - reports.updated, kReportTime);
  reports = {
      .count = reports.count * weight + 1, .load = reports.load * weight + load, .updated = now};
}

double SlowTargets::QueuedShare(Time now, const Plan& plan) const {
  double count = 0;
  double load = 0;
  for (const PlannedFleet& fleet : plan.fleets) {
    const auto found = this->services.find(fleet.name);
    if (found == this->services.end()) continue;
    const double weight = DecayWeight(now - found->second.updated, kReportTime);
    count += found->second.count * weight;
    load += found->second.load * weight;
  }
  if (count < kLeastReports) return 1;
  return std::clamp((load / count - kQueuesFromLoad) / (kQueuedLoad - kQueuesFromLoad), 0.0, 1.0);
}

}  // namespace peridotgauge
