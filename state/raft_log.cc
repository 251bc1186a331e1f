// The in-memory part of the replicated log.
#include "state/raft_log.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {
namespace {

// Estimated memory overhead of an entry or member, counted in addition to the data.
constexpr uint64_t kEntryOverheadBytes = 64;

uint64_t BytesOf(const LogEntry& entry) {
  return kEntryOverheadBytes + entry.data.size() + kEntryOverheadBytes * entry.members.size();
}

}  // namespace

RaftLog::RaftLog(RaftSnapshot snapshot, std::vector<LogEntry> entries) {
  this->Reset(std::move(snapshot));
  for (LogEntry& entry : entries) {
    if (entry.index > this->LastIndex()) this->Append(std::move(entry));
  }
}

uint64_t RaftLog::EndOf(uint64_t index) const {
  return index == this->base_index ? this->base_end : this->ends[index - this->base_index - 1];
}

uint64_t RaftLog::BytesAfter(uint64_t index) const {
  return this->BytesBetween(index, this->LastIndex());
}

uint64_t RaftLog::BytesBetween(uint64_t after, uint64_t to) const {
  const uint64_t first = std::clamp(after, this->base_index, this->LastIndex());
  const uint64_t last = std::clamp(to, first, this->LastIndex());
  return this->EndOf(last) - this->EndOf(first);
}

std::optional<uint64_t> RaftLog::TermAt(uint64_t index) const {
  if (index == this->base_index) return this->base_term;
  if (index == this->snapshot.index) return this->snapshot.term;
  if (index < this->base_index || index > this->LastIndex()) return std::nullopt;
  return this->At(index).term;
}

const LogEntry& RaftLog::At(uint64_t index) const {
  return this->entries[index - this->base_index - 1];
}

std::vector<LogEntry> RaftLog::Range(uint64_t from, uint64_t to, uint64_t max_bytes) const {
  std::vector<LogEntry> out;
  uint64_t sum = 0;
  for (uint64_t i = from; i <= std::min(to, this->LastIndex()); ++i) {
    sum += BytesOf(this->At(i));
    if (!out.empty() && sum > max_bytes) break;
    out.push_back(this->At(i));
  }
  return out;
}

void RaftLog::Append(LogEntry entry) {
  this->ends.push_back(this->EndOf(this->LastIndex()) + BytesOf(entry));
  if (entry.kind == EntryKind::kMembership) {
    this->memberships.push_back({entry.index, entry.members});
  }
  this->entries.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(uint64_t index) {
  while (!this->entries.empty() && this->LastIndex() >= index) {
    this->entries.pop_back();
    this->ends.pop_back();
  }
  while (this->memberships.size() > 1 && this->memberships.back().index >= index) {
    this->memberships.pop_back();
  }
}

void RaftLog::Compact(RaftSnapshot new_snapshot, uint64_t keep_entries, uint64_t keep_bytes) {
  while (!this->entries.empty() && this->base_index < new_snapshot.index &&
         (new_snapshot.index - this->base_index > keep_entries ||
          this->BytesBetween(this->base_index, new_snapshot.index) > keep_bytes)) {
    this->base_index = this->entries.front().index;
    this->base_term = this->entries.front().term;
    this->base_end = this->ends.front();
    this->entries.pop_front();
    this->ends.pop_front();
  }
  this->snapshot = std::move(new_snapshot);
  while (this->memberships.size() > 1 && this->memberships[1].index <= this->snapshot.index) {
    this->memberships.erase(this->memberships.begin());
  }
}

void RaftLog::Reset(RaftSnapshot new_snapshot) {
  this->entries.clear();
  this->ends.clear();
  this->base_end = 0;
  this->base_index = new_snapshot.index;
  this->base_term = new_snapshot.term;
  this->memberships = {{new_snapshot.index, new_snapshot.members}};
  this->snapshot = std::move(new_snapshot);
}

const IndexedMembership& RaftLog::MembershipAsOf(uint64_t index) const {
  for (auto it = this->memberships.rbegin(); it != this->memberships.rend(); ++it) {
    if (it->index <= index) return *it;
  }
  return this->memberships.front();
}

std::vector<const RaftMembers*> RaftLog::ActiveMemberLists(uint64_t commit) const {
  std::vector<const RaftMembers*> out = {&this->MembershipAsOf(commit).members};
  for (const IndexedMembership& at : this->memberships) {
    if (at.index > commit) out.push_back(&at.members);
  }
  return out;
}

void RaftLog::SetInitialMembers(const RaftMembers& members) {
  this->snapshot.members = members;
  if (this->memberships.front().index == 0) this->memberships.front().members = members;
}

}  // namespace peridotgauge
