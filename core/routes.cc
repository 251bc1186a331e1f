// Validation and lookup of routes.
#include "core/routes.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

namespace peridotgauge {
namespace {

// Tolerance for configured coverage shares, which are rounded decimals.
constexpr double kCoverageTolerance = 1e-9;

Result<void> CheckRoute(const Route& route,
                        const std::map<std::string, ServiceSpec, std::less<>>& services) {
  const auto refuse = [&](const std::string& problem) {
    return Fail(ErrorCode::kInvalidConfig, "route \"" + route.name + "\": " + problem);
  };
  if (route.host.empty()) return refuse("the host is empty");
  if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
    return refuse("the prefix must begin and end with '/'");
  }
  if (route.timeout <= Duration(0)) return refuse("the timeout must be above 0");
  if (route.split.empty() == route.shards.empty()) {
    return refuse("exactly one of a service, a split and a list of shards is allowed");
  }
  double weights = 0;
  for (const WeightedService& part : route.split) {
    if (!services.contains(part.service)) return refuse("unknown service " + part.service);
    if (part.weight < 0 || !std::isfinite(part.weight)) {
      return refuse("a weight is negative or not finite");
    }
    weights += part.weight;
  }
  if (!route.split.empty() && weights <= 0) {
    return refuse("the weights add up to 0; the sum must be above 0");
  }
  for (const std::string& shard : route.shards) {
    if (!services.contains(shard)) return refuse("unknown service " + shard);
  }
  if (std::set<std::string>(route.shards.begin(), route.shards.end()).size() !=
      route.shards.size()) {
    return refuse("a shard is listed twice");
  }
  return {};
}

}  // namespace

uint32_t Route::MinShards() const {
  const double exact = this->min_coverage * static_cast<double>(this->shards.size());
  return std::max(1U, static_cast<uint32_t>(std::ceil(exact - kCoverageTolerance)));
}

bool Route::CanExclude(const std::vector<std::string>& crashed_services) const {
  return this->Gathers() && crashed_services.size() == 1 && this->shards.size() > this->MinShards();
}

Result<RouteTable> RouteTable::Make(std::vector<Route> routes,
                                    std::map<std::string, ServiceSpec, std::less<>> services,
                                    CallerLimits limits, std::optional<WorkspaceTable> workspaces) {
  RouteTable table;
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : routes) {
    if (Result<void> checked = CheckRoute(route, services); !checked) {
      return tl::unexpected(checked.error());
    }
    if (!places.emplace(route.host, route.prefix).second) {
      return Fail(ErrorCode::kInvalidConfig, "route \"" + route.name +
                                                 "\": another route has host " + route.host +
                                                 " and prefix " + route.prefix);
    }
  }
  table.routes = std::move(routes);
  table.services = std::move(services);
  table.limits = limits;
  table.workspaces = std::move(workspaces);
  for (size_t i = 0; i < table.routes.size(); ++i) {
    table.by_host[table.routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : table.by_host) {
    std::stable_sort(indices.begin(), indices.end(), [&](size_t a, size_t b) {
      return table.routes[a].prefix.size() > table.routes[b].prefix.size();
    });
  }
  return table;
}

const Route* RouteTable::Match(std::string_view host, std::string_view path) const {
  const auto found = this->by_host.find(host.substr(0, host.find(':')));
  if (found == this->by_host.end()) return nullptr;
  for (const size_t index : found->second) {
    if (path.starts_with(this->routes[index].prefix)) return &this->routes[index];
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(std::string_view name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

const std::string& SplitCounter::Next(const Route& route) {
  if (route.split.size() == 1) return route.split.front().service;
  std::vector<double>& credit = this->credits[route.Id()];
  credit.resize(route.split.size());
  const double total =
      std::accumulate(route.split.begin(), route.split.end(), 0.0,
                      [](double sum, const WeightedService& part) { return sum + part.weight; });
  size_t next = 0;
  for (size_t i = 0; i < credit.size(); ++i) {
    credit[i] += route.split[i].weight / total;
    if (credit[i] > credit[next]) next = i;
  }
  credit[next] -= 1;
  return route.split[next].service;
}

}  // namespace peridotgauge
