// Tests the limit on extra attempts over all routers together, under random histories of routers
// that are killed, leave and start, of leaders that change, and of services that come and go. The
// extra attempts of all routers are added up and compared with what the operators allow. They guard
// against a limit that every router keeps and the deployment does not.
#include "core/extra_attempt_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "state/debt_table.h"

namespace peridotgauge {
namespace {

constexpr ExtraRequestLimit kLimit = {.ratio = 0.2, .slack = 56, .window = Seconds(10)};
constexpr Duration kGrace = Seconds(6);
constexpr Duration kStep = Millis(50);
const std::vector<std::string> kServices = {"verstas", "kassa"};

// Routers, and the leader's record of their debts. Reports arrive at once.
class Fleet {
 public:
  Fleet(size_t size, uint64_t seed) : random(seed) {
    this->leader.Reset(this->now);
    this->leader.DeclareNothingGranted();
    this->routers.resize(size);
    for (size_t i = 0; i < size; ++i) this->Start(i);
  }

  void Start(size_t i) {
    Router& router = this->routers[i];
    ++router.incarnation;
    router.limit = std::make_unique<ExtraAttemptLimit>(kLimit, kGrace, this->now);
    router.limit->SetRouters(this->now, this->routers.size(), this->routers.size());
    router.limit->SetServices(this->now, {kServices.begin(), kServices.end()});
    this->Report(i);
    router.limit->Inherit(this->now, this->leader.InheritedBy(this->now, IdOf(i)));
  }
  // The router reports its debts before it ends.
  void Restart(size_t i) {
    this->Report(i);
    this->Start(i);
  }
  void RestartAll() {
    for (size_t i = 0; i < this->routers.size(); ++i) this->Report(i);
    for (size_t i = 0; i < this->routers.size(); ++i) this->Start(i);
  }
  void ReplaceLeader() { this->leader.Reset(this->now); }
  // The leader loses its memory, and all routers lose theirs before they have reported to the next.
  void LosePower() {
    this->ReplaceLeader();
    for (size_t i = 0; i < this->routers.size(); ++i) this->Start(i);
  }
  void DropService() {
    for (Router& router : this->routers) {
      router.limit->SetServices(this->now, {kServices.back()});
      router.limit->SetServices(this->now, {kServices.begin(), kServices.end()});
    }
  }

  // Requests arrive, and everything the routers may retry is retried.
  void Serve(uint32_t requests) {
    for (size_t i = 0; i < this->routers.size(); ++i) {
      Router& router = this->routers[i];
      if (this->now >= router.limit->NextUpdate()) router.limit->Update(this->now);
      const auto needed = std::uniform_int_distribution<uint32_t>(0, requests)(this->random);
      for (const std::string& service : kServices) {
        HedgeBudget& budget = router.limit->Budget();
        budget.CountNeeded(this->now, service, needed);
        this->Count(this->needed[service], needed);
        for (uint32_t k = 0; k < 3 * requests; ++k) {
          const auto kind = k % 3 == 0 ? ExtraAttemptKind::kHedge : ExtraAttemptKind::kRetry;
          if (budget.Spend(this->now, service, kind)) this->Count(this->granted[service], 1);
        }
      }
      this->Report(i);
    }
    this->now += kStep;
  }

  // Returns by how much the extra attempts exceed the limit in the worst window; not above 0 if it
  // is kept. The needed ones are those of the same window.
  double WorstExcess() const {
    double worst = -kLimit.slack;
    const size_t steps = static_cast<size_t>(kLimit.window / kStep);
    for (const std::string& service : kServices) {
      const Series& all = this->granted.at(service);
      for (size_t begin = 0; begin < all.size(); ++begin) {
        worst = std::max(worst, Sum(all, begin, steps) -
                                    kLimit.ratio * Sum(this->needed.at(service), begin, steps) -
                                    kLimit.slack);
      }
    }
    return worst;
  }

  std::mt19937_64 random;

 private:
  struct Router {
    uint64_t incarnation = 0;
    std::unique_ptr<ExtraAttemptLimit> limit;
  };
  using Series = std::vector<double>;  // by step

  RouterId IdOf(size_t i) const { return {std::to_string(i), this->routers[i].incarnation}; }
  void Report(size_t i) {
    ExtraAttemptLimit& limit = *this->routers[i].limit;
    this->leader.Report(this->now, IdOf(i),
                        {.debts = limit.Report(this->now),
                         .complete = limit.HistoryComplete(this->now),
                         .window = kLimit.window});
  }
  void Count(Series& series, double count) const {
    const auto step = static_cast<size_t>((this->now - kBegin) / kStep);
    series.resize(std::max(series.size(), step + 1));
    series[step] += count;
  }
  static double Sum(const Series& series, size_t begin, size_t count) {
    double sum = 0;
    for (size_t i = begin; i < std::min(begin + count, series.size()); ++i) sum += series[i];
    return sum;
  }

