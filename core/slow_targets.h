// Tells targets that are slow from targets whose queues are full, by the load that they report.
//
// Use:
//   SlowTargets slow_targets;
//   slow_targets.OnReport(now, "shard-7", 0.5);             // for every reply that reports a load
//   share *= slow_targets.QueuedShare(now, plan);           // of the arrivals, to reject
//
// Load that it answers: targets need several times their usual time for each sub-request, so that
// requests just miss their objective, but have free slots. A request that is admitted among few
// others is then as late as one among many, so rejecting some does not make the others faster.
//
// Contract: without recent reports QueuedShare() is 1, and lateness alone decides.
#ifndef PERIDOTGAUGE_CORE_SLOW_TARGETS_H_
#define PERIDOTGAUGE_CORE_SLOW_TARGETS_H_

#include <map>
#include <string>
#include <string_view>

#include "core/plan.h"
#include "core/types.h"

namespace peridotgauge {

// Load: running and waiting sub-requests for each slot. At kQueuesFromLoad two fifths of the
// sub-requests at targets with 6 slots find all of them busy, whereas a search may miss a twentieth
// of its shards. From kQueuedLoad on nearly all sub-requests wait. In the replays, 0.7 loses up to
// 0.03 of the value while targets are slow, and 0.8 loses more in bursts at 5 times slower targets.
constexpr double kQueuesFromLoad = 0.75;
constexpr double kQueuedLoad = 1;
// Time constant of the decay of reports. With 500 ms, queues are noticed and forgotten too late: in
// the replays of slow targets without a burst up to 0.05 of the value is lost.
constexpr Duration kReportTime = Millis(200);
// Reports (with decay) below which nothing is known.
constexpr double kLeastReports = 0.5;

class SlowTargets {
 public:
  void OnReport(Time now, std::string_view service, double load);
  // Returns the share, 0 to 1, of the rejections by lateness that queues justify: 0 while the
  // targets of the plan have free slots, and 1 if all slots are in use.
  double QueuedShare(Time now, const Plan& plan) const;

 private:
  struct Reports {
    double count = 0;
    double load = 0;  // sum
    Time updated{};
  };

  std::map<std::string, Reports, std::less<>> services;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SLOW_TARGETS_H_
