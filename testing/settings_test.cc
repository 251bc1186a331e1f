// Tests of the settings. Guards against processes that start with contradictory addresses, and
// against error messages that do not name file, key, value and allowed values.
#include "core/settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "core/address.h"

namespace peridotgauge {
namespace {

constexpr char kText[] = R"({"id": "c1", "data_centre": "tre-a", "roles": ["router", "controller"],
 "http_address": "127.0.0.1:7001", "peer_address": "127.0.0.1:7101",
 "controllers": [{"id": "c1", "peer_address": "127.0.0.1:7101"},
                 {"id": "c2", "peer_address": "127.0.0.1:7102"},
                 {"id": "c3", "peer_address": "127.0.0.1:7103"}],
 "data_folder": "data/c1", "span_file": "spans.jsonl", "routing": "direct",
 "replica_choice": "random", "hedging": false})";

std::string With(std::string_view part, std::string_view replacement) {
  std::string text = kText;
  const size_t found = text.find(part);
  REQUIRE(found != std::string::npos);
  return text.replace(found, part.size(), replacement);
}

TEST_CASE("valid settings", "[settings]") {
  const Result<Settings> settings = Settings::Parse(kText, "c1.json");
  REQUIRE(settings);
  CHECK(*settings == Settings{.id = "c1",
                              .data_centre = "tre-a",
                              .router = true,
                              .controller = true,
                              .http_address = "127.0.0.1:7001",
                              .peer_address = "127.0.0.1:7101",
                              .controllers = {{"c1", "127.0.0.1:7101"},
                                              {"c2", "127.0.0.1:7102"},
                                              {"c3", "127.0.0.1:7103"}},
                              .data_folder = "data/c1",
                              .span_file = "spans.jsonl",
                              .routing = Routing::kDirect,
                              .replica_choice = "random",
                              .hedging = false});
}

// Guards against a group of controllers that takes fewer losses for tolerated than it was told.
TEST_CASE("the number of tolerated losses", "[settings]") {
  CHECK(Settings::Parse(With("", ""), "c1.json")->tolerated_hosts == 2);
  for (const size_t count : {0, 1, 3}) {
    const std::string text = "\"tolerated_hosts\": " + std::to_string(count);
    CHECK(Settings::Parse(With("\"hedging\": false", text), "c1.json")->tolerated_hosts == count);
  }
  const auto refused =
      Settings::Parse(With("\"hedging\": false", "\"tolerated_hosts\": -1"), "c1.json");
  REQUIRE_FALSE(refused);
  CHECK(refused.error().detail.find("tolerated_hosts: -1; allowed is 0 to 20") !=
        std::string::npos);
}

TEST_CASE("the share of a processor", "[settings]") {
  CHECK(Settings::Parse(With("", ""), "c1.json")->processor_share == 1);
  CHECK(Settings::Parse(With("\"hedging\": false", "\"processor_share\": 0.12"), "c1.json")
            ->processor_share == Approx(0.12));
  const auto refused =
      Settings::Parse(With("\"hedging\": false", "\"processor_share\": 0"), "c1.json");
  REQUIRE_FALSE(refused);
  CHECK(refused.error().detail.find("processor_share: 0; allowed is 0.001 to 1024") !=
        std::string::npos);
}

TEST_CASE("the memory of a process", "[settings]") {
  CHECK(Settings::Parse(With("", ""), "c1.json")->memory_mb == 256);
  CHECK(Settings::Parse(With("\"hedging\": false", "\"memory_mb\": 260"), "c1.json")->memory_mb ==
        260);
  CHECK_FALSE(Settings::Parse(With("\"hedging\": false", "\"memory_mb\": 0"), "c1.json"));
}

