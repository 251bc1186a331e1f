// The registrations of a router that the leader has to learn of.
//
// Use:
//   outbox.Put(record);                       // on each registration, renewal and lease expiry
//   std::vector<TargetRecord> changes = outbox.Pending(copy);   // for the next sync request
//   outbox.Acknowledge(changes);              // when its reply has come
//   outbox.ResendAll();                       // after a failure or a change of leader
//
// Contract: renewals without a change are not sent, except when the directory copy shows another
// registrar, an older state or no record for a target that this router holds. That repairs every
// loss, whatever its cause.
#ifndef PERIDOTGAUGE_REGISTRATION_OUTBOX_H_
#define PERIDOTGAUGE_REGISTRATION_OUTBOX_H_

#include <map>
#include <string>
#include <vector>

#include "directory_copy.h"
#include "records.h"

namespace peridotgauge {

class RegistrationOutbox {
 public:
  explicit RegistrationOutbox(std::string registrar) : registrar(std::move(registrar)) {}

  // Notes the newest registration of a target; state kGone also reports an expired lease. An older
  // record than the known one is ignored. Returns true if the leader has to learn of it.
  bool Put(TargetRecord record);

  // The records to send now: changes that were not acknowledged, and those that `copy` lacks.
  std::vector<TargetRecord> Pending(const DirectoryCopy& copy) const;
  // All live registrations and unacknowledged removals, for a request with full_registrations.
  std::vector<TargetRecord> All() const;
  // The leader has merged these records.
  void Acknowledge(const std::vector<TargetRecord>& sent);
  // Makes all registrations unacknowledged.
  void ResendAll();
  size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    TargetRecord record;
    bool acknowledged = false;
  };
  std::string registrar;
  std::map<std::string, Entry> entries;  // a gone record is erased when it is acknowledged
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_REGISTRATION_OUTBOX_H_
