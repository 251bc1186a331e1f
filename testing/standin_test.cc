// Tests the stand-in target through TargetClient, and the load generator against a fake router.
// Guards against invalid results of benchmarks and fault tests because a counter is inaccurate or a
// switch has no effect.
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/loadgen.h"
#include "bench/standin_target.h"
#include "core/json_text.h"
#include "io/http_server.h"
#include "io/target_client.h"
#include "raw_socket.h"
#include "testing/loopback_network.h"

namespace peridotgauge {
namespace {

StandinOptions Options() {
  // A target that restarts listens on the same port, which no other process may take meanwhile.
  static const std::string kNetwork = ClaimLoopbackNetwork();
  StandinOptions options;
  options.record = {.target = "spoons/1",
                    .address = kNetwork + "1:0",
                    .service = "spoons",
                    .data_centre = "tre-a",
                    .slots = 2,
                    .connections = 3,
                    .holds = {{1, 0, 1}}};
  options.latency = {.median = Millis(2), .sigma = 0.1, .heavy_percent = 0, .heavy_factor = 1};
  return options;
}

wire::SubRequestT Request(const std::string& id, wire::Operation operation) {
  wire::SubRequestT request;
  request.request_id = id;
  request.operation = operation;
  request.service = "spoons";
  request.snapshot = 1;
  request.budget_us = 5'000'000;
  request.body = R"({"text":"a"})";
  return request;
}

// Router that accepts registrations, lists the configured routers in its responses, and answers
// searches with one covered and one missing shard, every fourth with "overloaded".
struct FakeRouter {
  explicit FakeRouter(boost::asio::io_context& io) {
    auto listening = HttpServer::Listen(
        io, "127.0.0.1:0", [this](const HttpRequest& request, const HttpResponder& responder) {
          this->Respond(request, responder);
        });
    REQUIRE(listening);
    this->server = std::move(*listening);
  }
  Address AddressText() const { return "127.0.0.1:" + std::to_string(this->server->Port()); }

