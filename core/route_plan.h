// Plans of requests on routes: each shard is a service, and any of its serving targets may answer.
//
// Use:
//   RoutePlanner plans(planner);
//   plans.Invalidate();                                    // configuration or targets changed
//   std::shared_ptr<const Plan> plan = plans.ForShards(revision, route);
//
// Contract: in a plan each service is its own fleet, so that budgets are kept per service. All
// fleets have snapshot 0. Plans are cached until Invalidate().
#ifndef PERIDOTGAUGE_CORE_ROUTE_PLAN_H_
#define PERIDOTGAUGE_CORE_ROUTE_PLAN_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/plan.h"
#include "core/routes.h"
#include "core/types.h"

namespace peridotgauge {

// An answer must be ready this long before the end of the objective. The margin covers the delays
// that this router cannot measure: the network in both directions (3 ms each way in the users'
// deployments), and the time that the request waits for the link and the event loop. The larger of
// the two values is used: routes with a longer objective have larger replies, behind which requests
// wait on the link (36 replies of 1 kB take 20 ms at 14 Mbit/s).
constexpr Duration kAnswerMargin = Millis(17);
constexpr double kAnswerMarginShare = 0.125;

class RoutePlanner {
 public:
  // `planner` provides the targets and must outlive this object.
  explicit RoutePlanner(Planner& planner) : planner(planner) {}

  void Invalidate() { this->plans.clear(); }
  // Returns the plan of a route that gathers from its shards.
  std::shared_ptr<const Plan> ForShards(uint64_t revision, const Route& route);
  // Returns the plan of one service of a route that splits its requests.
  std::shared_ptr<const Plan> ForService(uint64_t revision, const Route& route,
                                         const std::string& service);

 private:
  std::shared_ptr<const Plan> Build(uint64_t revision, const Route& route,
                                    const std::vector<std::string>& services);

  Planner& planner;
  // By route and, for a split, service name.
  std::map<std::pair<RouteId, std::string>, std::shared_ptr<const Plan>> plans;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ROUTE_PLAN_H_
