// Registrations of targets at one router.
#include "state/registration.h"

#include <algorithm>

#include "core/address.h"
#include "core/strict_json.h"
#include "core/warmup_limit.h"
#include "state/departures.h"

namespace peridotgauge {
namespace {

constexpr uint32_t kMaxSlots = 1'024;
constexpr uint32_t kMaxConnections = 65'535;
constexpr size_t kMaxTargetNameBytes = 128;

// Target names may contain '/'. Example: "verstas-1/a".
bool IsTargetName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxTargetNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c == '/' || IsValidName(std::string_view(&c, 1)); });
}

tl::unexpected<Error> InvalidField(std::string_view field, const std::string& value,
                                   std::string_view allowed) {
  return Fail(ErrorCode::kBadRequest,
              std::string(field) + ": " + value + "; allowed is " + std::string(allowed));
}

Result<void> ValidateHoldings(const std::vector<Holding>& holds) {
  if (holds.size() > kMaxHoldings) {
    return InvalidField("holds", std::to_string(holds.size()) + " entries", "a shorter list");
  }
  for (const Holding& held : holds) {
    if (held.shards == 0 || held.shard >= held.shards) {
      return InvalidField("holds",
                          std::to_string(held.shard) + " of " + std::to_string(held.shards),
                          "a shard below the number of shards");
    }
  }
  return {};
}

Result<void> Validate(const TargetRecord& record) {
  if (!IsTargetName(record.target)) {
    return InvalidField("target", "\"" + record.target + "\"",
                        "1 to 128 letters, digits, '-', '_', '.' or '/'");
  }
  if (!IsValidName(record.service)) {
    return InvalidField("service", "\"" + record.service + "\"", kNameSyntax);
  }
  if (!IsValidName(record.data_centre)) {
    return InvalidField("data_centre", "\"" + record.data_centre + "\"", kNameSyntax);
  }
  if (const Result<Endpoint> endpoint = ParseAddress(record.address); !endpoint) {
    return Fail(ErrorCode::kBadRequest, "address: " + endpoint.error().detail);
  }
  if (record.sequence > kRemovedSequence) {
    return InvalidField("sequence", std::to_string(record.sequence),
                        "at most " + std::to_string(kRemovedSequence));
  }
  if (record.slots == 0 || record.slots > kMaxSlots) {
    return InvalidField("slots", std::to_string(record.slots), "1 to 1024");
  }
  if (record.connections == 0 || record.connections > kMaxConnections) {
    return InvalidField("connections", std::to_string(record.connections), "1 to 65535");
  }
  return ValidateHoldings(record.holds);
}

// Returns true if at most the sequence and the warm-up time differ.
bool SameContent(const TargetRecord& one, TargetRecord other) {
  other.sequence = one.sequence;
  other.warmup = one.warmup;
  return one == other;
}

std::optional<Time> WarmAt(Time now, const TargetRecord& record) {
  return record.warmup > Duration(0) ? std::optional(now + record.warmup) : std::nullopt;
}

// Returns true if routers must learn how long a target stays cold. They count down the time that
// they know, so only a later end counts, and the end itself: the record that is kept for routers
// that join later must not say that the target is cold.
bool WarmupChanged(std::optional<Time> reported, std::optional<Time> warm_at) {
  if (!reported || !warm_at) return reported.has_value() != warm_at.has_value();
  return *warm_at > *reported + kWarmupReportTolerance;
}

}  // namespace

Result<RegistrationChange> Registrations::Register(Time now, TargetRecord& record) {
  record.registrar = this->router;
  if (Result<void> checked = Validate(record); !checked) return tl::unexpected(checked.error());
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end()) {
    if (this->entries.size() >= kMaxRegistrations) {
      return Fail(ErrorCode::kOverloaded, "this router has reached its limit of registrations");
    }
    this->entries[record.target] = {
        .record = record, .lease_end = now + this->lease, .warm_at = WarmAt(now, record)};
    return RegistrationChange::kChanged;
  }
  Entry& entry = found->second;
  const TargetRecord& known = entry.record;
  if (known.incarnation == record.incarnation &&
      (known.address != record.address || known.service != record.service)) {
    return Fail(ErrorCode::kConflict, "target \"" + record.target + "\" is registered as " +
                                          known.service + " at " + known.address +
                                          " under the same incarnation");
  }
  if (!record.Supersedes(known)) return RegistrationChange::kStale;
  const bool same =
      SameContent(known, record) && !WarmupChanged(entry.warm_at, WarmAt(now, record));
  entry = {.record = record,
           .lease_end = now + this->lease,
           .warm_at = same ? entry.warm_at : WarmAt(now, record)};
  return same ? RegistrationChange::kRenewed : RegistrationChange::kChanged;
}

std::vector<TargetRecord> Registrations::Expire(Time now) {
  std::vector<TargetRecord> gone;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (now < entry->second.lease_end) {
      ++entry;
      continue;
    }
    // A target that has reported itself as gone is not reported again.
    if (entry->second.record.state != TargetState::kGone) {
      entry->second.record.state = TargetState::kGone;
      gone.push_back(std::move(entry->second.record));
    }
    entry = this->entries.erase(entry);
  }
  return gone;
}

std::optional<Time> Registrations::NextExpiry() const {
  std::optional<Time> next;
  for (const auto& [target, entry] : this->entries) {
    if (!next || entry.lease_end < *next) next = entry.lease_end;
  }
  return next;
}

void Registrations::RemoveSuperseded(const TargetRecord& record) {
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end() || record.registrar == this->router) return;
  if (record.Supersedes(found->second.record)) this->entries.erase(found);
}

std::vector<TargetRecord> Registrations::All() const {
  std::vector<TargetRecord> out;
  for (const auto& [target, entry] : this->entries) out.push_back(entry.record);
  return out;
}

}  // namespace peridotgauge
