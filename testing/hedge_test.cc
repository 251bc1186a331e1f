// Tests of the hedge budget. They guard against extra load above the configured share, and against
// hedges that add load to an overloaded fleet.
#include "core/hedge.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(1'000'000);

Config WithPercent(int percent) {
  return *Config::Parse(R"({"revision":1,"services":{},"fleets":{"f":{"hedge_percent":)" +
                        std::to_string(percent) + "}}}");
}

TEST_CASE("the budget grants at most its percentage plus the burst", "[hedge]") {
  CHECK(rc::check("in any order of events", [] {
    const int percent = *rc::gen::inRange(0, 101);
    HedgeBudget budget;
    budget.SetConfig(kStart, WithPercent(percent));
    uint64_t needed = 0;
    uint64_t granted = 0;
    for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
      if (*rc::gen::arbitrary<bool>()) {
        const auto count = *rc::gen::inRange<uint32_t>(0, 100);
        budget.CountNeeded(kStart, "f", count);
        needed += count;
      } else {
        const bool hedge = *rc::gen::arbitrary<bool>();
        while (budget.Spend(kStart, "f",
                            hedge ? ExtraAttemptKind::kHedge : ExtraAttemptKind::kRetry)) {
          ++granted;
        }
      }
      RC_ASSERT(double(granted) <= double(needed) * percent / 100 + kBudgetBurst + 1e-6);
      RC_ASSERT(percent > 0 || granted == 0);
    }
  }));
}

