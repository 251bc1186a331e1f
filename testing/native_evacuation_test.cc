// Tests of the evacuation of data centres on the native interface with whole processes. They guard
// against requests that reach a target in an evacuated data centre, also from the queue of its
// owner, and against orders that are refused as not run and run.
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "core/caller_api.h"
#include "io/clock.h"
#include "testing/native_deployment.h"

namespace peridotgauge {
namespace {

constexpr char kText[] = R"({"revision": 1, "fleets": {"f": {}}, "services": {
    "s": {"fleet": "f", "idempotent": false, "deadline_ms": 20000}}})";

bool Complete(const std::optional<HttpResponse>& answer) {
  if (!answer || answer->status != 200) return false;
  const auto response = ParseSearchResponse(answer->body);
  return response && response->missing.empty();
}

TEST_CASE("native requests leave an evacuated data centre", "[native_evacuation]") {
  NativeDeployment deployment({.routers = 2, .data_centres = {"dc-a", "dc-b"}});
  REQUIRE(deployment.Apply(kText));
  NativeTarget a(deployment, {.name = "s/a", .service = "s", .data_centre = "dc-a"});
  NativeTarget b(deployment, {.name = "s/b", .service = "s", .data_centre = "dc-b"});
  const auto both_serve = [&] {
    a.Clear();
    b.Clear();
    const Time end = SteadyNow() + kDeploymentTimeout;
    while (SteadyNow() < end && (a.RequestCount() == 0 || b.RequestCount() == 0)) {
      for (size_t i = 0; i < 10; ++i) deployment.Search(i % 2, "s", "");
    }
    return a.RequestCount() > 0 && b.RequestCount() > 0;
  };
  REQUIRE(deployment.AwaitSearch("s", ""));
  REQUIRE(both_serve());
  REQUIRE(deployment.SetEvacuation(0, "POST", "dc-a", 1));
  a.Clear();
  for (size_t i = 0; i < 30; ++i) {
    CHECK(Complete(deployment.Search(i % 2, "s", "")));
    const auto order = deployment.Order(i % 2, "s", "o" + std::to_string(i), "");
    CHECK((order && order->status == 200));
  }
  CHECK(a.RequestCount() == 0);
  SECTION("without targets elsewhere requests fail as without targets") {
    REQUIRE(deployment.SetEvacuation(1, "POST", "dc-b", 2));
    b.Clear();
    for (size_t i = 0; i < 2; ++i) {
      CHECK_FALSE(Complete(deployment.Search(i, "s", "")));
      const auto order = deployment.Order(i, "s", "without", "");
      REQUIRE(order);
      CHECK(order->status == 503);
      const ErrorBody error = ParseErrorBody(order->status, order->body);
      CHECK(error.error.code == ErrorCode::kNoTarget);
      CHECK(error.not_run);
    }
    CHECK(a.RequestCount() + b.RequestCount() == 0);
  }
  SECTION("a restarted router learns of it before it serves") {
    deployment.KillRouter(1);
    deployment.StartRouter(1);
    REQUIRE(deployment.AwaitSearch("s", ""));
    CHECK(a.RequestCount() == 0);
  }
  SECTION("the data centre is used again after the end of the evacuation") {
    REQUIRE(deployment.SetEvacuation(1, "DELETE", "dc-a", 0));
    CHECK(both_serve());
  }
}

TEST_CASE("what waits at the owner of a target does not reach it", "[native_evacuation]") {
  constexpr size_t kOrders = 6;
  NativeDeployment deployment({.routers = 2, .data_centres = {"dc-a", "dc-b"}});
  REQUIRE(deployment.Apply(kText));
  NativeTarget a(deployment, {.name = "s/a", .service = "s", .data_centre = "dc-a", .slots = 1});
  REQUIRE(deployment.AwaitSearch("s", ""));
  a.Clear();
  // Longer than the test needs until the evacuation is in force, so that one order runs and the
  // others wait.
  a.SetWorkTime(Seconds(6));
  std::vector<std::thread> callers;
  std::vector<std::optional<HttpResponse>> answers(kOrders);
  for (size_t i = 0; i < kOrders; ++i) {
    callers.emplace_back([&, i] {
      answers[i] = deployment.Order(i % 2, "s", "w" + std::to_string(i), "", Seconds(30));
    });
  }
  const Time end = SteadyNow() + kDeploymentTimeout;
  while (a.RequestCount() == 0 && SteadyNow() < end) std::this_thread::sleep_for(Millis(10));
  const bool evacuated = deployment.SetEvacuation(0, "POST", "dc-a", 1);
  const size_t sent = a.RequestCount();
  for (std::thread& caller : callers) caller.join();
  REQUIRE(evacuated);
  CHECK(a.RequestCount() == sent);
  size_t done = 0;
  size_t refused = 0;
  for (const auto& answer : answers) {
    REQUIRE(answer);
    if (answer->status == 200) ++done;
    if (answer->status == 503 && ParseErrorBody(503, answer->body).not_run) ++refused;
  }
  CHECK(done == sent);
  CHECK(refused == kOrders - sent);
  CHECK(refused > 0);
}

// Router 0 owns the target and learns of the evacuation while router 1 is frozen. What router 1
// then sends with its older list must not reach the target.
TEST_CASE("an owner refuses requests of a router with an older list", "[native_evacuation]") {
  constexpr size_t kSearches = 8;
  NativeDeployment deployment({.routers = 2, .data_centres = {"dc-a", "dc-b"}});
  REQUIRE(deployment.Apply(kText));
  NativeTarget a(deployment, {.name = "s/a", .service = "s", .data_centre = "dc-a"});
  REQUIRE(deployment.AwaitSearch("s", ""));
  deployment.FreezeRouter(1, Millis(1'200));  // within its lease
  std::vector<std::thread> callers;
  std::vector<std::optional<HttpResponse>> answers(kSearches);
  for (size_t i = 0; i < kSearches; ++i) {
    callers.emplace_back(
        [&, i] { answers[i] = deployment.Search(1, "s", "", kDeploymentTimeout); });
  }
  const auto evacuated = Call(deployment.RouterAddress(0),
                              {.method = "POST", .path = "/v1/evacuations/dc-a"}, Seconds(5));
  bool known = false;
  const Time end = SteadyNow() + kDeploymentTimeout;
  while (!known && SteadyNow() < end) {
    const auto metrics =
        Call(deployment.RouterAddress(0), {.method = "GET", .path = "/metrics"}, Seconds(5));
    known = metrics &&
            metrics->body.find("peridotgauge_evacuated_data_centres 1\n") != std::string::npos;
  }
  a.Clear();
  for (std::thread& caller : callers) caller.join();
  REQUIRE(evacuated);
  CHECK(evacuated->status == 200);
  REQUIRE(known);
  CHECK(a.RequestCount() == 0);
  for (const auto& answer : answers) {
    REQUIRE(answer);
    CHECK_FALSE(Complete(answer));
  }
}

}  // namespace
}  // namespace peridotgauge
