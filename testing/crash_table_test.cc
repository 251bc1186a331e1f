// Tests the table of requests that crash targets. They guard against a request that reaches more
// targets than its trials allow, a harmless one that stays blocked, and unbounded memory.
#include "state/crash_table.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>

namespace peridotgauge {
namespace {

constexpr uint64_t kRequest = 7;

TargetCrash CrashOf(int number, const std::string& service = "s") {
  return {.service = service, .target = service + "/" + std::to_string(number), .incarnation = 1};
}

// A table with a suspect request that has crashed two targets of the service.
CrashTable SuspectTable(int64_t now_ms) {
  CrashTable table;
  CHECK_FALSE(table.Record(now_ms, kRequest, CrashOf(1)));
  CHECK(table.Record(now_ms, kRequest, CrashOf(2)));
  return table;
}

TEST_CASE("a request that crashes targets is suspect after the second", "[crash_table]") {
  CrashTable table;
  table.Record(1'000, kRequest, CrashOf(1));
  CHECK(table.Suspects().empty());
  SECTION("not after another connection to the same incarnation was lost") {
    CHECK_FALSE(table.Record(1'000, kRequest, CrashOf(1)));
    CHECK(table.Suspects().empty());
    CHECK(table.BeginTrial(1'000, kRequest, {.id = 1, .hold_ms = 10}) == TrialDecision::kGranted);
  }
  SECTION("not if the first one is long ago") {
    CHECK_FALSE(table.Record(1'000 + kCrashRetentionMs, kRequest, CrashOf(2)));
    CHECK(table.Suspects().empty());
  }
  SECTION("not if the request was answered in between") {
    CHECK_FALSE(table.EndTrial(1'000, kRequest, 0, {.answered = {"s"}, .crashes = {}}));
    CHECK_FALSE(table.Record(1'000, kRequest, CrashOf(2)));
    CHECK(table.Suspects().empty());
  }
  SECTION("and routers learn which services it has crashed") {
    CHECK(table.Record(2'000, kRequest, CrashOf(2, "t")));
    const std::vector<QuarantineRecord> expected = {{.fingerprint = kRequest,
                                                     .until_ms = 2'000 + kCrashRetentionMs,
                                                     .suspect = true,
                                                     .services = {"s", "t"}}};
    CHECK(table.Suspects() == expected);
  }
}

TEST_CASE("a suspect request is sent in trials", "[crash_table]") {
  CrashTable table = SuspectTable(1'000);
  REQUIRE(table.BeginTrial(1'000, kRequest, {.id = 1, .hold_ms = 500}) == TrialDecision::kGranted);
  SECTION("one at a time") {
    CHECK(table.BeginTrial(1'499, kRequest, {.id = 2, .hold_ms = 500}) == TrialDecision::kBusy);
    SECTION("where the same command twice is one trial") {
      CHECK(table.BeginTrial(1'200, kRequest, {.id = 1, .hold_ms = 500}) ==
            TrialDecision::kGranted);
      CHECK(table.All().at(kRequest).trials == 1);
    }
  }
  SECTION("an answer of the service clears it") {
    CHECK(table.EndTrial(1'100, kRequest, 1, {.answered = {"s"}, .crashes = {}}));
    CHECK(table.All().empty());
  }
  SECTION("an answer of another service does not") {
    CHECK_FALSE(table.EndTrial(1'100, kRequest, 1, {.answered = {"t"}, .crashes = {}}));
    CHECK(table.Suspects().size() == 1);
    SECTION("and the trial did not count") {
      CHECK(table.All().at(kRequest).trials == 0);
      CHECK(table.BeginTrial(1'200, kRequest, {.id = 2, .hold_ms = 500}) ==
            TrialDecision::kGranted);
    }
  }
  SECTION("one that ends without a result, because its router is gone, counts as a crash") {
    CHECK(table.BeginTrial(1'500, kRequest, {.id = 2, .hold_ms = 500}) == TrialDecision::kGranted);
    CHECK(table.BeginTrial(2'500, kRequest, {.id = 3, .hold_ms = 500}) == TrialDecision::kBlocked);
  }
  SECTION("and is blocked after the last one") {
    table.EndTrial(1'100, kRequest, 1, {.answered = {}, .crashes = {CrashOf(3)}});
    CHECK(table.Suspects().front().suspect);
    REQUIRE(table.BeginTrial(1'200, kRequest, {.id = 2, .hold_ms = 500}) ==
            TrialDecision::kGranted);
    CHECK(table.EndTrial(1'300, kRequest, 2, {.answered = {}, .crashes = {CrashOf(4)}}));
    CHECK_FALSE(table.Suspects().front().suspect);
    CHECK(table.BeginTrial(1'400, kRequest, {.id = 3, .hold_ms = 5}) == TrialDecision::kBlocked);
    SECTION("until its crashes are forgotten") {
      const int64_t later = 1'300 + kCrashRetentionMs;
      CHECK(table.BeginTrial(later, kRequest, {.id = 4, .hold_ms = 5}) == TrialDecision::kGranted);
      CHECK(table.Record(later, kRequest + 1, CrashOf(1)));  // the list has changed
      CHECK(table.Suspects().empty());
    }
  }
}

TEST_CASE("requests that crash targets and are never sent again do not fill the table",
          "[crash_table]") {
  CrashTable table = SuspectTable(0);
  table.BeginTrial(0, kRequest, {.id = 1, .hold_ms = 10});
  table.EndTrial(0, kRequest, 1, {.answered = {}, .crashes = {CrashOf(3)}});
  table.BeginTrial(0, kRequest, {.id = 2, .hold_ms = 10});
  table.EndTrial(0, kRequest, 2, {.answered = {}, .crashes = {CrashOf(4)}});
  for (uint64_t i = 0; i < 3 * kMaxCrashSuspects; ++i) {
    const auto now_ms = static_cast<int64_t>(i);
    table.Record(now_ms, 100 + i, CrashOf(1));
    table.Record(now_ms, 100 + i, CrashOf(2));
    CHECK(table.All().size() <= kMaxCrashSuspects);
  }
  // The blocked request has not been pushed out.
  CHECK(table.BeginTrial(5'000, kRequest, {.id = 3, .hold_ms = 5}) == TrialDecision::kBlocked);
}

// Routers send a crashing request whenever they may, lose commands and end in the middle of trials.
TEST_CASE("a request that crashes every target reaches a bounded number of them", "[crash_table]") {
  CHECK(rc::check([] {
    CrashTable table;
    int64_t now_ms = 1'000;
    uint64_t last_trial = 0;
    int crashes = 0;
    int sends_when_suspect = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now_ms += *rc::gen::inRange(0, 400);
      const bool suspect = !table.Suspects().empty();
      if (!suspect) {
        table.Record(now_ms, kRequest, CrashOf(++crashes));
        continue;
      }
      const uint64_t trial = ++last_trial;
      if (table.BeginTrial(now_ms, kRequest, {.id = trial, .hold_ms = 300}) !=
          TrialDecision::kGranted) {
        continue;
      }
      ++sends_when_suspect;
      if (*rc::gen::arbitrary<bool>()) continue;  // the router ends
      table.EndTrial(now_ms, kRequest, trial, {.answered = {}, .crashes = {CrashOf(++crashes)}});
    }
    RC_ASSERT(sends_when_suspect <= static_cast<int>(kMaxTrials));
  }));
}

}  // namespace
}  // namespace peridotgauge
