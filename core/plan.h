// Plans of searches: the shards to query, their snapshot, and the targets that hold them.
//
// Use:
//   Planner planner;
//   planner.SetConfig(config);                   // on every accepted revision
//   planner.Upsert(record);                      // on every change of the directory
//   Result<std::shared_ptr<const Plan>> plan = planner.PlanFor("verstas-1");
//
// Contract: a Plan is immutable and keeps its target records alive, so a running search is not
// affected by later changes. Plans are cached per service until the configuration or a target
// changes. Targets are indexed by service, so planning reads only the targets of the closure, which
// is the service and everything that it depends on.
//
// Snapshot choice: each fleet of the closure is pinned to one snapshot, namely the one in which
// serving targets hold the largest fraction of the fleet's shards, and the newest of equal ones.
// Fractions are compared instead of counts, because a repartition can change the number of shards:
// 4 of 4 shards are preferred to 5 of 8. If a service has several layouts in one snapshot, the
// layout with the largest covered fraction is used, and of equal ones the one with more shards.
#ifndef PERIDOTGAUGE_CORE_PLAN_H_
#define PERIDOTGAUGE_CORE_PLAN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/config.h"
#include "core/error.h"
#include "core/records.h"
#include "core/search_policy.h"
#include "core/types.h"

namespace peridotgauge {

// The partitioning of one service into shards in one snapshot, and the serving targets that hold
// the shards.
class Layout {
 public:
  uint64_t snapshot = 0;
  uint32_t shards = 0;   // at least 1
  uint32_t covered = 0;  // shards with at least one serving target

  // Returns the serving targets that hold the shard, ordered by name. `shard` must be less than
  // `shards`.
  Candidates HoldersOf(uint32_t shard) const;

 private:
  friend class ServiceTargets;
  std::vector<uint32_t> offsets;  // of each shard in `holders`, and the end; shards + 1 elements
  std::vector<const TargetRecord*> holders;
};

// The serving targets of one service and their layouts. Immutable.
class ServiceTargets {
 public:
  // Keeps the records in state kServing. Holdings with an invalid shard number are ignored.
  explicit ServiceTargets(std::vector<TargetRecord> records);
  ServiceTargets(const ServiceTargets&) = delete;
  ServiceTargets& operator=(const ServiceTargets&) = delete;

  Candidates Serving() const { return this->pointers; }
  // Returns the layouts, ordered by (snapshot, shards).
  const std::vector<Layout>& Layouts() const { return this->layouts; }
  // Returns the layout of the snapshot with the largest covered fraction, or nullptr if there is
  // none.
  const Layout* BestLayout(uint64_t snapshot) const;

 private:
  std::vector<TargetRecord> records;  // by name
  std::vector<const TargetRecord*> pointers;
  std::vector<Layout> layouts;
};

// A fleet of the closure. `snapshot` is absent if no serving target holds any of its shards.
struct PlannedFleet {
  std::string name;
  std::optional<uint64_t> snapshot;
  bool operator==(const PlannedFleet&) const = default;
};

struct PlannedService {
  std::string name;
  uint32_t fleet = 0;  // index into Plan::fleets
  uint32_t shards = 1;
  bool operator==(const PlannedService&) const = default;
};

struct PlannedShard {
  uint32_t service = 0;  // index into Plan::services
  uint32_t shard = 0;
  Candidates candidates;  // empty if no serving target holds the shard
};

// The shards and candidates of one search. Indices into `shards` identify shards in search.h.
struct Plan {
  uint64_t revision = 0;
  Duration deadline{};
  Duration soft_deadline{};
  Preference prefer = Preference::kCoverage;
  std::vector<PlannedFleet> fleets;      // by name
  std::vector<PlannedService> services;  // the searched service first, the others by name
  std::vector<PlannedShard> shards;      // by service, then shard number
  // Owns the records that the candidates point to.
  std::vector<std::shared_ptr<const ServiceTargets>> service_targets;

  const PlannedService& ServiceOf(uint32_t shard) const {
    return this->services[this->shards[shard].service];
  }
  const PlannedFleet& FleetOf(uint32_t shard) const {
    return this->fleets[this->ServiceOf(shard).fleet];
  }
};

class Planner {
 public:
  void SetConfig(std::shared_ptr<const Config> config);
  // Replaces all targets.
  void SetTargets(const std::vector<TargetRecord>& records);
  // Adds or replaces one target. The caller must have checked that the record supersedes the older
  // one.
  void Upsert(const TargetRecord& record);
  void Remove(std::string_view target);

  // Returns the plan for a search of `service`, or kNotFound if the configuration does not have it.
  Result<std::shared_ptr<const Plan>> PlanFor(std::string_view service);
  // Returns the current serving targets of the service, for orders. Never null.
  std::shared_ptr<const ServiceTargets> TargetsOf(std::string_view service);

 private:
  // Targets of one service in any state. `cached_targets` is reset when one changes.
  struct Entry {
    std::map<std::string, TargetRecord, std::less<>> records;
    std::shared_ptr<const ServiceTargets> cached_targets;
  };

  std::shared_ptr<const Config> config = std::make_shared<Config>();
  std::map<std::string, Entry, std::less<>> entries;               // by service
  std::unordered_map<std::string, std::string> service_of_target;  // keys: names of all targets
  std::map<std::string, std::shared_ptr<const Plan>, std::less<>> plans;  // cache
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_PLAN_H_
