// Tests targets whose responses have a head that no sound target sends: a status that ends no
// request, or a field whose name holds a blank or a control character. They guard against such a
// response that reaches a caller, counts as the part of a shard, or states that a request did not
// run.
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/caller_api.h"
#include "testing/native_deployment.h"
#include "testing/raw_target.h"
#include "testing/route_deployment.h"

namespace peridotgauge {
namespace {

using namespace std::string_literals;

constexpr Duration kTimeout = Seconds(2);
// Time for the answer to a request whose deadline is kTimeout.
constexpr Duration kCallTimeout = Seconds(5);

struct Head {
  std::string name;  // for the report of a failed check
  std::string status_line;
  // Sent between the fields of a sound response. Complete lines; may be empty.
  std::string lines;
};

// Returns a sound head, and the broken ones.
std::vector<Head> Heads() {
  std::vector<Head> heads = {{"sound", "HTTP/1.1 200 OK", "X-Sound: 1\r\n"}};
  for (const char* status : {"000", "001", "099", "100", "102", "103", "199", "600", "999"}) {
    heads.push_back({"status "s + status, "HTTP/1.1 "s + status + " Status", ""});
  }
  const std::vector<std::string> lines = {
      "X Broken: 1",          "X-Broken : 1",        " X-Broken: 1",          "\tX-Broken: 1",
      "X\x01-Broken: 1",      "X-Broken\x7f: 1",     "X\0Broken: 1"s,         "X\nBroken: 1",
      "X\rBroken: 1",         "\rX-Broken: 1",       "Content Length: 3",     "Content-Length : 3",
      " Content-Length: 3",   "Content-Length\t: 3", "Content\x1f-Length: 3", "\tContent-Length: 3",
      "Transfer Encoding: x", " Content-Encoding: x"};
  for (const std::string& line : lines) {
    std::string name = "field ";
    for (const char c : line) name += c < ' ' || c == '\x7f' ? '?' : c;
    heads.push_back({name, "HTTP/1.1 200 OK", line + "\r\n"});
  }
  return heads;
}

// The responses of one target. Their head is sound until the test chooses another one.
class Answers {
 public:
  // Calls `check` with each broken head in turn.
  void ForEachBroken(const std::function<void()>& check) {
    for (this->chosen = 1; this->chosen < this->heads.size(); ++this->chosen) {
      INFO(this->heads[this->chosen].name);
      check();
    }
  }
  // Returns a complete answer that repeats the headers of the request with these names.
  std::string For(const HttpRequest& request, const std::vector<std::string>& echoed,
                  const std::string& body) const {
    const Head& head = this->heads[this->chosen];
    std::string text = head.status_line + "\r\n";
    for (const std::string& name : echoed) {
      text += name + ": " + std::string(request.Header(name)) + "\r\n";
    }
    // A line that begins with a blank must not change an echoed header.
    text += "X-Filler: 1\r\n";
    return text + head.lines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  const std::vector<Head> heads = Heads();
  std::atomic<size_t> chosen{0};  // changed by the test, read by the target
};

// Returns the text of a route that gathers from two shards, one of which is enough.
std::string GatheringRouteText() {
  return R"({"name":"g","host":"test.example","pathPrefix":"/g/","kind":"safe","timeoutMs":)" +
         std::to_string(WholeMillis(kTimeout)) +
         R"(,"targetLatencyMs":500,"priority":1,"gather":["broken","sound"],"maxAttempts":2,)" +
         R"("topK":2,"minVersion":0.5})";
}

TEST_CASE("a response with a broken head is not passed on by a route", "[broken_head]") {
  constexpr char kBrokenBody[] = "broken-record-00";
  constexpr char kSoundPath[] = "/g/sound-records";  // one record, which the sound shard returns
  RouteDeployment deployment({.extra_ratio = 1, .extra_slack = 100});
  REQUIRE(deployment.Apply(ConfigText(
      1,
      {RouteText("safe", "/safe/", "safe", WholeMillis(kTimeout), "broken"),
       RouteText("unsafe", "/unsafe/", "unsafe", WholeMillis(kTimeout), "broken"),
       RouteText("s", "/s/", "safe", WholeMillis(kTimeout), "sound"), GatheringRouteText()},
      {"broken", "sound"})));

  Answers answers;
  std::atomic<bool> not_run = false;
  RawTarget broken(deployment.NewAddress(), [&](const HttpRequest& request) {
    const std::string stamp = "Peridotgauge-Server-Stamp: broken-stamp\r\n";
    const std::string refusal = not_run ? "Peridotgauge-Not-Executed: 1\r\n" : "";
    std::string text = answers.For(request, {"Peridotgauge-Request-Id"}, kBrokenBody);
    return text.insert(text.find("\r\n") + 2, stamp + refusal);
  });
  RouteTarget sound(deployment.NewAddress(), [](const HttpRequest&) { return Duration(0); });
  REQUIRE(deployment.Heartbeat(0, "i-broken", HeartbeatText("broken", broken.address, "ready", 1)));
  REQUIRE(deployment.Heartbeat(0, "i-sound", HeartbeatText("sound", sound.address, "ready", 1)));
  REQUIRE(deployment.AwaitRoute("/safe/ready"));
  REQUIRE(deployment.AwaitRoute("/s/ready"));
  const Address router = deployment.RouterAddress(0);
  int next = 0;
  const auto call = [&](const std::string& path) {
    const auto answer = Call(
        router, CallerRequest("b-" + std::to_string(++next), "GET", path, kTimeout), kCallTimeout);
    REQUIRE(answer);
    return *answer;
  };

  SECTION("sound responses of the same target are") {
    const HttpResponse answer = call("/unsafe/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == kBrokenBody);
    CHECK(answer.Header("x-sound") == "1");
    const HttpResponse gathered = call(kSoundPath);
    CHECK(gathered.Header("peridotgauge-missing-parts") == "0");
    CHECK(gathered.body == std::string(kBrokenBody) + kSoundPath);
  }
  SECTION("broken ones are not") {
    SECTION("to a request that must not be repeated") {
      not_run = GENERATE(false, true);
      answers.ForEachBroken([&] {
        const size_t before = broken.Requests();
        const HttpResponse answer = call("/unsafe/x");
        // Nothing is known about the request, whatever the response says.
        CHECK(answer.status == 502);
        CHECK(answer.body != kBrokenBody);
        CHECK(answer.Header("peridotgauge-server-stamp").empty());
        CHECK(answer.Header("x-filler").empty());
        CHECK(broken.Requests() == before + 1);
      });
    }
    SECTION("to a request that may be repeated") {
      answers.ForEachBroken([&] {
        const size_t before = broken.Requests();
        const HttpResponse answer = call("/safe/x");
        CHECK(answer.status == 502);
        CHECK(answer.body != kBrokenBody);
        CHECK(answer.Header("peridotgauge-server-stamp").empty());
        CHECK(answer.Header("x-filler").empty());
        CHECK(broken.Requests() > before);
      });
    }
    SECTION("as the part of a shard") {
      answers.ForEachBroken([&] {
        const size_t before = broken.Requests();
        const HttpResponse answer = call(kSoundPath);
        CHECK(answer.status == 200);
        CHECK(answer.Header("peridotgauge-missing-parts") == "1");
        CHECK(answer.Header("peridotgauge-part-stamps").find("broken") == std::string_view::npos);
        CHECK(answer.body == kSoundPath);
        CHECK(broken.Requests() > before);
      });
    }
  }
}

TEST_CASE("a response with a broken head is no answer of the native interface", "[broken_head]") {
  constexpr char kText[] = R"({"revision": 1, "fleets": {"f": {}}, "services": {
      "s": {"fleet": "f", "idempotent": false, "deadline_ms": 2000}}})";
  constexpr char kBody[] = R"({"from": "broken"})";
  NativeDeployment deployment({.controllers = 1, .routers = 2});
  REQUIRE(deployment.Apply(kText));
  Answers answers;
  std::atomic<bool> not_run = false;
  RawTarget broken(deployment.NewAddress(), [&](const HttpRequest& request) {
    std::string text = answers.For(
        request, {"x-request-id", "x-attempt", "x-service", "x-shard", "x-snapshot"}, kBody);
    return text.insert(text.find("\r\n") + 2, not_run ? "x-not-run: true\r\n" : "");
  });
  NativeTarget registrar(deployment,
                         {.name = "s/broken", .service = "s", .address = broken.address});
  REQUIRE(deployment.AwaitSearch("s", ""));

