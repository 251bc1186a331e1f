// Tests of the JSON messages of callers, targets and operators. Guards against fields of a wrong
// form that are accepted, errors that do not name the field, and values that change between
// formatting and parsing.
#include "core/caller_api.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "core/json_text.h"
#include "core/operator_api.h"

namespace peridotgauge {
namespace {

template <typename T>
std::string ErrorText(const Result<T>& result) {
  REQUIRE_FALSE(result);
  CHECK(result.error().code == ErrorCode::kBadRequest);
  return result.error().detail;
}

TEST_CASE("caller_api parses requests", "[caller_api]") {
  SECTION("a search, whose query is kept verbatim") {
    const auto request = ParseSearchRequest(
        R"( {"service":"verstas-1", "query": {"price": 19.990, "n": 123456789012345678901},
             "deadline_ms":200,"request_id":"a-1"} )");
    REQUIRE(request);
    CHECK(request->service == "verstas-1");
    CHECK(request->query == R"({"price": 19.990, "n": 123456789012345678901})");
    CHECK(request->deadline == Millis(200));
    CHECK(request->request_id == "a-1");
  }
  SECTION("a search without its optional fields") {
    const auto request = ParseSearchRequest(R"({"query":null,"service":"s"})");
    REQUIRE(request);
    CHECK_FALSE(request->deadline);
    CHECK(request->request_id.empty());
    CHECK(request->query == "null");
  }
  SECTION("an order") {
    const OrderRequest order{.service = "s",
                             .request_id = "o-1",
                             .issued_at_ms = 1'790'000'000'000,
                             .body = R"({"text":"\"}{,"})",
                             .deadline = Millis(300)};
    CHECK(ParseOrderRequest(FormatOrderRequest(order)) == order);
  }
  SECTION("a registration") {
    const RegistrationRequest request{.record = {.target = "verstas-1/a",
                                                 .address = "127.0.0.1:9001",
                                                 .service = "verstas-1",
                                                 .data_centre = "tre-a",
                                                 .incarnation = UINT64_MAX,
                                                 .sequence = 17,
                                                 .state = TargetState::kDraining,
                                                 .slots = 5,
                                                 .connections = 40,
                                                 .holds = {{12, 0, 2}, {13, 3, 4}},
                                                 .registrar = ""},
                                      .load = 0.5};
    CHECK(ParseRegistrationRequest(FormatRegistrationRequest(request)) == request);
  }
}

// Guards against a caller who sends several keys and is served with one of them.
TEST_CASE("caller_api reads the key of a workspace", "[caller_api]") {
  HttpRequest request{.headers = {{"host", "h"}}};
  CHECK(WorkspaceKey(request).empty());
  request.headers.push_back({"X-Workspace-Key", "k1"});
  CHECK(WorkspaceKey(request) == "k1");
  request.headers.push_back({"x-workspace-key", "k2"});
  CHECK(WorkspaceKey(request).empty());
}

