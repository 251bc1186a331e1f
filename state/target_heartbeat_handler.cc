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
  if (remove) return this->Remove(now, record);
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
Result<HeartbeatResult> TargetHeartbeatHandler::Remove(Time now, const TargetRecord& removal) {
  std::optional<TargetRecord> last = this->directory.LastRecord(removal.target);
  if (!last) return this->RemoveUnknown(now, removal);
  const bool registered = last->state != TargetState::kGone;
  if (!registered && last->sequence >= kUnknownRemovedSequence) {
    return HeartbeatResult{.leaving = true};  // sent again
  }
  last->state = TargetState::kGone;
  last->sequence = kRemovedSequence;
  if (registered) {
    const Result<RegistrationChange> change = this->registrations.Register(now, *last);
    if (!change) return tl::unexpected(change.error());
  }
  return HeartbeatResult{.directory_changed = this->Merge(now, *last), .leaving = true};
}

// Routers may still know the target, from the leader before, and one of its heartbeats may still be
// in flight. Both are superseded at once, also while this leader collects registrations.
Result<HeartbeatResult> TargetHeartbeatHandler::RemoveUnknown(Time now,
                                                              const TargetRecord& removal) {
  if (removal.incarnation == 0) {
    if (!this->directory.Collecting()) return HeartbeatResult{.leaving = true};
    return Fail(ErrorCode::kUnavailable,
                "directory: the new leader is still collecting registrations");
  }
  const bool merged = this->Merge(now, {.target = removal.target,
                                        .incarnation = removal.incarnation,
                                        .sequence = kUnknownRemovedSequence,
                                        .state = TargetState::kGone});
  if (!merged) return Fail(ErrorCode::kOverloaded, "directory: no room for a removal");
  return HeartbeatResult{.directory_changed = true, .leaving = true};
}

std::vector<TargetRecord> TargetHeartbeatHandler::Expire(Time now) {
  std::vector<TargetRecord> gone = this->registrations.Expire(now);
  std::erase_if(gone, [&](const TargetRecord& record) { return !this->Merge(now, record); });
  return gone;
}

}  // namespace peridotgauge
