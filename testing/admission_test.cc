// Tests of admission control. They guard against unbounded work, and against refusing requests that
// could be answered, for example because a missing shard delays every answer until its deadline.
#include "core/admission.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(1'000'000);

TEST_CASE("admission", "[admission]") {
  Admission admission(true);
  const auto answer = [&](Time now, Duration latency, bool complete) {
    CHECK(admission.Admit(now, "s", now + Seconds(10)));
    admission.OnFinished(now, "s", latency, complete);
  };
  SECTION("the number in progress is bounded") {
    for (uint32_t i = 0; i < kMaxSearches; ++i) {
      CHECK(admission.Admit(kStart, "s", kStart + Millis(1)));
    }
    CHECK(admission.Admit(kStart, "s", kStart + Millis(1)).error().code == ErrorCode::kOverloaded);
    admission.OnFinished(kStart, "s", Millis(1), true);
    CHECK(admission.Admit(kStart, "s", kStart + Millis(1)));
  }
  SECTION("a deadline shorter than nearly all recent answers is refused as not run") {
    for (int i = 0; i < 50; ++i) answer(kStart, Millis(100), true);
    const Result<void> refused = admission.Admit(kStart, "s", kStart + Millis(90));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().NotRun());
    CHECK(admission.Admit(kStart, "s", kStart + Millis(110)));
    CHECK(admission.Admit(kStart, "other", kStart + Millis(1)));
    SECTION("but one request in each probe interval is admitted") {
      const Time later = kStart + kAdmissionProbeInterval;
      CHECK(admission.Admit(later, "s", later + Millis(90)));
      CHECK_FALSE(admission.Admit(later, "s", later + Millis(90)));
    }
    SECTION("until the answers are older than the window") {
      const Time later = kStart + 2 * kAdmissionWindow;
      for (int i = 0; i < 5; ++i) CHECK(admission.Admit(later, "s", later + Millis(1)));
    }
  }
  SECTION("a deadline that some recent answers met is admitted") {
    for (int i = 0; i < 50; ++i) answer(kStart, i % 5 == 0 ? Millis(10) : Millis(100), true);
    CHECK(admission.Admit(kStart, "s", kStart + Millis(20)));
  }
  SECTION("partial answers do not count") {
    for (int i = 0; i < 50; ++i) answer(kStart, Millis(200), false);
    CHECK(admission.Admit(kStart, "s", kStart + Millis(200)));
    CHECK_FALSE(admission.Estimate(kStart, "s"));
  }
  SECTION("a request after its deadline is refused") {
    CHECK_FALSE(admission.Admit(kStart, "s", kStart));
  }
  SECTION("without estimates only the number is limited") {
    Admission bound(false);
    for (int i = 0; i < 50; ++i) bound.OnFinished(kStart, "s", Seconds(1), true);
    CHECK(bound.Admit(kStart, "s", kStart + Millis(1)));
  }
}

}  // namespace
}  // namespace peridotgauge
