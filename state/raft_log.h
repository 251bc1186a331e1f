// The in-memory part of the replicated log: a snapshot, the entries after it, and the member lists
// that they contain.
//
// Contract: entries are contiguous. Indexes up to `FirstIndex() - 1` are compacted. The snapshot
// index may be higher than that, because some entries are retained for lagging followers.
#ifndef PERIDOTGAUGE_STATE_RAFT_LOG_H_
#define PERIDOTGAUGE_STATE_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "state/raft_message.h"

namespace peridotgauge {

// A member list and the log index of the entry that set it.
struct IndexedMembership {
  uint64_t index = 0;
  RaftMembers members;
};

class RaftLog {
 public:
  RaftLog() = default;
  // Ignores entries at or below the snapshot's index.
  RaftLog(RaftSnapshot snapshot, std::vector<LogEntry> entries);

  uint64_t FirstIndex() const { return this->base_index + 1; }
  uint64_t LastIndex() const { return this->base_index + this->entries.size(); }
  uint64_t LastTerm() const { return *this->TermAt(this->LastIndex()); }
  size_t Size() const { return this->entries.size(); }
  uint64_t Bytes() const { return this->BytesAfter(this->base_index); }
  // Returns the bytes of the entries above `index`.
  uint64_t BytesAfter(uint64_t index) const;
  // Returns the bytes of the entries in (after, to].
  uint64_t BytesBetween(uint64_t after, uint64_t to) const;
  const RaftSnapshot& Snapshot() const { return this->snapshot; }

  // Returns the term of an entry, or nothing if the index is compacted or past the end.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  // `index` must be in [FirstIndex(), LastIndex()].
  const LogEntry& At(uint64_t index) const;
  // Returns the entries in [from, to] up to about `max_bytes`, but at least one if there is any.
  std::vector<LogEntry> Range(uint64_t from, uint64_t to, uint64_t max_bytes) const;

  void Append(LogEntry entry);
  // Removes the entry at `index` and all later ones.
  void TruncateFrom(uint64_t index);
  // Replaces the snapshot and removes the entries up to its index, except for the last
  // `keep_entries` as far as they have at most `keep_bytes` together.
  void Compact(RaftSnapshot new_snapshot, uint64_t keep_entries, uint64_t keep_bytes);
  // Replaces the snapshot and removes all entries.
  void Reset(RaftSnapshot new_snapshot);

  // Return the newest member list in the log, and the newest at or below `index`.
  const IndexedMembership& LatestMembership() const { return this->memberships.back(); }
  const IndexedMembership& MembershipAsOf(uint64_t index) const;
  // Returns the member lists that must all agree while entries above `commit` are not known to be
  // committed: MembershipAsOf(commit) and all newer ones.
  std::vector<const RaftMembers*> ActiveMemberLists(uint64_t commit) const;
  // Sets the member list at index 0. Requires a snapshot with index 0.
  void SetInitialMembers(const RaftMembers& members);

 private:
  // Returns the sum of the bytes of all entries appended up to `index`, which must be in
  // [base_index, LastIndex()].
  uint64_t EndOf(uint64_t index) const;

  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::deque<LogEntry> entries;
  // Element i is base_end plus the bytes of entries[0] to entries[i].
  std::deque<uint64_t> ends;
  uint64_t base_end = 0;
  RaftSnapshot snapshot;
  // Ascending by index. Never empty; the first element is at or below the snapshot's index.
  std::vector<IndexedMembership> memberships = {IndexedMembership{}};
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_RAFT_LOG_H_
