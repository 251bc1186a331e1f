// Distribution of the heartbeats of targets over the controllers.
#include "core/heartbeat_address.h"

#include <xxhash.h>

#include <cstdint>
#include <limits>

namespace peridotgauge {
namespace {

uint64_t HashOf(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

// Returns true for a share of kMaxLeaderTargets / `targets` of all names. A name for which it is
// true stays so while the number falls.
bool StaysWithLeader(const std::string& target, size_t targets) {
  if (targets <= kMaxLeaderTargets) return true;
  constexpr auto kMaxHash = static_cast<double>(std::numeric_limits<uint64_t>::max());
  const double share = static_cast<double>(kMaxLeaderTargets) / static_cast<double>(targets);
  return static_cast<double>(HashOf(target)) < share * kMaxHash;
}

}  // namespace

std::string HeartbeatController(const std::string& target, const std::string& self,
                                const std::string& leader, const std::vector<std::string>& members,
                                size_t targets) {
  if (leader.empty() || StaysWithLeader(target, targets)) return leader;
  if (self != leader) return self;
  // Rendezvous hashing, so that a change of the members moves few targets.
  const std::string* chosen = &leader;
  uint64_t highest = 0;
  for (const std::string& member : members) {
    if (member == leader) continue;
    std::string pair = member;
    pair.append("/").append(target);
    const uint64_t hash = HashOf(pair);
    if (chosen != &leader && hash <= highest) continue;
    chosen = &member;
    highest = hash;
  }
  return *chosen;
}

}  // namespace peridotgauge
