// Handles heartbeats of targets at the leader: decides which of them change the directory, and
// expires targets whose heartbeats are overdue.
//
// Use:
//   handler.StartTerm(now, term);                         // on gaining leadership
//   Result<HeartbeatResult> result = handler.Handle(now, record, remove);
//   if (result && result->directory_changed) NotifyRouters();
//   for (const TargetRecord& gone : handler.Expire(now)) ...
//
// Contract: a heartbeat does not restore a target that was removed under the same incarnation, also
// if an earlier leader removed it (Directory::SetDepartures()). A
// heartbeat that only renews the lease leaves the directory unchanged, so no router is notified.
#ifndef PERIDOTGAUGE_STATE_TARGET_HEARTBEAT_HANDLER_H_
#define PERIDOTGAUGE_STATE_TARGET_HEARTBEAT_HANDLER_H_

#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "core/types.h"
#include "state/directory.h"
#include "state/registration.h"

namespace peridotgauge {

// The effect of one heartbeat.
struct HeartbeatResult {
  bool directory_changed = false;
  bool leaving = false;  // the target gets no new work from now on
  bool stale = false;    // older than what is known of the target; ignored
  bool operator==(const HeartbeatResult&) const = default;
};

class TargetHeartbeatHandler {
 public:
  // `controller` is recorded as the registrar of the targets. `directory` must outlive this object.
  TargetHeartbeatHandler(std::string controller, Duration lease, Directory& directory)
      : controller(std::move(controller)),
        lease(lease),
        directory(directory),
        registrations(this->controller, lease) {}

  // Starts a leadership term with an empty directory. Routers keep the targets that they know until
  // a heartbeat is overdue.
  void StartTerm(Time now, uint64_t term);
  // Processes a heartbeat or, with `remove`, a removal. Of a removal the target name is used and,
  // if the target is unknown, the incarnation, which is then the highest that the removal can refer
  // to. Without it (0) the removal of an unknown target changes nothing, and fails with
  // kUnavailable while a new leader still collects registrations. Other errors are those of
  // Registrations::Register(), and kOverloaded if too many unknown targets were removed.
  Result<HeartbeatResult> Handle(Time now, TargetRecord record, bool remove);
  // Removes the targets whose heartbeats are overdue and returns them.
  std::vector<TargetRecord> Expire(Time now);
  // Returns the number of targets whose heartbeats are not overdue.
  size_t Targets() const { return this->registrations.Size(); }

 private:
  Result<HeartbeatResult> Remove(Time now, const TargetRecord& removal);
  Result<HeartbeatResult> RemoveUnknown(Time now, const TargetRecord& removal);
  bool Merge(Time now, const TargetRecord& record) {
    return this->directory.Merge(now, this->controller, {record}, /*full=*/false);
  }

  std::string controller;
  Duration lease;
  Directory& directory;
  Registrations registrations;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_TARGET_HEARTBEAT_HANDLER_H_
