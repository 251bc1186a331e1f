// Measures the control-plane state of a router: directory copy, ownership, planner, configuration.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "bench/capacity_model.h"
#include "bench/capacity_parts.h"
#include "core/config.h"
#include "core/ownership.h"
#include "core/plan.h"
#include "state/directory_copy.h"

namespace peridotgauge {
namespace {

constexpr double kMillion = 1e6;
constexpr double kThousand = 1e3;
constexpr int kRepeats = 10;
const char* const kTargetScale = "targets";
const char* const kRouterScale = "routers at 2,700 targets";

// Returns the mean CPU time of a call in seconds.
template <typename Function>
double MeanCpuSeconds(int repeats, Function function) {
  const double start = ThreadCpuSeconds();
  for (int i = 0; i < repeats; ++i) function(i);
  return (ThreadCpuSeconds() - start) / repeats;
}

DirectoryDelta FullDelta(uint32_t targets) {
  DirectoryDelta delta{.epoch = 1, .version = targets, .full = true};
  delta.targets = SyntheticTargets(targets);
  for (const TargetRecord& record : delta.targets) delta.digest += DigestOf(record);
  return delta;
}

void MeasureDirectory(uint32_t targets, CapacityReport& report) {
  DirectoryDelta delta = FullDelta(targets);
  const int64_t heap = LiveHeapBytes();
  DirectoryCopy copy;
  const double full = MeanCpuSeconds(1, [&](int) { copy.Apply(delta); });
  report.Add("directory copy: heap, KB", kTargetScale, targets,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  report.Add("directory copy: CPU of a full resend, ms", kTargetScale, targets, full * kThousand);
  DirectoryDelta change{.epoch = 1, .version = delta.version, .digest = delta.digest};
  change.targets = {delta.targets[7]};
  const double one = MeanCpuSeconds(1'000, [&](int) {
    change.digest -= DigestOf(change.targets[0]);
    ++change.targets[0].sequence;
    change.targets[0].slots ^= 1U;
    change.digest += DigestOf(change.targets[0]);
    ++change.version;
    copy.Apply(change);
  });
  report.Add("directory copy: CPU of a change, us", kTargetScale, targets, one * kMillion);
}

// Measures view changes of router restarts: alternates between a view without one router and a view
// with its next incarnation.
void MeasureOwnership(uint32_t targets, uint32_t routers, const std::string& scale, double x,
                      CapacityReport& report) {
  const int64_t heap = LiveHeapBytes();
  Ownership ownership({.id = SyntheticRouter(0).id, .incarnation = 1}, Routing::kOwner);
  ownership.LearnView(TimeAt(0), {.index = 1, .routers = SyntheticRouters(routers)});
  const double add = MeanCpuSeconds(1, [&](int) {
    for (const TargetRecord& target : SyntheticTargets(targets)) {
      ownership.UpsertTarget(TimeAt(1), target.target, target.data_centre);
    }
  });
  report.Add("ownership: heap, KB, against " + scale, scale, x,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  report.Add("ownership: CPU of adding all targets, ms, against " + scale, scale, x,
             add * kThousand);
  std::vector<RouterView> views;
  for (int i = 0; i < kRepeats; ++i) {
    RouterView view{.index = static_cast<uint64_t>(i) + 2, .routers = SyntheticRouters(routers)};
    const uint32_t restarted = 1 + static_cast<uint32_t>(i / 2);
    if (i % 2 == 0) {
      view.routers.erase(view.routers.begin() + restarted);
    } else {
      view.routers[restarted].incarnation = 2;
    }
    views.push_back(std::move(view));
  }
  const double learn = MeanCpuSeconds(kRepeats, [&](int i) {
    ownership.LearnView(TimeAt(int64_t{10'000} * (i + 1)),
                        std::move(views[static_cast<size_t>(i)]));
  });
  report.Add("ownership: CPU of a view change, ms, against " + scale, scale, x, learn * kThousand);
}

void MeasurePlanner(uint32_t targets, CapacityReport& report) {
  const uint32_t services = targets / kReplicas;
  const auto config = std::make_shared<const Config>(*Config::Parse(SyntheticConfig(1, services)));
  const std::vector<TargetRecord> records = SyntheticTargets(targets);
  const int64_t heap = LiveHeapBytes();
  Planner planner;
  planner.SetConfig(config);
  planner.SetTargets(records);
  for (uint32_t i = kPlannedShards; i < services; ++i) {
    std::ignore = planner.PlanFor(SyntheticServiceName(i));
  }
  report.Add("planner: heap with a plan of 68 shards for each service, KB", kTargetScale, targets,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  TargetRecord changed = records[4];
  constexpr int kChanges = 200;
  const double change = MeanCpuSeconds(kChanges, [&](int) {
    ++changed.sequence;
    planner.Upsert(changed);
  });
  report.Add("planner: CPU of a directory change, us", kTargetScale, targets, change * kMillion);
  // Measures the first plan after a change; the plans of other services are built on their next
  // search.
  const double plan = MeanCpuSeconds(kChanges, [&](int i) {
    ++changed.sequence;
    planner.Upsert(changed);
    std::ignore =
        planner.PlanFor(SyntheticServiceName(kPlannedShards + static_cast<uint32_t>(i) % 100));
  });
  report.Add("planner: CPU of a plan of 68 shards after a change, us", kTargetScale, targets,
             (plan - change) * kMillion);
}

void MeasureConfig(uint32_t services, CapacityReport& report) {
  const std::string text = SyntheticConfig(1, services);
  const char* const scale = "services";
  report.Add("configuration: text, KB", scale, services, static_cast<double>(text.size()) / 1e3);
  const int64_t heap = LiveHeapBytes();
  const auto config = Config::Parse(text);
  report.Add("configuration: heap, KB", scale, services,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  const double parse = MeanCpuSeconds(kRepeats, [&](int) { std::ignore = Config::Parse(text); });
  report.Add("configuration: CPU of parsing, ms", scale, services, parse * kThousand);
}

}  // namespace

void MeasureRouter(CapacityReport& report) {
  for (const uint32_t targets : {675U, 1'350U, kPlannedTargets}) {
    MeasureDirectory(targets, report);
    MeasureOwnership(targets, kPlannedRouters, "targets at 480 routers", targets, report);
    MeasurePlanner(targets, report);
    MeasureConfig(targets / kReplicas, report);
  }
  for (const uint32_t routers : {60U, 120U, 240U, kPlannedRouters}) {
    MeasureOwnership(kPlannedTargets, routers, kRouterScale, routers, report);
  }
}

}  // namespace peridotgauge
