// The core of the replicated log (design section 6.1): the published Raft protocol without I/O.
//
// Use:
//   Raft raft(options, stored, now);
//   raft.Step(now, message);  raft.Tick(now);  raft.Propose(command);
//   RaftReady ready = raft.TakeReady();   // after every call above
//   ... send ready.messages; write and sync ready.write; then
//   raft.OnPersisted(ready.write->sequence)
//   ... apply ready.committed in order
//
// Contract: a message that promises something about stored state (a vote, an acknowledgement) is
// held back until OnPersisted() confirms the writes that it depends on. Writes must reach the disk
// in the order in which TakeReady() returned them. After OnStorageFailure() the replica is silent.
//
// Members and incarnations. A member is (id, incarnation); the incarnation is a random number that
// is stored in the data folder before the first message, so that a lost or replaced folder gives a
// new incarnation. Votes and acknowledgements count only from incarnations that the member list in
// the candidate's or leader's log contains. A replica grants votes and campaigns only after a
// committed member list has contained its incarnation ("admitted", stored with the hard state).
//
// First start. A replica with an empty folder is not admitted. It announces itself to all initial
// members. The initial member with the lowest id, and no other, founds the group, and only when all
// other initial members have told its present incarnation that they are not admitted either. The
// member list of the first start consists of exactly these incarnations; the others adopt it if it
// lists them. A majority would not be enough: if a and b founded a group while c was down, a
// replaced a and the untouched c would be a fresh majority and could found a second, empty group.
// The cost is that the first start needs all initial members once. If an admitted member answers, a
// group exists, and the fresh replica waits as a learner until a leader admits it.
//
// Admission. The leader sends the log to a learner. When the learner holds all committed entries
// and its id is a member under another incarnation, the leader appends a membership entry that
// replaces the incarnation. Until a membership entry is known to be committed, elections, commits
// and reads need a majority of both the list before it and the list in it. Without this, the old
// incarnation's last vote and the new incarnation's first vote could elect two leaders in one term.
#ifndef PERIDOTGAUGE_STATE_RAFT_H_
#define PERIDOTGAUGE_STATE_RAFT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/types.h"
#include "state/raft_log.h"
#include "state/raft_message.h"

namespace peridotgauge {

constexpr uint64_t kMaxCommandBytes = 2 << 20;
// Limits of entries that are appended but not committed; exceeding one is kOverloaded.
constexpr uint64_t kMaxUncommittedEntries = 10'000;
constexpr uint64_t kMaxUncommittedBytes = 32 << 20;
// Payload of one kAppend (one entry may exceed it) and of one kSnapshot message. With the largest
// entry a message stays below the frame limit of the peer protocol.
constexpr uint64_t kMaxAppendBytes = 512 << 10;
constexpr uint64_t kSnapshotChunkBytes = 512 << 10;
constexpr uint32_t kMaxInFlightAppends = 32;
constexpr size_t kMaxLearners = 8;
// Shorter than the time in which a second controller may fail after a replacement has started (4 s
// on the smallest deployments), longer than a few lost heartbeats.
constexpr Duration kSilentMemberTime = Seconds(3);
constexpr size_t kSmallestGroup = 3;
// Appends without progress for this many heartbeats were lost. A round trip and a sync take less.
constexpr int kLostAppendHeartbeats = 2;

struct RaftOptions {
  std::string id;
  Address address;
  RaftMembers initial;  // incarnations are ignored
  Duration heartbeat = Millis(50);
  Duration election_timeout = Millis(300);
  // 0: the member list changes only by ChangeMember(). Otherwise the leader admits a learner with
  // an unknown id in place of a member that has been silent for kSilentMemberTime, or besides the
  // others while there are fewer members than `grow_to`, and removes silent members while more than
  // kSmallestGroup are left.
  size_t grow_to = 0;
  uint64_t kept_entries = 500;  // kept behind a snapshot for followers that lag
  uint64_t random_seed = 1;
};

// What the data folder contained.
struct RaftStoredState {
  HardState hard_state;  // incarnation must be set
  RaftSnapshot snapshot;
  std::vector<LogEntry> entries;
};

enum class RaftRole : uint8_t { kLearner, kFollower, kCandidate, kLeader, kFailed };

// Changes to store, in this order: snapshot, hard state, entries.
struct RaftWrite {
  uint64_t sequence = 0;
  std::optional<RaftSnapshot> snapshot;
  bool reset = false;  // with `snapshot`: all stored entries are dropped
  std::optional<HardState> hard_state;
  std::vector<LogEntry> entries;  // replace stored entries with the same or a higher index
};

struct ReadResult {
  uint64_t id = 0;
  bool confirmed = false;
  uint64_t index = 0;  // wait until this index is applied
};

struct RaftReady {
  std::optional<RaftWrite> write;
  std::vector<RaftMessage> messages;
  std::optional<RaftSnapshot> restore;  // replace the state machine before applying `committed`
  std::vector<LogEntry> committed;      // in log order, each once
  std::vector<ReadResult> reads;
};

class Raft {
 public:
  Raft(RaftOptions options, RaftStoredState stored, Time now);

