// The registrations of targets at this router. Each is a lease that the target renews.
//
// Use:
//   Result<RegistrationChange> change = registrations.Register(now, record);
//   if (change == RegistrationChange::kChanged) SyncNow();
//   control.Register(record);  // sends it to the leader through the outbox
//   for (TargetRecord& gone : registrations.Expire(now)) control.Register(std::move(gone));
//
// Contract: a registration is valid for kRegistrationLease after its arrival. Of two registrations
// of one target the one with the higher (incarnation, sequence) wins, in any order of arrival. An
// expired one is reported once, with the state kGone. RegistrationOutbox keeps the records that
// still have to be sent to the leader, and the full list for a new leader.
#ifndef PERIDOTGAUGE_STATE_REGISTRATION_H_
#define PERIDOTGAUGE_STATE_REGISTRATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

constexpr Duration kRegistrationLease = Seconds(3);
constexpr size_t kMaxRegistrations = 10'000;

enum class RegistrationChange : uint8_t {
  kChanged,  // new target, incarnation, address, state, holdings or limits
  kRenewed,  // only the lease was extended, and the target warms up as it was last reported
  kStale,    // not newer than the known registration; ignored
};

class Registrations {
 public:
  explicit Registrations(std::string router, Duration lease = kRegistrationLease)
      : router(std::move(router)), lease(lease) {}

  // Processes a registration or renewal and sets the registrar of `record`. Returns kBadRequest if
  // a value is out of range (the detail names the field), kConflict if the incarnation is
  // registered with another address or service, kOverloaded if this router holds kMaxRegistrations.
  Result<RegistrationChange> Register(Time now, TargetRecord& record);
  // Removes registrations whose lease has ended. Returns them with the state kGone, except for
  // targets that had reported this state themselves.
  std::vector<TargetRecord> Expire(Time now);
  // Returns the earliest end of a lease, or nothing if there are no registrations.
  std::optional<Time> NextExpiry() const;
  // Removes a registration that a record of the directory supersedes: the target has registered
  // with another router.
  void RemoveSuperseded(const TargetRecord& record);

  // Removes all registrations without reporting them.
  void Clear() { this->entries.clear(); }
  std::vector<TargetRecord> All() const;
  size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    TargetRecord record;
    Time lease_end;
    // When the target is warm, according to its last registration with the result kChanged; nothing
    // if it was warm.
    std::optional<Time> warm_at;
  };

  std::string router;
  Duration lease;
  std::map<std::string, Entry, std::less<>> entries;  // by target
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_REGISTRATION_H_
