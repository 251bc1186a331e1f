// Tests of the time that callers have spent: guards against an answer that is ready in time and
// reaches a caller that had to connect first too late.
#include "core/caller_wait.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(10'000);

TEST_CASE("callers that wait less have waited before", "[caller_wait]") {
  CallerWaitEstimator window;
  CHECK(window.Elapsed(kStart, Millis(482)) == Duration(0));  // nothing to compare with
  CHECK(window.Elapsed(kStart, Millis(500)) == Duration(0));
  CHECK(window.Elapsed(kStart, Millis(482)) == Millis(18));
  SECTION("also in the next period, before the first patient caller") {
    CHECK(window.Elapsed(kStart + kCallerWaitPeriod, Millis(490)) == Millis(10));
  }
  SECTION("but a remaining that no caller has any more is forgotten") {
    CHECK(window.Elapsed(kStart + kCallerWaitPeriod, Millis(300)) == Millis(200));
    CHECK(window.Elapsed(kStart + 2 * kCallerWaitPeriod, Millis(300)) == Duration(0));
  }
  SECTION("and nothing of before a long pause counts") {
    CHECK(window.Elapsed(kStart + 5 * kCallerWaitPeriod, Millis(300)) == Duration(0));
  }
}

}  // namespace
}  // namespace peridotgauge
