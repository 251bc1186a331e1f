// Deltas of the router list.
#include "state/router_list.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace peridotgauge {

void RouterChangeLog::Add(uint64_t index, const std::string& router) {
  this->changes.push_back({index, router});
  if (this->changes.size() <= kMaxRouterChanges) return;
  this->complete_after = this->changes.front().index;
  this->changes.pop_front();
}

std::optional<std::set<std::string>> RouterChangeLog::ChangedSince(uint64_t index) const {
  if (index < this->complete_after) return std::nullopt;
  std::set<std::string> routers;
  for (auto change = this->changes.rbegin();
       change != this->changes.rend() && change->index > index; ++change) {
    routers.insert(change->router);
  }
  return routers;
}

uint64_t DigestOf(const RouterMap& routers) {
  uint64_t digest = routers.size() + 1;
  const auto add = [&](std::string_view text) {
    digest = XXH3_64bits_withSeed(text.data(), text.size(), digest);
  };
  for (const auto& [id, router] : routers) {
    add(router.id);
    add(router.data_centre);
    add(router.http_address);
    add(router.peer_address);
    digest = digest * 31 + router.incarnation * 2 + (router.draining ? 1 : 0);
  }
  return std::max<uint64_t>(digest, 1);
}

RouterDelta DeltaSince(const RouterMap& routers, const RouterChangeLog& changes,
                       uint64_t known_index) {
  RouterDelta delta{.digest = DigestOf(routers)};
  const auto changed = known_index == 0 ? std::nullopt : changes.ChangedSince(known_index);
  if (!changed) {
    for (const auto& [id, router] : routers) delta.routers.push_back(router);
    return delta;
  }
  delta.full = false;
  for (const std::string& id : *changed) {
    const auto router = routers.find(id);
    if (router == routers.end()) {
      delta.gone.push_back(id);
    } else {
      delta.routers.push_back(router->second);
    }
  }
  return delta;
}

bool ApplyDelta(const RouterDelta& delta, RouterMap& routers) {
  if (delta.full) routers.clear();
  for (const std::string& id : delta.gone) routers.erase(id);
  for (const RouterRecord& router : delta.routers) routers.insert_or_assign(router.id, router);
  return delta.digest == 0 || delta.digest == DigestOf(routers);
}

}  // namespace peridotgauge
