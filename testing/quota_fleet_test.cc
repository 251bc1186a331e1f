// Tests of the request quotas of all routers and the leader together, on simulated time. They guard
// against more requests than the quota allows in any window, in histories of restarts, lost
// contact and new leaders, and against refusals of callers that stay below their limit.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <string>
#include <vector>

#include "testing/quota_simulation.h"

namespace peridotgauge {
namespace {

// Workspaces of the ticket search: 120 requests per second, the largest 30 of them. The limits are
// 1.6 times the usual rate, and the burst is as large as the limit's rate.
struct Usual {
  std::vector<Workspace> workspaces;
  std::vector<double> rates;
};

Usual TicketSearch() {
  Usual usual;
  double sum = 0;
  for (int i = 1; i <= 86; ++i) {
    usual.rates.push_back(std::pow(i, -1.15));
    sum += usual.rates.back();
  }
  for (double& rate : usual.rates) {
    rate *= 120 / sum;
    usual.workspaces.push_back(
        {.name = "w" + std::to_string(usual.workspaces.size()), .quota = {1.6 * rate, 1.6 * rate}});
  }
  return usual;
}

// kFewRouters: three for each workspace, as callers stay with the routers that they know.
enum class Place { kAnyRouter, kOwnRouter, kOneRouter, kFewRouters };

void LoadAll(QuotaSimulation& fleet, const Usual& usual, Place place) {
  for (size_t i = 0; i < usual.rates.size(); ++i) {
    fleet.Load(usual.workspaces[i].name, usual.rates[i], [&fleet, place, i]() -> size_t {
      if (place == Place::kAnyRouter) return fleet.RandomRouter();
      if (place == Place::kFewRouters) return (7 * i + fleet.RandomRouter() % 3) % fleet.Routers();
      return place == Place::kOwnRouter ? i % fleet.Routers() : 0;
    });
  }
}

double Refused(const QuotaSimulation::Counts& count) {
  return count.sent == 0 ? 0 : static_cast<double>(count.refused) / static_cast<double>(count.sent);
}

TEST_CASE("callers below their limit are not refused", "[quota][quota_fleet]") {
  const Usual usual = TicketSearch();
  for (const size_t routers : {8, 12, 20}) {
    for (const Place place : {Place::kAnyRouter, Place::kOwnRouter, Place::kOneRouter}) {
      for (const bool started : {false, true}) {
        QuotaSimulation fleet({.routers = routers}, 7 + routers);
        fleet.SetWorkspaces(usual.workspaces);
        fleet.Run(Seconds(30));
        LoadAll(fleet, usual, place);
        fleet.Run(Seconds(20));
        if (started) {
          for (size_t i = 0; i < fleet.Routers(); ++i) fleet.RestartRouter(i);
          fleet.Run(Millis(100));  // no router has a configuration before
        }
        fleet.ResetCounts();
        fleet.Run(Seconds(60));
        const auto total = fleet.Total();
        INFO(routers << " routers, place " << static_cast<int>(place) << ", started " << started
                     << ": sent " << total.sent << ", refused " << total.refused << ", waited "
                     << total.waited << ", longest " << ToMillis(total.longest_wait) << " ms, asks "
                     << fleet.Asks());
        CHECK(Refused(total) < 0.001);
        CHECK(fleet.Count("w0").refused == 0);
      }
    }
  }
}

// What callers below their limit wait for, for comparisons by hand:
// build/unit_tests "[quota_wait_table]" -s.
TEST_CASE("waits of callers below their limit", "[.quota_wait_table]") {
  const Usual usual = TicketSearch();
  for (const size_t routers : {12, 30, 64, 83, 300}) {
    for (const Place place : {Place::kAnyRouter, Place::kFewRouters}) {
      QuotaSimulation fleet({.routers = routers, .advance_buckets = true}, 7 + routers);
      fleet.SetWorkspaces(usual.workspaces);
      fleet.Run(Seconds(30));
      LoadAll(fleet, usual, place);
      fleet.Run(Seconds(30));
      fleet.ResetCounts();
      const uint64_t asks = fleet.Asks();
      fleet.Run(Seconds(60));
      const auto total = fleet.Total();
      const auto sent = static_cast<double>(total.sent);
      std::cout << routers << " routers, " << (place == Place::kAnyRouter ? "any" : "few")
                << ": waited " << static_cast<double>(total.waited) / sent << ", mean wait of all "
                << static_cast<double>(ToMillis(total.total_wait)) / sent << " ms, longest "
                << ToMillis(total.longest_wait) << " ms, refused " << Refused(total)
                << ", asks per second " << static_cast<double>(fleet.Asks() - asks) / 60
                << std::endl;
    }
  }
}

TEST_CASE("a workspace at 12 times its rate takes nothing from the others",
          "[quota][quota_fleet]") {
  const Usual usual = TicketSearch();
  for (const size_t routers : {8, 20}) {
    for (const size_t loud : {0, 5, 40}) {
      QuotaSimulation fleet({.routers = routers}, 11 + routers);
      fleet.SetWorkspaces(usual.workspaces);
      fleet.Run(Seconds(30));
      LoadAll(fleet, usual, Place::kAnyRouter);
      fleet.Run(Seconds(20));
      fleet.ResetCounts();
      const Workspace& workspace = usual.workspaces[loud];
      fleet.Load(workspace.name, 12 * usual.rates[loud], [&] { return fleet.RandomRouter(); });
      fleet.Run(Seconds(30));
      const auto own = fleet.Count(workspace.name);
      const auto total = fleet.Total();
      const double others = static_cast<double>(total.refused - own.refused) /
                            static_cast<double>(total.sent - own.sent);
      INFO(routers << " routers, " << workspace.name << ": admitted " << own.admitted << " of "
                   << own.sent << ", limit " << workspace.quota.rate_per_s * 30
                   << ", others refused " << others << ", asks " << fleet.Asks());
      CHECK(others < 0.002);
      CHECK(fleet.Excess(workspace.name, workspace.quota) <= 0);
      // Permits are not wasted: the loud workspace gets what it may have.
      CHECK(static_cast<double>(own.admitted) > 0.9 * workspace.quota.rate_per_s * 30);
    }
  }
}

TEST_CASE("a restarted router and a new leader cost callers below their limit little",
          "[quota][quota_fleet]") {
  const Usual usual = TicketSearch();
  QuotaSimulation fleet({.routers = 12}, 3);
  fleet.SetWorkspaces(usual.workspaces);
  fleet.Run(Seconds(30));
  LoadAll(fleet, usual, Place::kAnyRouter);
  fleet.Run(Seconds(20));
  fleet.ResetCounts();
  SECTION("a new leader after 300 ms") {
    fleet.ChangeLeader(Millis(300));
    fleet.Run(Seconds(10));
    INFO("refused " << fleet.Total().refused << " of " << fleet.Total().sent);
    CHECK(fleet.Total().refused < 120);  // one second's requests
  }
  SECTION("a third of the routers lose the controllers, and keep serving") {
    for (size_t i = 0; i < 4; ++i) fleet.Disconnect(i);
    fleet.Run(Seconds(30));
    INFO("refused " << fleet.Total().refused << " of " << fleet.Total().sent << ", w0 "
                    << Refused(fleet.Count("w0")) << ", w5 " << Refused(fleet.Count("w5"))
                    << ", w50 " << Refused(fleet.Count("w50")));
    CHECK(Refused(fleet.Total()) < 0.15);
    CHECK(Refused(fleet.Count("w0")) < 0.1);
  }
  for (const Workspace& workspace : usual.workspaces) {
    CHECK(fleet.Excess(workspace.name, workspace.quota) <= 0);
  }
}

// Workspaces with limits of different size.
std::vector<Workspace> FourWorkspaces() {
  return {{.name = "large", .quota = {43, 43}},
          {.name = "middle", .quota = {8, 0}},
          {.name = "small", .quota = {0.5, 0.5}},
          {.name = "wide", .quota = {90, 9}}};
}

void LowerLimits(std::vector<Workspace>& workspaces) {
  for (Workspace& each : workspaces) each.quota = {each.quota.rate_per_s / 3, 0};
}

// Guards against a new leader that counts a workspace above its limit as far from it, because its
// bucket holds what a new term begins with: the router then admitted 14 requests at once without a
// permit, in addition to its base allowance. Shrunk from a drawn history.
TEST_CASE("a new leader of a workspace above its limit admits no open requests",
          "[quota][quota_fleet]") {
  QuotaSimulation fleet({.routers = 1}, 0);
  std::vector<Workspace> workspaces = FourWorkspaces();
  fleet.SetWorkspaces(workspaces);
  fleet.Run(Seconds(1));
  const auto any = [&fleet] { return fleet.RandomRouter(); };
  fleet.Load("large", 12 * 43, any);
  fleet.Load("middle", 3 * 8, any);
  fleet.Load("small", 12 * 0.5, any);
  fleet.Load("wide", 0.5 * 90, any);
  fleet.Run(Millis(20'700));
  fleet.Load("middle", 0, {});
  fleet.Run(Millis(20));
  fleet.RestartRouter(0);
  fleet.Run(Seconds(18));
  fleet.RestartRouter(0);
  fleet.Run(Seconds(6));
  fleet.Disconnect(0);
  fleet.Run(Seconds(6));
  LowerLimits(workspaces);
  fleet.Reconnect(0);
  fleet.Run(Seconds(1));
  fleet.SetWorkspaces(workspaces);
  fleet.Run(Seconds(6));
  const Time since = fleet.Now();
  fleet.RestartRouter(0);
  fleet.Run(Seconds(12));
  fleet.RestartRouter(0);
  fleet.Run(Seconds(18));
  fleet.ChangeLeader(Seconds(5));
  fleet.Run(Seconds(12));
  fleet.ChangeLeader(Duration(0));
  fleet.Run(Seconds(2));
  for (const Workspace& workspace : workspaces) {
    INFO(workspace.name);
    CHECK(fleet.Excess(workspace.name, workspace.quota, since) <= 0);
  }
}

// Guards against base allowances of routers without contact beside those of routers that were added
// later: a lost router that had been the only one kept the whole base allowance, and the new ones
// had it again. A workspace was up to 4.3 above its limit. Shrunk from a drawn history.
TEST_CASE("routers without contact while others are added", "[quota][quota_fleet]") {
  for (uint64_t seed = 0; seed < 4; ++seed) {
    for (const size_t routers : {1, 2, 4}) {
      QuotaSimulation fleet({.routers = routers}, seed);
      std::vector<Workspace> workspaces = FourWorkspaces();
      fleet.SetWorkspaces(workspaces);
      fleet.Run(Seconds(1));
      const auto any = [&fleet] { return fleet.RandomRouter(); };
      fleet.Load("large", 3 * 43, any);
      fleet.Load("middle", 3 * 8, any);
      fleet.Load("small", 0.5 * 0.5, any);
      fleet.Load("wide", 0.5 * 90, any);
      fleet.Run(Seconds(14));
      LowerLimits(workspaces);
      fleet.SetWorkspaces(workspaces);
      fleet.Run(Seconds(7));
      const Time since = fleet.Now();
      for (size_t i = 0; i < routers; ++i) fleet.Disconnect(i);
      fleet.Run(Seconds(6));
      fleet.AddRouter();
      fleet.Run(Seconds(12));
      fleet.AddRouter();
      fleet.Run(Millis(700));
      fleet.AddRouter();
      fleet.Run(Millis(700));
      fleet.AddRouter();
      fleet.Run(Seconds(80));  // longer than the leader remembers lost routers
      for (size_t i = 0; i < routers; ++i) fleet.Reconnect(i);
      fleet.Run(Seconds(20));
      for (const Workspace& workspace : workspaces) {
        INFO("seed " << seed << ", " << routers << " routers, " << workspace.name);
        CHECK(fleet.Excess(workspace.name, workspace.quota, since) <= 0);
      }
    }
  }
}

// Guards against open requests above the limit: a burst of a workspace with a small limit at all
// routers at the same moment, while none of them knows that it is near its limit.
void CheckBurstEverywhere(size_t routers) {
  for (const bool slow : {false, true}) {
    for (const RequestQuota& quota : {RequestQuota{0.5, 0.5}, RequestQuota{0.5 / 3, 0}}) {
      QuotaSimulation fleet({.routers = routers,
                             .max_delay = Millis(slow ? 100 : 5),
                             .slow_delay = Millis(slow ? 400 : 90),
                             .advance_buckets = true},
                            5);
      fleet.SetWorkspaces({{.name = "small", .quota = quota}, {.name = "wide", .quota = {90, 9}}});
      fleet.Run(Seconds(1));
      // Keeps all routers asking, so that they know which workspaces are near their limit.
      fleet.Load("wide", 60, [&fleet] { return fleet.RandomRouter(); });
      fleet.Run(Seconds(20));
      for (size_t i = 0; i < fleet.Routers(); ++i) fleet.Burst("small", 60, i);
      fleet.Run(Seconds(6));
      INFO(routers << " routers, slow " << slow << ", rate " << quota.rate_per_s);
      CHECK(fleet.Excess("small", quota) <= 0);
    }
  }
}

TEST_CASE("a burst of a small workspace at all of a few routers", "[quota][quota_fleet]") {
  for (const size_t routers : {1, 2, 3, 7, 8, 9, 12, 14}) CheckBurstEverywhere(routers);
}

TEST_CASE("a burst of a small workspace at all of many routers", "[quota][quota_fleet]") {
  for (const size_t routers : {13, 20, 30, 64, 83, 200}) CheckBurstEverywhere(routers);
}

// Guards against open requests of larger workspaces above the limit: a burst at all routers while
// the workspace is used just below its limit, so that its bucket is rarely near empty, or when some
// routers have lost the controllers.
TEST_CASE("a burst of a busy workspace at all of many routers", "[quota][quota_fleet]") {
  for (const size_t routers : {20, 30, 83, 200}) {
    for (const RequestQuota& quota :
         {RequestQuota{2, 2}, RequestQuota{8, 0}, RequestQuota{43, 43}, RequestQuota{90, 9}}) {
      for (const bool lost : {false, true}) {
        QuotaSimulation fleet({.routers = routers, .advance_buckets = true}, 5);
        fleet.SetWorkspaces({{.name = "busy", .quota = quota}, {.name = "wide", .quota = {90, 9}}});
        fleet.Run(Seconds(1));
        fleet.Load("wide", 60, [&fleet] { return fleet.RandomRouter(); });
        fleet.Load("busy", 0.95 * quota.rate_per_s, [&fleet] { return fleet.RandomRouter(); });
        fleet.Run(Seconds(20));
        if (lost) {
          for (size_t i = 0; i < routers / 2; ++i) fleet.Disconnect(i);
          fleet.Run(Seconds(5));
        }
        for (int burst = 0; burst < 4; ++burst) {
          for (size_t i = 0; i < fleet.Routers(); ++i) fleet.Burst("busy", 60, i);
          fleet.Run(Seconds(11));
        }
        INFO(routers << " routers, lost " << lost << ", rate " << quota.rate_per_s);
        CHECK(fleet.Excess("busy", quota) <= 0);
      }
    }
  }
}

TEST_CASE("all routers together keep the quota in every window", "[quota][quota_fleet][property]") {
  double most_used = 0;
  CHECK(rc::check("drawn histories", [&] {
    const size_t routers = *rc::gen::element<size_t>(1, 2, 3, 8, 12, 20);
    const bool slow = *rc::gen::arbitrary<bool>();
    QuotaSimulation fleet({.routers = routers,
                           .min_delay = Millis(1),
                           .max_delay = slow ? Millis(100) : Millis(5),
                           .slow_delay = Millis(slow ? 400 : 90)},
                          *rc::gen::arbitrary<uint64_t>());
    std::vector<Workspace> workspaces = FourWorkspaces();
    fleet.SetWorkspaces(workspaces);
    fleet.Run(Seconds(1));
    Time since = fleet.Now();  // the limits of `workspaces` are in force from here on
    const auto check = [&](Time from) {
      for (const Workspace& workspace : workspaces) {
        const double excess = fleet.Excess(workspace.name, workspace.quota, from);
        RC_LOG() << workspace.name << ": " << excess << " above the limit\n";
        RC_ASSERT(excess <= 0);
        most_used = std::max(most_used, 1 + excess / QuotaExcess(workspace.quota, {}));
      }
    };
    for (const Workspace& workspace : workspaces) {
      fleet.Load(workspace.name, workspace.quota.rate_per_s * *rc::gen::element(0.5, 3.0, 12.0),
                 [&fleet] { return fleet.RandomRouter(); });
    }
    fleet.Run(*rc::gen::element<Duration>(Seconds(2), Seconds(13), Seconds(20)));
    bool lowered = false;
    const int steps = *rc::gen::inRange(3, 25);
    for (int step = 0; step < steps; ++step) {
      const size_t router = *rc::gen::inRange<size_t>(0, fleet.Routers());
      const size_t which = *rc::gen::inRange<size_t>(0, workspaces.size());
      const Workspace& workspace = workspaces[which];
      const int event = *rc::gen::inRange(0, 12);
      RC_LOG() << "at " << ToMillis(fleet.Now() - since) << " ms: event " << event << " router "
               << router << " " << workspace.name << "\n";
      switch (event) {
        case 0:
          fleet.RestartRouter(router);
          break;
        case 1:
          for (size_t i = 0; i < fleet.Routers(); ++i) fleet.RestartRouter(i);
          break;
        case 2:
          fleet.Disconnect(router);
          break;
        case 3:
          for (size_t i = 0; i < fleet.Routers(); ++i) fleet.Reconnect(i);
          break;
        case 4:
          fleet.ChangeLeader(*rc::gen::element<Duration>(Millis(0), Millis(300), Seconds(5)));
          break;
        case 5:
          if (fleet.Routers() < 30) fleet.AddRouter();
          break;
        case 6:
          fleet.Burst(workspace.name, 400, router);
          break;
        case 10:
          // After a pause or under load: permits that are held everywhere are spent at once.
          if (*rc::gen::arbitrary<bool>()) fleet.Load(workspace.name, 0, {});
          fleet.Run(*rc::gen::element<Duration>(Millis(0), Millis(450), Seconds(2)));
          for (size_t i = 0; i < fleet.Routers(); ++i) fleet.Burst(workspace.name, 60, i);
          break;
        case 7:
          fleet.Load(workspace.name, 0, {});
          break;
        default: {
          const double rate = workspace.quota.rate_per_s * *rc::gen::element(1, 3, 12);
          const bool anywhere = *rc::gen::arbitrary<bool>();
          fleet.Load(workspace.name, rate, [&fleet, anywhere, router] {
            return anywhere ? fleet.RandomRouter() : router;
          });
        }
      }
      fleet.Run(*rc::gen::element<Duration>(Millis(20), Millis(700), Seconds(2), Seconds(6),
                                            Seconds(12)));
      if (!lowered && *rc::gen::inRange(0, 8) == 0) {
        check(since);
        lowered = true;
        LowerLimits(workspaces);
        for (size_t i = 0; i < fleet.Routers(); ++i) fleet.Reconnect(i);
        fleet.Run(Seconds(1));  // a leader, if one is being elected
        fleet.SetWorkspaces(workspaces);
        fleet.Run(Seconds(6));
        since = fleet.Now();
      }
    }
    check(since);
  }));
  WARN("largest part of the tolerance that was used: " << most_used);
}

}  // namespace
}  // namespace peridotgauge
