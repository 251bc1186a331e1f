// Guards against callers that use too many routers for their load, too few, or routers that are
// gone.
#include "core/router_offer.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(100'000);

RouterMap Fleet(size_t routers, size_t data_centres) {
  RouterMap fleet;
  for (size_t i = 0; i < routers; ++i) {
    const std::string id = "r" + std::to_string(i);
    fleet[id] = {.id = id,
                 .incarnation = 1,
                 .data_centre = "dc-" + std::to_string(i % data_centres),
                 .http_address = id};
  }
  return fleet;
}

std::set<Address> AsSet(const std::vector<Address>& addresses) {
  return {addresses.begin(), addresses.end()};
}

TEST_CASE("the routers that a caller is told about", "[router_offer]") {
  RouterMap fleet = Fleet(191, 5);
  SECTION("are the same for callers of all data centres, their own first") {
    const auto in_a = OfferedRouters(fleet, 30, "dc-0");
    const auto in_b = OfferedRouters(fleet, 30, "dc-1");
    CHECK(in_a.size() == 30);
    CHECK(AsSet(in_a) == AsSet(in_b));
    CHECK(AsSet(OfferedRouters(fleet, 30, "elsewhere")) == AsSet(in_a));
    for (size_t i = 0; i < 6; ++i) CHECK(fleet.at(in_b[i]).data_centre == "dc-1");
  }
  SECTION("are at most as many as a caller uses") {
    CHECK(OfferedRouters(fleet, 0, "dc-0").size() == kMaxListedRouters);
    CHECK(OfferedRouters(fleet, 150, "dc-3").size() == kMaxListedRouters);
  }
  SECTION("are all routers of a small fleet") {
    CHECK(OfferedRouters(Fleet(9, 3), 0, "dc-0").size() == 9);
    CHECK(OfferedRouters(Fleet(9, 3), 12, "dc-0").size() == 9);
    CHECK(OfferedRouters({}, 0, "dc-0").empty());
  }
  SECTION("change by one router when one drains") {
    const auto before = AsSet(OfferedRouters(fleet, 30, "dc-0"));
    const std::string leaving = *before.begin();
    fleet.at(leaving).draining = true;
    const auto after = AsSet(OfferedRouters(fleet, 30, "dc-0"));
    CHECK(after.size() == 30);
    CHECK_FALSE(after.contains(leaving));
    std::vector<Address> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                          std::back_inserter(kept));
    CHECK(kept.size() == 29);
  }
  SECTION("never include a draining router, and come from all data centres") {
    rc::check("any fleet", [] {
      const auto data_centres = *rc::gen::inRange<size_t>(1, 7);
      RouterMap routers = Fleet(*rc::gen::inRange<size_t>(data_centres, 120), data_centres);
      for (auto& [id, router] : routers) router.draining = *rc::gen::inRange(0, 4) == 0;
      const auto count = *rc::gen::inRange<size_t>(data_centres, 150);
      std::set<std::string> active;
      std::set<std::string> served;
      for (const auto& [id, router] : routers) {
        if (!router.draining) active.insert(router.data_centre);
      }
      const auto offered = OfferedRouters(routers, count, "dc-0");
      for (const Address& address : offered) {
        RC_ASSERT(!routers.at(address).draining);
        served.insert(routers.at(address).data_centre);
      }
      RC_ASSERT(AsSet(offered).size() == offered.size());
      if (count <= kMaxListedRouters) RC_ASSERT(served == active);
    });
  }
}

TEST_CASE("the number of routers follows the load", "[router_offer]") {
  RouterOfferPolicy policy;
  policy.Reset(kStart);
  const auto loads = [](size_t routers, double total) {
    return std::vector<RouterLoad>(
        routers,
        {.sub_requests_per_s = total / static_cast<double>(routers), .processor_share = 0.12});
  };
  // Runs the policy as the leader does, and returns the number that it ends at.
  const auto settle = [&](size_t current, size_t active, double total, Time& now) {
    for (int i = 0; i < 100; ++i) {
      now += Millis(100);
      if (const auto next = policy.NextCount(now, current, active, 5, loads(active, total))) {
        current = *next;
      }
    }
    return current;
  };
  Time now = kStart;
  SECTION("a light load is carried by few") {
    const size_t count = settle(191, 191, 6'300, now);
    CHECK(count >= 35);
    CHECK(count <= 45);
    SECTION("more load is answered at once") {
      const auto next = policy.NextCount(now + Millis(1), count, 191, 5, loads(191, 40'000));
      CHECK(next == 191);
    }
    SECTION("a small change is not followed") {
      CHECK_FALSE(policy.NextCount(now + Seconds(10), count, 191, 5, loads(191, 6'900)));
    }
  }
  SECTION("a heavy load is carried by all") {
    CHECK(settle(30, 191, 1e6, now) == 191);
    CHECK(settle(191, 191, 1e6, now) == 191);
  }
  SECTION("a nearly idle fleet keeps some in every data centre") {
    CHECK(settle(191, 191, 1, now) <= 6 * kMinOfferedPerDataCentre);
    CHECK(settle(191, 191, 1, now) >= 5 * kMinOfferedPerDataCentre);
  }
  SECTION("a fleet without any load is not lowered: the load that comes is unknown") {
    CHECK(settle(191, 191, 0, now) == 191);
  }
  SECTION("it is not lowered while the load rises, so that few routers do not meet a rush") {
    size_t current = 191;
    for (double total = 100; total < 6'000; total *= 1.15) {
      now += kOfferInterval;
      if (const auto next = policy.NextCount(now, current, 191, 5, loads(191, total))) {
        current = *next;
      }
    }
    CHECK(current == 191);
  }
  SECTION("a fleet of today uses all its routers") {
    CHECK_FALSE(policy.NextCount(kStart + Seconds(10), 9, 9, 3, loads(9, 0)));
  }
  SECTION("it is not lowered right after a change of leader, nor without reports") {
    CHECK_FALSE(policy.NextCount(kStart + Seconds(1), 191, 191, 5, loads(3, 10)));
    CHECK_FALSE(policy.NextCount(kStart + Seconds(10), 191, 191, 5, {}));
  }
  SECTION("it is halved at most once in an interval") {
    CHECK_FALSE(policy.NextCount(kStart + Seconds(3), 191, 191, 5, loads(191, 10)));
    CHECK(policy.NextCount(kStart + Seconds(5), 191, 191, 5, loads(191, 10)) == 95);
    CHECK_FALSE(policy.NextCount(kStart + Seconds(6), 95, 191, 5, loads(191, 10)));
    CHECK(policy.NextCount(kStart + Seconds(7), 95, 191, 5, loads(191, 10)) == 47);
  }
}

TEST_CASE("a rate is averaged over the last seconds", "[router_offer]") {
  RateMeter meter;
  CHECK(meter.PerSecond(kStart) == 0);
  for (int i = 0; i < 300; ++i) meter.Add(kStart + i * Millis(100), 10);
  const Time end = kStart + Seconds(30);
  CHECK(meter.PerSecond(end) == Approx(100).epsilon(0.05));
  CHECK(meter.PerSecond(end + Seconds(30)) < 1);
}

}  // namespace
}  // namespace peridotgauge
