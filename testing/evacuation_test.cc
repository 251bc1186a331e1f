// Tests that no request reaches an evacuated data centre, whatever happens to the controllers and
// routers after the acknowledgement.
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "io/clock.h"
#include "route_deployment.h"
#include "state/commands.h"

namespace peridotgauge {
namespace {

// Time after the acknowledgement within which an evacuation is in force at all routers in contact,
// as the operators require.
constexpr Duration kInForce = Seconds(5);
// Targets expire after four of these; longer than any of the tests.
constexpr Duration kHeartbeat = Seconds(30);

std::string WithOneConnection(std::string text) {
  const std::string usual = R"("maxConns":40)";
  return text.replace(text.find(usual), usual.size(), R"("maxConns":1)");
}

bool ArrivedBetween(RouteTarget& target, Time begin, Time end) {
  for (const Time arrival : target.ArrivalTimes()) {
    if (arrival >= begin && arrival < end) return true;
  }
  return false;
}

// Three controllers, and a target of the service "s" in the data centre of the routers (z-a), where
// they prefer to send, and in another one (z-b).
struct Fixture {
  explicit Fixture(RouteTarget::WorkTime near_work_time, bool one_connection = false)
      : far(this->deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); }),
        near(this->deployment.NewAddress(), std::move(near_work_time)) {
    const std::string text = ConfigText(1, {RouteText("r", "/p/", "safe", 20'000, "s")}, {"s"});
    REQUIRE(this->deployment.Apply(one_connection ? WithOneConnection(text) : text));
  }
  // Returns true if the leader lists the data centre as evacuated.
  bool Evacuated(const std::string& data_centre) {
    REQUIRE(this->deployment.Leader());
    const Address address = this->deployment.ControllerMetricsAddress(*this->deployment.Leader());
    const auto status = Call(address, {.method = "GET", .path = "/v1/status"}, Seconds(5));
    REQUIRE(status);
    const size_t list = status->body.find(R"("evacuated":[)");
    REQUIRE(list != std::string::npos);
    return status->body.substr(list, status->body.find(']', list) - list).find(data_centre) !=
           std::string::npos;
  }
  bool Register(const std::string& id, RouteTarget& target, const std::string& data_centre,
                uint64_t born = 1'000) {
    const std::string body =
        HeartbeatText("s", target.address, "ready", ++this->sequence, born, data_centre);
    return this->Confirmed(
        [&](size_t controller) { return this->deployment.Heartbeat(controller, id, body); });
  }
  bool SetEvacuation(const std::string& method, const std::string& data_centre) {
    return this->Confirmed([&](size_t controller) {
      return this->deployment.SetEvacuation(controller, method, data_centre);
    });
  }
  // Repeats a call to controllers in turn until one confirms it.
  template <typename Function>
  bool Confirmed(Function call) {
    for (size_t attempt = 0; attempt < 100; ++attempt) {
      const auto answer = call(attempt % 3);
      if (answer && answer->status == 200) return true;
      std::this_thread::sleep_for(Millis(100));
    }
    return false;
  }
  std::optional<HttpResponse> Send(size_t router = 0, Duration timeout = Seconds(2)) {
    return Call(this->deployment.RouterAddress(router),
                CallerRequest("c-" + std::to_string(++this->sent), "GET", "/p/x", timeout),
                timeout);
  }
  // Sends requests to all routers for the given time. Returns how many were answered with 200.
  int SendFor(Duration duration) {
    int answered = 0;
    for (const Time end = SteadyNow() + duration; SteadyNow() < end;) {
      for (size_t router = 0; router < 2; ++router) {
        const auto answer = this->Send(router);
        if (answer && answer->status == 200) ++answered;
      }
      std::this_thread::sleep_for(Millis(10));
    }
    return answered;
  }
  bool Await(const std::function<bool()>& condition) {
    for (const Time end = SteadyNow() + kDeploymentTimeout; SteadyNow() < end;) {
      if (condition()) return true;
      std::this_thread::sleep_for(Millis(20));
    }
    return false;
  }

  RouteDeployment deployment{{.controllers = 3, .routers = 2, .heartbeat = kHeartbeat}};
  RouteTarget far;
  RouteTarget near;
  uint64_t sequence = 0;
  std::atomic<int> sent = 0;
};

// Guards against an acknowledged evacuation that is lost with the leader, with all controllers or
// with a router, and against one that does not end.
TEST_CASE("an evacuation outlives controllers and routers", "[evacuation]") {
  Fixture fixture([](const HttpRequest&) { return Millis(1); });
  RouteDeployment& deployment = fixture.deployment;
  REQUIRE(fixture.Register("far", fixture.far, "z-b"));
  REQUIRE(fixture.Register("near", fixture.near, "z-a"));
  REQUIRE(deployment.AwaitRoute("/p/ready"));
  REQUIRE(fixture.Await([&] {
    fixture.SendFor(Millis(100));
    return !fixture.near.Arrivals().empty();
  }));

  REQUIRE(fixture.SetEvacuation("POST", "z-a"));
  const Time acknowledged = SteadyNow();
  SECTION("in calm") {}
  SECTION("if the leader is killed") {
    const std::optional<size_t> leader = deployment.Leader();
    REQUIRE(leader);
    deployment.KillController(*leader);
  }
  SECTION("if all controllers are killed and started again") {
    for (size_t i = 0; i < 3; ++i) deployment.KillController(i);
    for (size_t i = 0; i < 3; ++i) deployment.StartController(i);
  }
  SECTION("if a router is started again while there are no controllers, and they return") {
    for (size_t i = 0; i < 3; ++i) deployment.KillController(i);
    deployment.KillRouter(0);
    for (size_t i = 0; i < 3; ++i) deployment.StartController(i);
    // The new leader learns of the targets from their heartbeats.
    REQUIRE(fixture.Register("far", fixture.far, "z-b"));
    REQUIRE(fixture.Register("near", fixture.near, "z-a"));
    REQUIRE(deployment.RestartRouter(0, "/p/again"));
  }
  std::this_thread::sleep_until(acknowledged + kInForce);
  const Time in_force = SteadyNow();
  REQUIRE(fixture.Register("far", fixture.far, "z-b"));
  REQUIRE(fixture.Register("near", fixture.near, "z-a"));
  REQUIRE(deployment.AwaitRoute("/p/later"));
  CHECK(fixture.SendFor(Seconds(1)) > 0);
  CHECK_FALSE(ArrivedBetween(fixture.near, in_force, SteadyNow()));

  REQUIRE(fixture.SetEvacuation("DELETE", "z-a"));
  const Time ended = SteadyNow();
  CHECK(fixture.Await([&] {
    fixture.SendFor(Millis(100));
    return ArrivedBetween(fixture.near, ended, SteadyNow());
  }));
}

// Guards against requests that were placed before the evacuation and are sent after it: those that
// wait for a connection, retries and hedges.
TEST_CASE("placed requests leave an evacuated data centre", "[evacuation]") {
  Fixture fixture([](const HttpRequest&) { return Millis(1'500); }, /*one_connection=*/true);
  REQUIRE(fixture.Register("near", fixture.near, "z-a"));
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
  constexpr int kCallers = 24;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  std::atomic<int> answered = 0;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const auto answer = fixture.Send(static_cast<size_t>(i % 2), Seconds(18));
      if (answer && answer->status == 200) ++answered;
    });
  }
  // All requests wait for the one connection of their router, which serves one in 1.5 s.
  std::this_thread::sleep_for(Millis(500));
  REQUIRE(fixture.Register("far", fixture.far, "z-b"));
  REQUIRE(fixture.Await([&] {
    fixture.Send();
    return !fixture.far.Arrivals().empty();
  }));
  REQUIRE(fixture.SetEvacuation("POST", "z-a"));
  const Time acknowledged = SteadyNow();
  for (std::thread& caller : callers) caller.join();
  std::this_thread::sleep_until(acknowledged + kInForce + Seconds(2));
  CHECK_FALSE(ArrivedBetween(fixture.near, acknowledged + kInForce, SteadyNow()));
  CHECK(fixture.near.Arrivals().size() < kCallers);
  CHECK(answered > 0);
}

// Guards against requests that are sent to a target in an evacuated data centre because they were
// placed before it registered there, under the same address.
TEST_CASE("placed requests leave a target that moves to another data centre", "[evacuation]") {
  Fixture fixture([](const HttpRequest&) { return Millis(1'500); }, /*one_connection=*/true);
  REQUIRE(fixture.Register("near", fixture.near, "z-c"));
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
  constexpr int kCallers = 16;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] { fixture.Send(static_cast<size_t>(i % 2), Seconds(12)); });
  }
  std::this_thread::sleep_for(Millis(500));
  SECTION("that is evacuated afterwards") {
    REQUIRE(fixture.Register("near", fixture.near, "z-a", 2'000));
    std::this_thread::sleep_for(Millis(500));
    REQUIRE(fixture.SetEvacuation("POST", "z-a"));
  }
  SECTION("that is evacuated already") {
    REQUIRE(fixture.SetEvacuation("POST", "z-a"));
    REQUIRE(fixture.Register("near", fixture.near, "z-a", 2'000));
  }
  const Time in_force = SteadyNow() + kInForce;
  for (std::thread& caller : callers) caller.join();
  std::this_thread::sleep_until(in_force + Seconds(2));
  CHECK_FALSE(ArrivedBetween(fixture.near, in_force, SteadyNow()));
  CHECK(fixture.near.Arrivals().size() < kCallers);
}

// Guards against a call that a controller reads late, after its operator has given it up, and that
// undoes a change that was acknowledged in the meantime.
TEST_CASE("a controller that was frozen does not execute calls without a caller", "[evacuation]") {
  Fixture fixture([](const HttpRequest&) { return Millis(1); });
  RouteDeployment& deployment = fixture.deployment;
  const bool evacuate = GENERATE(true, false);
  const std::string stale = evacuate ? "POST" : "DELETE";
  const std::string later = evacuate ? "DELETE" : "POST";
  REQUIRE(fixture.SetEvacuation(later, "z-a"));
  const std::optional<size_t> leader = deployment.Leader();
  REQUIRE(leader);
  const size_t frozen = (*leader + 1) % 3;
  const Time end = SteadyNow() + Seconds(3);
  deployment.FreezeController(frozen, Seconds(3));
  std::this_thread::sleep_for(Millis(100));
  const HttpRequest call{.method = stale, .path = "/evacuations/z-a"};
  CHECK_FALSE(Call(deployment.ControllerAddress(frozen), call, Seconds(1)));
  const auto answer = deployment.SetEvacuation(*leader, later, "z-a");
  REQUIRE(answer);
  REQUIRE(answer->status == 200);
  std::this_thread::sleep_until(end + Seconds(2));
  CHECK(fixture.Evacuated("z-a") == !evacuate);
}

// Guards against requests that wait for a data centre that holds all targets of their service.
TEST_CASE("requests of a service without targets elsewhere are refused at once", "[evacuation]") {
  Fixture fixture([](const HttpRequest&) { return Millis(1); });
  REQUIRE(fixture.Register("near", fixture.near, "z-a"));
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
  REQUIRE(fixture.SetEvacuation("POST", "z-a"));
  REQUIRE(fixture.Await([&] {
    const auto first = fixture.Send(0);
    const auto second = fixture.Send(1);
    return first && second && first->status == 503 && second->status == 503;
  }));
  const size_t before = fixture.near.Arrivals().size();
  constexpr Duration kLong = Seconds(15);
  const Time begin = SteadyNow();
  const auto answer = fixture.Send(0, kLong);
  CHECK(SteadyNow() - begin < kLong / 2);
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK_FALSE(answer->Header("Retry-After").empty());
  CHECK(fixture.near.Arrivals().size() == before);
}

// Guards against requests without a valid name that get into the log, and against operators that
// take a change for acknowledged that is not committed.
TEST_CASE("the calls that evacuate a data centre", "[evacuation]") {
  RouteDeployment deployment({.controllers = 3});
  const auto status = [&](const std::string& method, const std::string& name) {
    const auto answer = deployment.SetEvacuation(0, method, name);
    return answer ? answer->status : 0;
  };
  CHECK(status("POST", "") == 400);
  CHECK(status("DELETE", "") == 400);
  CHECK(status("POST", std::string(kMaxDataCentreBytes + 1, 'x')) == 400);
  CHECK(status("GET", "z-a") == 404);
  for (const std::string method : {"POST", "DELETE"}) {
    // Resent calls and those at other controllers get the same response.
    for (size_t i = 0; i < 4; ++i) {
      const auto answer = deployment.SetEvacuation(i % 3, method, "z-c");
      REQUIRE(answer);
      CHECK(answer->status == 200);
    }
  }
  deployment.KillController(1);
  deployment.KillController(2);
  CHECK(status("POST", "z-a") == 503);
}

}  // namespace
}  // namespace peridotgauge
