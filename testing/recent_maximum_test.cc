// Tests of the highest value within a time span.
#include "core/recent_maximum.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <utility>
#include <vector>

namespace peridotgauge {
namespace {

constexpr Duration kSpan = Seconds(10);

TEST_CASE("a recent maximum", "[recent_maximum]") {
  RecentMaximum maximum(kSpan);
  const Time now = TimeAt(1'000);
  CHECK(maximum.Get(now) == 0);
  maximum.Set(now, 8);
  CHECK(maximum.Get(now) == 8);
  CHECK_FALSE(maximum.NextDecrease(now));
  SECTION("rises at once") {
    maximum.Set(now + Seconds(1), 9);
    CHECK(maximum.Get(now + Seconds(1)) == 9);
  }
  SECTION("falls after the span") {
    maximum.Set(now + Seconds(1), 7);
    CHECK(maximum.Get(now + Seconds(1)) == 8);
    CHECK(maximum.NextDecrease(now + Seconds(1)) == now + Seconds(11));
    CHECK(maximum.Get(now + Seconds(11)) == 7);
  }
}

// Compares with the definition.
TEST_CASE("a recent maximum is the highest value of the span", "[recent_maximum]") {
  std::mt19937_64 random(3);
  const auto below = [&](int64_t n) {
    return std::uniform_int_distribution<int64_t>(0, n)(random);
  };
  for (int round = 0; round < 50; ++round) {
    RecentMaximum maximum(kSpan);
    std::vector<std::pair<Time, size_t>> replaced;  // with the time of the replacement
    size_t current = 0;
    Time now = TimeAt(1'000);
    for (int step = 0; step < 200; ++step) {
      now += Duration(below(3'000'000));
      if (below(1) == 0) {
        const auto value = static_cast<size_t>(below(9));
        replaced.emplace_back(now, current);
        current = value;
        maximum.Set(now, value);
      }
      size_t expected = current;
      for (const auto& [at, value] : replaced) {
        if (now < at + kSpan) expected = std::max(expected, value);
      }
      REQUIRE(maximum.Get(now) == expected);
    }
  }
}

}  // namespace
}  // namespace peridotgauge
