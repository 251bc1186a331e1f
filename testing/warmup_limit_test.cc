// Tests the limit on requests to cold targets. They guard against more requests than a cold target
// survives, and against a limit on targets that are warm or have none.
#include "core/warmup_limit.h"

#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/recent_maximum.h"
#include "io/clock.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(100'000);

TargetRecord ColdTarget(const std::string& name, Duration warmup) {
  return {.target = name,
          .service = "s",
          .incarnation = 1,
          .state = TargetState::kServing,
          .warmup = warmup};
}

// Sends as many requests as there is room for.
int SendAll(WarmupLimit& limit, Time now, const TargetRecord& target, int most = 1'000) {
  int sent = 0;
  for (; sent < most && limit.HasRoom(now, target); ++sent) limit.OnSend(now, target);
  return sent;
}

TEST_CASE("a cold target gets a limited number of requests", "[warmup_limit]") {
  WarmupLimit limit({.overage = 1.5, .slack = 5}, "r1");
  CHECK(limit.Empty());
  limit.SetServices({{"s", 10}});  // at most 20 in any second
  limit.SetRouters(2);
  limit.OnContact(kStart);
  const Time now = kStart + kWarmupSettleTime;
  const TargetRecord target = ColdTarget("t", Seconds(10));
  CHECK_FALSE(limit.Empty());
  CHECK(limit.HasRoom(now, target));  // its record is not known
  REQUIRE(limit.OnRecord(now, target));
  CHECK(limit.IsLimited(now, target));

  SECTION("in any second, until it is warm") {
    CHECK(SendAll(limit, now, target) == 5);
    CHECK(SendAll(limit, now + Millis(999), target) == 0);
    CHECK(SendAll(limit, now + Seconds(1), target) == 5);
    const Time warm = now + Seconds(10) + kWarmupReportTolerance;
    CHECK_FALSE(limit.IsLimited(warm, target));
    CHECK(SendAll(limit, warm, target, 50) == 50);
  }
  SECTION("until it reports that it is warm") {
    SendAll(limit, now, target);
    CHECK_FALSE(limit.OnRecord(now, ColdTarget("t", Duration(0))));
    CHECK(SendAll(limit, now, target, 50) == 50);
  }
  SECTION("which includes those sent before it turned cold again") {
    limit.OnRecord(now, ColdTarget("t", Duration(0)));
    CHECK(SendAll(limit, now, target, 50) == 50);
    REQUIRE(limit.OnRecord(now + Millis(500), target));
    CHECK(SendAll(limit, now + Millis(999), target) == 0);
    CHECK(SendAll(limit, now + Seconds(1), target) == 5);
  }
  SECTION("and none without contact with the controllers, nor soon after it returns") {
    limit.OnContactLost();
    CHECK(SendAll(limit, now, target) == 0);
    limit.OnContact(now);
    CHECK(SendAll(limit, now + kWarmupSettleTime - Millis(1), target) == 0);
    CHECK(SendAll(limit, now + kWarmupSettleTime, target) == 5);
  }
  SECTION("but not if its service has no rate") {
    TargetRecord other = target;
    other.service = "unlimited";
    CHECK_FALSE(limit.OnRecord(now, other));
    CHECK(SendAll(limit, now, other, 50) == 50);
    limit.SetServices({});
    CHECK(limit.Empty());
    CHECK(SendAll(limit, now, target, 50) == 50);
  }
}

