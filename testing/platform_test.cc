// Tests of the platform's documents, headers and status codes.
#include <algorithm>
#include <catch2/catch.hpp>

#include "platform/documents.h"
#include "platform/route_format.h"

namespace peridotgauge::platform {
namespace {

constexpr std::string_view kText = R"({"version":7,
 "routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"safe","timeoutMs":600,
   "targetLatencyMs":100,"priority":1,"gather":["a","b"],"maxAttempts":2,"topK":10,
   "minVersion":0.89},
  {"name":"q","host":"h","pathPrefix":"/q/","kind":"unsafe","timeoutMs":2000,
   "targets":[{"service":"a","weight":3},{"service":"b","weight":1}]}],
 "services":[{"name":"a","healthPath":"/health","maxConns":26,"protocol":"h1","tls":false},
  {"name":"b","healthPath":"/health","maxConns":26}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},"unknown":1})";

TEST_CASE("a configuration", "[platform]") {
  const auto config = ParseConfiguration(kText);
  REQUIRE(config);
  CHECK(config->Revision() == 7);
  CHECK(config->Text() == kText);
  const Route* gather = config->Routes().Match("h", "/p/1");
  REQUIRE(gather != nullptr);
  CHECK(gather->shards == std::vector<std::string>{"a", "b"});
  CHECK(gather->timeout == Millis(600));
  CHECK(gather->objective == Millis(100));
  CHECK(gather->max_attempts == 2);
  CHECK(gather->top_records == 10);
  CHECK(gather->idempotent);
  const Route* split = config->Routes().Match("h", "/q/1");
  REQUIRE(split != nullptr);
  CHECK_FALSE(split->idempotent);
  CHECK(split->split == std::vector<WeightedService>{{"a", 3}, {"b", 1}});
  CHECK(config->Routes().FindService("a")->connections == 26);
  CHECK(config->Routes().Limits().idle_timeout == Seconds(15));
}

TEST_CASE("invalid configurations are rejected", "[platform]") {
  const auto replaced = [](const std::string& from, const std::string& to) {
    std::string text(kText);
    text.replace(text.find(from), from.size(), to);
    return ParseConfiguration(text);
  };
  CHECK_FALSE(ParseConfiguration(kText.substr(0, kText.size() / 2)));
  CHECK_FALSE(ParseConfiguration("[]"));
  CHECK_FALSE(ParseConfiguration("{}"));
  CHECK_FALSE(replaced("\"timeoutMs\":600", "\"timeoutMs\":0"));
  CHECK_FALSE(replaced("\"timeoutMs\":600", "\"timeoutMs\":\"600\""));
  CHECK_FALSE(replaced("[\"a\",\"b\"]", "[\"a\",\"c\"]"));
  CHECK_FALSE(replaced("\"/q/\"", "\"/p/\""));
  CHECK_FALSE(replaced("\"version\":7", "\"version\":7.5"));
  CHECK_FALSE(replaced("\"weight\":3},{\"service\":\"b\",\"weight\":1}",
                       "\"weight\":0},{\"service\":\"b\",\"weight\":0}"));
}

TEST_CASE("a configuration with workspaces", "[platform]") {
  std::string text(kText);
  CHECK(ParseConfiguration(text)->Routes().Workspaces() == nullptr);
  const auto with = [&](const std::string& workspaces) {
    return ParseConfiguration(text.substr(0, text.rfind('}')) + ",\"tenants\":" + workspaces + "}");
  };
  const auto config = with(
      R"([{"name":"w1","apiKeys":["k1","k2"],"priority":0,"ratePerS":43,"burst":21.5},{"name":"w2"}])");
  REQUIRE(config);
  const WorkspaceTable* table = config->Routes().Workspaces();
  REQUIRE(table != nullptr);
  REQUIRE(table->FindByKey("k2") != nullptr);
  CHECK(*table->FindByKey("k2") ==
        Workspace{.name = "w1", .keys = {"k1", "k2"}, .priority = 0, .quota = {43, 21.5}});
  CHECK_FALSE(table->Find("w2")->quota.Limited());
  CHECK_FALSE(table->Find("w2")->priority);
  SECTION("routes need a key unless they are public") {
    CHECK(config->Routes().Match("h", "/p/1")->needs_key);
    text.replace(text.find("\"topK\""), 0, "\"public\":true,");
    CHECK_FALSE(with("[]")->Routes().Match("h", "/p/1")->needs_key);
    CHECK(with("[]")->Routes().Workspaces() != nullptr);
  }
  SECTION("is rejected if two of them share a key, without naming the key") {
    const auto rejected =
        with(R"([{"name":"w1","apiKeys":["k-1"]},{"name":"w2","apiKeys":["k-1"]}])");
    REQUIRE_FALSE(rejected);
    CHECK(rejected.error().detail.find("k-1") == std::string::npos);
    CHECK(rejected.error().detail.find("w1") != std::string::npos);
  }
  SECTION("is rejected if one is malformed") {
    for (const char* workspaces :
         {"{}", "[1]", R"([{"apiKeys":[]}])", R"([{"name":""}])",
          R"([{"name":"w","apiKeys":[""]}])", R"([{"name":"w","apiKeys":[1]}])",
          R"([{"name":"w","apiKeys":"k"}])", R"([{"name":"w","ratePerS":-1}])",
          R"([{"name":"w","burst":"1"}])", R"([{"name":"w","priority":-1}])",
          R"([{"name":"w"},{"name":"w"}])"}) {
      CAPTURE(workspaces);
      CHECK_FALSE(with(workspaces));
    }
  }
}

