// Tests what a request that crashes its targets costs when its caller sends it again and again,
// over all routers of a deployment. They guard against a request that takes down a fleet.
#include <catch2/catch.hpp>

#include "crashing_fleet.h"

namespace peridotgauge {
namespace {

constexpr Duration kLength = Seconds(9);

TEST_CASE("a request that crashes its targets is not sent again and again", "[.][crashing_request]") {
  CrashingFleet fleet({.routers = 3});
  const auto [method, path] =
      GENERATE(table<std::string, std::string>({{"GET", "/s/crash"}, {"POST", "/u/crash"}}));
  CAPTURE(method);
  fleet.Resend(method, path, kLength);
  CAPTURE(fleet.Crashes(path));
  CHECK(fleet.LateSends(path) <= kAllowedLateSends);
  SECTION("and its caller is told at once that it was not run") {
    CHECK(fleet.Statuses().back() == 503);
  }
}

}  // namespace
}  // namespace peridotgauge
