// Tests of admission: guards against searches that are accepted although they cannot be answered in
// time, and against a service that is locked out by an old estimate.
#include "../admission.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

void Finish(Admission& admission, Time now, Duration latency, int times, bool complete = true) {
  for (int i = 0; i < times; ++i) {
    REQUIRE(admission.Admit(now, "s", now + Seconds(100)));
    admission.OnFinished(now, "s", latency, complete);
  }
}

TEST_CASE("admission", "[admission]") {
  Admission admission(true);
  const Time now = TimeAt(1000);
  SECTION("the number in progress is bounded") {
    for (uint32_t i = 0; i < kMaxSearches; ++i)
      REQUIRE(admission.Admit(now, "s", now + Seconds(1)));
    const auto refused = admission.Admit(now, "s", now + Seconds(1));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kOverloaded);
    CHECK(refused.error().NotRun());
    SECTION("and a finished one makes room") {
      admission.OnFinished(now, "s", Millis(5), true);
      CHECK(admission.Admit(now, "s", now + Seconds(1)));
    }
  }
  SECTION("a deadline that has passed is refused") { CHECK_FALSE(admission.Admit(now, "s", now)); }
  SECTION("a deadline below nearly all recent answers is refused") {
    Finish(admission, now, Millis(50), 30);
    CHECK_FALSE(admission.Admit(now, "s", now + Millis(20)));
    CHECK(admission.Admit(now, "s", now + Millis(60)));
    SECTION("but a probe is admitted now and then") {
      const Time later = now + kAdmissionProbeInterval;
      CHECK(admission.Admit(later, "s", later + Millis(20)));
      CHECK_FALSE(admission.Admit(later, "s", later + Millis(20)));
    }
    SECTION("and another service is not affected") {
      CHECK(admission.Admit(now, "t", now + Millis(20)));
    }
  }
  SECTION("partial answers, which last until their deadline, do not count") {
    Finish(admission, now, Millis(50), 30, false);
    CHECK(admission.Admit(now, "s", now + Millis(20)));
  }
  SECTION("without the estimate only the bound holds") {
    Admission plain(false);
    Finish(plain, now, Millis(50), 30);
    CHECK(plain.Admit(now, "s", now + Millis(1)));
  }
}

}  // namespace
}  // namespace peridotgauge
