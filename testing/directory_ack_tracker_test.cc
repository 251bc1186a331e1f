// Guards against an acknowledgement before every router with a live session holds the directory
// version, and against one that is never sent.
#include "state/directory_ack_tracker.h"

#include <catch2/catch.hpp>
#include <optional>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(10'000);

TEST_CASE("waiters are notified once routers hold the version", "[directory_ack_tracker]") {
  DirectoryAckTracker tracker;
  std::map<std::string, Session> sessions = {{"r1", {.last_arrival = kStart}},
                                             {"r2", {.last_arrival = kStart}}};
  tracker.RecordVersion("r1", 7);
  std::optional<DirectoryAck> answer;
  tracker.AddWaiter(7, kStart + Millis(600), [&](DirectoryAck ack) { answer = ack; });
  SECTION("waits while a router holds an older version") {
    tracker.RecordVersion("r2", 6);
    CHECK(tracker.AcknowledgedVersion(kStart, 7, sessions) == 6);
    tracker.Notify(kStart, 6);
    CHECK_FALSE(answer);
    SECTION("until that router has caught up") {
      tracker.RecordVersion("r2", 7);
      tracker.Notify(kStart, tracker.AcknowledgedVersion(kStart, 7, sessions));
      CHECK(answer == DirectoryAck::kAllRouters);
      CHECK_FALSE(tracker.HasWaiters());
    }
    SECTION("or until its session has ended") {
      sessions["r1"].last_arrival = kStart + kSessionLength;
      CHECK(tracker.AcknowledgedVersion(kStart + kSessionLength, 7, sessions) == 7);
    }
  }
  SECTION("counts a router that has not reported as version 0") {
    CHECK(tracker.AcknowledgedVersion(kStart, 7, sessions) == 0);
  }
  SECTION("notifies at the deadline") {
    tracker.Notify(kStart + Millis(600), 0);
    CHECK(answer == DirectoryAck::kTimedOut);
  }
  SECTION("fails the waiters when leadership is lost or the controller stops") {
    const auto reason = GENERATE(DirectoryAck::kLeadershipLost, DirectoryAck::kStopping);
    tracker.FailWaiters(reason);
    CHECK(answer == reason);
  }
}

}  // namespace
}  // namespace peridotgauge
