// Tests of the configuration. Guards against accepting contradictory texts, error messages that do
// not name the path, and digests that depend on white space or key order.
#include "core/config.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

constexpr char kText[] = R"({"revision": 7,
 "fleets": {"verstas": {"slots": 5, "connections": 40, "connect_ms": 6, "hedge_percent": 5},
            "kirjasin": {}},
 "services": {"verstas-1": {"fleet": "verstas", "shards": 2, "depends_on": ["kirjasin"],
                            "idempotent": false, "deadline_ms": 300, "soft_deadline_ms": 80,
                            "prefer": "latency"},
              "kirjasin": {"fleet": "kirjasin"}}})";

// Returns kText with one part replaced.
std::string With(std::string_view part, std::string_view replacement) {
  std::string text = kText;
  const size_t found = text.find(part);
  REQUIRE(found != std::string::npos);
  return text.replace(found, part.size(), replacement);
}

// Returns the error detail of an invalid text.
std::string ErrorDetail(const std::string& text) {
  const Result<Config> config = Config::Parse(text);
  REQUIRE_FALSE(config);
  CHECK(config.error().code == ErrorCode::kInvalidConfig);
  return config.error().detail;
}

TEST_CASE("a valid configuration", "[config]") {
  const Result<Config> config = Config::Parse(kText);
  REQUIRE(config);
  CHECK(config->Revision() == 7);
  CHECK(config->Text() == kText);
  CHECK(*config->FindFleet("verstas") == Fleet{"verstas", 5, 40, Millis(6), 5});
  CHECK(*config->FindService("verstas-1") == Service{"verstas-1",
                                                     "verstas",
                                                     2,
                                                     {"kirjasin"},
                                                     false,
                                                     Millis(300),
                                                     Millis(80),
                                                     Preference::kLatency});
  CHECK(config->FindService("posti") == nullptr);
  SECTION("omitted members have their defaults; the soft deadline is the deadline") {
    CHECK(*config->FindFleet("kirjasin") == Fleet{.name = "kirjasin"});
    const Result<Config> slow = Config::Parse(
        With(R"({"fleet": "kirjasin"})", R"({"fleet": "kirjasin", "deadline_ms": 999})"));
    REQUIRE(slow);
    CHECK(slow->FindService("kirjasin")->soft_deadline == Millis(999));
  }
  SECTION("the digest ignores layout and key order, and nothing else") {
    const Result<Config> same =
        Config::Parse(With(R"("slots": 5, "connections": 40)", R"("connections":40 ,  "slots":5)"));
    REQUIRE(same);
    CHECK(same->Digest() == config->Digest());
    CHECK(Config::Parse(With("300", "301"))->Digest() != config->Digest());
    CHECK(Config::Parse(With(": 7", ": 8"))->Digest() != config->Digest());
  }
  SECTION("the closure starts with the service") {
    const std::vector<const Service*> closure = config->DependencyClosure("verstas-1");
    REQUIRE(closure.size() == 2);
    CHECK(closure[0]->name == "verstas-1");
    CHECK(closure[1]->name == "kirjasin");
    CHECK(config->DependencyClosure("posti").empty());
  }
}

