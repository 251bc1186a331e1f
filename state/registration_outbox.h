// The registrations of a router that have to be sent to the leader.
//
// Use:
//   outbox.Update(now, record);              // on each registration, renewal and lease expiry
//   auto records = outbox.RecordsToSend(now, copy);   // for the next sync request
//   outbox.Acknowledge(records);             // on the reply to that request
//   outbox.RemoveSuperseded(delta.targets);  // on each delta from the leader
//
// Contract: renewals without a change are not sent, unless the directory copy has another
// registrar, an older state or no record for a target that this router holds. This repairs any lost
// record, regardless of the cause. A removal is kept for kTombstoneTime and resent to each new
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

  // Stores the newest registration of a target; the state kGone may also report an expired lease.
  // Ignores a record that is older than the stored one.
  void Update(Time now, TargetRecord record);

  // Returns the records to send now: changes that were not acknowledged, and records that `copy`
  // lacks. The latter are sent at most once per kRepairInterval, because the leader may have
  // rejected them.
  std::vector<TargetRecord> RecordsToSend(Time now, const DirectoryCopy& copy) const;
  // Returns all records, for a request with full_registrations.
  std::vector<TargetRecord> All() const;
  // Records that these were sent now; a repair of them waits for kRepairInterval.
  void MarkSent(Time now, const std::vector<TargetRecord>& sent);
  // Records that the leader has merged these records.
  void Acknowledge(const std::vector<TargetRecord>& sent);
  // Removes registrations that these records of the leader supersede: their targets have registered
  // with another router.
  void RemoveSuperseded(const std::vector<TargetRecord>& records);
  // Removes entries that have been gone for kTombstoneTime.
  void Prune(Time now);
  size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    TargetRecord record;
    bool acknowledged = false;
    std::optional<Time> last_sent;   // time of the last send
    std::optional<Time> gone_since;  // time since which the record is gone
  };
  bool NeedsRepair(Time now, const Entry& entry, const DirectoryCopy& copy) const;

  std::string registrar;
  std::map<std::string, Entry> entries;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_REGISTRATION_OUTBOX_H_
