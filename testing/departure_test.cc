// Tests that a target that has said that it leaves gets no more requests, whatever happens to the
// controllers and however late its earlier heartbeats arrive.
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "io/clock.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

constexpr Duration kHeartbeat = Millis(500);
// A new leader collects registrations for the length of their lease, at least for 3 s; until then
// routers remember by themselves which targets have left.
constexpr Duration kCollecting = Millis(3'600);

// Guards against a late heartbeat that brings back a target that has left, under a leader that did
// not see it leave.
TEST_CASE("a target that leaves is not used again under the next leader", "[departure]") {
  RouteDeployment deployment({.controllers = 3, .heartbeat = kHeartbeat});
  REQUIRE(deployment.Apply(ConfigText(1, {RouteText("r", "/p/", "unsafe", 1'000, "s")}, {"s"})));
  RouteTarget target(deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); });
  const auto heartbeat = [&](const std::string& state, uint64_t sequence, uint64_t born = 1'000) {
    for (int attempt = 0; attempt < 50; ++attempt) {
      const auto answer =
          deployment.Heartbeat(static_cast<size_t>(attempt % 3), "i-1",
                               HeartbeatText("s", target.address, state, sequence, born));
      if (answer && answer->status == 200) return true;
      std::this_thread::sleep_for(Millis(100));
    }
    return false;
  };
  // Returns the number of requests that the target gets within a second.
  const auto requests_in_a_second = [&] {
    const size_t before = target.Arrivals().size();
    for (int i = 0; i < 20; ++i) {
      Call(deployment.RouterAddress(0),
           CallerRequest("c" + std::to_string(i), "POST", "/p/1", Seconds(1)), Seconds(1));
      std::this_thread::sleep_for(Millis(50));
    }
    return target.Arrivals().size() - before;
  };
  REQUIRE(heartbeat("ready", 1));
  REQUIRE(deployment.AwaitRoute("/p/ready"));

  const bool removed = GENERATE(true, false);
  CAPTURE(removed);
  if (removed) {
    bool acknowledged = false;
    for (int attempt = 0; attempt < 50 && !acknowledged; ++attempt) {
      const auto answer = deployment.Deregister(static_cast<size_t>(attempt % 3), "i-1");
      acknowledged = answer && answer->status == 200;
    }
    REQUIRE(acknowledged);
  } else {
    REQUIRE(heartbeat("draining", 5));
  }
  CHECK(requests_in_a_second() == 0);

  SECTION("after the leading controller was stopped and started again") {
    const std::optional<size_t> leader = deployment.Leader();
    REQUIRE(leader);
    REQUIRE(deployment.StopController(*leader));
    deployment.StartController(*leader);
  }
  SECTION("after all controllers were killed and started again") {
    for (size_t i = 0; i < 3; ++i) deployment.KillController(i);
    for (size_t i = 0; i < 3; ++i) deployment.StartController(i);
  }
  std::this_thread::sleep_for(kCollecting);
  REQUIRE(heartbeat("ready", 2));
  CHECK(requests_in_a_second() == 0);
  REQUIRE(heartbeat("ready", 1, 2'000));
  CHECK(requests_in_a_second() > 0);
}

}  // namespace
}  // namespace peridotgauge
