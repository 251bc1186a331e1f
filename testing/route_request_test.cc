// Tests of one request on a route over real connections. They guard against a request that is
// executed twice, a refusal that reports a request as not run although it was, a response built
// from the wrong parts, and work that continues after the caller has disconnected.
#include "io/route_request.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core/route_plan.h"
#include "io/clock.h"
#include "io/http_server.h"
#include "platform/route_format.h"
#include "raw_socket.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
using Behaviour = std::function<void(const HttpRequest&, const HttpResponder&)>;

HttpResponse Answer(int status, std::string body, std::string server_stamp) {
  return {.status = status,
          .headers = {{"Peridotgauge-Server-Stamp", std::move(server_stamp)}},
          .body = std::move(body)};
}

HttpResponse Shed() { return {.status = 503, .headers = {{"Peridotgauge-Not-Executed", "1"}}}; }

// Returns one record, filled with `c`.
std::string Record(char c) { return std::string(16, c); }

// The components of a router, and targets whose behaviour the test sets.
class RouterFixture {
 public:
  // Adds a target of the service and returns its index.
  size_t Add(const std::string& service, const Behaviour& behaviour) {
    const size_t index = this->request_counts.size();
    this->request_counts.push_back(0);
    auto server = HttpServer::Listen(
        this->io, "127.0.0.1:0",
        [this, index, behaviour](const HttpRequest& request, const HttpResponder& responder) {
          ++this->request_counts[index];
          behaviour(request, responder);
        });
    REQUIRE(server);
    this->AddAt(service, "i-" + std::to_string(index),
                "127.0.0.1:" + std::to_string((*server)->Port()));
    this->servers.push_back(std::move(*server));
    return index;
  }
  // Adds a target that the test plays itself.
  void AddAt(const std::string& service, const std::string& name, const Address& address) {
    this->planner.Upsert({.target = name,
                          .address = address,
                          .service = service,
                          .data_centre = "a",
                          .incarnation = 1,
                          .state = TargetState::kServing,
                          .slots = 1});
  }

  std::shared_ptr<RouteRequest> Begin(const Route& route, Duration timeout = Seconds(2)) {
    std::map<std::string, double, std::less<>> shares;
    for (const std::string& shard : route.shards) shares[shard] = 1.0;
    for (const WeightedService& part : route.split) shares[part.service] = 1.0;
    this->budget.SetShares(SteadyNow(), shares);
    for (const auto& [service, share] : shares) this->pool.SetConnectionLimit(service, 4);
    const Time now = SteadyNow();
    RouteRequestParams params{
        .http = {.method = "POST",
                 .path = "/p/1",
                 .headers = {{"Host", "h"}, {"Peridotgauge-Request-Id", "r1"}},
                 .body = "work"},
        .request_info = {.request_id = "r1", .host = "h"},
        .route = std::make_shared<const Route>(route),
        .plan = route.Gathers() ? this->plans.ForShards(1, route)
                                : this->plans.ForService(1, route, route.split[0].service),
        .arrived = now,
        .deadline = now + timeout};
    return RouteRequest::Start(this->context, std::move(params), [this](HttpResponse response) {
      this->response = std::move(response);
      this->io.stop();
    });
  }

  HttpResponse Serve(const Route& route, Duration timeout = Seconds(2)) {
    const auto run = this->Begin(route, timeout);
    this->io.restart();
    if (!this->response) this->io.run_for(std::chrono::seconds(20));
    REQUIRE(this->response);
    return *std::exchange(this->response, std::nullopt);
  }

  asio::io_context io;
  std::vector<int> request_counts;
  std::optional<HttpResponse> response;

 private:
  std::vector<std::unique_ptr<HttpServer>> servers;
  Planner planner;
  RoutePlanner plans{this->planner};
  TargetPool pool{this->io, {}};
  platform::RouteFormat codec;
  std::unique_ptr<ReplicaChoice> replicas = *ReplicaChoice::Make("least", {.seed = 1});
  HedgeBudget budget{{.burst = 20, .max_debt = 0, .retry_in_overload = true}};
  std::map<RouteId, RouteHedgeBudget> hedge_budgets;
  Metrics metrics;
  EventLog log{-1};
  std::mt19937_64 random{1};
  ControlClient control{this->io, {.self = {}, .controllers = {{"c", "127.0.0.1:1"}}}};
  CrashGuard crash_guard{{this->io, this->control, this->metrics, this->log}};
  OverloadAdmission overload{this->budget};
  TargetSignals signals;
  WarmupLimit warmup{{}, "r1"};
  RouteContext context{this->io,      this->codec,  this->pool,          *this->replicas,
                       this->signals, this->budget, this->hedge_budgets, this->metrics,
                       this->log,     this->random, this->crash_guard,   this->warmup,
                       this->overload};
};

