// Tests the limit on extra attempts over all routers of a deployment, with failing targets. They
// guard against more retries than the operators allow while routers restart or leave.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
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

// Routers, and two targets of a service that fail the requests of Send().
class FailingFleet {
 public:
  FailingFleet() {
    REQUIRE(this->deployment.Apply(ConfigText(1, {route_text}, {"s"})));
    for (size_t i = 0; i < 2; ++i) {
      this->targets.push_back(std::make_unique<RouteTarget>(
          this->deployment.NewAddress(), [](const HttpRequest&) { return Duration(0); }));
    }
    this->Register();
    REQUIRE(this->deployment.AwaitRoute("/p/ready"));
  }

  // Sends `count` requests that every target fails, one after another.
  void Send(size_t router, int count) {
    for (int i = 0; i < count; ++i) {
      this->sent.push_back(SteadyNow());
      const std::string id = "fail-" + std::to_string(this->sent.size());
      const auto answer = Call(this->deployment.RouterAddress(router),
                               CallerRequest(id, "GET", "/p/fail", kTimeout), 2 * kTimeout);
      if (answer) CHECK(answer->status >= 500);
    }
  }
  void Stop(size_t router) {
    this->deployment.BeginStopRouter(router);
    while (!this->deployment.RouterStopped(router)) std::this_thread::sleep_for(Millis(10));
  }
  void Restart(size_t router, bool kill) {
    if (kill) {
      this->deployment.KillRouter(router);
    } else {
      this->Stop(router);
    }
    REQUIRE(this->deployment.RestartRouter(router, "/p/ready"));
  }

  // Ends all routers and the controller at once, and starts them again.
  void LosePower() {
    for (size_t router = 0; router < kRouters; ++router) this->deployment.KillRouter(router);
    this->deployment.KillController(0);
    this->deployment.StartController(0);
    while (!this->deployment.Leader()) std::this_thread::sleep_for(Millis(10));
    this->Register();
    for (size_t router = 0; router < kRouters; ++router) {
      REQUIRE(this->deployment.RestartRouter(router, "/p/ready"));
    }
  }
  // Applies a configuration without the service, and then one that has it again.
  void DropService() {
    REQUIRE(this->deployment.Apply(ConfigText(
        2, {RouteText("other", "/o/", "safe", WholeMillis(kTimeout), "other")}, {"other"})));
    for (size_t router = 0; router < kRouters; ++router) {
      const auto dropped = [&] {
        const auto answer = Call(this->deployment.RouterAddress(router),
                                 CallerRequest("drop", "GET", "/p/ready", kTimeout), kTimeout);
        return answer && answer->status == 404;
      };
      while (!dropped()) std::this_thread::sleep_for(Millis(10));
    }
    REQUIRE(this->deployment.Apply(ConfigText(3, {route_text}, {"s"})));
    REQUIRE(this->deployment.AwaitRoute("/p/ready"));
  }

  // Return when requests were sent and when they and their retries arrived at targets.
  const std::vector<Time>& Sent() const { return this->sent; }
  std::vector<Time> Arrivals() {
    std::vector<Time> arrivals;
    for (const auto& target : this->targets) {
      for (const Time at : target->ArrivalTimes()) arrivals.push_back(at);
    }
    return arrivals;
  }
  // The same without the requests that wait for a router to be ready, which are not in Sent().
  std::vector<Time> FailedArrivals() {
    std::vector<Time> arrivals;
    for (const auto& target : this->targets) {
      const std::vector<std::string> ids = target->Arrivals();
      const std::vector<Time> times = target->ArrivalTimes();
      for (size_t i = 0; i < ids.size(); ++i) {
        if (ids[i].starts_with("fail-")) arrivals.push_back(times[i]);
      }
    }
    return arrivals;
  }

 private:
  void Register() {
    ++this->sequence;
    for (size_t i = 0; i < this->targets.size(); ++i) {
      REQUIRE(this->deployment.Heartbeat(
          0, "i-" + std::to_string(i),
          HeartbeatText("s", this->targets[i]->address, "ready", this->sequence)));
    }
  }

  const std::string route_text = RouteText("r", "/p/", "safe", WholeMillis(kTimeout), "s");
  uint64_t sequence = 0;
  RouteDeployment deployment{
      {.routers = kRouters, .grace = Millis(500), .extra_ratio = kRatio, .extra_slack = kSlack}};
  std::vector<std::unique_ptr<RouteTarget>> targets;
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
  FailingFleet fleet;
  // The retries that the limit leaves open are used up.
  for (size_t router = 0; router < kRouters; ++router) fleet.Send(router, 8);
  SECTION("stopped in order, or killed") {
    const bool kill = GENERATE(false, true);
    CAPTURE(kill);
    for (size_t k = 0; k < 5; ++k) {
      fleet.Restart(k % kRouters, kill);
      fleet.Send(k % kRouters, 8);
    }
  }
  SECTION("one leaves for good") {
    fleet.Stop(0);
    for (int k = 0; k < 2; ++k) {
      fleet.Send(1, 8);
      fleet.Send(2, 8);
    }
  }
  CheckLimit(fleet.Arrivals(), fleet.Sent());
}

// Guards against a limit that all processes forget when they lose power together.
TEST_CASE("routers that lose power together with the controllers keep the limit on retries",
          "[extra_attempts]") {
  FailingFleet fleet;
  for (size_t router = 0; router < kRouters; ++router) fleet.Send(router, 8);
  fleet.LosePower();
  for (size_t router = 0; router < kRouters; ++router) fleet.Send(router, 8);
  CheckLimit(fleet.FailedArrivals(), fleet.Sent());
}

// Guards against a limit that starts anew with a service that comes back.
TEST_CASE("a service that a configuration drops for a moment keeps the limit on its retries",
          "[extra_attempts]") {
  FailingFleet fleet;
  for (size_t router = 0; router < kRouters; ++router) fleet.Send(router, 8);
  fleet.DropService();
  for (size_t router = 0; router < kRouters; ++router) fleet.Send(router, 8);
  CheckLimit(fleet.FailedArrivals(), fleet.Sent());
}

// Guards against a limit that forbids a restarted router what nobody has spent.
TEST_CASE("a router that starts in a calm fleet can retry at once", "[extra_attempts]") {
  FailingFleet fleet;
  const bool kill = GENERATE(true, false);
  CAPTURE(kill);
  fleet.Restart(0, kill);
  const size_t before = fleet.Arrivals().size();
  fleet.Send(0, 2);
  CHECK(fleet.Arrivals().size() == before + 4);
}

}  // namespace
}  // namespace peridotgauge
