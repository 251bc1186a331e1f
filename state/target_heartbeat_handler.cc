// Handling of target heartbeats at the leader.
#include "state/target_heartbeat_handler.h"

#include <optional>

namespace peridotgauge {

void TargetHeartbeatHandler::StartTerm(Time now, uint64_t term) {
  this->directory.StartEpoch(now, term, std::max(kCollectTime, this->lease));
  this->registrations.Clear();
  this->directory.SetOwnRegistrar(this->controller);
}

Result<HeartbeatResult> TargetHeartbeatHandler::Handle(Time now, TargetRecord record, bool remove) {
  if (remove) return this->Remove(now, record.target);
  if (this->directory.HasDeparted(record)) {
    return HeartbeatResult{.leaving = record.state == TargetState::kDraining, .stale = true};
  }
  const Result<RegistrationChange> change = this->registrations.Register(now, record);
  if (!change) return tl::unexpected(change.error());
  const bool directory_changed =
      *change == RegistrationChange::kChanged ||
      (*change == RegistrationChange::kRenewed && !this->directory.Find(record.target));
  return HeartbeatResult{.directory_changed = directory_changed && this->Merge(now, record),
                         .leaving = record.state == TargetState::kDraining,
                         .stale = *change == RegistrationChange::kStale};
}

// The removal supersedes every heartbeat of this incarnation that is still in flight. It needs the
// incarnation, which the target does not state, from its last record.
Result<HeartbeatResult> TargetHeartbeatHandler::Remove(Time now, const std::string& target) {
  std::optional<TargetRecord> last = this->directory.LastRecord(target);
  if (!last && this->directory.Collecting()) {
    return Fail(ErrorCode::kUnavailable,
                "directory: the new leader is still collecting registrations");
  }
  if (!last) return HeartbeatResult{.leaving = true};
  const bool registered = last->state != TargetState::kGone;
  last->state = TargetState::kGone;
  last->sequence = kRemovedSequence;
  if (registered) {
    const Result<RegistrationChange> change = this->registrations.Register(now, *last);
    if (!change) return tl::unexpected(change.error());
  }
  return HeartbeatResult{.directory_changed = this->Merge(now, *last), .leaving = true};
}

std::vector<TargetRecord> TargetHeartbeatHandler::Expire(Time now) {
  std::vector<TargetRecord> gone = this->registrations.Expire(now);
  std::erase_if(gone, [&](const TargetRecord& record) { return !this->Merge(now, record); });
  return gone;
}

}  // namespace peridotgauge
