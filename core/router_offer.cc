// Choice of the routers that callers are told about.
#include "core/router_offer.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <string>
#include <utility>

namespace peridotgauge {
namespace {

// Length of the average of RateMeter.
constexpr double kRateWindowSeconds = 2;

using RouterLists = std::map<std::string, std::vector<const RouterRecord*>, std::less<>>;

// Returns the routers that are not draining, by data centre, each list by the hash of the id.
RouterLists ActiveRouters(const RouterMap& routers) {
  RouterLists lists;
  for (const auto& [id, router] : routers) {
    if (!router.draining) lists[router.data_centre].push_back(&router);
  }
  const auto rank = [](const RouterRecord* router) {
    return std::pair<uint64_t, std::string_view>(XXH3_64bits(router->id.data(), router->id.size()),
                                                 router->id);
  };
  for (auto& [data_centre, list] : lists) {
    std::sort(list.begin(), list.end(),
              [&](const RouterRecord* a, const RouterRecord* b) { return rank(a) < rank(b); });
  }
  return lists;
}

// Shortens the lists to `count` routers in total, taken from all lists in turn.
void KeepInTurn(size_t count, RouterLists& lists) {
  std::map<std::string, size_t, std::less<>> kept;
  for (size_t round = 0; count > 0; ++round) {
    const size_t before = count;
    for (const auto& [data_centre, list] : lists) {
      if (round >= list.size() || count == 0) continue;
      ++kept[data_centre];
      --count;
    }
    if (count == before) break;
  }
  for (auto& [data_centre, list] : lists) list.resize(kept[data_centre]);
}

// Returns the offered routers, in the order of ActiveRouters().
RouterLists OfferedLists(const RouterMap& routers, size_t count) {
  RouterLists lists = ActiveRouters(routers);
  size_t active = 0;
  for (const auto& [name, list] : lists) active += list.size();
  KeepInTurn(OfferedCount(count, active), lists);
  return lists;
}

}  // namespace

size_t MinOfferedCount(size_t active, size_t data_centres) {
  return std::min(active, kMinOfferedPerDataCentre * data_centres);
}

size_t OfferedCount(size_t count, size_t active) {
  return std::min(count == 0 ? kMaxListedRouters : count, active);
}

std::vector<Address> OfferedRouters(const RouterMap& routers, size_t count,
                                    std::string_view data_centre) {
  RouterLists lists = OfferedLists(routers, count);
  std::vector<Address> addresses;
  auto next = lists.find(data_centre);
  for (size_t i = 0; i < lists.size(); ++i) {
    if (next == lists.end()) next = lists.begin();
    for (const RouterRecord* router : next->second) {
      if (addresses.size() < kMaxListedRouters) addresses.push_back(router->http_address);
    }
    ++next;
  }
  return addresses;
}

std::set<std::string> OfferedRouterIds(const RouterMap& routers, size_t count) {
  std::set<std::string> ids;
  for (const auto& [data_centre, list] : OfferedLists(routers, count)) {
    for (const RouterRecord* router : list) ids.insert(router->id);
  }
  return ids;
}

std::optional<size_t> RouterOfferPolicy::NextCount(Time now, size_t current, size_t active,
                                                   size_t data_centres,
                                                   const std::vector<RouterLoad>& loads) {
  double sub_requests = 0;
  double processors = 0;
  for (const RouterLoad& load : loads) {
    sub_requests += load.sub_requests_per_s;
    processors += load.processor_share;
  }
  if (active == 0 || loads.empty() || processors <= 0) return std::nullopt;
  const double per_router = processors / static_cast<double>(loads.size()) *
                            kSubRequestsPerProcessor * kPlannedUtilization;
  const size_t needed = std::clamp(static_cast<size_t>(std::ceil(sub_requests / per_router)),
                                   MinOfferedCount(active, data_centres), active);
  const double change = std::abs(static_cast<double>(needed) - static_cast<double>(current));
  const bool worthwhile = change > kMinOfferChange * static_cast<double>(current);
  if (needed > current) return worthwhile ? std::optional(needed) : std::nullopt;
  if (now < this->next_decrease) return std::nullopt;
  this->next_decrease = now + kOfferInterval;
  const double before = std::exchange(this->earlier_load, sub_requests);
  const bool steady = before > 0 && sub_requests <= kSteadyLoadRatio * before;
  if (!worthwhile || !steady) return std::nullopt;
  return std::max(needed, current / 2);
}

void RateMeter::Add(Time now, double events) {
  this->level = this->PerSecond(now) * kRateWindowSeconds + events;
  this->updated = now;
}

double RateMeter::PerSecond(Time now) const {
  const double elapsed = std::max(std::chrono::duration<double>(now - this->updated).count(), 0.0);
  return this->level * std::exp(-elapsed / kRateWindowSeconds) / kRateWindowSeconds;
}

}  // namespace peridotgauge
