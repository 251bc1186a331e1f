// Tests of the quarantine. They guard against a crashing request that reaches new targets by being
// resent, against blocking requests that crash nothing, and against unbounded memory.
#include "core/quarantine.h"

#include <catch2/catch.hpp>

#include "search_fakes.h"

namespace peridotgauge {
namespace {

const TargetRecord kFirst = MakeTarget("a/1", "a", {});
const TargetRecord kSecond = MakeTarget("a/2", "a", {});

TEST_CASE("fingerprints", "[quarantine]") {
  const uint64_t base = Fingerprint("a", RequestKind::kSearch, "body");
  CHECK(base == Fingerprint("a", RequestKind::kSearch, "body"));
  CHECK(base != Fingerprint("b", RequestKind::kSearch, "body"));
  CHECK(base != Fingerprint("a", RequestKind::kOrder, "body"));
  CHECK(base != Fingerprint("a", RequestKind::kSearch, "body2"));
  // Moving a byte from the body to the service must change the fingerprint.
  CHECK(Fingerprint("ab", RequestKind::kSearch, "c") !=
        Fingerprint("a", RequestKind::kSearch, "bc"));
}

TEST_CASE("a request that crashes targets", "[quarantine]") {
  Quarantine quarantine;
  const Time now = TimeAt(1'000'000);
  CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kNew);
  quarantine.OnSuccess(now, 7, true);
  CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kTrusted);

  // Guards against quarantining harmless requests after the loss of a rack, which terminates the
  // targets of many requests at once.
  SECTION("is only no longer trusted if it was sent as a trusted request") {
    CHECK_FALSE(quarantine.OnCrash(now, 7, kFirst, true));
    CHECK_FALSE(quarantine.OnCrash(now, 7, kSecond, true));
    CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kNew);
    SECTION("and is quarantined when it crashes its canaries afterwards") {
      CHECK_FALSE(quarantine.OnCrash(now, 7, kFirst, false));
      CHECK(quarantine.OnCrash(now, 7, kSecond, false));
    }
  }
  SECTION("is suspect after the first crash") {
    CHECK_FALSE(quarantine.OnCrash(now, 7, kFirst, false));
    CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kSuspect);
    SECTION("and remains suspect when another connection to the same process is lost") {
      CHECK_FALSE(quarantine.OnCrash(now, 7, kFirst, false));
    }
    SECTION("and after a partial answer, which may have missed the targets that it crashes") {
      quarantine.OnSuccess(now, 7, false);
      CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kSuspect);
    }
    SECTION("until a complete answer") {
      quarantine.OnSuccess(now, 7, true);
      CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kTrusted);
    }
    SECTION("or until the crash has expired") {
      CHECK(quarantine.Check(now + kSuspectRetention, 0, 7) == FingerprintStatus::kNew);
      CHECK_FALSE(quarantine.OnCrash(now + kSuspectRetention, 7, kSecond, false));
    }
    SECTION("and needs a quarantine when the same target crashes after a restart") {
      TargetRecord restarted = kFirst;
      ++restarted.incarnation;
      CHECK(quarantine.OnCrash(now, 7, restarted, false));
    }
    SECTION("and needs a quarantine when a second target crashes") {
      CHECK(quarantine.OnCrash(now, 7, kSecond, false));
      CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kCrashing);
      quarantine.OnSuccess(now, 7, true);
      CHECK(quarantine.Check(now, 0, 7) == FingerprintStatus::kCrashing);
      CHECK(quarantine.OnCrash(now, 7, kSecond, false));
      SECTION("and is blocked once it is committed, until it ends") {
        quarantine.SetCommitted({{7, 5'000}});
        CHECK(quarantine.Check(now, 4'999, 7) == FingerprintStatus::kQuarantined);
        CHECK(quarantine.Check(now, 5'000, 7) == FingerprintStatus::kNew);
        CHECK(quarantine.Check(now, 4'999, 8) == FingerprintStatus::kNew);
      }
    }
  }
}

TEST_CASE("the state of the quarantine is bounded", "[quarantine]") {
  Quarantine quarantine;
  const Time start = TimeAt(1'000'000);
  SECTION("the oldest suspects are evicted first, and are not trusted afterwards") {
    quarantine.OnSuccess(start, 0, true);
    for (uint64_t i = 0; i < 2 * kMaxSuspects; ++i) {
      quarantine.OnCrash(start + Millis(static_cast<int64_t>(i)), i, kFirst, false);
    }
    CHECK(quarantine.SuspectCount() == kMaxSuspects);
    const Time end = start + Millis(2 * kMaxSuspects);
    CHECK(quarantine.Check(end, 0, 2 * kMaxSuspects - 1) == FingerprintStatus::kSuspect);
    CHECK(quarantine.Check(end, 0, 0) == FingerprintStatus::kNew);
  }
  SECTION("successes are kept for at least half of the capacity and of the time") {
    RecentSet set(100, Millis(100));
    for (uint64_t i = 0; i < 1'000; ++i) {
      set.Insert(start, i);
      CHECK(set.Size() <= 100);
      CHECK(set.Contains(start, i >= 49 ? i - 49 : 0));
    }
    CHECK(set.Contains(start + Millis(49), 999));
    CHECK(set.Contains(start + Millis(50), 999));
    CHECK_FALSE(set.Contains(start + Millis(100), 999));
  }
}

}  // namespace
}  // namespace peridotgauge