Route Single(bool idempotent) {
  return {.name = "single",
          .host = "h",
          .prefix = "/p/",
          .idempotent = idempotent,
          .timeout = Seconds(2),
          .max_attempts = 2,
          .split = {{"s", 1}}};
}

Route Gathering(double min_coverage, Duration objective = Seconds(1)) {
  return {.name = "gather",
          .host = "h",
          .prefix = "/p/",
          .timeout = Seconds(2),
          .objective = objective,
          .max_attempts = 2,
          .shards = {"a", "b", "c"},
          .top_records = 2,
          .min_coverage = min_coverage};
}

Behaviour RespondsWith(const HttpResponse& response) {
  return
      [response](const HttpRequest&, const HttpResponder& responder) { responder.Send(response); };
}

// Never responds; keeps the responders in `kept_responders`.
Behaviour Silent(std::vector<HttpResponder>& kept_responders) {
  return [&kept_responders](const HttpRequest&, const HttpResponder& responder) {
    kept_responders.push_back(responder);
  };
}

TEST_CASE("a request for one target", "[route_request]") {
  RouterFixture fixture;
  std::vector<HttpResponder> kept_responders;
  SECTION("gets the target's response unchanged") {
    fixture.Add("s", [](const HttpRequest& request, const HttpResponder& responder) {
      CHECK(request.body == "work");
      CHECK(request.Header("Peridotgauge-Expect-Instance") == "i-0");
      responder.Send(Answer(201, "made", "p1"));
    });
    const HttpResponse response = fixture.Serve(Single(false));
    CHECK(response.status == 201);
    CHECK(response.body == "made");
    CHECK(response.Header("Peridotgauge-Server-Stamp") == "p1");
  }
  SECTION("that is not idempotent") {
    SECTION("goes to another target after a refusal, and runs once") {
      bool first = true;
      const Behaviour refuses_first = [&](const HttpRequest&, const HttpResponder& responder) {
        responder.Send(std::exchange(first, false) ? Shed() : Answer(200, "", "p"));
      };
      fixture.Add("s", refuses_first);
      fixture.Add("s", refuses_first);
      CHECK(fixture.Serve(Single(false)).status == 200);
      CHECK(fixture.request_counts[0] + fixture.request_counts[1] == 2);
    }
    SECTION("is not sent again when the target does not respond; the outcome is unknown") {
      fixture.Add("s", Silent(kept_responders));
      fixture.Add("s", Silent(kept_responders));
      const HttpResponse response = fixture.Serve(Single(false), Millis(200));
      CHECK(response.status == 504);
      CHECK(fixture.request_counts[0] + fixture.request_counts[1] == 1);
    }
    SECTION("is not sent again after a failure of the target, which is forwarded") {
      fixture.Add("s", RespondsWith(Answer(500, "broken", "p")));
      fixture.Add("s", RespondsWith(Answer(500, "broken", "p")));
      const HttpResponse response = fixture.Serve(Single(false));
      CHECK(response.status == 500);
      CHECK(response.body == "broken");
      CHECK(fixture.request_counts[0] + fixture.request_counts[1] == 1);
    }
    SECTION("is refused as not run only if no target accepted it") {
      fixture.Add("s", RespondsWith(Shed()));
      const HttpResponse response = fixture.Serve(Single(false), Millis(300));
      CHECK(response.status == 503);
      CHECK_FALSE(response.Header("Retry-After").empty());
    }
  }
  SECTION("that is idempotent is sent again after a failure") {
    bool first = true;
    const Behaviour fails_first = [&](const HttpRequest&, const HttpResponder& responder) {
      responder.Send(std::exchange(first, false) ? Answer(500, "", "p") : Answer(200, "ok", "p"));
    };
    fixture.Add("s", fails_first);
    fixture.Add("s", fails_first);
    CHECK(fixture.Serve(Single(true)).body == "ok");
  }
  SECTION("without a target is refused at once") {
    const HttpResponse response = fixture.Serve(Single(true));
    CHECK(response.status == 503);
  }
  SECTION("is cancelled at the target when the caller disconnects") {
    bool cancelled = false;
    fixture.Add("s", [&](const HttpRequest&, const HttpResponder& responder) {
      kept_responders.push_back(responder);
      responder.OnDisconnect([&] { cancelled = true; });
    });
    const auto run = fixture.Begin(Single(true));
    while (fixture.request_counts[0] == 0) fixture.io.run_one();
    run->Abort();
    while (!cancelled) fixture.io.run_one();
    CHECK_FALSE(fixture.response);
  }
  kept_responders.clear();
}

