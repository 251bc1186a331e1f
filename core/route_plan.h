// Plans of requests on routes: each shard is a service, and every serving target of it may answer.
//
// Use:
//   RoutePlanner plans(planner);
//   plans.Invalidate();                                    // configuration or targets changed
//   std::shared_ptr<const Plan> plan = plans.ForShards(revision, route);
//
// Contract: a plan names each service as a fleet of its own, so that budgets count by service. All
// fleets have the snapshot 0. Plans are cached until Invalidate().
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

// Time between the moment an answer is ready and the end of the objective that covers what this
// router does not see: both ways over the network (3 ms each on the sites measured), and the time
// that the request waited for the link and the event loop. The larger of the two: a longer
// objective comes with larger parts, behind which requests wait on the link (36 parts of 1 kB take
// 20 ms at 14 Mbit/s).
constexpr Duration kAnswerMargin = Millis(17);
constexpr double kAnswerMarginShare = 0.125;

class RoutePlanner {
 public:
  // `planner` knows the targets and outlives this object.
  explicit RoutePlanner(Planner& planner) : planner(planner) {}

  void Invalidate() { this->plans.clear(); }
  // For a route that gathers, or for one service of a route that splits its requests.
  std::shared_ptr<const Plan> ForShards(uint64_t revision, const Route& route);
  std::shared_ptr<const Plan> ForService(uint64_t revision, const Route& route,
                                         const std::string& service);

 private:
  std::shared_ptr<const Plan> Build(uint64_t revision, const Route& route,
                                    const std::vector<std::string>& services);

  Planner& planner;
  // By route and, for a split, service.
  std::map<std::pair<std::string, std::string>, std::shared_ptr<const Plan>> plans;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ROUTE_PLAN_H_
