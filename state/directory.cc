// Merging, deltas and expiry of the target directory.
#include "state/directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridotgauge {
namespace {

void Append(std::string& bytes, uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8) {
    bytes.push_back(static_cast<char>((number >> shift) & 0xff));
  }
}

void Append(std::string& bytes, const std::string& text) {
  Append(bytes, static_cast<uint64_t>(text.size()));
  bytes += text;
}

std::pair<uint64_t, uint64_t> VersionKey(const TargetRecord& record) {
  return {record.incarnation, record.sequence};
}

// These fields do not change within an incarnation. They are not known of a target whose departure
// an earlier leader has recorded.
bool SameProcess(const TargetRecord& a, const TargetRecord& b) {
  if (a.address.empty() || b.address.empty()) return true;
  return a.address == b.address && a.service == b.service && a.data_centre == b.data_centre;
}

// Upper estimate of the encoded size, with offsets, lengths and padding.
size_t EncodedSize(const TargetRecord& record) {
  constexpr size_t kFixedBytes = 160;
  return kFixedBytes + record.target.size() + record.address.size() + record.service.size() +
         record.data_centre.size() + record.registrar.size() +
         record.holds.size() * sizeof(wire::Holding);
}

}  // namespace

uint64_t DigestOf(const TargetRecord& record) {
  std::string bytes;
  Append(bytes, record.target);
  Append(bytes, record.address);
  Append(bytes, record.service);
  Append(bytes, record.data_centre);
  Append(bytes, record.incarnation);
  Append(bytes, record.sequence);
  Append(bytes, static_cast<uint64_t>(record.state));
  Append(bytes, static_cast<uint64_t>(record.slots));
  Append(bytes, static_cast<uint64_t>(record.connections));
  Append(bytes, static_cast<uint64_t>(record.holds.size()));
  for (const Holding& held : record.holds) {
    Append(bytes, held.snapshot);
    Append(bytes, static_cast<uint64_t>(held.shard));
    Append(bytes, static_cast<uint64_t>(held.shards));
  }
  Append(bytes, record.registrar);
  return XXH3_64bits(bytes.data(), bytes.size());
}

void Directory::StartEpoch(Time now, uint64_t new_epoch, Duration collect_time) {
  this->epoch = new_epoch;
  // Version 0 is reserved for copies that need all records.
  this->version = 1;
  this->bytes = 0;
  this->digest = 0;
  this->collecting = true;
  this->collect_until = now + collect_time;
  this->min_delta_version = 0;
  this->entries.clear();
  this->by_version.clear();
  this->fully_reported.clear();
  this->ApplyDepartures(now);
}

bool Directory::Merge(Time now, const std::string& registrar,
                      const std::vector<TargetRecord>& records, bool full) {
  bool changed = false;
  std::set<std::string> named;
  for (TargetRecord record : records) {
    record.registrar = registrar;
    if (full) named.insert(record.target);
    if (this->MergeRecord(now, record)) changed = true;
  }
  if (!full) return changed;
  this->fully_reported.insert(registrar);
  for (auto& [name, entry] : this->entries) {
    if (entry.gone_since || entry.orphaned_since || entry.record.registrar != registrar) continue;
    if (named.count(name) == 0) entry.orphaned_since = now;
  }
  return changed;
}

bool Directory::MergeRecord(Time now, const TargetRecord& record) {
  if (this->HasDeparted(record)) {
    ++this->counters.stale;
    return false;
  }
  const auto found = this->entries.find(record.target);
  if (!this->FitsLimits(found == this->entries.end() ? nullptr : &found->second, record)) {
    ++this->counters.refused;
    return false;
  }
  if (found == this->entries.end()) {
    this->Store(now, this->entries[record.target], record);
    return true;
  }
  Entry& entry = found->second;
  switch (Classify(entry, record)) {
    case Decision::kAccept:
      this->Store(now, entry, record);
      return true;
    case Decision::kSame:
      entry.orphaned_since.reset();
      return false;
    case Decision::kStale:
      ++this->counters.stale;
      return false;
    case Decision::kConflict:
      ++this->counters.conflicts;
      return false;
  }
  return false;
}

bool Directory::FitsLimits(const Entry* known, const TargetRecord& record) const {
  if (known == nullptr && this->entries.size() >= kMaxTargets) return false;
  const size_t before = known == nullptr ? 0 : EncodedSize(known->record);
  const size_t after = EncodedSize(record);
  return after <= before || this->bytes - before + after <= kMaxDirectoryBytes;
}

Directory::Decision Directory::Classify(const Entry& entry, const TargetRecord& record) {
  const TargetRecord& known = entry.record;
  if (record.incarnation == known.incarnation && !SameProcess(record, known)) {
    return Decision::kConflict;
  }
  if (VersionKey(record) < VersionKey(known)) return Decision::kStale;
  if (VersionKey(record) > VersionKey(known)) return Decision::kAccept;
  if (record == known) return Decision::kSame;
  const bool gone = record.state == TargetState::kGone;
  // The registrar reports the expired lease of a registration under its last sequence.
  if (gone && !entry.gone_since && record.registrar == known.registrar) return Decision::kAccept;
  if (!gone && entry.removed_by_directory) return Decision::kAccept;
  return Decision::kStale;
}

