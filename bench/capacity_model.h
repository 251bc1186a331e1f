// Synthetic configurations, targets and routers in any number for the capacity program.
#ifndef PERIDOTGAUGE_BENCH_CAPACITY_MODEL_H_
#define PERIDOTGAUGE_BENCH_CAPACITY_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/records.h"

namespace peridotgauge {

// The planned size of the system. kPlannedShards is the number of sub-requests of a search.
constexpr uint32_t kPlannedShards = 68;
constexpr uint32_t kPlannedTargets = 2'700;
constexpr uint32_t kPlannedRouters = 480;
constexpr uint32_t kPlannedServices = 900;  // with kReplicas targets each
constexpr uint32_t kReplicas = 3;
constexpr uint32_t kDataCentres = 6;

// Returns a configuration text with this many services of one shard each. The first `chain`
// services form a chain of dependencies; each of the others depends on the head of the chain, so
// its search sends sub-requests to chain + 1 shards.
std::string SyntheticConfig(uint64_t revision, uint32_t services,
                            uint32_t chain = kPlannedShards - 1);
std::string SyntheticServiceName(uint32_t number);
// Returns a serving target: replica `number` % kReplicas of service `number` / kReplicas.
TargetRecord SyntheticTarget(uint32_t number, uint64_t sequence = 1);
std::vector<TargetRecord> SyntheticTargets(uint32_t count);
RouterRecord SyntheticRouter(uint32_t number, uint64_t incarnation = 1);
std::vector<RouterRecord> SyntheticRouters(uint32_t count);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_MODEL_H_
