// The target registrations that this router holds, as leases.
#include "registration.h"

#include <algorithm>

namespace peridotgauge {
namespace {

Result<void> CheckValues(const TargetRecord& record) {
  const auto refuse = [&](std::string_view field, std::string_view allowed) {
    return Fail(ErrorCode::kBadRequest, "registration of \"" + record.target +
                                            "\": " + std::string(field) + " must be " +
                                            std::string(allowed));
  };
  if (record.target.empty()) return refuse("target", "a name");
  if (record.service.empty()) return refuse("service", "a name");
  if (record.slots == 0) return refuse("slots", "at least 1");
  if (record.connections < record.slots) return refuse("connections", "at least slots");
  if (record.holds.size() > kMaxHoldings) return refuse("holds", "at most 4096 entries");
  for (const Holding& held : record.holds) {
    if (held.shard >= held.shards) return refuse("holds[].shard", "below holds[].shards");
  }
  return {};
}

// True if only the sequence differs.
bool SameContent(const TargetRecord& a, TargetRecord b) {
  b.sequence = a.sequence;
  return a == b;
}

}  // namespace

Result<RegistrationChange> Registrations::Register(Time now, TargetRecord& record) {
  if (Result<void> valid = CheckValues(record); !valid) return tl::unexpected(valid.error());
  record.registrar = this->router;
  auto known = this->entries.find(record.target);
  if (known == this->entries.end()) {
    if (this->entries.size() >= kMaxRegistrations) {
      return Fail(ErrorCode::kOverloaded, "this router holds too many registrations");
    }
    this->entries.emplace(record.target, Entry{record, now + kRegistrationLease});
    return RegistrationChange::kChanged;
  }
  Entry& entry = known->second;
  const bool same_start = record.incarnation == entry.record.incarnation;
  if (same_start &&
      (record.address != entry.record.address || record.service != entry.record.service)) {
    return Fail(ErrorCode::kConflict, "target \"" + record.target + "\" is registered as " +
                                          entry.record.service + " at " + entry.record.address +
                                          " with this incarnation");
  }
  if (!record.Supersedes(entry.record)) return RegistrationChange::kStale;
  const bool changed = !SameContent(entry.record, record);
  entry = {record, now + kRegistrationLease};
  return changed ? RegistrationChange::kChanged : RegistrationChange::kRenewed;
}

std::vector<TargetRecord> Registrations::Expire(Time now) {
  std::vector<TargetRecord> gone;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (entry->second.lease_end > now) {
      ++entry;
      continue;
    }
    TargetRecord record = std::move(entry->second.record);
    // The same sequence would not supersede the record that the directory has.
    ++record.sequence;
    record.state = TargetState::kGone;
    gone.push_back(std::move(record));
    entry = this->entries.erase(entry);
  }
  return gone;
}

std::optional<Time> Registrations::NextExpiry() const {
  std::optional<Time> next;
  for (const auto& [target, entry] : this->entries) {
    next = std::min(next.value_or(entry.lease_end), entry.lease_end);
  }
  return next;
}

void Registrations::Observe(const TargetRecord& record) {
  auto known = this->entries.find(record.target);
  if (known == this->entries.end() || record.registrar == this->router) return;
  if (record.Supersedes(known->second.record)) this->entries.erase(known);
}

std::vector<TargetRecord> Registrations::All() const {
  std::vector<TargetRecord> all;
  for (const auto& [target, entry] : this->entries) all.push_back(entry.record);
  return all;
}

}  // namespace peridotgauge
