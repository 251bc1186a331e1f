// Tests of POST /v1/explain with a controller, a router and targets. They guard against an
// explained choice that requests do not follow, explanations that send or count something, and keys
// in replies.
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/explain.h"
#include "crashing_fleet.h"
#include "io/clock.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

namespace json = boost::json;

constexpr int kTimes = 20;
constexpr Duration kTimeout = Seconds(5);
constexpr char kKey[] = "key-that-nobody-may-see";

std::string Text(const json::value& value, const std::string& pointer) {
  boost::system::error_code error;
  const json::value* found = value.find_pointer(pointer, error);
  if (found == nullptr) return "(none)";
  return found->is_string() ? std::string(found->get_string()) : json::serialize(*found);
}

// A router of z-a, and targets of the service "s" in z-a and z-b.
struct Fixture {
  Fixture()
      : near(this->deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); }),
        far(this->deployment.NewAddress(), [](const HttpRequest&) { return Millis(1); }) {}

  void Register(const std::string& id, const RouteTarget& target, const std::string& data_centre,
                const std::string& state = "ready") {
    const auto answer = this->deployment.Heartbeat(
        0, id, HeartbeatText("s", target.address, state, ++this->sequence, 1'000, data_centre));
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
  }
  bool Evacuate(const std::string& data_centre) {
    const auto answer = this->deployment.SetEvacuation(0, "POST", data_centre);
    return answer && answer->status == 200;
  }
  std::optional<HttpResponse> Post(const std::string& body) {
    auto answer = Call(this->deployment.MetricsAddress(0),
                       {.method = "POST", .path = "/v1/explain", .body = body}, Seconds(5));
    if (answer) CHECK(answer->body.find(kKey) == std::string::npos);
    return answer;
  }
  json::value Explain(const ExplainRequest& request) {
    const auto answer = this->Post(FormatExplainRequest(request));
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
    return json::parse(answer->body);
  }
  json::value Explain(const std::string& path = "/p/x") {
    return this->Explain(ExplainRequest{.method = "GET", .host = "test.example", .path = path});
  }
  // Returns the member of the explained target "id", or "(none)".
  std::string Candidate(const json::value& explanation, const std::string& id,
                        const std::string& member) {
    for (const json::value& candidate :
         explanation.at("services").at(0).at("candidates").as_array()) {
      if (Text(candidate, "/target") == id) return Text(candidate, "/" + member);
    }
    return "(none)";
  }
  int Send(const std::string& path = "/p/x") {
    const auto answer =
        Call(this->deployment.RouterAddress(0),
             CallerRequest("c-" + std::to_string(++this->sent), "GET", path, kTimeout), kTimeout);
    return answer ? answer->status : 0;
  }
  // Returns the metrics that depend on requests, without those that the metrics listener itself
  // changes.
  std::string Metrics() {
    const auto answer =
        Call(this->deployment.MetricsAddress(0), {.method = "GET", .path = "/metrics"}, Seconds(5));
    REQUIRE(answer);
    std::istringstream lines(answer->body);
    std::string out;
    for (std::string line; std::getline(lines, line);) {
      const bool own = line.find("peridotgauge_caller_") != std::string::npos ||
                       line.find("peridotgauge_kept_") != std::string::npos ||
                       line.find("peridotgauge_loop_") != std::string::npos ||
                       line.find("peridotgauge_http_") != std::string::npos;
      if (!own) out += line + "\n";
    }
    return out;
  }
  // Returns the metrics when they change no more: attempts that were cancelled may still end.
  std::string SettledMetrics() {
    std::string metrics;
    REQUIRE(this->Await([&] {
      metrics = this->Metrics();
      std::this_thread::sleep_for(Millis(300));
      return this->Metrics() == metrics;
    }));
    return metrics;
  }
  bool Await(const std::function<bool()>& condition) {
    for (const Time end = SteadyNow() + kDeploymentTimeout; SteadyNow() < end;) {
      if (condition()) return true;
      std::this_thread::sleep_for(Millis(20));
    }
    return false;
  }

  RouteDeployment deployment{{.controllers = 1, .routers = 1}};
  RouteTarget near;
  RouteTarget far;
  uint64_t sequence = 0;
  int sent = 0;
};

TEST_CASE("a router explains where a request would go", "[explain][explain_routes]") {
  Fixture fixture;
  const json::value first = fixture.Explain();
  CHECK(Text(first, "/revision") == "0");
  CHECK(Text(first, "/outcome/decision") == "refuse");
  CHECK(Text(first, "/outcome/status") == "503");
  CHECK(fixture.Send() == 503);

  REQUIRE(
      fixture.deployment.Apply(ConfigText(1, {RouteText("r", "/p/", "safe", 5'000, "s")}, {"s"})));
  REQUIRE(fixture.Await([&] { return Text(fixture.Explain(), "/revision") == "1"; }));
  const json::value empty = fixture.Explain();
  CHECK(Text(empty, "/services/0/reason") == "no target is registered");
  CHECK(Text(empty, "/outcome/status") == std::to_string(fixture.Send()));

  fixture.Register("near", fixture.near, "z-a");
  fixture.Register("far", fixture.far, "z-b");
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
  REQUIRE(fixture.Await(
      [&] { return fixture.Candidate(fixture.Explain(), "far", "state") == "serving"; }));

  SECTION("without a route") {
    const json::value explanation = fixture.Explain("/other");
    CHECK(Text(explanation, "/route") == "null");
    CHECK(Text(explanation, "/outcome/status") == std::to_string(fixture.Send("/other")));
  }
  // Cases in which one target only can be chosen: on a busy machine, a slow answer may change the
  // choice between two.
  SECTION("to the target that the next request reaches") {
    std::string chosen = "far";
    std::string other_state;
    SECTION("if the near one drains") {
      fixture.Register("near", fixture.near, "z-a", "draining");
      other_state = "draining";
    }
    SECTION("if the data centre of the near one is evacuated") {
      REQUIRE(fixture.Evacuate("z-a"));
      other_state = "evacuated";
    }
    SECTION("if the data centre of the far one is evacuated") {
      REQUIRE(fixture.Evacuate("z-b"));
      chosen = "near";
      other_state = "evacuated";
    }
    const std::string other = chosen == "far" ? "near" : "far";
    REQUIRE(fixture.Await(
        [&] { return fixture.Candidate(fixture.Explain(), other, "state") == other_state; }));
    const json::value explanation = fixture.Explain();
    CHECK(Text(explanation, "/route/name") == "r");
    CHECK(Text(explanation, "/outcome/decision") == "send");
    CHECK(Text(explanation, "/workspace_reason") == "the configuration has no workspaces");
    CHECK(Text(explanation, "/services/0/first_choice") == chosen);
    CHECK(fixture.Candidate(explanation, chosen, "chosen") == "true");
    CHECK(fixture.Candidate(explanation, other, "chosen") == "false");
    CHECK(fixture.Candidate(explanation, "far", "remote") == "true");
    RouteTarget& reached = chosen == "far" ? fixture.far : fixture.near;
    RouteTarget& left_out = chosen == "far" ? fixture.near : fixture.far;
    const size_t before = reached.Arrivals().size();
    const size_t left_out_before = left_out.Arrivals().size();
    REQUIRE(fixture.Send() == 200);
    CHECK(reached.Arrivals().size() == before + 1);
    CHECK(left_out.Arrivals().size() == left_out_before);
  }
  SECTION("and nothing is sent, counted or changed by that") {
    const std::string metrics = fixture.SettledMetrics();
    const size_t near = fixture.near.Arrivals().size();
    const size_t far = fixture.far.Arrivals().size();
    for (int i = 0; i < kTimes; ++i) {
      CHECK(Text(fixture.Explain(), "/outcome/decision") == "send");
      CHECK(Text(fixture.Explain("/other"), "/outcome/decision") == "refuse");
    }
    CHECK(fixture.Metrics() == metrics);
    CHECK(fixture.near.Arrivals().size() == near);
    CHECK(fixture.far.Arrivals().size() == far);
  }
  SECTION("and that it drains") {
    fixture.deployment.BeginStopRouter(0);
    CHECK(Text(fixture.Explain(), "/draining") == "true");
  }
  SECTION("but not if the question is malformed") {
    const auto status = [&](const std::string& body) {
      const auto answer = fixture.Post(body);
      return answer ? answer->status : 0;
    };
    CHECK(status("") == 400);
    CHECK(status("{") == 400);
    CHECK(status(R"({"method":"GET","host":"test.example"})") == 400);
    CHECK(status(std::string(R"({"method":"GET","host":"h","path":"/","key":[")") + kKey +
                 "\"]}") == 400);
    CHECK(status(std::string(R"({"method":"GET","host":"h","path":"/",")") + kKey + "\":1}") ==
          400);
    CHECK(Text(fixture.Explain(), "/outcome/decision") == "send");
  }
}

TEST_CASE("a router explains what becomes of a workspace's request", "[explain][explain_routes]") {
  Fixture fixture;
  std::string open = RouteText("open", "/open/", "safe", 5'000, "s");
  open.insert(open.rfind('}'), R"(,"public":true)");
  std::string text = ConfigText(1, {RouteText("r", "/p/", "safe", 5'000, "s"), open}, {"s"});
  text.insert(text.rfind('}'),
              std::string(R"(,"tenants":[{"name":"w1","apiKeys":[")") + kKey +
                  R"("],"priority":3,"ratePerS":2,"burst":1},{"name":"w2","apiKeys":["other"]}])");
  REQUIRE(fixture.deployment.Apply(text));
  fixture.Register("near", fixture.near, "z-a");
  REQUIRE(fixture.deployment.AwaitRoute("/open/ready"));
  ExplainRequest request{.method = "GET", .host = "test.example", .path = "/p/x"};

  SECTION("without a key or with an unknown one: 401") {
    if (GENERATE(false, true)) request.key = std::string(kKey) + "-not";
    const json::value explanation = fixture.Explain(request);
    CHECK(Text(explanation, "/workspace") == "null");
    CHECK(Text(explanation, "/outcome/status") == "401");
    CHECK(fixture.Send() == 401);
  }
  SECTION("of an unknown workspace") {
    request.workspace = "w3";
    CHECK(Text(fixture.Explain(request), "/outcome/status") == "401");
  }
  SECTION("on a public route") {
    request.path = "/open/x";
    const json::value explanation = fixture.Explain(request);
    CHECK(Text(explanation, "/workspace_reason") == "the route is public");
    CHECK(Text(explanation, "/outcome/decision") == "send");
  }
  SECTION("without a quota") {
    request.workspace = "w2";
    const json::value explanation = fixture.Explain(request);
    CHECK(Text(explanation, "/workspace/name") == "w2");
    CHECK(Text(explanation, "/workspace/quota") == "null");
    CHECK(Text(explanation, "/outcome/decision") == "send");
  }
  SECTION("with a quota") {
    const auto send = [&] {
      HttpRequest http =
          CallerRequest("q-" + std::to_string(++fixture.sent), "GET", "/p/x", kTimeout);
      http.headers.push_back({"Peridotgauge-Key", kKey});
      const auto answer = Call(fixture.deployment.RouterAddress(0), http, kTimeout);
      return answer ? answer->status : 0;
    };
    request.key = kKey;
    const json::value explanation = fixture.Explain(request);
    CHECK(Text(explanation, "/workspace/name") == "w1");
    CHECK(Text(explanation, "/workspace/priority") == "3");
    CHECK(Text(explanation, "/workspace/quota/rate_per_s") == "2E0");
    SECTION("of which explanations use up nothing") {
      // The router asks for permits for requests, but not for explanations.
      const std::string metrics = fixture.SettledMetrics();
      for (int i = 0; i < kTimes; ++i) fixture.Explain(request);
      std::this_thread::sleep_for(Millis(300));
      CHECK(fixture.Metrics() == metrics);
      CHECK(fixture.Await([&] { return send() == 200; }));
      CHECK(fixture.Metrics() != metrics);
    }
    SECTION("that is used up") {
      json::value refused;
      REQUIRE(fixture.Await([&] {
        send();
        refused = fixture.Explain(request);
        return Text(refused, "/outcome/decision") == "refuse";
      }));
      CHECK(Text(refused, "/outcome/status") == "429");
      CHECK(Text(refused, "/workspace/quota/decision") == "refuse");
      CHECK(Text(refused, "/workspace/quota/retry_after_ms") != "(none)");
    }
  }
}

// Guards against a suspicion that the command cannot find, for example because of another
// fingerprint, and against trials that explanations use up.
TEST_CASE("a router explains that a request has crashed targets", "[explain][explain_routes]") {
  const bool restarts = GENERATE(true, false);
  CAPTURE(restarts);
  CrashingFleet fleet({.routers = 1, .restart_delay = restarts ? kRestartDelay : Seconds(60)});
  const auto explain = [&](const std::string& path) {
    const auto answer = Call(
        fleet.Deployment().MetricsAddress(0),
        {.method = "POST",
         .path = "/v1/explain",
         .body = FormatExplainRequest({.method = "GET", .host = "test.example", .path = path})},
        kTimeout);
    REQUIRE(answer);
    return json::parse(answer->body);
  };
  const auto accepts = [](const json::value& explanation) {
    return Text(explanation, "/services/0/first_choice") != "null";
  };
  CHECK(Text(explain("/s/crash"), "/suspicion/status") == "clear");
  const Time end = SteadyNow() + kDeploymentTimeout;
  json::value suspected = explain("/s/crash");
  while (Text(suspected, "/suspicion/status") == "clear" && SteadyNow() < end) {
    fleet.Send(0, "GET", "/s/crash");
    suspected = explain("/s/crash");
  }
  // The targets leave the directory when their registrations expire; those that restart join it.
  if (!restarts) fleet.CrashTargets("s", 4);
  while (accepts(suspected) != restarts && SteadyNow() < end) {
    std::this_thread::sleep_for(Millis(20));
    suspected = explain("/s/crash");
  }
  // It is sent in trials until it is blocked, and refused without a target.
  const std::string status = Text(suspected, "/suspicion/status");
  INFO(json::serialize(suspected));
  CHECK((status == "suspect" || status == "blocked"));
  CHECK(accepts(suspected) == restarts);
  CHECK(Text(suspected, "/outcome/decision") ==
        (status == "suspect" && restarts ? "trial" : "refuse"));
  const size_t crashes = fleet.Crashes("/s/crash");
  for (int i = 0; i < kTimes; ++i) explain("/s/crash");
  CHECK(fleet.Crashes("/s/crash") == crashes);
  CHECK(Text(explain("/s/other"), "/suspicion/status") == "clear");
}

}  // namespace
}  // namespace peridotgauge
