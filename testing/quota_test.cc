// Tests of request quotas with real controllers, routers and targets. They guard against requests
// that run although they were refused, against costs for requests without a limit, and against
// permits from a controller that does not lead.
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <optional>
#include <string>
#include <thread>

#include "core/router_offer.h"
#include "testing/control_cluster.h"
#include "testing/route_deployment.h"

namespace peridotgauge {
namespace {

Result<QuotaGrants> Ask(Cluster& cluster, ControlClient& client, uint64_t sequence) {
  std::optional<Result<QuotaGrants>> answer;
  client.AskForPermits({.sequence = sequence, .demands = {{"w", 1, 0}}}, SteadyNow() + Millis(700),
                       [&](Result<QuotaGrants> grants) { answer = std::move(grants); });
  REQUIRE(cluster.RunUntil([&] { return answer.has_value(); }));
  return *answer;
}

TEST_CASE("only a confirmed leader answers requests for permits", "[quota][control_plane]") {
  Cluster cluster;
  cluster.group.leader = 1;
  auto r1 = cluster.StartSyncedRouter("r1");
  const auto has_share = [&](uint64_t first) {
    uint64_t sequence = first;
    return cluster.RunUntil([&] {
      const auto grants = Ask(cluster, *r1, ++sequence);
      return grants && grants->own_share == 1;  // the only router that is offered
    });
  };
  CHECK(has_share(0));
  const auto grants = Ask(cluster, *r1, 1'000);
  REQUIRE(grants);
  CHECK(grants->valid == kPermitLifetime);
  CHECK(grants->permits.empty());  // there is no such workspace
  SECTION("a new leader too") {
    cluster.Elect(2);
    CHECK(has_share(1'000));
  }
  SECTION("a leader without a quorum does not") {
    cluster.group.quorum = false;
    CHECK_FALSE(Ask(cluster, *r1, 1'001));
  }
  SECTION("a router that reaches only another controller gets permits through it") {
    ControlClient r2(cluster.io, {.self = {.id = "r2", .incarnation = 1},
                                  .controllers = {cluster.controllers[0]}});
    const auto relayed = Ask(cluster, r2, 1);
    REQUIRE(relayed);
    CHECK(relayed->valid == kPermitLifetime);
    cluster.group.leader = 0;
    CHECK(Ask(cluster, r2, 2));
  }
  SECTION("requests that share a round get one answer each") {
    int answers = 0;
    const int rounds = cluster.group.rounds;
    for (uint64_t i = 1; i <= 50; ++i) {
      r1->AskForPermits({.sequence = 1'000 + i}, SteadyNow() + Seconds(2),
                        [&](const Result<QuotaGrants>& reply) { answers += reply ? 1 : 0; });
    }
    CHECK(cluster.RunUntil([&] { return answers == 50; }));
    CHECK(cluster.group.rounds < rounds + 25);
  }
}

TEST_CASE("requests above the quota of a workspace do not run", "[quota][quota_deployment]") {
  RouteDeployment deployment({.controllers = 1, .routers = 2});
  std::string text = ConfigText(1, {RouteText("r", "/p/", "safe", 2'000, "s")}, {"s"});
  text.insert(text.rfind('}'),
              R"(,"tenants":[{"name":"w","apiKeys":["kw"],"ratePerS":10,"burst":10},)"
              R"({"name":"free","apiKeys":["kf"]}])");
  REQUIRE(deployment.Apply(text));
  RouteTarget target(deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); });
  deployment.Heartbeat(0, "i-1", HeartbeatText("s", target.address, "ready", 1));
  int sent = 0;
  const auto call = [&](const std::string& key) {
    HttpRequest request = CallerRequest("q" + std::to_string(++sent), "GET", "/p/1", Seconds(2));
    if (!key.empty()) request.headers.push_back({"Peridotgauge-Key", key});
    return Call(deployment.RouterAddress(static_cast<size_t>(sent) % 2), request, Seconds(3));
  };
  const auto ready = [&](const std::string& key) {
    const Time limit = SteadyNow() + kDeploymentTimeout;
    for (int served = 0; SteadyNow() < limit;) {
      const auto answer = call(key);
      served = answer && answer->status == 200 ? served + 1 : 0;
      if (served == 2) return true;  // both routers
      // Calls without a pause use up the quota that the next ones need.
      std::this_thread::sleep_for(Millis(150));
    }
    return false;
  };
  REQUIRE(ready("kf"));
  REQUIRE(ready("kw"));
  CHECK(call("")->status == 401);

  // Far above the limit. A wait for a permit takes some milliseconds.
  size_t arrived = target.Arrivals().size();
  const Time begin = SteadyNow();
  size_t served = 0;
  size_t refused = 0;
  while (SteadyNow() < begin + Seconds(3)) {
    std::this_thread::sleep_for(Millis(4));
    const auto answer = call("kw");
    REQUIRE(answer);
    if (answer->status == 200) {
      ++served;
      continue;
    }
    ++refused;
    REQUIRE(answer->status == 429);
    const std::string retry_after(answer->Header("Retry-After"));
    CHECK(std::strtod(retry_after.c_str(), nullptr) > 0);
    CHECK(std::strtod(retry_after.c_str(), nullptr) < 5);
  }
  INFO("served " << served << ", refused " << refused);
  CHECK(refused > 0);
  CHECK(served >= 15);  // about 10 per second
  CHECK(target.Arrivals().size() == arrived + served);
  CHECK(static_cast<double>(served) <= (10 * 5 + 10) * 1.1 + 20);

  // A workspace without a limit is not affected.
  arrived = target.Arrivals().size();
  for (int i = 0; i < 150; ++i) REQUIRE(call("kf")->status == 200);
  CHECK(target.Arrivals().size() == arrived + 150);
}

// Guards against a wait for the leader at the start of a fleet, when callers are told about all of
// its routers because no load is known yet, and each has too small a part of a quota.
TEST_CASE("a fleet with quotas begins with few routers", "[quota][quota_deployment]") {
  const bool limited = GENERATE(false, true);
  RouteDeployment deployment({.controllers = 1, .routers = 6});
  std::string text = ConfigText(1, {RouteText("r", "/p/", "safe", 2'000, "s")}, {"s"});
  text.insert(text.rfind('}'),
              limited ? R"(,"tenants":[{"name":"w","apiKeys":["kw"],"ratePerS":10,"burst":10}])"
                      : R"(,"tenants":[{"name":"w","apiKeys":["kw"]}])");
  const auto offered = [&] {
    const auto answer = Call(deployment.ControllerDirectoryAddress(0),
                             {.method = "GET", .path = "/resolve"}, Seconds(3));
    return answer && answer->status == 200
               ? boost::json::parse(answer->body).at("addrs").as_array().size()
               : 0;
  };
  const auto await = [&](size_t count) {
    for (const Time end = SteadyNow() + kDeploymentTimeout; SteadyNow() < end;) {
      if (offered() == count) return true;
      std::this_thread::sleep_for(Millis(20));
    }
    return false;
  };
  REQUIRE(await(6));
  REQUIRE(deployment.Apply(text));
  if (limited) {
    CHECK(await(kMinOfferedPerDataCentre));
  } else {
    std::this_thread::sleep_for(Seconds(1));
    CHECK(offered() == 6);
  }
}

}  // namespace
}  // namespace peridotgauge
