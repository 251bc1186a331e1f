// Routes that have the same name. The name is a label; host and prefix select a route, so whatever
// a router keeps for a route must be kept under these.
#include <catch2/catch.hpp>
#include <map>

#include "core/overload.h"
#include "core/plan.h"
#include "core/route_plan.h"
#include "core/routes.h"

namespace peridotgauge {
namespace {

Route MakeRoute(const std::string& host) {
  return {.name = "search", .host = host, .prefix = "/find/", .timeout = Seconds(1)};
}

std::vector<std::string> ServicesOf(const Plan& plan) {
  std::vector<std::string> names;
  for (const auto& service : plan.services) names.push_back(service.name);
  return names;
}

TEST_CASE("two routes with one name", "[route_identity]") {
  Route orders = MakeRoute("orders.example");
  Route names = MakeRoute("names.example");

  SECTION("gather from shards of their own") {
    orders.shards = {"order-1", "order-2"};
    names.shards = {"name-1", "name-2", "name-3"};
    Planner planner;
    RoutePlanner plans(planner);
    // Guards against answers from the shards of the other route (review/8), whichever is asked
    // first.
    const bool orders_first = GENERATE(true, false);
    plans.ForShards(1, orders_first ? orders : names);
    CHECK(ServicesOf(*plans.ForShards(1, orders)) == orders.shards);
    CHECK(ServicesOf(*plans.ForShards(1, names)) == names.shards);
  }

  SECTION("and with one host differ in their prefix") {
    names.host = orders.host;
    names.prefix = "/find/names/";
    orders.shards = {"order-1"};
    names.shards = {"name-1"};
    Planner planner;
    RoutePlanner plans(planner);
    CHECK(ServicesOf(*plans.ForShards(1, orders)) == orders.shards);
    CHECK(ServicesOf(*plans.ForShards(1, names)) == names.shards);
  }

  SECTION("divide their requests by their own weights") {
    orders.split = {{"order-1", 3}, {"order-2", 1}};
    names.split = {{"name-1", 1}, {"name-2", 1}};
    SplitCounter split;
    std::map<std::string, int> requests;
    // Guards against one count for both, which gives each route the shares of neither.
    for (int i = 0; i < 400; ++i) {
      ++requests[split.Next(orders)];
      if (i % 2 == 0) ++requests[split.Next(names)];
    }
    CHECK(requests == std::map<std::string, int>{
                          {"order-1", 300}, {"order-2", 100}, {"name-1", 100}, {"name-2", 100}});
  }

  SECTION("are different classes of load") {
    CHECK_FALSE(LoadClass{orders.Id(), 1} == LoadClass{names.Id(), 1});
  }
}

}  // namespace
}  // namespace peridotgauge
