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
      for (const Service* s : config->DependencyClosure(expected[0])) names.push_back(s->name);
      RC_ASSERT(names == expected);
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
