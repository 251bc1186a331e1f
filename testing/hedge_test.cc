// Tests of the hedge delay and the budget: guards against more extra load than the fleet allows and
// against hedging that goes on while the fleet is overloaded.
#include "../hedge.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace peridotgauge {
namespace {

Config MakeConfig(uint32_t percent) {
  auto config = Config::Parse(R"({"revision":1,"fleets":{"f":{"slots":2,"connections":4,)"
                              R"("hedge_percent":)" +
                              std::to_string(percent) + R"(}},"services":{"s":{"fleet":"f"}}})");
  REQUIRE(config);
  return *config;
}

HedgeBudget MakeBudget(uint32_t percent) {
  HedgeBudget budget;
  budget.SetConfig(MakeConfig(percent));
  return budget;
}

TEST_CASE("hedge delay", "[hedge]") {
  HedgeBudget budget = MakeBudget(5);
  SECTION("there is none before enough samples are known") {
    CHECK_FALSE(budget.HedgeDelay(TimeAt(0), "f"));
  }
  SECTION("it is the 95th percentile of the attempts") {
    for (int i = 1; i <= 1000; ++i) budget.OnReply(TimeAt(i), "f", {.latency = Millis(i)});
    const auto delay = budget.HedgeDelay(TimeAt(2000), "f");
    REQUIRE(delay);
    CHECK(*delay >= Millis(950));
    CHECK(*delay <= Millis(1003));
  }
  SECTION("a fleet without a budget gets none") {
    HedgeBudget none = MakeBudget(0);
    for (int i = 1; i <= 1000; ++i) none.OnReply(TimeAt(i), "f", {.latency = Millis(5)});
    CHECK_FALSE(none.HedgeDelay(TimeAt(2000), "f"));
  }
}

TEST_CASE("hedge budget never exceeds its share", "[hedge]") {
  CHECK(rc::check("grants <= percent x needed + burst", [] {
    const auto percent = *rc::gen::inRange<uint32_t>(0, 21);
    HedgeBudget budget = MakeBudget(percent);
    double needed = 0;
    double granted = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    int64_t now = 0;
    for (int step : steps) {
      now += step;
      if (step < 3) {
        budget.CountNeeded(TimeAt(now), "f", 10);
        needed += 10;
      } else if (budget.Spend(TimeAt(now), "f",
                              step == 3 ? ExtraKind::kRetry : ExtraKind::kHedge)) {
        granted += 1;
      }
      RC_ASSERT(granted <= needed * percent / 100 + kBudgetBurst + 1e-6);
    }
  }));
}

TEST_CASE("hedge budget in special situations", "[hedge]") {
  HedgeBudget budget = MakeBudget(5);
  SECTION("nothing is granted while the fleet is overloaded") {
    for (int i = 0; i < 100; ++i) budget.OnReply(TimeAt(i), "f", {.refused = i % 2 == 0});
    CHECK(budget.Overloaded(TimeAt(100), "f"));
    CHECK_FALSE(budget.Spend(TimeAt(100), "f", ExtraKind::kHedge));
    CHECK_FALSE(budget.Spend(TimeAt(100), "f", ExtraKind::kLastChance));
    SECTION("and the overload is forgotten") {
      CHECK(budget.Spend(TimeAt(20'000), "f", ExtraKind::kHedge));
    }
  }
  SECTION("long queues are overload, too") {
    for (int i = 0; i < 100; ++i) {
      budget.OnReply(TimeAt(i), "f", {.queue_time = Millis(9), .service_time = Millis(5)});
    }
    CHECK(budget.Overloaded(TimeAt(100), "f"));
  }
  SECTION("last chances are granted on an empty budget, up to a debt") {
    int hedges = 0;
    while (budget.Spend(TimeAt(0), "f", ExtraKind::kHedge)) ++hedges;
    CHECK(hedges == static_cast<int>(kBudgetBurst));
    int chances = 0;
    while (budget.Spend(TimeAt(0), "f", ExtraKind::kLastChance)) ++chances;
    CHECK(chances == static_cast<int>(kMaxDebt));
    CHECK_FALSE(budget.Spend(TimeAt(0), "f", ExtraKind::kHedge));
  }
  SECTION("a new configuration keeps the tokens") {
    while (budget.Spend(TimeAt(0), "f", ExtraKind::kHedge)) {
    }
    budget.SetConfig(MakeConfig(7));
    CHECK_FALSE(budget.Spend(TimeAt(0), "f", ExtraKind::kHedge));
  }
}

}  // namespace
}  // namespace peridotgauge
