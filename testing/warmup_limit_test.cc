// Tests the limit on requests to cold targets. They guard against more requests than a cold target
// survives, and against a limit on targets that are warm or have none.
#include "core/warmup_limit.h"

#include <rapidcheck.h>

#include <algorithm>
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

}  // namespace
}  // namespace peridotgauge
