// Tests the shutdown of a router of the platform. They guard against requests that are accepted
// late in the grace period and end without an answer, and against a refusal that is not true.
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "io/clock.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

constexpr Duration kGrace = Seconds(3);
constexpr Duration kTimeout = Seconds(5);

struct Outcome {
  std::string id;
  std::optional<HttpResponse> answer;
};

std::future<Outcome> Send(const Address& router, const std::string& id, const std::string& method,
                          const std::string& path) {
  return std::async(std::launch::async, [=] {
    return Outcome{id, Call(router, CallerRequest(id, method, path, kTimeout), 2 * kTimeout)};
  });
}

// Guards against requests that a stopping router takes and then cuts off: callers with an old list
// of routers send to it until the end of its grace period.
TEST_CASE("a stopping router answers every request that it accepts", "[router_shutdown]") {
  RouteDeployment deployment({.grace = kGrace});
  REQUIRE(deployment.Apply(ConfigText(1,
                                      {RouteText("safe", "/safe/", "safe", 5'000, "s"),
                                       RouteText("unsafe", "/unsafe/", "unsafe", 5'000, "s"),
                                       RouteText("quick", "/quick/", "unsafe", 1'500, "s")},
                                      {"s"})));
  RouteTarget target(deployment.NewAddress(), [](const HttpRequest& request) {
    return request.path.ends_with("/slow") ? Seconds(4) : Millis(100);
  });
  REQUIRE(deployment.Heartbeat(0, "i-1", HeartbeatText("s", target.address, "ready", 1)));
  REQUIRE(deployment.AwaitRoute("/safe/ready"));
  const Address router = deployment.RouterAddress(0);

  std::vector<std::future<Outcome>> running;
  SECTION("sent until the router stops listening") {
    deployment.BeginStopRouter(0);
    const Time end = SteadyNow() + kGrace;
    for (int i = 0; SteadyNow() < end; ++i) {
      const std::string id = "late-" + std::to_string(i);
      running.push_back(Send(router, id, i % 2 == 0 ? "GET" : "POST",
                             i % 2 == 0 ? "/safe/slow" : "/unsafe/slow"));
      std::this_thread::sleep_for(Millis(50));
    }
    size_t refused = 0;
    const std::vector<std::string> arrivals = target.Arrivals();
    for (auto& one : running) {
      const Outcome outcome = one.get();
      const bool reached =
          std::find(arrivals.begin(), arrivals.end(), outcome.id) != arrivals.end();
      // The router has not read a request whose connection it refuses or resets.
      if (!outcome.answer) {
        CHECK_FALSE(reached);
        continue;
      }
      if (outcome.answer->status != 503) continue;
      ++refused;
      CHECK_FALSE(reached);
      CHECK_FALSE(outcome.answer->Header("Retry-After").empty());
    }
    CHECK(refused > 0);
  }
  SECTION("sent before the signal, with a deadline after the end of the process") {
    const size_t before = target.Arrivals().size();
    running.push_back(Send(router, "safe", "GET", "/safe/slow"));
    running.push_back(Send(router, "unsafe", "POST", "/unsafe/slow"));
    while (target.Arrivals().size() < before + running.size()) {
      std::this_thread::sleep_for(Millis(10));
    }
    deployment.BeginStopRouter(0);
    for (auto& one : running) {
      const Outcome outcome = one.get();
      REQUIRE(outcome.answer);
      CHECK(outcome.answer->status == 504);
    }
  }
  SECTION("that must not be repeated, if it ends in time") {
    deployment.BeginStopRouter(0);
    std::this_thread::sleep_for(Millis(200));
    const auto answer =
        Call(router, CallerRequest("quick", "POST", "/quick/1", kTimeout), kTimeout);
    REQUIRE(answer);
    CHECK(answer->status == 200);
  }
  SECTION("also if the signal comes again") {
    for (int i = 0; i < 5; ++i) {
      running.push_back(Send(router, "again-" + std::to_string(i), "POST", "/quick/1"));
      std::this_thread::sleep_for(Millis(20));
      deployment.BeginStopRouter(0);
    }
    for (auto& one : running) {
      const Outcome outcome = one.get();
      INFO(outcome.id);
      REQUIRE(outcome.answer);
      CHECK(outcome.answer->status == 200);
    }
  }
  const Time end = SteadyNow() + kGrace;
  while (!deployment.RouterStopped(0) && SteadyNow() < end) {
    std::this_thread::sleep_for(Millis(20));
  }
  CHECK(deployment.RouterStopped(0));
}

}  // namespace
}  // namespace peridotgauge
