// The order of connections by their last progress, and the accounting of what they keep.
#include "core/caller_room.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {

bool CallerRoom::CloseOne(const Member& asking, Time stalled_since) {
  const auto found = std::find_if(this->order.begin(), this->order.end(),
                                  [&](const Member* member) { return member != &asking; });
  if (found == this->order.end() || (*found)->last_progress > stalled_since) return false;
  Member& member = **found;
  member.Leave();
  this->used -= std::exchange(member.bytes, 0);
  --this->connections;
  ++this->closed;
  std::exchange(member.close, nullptr)();
  return true;
}

bool CallerRoom::MakeRoom(const Member& accepted) {
  while (this->connections > this->limits.connections) {
    if (!this->CloseOne(accepted, Time::max())) return false;
  }
  return true;
}

CallerRoom::Member::Member(std::shared_ptr<CallerRoom> room, Time now, std::function<void()> close)
    : room(std::move(room)), close(std::move(close)), last_progress(now) {
  ++this->room->connections;
  this->Place();
}

CallerRoom::Member::~Member() {
  this->Leave();
  if (!this->close) return;  // counts no more
  --this->room->connections;
  this->room->used -= this->bytes;
}

bool CallerRoom::Member::Keep(Time now, size_t wanted) {
  if (!this->close) return false;
  CallerRoom& all = *this->room;
  if (wanted > this->bytes) {
    const bool small = wanted <= kSmallBytes;
    const auto for_small = static_cast<size_t>(static_cast<double>(all.limits.bytes) * kSmallShare);
    const size_t limit = all.limits.bytes - (small ? 0 : for_small);
    while (all.used - this->bytes + wanted > limit) {
      if (!all.CloseOne(*this, small ? Time::max() : now - kStallTime)) {
        ++all.refused;
        return false;
      }
    }
  }
  all.used = all.used - this->bytes + wanted;
  this->bytes = wanted;
  return true;
}

void CallerRoom::Member::OnProgress(Time now, size_t transferred) {
  this->since_progress += transferred;
  if (this->since_progress >= kProgressBytes) this->OnComplete(now);
}

void CallerRoom::Member::OnComplete(Time now) {
  this->since_progress = 0;
  this->last_progress = now;
  if (this->listed) this->Place();
}

void CallerRoom::Member::AllowClose(bool allowed) {
  if (allowed == this->listed || !this->close) return;
  if (allowed) {
    this->Place();
  } else {
    this->Leave();
  }
}

// Times of progress only increase, so that a member that has just made progress comes last. One
// that may be closed again, after its request has run, is placed by its last progress.
void CallerRoom::Member::Place() {
  Order& order = this->room->order;
  this->Leave();
  auto after = order.end();
  while (after != order.begin() && (*std::prev(after))->last_progress > this->last_progress) {
    --after;
  }
  this->place = order.insert(after, this);
  this->listed = true;
}

void CallerRoom::Member::Leave() {
  if (!std::exchange(this->listed, false)) return;
  this->room->order.erase(this->place);
}

}  // namespace peridotgauge