// Guards against a refusal that does not say when to send the request again.
TEST_CASE("caller_api says when to send a request again", "[caller_api]") {
  const HttpResponse response =
      RetryResponse({ErrorCode::kQuotaExceeded, "w has used up its quota"}, "q-1", Millis(1'250));
  CHECK(response.status == 429);
  CHECK(response.Header("Retry-After") == "1.250");
  const ErrorBody body = ParseErrorBody(response.status, response.body);
  CHECK(body.error.code == ErrorCode::kQuotaExceeded);
  CHECK(body.not_run);
  CHECK(body.request_id == "q-1");
}

TEST_CASE("caller_api errors name the invalid field", "[caller_api]") {
  struct Case {
    std::string text;
    std::string field;
  };
  SECTION("of a search") {
    const auto wrong =
        GENERATE(Case{R"({"query":1})", "service: is missing"}, Case{R"({"service":"s"})", "query"},
                 Case{R"({"service":7,"query":1})", "service: expected a string"},
                 Case{R"({"service":"","query":1})", "service"},
                 Case{R"({"service":"s","query":1,"deadline_ms":0})", "deadline_ms"},
                 Case{R"({"service":"s","query":1,"deadline_ms":-5})", "deadline_ms"},
                 Case{R"({"service":"s","query":1,"deadline_ms":1e3})", "deadline_ms"},
                 Case{R"({"service":"s","query":1,"dead_line":5})", "dead_line: unknown field"},
                 Case{R"({"service":"s","query":1,"query":2})", "query: given twice"},
                 Case{R"({"service":"s","query":1,"request_id":""})", "request_id"},
                 Case{R"({"service":"s","query":1,"request_id":"a\r\nx-evil: 1"})", "request_id"},
                 Case{R"({"service":"s","query":})", "invalid JSON"},
                 Case{"[]", "expected a JSON object"}, Case{"", "invalid JSON"});
    CHECK_THAT(ErrorText(ParseSearchRequest(wrong.text)), Catch::Contains(wrong.field));
  }
  SECTION("of an order") {
    const std::string long_id(kMaxRequestIdLength + 1, 'x');
    const auto wrong = GENERATE_COPY(
        Case{R"({"service":"s","body":1,"issued_at_ms":1})", "request_id"},
        Case{R"({"service":"s","body":1,"request_id":"a"})", "issued_at_ms"},
        Case{R"({"service":"s","body":1,"request_id":"a","issued_at_ms":"1"})", "issued_at_ms"},
        Case{R"({"service":"s","request_id":"a","issued_at_ms":1})", "body"},
        Case{R"({"service":"s","body":1,"issued_at_ms":1,"request_id":")" + long_id + "\"}",
             "request_id: expected 1 to 128 characters"});
    CHECK_THAT(ErrorText(ParseOrderRequest(wrong.text)), Catch::Contains(wrong.field));
  }
  SECTION("of a registration") {
    const std::string good = FormatRegistrationRequest({.record = {.target = "t",
                                                                   .address = "127.0.0.1:9001",
                                                                   .service = "s",
                                                                   .data_centre = "d",
                                                                   .slots = 5,
                                                                   .connections = 40,
                                                                   .holds = {{12, 0, 2}}}});
    REQUIRE(ParseRegistrationRequest(good));
    struct Edit {
      std::string before;
      std::string after;
      std::string field;
    };
    const auto edit = GENERATE(
        Edit{"127.0.0.1:9001", "example:9001", "address"},
        Edit{"\"starting\"", "\"dead\"", "state"}, Edit{"\"slots\":5", "\"slots\":0", "slots"},
        Edit{"\"shard\":0", "\"shard\":2", "shard"}, Edit{"\"shards\":2", "\"shards\":0", "shards"},
        Edit{"\"holds\":[", "\"holds\":[7,", "holds"},
        Edit{"\"load\":0.000000", "\"load\":1.5", "load"},
        Edit{"\"incarnation\":0", "\"incarnation\":-1", "incarnation"});
    std::string text = good;
    REQUIRE(text.find(edit.before) != std::string::npos);
    text.replace(text.find(edit.before), edit.before.size(), edit.after);
    CHECK_THAT(ErrorText(ParseRegistrationRequest(text)), Catch::Contains(edit.field));
  }
}

TEST_CASE("caller_api formats responses", "[caller_api]") {
  SECTION("of a search") {
    SearchResponse response{
        .request_id = "q\"1",
        .service = "verstas-1",
        .revision = 7,
        .snapshots = {{"kirjasin", 12}, {"verstas", 3}},
        .results = {{{"verstas-1", 0}, 3, R"({"price":19.990})"}, {{"kirjasin", 1}, 12, "[]"}},
        .missing = {{{"kirjasin", 0}, ErrorCode::kDeadlineExceeded}},
        .attempts = {.needed = 3, .sent = 4, .hedges = 1, .retries = 0}};
    const std::string text = FormatSearchResponse(response);
    CHECK(ParseSearchResponse(text) == response);
    CHECK_THAT(text, Catch::Contains(R"("complete":false)"));
    CHECK_THAT(text, Catch::Contains(R"("snapshots":{"kirjasin":12,"verstas":3})"));
    CHECK_THAT(text, Catch::Contains(R"("body":{"price":19.990})"));
    response.missing.clear();
    CHECK_THAT(FormatSearchResponse(response), Catch::Contains(R"("complete":true)"));
  }
  SECTION("of an order, a router list and a registration") {
    const OrderResponse order{.request_id = "o-1", .body = R"({"n":1.10})", .replayed = true};
    CHECK(ParseOrderResponse(FormatOrderResponse(order)) == order);
    const RouterList list{.routers = {{"127.0.0.1:7001", "tre-a"}}, .ttl = Millis(2'000)};
    CHECK(FormatRouterList(list) ==
          R"({"routers":[{"address":"127.0.0.1:7001","data_centre":"tre-a"}],"ttl_ms":2000})");
    CHECK(ParseRouterList(FormatRouterList(list)) == list);
    const RegistrationResponse response{.lease = Millis(3'000), .routers = {"127.0.0.1:7001"}};
    CHECK(ParseRegistrationResponse(FormatRegistrationResponse(response)) == response);
  }
  SECTION("of an error, where the argument cannot turn not_run from false to true") {
    const Error shed{ErrorCode::kUnavailable, "no \"target\""};
    CHECK(FormatError(shed, "q-1") ==
          R"({"error":"unavailable","message":"no \"target\"","not_run":true,"request_id":"q-1"})");
    CHECK_FALSE(ParseErrorBody(503, FormatError(shed, "q-1", false)).not_run);
    CHECK_FALSE(
        ParseErrorBody(502, FormatError({ErrorCode::kConnectionLost, ""}, "", true)).not_run);
    CHECK(ErrorResponse(shed, "").status == 503);
    CHECK(ParseErrorBody(500, "<html>").error.code == ErrorCode::kInternal);
    CHECK_FALSE(ParseErrorBody(503, R"({"error":"odd","message":"","not_run":true})").not_run);
  }
}

TEST_CASE("operator_api formats and parses", "[operator_api]") {
  const ApplyResponse apply{.revision = 7, .digest = 0xAB, .repeated = true};
  CHECK(ParseApplyResponse(FormatApplyResponse(apply)) == apply);
  CHECK_THAT(FormatApplyResponse(apply), Catch::Contains(R"("digest":"00000000000000ab")"));
  const ConflictResponse conflict{.message = "taken", .revision = 7, .digest = UINT64_MAX};
  CHECK(ParseConflict(FormatConflict(conflict)) == conflict);
  CHECK(ParseErrorBody(409, FormatConflict(conflict)).error.code == ErrorCode::kConflict);
  const InForceResponse in_force{
      .revision = 7, .accepted = true, .in_force = false, .waiting = {"router-1", "router-2"}};
  CHECK(ParseInForce(FormatInForce(in_force)) == in_force);
  HttpRequest request;
  CHECK(ParseRevision(request).value() == std::nullopt);
  request.query = "a=1&revision=12";
  CHECK(ParseRevision(request).value() == 12U);
  request.query = "revision=12x";
  CHECK_THAT(ErrorText(ParseRevision(request)), Catch::Contains("revision"));
}

TEST_CASE("json_text handles arbitrary text", "[caller_api]") {
  CHECK(rc::check("quoted texts are valid JSON", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    RC_ASSERT(IsJson(QuoteJson(text)));
  }));
  CHECK(rc::check("corrupted requests are parsed to valid JSON or rejected", [] {
    std::string text = FormatSearchRequest({.service = "s", .query = R"({"a":["x\"",1.5,null]})"});
    const auto damage = *rc::gen::arbitrary<char>();
    text[*rc::gen::inRange<size_t>(0, text.size())] = damage;
    text.resize(*rc::gen::inRange<size_t>(0, text.size() + 1));
    const auto request = ParseSearchRequest(text);
    if (request) RC_ASSERT(IsJson(request->query));
  }));
  CHECK_FALSE(IsJson(std::string(100'000, '[')));
}

}  // namespace
}  // namespace peridotgauge