  void Respond(const HttpRequest& request, const HttpResponder& responder) {
    if (this->refuse_requests) {
      responder.Send(ErrorResponse({ErrorCode::kNotSynchronized, ""}, ""));
    } else if (request.path == "/v1/targets") {
      const auto parsed = ParseRegistrationRequest(request.body);
      REQUIRE(parsed);
      this->registrations.push_back(*parsed);
      responder.Send(JsonResponse(
          200,
          FormatRegistrationResponse({.lease = Millis(3'000), .routers = this->listed_routers})));
    } else if (request.path == "/v1/routers") {
      responder.Send(
          JsonResponse(200, FormatRouterList({.routers = {{this->AddressText(), "tre-a"}}})));
    } else {
      this->RespondToSearch(request, responder);
    }
  }
  void RespondToSearch(const HttpRequest& request, const HttpResponder& responder) {
    const auto search = ParseSearchRequest(request.body);
    REQUIRE(search);
    if (++this->searches % 4 == 0) {
      responder.Send(ErrorResponse({ErrorCode::kOverloaded, ""}, search->request_id));
      return;
    }
    SearchResponse answer{.request_id = search->request_id, .service = search->service};
    answer.results = {{{search->service, 0}, 1, R"({"shard":0,"query":)" + search->query + "}"}};
    answer.missing = {{{search->service, 1}, ErrorCode::kNoTarget}};
    answer.attempts = {.needed = 2, .sent = 3, .hedges = 1, .retries = 0};
    responder.Send(JsonResponse(200, FormatSearchResponse(answer)));
  }

  std::unique_ptr<HttpServer> server;
  std::vector<RegistrationRequest> registrations;
  std::vector<Address> listed_routers;
  bool refuse_requests = false;
  uint64_t searches = 0;
};

struct Fixture {
  explicit Fixture(std::vector<Address> routers = {}) {
    this->target =
        std::make_unique<StandinTarget>(this->io, this->clients, Options(), std::move(routers), 7);
    REQUIRE(this->target->Start());
    this->client = std::make_unique<TargetClient>(
        this->io, this->target->BoundAddress(),
        HttpClientOptions{.max_connections = 8, .min_connections = 0});
  }
  uint64_t Send(const std::string& id, wire::Operation operation = wire::Operation::Search) {
    return this->client->Send(Request(id, operation), [this](wire::SubReplyT reply) {
      this->replies.push_back(std::move(reply));
    });
  }
  // Sends one sub-request and returns the error code of its reply, or -1 on success.
  int SendAndGetError(const std::string& id, wire::Operation operation = wire::Operation::Search) {
    this->replies.clear();
    this->Send(id, operation);
    REQUIRE(this->Until([&] { return this->replies.size() == 1; }));
    return this->replies.back().error;
  }
  bool Until(const std::function<bool()>& condition) { return RunUntil(this->io, condition); }
  const StandinCounters& Counters() const { return this->target->Counters(); }

  boost::asio::io_context io;
  RegistrationClients clients{this->io};
  std::unique_ptr<StandinTarget> target;
  std::unique_ptr<TargetClient> client;
  std::vector<wire::SubReplyT> replies;
};

constexpr int CodeValue(ErrorCode code) { return static_cast<int>(code); }

TEST_CASE("stand-in target answers sub-requests", "[standin]") {
  Fixture fixture;
  CHECK(fixture.SendAndGetError("q-1") == -1);
  CHECK_THAT(fixture.replies.back().body, Catch::Contains(R"("query":{"text":"a"})"));
  SECTION("counts each execution of an order") {
    CHECK(fixture.SendAndGetError("o-1", wire::Operation::Order) == -1);
    CHECK(fixture.SendAndGetError("o-1", wire::Operation::Order) == -1);
    CHECK(fixture.target->Orders().at("o-1") == 2);
    CHECK_THAT(fixture.replies.back().body, Catch::Contains(R"("executions":2)"));
  }
  SECTION("sheds and counts sub-requests beyond its slots") {
    REQUIRE(fixture.target->ApplySwitches(R"({"slow_factor":20})"));
    fixture.replies.clear();
    for (const char* id : {"a", "b", "c"}) fixture.Send(id);
    REQUIRE(fixture.Until([&] { return fixture.replies.size() == 3; }));
    CHECK(fixture.Counters().slot_overruns == 1);
    CHECK(fixture.Counters().max_running == 2);
    CHECK(fixture.replies.front().error == CodeValue(ErrorCode::kShed));
  }
  SECTION("rejects and counts connections beyond the limit") {
    REQUIRE(fixture.target->ApplySwitches(R"({"slow_factor":20})"));
    fixture.replies.clear();
    for (const char* id : {"a", "b", "c", "d"}) fixture.Send(id);
    REQUIRE(fixture.Until([&] { return fixture.replies.size() == 4; }));
    CHECK(fixture.Counters().connection_overruns == 1);
    CHECK(fixture.Counters().shed == 1);
  }
  SECTION("frees the slot of a cancelled sub-request") {
    REQUIRE(fixture.target->ApplySwitches(R"({"slow_factor":100000})"));
    const uint64_t call = fixture.Send("a");
    REQUIRE(fixture.Until([&] { return fixture.Counters().requests == 2; }));
    fixture.client->Cancel(call);
    REQUIRE(fixture.Until([&] { return fixture.Counters().cancelled == 1; }));
    REQUIRE(fixture.target->ApplySwitches(R"({"slow_factor":1})"));
    CHECK(fixture.SendAndGetError("b") == -1);
    CHECK(fixture.SendAndGetError("c") == -1);
  }
  SECTION("rejects a snapshot that it does not hold") {
    REQUIRE(fixture.target->ApplySwitches(R"({"snapshots":[2,3]})"));
    CHECK(fixture.SendAndGetError("q-2") == CodeValue(ErrorCode::kShed));
    CHECK(fixture.Counters().malformed == 1);
  }
}

TEST_CASE("stand-in target injects faults", "[standin]") {
  Fixture fixture;
  SECTION("shed") {
    REQUIRE(fixture.target->ApplySwitches(R"({"shed":true})"));
    CHECK(fixture.SendAndGetError("q-1") == CodeValue(ErrorCode::kShed));
  }
  SECTION("connection closed without the reply to an executed order") {
    REQUIRE(fixture.target->ApplySwitches(R"({"close_without_reply":1})"));
    CHECK(fixture.SendAndGetError("o-1", wire::Operation::Order) ==
          CodeValue(ErrorCode::kConnectionLost));
    CHECK(fixture.replies.back().crashed);
    CHECK(fixture.target->Orders().at("o-1") == 1);
    CHECK(fixture.SendAndGetError("o-2", wire::Operation::Order) == -1);
  }
  SECTION("reply with the id of another request") {
    REQUIRE(fixture.target->ApplySwitches(R"({"wrong_echo":1})"));
    CHECK(fixture.SendAndGetError("q-1") == CodeValue(ErrorCode::kWrongReply));
    CHECK(fixture.SendAndGetError("q-2") == -1);
  }
  SECTION("crash on a body text, and restart on the same port") {
    REQUIRE(fixture.target->ApplySwitches(R"({"crash_text":"\"a\"","restart_ms":10})"));
    CHECK(fixture.SendAndGetError("q-1") == CodeValue(ErrorCode::kConnectionLost));
    CHECK(fixture.replies.back().crashed);
    REQUIRE(fixture.target->ApplySwitches(R"({"crash_text":""})"));
    REQUIRE(fixture.Until([&] { return fixture.SendAndGetError("q-2") == -1; }));
    CHECK(fixture.Counters().crashes == 1);
  }
  SECTION("overridden load") {
    REQUIRE(fixture.target->ApplySwitches(R"({"load":0.75})"));
    CHECK(fixture.SendAndGetError("q-1") == -1);
    CHECK(fixture.replies.back().load == 0.75F);
  }
  SECTION("rejects an unknown switch and names it in the error") {
    const auto invalid = fixture.target->ApplySwitches(R"({"shed":true,"slowfactor":2})");
    REQUIRE_FALSE(invalid);
    CHECK_THAT(invalid.error().detail, Catch::Contains("slowfactor"));
    CHECK(fixture.SendAndGetError("q-1") == -1);
  }
}

TEST_CASE("stand-in target registers with the routers listed in responses", "[standin]") {
  boost::asio::io_context router_io;
  FakeRouter first(router_io);
  FakeRouter second(router_io);
  first.listed_routers = {second.AddressText()};
  second.listed_routers = {second.AddressText()};
  Fixture fixture({first.AddressText()});
  const auto until = [&](const std::function<bool()>& condition) {
    return fixture.Until([&] {
      router_io.restart();
      router_io.poll();
      return condition();
    });
  };
  REQUIRE(until([&] { return first.registrations.size() == 1; }));
  CHECK(first.registrations[0].record.state == TargetState::kServing);
  CHECK(first.registrations[0].record.address == fixture.target->BoundAddress());
  // The response of the first router lists only the second, so the next registration goes there.
  REQUIRE(until(
      [&] { return fixture.target->Report().find(R"("registrations":1)") != std::string::npos; }));
  REQUIRE(fixture.target->ApplySwitches(R"({"drain":true})"));
  REQUIRE(until([&] { return second.registrations.size() == 1; }));
  CHECK(second.registrations[0].record.state == TargetState::kDraining);
  CHECK(second.registrations[0].record.sequence > first.registrations[0].record.sequence);
  // After a rejected registration the target falls back to an initial router.
  second.refuse_requests = true;
  REQUIRE(fixture.target->ApplySwitches(R"({"drain":false})"));
  REQUIRE(until([&] { return first.registrations.size() == 2; }));
}

TEST_CASE("load generator counts answers, errors and coverage", "[standin]") {
  boost::asio::io_context io;
  FakeRouter router(io);
  LoadOptions options;
  options.addresses = {router.AddressText()};
  options.search_services = {"spoons"};
  options.search_rate = 400;
  options.warm_up = Millis(0);
  options.duration = Millis(250);
  LoadGenerator load(io, options);
  bool done = false;
  load.Start([&] { done = true; });
  REQUIRE(RunUntil(io, [&] { return done; }));
  const LoadReport& report = load.Report();
  CHECK(report.searches.offered > 0);
  CHECK(report.searches.offered == router.searches);
  CHECK(report.searches.answered + report.searches.failed == report.searches.offered);
  CHECK(report.searches.errors.at("overloaded") == router.searches / 4);
  CHECK(report.covered_shards == report.searches.answered);
  CHECK(report.missing_causes.at("no_target") == report.searches.answered);
  CHECK(report.complete == 0);
  CHECK(report.sub_requests == report.searches.answered * 3);
  CHECK(report.wrong_answers == 0);
  CHECK(IsJson(report.Json()));
}

TEST_CASE("stand-in deployment text is parsed", "[standin]") {
  const auto deployment = ParseStandinDeployment(
      R"({"routers":["127.0.0.1:7001"],"groups":[{"service":"kassa","services":2,"targets":3,
          "shards":2,"data_centres":["a","b"],"first_port":9100,"snapshots":[4,5]}]})");
  REQUIRE(deployment);
  REQUIRE(deployment->targets.size() == 6);
  const TargetRecord& last = deployment->targets[5].record;
  CHECK(last.target == "kassa-2/3");
  CHECK(last.address == "127.0.0.1:9105");
  CHECK(last.holds == std::vector<Holding>{{4, 0, 2}, {5, 0, 2}});
  const auto invalid = ParseStandinDeployment(
      R"({"routers":[],"groups":[{"service":"s","data_centres":[],"slots":0}]})");
  REQUIRE_FALSE(invalid);
  CHECK_THAT(invalid.error().detail, Catch::Contains("slots"));
}

}  // namespace
}  // namespace peridotgauge
