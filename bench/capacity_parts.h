// The parts of the capacity program. Each adds its measured points to the report.
#ifndef PERIDOTGAUGE_BENCH_CAPACITY_PARTS_H_
#define PERIDOTGAUGE_BENCH_CAPACITY_PARTS_H_

#include <cstdint>
#include <string>

#include "bench/capacity_meter.h"

namespace peridotgauge {

struct LeaderOptions {
  uint32_t routers = 0;
  double seconds = 4;  // duration of each measured phase
  std::string folder;  // parent of the data folders of controllers
};

// Measures the leader of three controllers with `routers` control clients over loopback.
void MeasureLeader(const LeaderOptions& options, CapacityReport& report);
// Measures directory copy, ownership, planner and configuration of one router.
void MeasureRouter(CapacityReport& report);
// Measures the search core and the peer frames of a router.
void MeasureDataPath(CapacityReport& report);
// Measures commits, snapshots and restarts of the replicated log.
void MeasureRaft(const std::string& folder, CapacityReport& report);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_PARTS_H_