  // One of the routers owns the target, and the other one gets the response from it.
  const std::vector<size_t> routers = {0, 1};
  int next = 0;
  const auto order = [&](size_t router) {
    const auto answer = deployment.Order(router, "s", "o-" + std::to_string(++next), "");
    REQUIRE(answer);
    return *answer;
  };
  SECTION("a sound response of the same target is") {
    for (const size_t router : routers) {
      const HttpResponse answer = order(router);
      CHECK(answer.status == 200);
      CHECK(answer.body.find(R"("broken")") != std::string::npos);
    }
  }
  SECTION("a broken one is not") {
    SECTION("of a search") {
      answers.ForEachBroken([&] {
        for (const size_t router : routers) {
          CAPTURE(router);
          const size_t before = broken.Requests();
          const auto search = deployment.Search(router, "s", "");
          REQUIRE(search);
          const Result<SearchResponse> response = ParseSearchResponse(search->body);
          REQUIRE(response);
          CHECK(response->results.empty());
          CHECK(response->missing.size() == 1);
          CHECK(search->body.find(R"("broken")") == std::string::npos);
          CHECK(broken.Requests() > before);
        }
      });
    }
    SECTION("of an order, which may have run") {
      answers.ForEachBroken([&] {
        for (const size_t router : routers) {
          for (const bool refusal : {false, true}) {
            CAPTURE(router, refusal);
            not_run = refusal;
            const size_t before = broken.Requests();
            const HttpResponse answer = order(router);
            CHECK(answer.status == 502);
            CHECK(answer.body.find(R"("broken")") == std::string::npos);
            CHECK_FALSE(ParseErrorBody(answer.status, answer.body).not_run);
            CHECK(broken.Requests() > before);
          }
        }
      });
    }
  }
}

}  // namespace
}  // namespace peridotgauge
