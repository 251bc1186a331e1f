// Guards against targets that stay registered after their lease has ended, that return to an older
// state when registrations arrive out of order, and against invalid values.
#include "state/registration.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <functional>

namespace peridotgauge {
namespace {

TargetRecord NewRecord() {
  return {.target = "verstas-1/a",
          .address = "127.0.0.1:9001",
          .service = "verstas-1",
          .data_centre = "tre-a",
          .incarnation = 5,
          .sequence = 1,
          .state = TargetState::kServing,
          .slots = 5,
          .connections = 40,
          .holds = {{12, 0, 1}}};
}

TEST_CASE("registrations", "[registration]") {
  Registrations registrations("r1");
  Time now = TimeAt(1'000);
  TargetRecord record = NewRecord();
  CHECK(*registrations.Register(now, record) == RegistrationChange::kChanged);
  CHECK(record.registrar == "r1");
  ++record.sequence;
  SECTION("a renewal extends the lease") {
    now += Seconds(2);
    CHECK(*registrations.Register(now, record) == RegistrationChange::kRenewed);
    CHECK(registrations.Expire(now + Seconds(2)).empty());
    CHECK(registrations.NextExpiry() == now + kRegistrationLease);
    const std::vector<TargetRecord> gone = registrations.Expire(now + kRegistrationLease);
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].state == TargetState::kGone);
    CHECK(gone[0].sequence == 2);
    CHECK(registrations.Size() == 0);
  }
  SECTION("changes, renewals and stale registrations are distinguished") {
    record.state = TargetState::kDraining;
    CHECK(*registrations.Register(now, record) == RegistrationChange::kChanged);
    record.state = TargetState::kServing;
    CHECK(*registrations.Register(now, record) == RegistrationChange::kStale);
    CHECK(registrations.All()[0].state == TargetState::kDraining);
  }
  SECTION("a time at which the target is warm is reported if it is later, or has come") {
    record.warmup = Seconds(5);
    CHECK(*registrations.Register(now, record) == RegistrationChange::kChanged);
    // Heartbeats while it warms up, one of them late.
    for (const int seconds : {1, 2, 3}) {
      ++record.sequence;
      record.warmup = Seconds(5 - seconds);
      const Time arrived = now + Seconds(seconds) + Millis(seconds == 2 ? 200 : 0);
      CHECK(*registrations.Register(arrived, record) == RegistrationChange::kRenewed);
    }
    SECTION("as later, it has turned cold again") {
      ++record.sequence;
      record.warmup = Seconds(3);
      CHECK(*registrations.Register(now + Seconds(4), record) == RegistrationChange::kChanged);
    }
    SECTION("late by small steps") {
      // Their sum counts, not each step.
      RegistrationChange change = RegistrationChange::kRenewed;
      for (int step = 1; step <= 3; ++step) {
        ++record.sequence;
        record.warmup = Seconds(2) + step * Millis(100);
        change = *registrations.Register(now + Seconds(3), record);
      }
      CHECK(change == RegistrationChange::kChanged);
    }
    SECTION("as warm") {
      ++record.sequence;
      record.warmup = Duration(0);
      CHECK(*registrations.Register(now + Seconds(5), record) == RegistrationChange::kChanged);
      ++record.sequence;
      CHECK(*registrations.Register(now + Seconds(6), record) == RegistrationChange::kRenewed);
    }
  }
  SECTION("another address under the same incarnation is rejected") {
    record.address = "127.0.0.1:9002";
    CHECK(registrations.Register(now, record).error().code == ErrorCode::kConflict);
    ++record.incarnation;
    CHECK(*registrations.Register(now, record) == RegistrationChange::kChanged);
  }
  SECTION("a target that has registered with another router is removed") {
    record.registrar = "r2";
    registrations.RemoveSuperseded(NewRecord());
    CHECK(registrations.Size() == 1);
    registrations.RemoveSuperseded(record);
    CHECK(registrations.Size() == 0);
  }
  SECTION("an error names the field that is out of range") {
    const std::vector<std::pair<std::string, std::function<void(TargetRecord&)>>> rows = {
        {"target", [](auto& r) { r.target = "a b"; }},
        {"service", [](auto& r) { r.service = ""; }},
        {"data_centre", [](auto& r) { r.data_centre = "a\r\n"; }},
        {"address", [](auto& r) { r.address = "host:1"; }},
        {"slots", [](auto& r) { r.slots = 0; }},
        {"sequence", [](auto& r) { r.sequence = UINT64_MAX; }},
        {"connections", [](auto& r) { r.connections = 70'000; }},
        {"holds", [](auto& r) {
           r.holds = {{1, 2, 2}};
         }}};
    for (const auto& [field, change] : rows) {
      TargetRecord bad = record;
      change(bad);
      const Result<RegistrationChange> refused = registrations.Register(now, bad);
      REQUIRE_FALSE(refused);
      CHECK(refused.error().code == ErrorCode::kBadRequest);
      CHECK_THAT(refused.error().detail, Catch::Matchers::StartsWith(field + ": "));
    }
  }
}

// Compares with a reference model that keeps the highest (incarnation, sequence).
TEST_CASE("the newest registration wins in any order of arrival", "[registration]") {
  CHECK(rc::check("out of order", [] {
    Registrations registrations("r1");
    std::pair<uint64_t, uint64_t> newest = {0, 0};
    for (int i = *rc::gen::inRange(1, 30); i > 0; --i) {
      TargetRecord record = NewRecord();
      record.incarnation = *rc::gen::inRange<uint64_t>(1, 4);
      record.sequence = *rc::gen::inRange<uint64_t>(1, 10);
      const std::pair<uint64_t, uint64_t> order = {record.incarnation, record.sequence};
      const bool stale = *registrations.Register(TimeAt(0), record) == RegistrationChange::kStale;
      RC_ASSERT(stale == (order <= newest));
      newest = std::max(newest, order);
    }
    RC_ASSERT(registrations.All()[0].incarnation == newest.first);
    RC_ASSERT(registrations.All()[0].sequence == newest.second);
  }));
}

}  // namespace
}  // namespace peridotgauge