  void Step(Time now, const RaftMessage& message);
  // To be called at least every heartbeat / 4.
  void Tick(Time now);

  // Appends a command and returns its index. kNotLeader, kTooLarge or kOverloaded: not appended.
  Result<uint64_t> Propose(Time now, std::string command);
  // Adds (or replaces) or removes a member; returns the entry's index. Incarnation 0 stands for the
  // learner's present one. kConflict while another change is not committed; kBadRequest if the
  // result would be unchanged or empty; kNotFound if no learner has that incarnation.
  Result<uint64_t> ChangeMember(Time now, const RaftMember& member, bool remove);
  // Asks for a confirmed read; the answer is in a later Ready, under the returned id. kNotLeader if
  // it is known at once that there will be none.
  Result<uint64_t> RequestRead(Time now);
  // Hands leadership to the most advanced member. Returns false if not leading or if alone.
  bool TransferLeadership(Time now);

  RaftReady TakeReady();
  // The write with this sequence, and all before it, are synced.
  void OnPersisted(Time now, uint64_t sequence);
  // A write or sync failed. The replica stops voting, acknowledging and sending for good.
  void OnStorageFailure();
  // Stores a snapshot of the state machine at an applied index and compacts the log.
  void Compact(uint64_t index, std::string data);

  RaftRole Role() const { return this->role; }
  bool Leading() const { return this->role == RaftRole::kLeader; }
  bool Transferring() const { return !this->transfer_target.empty(); }
  uint64_t Term() const { return this->hard.term; }
  uint64_t Incarnation() const { return this->hard.incarnation; }
  bool Admitted() const { return this->hard.admitted; }
  uint64_t CommitIndex() const { return this->commit; }
  const std::string& Leader() const { return this->leader; }
  const RaftLog& Log() const { return this->log; }
  const RaftMembers& Members() const { return this->log.Latest().members; }

 private:
  // What the leader knows about one follower or learner.
  struct Progress {
    uint64_t incarnation = 0;
    Address address;
    uint64_t match = 0;
    uint64_t next = 1;
    bool probing = true;   // one append at a time until the first match
    bool waiting = false;  // while probing: an append is unanswered
    uint32_t in_flight = 0;
    uint64_t match_at_heartbeat = 0;       // match at the last check for lost appends
    Time checked{};                        // time of that check
    std::optional<RaftSnapshot> snapshot;  // being sent
    uint64_t snapshot_checksum = 0;
    uint64_t snapshot_offset = 0;
    uint64_t offset_at_heartbeat = 0;  // snapshot_offset at the last heartbeat reply
    uint64_t round = 0;                // highest confirmed round
    Time last_heard;
  };
  struct HeldMessage {
    uint64_t sequence = 0;
    RaftMessage message;
  };
  struct PendingWrite {
    uint64_t sequence = 0;
    uint64_t last_index = 0;
    uint64_t last_term = 0;
    uint64_t hard_term = 0;
  };
  struct PendingRead {
    uint64_t id = 0;
    uint64_t index = 0;
    uint64_t round = 0;  // 0: waits for the next round
  };
  struct IncomingSnapshot {
    uint64_t index = 0;
    uint64_t term = 0;
    uint64_t checksum = 0;
    std::string data;
  };
  using Handler = void (Raft::*)(Time, const RaftMessage&);
  using MemberTest = std::function<bool(const RaftMember&)>;

  // raft.cc: roles, terms and the Ready hand-over.
  bool UpdateTerm(Time now, const RaftMessage& message);
  void AnswerStaleTerm(const RaftMessage& message);
  void BecomeFollower(Time now, uint64_t term, const std::string& new_leader);
  void ResetElectionTimer(Time now);
  bool HeardFromLeader(Time now) const;
  bool CanCampaign() const;
  RaftMessage MakeMessage(MessageType type, const std::string& to) const;
  RaftMessage MakeReply(MessageType type, const RaftMessage& request) const;
  void Send(RaftMessage message);
  void SendAfterSync(RaftMessage message);
  bool HasUnwritten() const;
  Address AddressOf(const std::string& id) const;
  void TruncateLocal(uint64_t index);
  void CommitTo(Time now, uint64_t index);
  void MaybeAdmitSelf(Time now);
  void FailReads();
  void SetContact(Time now, const RaftMessage& message);
  void MarkHardState() { this->hard_changed = true; }
  // True if a majority of every list that is in force passes: the newest committed one and those
  // in entries that are not known to be committed.
  bool Quorum(const MemberTest& test) const;
  bool IsSelf(const RaftMember& member) const;
  std::vector<RaftMember> OtherMembers() const;

