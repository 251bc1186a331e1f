// Which routers callers are told about, and how many.
//
// Use, leader:
//   RouterOfferPolicy policy;
//   if (auto count = policy.NextCount(now, current, active, data_centres, loads)) Propose(*count);
// Use, every controller:
//   std::vector<Address> offered = OfferedRouters(routers, count, "tre-a");
//
// Contract: OfferedRouters() depends only on its arguments, so that every controller offers the
// same routers. Draining routers are not offered. The set takes routers from all data centres in
// turn, so that the loss of a data centre leaves routers to each caller, and among those of a data
// centre by a hash of the id, so that it changes by one router when one joins or leaves. A caller
// gets at most kMaxListedRouters of the set, those of its own data centre first.
//
// Load pattern: 191 routers answer 125 requests a second of 63 sub-requests each. With all of them
// in use none can keep a connection to a target that accepts 123, and none sees enough answers to
// know a slow or failing target before the fault is over.
#ifndef PERIDOTGAUGE_CORE_ROUTER_OFFER_H_
#define PERIDOTGAUGE_CORE_ROUTER_OFFER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// Number of addresses that callers use from one list.
constexpr size_t kMaxListedRouters = 64;
// Sub-requests per second that a router handles with a whole processor, and the share of them that
// is planned for. The rest carries bursts, the load of routers that fail, and keeps waiting times
// for the processor short.
constexpr double kSubRequestsPerProcessor = 15'000;
constexpr double kPlannedUtilization = 0.1;
constexpr size_t kMinOfferedPerDataCentre = 4;
// The number is lowered in steps, because callers reconnect with each step, and not while the load
// rises or is unknown: callers keep a list for seconds, so that too few routers would have to carry
// the rise for as long.
constexpr Duration kOfferInterval = Seconds(2);
constexpr double kMinOfferChange = 0.2;
constexpr double kSteadyLoadRatio = 1.1;  // of the load to the one an interval ago

// Returns the smallest number of routers to offer, of `active` ones in `data_centres`.
size_t MinOfferedCount(size_t active, size_t data_centres);

// Returns how many of `active` routers are in use. If `count` is 0, no load is known yet; then as
// many are as one list can hold.
size_t OfferedCount(size_t count, size_t active);

// Returns the addresses for a caller in `data_centre`, which may be empty or unknown.
std::vector<Address> OfferedRouters(const RouterMap& routers, size_t count,
                                    std::string_view data_centre);

// Returns the ids of all offered routers.
std::set<std::string> OfferedRouterIds(const RouterMap& routers, size_t count);

// What one router has reported.
struct RouterLoad {
  double sub_requests_per_s = 0;
  double processor_share = 1;  // share of a processor that the router may use; above 0
  auto operator<=>(const RouterLoad&) const = default;
};

class RouterOfferPolicy {
 public:
  // Starts a term of leadership. The number is not lowered before two intervals have passed.
  void Reset(Time now) {
    this->next_decrease = now + kOfferInterval;
    this->earlier_load = 0;
  }

  // Returns the number of routers to offer if it has to change. `current` is the result of
  // OfferedCount(); `active` is the number of routers that are not draining.
  std::optional<size_t> NextCount(Time now, size_t current, size_t active, size_t data_centres,
                                  const std::vector<RouterLoad>& loads);

 private:
  Time next_decrease;
  double earlier_load = 0;  // sub-requests per second at the last time that a decrease was weighed
};

// Measures a rate as an exponential moving average.
class RateMeter {
 public:
  void Add(Time now, double events);
  // Returns the events per second.
  double PerSecond(Time now) const;

 private:
  double level = 0;  // decayed number of events at `updated`
  Time updated;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ROUTER_OFFER_H_
