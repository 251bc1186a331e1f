// Settings of the daemon: a JSON file that says which roles a process has and its addresses.
//
// Use:
//   Result<Settings> settings = Settings::Parse(text, "router-1.json");
//
// Contract: parsing checks types, ranges, unknown keys, address syntax and duplicate ports, and the
// error (kInvalidSettings) names the file, the key, the value and what is allowed.
// CheckDataFolder() is apart because it touches the disk.
#ifndef PERIDOTGAUGE_CORE_SETTINGS_H_
#define PERIDOTGAUGE_CORE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

// A controller as every process knows it from its settings.
struct ControllerAddress {
  std::string id;
  Address peer_address;
  bool operator==(const ControllerAddress&) const = default;
};

// How sub-requests reach targets: through the target's owner, or directly from each router.
enum class Routing : uint8_t { kOwner, kDirect };

// Which interface callers, targets and operators use.
enum class Interface : uint8_t {
  kNative,  // the project's own, see caller_api.h and operator_api.h
  kRoutes,  // plain HTTP requests on routes, in the format of platform/
};

// Limit on sub-requests beyond the needed ones, for each service, summed over all routers.
struct ExtraRequestLimit {
  double ratio = 0.2;             // of the needed sub-requests in a window
  uint32_t slack = 50;            // sub-requests in a window allowed besides
  Duration window = Seconds(10);  // slides: any span of this length counts
  bool operator==(const ExtraRequestLimit&) const = default;
};

struct Settings {
  std::string id;  // unique among all processes; letters, digits, '-', '_', '.'
  std::string data_centre;
  bool router = false;  // roles: ["router"], ["controller"] or both
  bool controller = false;
  Address http_address;  // callers, targets, operators
  Address peer_address;  // other processes of the system
  Interface interface = Interface::kNative;
  // Addresses below are empty where the process does not serve them.
  Address health_address;     // readiness checks; otherwise on `http_address`
  Address directory_address;  // callers that ask for routers; otherwise on `http_address`
  Address metrics_address;    // otherwise on `http_address`
  // IP numbers of some controllers, in place of `controllers`. A controller's id is then its IP
  // number, and all peers listen on one port.
  std::vector<std::string> seeds;
  ExtraRequestLimit extra_requests;
  Duration heartbeat_interval = Seconds(1);    // interval at which targets register
  Duration shutdown_grace = Seconds(30);       // from SIGTERM to SIGKILL
  std::vector<ControllerAddress> controllers;  // all controllers, 1, 3, 5 or 7
  std::string data_folder;                     // controllers only
  std::string span_file;                       // OTLP-style JSON lines; empty: no spans are written
  Routing routing = Routing::kOwner;
  // Names of the strategies of each policy; the policy modules check them. Empty: the default.
  std::string replica_choice;
  bool hedging = true;
  bool canaries = true;
  bool ejection = true;
  bool admission = true;
  bool adaptive_limit = true;
  bool operator==(const Settings&) const = default;

  // `source` is the file name for messages.
  static Result<Settings> Parse(std::string_view text, std::string_view source);
};

// Creates the data folder if it is missing and checks that files can be written and synced in it.
Result<void> CheckDataFolder(const std::string& folder);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SETTINGS_H_