  // raft_election.cc: first start, pre-vote, votes.
  void SendProbes(Time now);
  void HandleProbe(Time now, const RaftMessage& message);
  void HandleProbeReply(Time now, const RaftMessage& message);
  bool IsFresh() const;
  void TryFound(Time now);
  void Adopt(Time now, const RaftMembers& members);
  void Campaign(Time now, bool pre_vote, bool transfer);
  void HandlePreVote(Time now, const RaftMessage& message);
  void HandleVote(Time now, const RaftMessage& message);
  void HandlePreVoteReply(Time now, const RaftMessage& message);
  void HandleVoteReply(Time now, const RaftMessage& message);
  void CountVotes(Time now);
  bool LogIsCurrent(const RaftMessage& message) const;
  void HandleTimeoutNow(Time now, const RaftMessage& message);

  // raft_follower.cc: append and snapshot at the receiver.
  void HandleAppend(Time now, const RaftMessage& message);
  void HandleHeartbeat(Time now, const RaftMessage& message);
  void HandleSnapshot(Time now, const RaftMessage& message);
  void InstallSnapshot(Time now, const RaftMessage& message);
  void ReplyMatch(const RaftMessage& message, uint64_t index);

  // raft_leader.cc: replication, reads, membership, transfer.
  void BecomeLeader(Time now);
  void LeaderTick(Time now);
  void LeaveLeadership();
  void SyncProgress(Time now);
  Progress* ProgressOf(const RaftMessage& message);
  void ResendLost(Time now, const std::string& id, Progress& target);
  Progress* FindOrAddLearner(Time now, const RaftMessage& message);
  void Replicate(const std::string& id, Progress& progress);
  void ReplicateAll();
  void SendSnapshotChunk(const std::string& id, Progress& progress);
  void SendHeartbeats();
  void SendHeartbeat(const std::string& id, const Progress& progress);
  void StartSnapshot(const std::string& id, Progress& progress);
  void HandleAppendReply(Time now, const RaftMessage& message);
  void HandleHeartbeatReply(Time now, const RaftMessage& message);
  void HandleSnapshotReply(Time now, const RaftMessage& message);
  void Advance(Time now, const std::string& id, Progress& progress, uint64_t match);
  uint64_t MatchOf(const RaftMember& member) const;
  void MaybeCommit(Time now);
  void AfterMembershipCommit(Time now);
  void MaybeAdmitLearner(Time now, const std::string& id, const Progress& progress);
  // Admits a learner that is not listed under any incarnation, if `grow_to` allows it.
  void MaybeGrow(Time now, const RaftMember& learner);
  void MaybeRemoveSilent(Time now);
  // A member that has been silent for kSilentMemberTime, or nullptr.
  const RaftMember* SilentMember(Time now) const;
  // True if no change of the members is under way.
  bool MembersSettled() const;
  // Appends the list, in the order of the ids. Only while MembersSettled().
  Result<uint64_t> AppendMembers(Time now, RaftMembers members);
  void StartRound();
  void ConfirmReads();
  void MaybeFinishTransfer();
  uint64_t AppendAsLeader(LogEntry entry);
  bool CommittedInTerm() const;

  RaftOptions options;
  HardState hard;
  RaftLog log;
  RaftRole role = RaftRole::kLearner;
  std::string leader;
  uint64_t commit = 0;
  uint64_t handed = 0;  // highest index handed out in Ready.committed or Ready.restore
  std::mt19937_64 random;

  Time election_deadline;
  Time last_leader_contact;  // meaningful only if `leader` is not empty
  Time next_probe;
  std::map<std::string, uint64_t> fresh;  // first start: id -> incarnation of fresh members

  // Candidate: ids of members that granted; `pre_voting` tells which round it is.
  bool pre_voting = false;
  std::map<std::string, uint64_t> grants;  // id -> incarnation

  // Leader.
  std::map<std::string, Progress> progress;  // members other than this replica
  std::map<std::string, Progress> learners;  // incarnations that are not members
  Time next_heartbeat;
  Time leader_since;
  uint64_t term_start = 0;  // index of this term's first entry
  uint64_t uncommitted_bytes = 0;
  bool replicate_due = false;  // entries were appended since the last TakeReady()
  uint64_t round = 0;
  bool round_open = false;
  uint64_t next_read_id = 1;
  std::deque<PendingRead> pending_reads;
  std::string transfer_target;
  Time transfer_deadline;
  bool transfer_sent = false;

  std::optional<IncomingSnapshot> incoming;

  // Hand-over to the storage. `stable` is the highest index known to be synced.
  uint64_t stable = 0;
  uint64_t unwritten = 0;  // lowest index to write; above the last index if none
  bool hard_changed = false;
  std::optional<RaftSnapshot> unwritten_snapshot;
  bool unwritten_reset = false;
  uint64_t next_sequence = 1;
  uint64_t synced_sequence = 0;
  uint64_t stored_term = 0;  // the term in the synced hard state
  std::deque<PendingWrite> pending_writes;
  std::vector<HeldMessage> held;
  std::vector<RaftMessage> outbox;
  std::optional<RaftSnapshot> restore;
  std::vector<ReadResult> finished_reads;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_RAFT_H_
