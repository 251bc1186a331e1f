// The registrations of a router that the leader has to learn of.
//
// Use:
//   outbox.Update(now, record);                  // on each registration, renewal and lease expiry
//   std::vector<TargetRecord> changes = outbox.RecordsToSend(now, copy);   // for the next sync
//   request outbox.Acknowledge(changes);              // when its reply has come
//   outbox.RemoveSuperseded(delta.targets);            // news from the leader
//
// Contract: renewals without a change are not sent, except when the directory copy shows another
// registrar, an older state or no record for a target that this router holds. That repairs every
// loss, whatever its cause. A removal is remembered for kTombstoneTime and resent to each new
// leader, because another router may still hold an older registration of the same target.
#ifndef PERIDOTGAUGE_STATE_REGISTRATION_OUTBOX_H_
#define PERIDOTGAUGE_STATE_REGISTRATION_OUTBOX_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/records.h"
#include "state/directory_copy.h"

namespace peridotgauge {

constexpr Duration kRepairInterval = Seconds(1);

class RegistrationOutbox {
 public:
  explicit RegistrationOutbox(std::string registrar) : registrar(std::move(registrar)) {}

  // Notes the newest registration of a target; state kGone also reports an expired lease. An older
  // record than the known one is ignored.
  void Update(Time now, TargetRecord record);

  // The records to send now: changes that were not acknowledged, and those that `copy` lacks; the
  // latter at most once in kRepairInterval, because the leader may have refused them.
  std::vector<TargetRecord> RecordsToSend(Time now, const DirectoryCopy& copy) const;
  // Everything, for a request with full_registrations.
  std::vector<TargetRecord> All() const;
  // The records have been sent; a repair waits from now on.
  void MarkSent(Time now, const std::vector<TargetRecord>& sent);
  // The leader has merged these records.
  void Acknowledge(const std::vector<TargetRecord>& sent);
  // Forgets registrations that the leader's records supersede: their targets have moved on.
  void RemoveSuperseded(const std::vector<TargetRecord>& news);
  // Forgets old removals.
  void Prune(Time now);
  size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    TargetRecord record;
    bool acknowledged = false;
    std::optional<Time> sent;  // of the last sending
    std::optional<Time> gone;  // since when the record is gone
  };
  bool NeedsRepair(Time now, const Entry& entry, const DirectoryCopy& copy) const;

  std::string registrar;
  std::map<std::string, Entry> entries;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_REGISTRATION_OUTBOX_H_
