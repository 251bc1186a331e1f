// Guards against a late heartbeat that restores a removed target, and against lease renewals that
// notify every router.
#include "state/target_heartbeat_handler.h"

#include <catch2/catch.hpp>

#include "state/directory_copy.h"

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(10'000);
constexpr Duration kShortLease = Seconds(4);

TEST_CASE("heartbeats of a target", "[target_heartbeat_handler]") {
  Directory directory;
  TargetHeartbeatHandler handler("c1", kShortLease, directory);
  handler.StartTerm(kStart, 1);
  TargetRecord record{.target = "t",
                      .address = "127.0.0.1:9001",
                      .service = "s",
                      .data_centre = "a",
                      .incarnation = 1,
                      .sequence = 1,
                      .state = TargetState::kServing,
                      .slots = 1,
                      .connections = 1};
  CHECK(handler.Handle(kStart, record, false) == HeartbeatResult{.directory_changed = true});
  SECTION("a renewal extends the lease and leaves the directory unchanged") {
    record.sequence = 2;
    CHECK(handler.Handle(kStart + Seconds(3), record, false) == HeartbeatResult{});
    CHECK(handler.Expire(kStart + Seconds(5)).empty());
    CHECK(handler.Expire(kStart + Seconds(7)).size() == 1);
  }
  SECTION("draining changes the directory once") {
    record.sequence = 2;
    record.state = TargetState::kDraining;
    CHECK(handler.Handle(kStart, record, false) ==
          HeartbeatResult{.directory_changed = true, .leaving = true});
    record.sequence = 3;
    CHECK(handler.Handle(kStart, record, false) == HeartbeatResult{.leaving = true});
  }
  SECTION("a removal applies to one incarnation only") {
    CHECK(handler.Handle(kStart, {.target = "t"}, true) ==
          HeartbeatResult{.directory_changed = true, .leaving = true});
    record.sequence = 9;
    CHECK(handler.Handle(kStart, record, false) == HeartbeatResult{.stale = true});
    CHECK_FALSE(directory.Find("t"));
    record.incarnation = 2;
    CHECK(handler.Handle(kStart, record, false) == HeartbeatResult{.directory_changed = true});
  }
  SECTION("a removal of an unknown target fails while a new leader collects registrations") {
    const auto unknown = handler.Handle(kStart, {.target = "u"}, true);
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::kUnavailable);
    directory.Tick(kStart + kShortLease, {});
    CHECK(handler.Handle(kStart + kShortLease, {.target = "u"}, true) ==
          HeartbeatResult{.leaving = true});
  }
  SECTION("a removal of an unknown target that bounds its incarnation") {
    constexpr uint64_t kBound = 50;
    const auto removed = handler.Handle(kStart, {.target = "u", .incarnation = kBound}, true);
    CHECK(removed == HeartbeatResult{.directory_changed = true, .leaving = true});
    SECTION("is accepted while a new leader collects registrations, and sent to routers") {
      CHECK(directory.Collecting());
      DirectoryCopy copy;
      TargetRecord known = record;
      known.target = "u";
      copy.Apply(
          {.epoch = 1, .version = 1, .digest = DigestOf(known), .full = true, .targets = {known}});
      REQUIRE(copy.Targets().contains("u"));
      copy.Apply(directory.DeltaSince(1, 1));
      CHECK_FALSE(copy.Targets().contains("u"));
    }
    SECTION("supersedes what the target had sent before, but no later start") {
      record.target = "u";
      record.sequence = 21;
      record.incarnation = kBound;
      CHECK(handler.Handle(kStart, record, false) == HeartbeatResult{.stale = true});
      CHECK_FALSE(directory.Find("u"));
      record.sequence = 1;
      record.incarnation = kBound + 1;
      CHECK(handler.Handle(kStart, record, false) == HeartbeatResult{.directory_changed = true});
    }
    SECTION("changes nothing if it is sent again") {
      CHECK(handler.Handle(kStart, {.target = "u", .incarnation = kBound + 9}, true) ==
            HeartbeatResult{.leaving = true});
    }
  }
  SECTION("a removal supersedes heartbeats also after the target has expired") {
    CHECK(handler.Expire(kStart + kShortLease).size() == 1);
    CHECK(handler.Handle(kStart + kShortLease, {.target = "t"}, true).value().leaving);
    record.sequence = 9;
    CHECK(handler.Handle(kStart + kShortLease, record, false) == HeartbeatResult{.stale = true});
    CHECK_FALSE(directory.Find("t"));
  }
  SECTION("a departure that an earlier leader recorded") {
    DepartureTable departures;
    directory.SetDepartures(&departures);
    const auto next_leader = [&] { handler.StartTerm(kStart + Seconds(1), 2); };
    SECTION("supersedes older heartbeats") {
      departures.Record(0, {"t", 1, kRemovedSequence});
      next_leader();
      record.sequence = 9;
      CHECK(handler.Handle(kStart + Seconds(2), record, false) == HeartbeatResult{.stale = true});
      CHECK_FALSE(directory.Find("t"));
      record.incarnation = 2;
      CHECK(handler.Handle(kStart + Seconds(2), record, false).value().directory_changed);
    }
    SECTION("of a draining target does not supersede its later heartbeats") {
      departures.Record(0, {"t", 1, 5});
      next_leader();
      record.sequence = 4;
      CHECK(handler.Handle(kStart + Seconds(2), record, false) == HeartbeatResult{.stale = true});
      record.sequence = 6;
      record.state = TargetState::kDraining;
      CHECK(handler.Handle(kStart + Seconds(2), record, false) ==
            HeartbeatResult{.directory_changed = true, .leaving = true});
    }
    SECTION("reaches routers that have missed it, while the next leader collects") {
      DirectoryCopy copy;
      directory.Tick(kStart + kShortLease, {});
      copy.Apply(directory.DeltaSince(copy.Epoch(), copy.Version()));
      REQUIRE(copy.Find("t") != nullptr);
      departures.Record(0, {"t", 1, 5});
      next_leader();
      copy.Apply(directory.DeltaSince(copy.Epoch(), copy.Version()));
      CHECK(copy.Find("t") == nullptr);
    }
    SECTION("lets the next leader take the removal") {
      departures.Record(0, {"t", 1, 5});
      next_leader();
      CHECK(handler.Handle(kStart + Seconds(2), {.target = "t"}, true) ==
            HeartbeatResult{.directory_changed = true, .leaving = true});
      CHECK(directory.LastDeparture("t") == Departure{"t", 1, kRemovedSequence});
    }
    SECTION("removes a target that was accepted before the departure was known") {
      departures.Record(0, {"t", 1, 5});
      CHECK(directory.ApplyDepartures(kStart));
      CHECK_FALSE(directory.Find("t"));
      CHECK_FALSE(directory.ApplyDepartures(kStart));
    }
    SECTION("also applies to what routers report") {
      departures.Record(0, {"t", 1, kRemovedSequence});
      next_leader();
      CHECK_FALSE(directory.Merge(kStart + Seconds(2), "r1", {record}, false));
      CHECK_FALSE(directory.Find("t"));
    }
  }
  // A partition that isolates the leader and all controllers near some targets delays the
  // heartbeats of these targets, which are still alive.
  SECTION("routers keep a target under a new leader until its heartbeats are overdue") {
    DirectoryCopy copy;
    directory.Tick(kStart + kShortLease, {});
    copy.Apply(directory.DeltaSince(copy.Epoch(), copy.Version()));
    REQUIRE(copy.Find("t") != nullptr);
    const Time elected = kStart + Seconds(10);
    handler.StartTerm(elected, 2);
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
