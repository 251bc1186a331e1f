// Tests of routes. They guard against a request that is sent to the wrong service, a configuration
// that should have been refused, and a split that deviates from its weights.
#include "core/routes.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

namespace peridotgauge {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  return {.name = host + prefix,
          .host = host,
          .prefix = prefix,
          .timeout = Millis(100),
          .split = {{"s", 1}}};
}

Result<RouteTable> Make(std::vector<Route> routes) {
  return RouteTable::Make(std::move(routes), {{"s", {}}, {"t", {}}}, {});
}

TEST_CASE("a request matches the longest prefix of its host", "[routes]") {
  const auto table = Make({MakeRoute("a", "/x/"), MakeRoute("a", "/x/y/"), MakeRoute("b", "/")});
  REQUIRE(table);
  CHECK(table->Match("a", "/x/1")->prefix == "/x/");
  CHECK(table->Match("a", "/x/y/1")->prefix == "/x/y/");
  CHECK(table->Match("a:80", "/x/")->prefix == "/x/");
  CHECK(table->Match("b", "/x/y/1")->prefix == "/");
  SECTION("and no other route") {
    CHECK(table->Match("a", "/x") == nullptr);
    CHECK(table->Match("a", "/z/") == nullptr);
    CHECK(table->Match("c", "/x/") == nullptr);
  }
}

TEST_CASE("invalid routes are refused", "[routes]") {
  Route route = MakeRoute("a", "/x/");
  REQUIRE(Make({route}));
  SECTION("a timeout of 0") { route.timeout = Duration(0); }
  SECTION("an unknown service") { route.split[0].service = "u"; }
  SECTION("weights that add up to 0") { route.split[0].weight = 0; }
  SECTION("an unknown shard") {
    route.split.clear();
    route.shards = {"s", "u"};
  }
  SECTION("a duplicate shard") {
    route.split.clear();
    route.shards = {"s", "s"};
  }
  SECTION("neither a service nor shards") { route.split.clear(); }
  SECTION("a prefix without slashes") { route.prefix = "/x"; }
  const auto table = Make({route});
  REQUIRE_FALSE(table);
  CHECK(table.error().code == ErrorCode::kInvalidConfig);
}

TEST_CASE("two routes with one host and prefix are refused", "[routes]") {
  CHECK_FALSE(Make({MakeRoute("a", "/x/"), MakeRoute("a", "/x/")}));
}

TEST_CASE("the minimum number of shards", "[routes]") {
  Route route;
  route.shards.resize(10);
  const std::map<double, uint32_t> expected = {{0.0, 1}, {0.75, 8}, {0.89, 9}, {0.9, 9}, {1.0, 10}};
  for (const auto& [coverage, shards] : expected) {
    route.min_coverage = coverage;
    CHECK(route.MinShards() == shards);
  }
}

TEST_CASE("a split follows its weights", "[routes]") {
  CHECK(rc::check("within one request per service after every request", [] {
    Route route{.name = "r"};
    double total = 0;
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      route.split.push_back({std::to_string(i), double(*rc::gen::inRange(1, 20))});
      total += route.split.back().weight;
    }
    SplitCounter split;
    std::map<std::string, double> count;
    for (int n = 1; n <= 200; ++n) {
      ++count[split.Next(route)];
      for (const WeightedService& part : route.split) {
        const double share = n * part.weight / total;
        RC_ASSERT(std::abs(count[part.service] - share) <= double(route.split.size()));
      }
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
