// Tests of the stand-in target and the load generator, through the product's client: guards against
// benchmarks and fault tests whose counters or switches do not do what they say.
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

namespace peridotgauge {
namespace {

StandinOptions Options() {
  StandinOptions options;
  options.record = {.target = "spoons/1",
                    .address = "127.0.0.1:0",
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

// A router that accepts registrations and names itself and one more address.
struct FakeRouter {
  explicit FakeRouter(boost::asio::io_context& io) {
    auto listening = HttpServer::Listen(
        io, "127.0.0.1:0", [this](const HttpRequest& request, const HttpResponder& responder) {
          this->Answer(request, responder);
        });
    REQUIRE(listening);
    this->server = std::move(*listening);
  }
  Address AddressText() const { return "127.0.0.1:" + std::to_string(this->server->Port()); }

  void Answer(const HttpRequest& request, const HttpResponder& responder) {
    if (this->refuse) {
      responder.Send(ErrorResponse({ErrorCode::kNotSynchronized, ""}, ""));
    } else if (request.path == "/v1/targets") {
      const auto parsed = ParseRegistrationRequest(request.body);
      REQUIRE(parsed);
      this->registrations.push_back(*parsed);
      responder.Send(JsonResponse(
          200, FormatRegistrationResponse({.lease = Millis(3'000), .routers = this->named})));
    } else if (request.path == "/v1/routers") {
      responder.Send(
          JsonResponse(200, FormatRouterList({.routers = {{this->AddressText(), "tre-a"}}})));
    } else {
      this->AnswerSearch(request, responder);
    }
  }
  void AnswerSearch(const HttpRequest& request, const HttpResponder& responder) {
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
  std::vector<Address> named;
  bool refuse = false;
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
  // Sends one sub-request and returns the error of its reply; -1 for success.
  int Outcome(const std::string& id, wire::Operation operation = wire::Operation::Search) {
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

constexpr int Code(ErrorCode code) { return static_cast<int>(code); }

TEST_CASE("standin answers sub-requests", "[standin]") {
  Fixture fixture;
  CHECK(fixture.Outcome("q-1") == -1);
  CHECK_THAT(fixture.replies.back().body, Catch::Contains(R"("query":{"text":"a"})"));
  SECTION("and counts each execution of an order") {
    CHECK(fixture.Outcome("o-1", wire::Operation::Order) == -1);
    CHECK(fixture.Outcome("o-1", wire::Operation::Order) == -1);
    CHECK(fixture.target->Orders().at("o-1") == 2);
    CHECK_THAT(fixture.replies.back().body, Catch::Contains(R"("executions":2)"));
  }
  SECTION("and sheds and counts what exceeds its slots") {
    REQUIRE(fixture.target->Switch(R"({"slow_factor":20})"));
    fixture.replies.clear();
    for (const char* id : {"a", "b", "c"}) fixture.Send(id);
    REQUIRE(fixture.Until([&] { return fixture.replies.size() == 3; }));
    CHECK(fixture.Counters().slot_overruns == 1);
    CHECK(fixture.Counters().max_running == 2);
    CHECK(fixture.replies.front().error == Code(ErrorCode::kShed));
  }
  SECTION("and refuses and counts what exceeds its connections") {
    REQUIRE(fixture.target->Switch(R"({"slow_factor":20})"));
    fixture.replies.clear();
    for (const char* id : {"a", "b", "c", "d"}) fixture.Send(id);
    REQUIRE(fixture.Until([&] { return fixture.replies.size() == 4; }));
    CHECK(fixture.Counters().connection_overruns == 1);
    CHECK(fixture.Counters().shed == 1);
  }
  SECTION("and frees the slot of a cancelled one") {
    REQUIRE(fixture.target->Switch(R"({"slow_factor":100000})"));
    const uint64_t call = fixture.Send("a");
    REQUIRE(fixture.Until([&] { return fixture.Counters().requests == 2; }));
    fixture.client->Cancel(call);
    REQUIRE(fixture.Until([&] { return fixture.Counters().cancelled == 1; }));
    REQUIRE(fixture.target->Switch(R"({"slow_factor":1})"));
    CHECK(fixture.Outcome("b") == -1);
    CHECK(fixture.Outcome("c") == -1);
  }
  SECTION("and refuses a snapshot that it does not hold") {
    REQUIRE(fixture.target->Switch(R"({"snapshots":[2,3]})"));
    CHECK(fixture.Outcome("q-2") == Code(ErrorCode::kShed));
    CHECK(fixture.Counters().malformed == 1);
  }
}

TEST_CASE("standin switches faults", "[standin]") {
  Fixture fixture;
  SECTION("shed") {
    REQUIRE(fixture.target->Switch(R"({"shed":true})"));
    CHECK(fixture.Outcome("q-1") == Code(ErrorCode::kShed));
  }
  SECTION("a lost reply of an executed order") {
    REQUIRE(fixture.target->Switch(R"({"close_without_reply":1})"));
    CHECK(fixture.Outcome("o-1", wire::Operation::Order) == Code(ErrorCode::kConnectionLost));
    CHECK(fixture.replies.back().crashed);
    CHECK(fixture.target->Orders().at("o-1") == 1);
    CHECK(fixture.Outcome("o-2", wire::Operation::Order) == -1);
  }
  SECTION("a crossed reply") {
    REQUIRE(fixture.target->Switch(R"({"wrong_echo":1})"));
    CHECK(fixture.Outcome("q-1") == Code(ErrorCode::kWrongReply));
    CHECK(fixture.Outcome("q-2") == -1);
  }
  SECTION("a crash on a text, with a restart on the same port") {
    REQUIRE(fixture.target->Switch(R"({"crash_text":"\"a\"","restart_ms":10})"));
    CHECK(fixture.Outcome("q-1") == Code(ErrorCode::kConnectionLost));
    CHECK(fixture.replies.back().crashed);
    REQUIRE(fixture.target->Switch(R"({"crash_text":""})"));
    REQUIRE(fixture.Until([&] { return fixture.Outcome("q-2") == -1; }));
    CHECK(fixture.Counters().crashes == 1);
  }
  SECTION("a false load") {
    REQUIRE(fixture.target->Switch(R"({"load":0.75})"));
    CHECK(fixture.Outcome("q-1") == -1);
    CHECK(fixture.replies.back().load == 0.75F);
  }
  SECTION("but refuses an unknown one by its name") {
    const auto wrong = fixture.target->Switch(R"({"shed":true,"slowfactor":2})");
    REQUIRE_FALSE(wrong);
    CHECK_THAT(wrong.error().detail, Catch::Contains("slowfactor"));
    CHECK(fixture.Outcome("q-1") == -1);
  }
}

TEST_CASE("standin registers and follows the named routers", "[standin]") {
  boost::asio::io_context router_io;
  FakeRouter first(router_io);
  FakeRouter second(router_io);
  first.named = {second.AddressText()};
  second.named = {second.AddressText()};
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
  // The first router no longer names itself, so the next registration goes to the second.
  REQUIRE(until(
      [&] { return fixture.target->Report().find(R"("registrations":1)") != std::string::npos; }));
  REQUIRE(fixture.target->Switch(R"({"drain":true})"));
  REQUIRE(until([&] { return second.registrations.size() == 1; }));
  CHECK(second.registrations[0].record.state == TargetState::kDraining);
  CHECK(second.registrations[0].record.sequence > first.registrations[0].record.sequence);
  // A router that refuses is left for one of the start.
  second.refuse = true;
  REQUIRE(fixture.target->Switch(R"({"drain":false})"));
  REQUIRE(until([&] { return first.registrations.size() == 2; }));
}

TEST_CASE("loadgen counts answers, errors and coverage", "[standin]") {
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

TEST_CASE("standin deployments", "[standin]") {
  const auto deployment = ParseStandinDeployment(
      R"({"routers":["127.0.0.1:7001"],"groups":[{"service":"kassa","services":2,"targets":3,
          "shards":2,"data_centres":["a","b"],"first_port":9100,"snapshots":[4,5]}]})");
  REQUIRE(deployment);
  REQUIRE(deployment->targets.size() == 6);
  const TargetRecord& last = deployment->targets[5].record;
  CHECK(last.target == "kassa-2/3");
  CHECK(last.address == "127.0.0.1:9105");
  CHECK(last.holds == std::vector<Holding>{{4, 0, 2}, {5, 0, 2}});
  const auto wrong = ParseStandinDeployment(
      R"({"routers":[],"groups":[{"service":"s","data_centres":[],"slots":0}]})");
  REQUIRE_FALSE(wrong);
  CHECK_THAT(wrong.error().detail, Catch::Contains("slots"));
}

}  // namespace
}  // namespace peridotgauge