// Guards against limits that callers inside the platform's limits would reach, or that leave no
// descriptor for them.
TEST_CASE("the limits for callers", "[settings]") {
  const auto defaults = Settings::Parse(kText, "c1.json");
  REQUIRE(defaults);
  CHECK(defaults->max_header_fields >= 16'384 / std::string_view("a:\r\n").size());
  const auto settings = Settings::Parse(
      With("\"hedging\": false",
           "\"descriptors\": 4100, \"reserved_descriptors\": 1000, \"max_header_fields\": 200"),
      "c1.json");
  REQUIRE(settings);
  CHECK(settings->descriptors == 4'100);
  CHECK(settings->reserved_descriptors == 1'000);
  CHECK(settings->max_header_fields == 200);
  const auto [text, message] = GENERATE(
      std::pair("\"descriptors\": 10", "descriptors: 10; allowed is 0 or 64 to 16777216"),
      std::pair("\"descriptors\": 100, \"reserved_descriptors\": 100",
                "reserved_descriptors: 100; allowed is less than descriptors, 100"),
      std::pair("\"max_header_fields\": 0", "max_header_fields: 0; allowed is 64 to 65536"));
  const auto refused = Settings::Parse(With("\"hedging\": false", text), "c1.json");
  REQUIRE_FALSE(refused);
  CHECK_THAT(refused.error().detail, Catch::Matchers::Contains(message));
}

TEST_CASE("the limit on extra sub-requests", "[settings]") {
  const auto settings =
      Settings::Parse(With("\"hedging\": false",
                           "\"extra_ratio\": 0.15, \"extra_slack\": 7, \"extra_window_s\": 2.5"),
                      "c1.json");
  REQUIRE(settings);
  CHECK(settings->extra_requests ==
        ExtraRequestLimit{.ratio = 0.15, .slack = 7, .window = Millis(2'500)});
  SECTION("its slack may be a fraction, as platforms render it") {
    const auto fraction = Settings::Parse(
        With("\"hedging\": false", "\"extra_slack\": 3.5166666666666664E1"), "c1.json");
    REQUIRE(fraction);
    CHECK(fraction->extra_requests.slack == Approx(35.1667));
  }
}

TEST_CASE("errors name file, key, value and allowed values", "[settings]") {
  struct Row {
    std::string text;
    std::string message;
  };
  const std::vector<Row> rows = {
      {"{", "c1.json: line 1, column "},
      {With("\"id\": \"c1\", \"d", "\"id\": \"c 1\", \"d"),
       "c1.json: id: \"c 1\"; allowed are 1 to 64 letters"},
      {With("\"data_centre\": \"tre-a\", ", ""), "c1.json: data_centre: missing"},
      {With("\"hedging\": false", "\"extra_window_s\": 0"),
       "c1.json: extra_window_s: 0; allowed is 0.1 to 3600"},
      {With("\"hedging\": false", "\"extra_ratio\": \"a\""),
       "c1.json: extra_ratio: \"a\"; allowed is 0 to 10"},
      {With("\"hedging\": false", "\"hedging\": false, \"hedging\": true"),
       "c1.json: hedging: the key is given twice"},
      {With("\"hedging\"", "\"hedge\""), "c1.json: hedge: unknown key; allowed are adaptive_limit"},
      {With("\"hedging\": false", "\"hedging\": 1"),
       "c1.json: hedging: 1; allowed is true or false"},
      {With("[\"router\", \"controller\"]", "[]"), "c1.json: roles: []; allowed is a list of"},
      {With("\"controller\"]", "\"router\"]"), "c1.json: roles: \"router\" is listed twice"},
      {With("\"router\", ", "\"proxy\", "), "c1.json: roles: \"proxy\"; allowed is a list of"},
      {With("[\"router\", \"controller\"]", "[\"router\"]"),
       "c1.json: id: \"c1\" is the id of a controller, but the roles do not contain"},
      {With("127.0.0.1:7001", "localhost:7001"),
       "c1.json: http_address: \"localhost:7001\" is not an IP address; allowed is an IP address "
       "with a port"},
      {With("127.0.0.1:7102", "127.0.0.1"), "c1.json: controllers[1].peer_address: \"127.0.0.1\""},
      {With("127.0.0.1:7001", "127.0.0.1:7101"),
       "c1.json: peer_address: \"127.0.0.1:7101\" is also the http_address"},
      {With("127.0.0.1:7001", "127.0.0.1:7103"),
       "c1.json: http_address: \"127.0.0.1:7103\" is also the peer_address of controllers[2]"},
      {With("127.0.0.1:7102", "127.0.0.1:7103"),
       "c1.json: controllers[2].peer_address: \"127.0.0.1:7103\" is also the address of "
       "controllers[1]"},
      {With("\"c2\"", "\"c3\""), "c1.json: controllers[2].id: \"c3\" is also the id of"},
      {With("{\"id\": \"c1\"", "{\"id\": \"c4\""),
       "c1.json: controllers: no entry with the id \"c4\"; a controller must be in its own list"},
      {With("\"peer_address\": \"127.0.0.1:7101\",", "\"peer_address\": \"127.0.0.1:7104\","),
       "c1.json: peer_address: \"127.0.0.1:7104\"; allowed is the address of this controller"},
      {With(",\n                 {\"id\": \"c3\", \"peer_address\": \"127.0.0.1:7103\"}", ""),
       "c1.json: controllers: 2 controllers; allowed are 1, 3, 5 or 7"},
      {With("\"data_folder\": \"data/c1\", ", ""), "c1.json: data_folder: missing"},
      {With("\"direct\"", "\"proxy\""),
       "c1.json: routing: \"proxy\"; allowed is \"owner\" or \"direct\""},
  };
  for (const Row& row : rows) {
    INFO(row.text);
    const Result<Settings> settings = Settings::Parse(row.text, "c1.json");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().code == ErrorCode::kInvalidSettings);
    CHECK_THAT(settings.error().detail, Catch::Matchers::StartsWith(row.message));
  }
}

TEST_CASE("an address is an IP address with a port", "[settings]") {
  CHECK(*ParseAddress("127.0.0.1:7001") == Endpoint{"127.0.0.1", 7001});
  CHECK(*ParseAddress("[0:0::1]:65535") == Endpoint{"::1", 65535});
  for (const char* address :
       {"", ":7001", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+1",
        "127.0.0.1:7001x", "127.0.1:7001", "::1:7001", "[::1]", "[127.0.0.1]:7001", "0.0.0.0:7001",
        "[::]:7001", "host:7001", "127.0.0.1 :7001"}) {
    INFO(address);
    CHECK_FALSE(ParseAddress(address));
  }
}

// Guards against a controller that starts although it cannot write its log to the data folder.
TEST_CASE("data folder", "[settings]") {
  const std::filesystem::path root = std::filesystem::temp_directory_path() /
                                     ("peridotgauge_settings_test." + std::to_string(getpid()));
  std::filesystem::remove_all(root);
  CHECK(CheckDataFolder((root / "new" / "folder").string()));
  CHECK(std::filesystem::is_empty(root / "new" / "folder"));
  std::ofstream(root / "file") << "x";
  const Result<void> refused = CheckDataFolder((root / "file").string());
  REQUIRE_FALSE(refused);
  CHECK(refused.error().code == ErrorCode::kStorageFailed);
  CHECK_THAT(refused.error().detail, Catch::Matchers::Contains((root / "file").string()));
  std::filesystem::remove_all(root);
}

}  // namespace
}  // namespace peridotgauge
