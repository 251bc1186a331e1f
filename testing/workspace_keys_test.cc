// Tests of the keys of workspaces with whole processes. They guard against a key that reaches a
// target, a request that runs without a key, and a withdrawn key that works again after a restart.
#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "io/clock.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

// Within this time after its acknowledgement a revision is in force at all routers in touch
// (`configApplyMs` of the deployments with workspaces).
constexpr Duration kInForce = Seconds(4);

// Returns a configuration with a route that needs a key, and a public one.
std::string WithWorkspaces(uint64_t version, const std::string& workspaces) {
  std::string open = RouteText("open", "/open/", "unsafe", 1'000, "s");
  open.insert(open.rfind('}'), ",\"public\":true");
  std::string text =
      ConfigText(version, {RouteText("r", "/p/", "unsafe", 1'000, "s"), open}, {"s"});
  text.insert(text.rfind('}'), ",\"tenants\":" + workspaces);
  return text;
}

TEST_CASE("requests need the key of a workspace", "[workspace_keys]") {
  RouteDeployment deployment({.controllers = 3, .routers = 2, .heartbeat = Seconds(1)});
  std::mutex mutex;
  std::vector<std::string> seen;  // workspaces and keys that the target has got
  RouteTarget target(deployment.NewAddress(), [&](const HttpRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    seen.push_back(std::string(request.Header("peridotgauge-tenant")) + "/" +
                   std::string(request.Header("peridotgauge-key")));
    return Millis(1);
  });
  int calls = 0;
  const auto status = [&](size_t router, const std::string& key) {
    HttpRequest request = CallerRequest("k" + std::to_string(++calls), "POST", "/p/1", Seconds(1));
    request.headers.push_back({"Peridotgauge-Tenant", "chosen-by-the-caller"});
    if (!key.empty()) request.headers.push_back({"Peridotgauge-Key", key});
    const auto answer = Call(deployment.RouterAddress(router), request, Seconds(1));
    return answer ? answer->status : 0;
  };
  // Waits until both routers answer requests with this key so.
  const auto await = [&](const std::string& key, int expected, Duration timeout) {
    const Time end = SteadyNow() + timeout;
    while (SteadyNow() < end) {
      if (status(0, key) == expected && status(1, key) == expected) return true;
      std::this_thread::sleep_for(Millis(20));
    }
    return false;
  };
  const std::string both =
      R"([{"name":"w1","apiKeys":["key-a","key-b"]},{"name":"w2","apiKeys":["key-c"]}])";
  REQUIRE(deployment.Apply(WithWorkspaces(1, both)));
  uint64_t sequence = 0;
  const auto heartbeat = [&] {
    for (size_t attempt = 0; attempt < 100; ++attempt) {
      const auto answer = deployment.Heartbeat(
          attempt % 3, "i-1", HeartbeatText("s", target.address, "ready", ++sequence));
      if (answer && answer->status == 200) return true;
      std::this_thread::sleep_for(Millis(50));
    }
    return false;
  };
  REQUIRE(heartbeat());
  REQUIRE(await("key-a", 200, kDeploymentTimeout));
  CHECK(status(0, "") == 401);
  CHECK(status(0, "key-") == 401);
  CHECK(status(1, "key-c") == 200);
  {
    const std::lock_guard<std::mutex> lock(mutex);
    for (const std::string& one : seen) CHECK((one == "w1/" || one == "w2/"));
    CHECK(seen.back() == "w2/");
    seen.clear();
  }
  SECTION("a withdrawn key gets 401 in time, the others go on") {
    REQUIRE(deployment.Apply(
        WithWorkspaces(2, R"([{"name":"w1","apiKeys":["key-b"]},{"name":"w2","apiKeys":[]}])")));
    CHECK(await("key-a", 401, kInForce));
    CHECK(await("key-c", 401, kInForce));
    CHECK(status(0, "key-b") == 200);
    SECTION("and not again after all processes were killed") {
      for (size_t i = 0; i < 2; ++i) deployment.KillRouter(i);
      for (size_t i = 0; i < 3; ++i) deployment.KillController(i);
      for (size_t i = 0; i < 3; ++i) deployment.StartController(i);
      REQUIRE(heartbeat());
      REQUIRE(deployment.RestartRouter(0, "/open/1"));
      REQUIRE(deployment.RestartRouter(1, "/open/1"));
      for (size_t i = 0; i < 2; ++i) CHECK(status(i, "key-a") == 401);
      CHECK(await("key-b", 200, kDeploymentTimeout));
    }
    const std::lock_guard<std::mutex> lock(mutex);
    for (const std::string& one : seen) CHECK(one != "w2/");
  }
  SECTION("a configuration in which two workspaces share a key is not accepted") {
    HttpRequest put{.method = "PUT", .path = "/config", .headers = {{"Host", "c"}}};
    put.body = WithWorkspaces(
        2, R"([{"name":"w1","apiKeys":["key-a"]},{"name":"w2","apiKeys":["key-a"]}])");
    const auto answer = Call(deployment.ControllerAddress(0), put, Seconds(2));
    REQUIRE(answer);
    CHECK(answer->status == 422);
    CHECK(answer->body.find("key-a") == std::string::npos);
    CHECK(status(0, "key-c") == 200);
  }
}

}  // namespace
}  // namespace peridotgauge
