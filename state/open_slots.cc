// Gives open slots to the routers that use them.
#include "state/open_slots.h"

#include <algorithm>

namespace peridotgauge {

void OpenSlots::Reset(Time now) {
  this->slots.clear();
  this->workspaces.clear();
  this->first_slots = now + kSlotTime;
}

OpenSlots::Slots::iterator OpenSlots::Find(Slots& slots, const RouterId& router) {
  return std::ranges::find_if(slots, [&](const Slot& slot) { return slot.router == router; });
}

void OpenSlots::Remove(Time now, const std::string& workspace, Slots& slots) {
  std::erase_if(slots, [&](const Slot& slot) {
    if (now < slot.until) return false;
    const auto names = this->workspaces.find(slot.router);
    if (names == this->workspaces.end()) return true;
    names->second.erase(workspace);
    if (names->second.empty()) this->workspaces.erase(names);
    return true;
  });
}

void OpenSlots::Use(Time now, const RouterId& router, const std::string& workspace, size_t limit) {
  if (now < this->first_slots) return;
  Slots& slots = this->slots[workspace];
  const auto own = Find(slots, router);
  if (own != slots.end()) {
    own->used = now;
    own->withdrawn = false;
    return;
  }
  if (slots.size() >= limit) this->Remove(now, workspace, slots);
  if (slots.size() < limit) {
    slots.push_back({.router = router, .used = now, .until = now + kSlotTime});
    this->workspaces[router].insert(workspace);
    return;
  }
  Slot* idle = nullptr;
  for (Slot& slot : slots) {
    if (slot.withdrawn || now < slot.used + kSlotIdleTime) continue;
    if (idle == nullptr || slot.used < idle->used) idle = &slot;
  }
  if (idle != nullptr) idle->withdrawn = true;
}

std::set<std::string, std::less<>> OpenSlots::Renew(Time now, const RouterId& router,
                                                    const LimitOf& limit_of) {
  std::set<std::string, std::less<>> renewed;
  const auto names = this->workspaces.find(router);
  if (names == this->workspaces.end()) return renewed;
  for (const std::string& workspace : names->second) {
    Slots& slots = this->slots[workspace];
    const auto own = Find(slots, router);
    const auto index = static_cast<size_t>(own - slots.begin());
    if (own->withdrawn || index >= limit_of(workspace)) continue;
    own->until = now + kSlotTime;
    renewed.insert(workspace);
  }
  return renewed;
}

void OpenSlots::Expire(Time now) {
  for (auto& [workspace, slots] : this->slots) this->Remove(now, workspace, slots);
  std::erase_if(this->slots, [](const auto& item) { return item.second.empty(); });
}

size_t OpenSlots::Size() const {
  size_t size = 0;
  for (const auto& [workspace, slots] : this->slots) size += slots.size();
  return size;
}

}  // namespace peridotgauge
