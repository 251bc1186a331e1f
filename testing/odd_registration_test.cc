// Tests what other writers may send in place of a registration. They guard against an entry that
// ends a controller or a router, or that keeps them from following the directory.
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "io/clock.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

std::string Nested(size_t depth, const std::string& open, const std::string& close) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) text += open;
  text += "1";
  for (size_t i = 0; i < depth; ++i) text += close;
  return text;
}

// Returns a registration in which `from` is replaced by `to`.
std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = HeartbeatText("s", "127.0.0.1:9", "ready", 1);
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::vector<std::string> OddRegistrations() {
  std::vector<std::string> bodies = {"",
                                     "null",
                                     "[]",
                                     "7",
                                     "\"text\"",
                                     "{",
                                     "{}",
                                     std::string("\xff\xfe\0x", 4),
                                     "{\"service\":\"s\"}"};
  for (const size_t depth : {31U, 33U, 1'000U, 200'000U}) {
    bodies.push_back(Nested(depth, "[", "]"));
    bodies.push_back(Nested(depth, R"({"a":)", "}"));
    bodies.push_back(Replaced(R"("zone":"z-a")", R"("zone":)" + Nested(depth, "[", "]")));
    if (depth > 31) {
      bodies.push_back(Replaced(R"("version":"v1")", R"("extra":)" + Nested(depth, "[", "]")));
    }
  }
  for (const char* number : {"1e400", "-1e400", "1e19", "99999999999999999999999", "-1", "1.5",
                             "18446744073709551615", "9007199254740993", "true", "null", "\"4\""}) {
    bodies.push_back(Replaced(R"("slots":4)", std::string(R"("slots":)") + number));
    bodies.push_back(Replaced(R"("sequence":1)", std::string(R"("sequence":)") + number));
    bodies.push_back(Replaced(R"("born":1000)", std::string(R"("born":)") + number));
  }
  for (const char* address : {"127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:0",
                              "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", ":9", "[::1", "0.0.0.0:9",
                              "host:9", "", "127.0.0.1:9 ", "127.0.0.1:9\\u0000"}) {
    bodies.push_back(Replaced("127.0.0.1:9", address));
  }
  for (const char* value : {"7", "null", "[]", "{}", "\"\"", "\"gone\"", "\"a b\""}) {
    bodies.push_back(Replaced(R"("ready")", value));
  }
  for (const char* value : {"7", "null", "[]", "\"\"", "\"a b\""}) {
    bodies.push_back(Replaced(R"("service":"s")", std::string(R"("service":)") + value));
  }
  return bodies;
}

// Guards against odd entries of other writers among those of the targets.
TEST_CASE("odd registrations name no target and disturb nobody", "[odd_registration]") {
  RouteDeployment deployment({.controllers = 3, .routers = 2});
  const std::vector<std::string> routes = {RouteText("r", "/p/", "safe", 1'000, "s")};
  REQUIRE(deployment.Apply(ConfigText(1, routes, {"s"})));
  RouteTarget target(deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); });
  const auto registers = [&](uint64_t sequence) {
    for (int attempt = 0; attempt < 50; ++attempt) {
      const auto answer =
          deployment.Heartbeat(static_cast<size_t>(attempt % 3), "i-1",
                               HeartbeatText("s", target.address, "ready", sequence));
      if (answer && answer->status == 200) return true;
      std::this_thread::sleep_for(Millis(100));
    }
    return false;
  };
  REQUIRE(registers(1));
  REQUIRE(deployment.AwaitRoute("/p/ready"));

  const std::vector<std::string> bodies = OddRegistrations();
  for (size_t i = 0; i < bodies.size(); ++i) {
    CAPTURE(i, bodies[i].substr(0, 200));
    // Under a new id, and under that of the target.
    for (const std::string& id : {"odd-" + std::to_string(i), std::string("i-1")}) {
      const auto answer = deployment.Heartbeat(i % 3, id, bodies[i]);
      REQUIRE(answer);
      CHECK(answer->status >= 400);
      CHECK(answer->status < 500);
    }
  }
  CHECK(deployment.Leader());
  const auto lists_only_the_target = [&] {
    for (int i = 0; i < 20; ++i) {
      const auto answer =
          Call(deployment.RouterAddress(static_cast<size_t>(i % 2)),
               CallerRequest("c" + std::to_string(i), "GET", "/p/1", Seconds(1)), Seconds(1));
      if (!answer || answer->status != 200) return false;
    }
    return true;
  };
  CHECK(lists_only_the_target());
  CHECK(registers(2));
  std::vector<std::string> more = routes;
  more.push_back(RouteText("q", "/q/", "safe", 1'000, "s"));
  REQUIRE(deployment.Apply(ConfigText(2, more, {"s"})));
  CHECK(deployment.AwaitRoute("/q/1"));
}

}  // namespace
}  // namespace peridotgauge
