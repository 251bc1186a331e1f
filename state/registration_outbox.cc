// Which registrations of a router are sent to the leader.
#include "state/registration_outbox.h"

#include <utility>

namespace peridotgauge {
namespace {

// True if the leader and the other routers cannot tell the two apart by what they use.
bool SameContent(TargetRecord a, const TargetRecord& b) {
  a.sequence = b.sequence;
  return a == b;
}

}  // namespace

void RegistrationOutbox::Update(Time now, TargetRecord record) {
  record.registrar = this->registrar;
  const bool is_gone = record.state == TargetState::kGone;
  const auto found = this->entries.find(record.target);
  if (found != this->entries.end()) {
    Entry& entry = found->second;
    if (entry.record.Supersedes(record)) return;
    // An equal sequence can only report the end of the lease.
    if (!record.Supersedes(entry.record) && !is_gone) return;
    if (SameContent(record, entry.record)) {
      entry.record.sequence = record.sequence;
      return;
    }
  }
  Entry entry{.record = std::move(record)};
  if (is_gone) entry.gone = now;
  this->entries.insert_or_assign(entry.record.target, std::move(entry));
}

bool RegistrationOutbox::NeedsRepair(Time now, const Entry& entry,
                                     const DirectoryCopy& copy) const {
  if (entry.gone || copy.Provisional() || copy.Version() == 0) return false;
  if (entry.sent && now - *entry.sent < kRepairInterval) return false;
  const TargetRecord* known = copy.Find(entry.record.target);
  if (known == nullptr) return true;
  return entry.record.Supersedes(*known) && !SameContent(entry.record, *known);
}

std::vector<TargetRecord> RegistrationOutbox::RecordsToSend(Time now,
                                                            const DirectoryCopy& copy) const {
  std::vector<TargetRecord> pending;
  for (const auto& [name, entry] : this->entries) {
    if (!entry.acknowledged || this->NeedsRepair(now, entry, copy)) pending.push_back(entry.record);
  }
  return pending;
}

std::vector<TargetRecord> RegistrationOutbox::All() const {
  std::vector<TargetRecord> all;
  for (const auto& [name, entry] : this->entries) all.push_back(entry.record);
  return all;
}

void RegistrationOutbox::MarkSent(Time now, const std::vector<TargetRecord>& sent) {
  for (const TargetRecord& record : sent) {
    const auto found = this->entries.find(record.target);
    if (found != this->entries.end()) found->second.sent = now;
  }
}

void RegistrationOutbox::Acknowledge(const std::vector<TargetRecord>& sent) {
  for (const TargetRecord& record : sent) {
    const auto found = this->entries.find(record.target);
    if (found == this->entries.end()) continue;
    if (SameContent(record, found->second.record)) found->second.acknowledged = true;
  }
}

void RegistrationOutbox::RemoveSuperseded(const std::vector<TargetRecord>& news) {
  for (const TargetRecord& record : news) {
    const auto found = this->entries.find(record.target);
    if (found == this->entries.end()) continue;
    if (record.Supersedes(found->second.record)) this->entries.erase(found);
  }
}

void RegistrationOutbox::Prune(Time now) {
  std::erase_if(this->entries, [&](const auto& item) {
    return item.second.gone && now - *item.second.gone >= kTombstoneTime;
  });
}

}  // namespace peridotgauge
