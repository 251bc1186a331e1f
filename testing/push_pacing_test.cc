// Guards against a leader whose work grows with the product of routers and changes.
#include "state/push_pacing.h"

#include <catch2/catch.hpp>
#include <vector>

#include "state/lease.h"

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(10'000);

// Returns the number of rounds that `changes` at a fixed interval cause.
int Rounds(size_t routers, int changes, Duration interval) {
  PushPacer pacer;
  int rounds = 0;
  for (int i = 0; i < changes; ++i) {
    rounds += pacer.TryStart(kStart + i * interval, routers) ? 1 : 0;
  }
  return rounds;
}

TEST_CASE("replies without a change", "[push_pacing]") {
  SECTION("a small fleet is polled at the shortest hold") {
    CHECK(MaxPollHold(9) == kMinPollHold);
    CHECK(PollHold(9, Seconds(60)) == kMinPollHold);
    CHECK(PollHold(9, Millis(100)) == Millis(100));
    CHECK(PollHold(9, Millis(-1)) == Duration(0));
  }
  SECTION("a large fleet shares a fixed rate of replies") {
    CHECK(MaxPollHold(300) == Millis(750));
    CHECK(MaxPollHold(100'000) == kMaxPollHold);
  }
  SECTION("two holds fit into a lease") { CHECK(2 * kMaxPollHold < kLeaseLength); }
}

TEST_CASE("rounds of pushes", "[push_pacing]") {
  SECTION("the first change is pushed at once, whatever the size") {
    for (const size_t routers : {0, 9, 191, 1'000}) {
      CHECK(PushPacer().TryStart(kStart, routers));
    }
  }
  SECTION("replies stay below the rate, at any size and any rate of changes") {
    constexpr int kChanges = 1'000;
    for (const size_t routers : {9, 60, 191, 300, 481}) {
      for (const Duration interval : {Millis(1), Millis(10), Millis(60)}) {
        const auto replies = static_cast<double>(Rounds(routers, kChanges, interval) * routers);
        const double seconds = kChanges * ToMillis(interval) / 1'000;
        CHECK(replies <= kPushesPerSecond * seconds + static_cast<double>(routers));
      }
    }
  }
  SECTION("a change waits less than a tenth of the time in which it has to be in force") {
    CHECK(PushInterval(481) < Millis(500));
  }
  SECTION("a reset lets the next change through") {
    PushPacer pacer;
    REQUIRE(pacer.TryStart(kStart, 300));
    CHECK_FALSE(pacer.TryStart(kStart + Millis(1), 300));
    pacer.Reset();
    CHECK(pacer.TryStart(kStart + Millis(2), 300));
  }
}

}  // namespace
}  // namespace peridotgauge