TEST_CASE("errors name path, value and allowed values", "[config]") {
  struct Row {
    std::string text;
    std::string message;
  };
  const std::vector<Row> rows = {
      {"{\n  \"revision\" 7}", "line 2, column 14: "},
      {std::string(kText) + "x", "text after the JSON value"},
      {"[1]", "[1]; allowed is an object"},
      {"{}", "revision: missing; the key is required"},
      {With(": 7", ": 0"), "revision: 0; allowed is an integer from 1 to "},
      {With(": 7", ": 7.5"), "revision: 7.5E0; allowed is an integer"},
      {With(": 7", ": -7"), "revision: -7; allowed is an integer"},
      {With("\"fleets\"", "\"fleet\""), "fleets: missing"},
      {With("\"slots\": 5", "\"slots\": 5, \"slots\": 6"),
       "fleets.verstas.slots: the key is given twice (line 2, column "},
      {With("\"kirjasin\": {}", R"("kirjasin": {}, "k\u0069rjasin": {})"),
       "fleets.kirjasin: the key is given twice"},
      {With("\"slots\"", "\"slot\""),
       "fleets.verstas.slot: unknown key; allowed are connect_ms, connections, hedge_percent, "
       "slots"},
      {With("\"slots\": 5", "\"slots\": \"5\""),
       "fleets.verstas.slots: \"5\"; allowed is an integer from 1 to 1024"},
      {With("\"slots\": 5", "\"slots\": 41"),
       "fleets.verstas.connections: 40; allowed is at least the number of slots, 41"},
      {With("\"hedge_percent\": 5", "\"hedge_percent\": 101"),
       "fleets.verstas.hedge_percent: 101; allowed is an integer from 0 to 100"},
      {With("\"shards\": 2", "\"shards\": 4097"), "services.verstas-1.shards: 4097; allowed"},
      {With("\"fleet\": \"verstas\"", "\"fleet\": \"versta\""),
       "services.verstas-1.fleet: unknown fleet \"versta\"; allowed is a key of \"fleets\""},
      {With("\"fleet\": \"verstas\", ", ""), "services.verstas-1.fleet: missing"},
      {With("[\"kirjasin\"]", "[\"kirjasin\", \"posty\"]"),
       "services.verstas-1.depends_on[1]: unknown service \"posty\""},
      {With("[\"kirjasin\"]", "[\"kirjasin\", \"kirjasin\"]"),
       "services.verstas-1.depends_on[1]: \"kirjasin\" is listed twice"},
      {With("[\"kirjasin\"]", "[7]"), "services.verstas-1.depends_on[0]: 7; allowed is the name"},
      {With("[\"kirjasin\"]", "\"kirjasin\""),
       "services.verstas-1.depends_on: \"kirjasin\"; allowed is a list"},
      {With("[\"kirjasin\"]", "[\"verstas-1\"]"),
       "services.verstas-1.depends_on: the dependencies form a cycle: verstas-1 -> verstas-1"},
      {With("{\"fleet\": \"kirjasin\"}",
            "{\"fleet\": \"kirjasin\", \"depends_on\": [\"verstas-1\"]}"),
       "services.kirjasin.depends_on: the dependencies form a cycle: "
       "kirjasin -> verstas-1 -> kirjasin"},
      {With("\"soft_deadline_ms\": 80", "\"soft_deadline_ms\": 301"),
       "services.verstas-1.soft_deadline_ms: 301; allowed is an integer from 1 to 300"},
      {With("\"idempotent\": false", "\"idempotent\": 0"),
       "services.verstas-1.idempotent: 0; allowed is true or false"},
      {With("\"latency\"", "\"speed\""),
       "services.verstas-1.prefer: \"speed\"; allowed is \"latency\" or \"coverage\""},
      {With("\"kirjasin\": {\"fleet\"", "\"kirj asin\": {\"fleet\""),
       "services: name \"kirj asin\"; allowed are 1 to 64 letters"},
  };
  for (const Row& row : rows) {
    INFO(row.text);
    CHECK_THAT(ErrorDetail(row.text), Catch::Matchers::Contains(row.message));
  }
  CHECK(Config::Parse(std::string(kMaxConfigBytes + 1, ' ')).error().code == ErrorCode::kTooLarge);
  CHECK_THAT(ErrorDetail(std::string(100'000, '[')), Catch::Matchers::Contains("line 1, column"));
}

TEST_CASE("differences are listed by name", "[config]") {
  const Config before = *Config::Parse(kText);
  CHECK(DiffConfigs(before, *Config::Parse(With("{}", "{\"slots\": 4}"))).empty());
  CHECK(DiffConfigs(before, *Config::Parse(With("300", "250"))) ==
        std::vector<std::string>{"services.verstas-1.deadline_ms: 300 -> 250"});
  const Config after = *Config::Parse(
      R"({"revision": 8, "fleets": {"kirjasin": {"slots": 3}, "posti": {}}, "services": {}})");
  const std::vector<std::string> lines = DiffConfigs(before, after);
  REQUIRE(lines.size() == 6);
  CHECK(lines[0] == "revision: 7 -> 8");
  CHECK(lines[1] == "fleets.kirjasin.slots: 4 -> 3");
  CHECK_THAT(lines[2], Catch::Matchers::StartsWith("fleets.posti: added {\"slots\":4,"));
  CHECK(lines[3] == "fleets.verstas: removed");
  CHECK(lines[4] == "services.kirjasin: removed");
  CHECK(lines[5] == "services.verstas-1: removed");
}

// Guards against errors and differences that show a key, services that are open although a service
// that they depend on requires a key, and a changed meaning of texts without workspaces.
TEST_CASE("workspaces of a configuration", "[config][workspaces]") {
  const auto with = [](const std::string& workspaces) {
    std::string text = With(R"("idempotent": false)", R"("idempotent": true)");
    text = text.replace(
        text.find(R"({"fleet": "kirjasin"})"), 21,
        R"({"fleet": "kirjasin", "requires_key": true}, "posti": {"fleet": "verstas"})");
    return text.insert(text.rfind('}'), R"(, "workspaces": )" + workspaces);
  };
  const std::string both = R"({"tre": {"keys": ["secret-1", "secret-2"], "priority": 2,
                                       "rate_per_s": 2.5, "burst": 10},
                               "hel": {"keys": ["secret-3"]}})";
  SECTION("a text without workspaces needs no keys and keeps its digest") {
    const Result<Config> config = Config::Parse(kText);
    REQUIRE(config);
    CHECK(config->Workspaces() == nullptr);
    CHECK_FALSE(config->RequiresKey("verstas-1"));
    CHECK(*config->FindCaller("verstas-1", "secret-1") == nullptr);
    CHECK(config->Digest() == 0x50f4f31fd884e2ed);
  }
  SECTION("the key names the workspace of a caller") {
    const Result<Config> config = Config::Parse(with(both));
    REQUIRE(config);
    CHECK(*config->Workspaces()->Find("tre") ==
          Workspace{"tre", {"secret-1", "secret-2"}, 2, {.rate_per_s = 2.5, .burst = 10}});
    CHECK(*config->Workspaces()->Find("hel") == Workspace{.name = "hel", .keys = {"secret-3"}});
    CHECK((*config->FindCaller("kirjasin", "secret-2"))->name == "tre");
    // verstas-1 depends on kirjasin, posti does not.
    CHECK((*config->FindCaller("verstas-1", "secret-3"))->name == "hel");
    CHECK(*config->FindCaller("posti", "secret-3") == nullptr);
    CHECK(*config->FindCaller("unknown", "") == nullptr);
    for (const std::string key : {"", "secret-", "secret-11", "tre"}) {
      const auto caller = config->FindCaller("verstas-1", key);
      REQUIRE_FALSE(caller);
      CHECK(caller.error().code == ErrorCode::kUnknownKey);
      CHECK(caller.error().NotRun());
      CHECK_THAT(caller.error().detail, !Catch::Matchers::Contains("secret"));
    }
  }
  SECTION("an empty list of workspaces refuses all callers of services that require a key") {
    const Result<Config> config = Config::Parse(with("{}"));
    REQUIRE(config);
    CHECK_FALSE(config->FindCaller("kirjasin", "secret-1"));
  }
  SECTION("errors name the place and not the key") {
    const std::string long_key(kMaxKeyLength + 1, 's');
    const std::vector<std::pair<std::string, std::string>> rows = {
        {R"({"tre": {"keys": ["secret"]}, "hel": {"keys": ["a", "secret"]}})",
         "workspace \"tre\": key 0 is also a key of workspace \"hel\""},
        {R"({"tre": {"keys": "secret"}})", "workspaces.tre.keys: not a list"},
        {R"({"tre": {"keys": ["a", {"secret": 1}]}})", "workspaces.tre.keys[1]: not a text"},
        {R"({"tre": {"keys": ["secret key"]}})", "workspaces.tre.keys[0]: allowed are 1 to 512"},
        {R"({"tre": {"keys": [""]}})", "workspaces.tre.keys[0]: allowed are 1 to 512"},
        {R"({"tre": {"keys": [")" + long_key + R"("]}})", "workspaces.tre.keys[0]: allowed"},
        {R"({"tre": "secret"})", "workspaces.tre: not an object"},
        {R"(["secret"])", "workspaces: not an object"},
        {R"({"tre": {}})", "workspaces.tre.keys: missing"},
        {R"({"tre": {"keys": [], "rate_per_s": -1}})", "workspaces.tre.rate_per_s: -1; allowed"},
        {R"({"tre": {"keys": [], "burst": "9"}})", "workspaces.tre.burst: \"9\"; allowed"},
        {R"({"tre": {"keys": [], "priority": 0.5}})", "workspaces.tre.priority: 5E-1; allowed"},
        {R"({"tre": {"keys": [], "rate": 1}})", "workspaces.tre.rate: unknown key"},
        {R"({"a b": {"keys": []}})", "workspaces: name \"a b\"; allowed"},
    };
    for (const auto& [workspaces, message] : rows) {
      INFO(workspaces);
      const std::string detail = ErrorDetail(with(workspaces));
      CHECK_THAT(detail, Catch::Matchers::Contains(message));
      CHECK_THAT(detail, !Catch::Matchers::Contains("secret"));
    }
    CHECK_THAT(
        ErrorDetail(With(R"("prefer": "latency")", R"("requires_key": true)")),
        Catch::Matchers::Contains("services.verstas-1.requires_key: true; allowed is false"));
  }
  SECTION("differences count keys") {
    const Config before = *Config::Parse(with(both));
    const Config after = *Config::Parse(with(
        R"({"tre": {"keys": ["secret-2", "secret-4"], "rate_per_s": 3, "burst": 10, "priority": 2},
            "tku": {"keys": ["secret-5"]}})"));
    const std::vector<std::string> lines = DiffConfigs(before, after);
    REQUIRE(lines.size() == 4);
    CHECK(lines[0] == "workspaces.hel: removed");
    CHECK(lines[1] == "workspaces.tku: added {\"priority\":null,\"rate_per_s\":0E0,\"burst\":0E0}");
    CHECK(lines[2] == "workspaces.tre.keys: 1 added, 1 removed");
    CHECK_THAT(lines[3], Catch::Matchers::StartsWith("workspaces.tre.rate_per_s: 2.5E0 -> 3E0"));
  }
}

// Guards against accepting dependency cycles, rejecting graphs without one, and wrong dependency
// closures. The reference computes reachability with the Floyd-Warshall algorithm.
TEST_CASE("random dependency graphs agree with a reachability matrix", "[config]") {
  CHECK(rc::check("cycles and closures", [] {
    const size_t count = *rc::gen::inRange<size_t>(1, 9);
    std::vector<std::vector<bool>> reach(count, std::vector<bool>(count));
    std::string services;
    for (size_t i = 0; i < count; ++i) {
      std::string list;
      for (size_t j = 0; j < count; ++j) {
        reach[i][j] = *rc::gen::inRange(0, 6) == 0;
        if (reach[i][j]) list += (list.empty() ? "\"s" : ",\"s") + std::to_string(j) + "\"";
      }
      services += (i == 0 ? "\"s" : ",\"s") + std::to_string(i) +
                  "\":{\"fleet\":\"f\",\"depends_on\":[" + list + "]}";
    }
    for (size_t k = 0; k < count; ++k) {
      for (size_t i = 0; i < count; ++i) {
        for (size_t j = 0; j < count; ++j) {
          if (reach[i][k] && reach[k][j]) reach[i][j] = true;
        }
      }
    }
    bool cycle = false;
    for (size_t i = 0; i < count; ++i) cycle = cycle || reach[i][i];
    const Result<Config> config =
        Config::Parse(R"({"revision":1,"fleets":{"f":{}},"services":{)" + services + "}}");
    RC_ASSERT(config.has_value() == !cycle);
    for (size_t i = 0; config && i < count; ++i) {
      std::vector<std::string> expected = {"s" + std::to_string(i)};
      for (size_t j = 0; j < count; ++j) {
        if (reach[i][j]) expected.push_back("s" + std::to_string(j));
      }
      std::vector<std::string> names;
      for (const Service* service : config->DependencyClosure(expected[0])) {
        names.push_back(service->name);
      }
      RC_ASSERT(names == expected);
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