TEST_CASE("a request that gathers from shards", "[route_request]") {
  RouterFixture fixture;
  std::vector<HttpResponder> kept_responders;
  fixture.Add("a", RespondsWith(Answer(200, Record('1') + Record('5'), "pa")));
  fixture.Add("b", RespondsWith(Answer(200, Record('3'), "pb")));
  SECTION("gets the greatest records of all shards, and their server stamps") {
    fixture.Add("c", RespondsWith(Answer(200, Record('4') + "rest", "pc")));
    const HttpResponse response = fixture.Serve(Gathering(1.0));
    CHECK(response.status == 200);
    CHECK(response.body == Record('5') + Record('4'));
    CHECK(response.Header("Peridotgauge-Part-Stamps") == "pa, pb, pc");
    CHECK(response.Header("Peridotgauge-Missing-Parts") == "0");
  }
  SECTION("with a shard whose target fails leaves that shard out") {
    fixture.Add("c", RespondsWith(Answer(500, Record('9'), "pc")));
    const HttpResponse response = fixture.Serve(Gathering(0.6));
    CHECK(response.status == 200);
    CHECK(response.body == Record('5') + Record('3'));
    CHECK(response.Header("Peridotgauge-Part-Stamps") == "pa, pb");
    CHECK(response.Header("Peridotgauge-Missing-Parts") == "1");
  }
  SECTION("is answered before the objective without a late shard") {
    fixture.Add("c", Silent(kept_responders));
    const HttpResponse response = fixture.Serve(Gathering(0.6, Millis(150)));
    CHECK(response.Header("Peridotgauge-Missing-Parts") == "1");
  }
  SECTION("fails at once when too few shards can still answer") {
    fixture.Add("c", RespondsWith(Answer(500, "", "pc")));
    CHECK(fixture.Serve(Gathering(1.0)).status == 502);
  }
  SECTION("ignores a response to another request") {
    fixture.Add("c", [](const HttpRequest&, const HttpResponder& responder) {
      HttpResponse response = Answer(200, Record('9'), "px");
      response.headers.push_back({"Peridotgauge-Request-Id", "r2"});
      responder.Send(response);
    });
    const HttpResponse response = fixture.Serve(Gathering(0.6));
    CHECK(response.body == Record('5') + Record('3'));
  }
  kept_responders.clear();
}

// Guards against a late second copy of a refusal that is taken for the answer to the next sending
// of the same request: the request is then sent a third time, although the target runs it, or
// reported as not run.
TEST_CASE("a late copy of a refusal does not answer the next sending", "[route_request]") {
  const bool idempotent = GENERATE(false, true);
  CAPTURE(idempotent);
  RouterFixture router;
  RawListener target;
  router.AddAt("s", "i-0", target.AddressText());
  const auto run = router.Begin(Single(idempotent), Seconds(10));
  const std::string refusal =
      "HTTP/1.1 503 No\r\nPeridotgauge-Request-Id: r1\r\nPeridotgauge-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string answer =
      "HTTP/1.1 200 OK\r\nPeridotgauge-Request-Id: r1\r\nPeridotgauge-Server-Stamp: m\r\n"
      "Content-Length: 4\r\n\r\ndone";
  size_t requests = 0;
  // Returns the connection on which the next request has arrived.
  const auto next_request = [&]() -> RawSocket* {
    RawSocket* found = nullptr;
    RunUntil(router.io, [&] {
      target.Accept();
      for (RawSocket& socket : target.sockets) {
        if (found == nullptr && socket.Received("work")) found = &socket;
      }
      return found != nullptr || router.response;
    });
    if (found == nullptr) return nullptr;
    found->Text().clear();
    ++requests;
    return found;
  };
  RawSocket* first = next_request();
  REQUIRE(first != nullptr);
  first->Send(refusal);
  RawSocket* second = next_request();
  REQUIRE(second != nullptr);
  first->Send(refusal);
  // The target runs the second sending; a third one must not follow.
  router.io.restart();
  router.io.run_for(std::chrono::milliseconds(100));
  CHECK_FALSE(router.response);
  second->Send(answer);
  next_request();
  CHECK(requests == 2);
  REQUIRE(router.response);
  CHECK(router.response->status == 200);
  CHECK(router.response->body == "done");
}

