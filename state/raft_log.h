// The part of the replicated log that a replica holds in memory: a snapshot and the entries after
// it, and the memberships they contain.
//
// Contract: entries are contiguous. Indexes up to `FirstIndex() - 1` are compacted. The snapshot
// index may be higher than that, since some entries are kept for followers that lag.
#ifndef PERIDOTGAUGE_STATE_RAFT_LOG_H_
#define PERIDOTGAUGE_STATE_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "state/raft_message.h"

namespace peridotgauge {

// A member list and the index of the entry that set it.
struct MembershipAt {
  uint64_t index = 0;
  RaftMembers members;
};

class RaftLog {
 public:
  RaftLog() = default;
  // Entries at or below the snapshot's index are dropped.
  RaftLog(RaftSnapshot snapshot, const std::vector<LogEntry>& entries);

  uint64_t FirstIndex() const { return this->base_index + 1; }
  uint64_t LastIndex() const { return this->base_index + this->entries.size(); }
  uint64_t LastTerm() const { return *this->TermAt(this->LastIndex()); }
  size_t Size() const { return this->entries.size(); }
  uint64_t Bytes() const { return this->bytes; }
  const RaftSnapshot& Snapshot() const { return this->snapshot; }

  // The term of an entry, or nothing if the index is compacted or past the end.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  // `index` must be in [FirstIndex(), LastIndex()].
  const LogEntry& At(uint64_t index) const;
  // Entries from `from` on, at least one if there is one, up to about `max_bytes`.
  std::vector<LogEntry> Range(uint64_t from, uint64_t to, uint64_t max_bytes) const;

  void Append(LogEntry entry);
  // Drops all entries from `index` on.
  void TruncateFrom(uint64_t index);
  // Replaces the snapshot and drops entries below it, except for the last `keep`.
  void Compact(RaftSnapshot newer, uint64_t keep);
  // Replaces the snapshot and drops the whole log.
  void Reset(RaftSnapshot newer);

  // The newest membership in the log, and the newest at or below `index`.
  const MembershipAt& Latest() const { return this->memberships.back(); }
  const MembershipAt& MembershipAsOf(uint64_t index) const;
  // The lists in force while entries above `commit` are undecided: MembershipAsOf(commit) and all
  // newer ones.
  std::vector<const RaftMembers*> MembersInForce(uint64_t commit) const;
  // Sets the members of index 0. Only while the snapshot has index 0.
  void SetFirstMembers(const RaftMembers& members);

 private:
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::deque<LogEntry> entries;
  uint64_t bytes = 0;
  RaftSnapshot snapshot;
  // Ascending by index. Never empty; the first is at or below the snapshot's index.
  std::vector<MembershipAt> memberships = {MembershipAt{}};
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_RAFT_LOG_H_
