// Handling of target heartbeats at the leader.
#include "state/target_heartbeat_handler.h"

#include <algorithm>
#include <optional>

namespace peridotgauge {
namespace {

// Sequence number of a removal; far above those that heartbeats reach.
constexpr uint64_t kRemovedSequence = uint64_t{1} << 62U;

}  // namespace

void TargetHeartbeatHandler::StartTerm(Time now, uint64_t term) {
  this->directory.StartEpoch(now, term, std::max(kCollectTime, this->lease));
  this->registrations.Clear();
  this->directory.SetOwnRegistrar(this->controller);
}

Result<HeartbeatResult> TargetHeartbeatHandler::Handle(Time now, TargetRecord record, bool remove) {
  if (remove) {
    std::optional<TargetRecord> last = this->directory.Find(record.target);
    if (!last && this->directory.Collecting()) {
      return Fail(ErrorCode::kUnavailable,
                  "directory: the new leader is still collecting registrations");
    }
    // The removal may be a repeated one, and routers may still lack the first.
    if (!last) return HeartbeatResult{.leaving = true};
    record = std::move(*last);
    record.state = TargetState::kGone;
    // Supersedes every heartbeat of this incarnation that is still in flight.
    record.sequence = std::max(record.sequence, kRemovedSequence);
  }
  const Result<RegistrationChange> change = this->registrations.Register(now, record);
  if (!change) return tl::unexpected(change.error());
  const bool directory_changed =
      *change == RegistrationChange::kChanged ||
      (*change == RegistrationChange::kRenewed && !this->directory.Find(record.target));
  return HeartbeatResult{.directory_changed = directory_changed && this->Merge(now, record),
                         .leaving = remove || record.state == TargetState::kDraining};
}

std::vector<TargetRecord> TargetHeartbeatHandler::Expire(Time now) {
  std::vector<TargetRecord> gone = this->registrations.Expire(now);
  std::erase_if(gone, [&](const TargetRecord& record) { return !this->Merge(now, record); });
  return gone;
}

}  // namespace peridotgauge