void Directory::Store(Time now, Entry& entry, TargetRecord record) {
  if (entry.version > 0) {
    this->bytes -= EncodedSize(entry.record);
    if (!entry.gone_since) this->digest -= DigestOf(entry.record);
  }
  this->by_version.erase(entry.version);
  entry.record = std::move(record);
  this->bytes += EncodedSize(entry.record);
  entry.version = ++this->version;
  this->by_version.emplace(entry.version, entry.record.target);
  entry.removed_by_directory = false;
  entry.orphaned_since.reset();
  if (entry.record.state == TargetState::kGone) {
    entry.gone_since = now;
  } else {
    entry.gone_since.reset();
    this->digest += DigestOf(entry.record);
  }
}

void Directory::Drop(Time now, Entry& entry) {
  TargetRecord record = entry.record;
  record.state = TargetState::kGone;
  this->Store(now, entry, std::move(record));
  entry.removed_by_directory = true;
}

bool Directory::HasDeparted(const TargetRecord& record) const {
  if (this->departures != nullptr && this->departures->Supersedes(record)) return true;
  const auto found = this->entries.find(record.target);
  return found != this->entries.end() && HasReportedDeparture(found->second) &&
         VersionKey(record) < VersionKey(found->second.record);
}

bool Directory::HasReportedDeparture(const Entry& entry) {
  return entry.record.state == TargetState::kDraining ||
         (entry.gone_since && !entry.removed_by_directory);
}

bool Directory::ApplyDepartures(Time now) {
  if (this->departures == nullptr) return false;
  const uint64_t before = this->version;
  for (const auto& [target, departure] : this->departures->All()) {
    const auto found = this->entries.find(target);
    if (found == this->entries.end()) {
      this->Store(now, this->entries[target],
                  {.target = target,
                   .incarnation = departure.incarnation,
                   .sequence = departure.sequence,
                   .state = TargetState::kGone});
    } else if (!found->second.gone_since && this->HasDeparted(found->second.record)) {
      this->Drop(now, found->second);
    }
  }
  return this->version != before;
}

std::optional<TargetRecord> Directory::LastRecord(const std::string& target) const {
  const auto found = this->entries.find(target);
  if (found == this->entries.end()) return std::nullopt;
  return found->second.record;
}

std::optional<Departure> Directory::LastDeparture(const std::string& target) const {
  const auto found = this->entries.find(target);
  if (found == this->entries.end()) return std::nullopt;
  if (!HasReportedDeparture(found->second)) return std::nullopt;
  const TargetRecord& record = found->second.record;
  return Departure{target, record.incarnation, record.sequence};
}

bool Directory::Tick(Time now, const RouterMap& view) {
  const uint64_t before = this->version;
  for (auto& [name, entry] : this->entries) {
    if (entry.gone_since) continue;
    const std::string& registrar = entry.record.registrar;
    const bool present = registrar == this->own_registrar || view.count(registrar) > 0;
    if (!entry.orphaned_since && !present) entry.orphaned_since = now;
    if (entry.orphaned_since && now - *entry.orphaned_since >= kCollectTime) this->Drop(now, entry);
  }
  std::erase_if(this->fully_reported, [&](const std::string& id) {
    return id != this->own_registrar && view.count(id) == 0;
  });
  this->Prune(now);
  if (this->collecting && now >= this->collect_until) {
    this->collecting = false;
    this->min_delta_version = ++this->version;
  }
  return this->version != before;
}

void Directory::Prune(Time now) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    if (!entry.gone_since || now - *entry.gone_since < kTombstoneTime) {
      ++it;
      continue;
    }
    // A copy that has not applied this removal can no longer get it in a delta.
    this->min_delta_version = std::max(this->min_delta_version, entry.version);
    this->by_version.erase(entry.version);
    this->bytes -= EncodedSize(entry.record);
    it = this->entries.erase(it);
  }
}

std::optional<TargetRecord> Directory::Find(const std::string& target) const {
  const auto found = this->entries.find(target);
  if (found == this->entries.end() || found->second.gone_since) return std::nullopt;
  return found->second.record;
}

bool Directory::NeedsAll(uint64_t copy_epoch, uint64_t copy_version) const {
  if (copy_epoch != this->epoch || copy_version == 0) return true;
  return !this->collecting && copy_version < this->min_delta_version;
}

DirectoryDelta Directory::DeltaSince(uint64_t copy_epoch, uint64_t copy_version) const {
  DirectoryDelta delta{.epoch = this->epoch,
                       .version = this->version,
                       .digest = this->digest,
                       .collecting = this->collecting};
  const uint64_t base = copy_epoch == this->epoch ? copy_version : 0;
  delta.full = !this->collecting && this->NeedsAll(copy_epoch, copy_version);
  if (delta.full) {
    delta.targets = this->Targets();
    return delta;
  }
  for (auto it = this->by_version.upper_bound(base); it != this->by_version.end(); ++it) {
    delta.targets.push_back(this->entries.at(it->second).record);
  }
  return delta;
}

std::vector<TargetRecord> Directory::Targets() const {
  std::vector<TargetRecord> targets;
  for (const auto& [name, entry] : this->entries) {
    if (!entry.gone_since) targets.push_back(entry.record);
  }
  return targets;
}

}  // namespace peridotgauge
