// Heartbeats of targets at the leader.
#include "state/target_intake.h"

#include <algorithm>
#include <optional>

namespace peridotgauge {
namespace {

// Heartbeats of a target are numbered far below this.
constexpr uint64_t kRemovedSequence = uint64_t{1} << 62U;

}  // namespace

void TargetIntake::Begin(Time now, uint64_t term) {
  this->directory.Begin(now, term, std::max(kCollectTime, this->lease));
  this->registrations.Clear();
  this->directory.SetOwnRegistrar(this->controller);
}

Result<Intake> TargetIntake::Take(Time now, TargetRecord record, bool remove) {
  if (remove) {
    std::optional<TargetRecord> last = this->directory.Find(record.target);
    if (!last && this->directory.Collecting()) {
      return Fail(ErrorCode::kUnavailable, "the directory is being collected");
    }
    if (!last) return Intake{};
    record = std::move(*last);
    record.state = TargetState::kGone;
    // Above every heartbeat of this incarnation that may still be on its way.
    record.sequence = std::max(record.sequence, kRemovedSequence);
  }
  const Result<RegistrationChange> change = this->registrations.Register(now, record);
  if (!change) return tl::unexpected(change.error());
  const bool news =
      *change == RegistrationChange::kChanged ||
      (*change == RegistrationChange::kRenewed && !this->directory.Find(record.target));
  return Intake{.news = news && this->Merge(now, record),
                .leaving = remove || record.state == TargetState::kDraining};
}

std::vector<TargetRecord> TargetIntake::Expire(Time now) {
  std::vector<TargetRecord> gone = this->registrations.Expire(now);
  std::erase_if(gone, [&](const TargetRecord& record) { return !this->Merge(now, record); });
  return gone;
}

}  // namespace peridotgauge