  static constexpr Time kBegin = TimeAt(100'000);
  Time now = kBegin;
  DebtTable leader;
  std::vector<Router> routers;
  std::map<std::string, Series> needed;   // by service
  std::map<std::string, Series> granted;  // by service
};

using Disturbance = void (*)(Fleet&, size_t router);
const std::map<std::string, Disturbance> kDisturbances = {
    {"a router is replaced", [](Fleet& fleet, size_t router) { fleet.Restart(router); }},
    {"all routers are replaced", [](Fleet& fleet, size_t) { fleet.RestartAll(); }},
    {"the leader changes", [](Fleet& fleet, size_t) { fleet.ReplaceLeader(); }},
    {"the leader changes, and a router ends before it has reported",
     [](Fleet& fleet, size_t router) {
       fleet.ReplaceLeader();
       fleet.Start(router);
     }},
    {"all processes lose power", [](Fleet& fleet, size_t) { fleet.LosePower(); }},
    {"a configuration drops a service for a moment",
     [](Fleet& fleet, size_t) { fleet.DropService(); }},
};

TEST_CASE("all routers together keep the limit on extra attempts", "[extra_attempt_limit]") {
  const size_t size = GENERATE(1, 3, 8);
  const uint32_t requests = GENERATE(0, 1, 5);
  CAPTURE(size, requests);
  const auto run = [&](const std::vector<std::string>& names, uint64_t seed) {
    Fleet fleet(size, seed);
    const auto below = [&](int64_t n) {
      return std::uniform_int_distribution<int64_t>(0, n - 1)(fleet.random);
    };
    for (int event = 0; event < 8; ++event) {
      for (int64_t step = 1 + below(80); step > 0; --step) fleet.Serve(requests + 1);
      const std::string& name = names[static_cast<size_t>(below(std::ssize(names)))];
      kDisturbances.at(name)(fleet, static_cast<size_t>(below(static_cast<int64_t>(size))));
    }
    for (int step = 0; step < 100; ++step) fleet.Serve(requests + 1);
    return fleet.WorstExcess();
  };
  std::vector<std::string> all;
  for (const auto& [name, disturbance] : kDisturbances) {
    CAPTURE(name);
    CHECK(run({name}, /*seed=*/1) <= 0);
    all.push_back(name);
  }
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    CHECK(run(all, seed) <= 0);
  }
}

TEST_CASE("a router's part of the slack", "[extra_attempt_limit]") {
  Time now = TimeAt(100'000);
  ExtraAttemptLimit limit(kLimit, kGrace, now);
  const double all = kLimit.slack * kExtraShare;
  SECTION("is nothing before the number of routers is known") {
    limit.Inherit(now, ExtraDebts{});
    CHECK(limit.Slack() == 0);
  }
  SECTION("is equal for all") {
    limit.Inherit(now, ExtraDebts{});
    limit.SetRouters(now, 8, 8);
    CHECK(limit.Slack() == Approx(all / 8));
    SECTION("and grows only when what a router that leaves has granted counts no more") {
      limit.SetRouters(now, 7, 7);
      CHECK(limit.Slack() == Approx(all / 8));
      CHECK(limit.NextUpdate() == now + kLimit.window + kGrace);
      now = limit.NextUpdate();
      limit.Update(now);
      CHECK(limit.Slack() == Approx(all / 7));
    }
    SECTION("and at least one in a large fleet if few of the routers are in use") {
      limit.SetRouters(now, 8, 400);
      CHECK(limit.Slack() == kLeastSlack);
      limit.SetRouters(now, 100, 400);
      CHECK(limit.Slack() == Approx(all / 100));
    }
  }
  SECTION("is nothing for a window while the debts of its predecessors are not known") {
    limit.SetRouters(now, 8, 8);
    limit.Inherit(now, std::nullopt);
    CHECK(limit.Slack() == 0);
    CHECK_FALSE(limit.HistoryComplete(now));
    CHECK(limit.NextUpdate() == now + kLimit.window);
    now = limit.NextUpdate();
    limit.Update(now);
    CHECK(limit.Slack() == Approx(all / 8));
    CHECK(limit.HistoryComplete(now));
  }
}

TEST_CASE("debts are reported at once when they have grown much", "[extra_attempt_limit]") {
  const Time now = TimeAt(100'000);
  ExtraAttemptLimit limit(kLimit, kGrace, now);
  limit.SetRouters(now, 8, 8);
  limit.Inherit(now, ExtraDebts{});
  limit.SetServices(now, {"verstas"});
  const auto spend = [&](int count) {
    for (int i = 0; i < count; ++i) {
      REQUIRE(limit.Budget().Spend(now, "verstas", ExtraAttemptKind::kRetry));
    }
  };
  spend(2);
  CHECK_FALSE(limit.HasGrownDebt(now));
  spend(1);
  CHECK(limit.HasGrownDebt(now));
  CHECK(limit.Report(now) == ExtraDebts{{"verstas", 3}});
  CHECK_FALSE(limit.HasGrownDebt(now));
}

}  // namespace
}  // namespace peridotgauge