// Guards against a router that ignores what a target says of itself, or believes an old value that
// contradicts the target's record.
TEST_CASE("a target that states in its health that it is cold", "[warmup_limit]") {
  WarmupLimit limit({.overage = 1.5, .slack = 5}, "r1");
  limit.SetServices({{"s", 10}});  // at most 20 in any second
  limit.SetRouters(2);
  limit.OnContact(kStart);
  const Time now = kStart + kWarmupSettleTime;
  const TargetRecord target = ColdTarget("t", Duration(0));
  CHECK_FALSE(limit.OnRecord(now, target));
  CHECK(SendAll(limit, now, target, 50) == 50);
  REQUIRE(limit.OnHealth(now, target, Seconds(10)));
  CHECK_FALSE(limit.OnHealth(now, target, Seconds(10)));  // known already
  CHECK(limit.IsLimited(now, target));
  CHECK(SendAll(limit, now, target) == 0);  // those sent before count
  CHECK(limit.StatusOf(now, target)->left == Seconds(10));
  const Time next = now + kWarmupWindow;
  SECTION("gets a limited number of requests until it is warm") {
    CHECK(SendAll(limit, next, target) == 5);
    CHECK(SendAll(limit, now + Seconds(10), target, 50) == 50);
  }
  SECTION("stays cold if its record, which may be older, says that it is warm") {
    CHECK_FALSE(limit.OnRecord(next, target));
    CHECK(SendAll(limit, next, target) == 5);
  }
  SECTION("is warm when its health says so") {
    CHECK_FALSE(limit.OnHealth(next, target, Duration(0)));
    CHECK(SendAll(limit, next, target, 50) == 50);
  }
  SECTION("stays cold for as long as its record says") {
    limit.OnRecord(next, ColdTarget("t", Seconds(30)));
    limit.OnHealth(next, target, Duration(0));
    CHECK(SendAll(limit, next, target) == 5);
  }
  SECTION("says nothing about its next start") {
    TargetRecord successor = target;
    successor.incarnation = 2;
    CHECK(SendAll(limit, next, successor, 50) == 50);
  }
  SECTION("is not limited if its service has no rate") {
    limit.SetServices({});
    CHECK_FALSE(limit.OnHealth(next, target, Seconds(10)));
    CHECK(SendAll(limit, next, target, 50) == 50);
  }
}

