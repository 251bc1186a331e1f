// The router's control share in the core: directory copy, ownership, planner, configuration.
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

constexpr double kMicro = 1e6;
constexpr double kMilli = 1e3;
constexpr int kRepeats = 10;
const char* const kTargetScale = "targets";
const char* const kRouterScale = "routers at 2,700 targets";

// CPU seconds of one call, as a mean.
template <typename Function>
double CpuOf(int repeats, Function function) {
  const double start = ThreadCpuSeconds();
  for (int i = 0; i < repeats; ++i) function(i);
  return (ThreadCpuSeconds() - start) / repeats;
}

DirectoryDelta FullDelta(uint32_t targets) {
  DirectoryDelta delta{.epoch = 1, .version = targets, .full = true};
  delta.targets = ModelTargets(targets);
  for (const TargetRecord& record : delta.targets) delta.digest += DigestOf(record);
  return delta;
}

void MeasureDirectory(uint32_t targets, CapacityReport& report) {
  DirectoryDelta delta = FullDelta(targets);
  const int64_t heap = LiveHeapBytes();
  DirectoryCopy copy;
  const double full = CpuOf(1, [&](int) { copy.Apply(delta); });
  report.Add("directory copy: heap, KB", kTargetScale, targets,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  report.Add("directory copy: CPU of a full resend, ms", kTargetScale, targets, full * kMilli);
  DirectoryDelta change{.epoch = 1, .version = delta.version, .digest = delta.digest};
  change.targets = {delta.targets[7]};
  const double one = CpuOf(1'000, [&](int) {
    change.digest -= DigestOf(change.targets[0]);
    ++change.targets[0].sequence;
    change.targets[0].slots ^= 1U;
    change.digest += DigestOf(change.targets[0]);
    ++change.version;
    copy.Apply(change);
  });
  report.Add("directory copy: CPU of a change, us", kTargetScale, targets, one * kMicro);
}

// A view without one router and the view with its next incarnation, in turn: a restart.
void MeasureOwnership(uint32_t targets, uint32_t routers, const std::string& scale, double x,
                      CapacityReport& report) {
  const int64_t heap = LiveHeapBytes();
  Ownership ownership({.id = ModelRouter(0).id, .incarnation = 1}, Routing::kOwner);
  ownership.LearnView(TimeAt(0), {.index = 1, .routers = ModelRouters(routers)});
  const double add = CpuOf(1, [&](int) {
    for (const TargetRecord& target : ModelTargets(targets)) {
      ownership.UpsertTarget(TimeAt(1), target.target, target.data_centre);
    }
  });
  report.Add("ownership: heap, KB, against " + scale, scale, x,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  report.Add("ownership: CPU of adding all targets, ms, against " + scale, scale, x, add * kMilli);
  std::vector<RouterView> views;
  for (int i = 0; i < kRepeats; ++i) {
    RouterView view{.index = static_cast<uint64_t>(i) + 2, .routers = ModelRouters(routers)};
    const uint32_t restarted = 1 + static_cast<uint32_t>(i / 2);
    if (i % 2 == 0) {
      view.routers.erase(view.routers.begin() + restarted);
    } else {
      view.routers[restarted].incarnation = 2;
    }
    views.push_back(std::move(view));
  }
  const double learn = CpuOf(kRepeats, [&](int i) {
    ownership.LearnView(TimeAt(int64_t{10'000} * (i + 1)),
                        std::move(views[static_cast<size_t>(i)]));
  });
  report.Add("ownership: CPU of a view change, ms, against " + scale, scale, x, learn * kMilli);
}

void MeasurePlanner(uint32_t targets, CapacityReport& report) {
  const uint32_t services = targets / kReplicas;
  const auto config = std::make_shared<const Config>(*Config::Parse(ModelConfig(1, services)));
  const std::vector<TargetRecord> records = ModelTargets(targets);
  const int64_t heap = LiveHeapBytes();
  Planner planner;
  planner.SetConfig(config);
  planner.SetTargets(records);
  for (uint32_t i = kPlannedShards; i < services; ++i) {
    std::ignore = planner.PlanFor(ModelService(i));
  }
  report.Add("planner: heap with a plan of 68 shards for each service, KB", kTargetScale, targets,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  TargetRecord changed = records[4];
  constexpr int kChanges = 200;
  const double change = CpuOf(kChanges, [&](int) {
    ++changed.sequence;
    planner.Upsert(changed);
  });
  report.Add("planner: CPU of a directory change, us", kTargetScale, targets, change * kMicro);
  // The first plan after a change; the others are built when they are searched.
  const double plan = CpuOf(kChanges, [&](int i) {
    ++changed.sequence;
    planner.Upsert(changed);
    std::ignore = planner.PlanFor(ModelService(kPlannedShards + static_cast<uint32_t>(i) % 100));
  });
  report.Add("planner: CPU of a plan of 68 shards after a change, us", kTargetScale, targets,
             (plan - change) * kMicro);
}

void MeasureConfig(uint32_t services, CapacityReport& report) {
  const std::string text = ModelConfig(1, services);
  const char* const scale = "services";
  report.Add("configuration: text, KB", scale, services, static_cast<double>(text.size()) / 1e3);
  const int64_t heap = LiveHeapBytes();
  const auto config = Config::Parse(text);
  report.Add("configuration: heap, KB", scale, services,
             static_cast<double>(LiveHeapBytes() - heap) / 1e3);
  const double parse = CpuOf(kRepeats, [&](int) { std::ignore = Config::Parse(text); });
  report.Add("configuration: CPU of parsing, ms", scale, services, parse * kMilli);
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
