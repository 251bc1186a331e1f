// Tests that a target that has said that it leaves gets no more requests, whatever happens to the
// controllers and however late its earlier heartbeats arrive.
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
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

// Guards against a late heartbeat that brings back a target whose departure was acknowledged by a
// leader that did not know the target.
TEST_CASE("a target that leaves a leader that does not know it is not used again", "[departure]") {
  RouteDeployment deployment({.controllers = 3, .heartbeat = kHeartbeat});
  REQUIRE(deployment.Apply(ConfigText(1, {RouteText("r", "/p/", "unsafe", 1'000, "s")}, {"s"})));
  RouteTarget target(deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); });
  // Repeats a call to controllers in turn until one confirms it.
  const auto confirmed = [&](const std::function<std::optional<HttpResponse>(size_t)>& call) {
    for (size_t attempt = 0; attempt < 100; ++attempt) {
      const auto answer = call(attempt % 3);
      if (answer && answer->status == 200) return true;
      std::this_thread::sleep_for(Millis(100));
    }
    return false;
  };
  const auto heartbeat = [&](uint64_t sequence, uint64_t born) {
    return confirmed([&](size_t controller) {
      return deployment.Heartbeat(controller, "i-1",
                                  HeartbeatText("s", target.address, "ready", sequence, born));
    });
  };
  const auto deregister = [&](const std::string& id) {
    return confirmed([&](size_t controller) { return deployment.Deregister(controller, id); });
  };
  // Returns true if the target gets any of the requests that are sent for a second.
  const auto gets_requests = [&] {
    const size_t before = target.Arrivals().size();
    for (int i = 0; i < 20; ++i) {
      Call(deployment.RouterAddress(0),
           CallerRequest("c" + std::to_string(i), "POST", "/p/1", Seconds(1)), Seconds(1));
      std::this_thread::sleep_for(Millis(50));
    }
    return target.Arrivals().size() > before;
  };
  REQUIRE(heartbeat(1, 1'000));
  REQUIRE(deployment.AwaitRoute("/p/ready"));
  const std::optional<size_t> leader = deployment.Leader();
  REQUIRE(leader);
  deployment.KillController(*leader);
  while (!deployment.Leader()) std::this_thread::sleep_for(Millis(20));
  const Time asked = SteadyNow();
  REQUIRE(deregister("i-1"));
  SECTION("while it collects registrations") {
    CHECK(SteadyNow() - asked < kCollecting);
    CHECK_FALSE(gets_requests());
  }
  SECTION("also after it has collected them") { std::this_thread::sleep_for(kCollecting); }
  SECTION("also under the leader after it") {
    deployment.StartController(*leader);
    const std::optional<size_t> second = deployment.Leader();
    REQUIRE(second);
    REQUIRE(deployment.StopController(*second));
    deployment.StartController(*second);
  }
  REQUIRE(heartbeat(2, 1'000));
  CHECK_FALSE(gets_requests());
  // The same name with a new start.
  REQUIRE(heartbeat(1, static_cast<uint64_t>(UnixMillis())));
  CHECK(gets_requests());
}

// Guards against a removal that a controller reads late, after the target that sent it has given it
// up and has started again, and that removes the new start.
TEST_CASE("a removal that is read late does not remove the next start", "[departure]") {
  RouteDeployment deployment({.controllers = 3});
  REQUIRE(deployment.Apply(ConfigText(1, {RouteText("r", "/p/", "safe", 1'000, "s")}, {"s"})));
  RouteTarget target(deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); });
  const std::optional<size_t> leader = deployment.Leader();
  REQUIRE(leader);
  const auto heartbeat = [&] {
    const std::string body =
        HeartbeatText("s", target.address, "ready", 1, static_cast<uint64_t>(UnixMillis()));
    const auto answer = deployment.Heartbeat(*leader, "i-1", body);
    return answer && answer->status == 200;
  };
  REQUIRE(heartbeat());
  REQUIRE(deployment.AwaitRoute("/p/ready"));
  const size_t frozen = (*leader + 1) % 3;
  const Time end = SteadyNow() + Seconds(4);
  deployment.FreezeController(frozen, Seconds(4));
  std::this_thread::sleep_for(Millis(100));
  const HttpRequest removal{.method = "DELETE", .path = "/instances/i-1"};
  CHECK_FALSE(Call(deployment.ControllerAddress(frozen), removal, Seconds(1)));
  const auto repeated = deployment.Deregister(*leader, "i-1");
  REQUIRE(repeated);
  REQUIRE(repeated->status == 200);
  REQUIRE(heartbeat());
  REQUIRE(deployment.AwaitRoute("/p/again"));
  std::this_thread::sleep_until(end + Seconds(2));
  const auto answer = Call(deployment.RouterAddress(0),
                           CallerRequest("c", "GET", "/p/later", Seconds(1)), Seconds(1));
  REQUIRE(answer);
  CHECK(answer->status == 200);
}

}  // namespace
}  // namespace peridotgauge
