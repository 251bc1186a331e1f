// Versions by router, and replies that wait for them.
#include "state/publication.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {

uint64_t Publication::UpTo(Time now, uint64_t current,
                           const std::map<std::string, Session>& sessions) const {
  uint64_t least = current;
  for (const auto& [id, session] : sessions) {
    if (now - session.last_arrival >= kSessionLength) continue;
    const auto found = this->known.find(id);
    least = std::min(least, found == this->known.end() ? 0 : found->second);
  }
  return least;
}

void Publication::Answer(Time now, uint64_t published) {
  std::erase_if(this->waiting, [&](const Waiting& entry) {
    if (entry.version > published && now < entry.limit) return false;
    entry.reply(true);
    return true;
  });
}

void Publication::FailAll() {
  for (const Waiting& entry : std::exchange(this->waiting, {})) entry.reply(false);
}

}  // namespace peridotgauge