// Guards against an answer whose head or body ends early and that reaches the caller as a whole
// one.
TEST_CASE("a truncated answer of a target is a failure", "[route_request]") {
  RouterFixture router;
  RawListener target;
  const std::string head =
      "HTTP/1.1 200 OK\r\nPeridotgauge-Request-Id: r1\r\n"
      "Peridotgauge-Server-Stamp: m\r\n";
  const std::string bytes =
      GENERATE_COPY(head, head + "Content-Le", head + "Content-Length: 32\r\n\r\n0123456789abcdef");
  CAPTURE(bytes);
  const bool gathers = GENERATE(false, true);
  Route route = gathers ? Gathering(0.5) : Single(false);
  route.max_attempts = 1;
  const std::string service = gathers ? "c" : "s";
  if (gathers) {
    router.Add("a", RespondsWith(Answer(200, Record('1'), "pa")));
    router.Add("b", RespondsWith(Answer(200, Record('3'), "pb")));
  }
  router.AddAt(service, "raw", target.AddressText());
  const auto run = router.Begin(route);
  REQUIRE(RunUntil(router.io, [&] {
    target.Accept();
    return !target.sockets.empty() && target.sockets.front().Received("work");
  }));
  target.sockets.front().Send(bytes);
  target.sockets.front().Close();
  REQUIRE(RunUntil(router.io, [&] { return router.response.has_value(); }));
  if (gathers) {
    CHECK(router.response->status == 200);
    CHECK(router.response->Header("Peridotgauge-Missing-Parts") == "1");
    CHECK(router.response->Header("Peridotgauge-Part-Stamps") == "pa, pb");
  } else {
    CHECK(router.response->status == 502);
    CHECK(router.response->Header("Peridotgauge-Server-Stamp").empty());
  }
}

// Guards against targets that work on after the caller has left, because the request had waited for
// a connection since the time left was computed.
TEST_CASE("a request that has waited for a connection tells the target what time is left",
          "[route_request]") {
  RouterFixture router;
  constexpr size_t kConnections = 4;  // see Begin()
  constexpr Duration kWait = Millis(700);
  constexpr Duration kTimeout = Seconds(2);
  std::vector<int> deadlines_ms;
  std::vector<HttpResponder> responders;
  router.Add("s", [&](const HttpRequest& request, const HttpResponder& responder) {
    deadlines_ms.push_back(std::stoi(std::string(request.Header("Peridotgauge-Deadline-Ms"))));
    responders.push_back(responder);
  });
  std::vector<std::shared_ptr<RouteRequest>> runs;
  for (size_t i = 0; i <= kConnections; ++i) runs.push_back(router.Begin(Single(false), kTimeout));
  REQUIRE(RunUntil(router.io, [&] { return deadlines_ms.size() == kConnections; }));
  const Time begin = SteadyNow();
  RunUntil(router.io, [&] { return SteadyNow() >= begin + kWait; });
  for (const HttpResponder& responder : responders) responder.Send(Answer(200, "", "p"));
  REQUIRE(RunUntil(router.io, [&] { return deadlines_ms.size() == kConnections + 1; }));
  CHECK(deadlines_ms.back() <= WholeMillis(kTimeout - kWait));
}

}  // namespace
}  // namespace peridotgauge
