// Tests of the sliding window limit. They guard against more hedges and retries in any interval
// than the operators allow, and against losing the unused share of seconds with low load.
#include "core/sliding_window_limit.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace peridotgauge {
namespace {

constexpr Duration kLength = Seconds(10);
constexpr double kRatio = 0.2;
constexpr double kSlack = 5;

TEST_CASE("a sliding limit", "[sliding_window_limit]") {
  SlidingWindowLimit window(kLength);
  Time now = TimeAt(20'000);
  const auto grants = [&](int wanted, double share = 1) {
    int granted = 0;
    for (int i = 0; i < wanted; ++i) granted += window.Spend(now, kRatio, kSlack, share) ? 1 : 0;
    return granted;
  };
  SECTION("grants the slack at first") { CHECK(grants(100) == 5); }
  SECTION("grants the unused share of the window") {
    for (int second = 0; second < 9; ++second, now += Seconds(1)) window.CountNeeded(now, 10);
    CHECK(grants(100) == 23);
    SECTION("once") {
      now += Seconds(2);
      CHECK(grants(100) == 0);
    }
    SECTION("until the window has passed") {
      now += Seconds(12);
      CHECK(grants(100) == 5);
    }
  }
  SECTION("reserves the rest of the limit if given a share") {
    for (int second = 0; second < 9; ++second, now += Seconds(1)) window.CountNeeded(now, 10);
    CHECK(grants(100, 0.5) == 11);
    CHECK(grants(100) == 12);
  }
}

// Compares random events with the definition, using the time of each. Every `restarts`-th event, on
// average, the limit is replaced by a successor that inherits its debt; 0: never.
void CheckRandomEvents(uint64_t seed, int64_t restarts) {
  std::mt19937_64 random(seed);
  const auto below = [&](int64_t n) {
    return std::uniform_int_distribution<int64_t>(0, n)(random);
  };
  for (int round = 0; round < 20; ++round) {
    SlidingWindowLimit window(kLength);
    std::deque<Time> needed;
    std::deque<Time> granted;
    Time now = TimeAt(20'000 + below(5'000));
    for (int event = 0; event < 2'000; ++event) {
      now += Duration(below(below(50) == 0 ? 5'000'000 : 20'000));
      while (!needed.empty() && needed.front() <= now - kLength) needed.pop_front();
      while (!granted.empty() && granted.front() <= now - kLength) granted.pop_front();
      if (restarts > 0 && below(restarts) == 0) {
        const double debt = window.Debt(now, kRatio);
        now += Duration(below(500'000));
        window = SlidingWindowLimit(kLength);
        window.Inherit(now, debt);
      } else if (below(1) == 0) {
        window.CountNeeded(now, 1);
        needed.push_back(now);
      } else if (window.Spend(now, kRatio, kSlack)) {
        granted.push_back(now);
        REQUIRE(static_cast<double>(granted.size()) <=
                kRatio * static_cast<double>(needed.size()) + kSlack);
      }
    }
  }
}

TEST_CASE("no interval has more grants than the limit", "[sliding_window_limit]") {
  CheckRandomEvents(1, 0);
}

// Guards against a limit that a restart doubles.
TEST_CASE("a successor that inherits the debt keeps the limit", "[sliding_window_limit]") {
  CheckRandomEvents(2, 100);
}

TEST_CASE("the debt of a sliding limit", "[sliding_window_limit]") {
  SlidingWindowLimit window(kLength);
  const Time now = TimeAt(20'000);
  SECTION("is 0 without grants") {
    window.CountNeeded(now, 100);
    CHECK(window.Debt(now, kRatio) == 0);
  }
  SECTION("is what the grants exceed the ratio by") {
    window.CountNeeded(now - Seconds(3), 10);
    for (int i = 0; i < 4; ++i) REQUIRE(window.Spend(now, kRatio, kSlack));
    window.CountNeeded(now + Seconds(2), 10);
    CHECK(window.Debt(now + Seconds(2), kRatio) == Approx(4 - kRatio * 10));
    SECTION("until the window has passed") { CHECK(window.Debt(now + Seconds(12), kRatio) == 0); }
  }
}

}  // namespace
}  // namespace peridotgauge