// Guards against times that overflow when they are added to the present time.
TEST_CASE("a configuration with very long times", "[platform]") {
  for (const char* millis : {"1e15", "1e300", "9223372036854775807"}) {
    std::string text(kText);
    for (const char* name : {"\"timeoutMs\":600", "\"idleTimeoutMs\":15000"}) {
      const std::string member(name);
      text.replace(text.find(member), member.size(),
                   member.substr(0, member.find(':') + 1) + millis);
    }
    const auto config = ParseConfiguration(text);
    REQUIRE(config);
    const Route* route = config->Routes().Match("h", "/p/1");
    REQUIRE(route != nullptr);
    CHECK(route->timeout > Seconds(3'600));
    CHECK(TimeAt(INT64_MAX / 4'000) + route->timeout > TimeAt(INT64_MAX / 4'000));
    CHECK(config->Routes().Limits().idle_timeout > Seconds(3'600));
  }
}

TEST_CASE("a heartbeat", "[platform]") {
  const std::string heartbeat =
      R"({"service":"a","address":"10.0.0.9:80","zone":"z","version":"v1","slots":2,)"
      R"("state":"ready","warmupLeftMs":0,"sequence":4,"born":1780000000000})";
  const auto record = ParseHeartbeat("i-1", heartbeat);
  REQUIRE(record);
  CHECK(record->target == "i-1");
  CHECK(record->data_centre == "z");
  CHECK(record->incarnation == 1'780'000'000'000);
  CHECK(record->sequence == 4);
  CHECK(record->state == TargetState::kServing);
  CHECK(record->warmup == Duration(0));
  SECTION("of a cold target") {
    const std::string member = R"("warmupLeftMs":0)";
    const auto warmup_of = [&](const std::string& replacement) {
      std::string text = heartbeat;
      text.replace(text.find(member), member.size(), replacement);
      const auto other = ParseHeartbeat("i-1", text);
      return other ? std::optional(other->warmup) : std::nullopt;
    };
    CHECK(warmup_of(R"("warmupLeftMs":2500)") == Millis(2'500));
    CHECK(warmup_of(R"("warmupLeftMs":0.5)") == Millis(1));
    CHECK(warmup_of(R"("warmupLeftMs":1e300)") == Seconds(3'600));
    CHECK(warmup_of(R"("other":1)") == Duration(0));
    CHECK(warmup_of(R"("warmupLeftMs":-1)") == std::nullopt);
  }
  SECTION("is rejected if it is malformed") {
    for (
        const std::string text :
        {"", "{}", "null", R"({"service":1})",
         R"({"service":"a","address":"10.0.0.9:80","zone":"z","slots":2,"state":"odd","sequence":4})",
         R"({"service":"a","address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready"})",
         R"({"service":"a","address":"x","zone":"z","slots":"2","state":"ready","sequence":4})"}) {
      const auto other = ParseHeartbeat("i-1", text);
      REQUIRE_FALSE(other);
      CHECK(other.error().code == ErrorCode::kBadRequest);
    }
  }
}

TEST_CASE("requests between caller and target", "[platform]") {
  const RouteFormat format;
  HttpRequest request{.method = "GET",
                      .path = "/p/1",
                      .query = "a=b",
                      .headers = {{"Host", "h"},
                                  {"Peridotgauge-Request-Id", "r1"},
                                  {"Peridotgauge-Deadline-Ms", "300"},
                                  {"Connection", "keep-alive"},
                                  {"X-Other", "1"}},
                      .body = "body"};
  const auto info = format.ParseCallerRequest(request);
  REQUIRE(info);
  CHECK(*info == CallerRequestInfo{"r1", "h", Millis(300)});
  const HttpRequest sent = format.BuildTargetRequest(request, {.target = "i-1"}, Millis(250), "");
  CHECK(sent.path == "/p/1");
  CHECK(sent.query == "a=b");
  CHECK(sent.body == "body");
  CHECK(sent.Header("host") == "h");
  CHECK(sent.Header("Peridotgauge-Request-Id") == "r1");
  CHECK(sent.Header("Peridotgauge-Deadline-Ms") == "250");
  CHECK(sent.Header("Peridotgauge-Expect-Instance") == "i-1");
  CHECK(sent.Header("x-other") == "1");
  CHECK(sent.Header("connection").empty());
  SECTION("a key is read, and no target gets it or a name that the caller chose") {
    CHECK(info->key.empty());
    request.headers.push_back({"peridotgauge-key", " k1 "});
    request.headers.push_back({"Peridotgauge-Tenant", "other"});
    CHECK(format.ParseCallerRequest(request)->key == "k1");
    const HttpRequest named = format.BuildTargetRequest(request, {}, Millis(250), "w1");
    CHECK(named.Header("peridotgauge-key").empty());
    CHECK(named.Header("peridotgauge-tenant") == "w1");
    CHECK(std::count_if(named.headers.begin(), named.headers.end(), [](const HttpHeader& header) {
            return header.name == "Peridotgauge-Tenant";
          }) == 1);
    const HttpRequest unnamed = format.BuildTargetRequest(request, {}, Millis(250), "");
    CHECK(unnamed.Header("peridotgauge-key").empty());
    CHECK(unnamed.Header("peridotgauge-tenant").empty());
    SECTION("two keys are none") {
      request.headers.push_back({"Peridotgauge-Key", "k2"});
      CHECK(format.ParseCallerRequest(request)->key.empty());
    }
  }
  SECTION("a request without an id or with a malformed deadline is rejected") {
    request.headers[2].value = "soon";
    CHECK_FALSE(format.ParseCallerRequest(request));
    CHECK_FALSE(format.ParseCallerRequest({.method = "GET", .path = "/"}));
  }
}

TEST_CASE("responses of targets", "[platform]") {
  const RouteFormat format;
  const HttpHeader stamp{"Peridotgauge-Server-Stamp", "s1"};
  const auto reply_kind = [&](int status, std::vector<HttpHeader> headers) {
    return format.ParseTargetResponse({.status = status, .headers = std::move(headers)}, "r1").kind;
  };
  CHECK(reply_kind(200, {stamp}) == TargetReplyKind::kAnswered);
  CHECK(reply_kind(200, {stamp, {"Peridotgauge-Request-Id", "r1"}}) == TargetReplyKind::kAnswered);
  CHECK(reply_kind(500, {stamp}) == TargetReplyKind::kFailed);
  CHECK(reply_kind(503, {{"Peridotgauge-Not-Executed", "1"}}) == TargetReplyKind::kNotRun);
  CHECK(reply_kind(421, {}) == TargetReplyKind::kWrongTarget);
  SECTION("a response to another request, without a server stamp, or encoded, is unrelated") {
    CHECK(reply_kind(200, {stamp, {"Peridotgauge-Request-Id", "r2"}}) ==
          TargetReplyKind::kUnrelated);
    CHECK(format.RequestIdHeader("r1").name == "Peridotgauge-Request-Id");
    CHECK(format.RequestIdHeader("r1").value == "r1");
    CHECK(reply_kind(200, {}) == TargetReplyKind::kUnrelated);
    CHECK(reply_kind(503, {}) == TargetReplyKind::kUnrelated);
    CHECK(reply_kind(200, {stamp, {"Content-Encoding", "gzip"}}) == TargetReplyKind::kUnrelated);
  }
  const TargetReply reply = format.ParseTargetResponse(
      {.headers = {stamp, {"Peridotgauge-Backend-Load", "3, 1,8,120"}}}, "r1");
  CHECK(reply.load == TargetLoad{3, 1, 8});
}

TEST_CASE("what targets ask for in their responses", "[platform]") {
  const RouteFormat format;
  const HttpHeader stamp{"Peridotgauge-Server-Stamp", "s1"};
  const HttpHeader echo{"Peridotgauge-Request-Id", "r1"};
  const auto parse = [&](int status, std::vector<HttpHeader> headers) {
    return format.ParseTargetResponse({.status = status, .headers = std::move(headers)}, "r1");
  };
  SECTION("no requests for some time, whether the refused one has run or not") {
    for (const HttpHeader& other : {stamp, HttpHeader{"Peridotgauge-Not-Executed", "1"}}) {
      const TargetReply reply = parse(503, {echo, other, {"Retry-After", " 2 "}});
      CHECK(reply.pause == Seconds(2));
      CHECK_FALSE(reply.malformed_pause);
    }
    CHECK(parse(503, {echo, {"Retry-After", "99999999999999999"}}).pause == Seconds(86'400));
    CHECK_FALSE(parse(500, {echo, stamp, {"Retry-After", "2"}}).pause);
  }
  SECTION("nothing that cannot be read, which does not change the answer") {
    const auto value = GENERATE(as<std::string>(), "-1", "soon", "1.5", "99999999999999999999999",
                                "Wed, 21 Oct 2026 07:28:00 GMT");
    CAPTURE(value);
    const TargetReply reply =
        parse(503, {echo, {"Peridotgauge-Not-Executed", "1"}, {"Retry-After", value}});
    CHECK(reply.kind == TargetReplyKind::kNotRun);
    CHECK_FALSE(reply.pause);
    CHECK(reply.malformed_pause);
  }
  SECTION("no requests any more") {
    CHECK(parse(200, {echo, stamp, {"Server-Leaving", "1"}}).leaving);
    CHECK_FALSE(parse(200, {echo, stamp}).leaving);
  }
  SECTION("only in the answer to this request, and of the target that was asked") {
    const HttpHeader leaving{"Server-Leaving", "1"};
    CHECK_FALSE(parse(200, {stamp, leaving}).leaving);
    CHECK_FALSE(parse(200, {{"Peridotgauge-Request-Id", "r2"}, stamp, leaving}).leaving);
    CHECK_FALSE(parse(421, {echo, leaving}).leaving);
  }
}

// Guards against a health response that is not read, and one of another process that is.
TEST_CASE("health of targets", "[platform]") {
  const RouteFormat format;
  const HttpRequest request =
      format.BuildHealthRequest("/health", {.target = "i-1"}, Millis(1'000));
  CHECK(request.method == "GET");
  CHECK(request.path == "/health");
  CHECK(request.Header("Peridotgauge-Expect-Instance") == "i-1");
  CHECK(request.Header("Peridotgauge-Deadline-Ms") == "1000");
  const auto warmup = [&](int status, const std::string& text) {
    return format.ParseHealthResponse(
        {.status = status, .headers = {{"Peridotgauge-Warmup-Ms", text}}});
  };
  CHECK(warmup(200, "4000") == Millis(4'000));
  CHECK(warmup(200, " 4000.7 ") == Millis(4'000));
  CHECK(warmup(200, "0") == Duration(0));
  CHECK(warmup(503, "4000") == Millis(4'000));  // it does not accept requests yet
  CHECK(warmup(200, "99999999999999") == Seconds(3'600));
  CHECK_FALSE(warmup(421, "4000"));
  for (const char* text : {"", "-1", "soon", "99999999999999999999999"}) {
    CAPTURE(text);
    CHECK_FALSE(warmup(200, text));
  }
  CHECK_FALSE(format.ParseHealthResponse({.status = 200}));
}

TEST_CASE("a status promises that a request was not executed only if that is so", "[platform]") {
  const RouteFormat format;
  const auto status = [&](ErrorCode code, bool not_run) {
    return format.BuildErrorResponse({code, ""}, not_run, Millis(50)).status;
  };
  for (int i = 0; i < kErrorCodeCount; ++i) {
    const int http_status = status(static_cast<ErrorCode>(i), false);
    CHECK((http_status != 503 && http_status != 429 && http_status != 408 && http_status != 421));
  }
  CHECK(status(ErrorCode::kDeadlineExceeded, true) == 503);
  CHECK(status(ErrorCode::kDeadlineExceeded, false) == 504);
  CHECK(status(ErrorCode::kNotFound, true) == 404);
  CHECK(format.BuildErrorResponse({ErrorCode::kShed, ""}, true, Millis(50)).Header("Retry-After") ==
        "0.050");
}

}  // namespace
}  // namespace peridotgauge::platform
