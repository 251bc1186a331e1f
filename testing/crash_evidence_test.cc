// Tests which lost attempts count as crashes. They guard against blaming a harmless request for a
// lost connection, and against overlooking a target that has ended.
#include "core/crash_evidence.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

constexpr uint64_t kRequest = 7;
const Time kStart{Seconds(1'000)};
const TargetCrash kLost{.service = "s", .target = "s/a", .incarnation = 3};
const TargetId kTarget{"s/a", 3};

TEST_CASE("a lost attempt", "[crash_evidence]") {
  CrashEvidence evidence;
  CHECK_FALSE(evidence.NextCheck());
  evidence.OnLost(kStart, kRequest, kLost);
  const Time due = kStart + kCrashCheckDelay;
  CHECK(evidence.NextCheck() == due);
  CHECK(evidence.TakeTargetsToCheck(due - Millis(1)).empty());

  SECTION("is a crash if its target has ended") {
    CHECK(evidence.TakeTargetsToCheck(due) == std::vector<TargetId>{kTarget});
    CHECK_FALSE(evidence.NextCheck());
    evidence.OnChecked(kTarget, /*ended=*/true);
    CHECK(evidence.TakeCrashes() == std::vector<LostAttempt>{{kRequest, kLost}});
    CHECK(evidence.Size() == 0);
  }
  SECTION("is none if only the connection was lost") {
    evidence.TakeTargetsToCheck(due);
    evidence.OnChecked(kTarget, /*ended=*/false);
    CHECK(evidence.TakeCrashes().empty());
    SECTION("unless another incarnation takes the target's place soon") {
      evidence.OnChecked(kTarget, /*ended=*/true);
      CHECK(evidence.TakeCrashes().size() == 1);
    }
    SECTION("and is forgotten after a time") {
      evidence.Expire(kStart + kCrashDoubtTime);
      CHECK(evidence.Size() == 0);
    }
  }
  SECTION("is none if the target leaves") {
    evidence.OnLeaving(kTarget);
    CHECK(evidence.Size() == 0);
  }
  SECTION("is none if a later send of the request is answered") {
    evidence.OnAnswered(kRequest, "s", kStart + Millis(1));
    CHECK(evidence.Size() == 0);
  }
  SECTION("is not excused by an answer") {
    SECTION("to an earlier send") { evidence.OnAnswered(kRequest, "s", kStart - Millis(1)); }
    SECTION("of another service") { evidence.OnAnswered(kRequest, "t", kStart + Millis(1)); }
    SECTION("to another request") { evidence.OnAnswered(kRequest + 1, "s", kStart + Millis(1)); }
    CHECK(evidence.Size() == 1);
  }
  SECTION("has the check of its target shared with others") {
    evidence.OnLost(kStart, kRequest + 1, kLost);
    CHECK(evidence.TakeTargetsToCheck(due).size() == 1);
    evidence.OnChecked(kTarget, /*ended=*/true);
    CHECK(evidence.TakeCrashes().size() == 2);
  }
}

TEST_CASE("the number of lost attempts that are kept is bounded", "[crash_evidence]") {
  CrashEvidence evidence;
  for (uint64_t i = 0; i < 2 * kMaxLostAttempts; ++i) evidence.OnLost(kStart, i, kLost);
  CHECK(evidence.Size() == kMaxLostAttempts);
}

}  // namespace
}  // namespace peridotgauge
