// Heartbeats of targets at the leader: which of them change the directory, and which end a target.
//
// Use:
//   intake.Begin(now, term);                              // on gaining leadership
//   Result<Intake> taken = intake.Take(now, record, remove);
//   if (taken && taken->news) WakeRouters();
//   for (const TargetRecord& gone : intake.Expire(now)) ...
//
// Contract: a target that was removed is not brought back by a heartbeat of the same incarnation. A
// renewal changes nothing in the directory, so that it wakes no router.
#ifndef PERIDOTGAUGE_STATE_TARGET_INTAKE_H_
#define PERIDOTGAUGE_STATE_TARGET_INTAKE_H_

#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "core/types.h"
#include "state/directory.h"
#include "state/registration.h"

namespace peridotgauge {

// What one heartbeat did.
struct Intake {
  bool news = false;     // the directory has changed
  bool leaving = false;  // the target gets no new work from now on
  bool operator==(const Intake&) const = default;
};

class TargetIntake {
 public:
  // The registrar of the targets is `controller`. `directory` outlives this object.
  TargetIntake(std::string controller, Duration lease, Directory& directory)
      : controller(std::move(controller)),
        lease(lease),
        directory(directory),
        registrations(this->controller, lease) {}

  // Starts a new leadership, and the directory with it. Routers keep targets that they know until a
  // heartbeat is overdue.
  void Begin(Time now, uint64_t term);
  // Takes a heartbeat or, with `remove`, a departure, of which only the name is read. kUnavailable
  // for a departure of a target that a new leader does not know yet, errors of
  // Registrations::Register() otherwise.
  Result<Intake> Take(Time now, TargetRecord record, bool remove);
  // Removes the targets whose heartbeats are overdue, and returns them.
  std::vector<TargetRecord> Expire(Time now);

 private:
  bool Merge(Time now, const TargetRecord& record) {
    return this->directory.Merge(now, this->controller, {record}, /*full=*/false);
  }

  std::string controller;
  Duration lease;
  Directory& directory;
  Registrations registrations;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_TARGET_INTAKE_H_
