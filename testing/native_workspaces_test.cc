// Tests of the workspaces of the native interface with whole processes. They guard against requests
// that run without a key, a key that reaches a target, a span or a metric, and a withdrawn key that
// still works.
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "core/caller_api.h"
#include "io/clock.h"
#include "testing/native_deployment.h"

namespace peridotgauge {
namespace {

// Returns a configuration with two services that require a key and an open one. "orders" takes
// orders; "index" depends on "fonts", which requires a key.
std::string WithWorkspaces(uint64_t revision, const std::string& workspaces) {
  return R"({"revision": )" + std::to_string(revision) + R"(, "fleets": {"f": {}}, "services": {
    "orders": {"fleet": "f", "idempotent": false, "requires_key": true, "deadline_ms": 3000},
    "fonts": {"fleet": "f", "requires_key": true, "deadline_ms": 3000},
    "index": {"fleet": "f", "depends_on": ["fonts"], "deadline_ms": 3000},
    "open": {"fleet": "f", "deadline_ms": 3000}}, "workspaces": )" +
         workspaces + "}";
}

constexpr char kBoth[] =
    R"({"w1": {"keys": ["key-alpha", "key-beta"]}, "w2": {"keys": ["key-gamma"]}})";

int StatusOf(const std::optional<HttpResponse>& response) {
  return response ? response->status : 0;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("native requests need the key of a workspace", "[native_workspaces]") {
  NativeDeployment deployment({.controllers = 1, .routers = 2});
  REQUIRE(deployment.Apply(WithWorkspaces(1, kBoth)));
  // Of both services, so that some sub-requests go through the other router.
  NativeTarget orders(deployment, {.name = "orders/a", .service = "orders"});
  NativeTarget more_orders(deployment, {.name = "orders/b", .service = "orders"});
  NativeTarget fonts(deployment, {.name = "fonts/a", .service = "fonts"});
  NativeTarget index(deployment, {.name = "index/a", .service = "index"});
  NativeTarget open(deployment, {.name = "open/a", .service = "open"});
  REQUIRE(deployment.AwaitSearch("orders", "key-alpha"));
  REQUIRE(deployment.AwaitSearch("index", "key-alpha"));
  REQUIRE(deployment.AwaitSearch("open", ""));
  for (NativeTarget* target : {&orders, &more_orders, &fonts, &index, &open}) target->Clear();
  const auto requests = [&] {
    std::vector<HttpRequest> all;
    for (NativeTarget* target : {&orders, &more_orders, &fonts, &index, &open}) {
      for (HttpRequest& request : target->Requests()) all.push_back(std::move(request));
    }
    return all;
  };

  SECTION("without a known key nothing runs") {
    for (const std::string key : {"", "key-alph", "key-alphaa", "KEY-ALPHA", "w1"}) {
      INFO(key);
      for (const auto& answer :
           {deployment.Search(0, "orders", key), deployment.Search(1, "index", key),
            deployment.Order(0, "orders", "refused", key)}) {
        REQUIRE(StatusOf(answer) == 401);
        const ErrorBody error = ParseErrorBody(answer->status, answer->body);
        CHECK(error.error.code == ErrorCode::kUnknownKey);
        CHECK(Contains(error.error.detail, "x-workspace-key"));
        CHECK((key.empty() || !Contains(answer->body, key)));
      }
    }
    CHECK(requests().empty());
    // A refused order has no claim, so it can be sent with a key under the same id.
    CHECK(StatusOf(deployment.Order(1, "orders", "refused", "key-beta")) == 200);
  }
  SECTION("targets get the name of the workspace and never the key") {
    for (size_t i = 0; i < 10; ++i) {
      CHECK(StatusOf(deployment.Search(i % 2, "orders", "key-alpha")) == 200);
      CHECK(StatusOf(deployment.Order(i % 2, "orders", "o" + std::to_string(i), "key-beta")) ==
            200);
      CHECK(StatusOf(deployment.Search(i % 2, "index", "key-alpha")) == 200);
    }
    const std::vector<HttpRequest> seen = requests();
    REQUIRE(seen.size() >= 40);
    for (const HttpRequest& request : seen) {
      CHECK(request.Header("x-workspace") == "w1");
      for (const HttpHeader& header : request.headers) {
        CHECK(header.name != "x-workspace-key");
        CHECK_FALSE(Contains(header.value, "key-"));
      }
      CHECK_FALSE(Contains(request.body, "key-"));
    }
    for (NativeTarget* target : {&orders, &more_orders, &fonts, &index, &open}) target->Clear();
    CHECK(StatusOf(deployment.Search(0, "orders", "key-gamma")) == 200);
    CHECK(requests().back().Header("x-workspace") == "w2");
  }
  SECTION("an open service needs no key, and a key there has no effect") {
    CHECK(StatusOf(deployment.Search(0, "open", "")) == 200);
    CHECK(StatusOf(deployment.Search(1, "open", "key-alpha")) == 200);
    CHECK(StatusOf(deployment.Search(1, "open", "unknown")) == 200);
    for (const HttpRequest& request : open.Requests()) {
      CHECK(request.Header("x-workspace").empty());
      CHECK(request.Header("x-workspace-key").empty());
    }
  }
  SECTION("no span and no metric contains a key") {
    CHECK(StatusOf(deployment.Search(0, "orders", "key-alpha")) == 200);
    CHECK(StatusOf(deployment.Search(0, "orders", "key-unknown")) == 401);
    std::this_thread::sleep_for(Millis(1'500));  // until spans are written
    const std::string spans = deployment.Spans();
    CHECK(Contains(spans, "orders"));
    CHECK_FALSE(Contains(spans, "key-"));
    const auto metrics =
        Call(deployment.RouterAddress(0), {.method = "GET", .path = "/metrics"}, Seconds(5));
    REQUIRE(StatusOf(metrics) == 200);
    CHECK(Contains(metrics->body, R"(peridotgauge_callers_refused_total{error="unknown_key"} 1)"));
    CHECK_FALSE(Contains(metrics->body, "key-"));
  }
  SECTION("a new revision rotates keys") {
    REQUIRE(deployment.Apply(
        WithWorkspaces(2, R"({"w1": {"keys": ["key-beta", "key-delta"]}, "w2": {"keys": []}})")));
    const auto await = [&](const std::string& key, int status) {
      const Time end = SteadyNow() + kDeploymentTimeout;
      while (SteadyNow() < end) {
        if (StatusOf(deployment.Search(0, "orders", key)) == status &&
            StatusOf(deployment.Search(1, "orders", key)) == status) {
          return true;
        }
        std::this_thread::sleep_for(Millis(20));
      }
      return false;
    };
    CHECK(await("key-delta", 200));
    CHECK(await("key-alpha", 401));
    CHECK(await("key-gamma", 401));
    CHECK(await("key-beta", 200));
    // A restarted router does not accept a key that was withdrawn before.
    deployment.KillRouter(0);
    deployment.StartRouter(0);
    CHECK(await("key-beta", 200));
    CHECK(StatusOf(deployment.Search(0, "orders", "key-alpha")) == 401);
  }
  SECTION("two workspaces with one key make a text invalid, and the error does not show it") {
    const auto answer = deployment.TryApply(
        WithWorkspaces(2, R"({"w1": {"keys": ["key-alpha"]}, "w2": {"keys": ["key-alpha"]}})"));
    REQUIRE(StatusOf(answer) == 422);
    CHECK(Contains(answer->body, "w1"));
    CHECK(Contains(answer->body, "w2"));
    CHECK_FALSE(Contains(answer->body, "key-alpha"));
  }
}

}  // namespace
}  // namespace peridotgauge
