// Value types of the replicated log: entries, members, hard state, snapshots and messages, with
// their encoding by raft.fbs.
//
// Use:
//   std::string bytes = EncodeMessage(message);
//   Result<RaftMessage> message = DecodeMessage(bytes);
#ifndef PERIDOTGAUGE_STATE_RAFT_MESSAGE_H_
#define PERIDOTGAUGE_STATE_RAFT_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

// A voting member. The incarnation identifies one data folder: a replica whose data folder was lost
// or replaced has the same id and another incarnation.
struct RaftMember {
  std::string id;
  uint64_t incarnation = 0;  // random, never 0
  Address address;
  bool operator==(const RaftMember&) const = default;
};

using RaftMembers = std::vector<RaftMember>;  // sorted by id

// Returns the member with that id, or nullptr.
const RaftMember* FindMember(const RaftMembers& members, std::string_view id);
// Returns true if the list contains this id with exactly this incarnation.
bool ContainsMember(const RaftMembers& members, std::string_view id, uint64_t incarnation);

enum class EntryKind : uint8_t { kNoop, kCommand, kMembership };

struct LogEntry {
  uint64_t index = 0;  // from 1
  uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;     // kCommand only
  RaftMembers members;  // kMembership only: the complete list from this entry on
  bool operator==(const LogEntry&) const = default;
};

// The state that must be on disk before a reply is sent.
struct HardState {
  uint64_t incarnation = 0;
  uint64_t term = 0;
  std::string vote;  // id of the candidate voted for in `term`; empty if none
  uint64_t vote_incarnation = 0;
  uint64_t commit = 0;    // a lower bound of the commit index
  bool admitted = false;  // a committed member list has contained this incarnation
  bool operator==(const HardState&) const = default;
};

// A snapshot of the state machine at a log index, with the member list at that index. At index 0 it
// holds the initial members and no data.
struct RaftSnapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  RaftMembers members;
  std::shared_ptr<const std::string> data;  // never null in a stored snapshot
};

enum class MessageType : uint8_t {
  kAnnounce = 0,   // sent by a replica that is not admitted, to be found by the leader
  kAnnounceReply,  // granted: the sender is uninitialized; otherwise the initial `members`
  kPreVote,        // term: the term the sender would campaign in; index, log_term: its last entry
  kPreVoteReply,   // index, log_term: the last entry that the sender knows to be committed
  kVote,           // as kPreVote; transfer: the leader requested the election
  kVoteReply,
  kAppend,          // index, log_term: the entry before `entries`; commit
  kAppendReply,     // granted: index is the last matching entry; otherwise the next to try
  kHeartbeat,       // commit (at most what the receiver is known to hold), round
  kHeartbeatReply,  // round
  kSnapshot,        // index, log_term, members, offset, total, checksum of the whole snapshot, data
  kSnapshotReply,   // index, offset: bytes received so far
  kTimeoutNow,      // the receiver starts an election at once
};

constexpr int kMessageTypeCount = static_cast<int>(MessageType::kTimeoutNow) + 1;
// Limit on the memory of one decoded message. Messages of controllers carry one entry of at most
// kMaxCommandBytes, or kMaxAppendBytes of entries, or kSnapshotChunkBytes of a snapshot.
constexpr size_t kMaxDecodedMessageBytes = 16 << 20;

struct RaftMessage {
  MessageType type = MessageType::kAnnounce;
  std::string from;
  uint64_t from_incarnation = 0;
  Address from_address;
  std::string to;
  uint64_t to_incarnation = 0;  // 0: any
  Address to_address;           // not encoded
  uint64_t term = 0;
  uint64_t index = 0;
  uint64_t log_term = 0;
  uint64_t commit = 0;
  uint64_t round = 0;
  bool granted = false;
  bool transfer = false;
  std::vector<LogEntry> entries;
  RaftMembers members;
  uint64_t offset = 0;
  uint64_t total = 0;
  uint64_t checksum = 0;
  std::string data;
  bool operator==(const RaftMessage&) const = default;
};

// One record of the write-ahead log; see raft.fbs.
struct WalRecord {
  uint64_t segment = 0;
  std::optional<HardState> hard_state;
  std::optional<uint64_t> reset_index;
  std::vector<LogEntry> entries;
};

std::string EncodeMessage(const RaftMessage& message);
// Encodes the record with `entries` in place of its own.
std::string EncodeRecord(const WalRecord& record, const std::vector<LogEntry>& entries);
std::string EncodeSnapshot(const RaftSnapshot& snapshot);
// Return kCorrupt if the bytes fail verification. DecodeMessage() also fails if the message would
// take more than kMaxDecodedMessageBytes.
Result<RaftMessage> DecodeMessage(std::string_view bytes);
Result<WalRecord> DecodeRecord(std::string_view bytes);
Result<RaftSnapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_RAFT_MESSAGE_H_
