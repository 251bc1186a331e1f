// Routes: the services that answer a caller's HTTP request, and the policy for the request.
//
// Use:
//   const Route* route = table.Match("search.example", "/orders/7");
//   if (route == nullptr) Refuse(ErrorCode::kNotFound);
//   if (route->Gathers()) Scatter(route->shards); else Forward(split.Next(*route));
//
// Contract: a RouteTable is immutable and valid: every service that a route names exists, no two
// routes have the same host and prefix, every timeout is above 0 and the weights of a split add up
// to more than 0. Of the routes of a host, the one with the longest matching path prefix is used.
#ifndef PERIDOTGAUGE_CORE_ROUTES_H_
#define PERIDOTGAUGE_CORE_ROUTES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/error.h"
#include "core/types.h"
#include "core/workspaces.h"

namespace peridotgauge {

// A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
  auto operator<=>(const WeightedService&) const = default;
};

// What selects a route: no two routes of a table have the same.
struct RouteId {
  std::string host;
  std::string prefix;
  bool operator==(const RouteId&) const = default;
  bool operator<(const RouteId& other) const {
    return std::tie(this->host, this->prefix) < std::tie(other.host, other.prefix);
  }
};

struct Route {
  std::string name;  // for logs and metrics; several routes may have the same
  std::string host;
  std::string prefix;         // begins and ends with '/'
  bool idempotent = true;     // false: a request is executed by at most one target
  Duration timeout{};         // maximum time until a caller gets an answer
  Duration objective{};       // an answer within this time has its full value
  uint32_t priority = 0;      // 0 is the most urgent
  uint32_t max_attempts = 1;  // targets that may execute a request (per shard, if it gathers)
  // Exactly one of these two lists is not empty.
  std::vector<WeightedService> split;
  std::vector<std::string> shards;  // each a service that holds one shard
  // For routes that gather.
  uint32_t top_records = 0;  // records in the answer
  double min_coverage = 0;   // minimum share of the shards in an answer, 0 to 1
  bool needs_key = true;     // if the configuration has workspaces, callers must send a key

  RouteId Id() const { return {this->host, this->prefix}; }
  bool Gathers() const { return !this->shards.empty(); }
  // Returns the minimum number of shards in an answer, at least 1. For routes that gather.
  uint32_t MinShards() const;
  // Returns the minimum number of services that must answer a request.
  uint32_t NeededShards() const { return this->Gathers() ? this->MinShards() : 1; }
  // Returns true if a request that has crashed targets of these services can be answered by the
  // other services alone. A request that has crashed targets of several services may crash those of
  // any.
  bool CanExclude(const std::vector<std::string>& crashed_services) const;
  bool operator==(const Route&) const = default;
};

// Properties of the targets of a service, as the operators configure them.
struct ServiceSpec {
  uint32_t connections = 1;  // accepted by one target from all routers together
  std::string health_path;
  // Requests per second that a target tolerates from all routers together while it is cold; 0: no
  // limit.
  double warmup_rate = 0;
  auto operator<=>(const ServiceSpec&) const = default;
};

// Limits on the requests and connections of callers.
struct CallerLimits {
  uint64_t header_bytes = 16 << 10;
  uint64_t body_bytes = 1 << 20;
  Duration header_timeout = Seconds(10);
  Duration idle_timeout = Seconds(60);
  auto operator<=>(const CallerLimits&) const = default;
};

class RouteTable {
 public:
  RouteTable() = default;
  // Returns kInvalidConfig, with the route and the reason, if the contract would not hold.
  static Result<RouteTable> Make(std::vector<Route> routes,
                                 std::map<std::string, ServiceSpec, std::less<>> services,
                                 CallerLimits limits,
                                 std::optional<WorkspaceTable> workspaces = std::nullopt);

  // Returns nullptr if no route matches. A port in `host` is ignored.
  const Route* Match(std::string_view host, std::string_view path) const;
  // Returns nullptr for an unknown service.
  const ServiceSpec* FindService(std::string_view name) const;
  const std::vector<Route>& Routes() const { return this->routes; }
  size_t ServiceCount() const { return this->services.size(); }
  const CallerLimits& Limits() const { return this->limits; }
  // Returns nullptr if callers need no keys.
  const WorkspaceTable* Workspaces() const {
    return this->workspaces ? &*this->workspaces : nullptr;
  }
  bool Empty() const { return this->routes.empty(); }

 private:
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec, std::less<>> services;
  CallerLimits limits;
  std::optional<WorkspaceTable> workspaces;
  // Indices into `routes`, longest prefix first.
  std::map<std::string, std::vector<size_t>, std::less<>> by_host;
};

// Divides the requests of routes with several services in proportion to their weights (smooth
// weighted round robin). The service with the largest deficit is next, so that each service gets
// close to its share in any window of requests.
class SplitCounter {
 public:
  // Returns the service for the next request. `route.split` must not be empty.
  const std::string& Next(const Route& route);

 private:
  std::map<RouteId, std::vector<double>> credits;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ROUTES_H_