// Guards against requests for health that are themselves more than a cold target survives, and
// against those to targets that are not limited.
TEST_CASE("targets are asked for their health seldom", "[warmup_limit]") {
  WarmupLimit limit({.overage = 1.5, .slack = 5}, "r1");
  const TargetRecord target = ColdTarget("t", Duration(0));
  CHECK_FALSE(limit.ShouldAsk(kStart, target, true));  // no rate
  limit.SetServices({{"s", 10}});  // at most 20 in any second, 5 of them for health
  for (const size_t routers : {1, 2, 10, 300}) {
    CAPTURE(routers);
    limit.SetRouters(routers);
    limit.Remove("t");
    int asked = 0;
    constexpr Duration kTime = Seconds(600);
    for (Time now = kStart; now < kStart + kTime; now += Millis(20)) {
      if (!limit.ShouldAsk(now, target, true)) continue;
      limit.OnAsk(now, target);
      ++asked;
    }
    CHECK(asked >= 10);
    CHECK(asked <= kTime / kMinHealthInterval);
    CHECK(static_cast<double>(asked * routers) <= kHealthShare * 20 * ToMillis(kTime) / 1'000 + 1);
  }
  const Time later = kStart + Seconds(1'000);
  CHECK(limit.ShouldAsk(later, target, true));
  limit.OnRecord(later, ColdTarget("t", Seconds(5)));
  CHECK_FALSE(limit.ShouldAsk(later, target, true));  // its record says it
}

// Guards against a cold target that gets nothing, or too much, from routers whose parts are below
// one request per second.
TEST_CASE("in a large fleet some routers may send to a cold target", "[warmup_limit]") {
  for (const double rate : {1.0, 4.0, 20.0, 100.0}) {
    constexpr int kRouters = 190;
    constexpr int kTargets = 200;
    const double most = rate * 1.5 + 5;
    int total = 0;
    int largest = 0;
    std::vector<WarmupLimit> limits;
    for (int i = 0; i < kRouters; ++i) {
      limits.emplace_back(WarmupTolerance{}, "127.3.0." + std::to_string(i));
      limits.back().SetServices({{"s", rate}});
      limits.back().SetRouters(kRouters);
      limits.back().OnContact(kStart);
    }
    const Time now = kStart + kWarmupSettleTime;
    for (int t = 0; t < kTargets; ++t) {
      const TargetRecord target = ColdTarget("i-" + std::to_string(t), Seconds(5));
      int sent = 0;
      for (WarmupLimit& limit : limits) {
        limit.OnRecord(now, target);
        sent += SendAll(limit, now, target);
      }
      total += sent;
      largest = std::max(largest, sent);
    }
    CAPTURE(rate);
    CHECK(largest <= most);
    const double planned = std::min(PlannedSenders(most), kWarmupShare * most);
    CHECK(total > 0.8 * planned * kTargets);
    CHECK(total < 1.2 * planned * kTargets);
  }
}

// --- Drawn histories ---

constexpr Duration kStep = Millis(20);
constexpr Duration kLease = Seconds(2);
constexpr Duration kMemory = Seconds(6);

struct SimulatedRouter {
  SimulatedRouter(std::string id, double rate, Time now, Duration lag)
      : id(std::move(id)), limit({}, this->id), serving(kMemory), since(now), lag(lag) {
    this->limit.SetServices({{"s", rate}});
    this->limit.OnContact(now);
  }
  std::string id;
  WarmupLimit limit;
  RecentMaximum serving;
  Time since;                     // start of the process
  Duration lag;                   // after which it learns of changes; below the length of a lease
  std::optional<Time> cut_since;  // without contact
  bool contact_lost = false;
};

struct SimulatedTarget {
  TargetRecord record;
  std::optional<Time> cold_since;
  Time cold_until;
  std::deque<Time> arrivals;  // of the last second, while cold
};

// Guards against a sum over all routers above the limit, whatever happens to the routers: they
// join, leave, are replaced without memory, or lose contact and keep an old number of routers.
// Every router sends whenever it finds room, which is the worst load.
TEST_CASE("all routers together stay within the limit of a cold target",
          "[warmup_limit][property]") {
  REQUIRE(rc::check([] {
    const double rate = *rc::gen::elementOf(std::vector<double>{1, 3, 8, 25, 60});
    const double most = rate * 1.5 + 5;
    std::mt19937_64 random(*rc::gen::arbitrary<uint32_t>());
    const auto below = [&](size_t n) {
      return std::uniform_int_distribution<size_t>(0, n - 1)(random);
    };
    std::vector<std::unique_ptr<SimulatedRouter>> routers;
    std::vector<SimulatedTarget> targets(2);
    targets[0].record = ColdTarget("a", Duration(0));
    targets[1].record = ColdTarget("b", Duration(0));
    Time now = kStart;
    const auto start = [&](const std::string& id) {
      auto router = std::make_unique<SimulatedRouter>(id, rate, now, Millis(below(2'000)));
      for (const SimulatedTarget& target : targets) {
        TargetRecord known = target.record;
        known.warmup = std::max(target.cold_until - now, Duration(0));
        router->limit.OnRecord(now, known);
      }
      return router;
    };
    int last_id = 0;
    const size_t initial = 1 + below(40);
    while (routers.size() < initial) routers.push_back(start("r" + std::to_string(++last_id)));
    std::vector<size_t> counts;  // of the routers in the list, by step
    // Calm histories reach the planned use, and eventful ones mix many generations of routers.
    const size_t events = *rc::gen::elementOf(std::vector<size_t>{60, 200, 1'000});
    const Duration cut_length = Seconds(*rc::gen::inRange(1, 15));
    constexpr int kSteps = 1'000;
    for (int step = 0; step < kSteps; ++step, now += kStep) {
      for (SimulatedTarget& target : targets) {
        if (!target.cold_since || now < target.cold_until) continue;
        target.cold_since.reset();
        target.arrivals.clear();
      }
      const size_t event = below(events);
      auto& chosen = routers[below(routers.size())];
      if (event == 0 && routers.size() < 80) {
        // Up to as many as there are.
        for (size_t joins = 1 + below(routers.size()); joins > 0 && routers.size() < 80; --joins) {
          routers.push_back(start("r" + std::to_string(++last_id)));
        }
      } else if (event == 1 && routers.size() > 1) {
        std::swap(chosen, routers.back());
        routers.pop_back();
      } else if (event == 2) {
        chosen = start(chosen->id);
      } else if (event == 3 && !chosen->cut_since) {
        chosen->cut_since = now;
      } else if (event >= 4 && event < 6) {
        SimulatedTarget& target = targets[event - 4];
        target.record.warmup = Millis(static_cast<int64_t>(100 + below(6'000)));
        target.cold_until = now + target.record.warmup;
        if (!target.cold_since) target.cold_since = now;
        for (const auto& router : routers) router->limit.OnRecord(now, target.record);
      }
      counts.push_back(routers.size());
      for (const auto& router : routers) {
        // A lease begins with what the router knows.
        const Time lease_end = router->cut_since.value_or(now) - router->lag + kLease;
        if (router->cut_since && now >= lease_end && !router->contact_lost) {
          router->limit.OnContactLost();
          router->contact_lost = true;
        }
        if (router->cut_since && now >= *router->cut_since + cut_length) {
          router->cut_since.reset();
          router->contact_lost = false;
          router->limit.OnContact(now);
        }
        if (!router->cut_since) {
          const auto known = (std::max(now - router->lag, router->since) - kStart) / kStep;
          router->serving.Set(now, counts[static_cast<size_t>(std::max<int64_t>(known, 0))]);
        }
        router->limit.SetRouters(std::max<size_t>(router->serving.Get(now), 1));
        for (SimulatedTarget& target : targets) {
          const int sent = SendAll(router->limit, now, target.record, 3);
          if (target.cold_since) target.arrivals.insert(target.arrivals.end(), sent, now);
        }
      }
      for (SimulatedTarget& target : targets) {
        std::deque<Time>& arrivals = target.arrivals;
        while (!arrivals.empty() && arrivals.front() <= now - kWarmupWindow) arrivals.pop_front();
        RC_ASSERT(static_cast<double>(arrivals.size()) <= most);
      }
    }
  }));
}

// --- With real components ---

// Guards against a router that does not apply the limit, a leader that does not tell routers that a
// target turns cold, and a service without a rate that is limited.
TEST_CASE("routers limit the requests to a cold target", "[warmup_limit][evacuation]") {
  RouteDeployment deployment({.controllers = 1, .routers = 2});
  constexpr int kRate = 4;
  const bool limited = GENERATE(true, false);
  CAPTURE(limited);
  std::string text = ConfigText(1, {RouteText("r", "/p/", "safe", 2'000, "s")}, {"s"});
  if (limited) {
    const std::string member = R"("maxConns":40)";
    text.replace(text.find(member), member.size(),
                 member + R"(,"warmupPerS":)" + std::to_string(kRate));
  }
  REQUIRE(deployment.Apply(text));
  RouteTarget target(deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); });
  const auto heartbeat = [&](uint64_t sequence, int warmup_ms) {
    std::string body = HeartbeatText("s", target.address, "ready", sequence);
    const std::string member = R"("warmupLeftMs":0)";
    body.replace(body.find(member), member.size(),
                 R"("warmupLeftMs":)" + std::to_string(warmup_ms));
    const auto answer = deployment.Heartbeat(0, "i-1", body);
    return answer && answer->status == 200;
  };
  REQUIRE(heartbeat(1, 0));
  REQUIRE(deployment.AwaitRoute("/p/ready"));
  std::this_thread::sleep_for(kWarmupSettleTime);
  REQUIRE(heartbeat(2, 60'000));
  std::this_thread::sleep_for(Seconds(2));  // until all routers know, and a window
  int sent = 0;
  int refused = 0;
  const size_t before = target.Arrivals().size();
  for (const Time end = SteadyNow() + Seconds(3); SteadyNow() < end; ++sent) {
    const auto answer =
        Call(deployment.RouterAddress(static_cast<size_t>(sent % 2)),
             CallerRequest("c-" + std::to_string(sent), "GET", "/p/x", Seconds(1)), Seconds(1));
    if (answer && answer->status == 503) {
      ++refused;
      CHECK_FALSE(answer->Header("Retry-After").empty());
    }
  }
  const std::vector<Time> arrivals = target.ArrivalTimes();
  if (!limited) {
    CHECK(refused == 0);
    return;
  }
  CHECK(refused > 0);
  CHECK(arrivals.size() > before);
  for (size_t i = before; i < arrivals.size(); ++i) {
    const auto in_window =
        std::count_if(arrivals.begin() + static_cast<ptrdiff_t>(i), arrivals.end(),
                      [&](Time time) { return time < arrivals[i] + Seconds(1); });
    CHECK(static_cast<double>(in_window) <= kRate * 1.5 + 5);
  }
  REQUIRE(heartbeat(3, 0));
  CHECK(deployment.AwaitRoute("/p/warm"));
}

// Guards against routers that send as many requests as to a warm target although the target's
// health says that it is cold: until the next heartbeat, or as long as they have no contact with
// the controllers and no record reaches them.
TEST_CASE("routers learn from a target's health that it is cold", "[warmup_limit]") {
  const bool contact = GENERATE(true, false);
  CAPTURE(contact);
  RouteDeployment deployment({.controllers = 1, .routers = 2});
  constexpr int kRate = 4;
  std::string text = ConfigText(1, {RouteText("r", "/p/", "safe", 2'000, "s")}, {"s"});
  const std::string member = R"("maxConns":40)";
  text.replace(text.find(member), member.size(),
               member + R"(,"warmupPerS":)" + std::to_string(kRate));
  REQUIRE(deployment.Apply(text));
  std::atomic<bool> cold = false;
  RouteTarget target(
      deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); },
      [&](HttpResponse& response) {
        if (cold && response.body == "/health") {
          response.headers.push_back({"Peridotgauge-Warmup-Ms", "60000"});
        }
      });
  // No heartbeat tells the controllers that the target is cold.
  const auto registered =
      deployment.Heartbeat(0, "i-1", HeartbeatText("s", target.address, "ready", 1));
  REQUIRE(registered);
  REQUIRE(registered->status == 200);
  REQUIRE(deployment.AwaitRoute("/p/ready"));
  std::this_thread::sleep_for(kWarmupSettleTime);
  if (!contact) {
    deployment.KillController(0);
    std::this_thread::sleep_for(kLeaseLength + Seconds(1));
  }
  int sent = 0;
  const auto refused_by = [&](size_t router) {
    const auto answer =
        Call(deployment.RouterAddress(router),
             CallerRequest("c-" + std::to_string(++sent), "GET", "/p/x", Seconds(1)), Seconds(1));
    return answer && answer->status == 503;
  };
  for (const Time end = SteadyNow() + Seconds(1); SteadyNow() < end;) {
    CHECK_FALSE(refused_by(0));
    CHECK_FALSE(refused_by(1));
  }
  cold = true;
  for (const size_t router : {0, 1}) {
    const Time end = SteadyNow() + kDeploymentTimeout / 2;
    bool limited = false;
    while (!limited && SteadyNow() < end) limited = refused_by(router);
    REQUIRE(limited);
  }
  std::this_thread::sleep_for(kWarmupWindow);
  const size_t before = target.Arrivals().size();
  for (const Time end = SteadyNow() + Seconds(3); SteadyNow() < end;) refused_by(sent % 2);
  const std::vector<Time> arrivals = target.ArrivalTimes();
  // Without contact a router does not know its part and sends nothing.
  if (!contact) CHECK(arrivals.size() == before);
  if (contact) CHECK(arrivals.size() > before);
  for (size_t i = before; i < arrivals.size(); ++i) {
    const auto in_window =
        std::count_if(arrivals.begin() + static_cast<ptrdiff_t>(i), arrivals.end(),
                      [&](Time time) { return time < arrivals[i] + kWarmupWindow; });
    CHECK(static_cast<double>(in_window) <= kRate * 1.5 + 5);
  }
}

}  // namespace
}  // namespace peridotgauge
