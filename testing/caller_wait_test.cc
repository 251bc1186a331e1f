// Tests of the estimate of how long callers have waited. They guard against an answer that is ready
// before the deadline but reaches a caller that had to connect first too late.
#include "core/caller_wait.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(10'000);

TEST_CASE("callers with less remaining time than others have waited", "[caller_wait]") {
  CallerWaitEstimator window;
  CHECK(window.Elapsed(kStart, Millis(482)) == Duration(0));  // nothing to compare with
  CHECK(window.Elapsed(kStart, Millis(500)) == Duration(0));
  CHECK(window.Elapsed(kStart, Millis(482)) == Millis(18));
  SECTION("also in the next period, before a caller that has not waited") {
    CHECK(window.Elapsed(kStart + kCallerWaitPeriod, Millis(490)) == Millis(10));
  }
  SECTION("but a maximum that no caller reaches any more expires") {
    CHECK(window.Elapsed(kStart + kCallerWaitPeriod, Millis(300)) == Millis(200));
    CHECK(window.Elapsed(kStart + 2 * kCallerWaitPeriod, Millis(300)) == Duration(0));
  }
  SECTION("and requests before a long gap do not count") {
    CHECK(window.Elapsed(kStart + 5 * kCallerWaitPeriod, Millis(300)) == Duration(0));
  }
}

}  // namespace
}  // namespace peridotgauge
