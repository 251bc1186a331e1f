// Conversion of routes to plans.
#include "core/route_plan.h"

#include <algorithm>

namespace peridotgauge {

std::shared_ptr<const Plan> RoutePlanner::ForShards(uint64_t revision, const Route& route) {
  auto& plan = this->plans[{route.Id(), ""}];
  if (!plan) plan = this->Build(revision, route, route.shards);
  return plan;
}

std::shared_ptr<const Plan> RoutePlanner::ForService(uint64_t revision, const Route& route,
                                                     const std::string& service) {
  auto& plan = this->plans[{route.Id(), service}];
  if (!plan) plan = this->Build(revision, route, {service});
  return plan;
}

std::shared_ptr<const Plan> RoutePlanner::Build(uint64_t revision, const Route& route,
                                                const std::vector<std::string>& services) {
  auto plan = std::make_shared<Plan>();
  plan->revision = revision;
  plan->deadline = route.timeout;
  plan->prefer = Preference::kLatency;
  plan->soft_deadline = route.timeout;
  // A partial answer within the objective is worth more than a complete one after it.
  if (route.Gathers() && route.objective > Duration(0)) {
    const auto objective = static_cast<double>(route.objective.count());
    const Duration share(static_cast<int64_t>(kAnswerMarginShare * objective));
    plan->soft_deadline =
        std::max(route.objective - std::max(kAnswerMargin, share), route.objective / 2);
  }
  for (uint32_t i = 0; i < services.size(); ++i) {
    plan->fleets.push_back({.name = services[i], .snapshot = 0});
    plan->services.push_back({.name = services[i], .fleet = i, .shards = 1});
    plan->service_targets.push_back(this->planner.TargetsOf(services[i]));
    plan->shards.push_back(
        {.service = i, .shard = 0, .candidates = plan->service_targets.back()->Serving()});
  }
  return plan;
}

}  // namespace peridotgauge
