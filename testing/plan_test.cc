// Tests of the planner. They guard against a query that mixes snapshots or layouts, a query to a
// target that does not serve, and a plan that is used after the directory has changed.
#include "core/plan.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "search_fakes.h"

namespace peridotgauge {
namespace {

constexpr std::string_view kText = R"({"revision": 1,
  "fleets": {"desk": {}, "archive": {}},
  "services": {
    "a": {"fleet": "desk", "shards": 2, "depends_on": ["b", "x"], "deadline_ms": 300,
          "soft_deadline_ms": 100, "prefer": "latency"},
    "b": {"fleet": "desk", "shards": 3},
    "x": {"fleet": "archive", "shards": 2},
    "other": {"fleet": "desk", "shards": 1}}})";

std::shared_ptr<const Config> TestConfig() {
  Result<Config> config = Config::Parse(kText);
  REQUIRE(config);
  return std::make_shared<const Config>(std::move(*config));
}

std::vector<std::string> Names(Candidates candidates) {
  std::vector<std::string> names;
  for (const TargetRecord* target : candidates) names.push_back(target->target);
  return names;
}

// Returns the plan as text: fleets with snapshots, then each shard with its candidates.
std::string Describe(const Plan& plan) {
  std::string out;
  for (const PlannedFleet& fleet : plan.fleets) {
    out += fleet.name + "@" + (fleet.snapshot ? std::to_string(*fleet.snapshot) : "none") + " ";
  }
  for (uint32_t i = 0; i < plan.shards.size(); ++i) {
    const PlannedService& service = plan.ServiceOf(i);
    out += service.name + "/" + std::to_string(plan.shards[i].shard) + "of" +
           std::to_string(service.shards) + ":";
    for (const std::string& name : Names(plan.shards[i].candidates)) out += name + ",";
    out += " ";
  }
  return out;
}

bool Holds(const TargetRecord& target, const std::string& service, const Holding& holding) {
  return target.state == TargetState::kServing && target.service == service &&
         std::count(target.holds.begin(), target.holds.end(), holding) > 0;
}

std::set<std::string> ReferenceHolders(const std::vector<TargetRecord>& targets,
                                       const std::string& service, const Holding& holding) {
  std::set<std::string> names;
  for (const TargetRecord& target : targets) {
    if (Holds(target, service, holding)) names.insert(target.target);
  }
  return names;
}

// Reference model of the planner: tries every snapshot and layout and scans all targets each time.
std::string ReferencePlan(const Config& config, const std::vector<TargetRecord>& targets,
                          const std::string& root, uint64_t max_snapshot, uint32_t max_shards) {
  struct Choice {
    uint32_t shards = 0;
    uint32_t covered = 0;
  };
  const auto best_layout = [&](const Service& service, uint64_t snapshot) {
    Choice best;
    for (uint32_t shards = 1; shards <= max_shards; ++shards) {
      uint32_t covered = 0;
      for (uint32_t s = 0; s < shards; ++s) {
        covered += !ReferenceHolders(targets, service.name, {snapshot, s, shards}).empty();
      }
      if (covered == 0) continue;
      if (best.shards == 0 || covered * best.shards >= best.covered * shards) {
        best = {shards, covered};
      }
    }
    return best.shards == 0 ? Choice{service.shards, 0} : best;
  };
  std::set<std::string> fleets;
  for (const Service* service : config.DependencyClosure(root)) fleets.insert(service->fleet);
  std::map<std::string, uint64_t> pinned;
  std::string out;
  for (const std::string& fleet : fleets) {
    double best = 0;
    for (uint64_t snapshot = 1; snapshot <= max_snapshot; ++snapshot) {
      double covered = 0;
      double total = 0;
      for (const Service* service : config.DependencyClosure(root)) {
        if (service->fleet != fleet) continue;
        covered += best_layout(*service, snapshot).covered;
        total += best_layout(*service, snapshot).shards;
      }
      if (covered > 0 && covered / total >= best - 1e-9) {
        best = covered / total;
        pinned[fleet] = snapshot;
      }
    }
    out += fleet + "@" + (pinned.contains(fleet) ? std::to_string(pinned[fleet]) : "none") + " ";
  }
  for (const Service* service : config.DependencyClosure(root)) {
    const bool has = pinned.contains(service->fleet);
    const uint64_t snapshot = has ? pinned[service->fleet] : 0;
    const Choice choice = best_layout(*service, snapshot);
    for (uint32_t s = 0; s < choice.shards; ++s) {
      out += service->name + "/" + std::to_string(s) + "of" + std::to_string(choice.shards) + ":";
      for (const std::string& name :
           ReferenceHolders(targets, service->name, {snapshot, s, choice.shards})) {
        out += name + ",";
      }
      out += " ";
    }
  }
  return out;
}

