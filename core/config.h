// The operators' configuration: services, their dependencies, and limits.
//
// Use:
//   Result<Config> config = Config::Parse(text);
//   if (!config) Report(config.error());        // kInvalidConfig; names the path in the text
//   const Service* service = config->FindService("verstas-1");
//
// A Config is immutable and valid: all dependencies exist and form no cycle, and all numbers are in
// range. Parse() does not throw. Errors name the path, the value and the allowed values, for
// example "services.kassa-3.depends_on[1]: unknown service \"posty\"". Neither errors nor the lines
// of DiffConfigs() contain a key of a workspace.
#ifndef PERIDOTGAUGE_CORE_CONFIG_H_
#define PERIDOTGAUGE_CORE_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/routes.h"
#include "core/types.h"
#include "core/workspaces.h"

namespace peridotgauge {

// Limits of a configuration; exceeding one is kTooLarge or kInvalidConfig.
constexpr size_t kMaxConfigBytes = 1 << 20;
constexpr size_t kMaxServices = 10'000;
constexpr uint32_t kMaxShards = 4'096;
constexpr size_t kMaxWorkspaces = 10'000;

// What a search prefers when some shards are late: to respond at the soft deadline without them, or
// to wait for them until the deadline.
enum class Preference : uint8_t { kLatency, kCoverage };

// A group of services whose targets have the same limits and serve one index. All shards of a fleet
// that a query reads are read from one snapshot.
struct Fleet {
  std::string name;
  uint32_t slots = 4;         // concurrent requests per target
  uint32_t connections = 40;  // connections per target
  Duration connect_cost = Millis(1);
  uint32_t hedge_percent = 5;  // extra sub-requests allowed per 100 needed
  bool operator==(const Fleet&) const = default;
};

struct Service {
  std::string name;
  std::string fleet;
  uint32_t shards = 1;  // used while no live target reports the number of shards of its snapshot
  std::vector<std::string> depends_on;
  bool idempotent = true;  // false: orders are allowed and executed at most once
  Duration deadline = Millis(200);
  Duration soft_deadline = Millis(200);  // at most `deadline`; used with Preference::kLatency
  Preference prefer = Preference::kCoverage;
  bool requires_key = false;  // callers must send the key of a workspace
  bool operator==(const Service&) const = default;
};

class Config {
 public:
  // Creates an empty configuration with revision 0, the state before the first accepted revision.
  Config() = default;

  static Result<Config> Parse(std::string_view text);
  // Returns a configuration that consists of routes, which were parsed from a text in another
  // format.
  static Config FromRoutes(uint64_t revision, std::string_view text, RouteTable routes);

  uint64_t Revision() const { return this->revision; }
  // The text as the operator wrote it.
  const std::string& Text() const { return this->text; }
  // Returns the XXH3 digest of the text's canonical form (keys sorted, no white space); of the text
  // itself if the configuration was made by FromRoutes().
  uint64_t Digest() const { return this->digest; }

  // Return nullptr if there is no entry with that name.
  const Fleet* FindFleet(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const std::map<std::string, Fleet, std::less<>>& Fleets() const { return this->fleets; }
  const std::map<std::string, Service, std::less<>>& Services() const { return this->services; }

  // Empty unless the configuration was made by FromRoutes().
  const RouteTable& Routes() const { return this->routes; }

  // Returns nullptr if the configuration has no workspaces, of either format.
  const WorkspaceTable* Workspaces() const {
    return this->workspaces ? &*this->workspaces : this->routes.Workspaces();
  }
  // Returns true if the service, or one that it depends on, requires a key.
  bool RequiresKey(std::string_view service) const { return this->keyed.contains(service); }
  // Returns the workspace of a caller who uses the service and sends this key; nullptr if the
  // service needs no key or is unknown. Returns kUnknownKey if the service needs a key and this is
  // none.
  Result<const Workspace*> FindCaller(std::string_view service, std::string_view key) const;

  // Returns the service, followed by its direct and indirect dependencies sorted by name. Empty if
  // the service is unknown.
  std::vector<const Service*> DependencyClosure(std::string_view service) const;

  bool operator==(const Config& other) const { return this->digest == other.digest; }

 private:
  uint64_t revision = 0;
  uint64_t digest = 0;
  std::string text;
  std::map<std::string, Fleet, std::less<>> fleets;
  std::map<std::string, Service, std::less<>> services;
  std::optional<WorkspaceTable> workspaces;
  std::set<std::string, std::less<>> keyed;  // the services of RequiresKey()
  RouteTable routes;
};

// Parses and validates a configuration.
using ConfigParser = Result<Config> (*)(std::string_view text);

// Returns one line for each difference between two configurations, sorted by name, for example
// "services.kassa-3.deadline_ms: 200 -> 250". Empty if they are equivalent.
std::vector<std::string> DiffConfigs(const Config& before, const Config& after);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CONFIG_H_
