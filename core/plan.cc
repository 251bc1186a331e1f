// Index of the serving targets of each service, and the choice of layouts and snapshots.
#include "core/plan.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace peridotgauge {
namespace {

// A number of shards out of a total, compared as a fraction. The total is not 0 in comparisons.
struct Fraction {
  uint64_t covered = 0;
  uint64_t total = 0;
};

bool Less(const Fraction& a, const Fraction& b) {
  return a.covered * b.total < b.covered * a.total;
}

// One service of a fleet for which a snapshot is chosen.
struct Member {
  uint32_t service = 0;  // index into Plan::services
  uint32_t configured_shards = 1;
  const ServiceTargets* targets = nullptr;
};

Fraction CoveredFraction(const std::vector<Member>& members, uint64_t snapshot) {
  Fraction fraction;
  for (const Member& member : members) {
    const Layout* layout = member.targets->BestLayout(snapshot);
    fraction.covered += layout == nullptr ? 0 : layout->covered;
    fraction.total += layout == nullptr ? member.configured_shards : layout->shards;
  }
  return fraction;
}

std::optional<uint64_t> ChooseSnapshot(const std::vector<Member>& members) {
  std::set<uint64_t> snapshots;
  for (const Member& member : members) {
    for (const Layout& layout : member.targets->Layouts()) snapshots.insert(layout.snapshot);
  }
  std::optional<uint64_t> best;
  Fraction best_fraction;
  for (uint64_t snapshot : snapshots) {
    const Fraction fraction = CoveredFraction(members, snapshot);
    if (best && Less(fraction, best_fraction)) continue;
    best = snapshot;
    best_fraction = fraction;
  }
  return best;
}

bool IsValid(const Holding& holding) {
  return holding.shards >= 1 && holding.shards <= kMaxShards && holding.shard < holding.shards;
}

// A target that holds one shard, in the order in which layouts are built.
struct Holder {
  uint64_t snapshot = 0;
  uint32_t shards = 0;
  uint32_t shard = 0;
  uint32_t target = 0;  // index into the records
  bool operator==(const Holder&) const = default;
  bool operator<(const Holder& other) const {
    return std::tie(this->snapshot, this->shards, this->shard, this->target) <
           std::tie(other.snapshot, other.shards, other.shard, other.target);
  }
};

std::vector<Holder> SortedHolders(const std::vector<TargetRecord>& records) {
  std::vector<Holder> holders;
  for (uint32_t i = 0; i < records.size(); ++i) {
    for (const Holding& held : records[i].holds) {
      if (IsValid(held)) holders.push_back({held.snapshot, held.shards, held.shard, i});
    }
  }
  std::sort(holders.begin(), holders.end());
  holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
  return holders;
}

// Appends the shards of one service to the plan.
void AddShards(Plan& plan, const Member& member, const Layout* layout) {
  const uint32_t shards = layout == nullptr ? member.configured_shards : layout->shards;
  plan.services[member.service].shards = shards;
  for (uint32_t shard = 0; shard < shards; ++shard) {
    plan.shards.push_back(
        {.service = member.service,
         .shard = shard,
         .candidates = layout == nullptr ? Candidates() : layout->HoldersOf(shard)});
  }
}

}  // namespace

Candidates Layout::HoldersOf(uint32_t shard) const {
  return Candidates(this->holders)
      .subspan(this->offsets[shard], this->offsets[shard + 1] - this->offsets[shard]);
}

ServiceTargets::ServiceTargets(std::vector<TargetRecord> records) : records(std::move(records)) {
  std::erase_if(this->records,
                [](const TargetRecord& r) { return r.state != TargetState::kServing; });
  std::sort(this->records.begin(), this->records.end(),
            [](const TargetRecord& a, const TargetRecord& b) { return a.target < b.target; });
  for (const TargetRecord& record : this->records) this->pointers.push_back(&record);

  for (const Holder& holder : SortedHolders(this->records)) {
    if (this->layouts.empty() || this->layouts.back().snapshot != holder.snapshot ||
        this->layouts.back().shards != holder.shards) {
      Layout& added = this->layouts.emplace_back();
      added.snapshot = holder.snapshot;
      added.shards = holder.shards;
      added.offsets.assign(holder.shards + 1, 0);
    }
    Layout& layout = this->layouts.back();
    layout.holders.push_back(this->pointers[holder.target]);
    ++layout.offsets[holder.shard + 1];
  }
  for (Layout& layout : this->layouts) {
    for (uint32_t shard = 0; shard < layout.shards; ++shard) {
      if (layout.offsets[shard + 1] > 0) ++layout.covered;
      layout.offsets[shard + 1] += layout.offsets[shard];
    }
  }
}

