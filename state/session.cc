// Sessions of the routers at the leader.
#include "state/session.h"

#include <algorithm>

namespace peridotgauge {
namespace {

bool HasExpired(const Session& session, Time now) {
  return now >= session.last_arrival + kSessionLength;
}

}  // namespace

void SessionTable::Reset(Time now) {
  this->sessions.clear();
  this->last_tick = now;
  this->in_force = 0;
}

void SessionTable::Renew(Time now, const RouterId& router, uint64_t acknowledged) {
  const auto [it, inserted] = this->sessions.try_emplace(router.id);
  Session& session = it->second;
  if (!inserted && router.incarnation < session.incarnation) return;
  if (router.incarnation > session.incarnation) session = {.incarnation = router.incarnation};
  session.last_arrival = now;
  session.acknowledged = std::max(session.acknowledged, acknowledged);
}

void SessionTable::Tick(Time now, const RouterMap& view) {
  const Duration gap = this->last_tick ? now - *this->last_tick : Duration::zero();
  this->last_tick = now;
  if (gap > kMaxTickGap) {
    for (auto& [id, session] : this->sessions) session.last_arrival += gap;
  }
  std::erase_if(this->sessions, [&](const auto& item) { return view.count(item.first) == 0; });
  for (const auto& [id, router] : view) {
    Session& session = this->sessions[id];
    if (session.incarnation >= router.incarnation) continue;
    session = {.incarnation = router.incarnation, .last_arrival = now};
  }
}

std::vector<RouterId> SessionTable::Expired(Time now) const {
  std::vector<RouterId> expired;
  for (const auto& [id, session] : this->sessions) {
    if (!session.removal_pending && HasExpired(session, now)) {
      expired.push_back({id, session.incarnation});
    }
  }
  return expired;
}

void SessionTable::SetRemovalPending(const RouterId& router, bool pending) {
  const auto found = this->sessions.find(router.id);
  if (found == this->sessions.end() || found->second.incarnation != router.incarnation) return;
  found->second.removal_pending = pending;
}

bool SessionTable::IsRemovalPending(const RouterId& router) const {
  const auto found = this->sessions.find(router.id);
  return found != this->sessions.end() && found->second.incarnation == router.incarnation &&
         found->second.removal_pending;
}

bool SessionTable::InForce(Time now, uint64_t version, const RouterMap& view) {
  if (version <= this->in_force) return true;
  if (!this->PendingRouters(now, version, view).empty()) return false;
  this->in_force = version;
  return true;
}

std::vector<std::string> SessionTable::PendingRouters(Time now, uint64_t version,
                                                      const RouterMap& view) const {
  std::vector<std::string> waiting;
  for (const auto& [id, router] : view) {
    const auto found = this->sessions.find(id);
    const bool satisfied =
        found != this->sessions.end() &&
        (found->second.acknowledged >= version || HasExpired(found->second, now));
    if (!satisfied) waiting.push_back(id);
  }
  return waiting;
}

}  // namespace peridotgauge
