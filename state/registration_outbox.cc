// Decides which registrations of a router are sent to the leader.
#include "state/registration_outbox.h"

#include <utility>

namespace peridotgauge {
namespace {

// Returns true if at most the sequence differs; all that routers use is then equal.
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
    // With an equal sequence, only the end of the lease can be reported.
    if (!record.Supersedes(entry.record) && !is_gone) return;
    if (SameContent(record, entry.record)) {
      entry.record.sequence = record.sequence;
      return;
    }
  }
  Entry entry{.record = std::move(record)};
  if (is_gone) entry.gone_since = now;
  this->entries.insert_or_assign(entry.record.target, std::move(entry));
}

bool RegistrationOutbox::NeedsRepair(Time now, const Entry& entry,
                                     const DirectoryCopy& copy) const {
  if (entry.gone_since || copy.HasUnconfirmedRecords() || copy.Version() == 0) return false;
  if (entry.last_sent && now - *entry.last_sent < kRepairInterval) return false;
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
    if (found != this->entries.end()) found->second.last_sent = now;
  }
}

void RegistrationOutbox::Acknowledge(const std::vector<TargetRecord>& sent) {
  for (const TargetRecord& record : sent) {
    const auto found = this->entries.find(record.target);
    if (found == this->entries.end()) continue;
    if (SameContent(record, found->second.record)) found->second.acknowledged = true;
  }
}

void RegistrationOutbox::RemoveSuperseded(const std::vector<TargetRecord>& records) {
  for (const TargetRecord& record : records) {
    const auto found = this->entries.find(record.target);
    if (found == this->entries.end()) continue;
    if (record.Supersedes(found->second.record)) this->entries.erase(found);
  }
}

void RegistrationOutbox::Prune(Time now) {
  std::erase_if(this->entries, [&](const auto& item) {
    return item.second.gone_since && now - *item.second.gone_since >= kTombstoneTime;
  });
}

}  // namespace peridotgauge
