// The parts of the capacity program. Each adds its points to the report.
#ifndef PERIDOTGAUGE_BENCH_CAPACITY_PARTS_H_
#define PERIDOTGAUGE_BENCH_CAPACITY_PARTS_H_

#include <cstdint>
#include <string>

#include "bench/capacity_meter.h"

namespace peridotgauge {

struct LeaderOptions {
  uint32_t routers = 0;
  double seconds = 4;  // of each measured phase
  std::string folder;
};

// Three controllers and `routers` control clients over loopback.
void MeasureLeader(const LeaderOptions& options, CapacityReport& report);
// Directory copy, ownership, planner and configuration of one router.
void MeasureRouter(CapacityReport& report);
// Search core and peer frames.
void MeasureDataPath(CapacityReport& report);
// Commits, snapshots and restarts of the replicated log.
void MeasureRaft(const std::string& folder, CapacityReport& report);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_PARTS_H_
