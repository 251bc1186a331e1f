// Synthetic configurations, targets and routers of a given size for the capacity program.
#ifndef PERIDOTGAUGE_BENCH_CAPACITY_MODEL_H_
#define PERIDOTGAUGE_BENCH_CAPACITY_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/records.h"

namespace peridotgauge {

// Sub-requests of a search at the planned size.
constexpr uint32_t kPlannedShards = 68;
constexpr uint32_t kPlannedTargets = 2'700;
constexpr uint32_t kPlannedRouters = 480;
constexpr uint32_t kPlannedServices = 900;  // of three targets each
constexpr uint32_t kReplicas = 3;
constexpr uint32_t kDataCentres = 6;

// A text with this many services. The first `chain` form a chain of dependencies; each other one
// depends on its head, so its search asks chain + 1 shards.
std::string ModelConfig(uint64_t revision, uint32_t services, uint32_t chain = kPlannedShards - 1);
std::string ModelService(uint32_t number);
// A serving target, the replica number % kReplicas of service number / kReplicas.
TargetRecord ModelTarget(uint32_t number, uint64_t sequence = 1);
std::vector<TargetRecord> ModelTargets(uint32_t count);
RouterRecord ModelRouter(uint32_t number, uint64_t incarnation = 1);
std::vector<RouterRecord> ModelRouters(uint32_t count);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_MODEL_H_
