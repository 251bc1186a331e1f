// Settings of the daemon: a JSON file with the roles, addresses and policies of one process.
//
// Use:
//   Result<Settings> settings = Settings::Parse(text, "router-1.json");
//
// Parse() checks types, ranges, unknown keys, address syntax and duplicate ports. Its errors
// (kInvalidSettings) name the file, the key, the value and the allowed values. CheckDataFolder() is
// a separate function because it accesses the disk.
#ifndef PERIDOTGAUGE_CORE_SETTINGS_H_
#define PERIDOTGAUGE_CORE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

// The id and address of a controller, listed in the settings of every process.
struct ControllerAddress {
  std::string id;
  Address peer_address;
  bool operator==(const ControllerAddress&) const = default;
};

// How sub-requests reach targets: through the target's owner, or directly from each router.
enum class Routing : uint8_t { kOwner, kDirect };

// The interface for callers, targets and operators.
enum class Interface : uint8_t {
  kNative,  // the JSON messages of caller_api.h and operator_api.h
  kRoutes,  // HTTP requests on routes, in the format of platform/
};

// Limit on extra sub-requests (hedges and retries) of each service, summed over all routers: in any
// window at most `ratio` times the needed sub-requests, plus `slack`.
struct ExtraRequestLimit {
  double ratio = 0.2;
  double slack = 50;
  Duration window = Seconds(10);  // sliding
  bool operator==(const ExtraRequestLimit&) const = default;
};

// Tolerance of the request quotas of workspaces. In any window, the requests of a workspace over
// all routers may exceed (rate x window + burst) by `overage` (a share) plus `slack` (requests).
struct QuotaTolerance {
  Duration window = Seconds(5);
  double overage = 0.1;
  double slack = 20;
  bool operator==(const QuotaTolerance&) const = default;
};

// Limit on requests per second to a cold target from all routers together: the rate that its
// service is configured with, times `overage`, plus `slack`.
struct WarmupTolerance {
  double overage = 1.5;
  double slack = 5;
  bool operator==(const WarmupTolerance&) const = default;
};

struct Settings {
  std::string id;  // unique among all processes; letters, digits, '-', '_', '.'
  std::string data_centre;
  bool router = false;  // roles: ["router"], ["controller"] or both
  bool controller = false;
  Address http_address;  // callers, targets, operators
  Address peer_address;  // other processes of the system
  Interface interface = Interface::kNative;
  // Optional separate addresses. If one is empty, `http_address` serves these requests.
  Address health_address;     // readiness checks
  Address directory_address;  // requests of callers for the router list
  Address metrics_address;
  // IP addresses of some controllers, in place of `controllers`. The id of a controller is then its
  // IP address, and all processes use the same peer port.
  std::vector<std::string> seeds;
  // Share of a processor that this process may use, above 0.
  double processor_share = 1;
  // Memory that this process may use, in MiB.
  double memory_mb = 256;
  // File descriptors that this process may open. 0: the limit of the operating system.
  size_t descriptors = 0;
  // Descriptors that connections of callers leave free for targets, peers, controllers and files.
  // 0: a quarter of all.
  size_t reserved_descriptors = 0;
  // Fields of the header and the trailer of a request. A header of 16,384 bytes has fewer.
  size_t max_header_fields = 4'096;
  ExtraRequestLimit extra_requests;
  QuotaTolerance quota;
  WarmupTolerance warmup;
  Duration heartbeat_interval = Seconds(1);    // interval at which targets register
  Duration shutdown_grace = Seconds(30);       // from SIGTERM to SIGKILL
  std::vector<ControllerAddress> controllers;  // all controllers: 1, 3, 5 or 7
  std::string data_folder;                     // controllers only
  // Controllers that may lose their disks at the same time. Among controllers found from seeds, the
  // group that votes keeps 2 x this + 1 members, 3 at least, once it has grown to that size.
  size_t tolerated_hosts = 2;
  std::string span_file;  // OTLP-style JSON lines; empty: no spans are written
  Routing routing = Routing::kOwner;
  // Name of the replica choice strategy, which ReplicaChoice::Make() checks. Empty: the default.
  std::string replica_choice;
  // Policies that can be disabled.
  bool hedging = true;
  bool canaries = true;
  bool ejection = true;
  bool admission = true;
  bool adaptive_limit = true;
  // Rejects requests of routes, or ends their retries, by what costs callers least; see
  // core/overload.h.
  bool overload_admission = false;
  bool operator==(const Settings&) const = default;

  // `source` is the file name for error messages.
  static Result<Settings> Parse(std::string_view text, std::string_view source);
};

// Creates the data folder if it does not exist, and checks that files in it can be written and
// synced. A disk that is full or fails at the moment is only logged.
Result<void> CheckDataFolder(const std::string& folder);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_SETTINGS_H_