TEST_CASE("hedge budget", "[hedge]") {
  HedgeBudget budget;
  budget.SetConfig(kStart, WithPercent(5));
  SECTION("an overdraft retry is granted on an empty budget and leaves a bounded debt") {
    while (budget.Spend(kStart, "f", ExtraAttemptKind::kRetry)) continue;
    for (int i = 0; i < 1'000; ++i) {
      CHECK(budget.Spend(kStart, "f", ExtraAttemptKind::kOverdraftRetry));
    }
    CHECK(budget.Tokens("f") == -kMaxDebt);
    budget.CountNeeded(kStart, "f", 1'000);
    CHECK_FALSE(budget.Spend(kStart, "f", ExtraAttemptKind::kHedge));
  }
  SECTION("max_debt 0 denies overdrafts, and retry_in_overload grants retries in overload") {
    HedgeBudget strict({.burst = 2, .max_debt = 0, .retry_in_overload = true});
    strict.SetShares(kStart, {{"f", 0.1}});
    for (int i = 0; i < 20; ++i) strict.OnReply(kStart, "f", {.refused = true});
    CHECK_FALSE(strict.Spend(kStart, "f", ExtraAttemptKind::kHedge));
    CHECK(strict.Spend(kStart, "f", ExtraAttemptKind::kRetry));
    CHECK(strict.Spend(kStart, "f", ExtraAttemptKind::kRetry));
    CHECK_FALSE(strict.Spend(kStart, "f", ExtraAttemptKind::kOverdraftRetry));
    strict.CountNeeded(kStart, "f", 10);
    CHECK(strict.Spend(kStart, "f", ExtraAttemptKind::kRetry));
    CHECK_FALSE(strict.Spend(kStart, "f", ExtraAttemptKind::kRetry));
  }
  SECTION("an overloaded fleet gets nothing, and recovers") {
    for (int i = 0; i < 20; ++i) budget.OnReply(kStart, "f", {.refused = i % 4 == 0});
    CHECK(budget.Overloaded(kStart, "f"));
    for (ExtraAttemptKind kind :
         {ExtraAttemptKind::kHedge, ExtraAttemptKind::kRetry, ExtraAttemptKind::kOverdraftRetry}) {
      CHECK_FALSE(budget.Spend(kStart, "f", kind));
    }
    CHECK(budget.Spend(kStart + Seconds(5), "f", ExtraAttemptKind::kHedge));
  }
  SECTION("a fleet is overloaded if requests queue for longer than they are served") {
    for (int i = 0; i < 20; ++i) {
      budget.OnReply(kStart, "f", {.queue_time = Millis(1), .service_time = Millis(2)});
    }
    CHECK_FALSE(budget.Overloaded(kStart, "f"));
    for (int i = 0; i < 20; ++i) {
      budget.OnReply(kStart, "f", {.queue_time = Millis(3), .service_time = Millis(2)});
    }
    CHECK(budget.Overloaded(kStart, "f"));
  }
  SECTION("a new configuration keeps budgets; unknown fleets get nothing") {
    while (budget.Spend(kStart, "f", ExtraAttemptKind::kRetry)) continue;
    budget.SetConfig(kStart, WithPercent(50));
    CHECK(budget.Tokens("f") < 1);
    CHECK_FALSE(budget.Spend(kStart, "g", ExtraAttemptKind::kOverdraftRetry));
    CHECK_FALSE(budget.HedgeDelay(kStart, "g"));
  }
}

// Guards against a limit that starts anew with a fleet that comes back.
TEST_CASE("a fleet that a configuration leaves out for a moment", "[hedge]") {
  const Duration window = GENERATE(Duration(0), Seconds(10));
  CAPTURE(window.count());
  HedgeBudget budget({.burst = 5, .max_debt = 0, .window = window});
  const auto retry = [&](Time now) { return budget.Spend(now, "f", ExtraAttemptKind::kRetry); };
  budget.SetShares(kStart, {{"f", 0.1}});
  while (retry(kStart)) continue;
  budget.SetShares(kStart + Seconds(1), {{"g", 0.1}});
  CHECK_FALSE(budget.Spend(kStart + Seconds(1), "f", ExtraAttemptKind::kOverdraftRetry));
  SECTION("has what it had before") {
    budget.SetShares(kStart + Seconds(2), {{"f", 0.1}});
    CHECK_FALSE(retry(kStart + Seconds(2)));
  }
  SECTION("starts anew after a long time") {
    budget.SetShares(kStart + Seconds(90), {{"g", 0.1}});
    budget.SetShares(kStart + Seconds(91), {{"f", 0.1}});
    CHECK(retry(kStart + Seconds(91)));
  }
  SECTION("has debts that are inherited meanwhile") {
    HedgeBudget successor({.burst = 5, .max_debt = 0, .window = Seconds(10)});
    successor.SetShares(kStart, {{"g", 0.1}});
    successor.Inherit(kStart, {{"f", 5}});
    successor.SetShares(kStart + Seconds(1), {{"f", 0.1}});
    CHECK_FALSE(successor.Spend(kStart + Seconds(1), "f", ExtraAttemptKind::kRetry));
  }
}

TEST_CASE("hedge delay", "[hedge]") {
  CHECK(rc::check("agrees with the sorted latencies", [] {
    HedgeBudget budget;
    budget.SetConfig(kStart, WithPercent(5));
    std::vector<int64_t> sorted;
    const int count = *rc::gen::inRange(0, 300);
    for (int i = 0; i < count; ++i) {
      sorted.push_back(*rc::gen::inRange<int64_t>(2'000, 1'000'000));
      budget.OnReply(kStart, "f", {.latency = Duration(sorted.back())});
    }
    const std::optional<Duration> delay = budget.HedgeDelay(kStart, "f");
    RC_ASSERT(delay.has_value() == (sorted.size() >= kHedgeMinSamples));
    if (!delay) return;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<size_t>(std::ceil(kHedgeQuantile * double(sorted.size())));
    const auto exact = double(sorted[rank - 1]);
    RC_ASSERT(double(delay->count()) >= exact);
    RC_ASSERT(double(delay->count()) <= exact * (1 + kQuantileError) + 1);
  }));
}

}  // namespace
}  // namespace peridotgauge
