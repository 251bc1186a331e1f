// Applies deltas to a router's copy of the directory.
#include "state/directory_copy.h"

namespace peridotgauge {

bool DirectoryCopy::Apply(const DirectoryDelta& delta) {
  if (delta.epoch < this->epoch) return false;
  if (delta.full) {
    if (delta.epoch == this->epoch && delta.version < this->version) return false;
    return this->Replace(delta);
  }
  if (delta.collecting) return this->Update(delta);
  if (delta.epoch != this->epoch || this->has_unconfirmed_records || this->version == 0) {
    // The delta does not apply to this state; request all records.
    this->version = 0;
    return false;
  }
  if (delta.version < this->version) return false;
  const bool changed = this->Update(delta);
  this->CheckDigest(delta.digest);
  return changed;
}

bool DirectoryCopy::Replace(const DirectoryDelta& delta) {
  std::map<std::string, TargetRecord> before;
  before.swap(this->targets);
  this->digest = 0;
  for (const TargetRecord& record : delta.targets) this->Set(record);
  for (const auto& [name, record] : before) {
    if (this->targets.count(name) == 0) this->RecordRemoval(record);
  }
  this->epoch = delta.epoch;
  this->version = delta.version;
  this->has_unconfirmed_records = false;
  this->CheckDigest(delta.digest);
  return before != this->targets;
}

bool DirectoryCopy::Update(const DirectoryDelta& delta) {
  if (delta.epoch == this->epoch && delta.version < this->version) return false;
  bool changed = false;
  for (const TargetRecord& record : delta.targets) {
    if (delta.collecting && this->IsOutdated(record)) continue;
    if (this->Set(record)) changed = true;
  }
  this->epoch = delta.epoch;
  this->version = delta.version;
  this->has_unconfirmed_records = delta.collecting;
  return changed;
}

bool DirectoryCopy::IsOutdated(const TargetRecord& record) const {
  const TargetRecord* known = this->Find(record.target);
  if (known != nullptr) return known->Supersedes(record);
  const auto gone = this->removed.find(record.target);
  return gone != this->removed.end() && gone->second.Supersedes(record);
}

bool DirectoryCopy::Set(const TargetRecord& record) {
  const bool gone = record.state == TargetState::kGone;
  if (gone) this->RecordRemoval(record);
  const auto found = this->targets.find(record.target);
  if (found == this->targets.end() && gone) return false;
  if (found != this->targets.end()) {
    if (found->second == record) return false;
    this->digest -= DigestOf(found->second);
    this->targets.erase(found);
  }
  if (gone) return true;
  this->removed.erase(record.target);
  this->digest += DigestOf(record);
  this->targets.emplace(record.target, record);
  return true;
}

void DirectoryCopy::RecordRemoval(const TargetRecord& removed_record) {
  // Bounds the number of removed targets, since many of them never register again.
  if (this->removed.size() >= kMaxTargets) this->removed.clear();
  this->removed.insert_or_assign(removed_record.target, removed_record);
}

void DirectoryCopy::CheckDigest(uint64_t expected) {
  if (this->digest == expected) return;
  ++this->mismatches;
  this->version = 0;
}

const TargetRecord* DirectoryCopy::Find(const std::string& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? nullptr : &found->second;
}

}  // namespace peridotgauge
