// Tests the limit on extra attempts over all routers of a deployment, with failing targets. They
// guard against more retries than the operators allow while routers restart or leave.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "io/clock.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

constexpr size_t kRouters = 3;
constexpr double kRatio = 0.2;
constexpr double kSlack = 15;
constexpr Duration kWindow = Seconds(10);
constexpr Duration kTimeout = Millis(400);

// Sends requests to routers in turn and keeps the times at which they were sent.
class FailingLoad {
 public:
  explicit FailingLoad(RouteDeployment& deployment) : deployment(deployment) {}

  // Sends `count` requests that every target fails.
  void Send(size_t router, int count) {
    for (int i = 0; i < count; ++i) {
      this->sent.push_back(SteadyNow());
      const auto answer = Call(
          this->deployment.RouterAddress(router),
          CallerRequest("fail-" + std::to_string(this->sent.size()), "GET", "/p/fail", kTimeout),
          2 * kTimeout);
      if (answer) CHECK(answer->status >= 500);
    }
  }
  const std::vector<Time>& Sent() const { return this->sent; }

 private:
  RouteDeployment& deployment;
  std::vector<Time> sent;
};

size_t CountIn(const std::vector<Time>& times, Time begin, Time end) {
  return static_cast<size_t>(
      std::count_if(times.begin(), times.end(), [&](Time t) { return t >= begin && t < end; }));
}

// Compares each window that begins with an arrival with the limit. The requests in a window are the
// most of those sent in it and in the window before it.
void CheckLimit(const std::vector<Time>& arrivals, const std::vector<Time>& sent) {
  for (const Time begin : arrivals) {
    const size_t arrived = CountIn(arrivals, begin, begin + kWindow);
    const size_t in_window = CountIn(sent, begin, begin + kWindow);
    const size_t requests = std::max(in_window, CountIn(sent, begin - kWindow, begin));
    const double extra = static_cast<double>(arrived) - static_cast<double>(in_window);
    REQUIRE(extra <= kRatio * static_cast<double>(requests) + kSlack);
  }
}

// Guards against routers that forget at a restart what they have granted, or take over at once the
// share of a router that has just left.
TEST_CASE("routers that restart while targets fail keep the limit on retries", "[extra_attempts]") {
  RouteDeployment deployment(
      {.routers = kRouters, .grace = Millis(500), .extra_ratio = kRatio, .extra_slack = kSlack});
  REQUIRE(deployment.Apply(
      ConfigText(1, {RouteText("r", "/p/", "safe", WholeMillis(kTimeout), "s")}, {"s"})));
  const auto no_work = [](const HttpRequest&) { return Duration(0); };
  RouteTarget first(deployment.NewAddress(), no_work);
  RouteTarget second(deployment.NewAddress(), no_work);
  REQUIRE(deployment.Heartbeat(0, "i-1", HeartbeatText("s", first.address, "ready", 1)));
  REQUIRE(deployment.Heartbeat(0, "i-2", HeartbeatText("s", second.address, "ready", 1)));
  REQUIRE(deployment.AwaitRoute("/p/ready"));
  FailingLoad load(deployment);

  // The retries that the limit leaves open are used up.
  for (size_t router = 0; router < kRouters; ++router) load.Send(router, 8);
  const auto restart = [&](size_t router, bool kill) {
    if (kill) {
      deployment.KillRouter(router);
    } else {
      deployment.BeginStopRouter(router);
      while (!deployment.RouterStopped(router)) std::this_thread::sleep_for(Millis(10));
    }
    return deployment.RestartRouter(router, "/p/ready");
  };
  SECTION("stopped in order") {
    for (int k = 0; k < 5; ++k) {
      REQUIRE(restart(k % kRouters, false));
      load.Send(k % kRouters, 8);
    }
  }
  SECTION("killed") {
    for (int k = 0; k < 5; ++k) {
      REQUIRE(restart(k % kRouters, true));
      load.Send(k % kRouters, 8);
    }
  }
  SECTION("one leaves for good") {
    deployment.BeginStopRouter(0);
    while (!deployment.RouterStopped(0)) std::this_thread::sleep_for(Millis(10));
    for (int k = 0; k < 2; ++k) {
      load.Send(1, 8);
      load.Send(2, 8);
    }
  }
  std::vector<Time> arrivals = first.ArrivalTimes();
  for (const Time at : second.ArrivalTimes()) arrivals.push_back(at);
  CheckLimit(arrivals, load.Sent());
}

// Guards against a limit that forbids a restarted router what nobody has spent.
TEST_CASE("a router that starts in a calm fleet can retry at once", "[extra_attempts]") {
  RouteDeployment deployment(
      {.routers = kRouters, .grace = Millis(500), .extra_ratio = kRatio, .extra_slack = kSlack});
  REQUIRE(deployment.Apply(
      ConfigText(1, {RouteText("r", "/p/", "safe", WholeMillis(kTimeout), "s")}, {"s"})));
  const auto no_work = [](const HttpRequest&) { return Duration(0); };
  RouteTarget first(deployment.NewAddress(), no_work);
  RouteTarget second(deployment.NewAddress(), no_work);
  REQUIRE(deployment.Heartbeat(0, "i-1", HeartbeatText("s", first.address, "ready", 1)));
  REQUIRE(deployment.Heartbeat(0, "i-2", HeartbeatText("s", second.address, "ready", 1)));
  REQUIRE(deployment.AwaitRoute("/p/ready"));
  const bool kill = GENERATE(true, false);
  if (kill) {
    deployment.KillRouter(0);
  } else {
    deployment.BeginStopRouter(0);
    while (!deployment.RouterStopped(0)) std::this_thread::sleep_for(Millis(10));
  }
  REQUIRE(deployment.RestartRouter(0, "/p/ready"));
  const size_t before = first.Arrivals().size() + second.Arrivals().size();
  FailingLoad load(deployment);
  load.Send(0, 2);
  CHECK(first.Arrivals().size() + second.Arrivals().size() == before + 4);
}

}  // namespace
}  // namespace peridotgauge
