// Tests which requests a stopping router accepts. They guard against requests that are accepted and
// then cut off by the end of the process, and against refusing what can still be served.
#include "core/drain_policy.h"

#include <catch2/catch.hpp>
#include <random>

namespace peridotgauge {
namespace {

constexpr Time kAnswerBy = TimeAt(10'000);

TEST_CASE("a stopping router with 5 s left", "[drain_policy]") {
  const Time now = TimeAt(5'000);
  SECTION("accepts a request that ends in time, whatever its kind") {
    for (const bool idempotent : {false, true}) {
      CHECK(DrainDeadline(now, kAnswerBy, {TimeAt(10'000), idempotent, {}}) == TimeAt(10'000));
    }
  }
  SECTION("asked for one that may take longer") {
    const Time deadline = TimeAt(10'001);
    SECTION("refuses it if it must not be repeated") {
      CHECK_FALSE(DrainDeadline(now, kAnswerBy, {deadline, false, Millis(10)}));
    }
    SECTION("refuses it if nothing is known about its latency") {
      CHECK_FALSE(DrainDeadline(now, kAnswerBy, {deadline, true, {}}));
    }
    SECTION("accepts it with a shorter deadline if such requests are fast") {
      CHECK(DrainDeadline(now, kAnswerBy, {deadline, true, Millis(2'500)}) == kAnswerBy);
      CHECK_FALSE(DrainDeadline(now, kAnswerBy, {deadline, true, Millis(2'501)}));
    }
  }
}

TEST_CASE("no accepted request has a deadline after the last answer", "[drain_policy]") {
  std::mt19937_64 random(1);
  const auto below = [&](int64_t n) {
    return std::uniform_int_distribution<int64_t>(0, n)(random);
  };
  for (int i = 0; i < 10'000; ++i) {
    const Time now = TimeAt(below(20'000));
    DrainCandidate request{.deadline = now + Millis(below(8'000)), .idempotent = below(1) == 0};
    if (below(1) == 0) request.slow_latency = Millis(below(4'000));
    const std::optional<Time> deadline = DrainDeadline(now, kAnswerBy, request);
    if (!deadline) continue;
    REQUIRE(*deadline <= kAnswerBy);
    REQUIRE(*deadline <= request.deadline);
    if (!request.idempotent) REQUIRE(*deadline == request.deadline);
  }
}

}  // namespace
}  // namespace peridotgauge
