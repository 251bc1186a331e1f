// Tests of the request quotas of the native interface with whole processes. They guard against
// requests that run above the quota, refused orders that have a claim or run, and a quota that
// counts at each router on its own.
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/caller_api.h"
#include "io/clock.h"
#include "testing/native_deployment.h"

namespace peridotgauge {
namespace {

constexpr double kRate = 2;
constexpr double kBurst = 2;
constexpr Duration kWindow = Seconds(5);
// The requests of the small workspace that may run in any window, with the default tolerance.
constexpr size_t kBound = static_cast<size_t>((kRate * 5 + kBurst) * 1.1 + 20);
// Enough to exceed the bound several times over.
constexpr size_t kCalls = 150;

constexpr char kText[] = R"({"revision": 1, "fleets": {"f": {}}, "services": {
    "s": {"fleet": "f", "idempotent": false, "requires_key": true, "deadline_ms": 3000}},
  "workspaces": {"small": {"keys": ["key-small"], "rate_per_s": 2, "burst": 2},
                 "free": {"keys": ["key-free"]}}})";

// A call that ran: it was admitted between these times.
struct Executed {
  Time sent;
  Time answered;
};

// Returns the largest number of calls that were surely all admitted within one window. The calls
// were made one after the other.
size_t MostInWindow(const std::vector<Executed>& calls) {
  size_t most = 0;
  for (size_t first = 0; first < calls.size(); ++first) {
    size_t count = 0;
    while (first + count < calls.size() &&
           calls[first + count].answered - calls[first].sent <= kWindow) {
      ++count;
    }
    most = std::max(most, count);
  }
  return most;
}

TEST_CASE("native requests above the quota of a workspace do not run", "[native_quota]") {
  NativeDeployment deployment({.controllers = 1, .routers = 2});
  REQUIRE(deployment.Apply(kText));
  NativeTarget a(deployment, {.name = "s/a", .service = "s"});
  NativeTarget b(deployment, {.name = "s/b", .service = "s"});
  REQUIRE(deployment.AwaitSearch("s", "key-free"));
  a.Clear();
  b.Clear();

  std::vector<Executed> executed;
  std::set<std::string> refused_orders;
  size_t refused = 0;
  size_t others = 0;
  for (size_t i = 0; i < kCalls; ++i) {
    const bool order = i % 4 < 2;
    const std::string id = "o" + std::to_string(i);
    const Time sent = SteadyNow();
    const auto answer = order ? deployment.Order(i % 2, "s", id, "key-small")
                              : deployment.Search(i % 2, "s", "key-small");
    REQUIRE(answer);
    if (answer->status == 200) {
      executed.push_back({sent, SteadyNow()});
    } else if (answer->status == 429) {
      ++refused;
      const ErrorBody error = ParseErrorBody(answer->status, answer->body);
      CHECK(error.error.code == ErrorCode::kQuotaExceeded);
      // An earlier order with the same id may have been executed.
      CHECK(error.not_run == !order);
      CHECK(std::stod(std::string(answer->Header("retry-after"))) >= 0);
      CHECK(answer->body.find("key-small") == std::string::npos);
      if (order) refused_orders.insert(id);
    } else {
      ++others;
    }
  }
  CHECK(others == 0);
  CHECK(MostInWindow(executed) <= kBound);
  CHECK(executed.size() + refused == kCalls);
  // What was refused did not reach a target: each executed call made one request.
  std::vector<HttpRequest> seen = a.Requests();
  for (const HttpRequest& request : b.Requests()) seen.push_back(request);
  CHECK(seen.size() == executed.size());
  for (const HttpRequest& request : seen) {
    CHECK_FALSE(refused_orders.contains(std::string(request.Header("x-request-id"))));
  }
  REQUIRE_FALSE(refused_orders.empty());
  SECTION("other workspaces are not limited") {
    for (size_t i = 0; i < 40; ++i) {
      CHECK(deployment.Search(i % 2, "s", "key-free")->status == 200);
    }
  }
  SECTION("a refused order has no claim") {
    const auto answer = deployment.Order(0, "s", *refused_orders.begin(), "key-free");
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
    const auto response = ParseOrderResponse(answer->body);
    REQUIRE(response);
    CHECK_FALSE(response->replayed);
  }
  SECTION("the workspace is served again later") {
    bool served = false;
    const Time end = SteadyNow() + kDeploymentTimeout;
    while (!served && SteadyNow() < end) {
      std::this_thread::sleep_for(Millis(500));
      const auto answer = deployment.Search(0, "s", "key-small");
      served = answer && answer->status == 200;
    }
    CHECK(served);
  }
}

// Guards against a quota that grows with the number of routers.
TEST_CASE("all native routers share a quota", "[native_quota]") {
  constexpr size_t kRouters = 6;
  NativeDeployment deployment({.controllers = 1, .routers = kRouters});
  REQUIRE(deployment.Apply(kText));
  NativeTarget a(deployment, {.name = "s/a", .service = "s"});
  REQUIRE(deployment.AwaitSearch("s", "key-free"));
  std::vector<Executed> executed;
  size_t refused = 0;
  for (size_t i = 0; i < kCalls; ++i) {
    const Time sent = SteadyNow();
    const auto answer = deployment.Search(i % kRouters, "s", "key-small");
    REQUIRE(answer);
    if (answer->status == 200) executed.push_back({sent, SteadyNow()});
    if (answer->status == 429) ++refused;
  }
  CHECK(executed.size() + refused == kCalls);
  CHECK(refused > 0);
  CHECK(MostInWindow(executed) <= kBound);
}

}  // namespace
}  // namespace peridotgauge
