// Tests of heartbeats at the leader: guards against a removed target that a late heartbeat brings
// back, and against renewals that wake every router.
#include "state/target_intake.h"

#include <catch2/catch.hpp>

#include "state/directory_copy.h"

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(10'000);
constexpr Duration kShortLease = Seconds(4);

TEST_CASE("heartbeats of a target", "[target_intake]") {
  Directory directory;
  TargetIntake intake("c1", kShortLease, directory);
  intake.Begin(kStart, 1);
  TargetRecord record{.target = "t",
                      .address = "127.0.0.1:9001",
                      .service = "s",
                      .data_centre = "a",
                      .incarnation = 1,
                      .sequence = 1,
                      .state = TargetState::kServing,
                      .slots = 1,
                      .connections = 1};
  CHECK(intake.Take(kStart, record, false) == Intake{.news = true});
  SECTION("a renewal is no news, and keeps the target") {
    record.sequence = 2;
    CHECK(intake.Take(kStart + Seconds(3), record, false) == Intake{});
    CHECK(intake.Expire(kStart + Seconds(5)).empty());
    CHECK(intake.Expire(kStart + Seconds(7)).size() == 1);
  }
  SECTION("draining is news once") {
    record.sequence = 2;
    record.state = TargetState::kDraining;
    CHECK(intake.Take(kStart, record, false) == Intake{.news = true, .leaving = true});
    record.sequence = 3;
    CHECK(intake.Take(kStart, record, false) == Intake{.leaving = true});
  }
  SECTION("a removal ends this incarnation only") {
    CHECK(intake.Take(kStart, {.target = "t"}, true) == Intake{.news = true, .leaving = true});
    record.sequence = 9;
    CHECK(intake.Take(kStart, record, false) == Intake{});
    CHECK_FALSE(directory.Find("t"));
    record.incarnation = 2;
    CHECK(intake.Take(kStart, record, false) == Intake{.news = true});
  }
  SECTION("a new leader cannot place the removal of a target that it does not know") {
    const auto unknown = intake.Take(kStart, {.target = "u"}, true);
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::kUnavailable);
    directory.Tick(kStart + kShortLease, {});
    CHECK(intake.Take(kStart + kShortLease, {.target = "u"}, true) == Intake{});
  }
  // A cut that takes the leader and all controllers near some targets makes these late, not gone.
  SECTION("a new leader lets routers keep a target for as long as its heartbeats may be late") {
    DirectoryCopy copy;
    directory.Tick(kStart + kShortLease, {});
    copy.Apply(directory.DeltaSince(copy.Epoch(), copy.Version()));
    REQUIRE(copy.Find("t") != nullptr);
    const Time elected = kStart + Seconds(10);
    intake.Begin(elected, 2);
    const auto known_after = [&](Duration since) {
      directory.Tick(elected + since, {});
      copy.Apply(directory.DeltaSince(copy.Epoch(), copy.Version()));
      return copy.Find("t") != nullptr;
    };
    CHECK(known_after(Millis(100)));
    CHECK(known_after(kCollectTime));
    CHECK(known_after(kShortLease - Millis(100)));
    CHECK_FALSE(known_after(kShortLease));
  }
}

}  // namespace
}  // namespace peridotgauge