TargetRecord RandomTarget(const std::string& name) {
  const auto service = *rc::gen::element<std::string>("a", "b", "x", "other");
  const auto state = *rc::gen::element(TargetState::kServing, TargetState::kServing,
                                       TargetState::kServing, TargetState::kDraining);
  std::vector<Holding> holds;
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    const auto shards = *rc::gen::inRange<uint32_t>(1, 4);
    // A shard number equal to `shards` is invalid, and the planner must ignore it.
    holds.push_back(
        {*rc::gen::inRange<uint64_t>(1, 4), *rc::gen::inRange<uint32_t>(0, shards + 1), shards});
  }
  return MakeTarget(name, service, holds, state);
}

TEST_CASE("the plan equals the reference plan after changes of the directory", "[plan]") {
  const auto config = TestConfig();
  CHECK(rc::check([&] {
    Planner planner;
    planner.SetConfig(config);
    std::map<std::string, TargetRecord> known;
    const int changes = *rc::gen::inRange(1, 25);
    for (int i = 0; i < changes; ++i) {
      const std::string name = "t" + std::to_string(*rc::gen::inRange(0, 10));
      if (*rc::gen::inRange(0, 5) == 0) {
        planner.Remove(name);
        known.erase(name);
      } else {
        known[name] = RandomTarget(name);
        planner.Upsert(known[name]);
      }
      std::vector<TargetRecord> targets;
      targets.reserve(known.size());
      for (const auto& [key, record] : known) targets.push_back(record);
      const auto plan = planner.PlanFor("a");
      RC_ASSERT(plan.has_value());
      RC_ASSERT(Describe(**plan) == ReferencePlan(*config, targets, "a", 3, 3));
      RC_ASSERT(planner.PlanFor("a")->get() == plan->get());
    }
  }));
}

TEST_CASE("plan of a service", "[plan]") {
  Planner planner;
  planner.SetConfig(TestConfig());

  SECTION("an unknown service is refused") {
    CHECK(planner.PlanFor("nothing").error().code == ErrorCode::kNotFound);
  }
  SECTION("the deadlines and the preference are those of the searched service") {
    const auto plan = *planner.PlanFor("a");
    CHECK(plan->deadline == Millis(300));
    CHECK(plan->soft_deadline == Millis(100));
    CHECK(plan->prefer == Preference::kLatency);
    CHECK(plan->revision == 1);
    SECTION("and without targets the number of shards is taken from the configuration") {
      CHECK(plan->shards.size() == 7);
      CHECK_FALSE(plan->fleets[0].snapshot);
    }
  }
  SECTION("a repartition in progress does not hide a complete older layout") {
    for (uint32_t s = 0; s < 4; ++s) {
      planner.Upsert(MakeTarget("old" + std::to_string(s), "x", {{11, s, 4}}));
    }
    for (uint32_t s = 0; s < 5; ++s) {
      planner.Upsert(MakeTarget("new" + std::to_string(s), "x", {{12, s, 8}}));
    }
    CHECK((*planner.PlanFor("x"))->fleets[0].snapshot == 11);
    SECTION("and the newer one is used as soon as it is complete") {
      const auto before = *planner.PlanFor("x");
      for (uint32_t s = 5; s < 8; ++s) {
        planner.Upsert(MakeTarget("new" + std::to_string(s), "x", {{12, s, 8}}));
      }
      CHECK((*planner.PlanFor("x"))->fleets[0].snapshot == 12);
      SECTION("while an earlier plan keeps its targets, even after they were removed") {
        planner.SetTargets({});
        CHECK(Describe(*before) ==
              "archive@11 x/0of4:old0, x/1of4:old1, x/2of4:old2, x/3of4:old3, ");
      }
    }
  }
  SECTION("only serving targets can get orders") {
    planner.Upsert(MakeTarget("t1", "b", {{1, 0, 1}}));
    planner.Upsert(MakeTarget("t2", "b", {{1, 0, 1}}, TargetState::kDraining));
    CHECK(Names(planner.TargetsOf("b")->Serving()) == std::vector<std::string>{"t1"});
    CHECK(planner.TargetsOf("nothing")->Serving().empty());
  }
}

}  // namespace
}  // namespace peridotgauge
