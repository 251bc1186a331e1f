// The target registrations that this router holds, as leases.
//
// Use:
//   Result<RegistrationChange> change = registrations.Register(now, record);
//   if (change == RegistrationChange::kChanged) SyncAtOnce();
//   control.Register(record);                             // the leader's copy, see the outbox
//   for (TargetRecord& gone : registrations.Expire(now)) control.Register(std::move(gone));
//
// Contract: a registration is valid for kRegistrationLease after it arrived. Of two registrations
// of one target the one with the larger (incarnation, sequence) counts, whatever their order of
// arrival. An expired one is reported once, with the state kGone. What the leader still has to
// learn, and the full resend to a new leader, is kept by RegistrationOutbox.
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
  kRenewed,  // only the lease was renewed
  kStale,    // older than the known registration; ignored
};

class Registrations {
 public:
  explicit Registrations(std::string router, Duration lease = kRegistrationLease)
      : router(std::move(router)), lease(lease) {}

  // Takes a registration or renewal and sets its registrar. kBadRequest if a value is out of range
  // (the detail names it), kConflict if the incarnation is known with another address or service,
  // kOverloaded if this router holds kMaxRegistrations.
  Result<RegistrationChange> Register(Time now, TargetRecord& record);
  // Forgets registrations whose lease has ended and returns them with the state kGone.
  std::vector<TargetRecord> Expire(Time now);
  // When Expire() has work next.
  std::optional<Time> NextExpiry() const;
  // Forgets a registration that the directory supersedes: the target registers elsewhere now.
  void RemoveSuperseded(const TargetRecord& record);

  // Forgets everything, without reports.
  void Clear() { this->entries.clear(); }
  std::vector<TargetRecord> All() const;
  size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    TargetRecord record;
    Time lease_end;
  };

  std::string router;
  Duration lease;
  std::map<std::string, Entry, std::less<>> entries;  // by target
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_REGISTRATION_H_