const Layout* ServiceTargets::BestLayout(uint64_t snapshot) const {
  const Layout* best = nullptr;
  for (const Layout& layout : this->layouts) {
    if (layout.snapshot != snapshot) continue;
    const bool better =
        best == nullptr || !Less({layout.covered, layout.shards}, {best->covered, best->shards});
    if (better) best = &layout;
  }
  return best;
}

void Planner::SetConfig(std::shared_ptr<const Config> config) {
  this->config = std::move(config);
  this->plans.clear();
}

void Planner::SetTargets(const std::vector<TargetRecord>& records) {
  this->entries.clear();
  this->service_of_target.clear();
  this->plans.clear();
  for (const TargetRecord& record : records) this->Upsert(record);
}

void Planner::Upsert(const TargetRecord& record) {
  const auto known = this->service_of_target.find(record.target);
  if (known != this->service_of_target.end() && known->second != record.service) {
    this->Remove(record.target);
  }
  this->service_of_target[record.target] = record.service;
  Entry& entry = this->entries[record.service];
  entry.records[record.target] = record;
  entry.cached_targets.reset();
  this->plans.clear();
}

void Planner::Remove(std::string_view target) {
  const auto known = this->service_of_target.find(std::string(target));
  if (known == this->service_of_target.end()) return;
  const auto entry = this->entries.find(known->second);
  entry->second.records.erase(known->first);
  entry->second.cached_targets.reset();
  if (entry->second.records.empty()) this->entries.erase(entry);
  this->service_of_target.erase(known);
  this->plans.clear();
}

std::shared_ptr<const ServiceTargets> Planner::TargetsOf(std::string_view service) {
  const auto found = this->entries.find(service);
  if (found == this->entries.end()) {
    return std::make_shared<const ServiceTargets>(std::vector<TargetRecord>());
  }
  Entry& entry = found->second;
  if (entry.cached_targets == nullptr) {
    std::vector<TargetRecord> records;
    records.reserve(entry.records.size());
    for (const auto& [name, record] : entry.records) records.push_back(record);
    entry.cached_targets = std::make_shared<const ServiceTargets>(std::move(records));
  }
  return entry.cached_targets;
}

Result<std::shared_ptr<const Plan>> Planner::PlanFor(std::string_view service) {
  const auto cached = this->plans.find(service);
  if (cached != this->plans.end()) return cached->second;
  const std::vector<const Service*> closure = this->config->DependencyClosure(service);
  if (closure.empty()) {
    return Fail(ErrorCode::kNotFound, "unknown service \"" + std::string(service) + "\"");
  }
  auto plan = std::make_shared<Plan>();
  plan->revision = this->config->Revision();
  plan->deadline = closure.front()->deadline;
  plan->soft_deadline = closure.front()->soft_deadline;
  plan->prefer = closure.front()->prefer;

  std::map<std::string, std::vector<Member>> members;  // by fleet
  for (const Service* entry : closure) {
    plan->service_targets.push_back(this->TargetsOf(entry->name));
    members[entry->fleet].push_back({.service = static_cast<uint32_t>(plan->services.size()),
                                     .configured_shards = entry->shards,
                                     .targets = plan->service_targets.back().get()});
    plan->services.push_back({.name = entry->name});
  }
  std::vector<std::pair<Member, const Layout*>> layouts(closure.size());
  for (const auto& [fleet, services] : members) {
    const std::optional<uint64_t> snapshot = ChooseSnapshot(services);
    for (const Member& member : services) {
      plan->services[member.service].fleet = static_cast<uint32_t>(plan->fleets.size());
      layouts[member.service] = {member,
                                 snapshot ? member.targets->BestLayout(*snapshot) : nullptr};
    }
    plan->fleets.push_back({.name = fleet, .snapshot = snapshot});
  }
  for (const auto& [member, layout] : layouts) AddShards(*plan, member, layout);
  this->plans.emplace(std::string(service), plan);
  return plan;
}

}  // namespace peridotgauge
