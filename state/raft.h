// The core of the replicated log (design section 6.1): the Raft consensus algorithm without I/O.
//
// Use:
//   Raft raft(options, stored, now);
//   raft.Step(now, message);  raft.Tick(now);  raft.Propose(now, command);
//   RaftReady ready = raft.TakeReady();   // after every call above
//   ... send ready.messages; write and sync ready.write
//   raft.OnPersisted(now, ready.write->sequence);
//   ... apply ready.committed in order; repeat while raft.HasUndelivered()
//
// Contract: a message that depends on stored state (a vote, an acknowledgement) is deferred until
// OnPersisted() confirms the writes that it depends on. Writes must reach the disk in the order in
// which TakeReady() returned them. After OnStorageFailure() the replica sends no more messages.
//
// Disk errors. A write that fails is to be repeated until it succeeds. Between
// OnStorageUnavailable() and the next OnPersisted() the replica follows and serves what needs no
// disk, as with a slow disk, but gives up leadership, does not campaign and grants no pre-votes.
//
// Members and incarnations. A member is (id, incarnation); the incarnation is a random number that
// is stored in the data folder before the first message, so a lost or replaced folder results in a
// new incarnation. Votes and acknowledgements count only if the member list in the candidate's or
// leader's log contains the sender's incarnation. A replica grants votes and campaigns only once it
// is admitted, that is after a committed member list has contained its incarnation; this is stored
// with the hard state.
//
// Bootstrap. A replica with an empty folder is not admitted. It announces itself to all initial
// members. Only the initial member with the lowest id bootstraps the group, and only after all
// other initial members have confirmed to its current incarnation that they are uninitialized too.
// The initial member list consists of exactly these incarnations; the other members adopt it if it
// contains their own. A majority would not be enough: if a and b bootstrapped a group while c was
// down, and a's disk was then replaced, a and c would be an uninitialized majority and could
// bootstrap a second, empty group. The cost is that the bootstrap needs an answer from every
// initial member. If an admitted member answers, a group exists, and the new replica waits as a
// learner until a leader admits it.
//
// Admission. The leader sends the log to a learner. When the learner holds all committed entries
// and its id is a member under another incarnation, the leader appends a membership entry with the
// new incarnation. Until a membership entry is known to be committed, elections, commits and reads
// need a majority of both the list before it and the list in it. Without this, the old
// incarnation's last vote and the new incarnation's first vote could elect two leaders in one term.
//
// Unresponsive members. A learner takes the place of a member that has been silent, or the member
// is removed, but never so that fewer than MinGroupSize() members are left: disks that are lost
// later must not be a majority. A replica that cannot be elected asks for the leader, as a learner
// does, because it may have been replaced while it was out of touch.
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
// Limits on appended entries that are not committed yet, or not synced by the leader itself. A
// command beyond a limit is rejected with kOverloaded. Such entries are in memory several times:
// in the log, in the write in progress and in its encoded form.
constexpr uint64_t kMaxUncommittedEntries = 10'000;
constexpr uint64_t kMaxUncommittedBytes = 16 << 20;
// Maximum size of the committed entries in one RaftReady (a single larger entry is still returned).
// Without it, a restart would hold a second copy of the whole stored log.
constexpr uint64_t kMaxDeliveredBytes = 2 << 20;
// Maximum payload of one kAppend (a single larger entry is still sent) and of one kSnapshot
// message. Even with the largest entry, a message stays below the frame limit of the peer protocol.
constexpr uint64_t kMaxAppendBytes = 512 << 10;
constexpr uint64_t kSnapshotChunkBytes = 512 << 10;
constexpr uint32_t kMaxInFlightAppends = 32;
// No further append is sent to a receiver while it has not acknowledged this many bytes of entries.
constexpr uint64_t kMaxInFlightBytes = 4 << 20;
constexpr size_t kMaxLearners = 8;
// A member that has not answered for this long may be replaced or removed. Shorter than the time in
// which a second controller may fail after a replacement has started (4 s on the smallest
// deployments), longer than a few lost heartbeats.
constexpr Duration kMemberTimeout = Seconds(3);
// The size below which a group that admits and removes members by itself never shrinks, also if
// fewer losses need to be tolerated.
constexpr size_t kMinGroupSize = 3;
// Appends without progress for this many heartbeat intervals are considered lost. A round trip and
// a disk sync take less.
constexpr int kAppendTimeoutHeartbeats = 2;
// Interval at which a replica logs that its elections fail, and for lack of whose votes.
constexpr Duration kElectionReportInterval = Seconds(5);
// Messages that wait for a sync. With more, a new one replaces an earlier one of the same type to
// the same receiver: the receiver asks again for as long as the disk is stalled.
constexpr size_t kMaxDeferredMessages = 256;

struct RaftOptions {
  std::string id;
  Address address;
  RaftMembers initial;  // incarnations are ignored
  Duration heartbeat = Millis(50);
  Duration election_timeout = Millis(300);
  // 0: the member list changes only by ChangeMember(). Otherwise the leader admits a learner with
  // an unknown id, either in place of a member that has not answered for kMemberTimeout or as an
  // additional member while there are fewer than `max_members`, and removes unresponsive members
  // while more than MinGroupSize() are left.
  size_t max_members = 0;
  // Number of members that may lose their disks at the same time. An unresponsive member still has
  // its disk, so the group must not become so small that the others are no majority without it.
  size_t tolerated_losses = 1;
  // Retained below a snapshot for lagging followers, up to either limit. A follower that lags
  // further gets the snapshot.
  uint64_t retained_entries = 500;
  uint64_t retained_bytes = 4 << 20;
  uint64_t random_seed = 1;
};

// The state read from the data folder.
struct RaftStoredState {
  HardState hard_state;  // incarnation must be set
  RaftSnapshot snapshot;
  std::vector<LogEntry> entries;
};

enum class RaftRole : uint8_t { kLearner, kFollower, kCandidate, kLeader, kFailed };

// Changes to write to disk, in this order: snapshot, hard state, entries.
struct RaftWrite {
  uint64_t sequence = 0;
  std::optional<RaftSnapshot> snapshot;
  bool reset = false;  // with `snapshot`: delete all stored entries
  std::optional<HardState> hard_state;
  std::vector<LogEntry> entries;  // replace stored entries with the same or a higher index
};

struct ReadResult {
  uint64_t id = 0;
  bool confirmed = false;
  uint64_t index = 0;  // the read must wait until this index is applied
};

struct RaftReady {
  std::optional<RaftWrite> write;
  std::vector<RaftMessage> messages;
  std::optional<RaftSnapshot> restore;  // to restore before applying `committed`
  std::vector<LogEntry> committed;      // in log order, each exactly once
  std::vector<ReadResult> reads;  // the index of a confirmed read has been returned in `committed`
};

class Raft {
 public:
  Raft(RaftOptions options, RaftStoredState stored, Time now);

  void Step(Time now, const RaftMessage& message);
  // Must be called at least every heartbeat / 4.
  void Tick(Time now);

  // Appends a command and returns its index. On kNotLeader, kTooLarge or kOverloaded it was not
  // appended.
  Result<uint64_t> Propose(Time now, std::string command);
  // Adds, replaces or removes a member and returns the index of the membership entry. Incarnation 0
  // means the learner's current one. Returns kConflict while another change is not committed,
  // kBadRequest if the member list would be unchanged or empty, kNotFound if no learner has that
  // incarnation.
  Result<uint64_t> ChangeMember(Time now, const RaftMember& member, bool remove);
  // Requests a linearizable read (ReadIndex). The result is in a later RaftReady under the returned
  // id. Returns kNotLeader if this replica does not lead.
  Result<uint64_t> RequestRead(Time now);
  // Transfers leadership to the most up-to-date member. Returns false if this replica does not lead
  // or there is no other reachable member.
  bool TransferLeadership(Time now);

  RaftReady TakeReady();
  // Returns true if committed entries are left that did not fit into the last RaftReady.
  bool HasUndelivered() const {
    return this->role != RaftRole::kFailed && this->delivered_index < this->commit_index;
  }
  // Confirms that the write with this sequence and all earlier ones are synced to disk.
  void OnPersisted(Time now, uint64_t sequence);
  // Must be called when a write or sync failed that will be repeated.
  void OnStorageUnavailable(Time now);
  // Must be called when the replica cannot go on with what it has stored. It permanently stops
  // voting, acknowledging and sending.
  void OnStorageFailure();
  // Takes over `data`, a snapshot of the state machine at the applied `index`, and compacts the
  // log.
  void Compact(uint64_t index, std::string data);

  RaftRole Role() const { return this->role; }
  bool Leading() const { return this->role == RaftRole::kLeader; }
  bool Transferring() const { return !this->transfer_target.empty(); }
  uint64_t Term() const { return this->hard_state.term; }
  uint64_t Incarnation() const { return this->hard_state.incarnation; }
  bool Admitted() const { return this->hard_state.admitted; }
  // Returns the number of messages that wait for a sync.
  size_t DeferredMessages() const { return this->deferred.size(); }
  uint64_t CommitIndex() const { return this->commit_index; }
  const std::string& Leader() const { return this->leader; }
  const RaftLog& Log() const { return this->log; }
  const RaftMembers& Members() const { return this->log.LatestMembership().members; }

 private:
  // Replication state of one follower or learner, as known to the leader.
  struct Progress {
    uint64_t incarnation = 0;
    Address address;
    uint64_t match = 0;
    uint64_t next = 1;
    bool probing = true;              // one append at a time until one matches
    bool append_outstanding = false;  // while probing: an append has no reply yet
    uint32_t in_flight = 0;
    uint64_t checked_match = 0;            // `match` at the last check for lost appends
    Time last_stall_check{};               // time of that check
    std::optional<RaftSnapshot> snapshot;  // the snapshot being sent, if any
    uint64_t snapshot_checksum = 0;
    uint64_t snapshot_offset = 0;
    uint64_t checked_offset = 0;  // `snapshot_offset` at the last check
    uint64_t acked_round = 0;     // highest read round acknowledged
    Time last_heard;
  };
  struct DeferredMessage {
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
    uint64_t round = 0;  // 0: not assigned to a round yet
  };
  struct IncomingSnapshot {
    uint64_t index = 0;
    uint64_t term = 0;
    uint64_t checksum = 0;
    std::string data;
  };
  using Handler = void (Raft::*)(Time, const RaftMessage&);
  using MemberPredicate = std::function<bool(const RaftMember&)>;

  // raft.cc: roles, terms and RaftReady.
  bool UpdateTerm(Time now, const RaftMessage& message);
  void ReplyWithCurrentTerm(const RaftMessage& message);
  void BecomeFollower(Time now, uint64_t term, const std::string& new_leader);
  void ResetElectionTimer(Time now);
  bool HeardFromLeader(Time now) const;
  // Returns true if the newest member list contains this replica.
  bool IsMember() const;
  bool CanCampaign() const;
  RaftMessage MakeMessage(MessageType type, const std::string& to) const;
  RaftMessage MakeReply(MessageType type, const RaftMessage& request) const;
  void Send(RaftMessage message);
  void SendAfterSync(RaftMessage message);
  bool HasUnwrittenChanges() const;
  Address AddressOf(const std::string& id) const;
  void TruncateUncommitted(uint64_t index);
  void CommitTo(Time now, uint64_t index);
  void MaybeAdmitSelf(Time now);
  void FailReads();
  // Removes from `finished_reads` those that need no entry above `delivered_index`.
  std::vector<ReadResult> TakeFinishedReads();
  void OnLeaderContact(Time now, const RaftMessage& message);
  void MarkHardStateChanged() { this->hard_state_changed = true; }
  // Returns true if `test` holds for a majority of every active member list: the newest committed
  // one and those in entries that are not known to be committed.
  bool HasQuorum(const MemberPredicate& test) const;
  bool IsSelf(const RaftMember& member) const;
  std::vector<RaftMember> OtherMembers() const;

  // raft_election.cc: bootstrap, pre-vote, votes.
  void SendAnnouncements(Time now);
  void HandleAnnounce(Time now, const RaftMessage& message);
  void HandleAnnounceReply(Time now, const RaftMessage& message);
  bool IsUninitialized() const;
  void TryBootstrap(Time now);
  void AdoptInitialMembers(Time now, const RaftMembers& members);
  void Campaign(Time now, bool pre_vote, bool transfer);
  void HandlePreVote(Time now, const RaftMessage& message);
  void HandleVote(Time now, const RaftMessage& message);
  void HandlePreVoteReply(Time now, const RaftMessage& message);
  void HandleVoteReply(Time now, const RaftMessage& message);
  void CountVotes(Time now);
  void OnElectionFailed(Time now);
  // Logs which members have not granted the vote of the election that has just failed.
  void ReportFailedElection(Time now);
  bool LogIsUpToDate(const RaftMessage& message) const;
  void HandleTimeoutNow(Time now, const RaftMessage& message);

  // raft_follower.cc: appends and snapshots at the receiver.
  void HandleAppend(Time now, const RaftMessage& message);
  void HandleHeartbeat(Time now, const RaftMessage& message);
  void HandleSnapshot(Time now, const RaftMessage& message);
  void InstallSnapshot(Time now, const RaftMessage& message);
  void ReplyWithMatch(const RaftMessage& message, uint64_t index);

  // raft_leader.cc and raft_request.cc: replication, reads, membership, leadership transfer.
  void BecomeLeader(Time now);
  void LeaderTick(Time now);
  void LeaveLeadership();
  void UpdateProgressMembers(Time now);
  Progress* FindProgress(const RaftMessage& message);
  void ResendIfStalled(Time now, const std::string& id, Progress& receiver);
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
  void AdvanceMatch(Time now, const std::string& id, Progress& progress, uint64_t match);
  uint64_t MatchOf(const RaftMember& member) const;
  void MaybeCommit(Time now);
  void OnMembershipCommitted(Time now);
  void MaybeAdmitLearner(Time now, const std::string& id, const Progress& progress);
  // Admits a learner whose id is not in the member list, if `max_members` allows it.
  void MaybeAddNew(Time now, const RaftMember& learner);
  void MaybeRemoveUnresponsive(Time now);
  // Returns the number of members that a group needs so that a majority of them is left after the
  // tolerated losses. A group that has grown to this size does not shrink below it.
  size_t MinGroupSize() const;
  // Returns a member that has not answered for kMemberTimeout, or nullptr.
  const RaftMember* UnresponsiveMember(Time now) const;
  // Returns true if the newest membership entry and an entry of this term are committed.
  bool NoMembershipChangePending() const;
  // Appends a membership entry with the list sorted by id. Requires NoMembershipChangePending().
  Result<uint64_t> AppendMembers(Time now, RaftMembers members);
  void StartReadRound();
  void ConfirmReads();
  void MaybeFinishTransfer();
  uint64_t AppendAsLeader(LogEntry entry);
  bool HasCommittedInTerm() const;

  RaftOptions options;
  HardState hard_state;
  RaftLog log;
  RaftRole role = RaftRole::kLearner;
  std::string leader;
  uint64_t commit_index = 0;
  uint64_t delivered_index = 0;  // highest index returned in RaftReady::committed or ::restore
  std::mt19937_64 random;

  Time election_deadline;
  Time last_leader_contact;  // valid only if `leader` is not empty
  Time next_announcement;
  std::map<std::string, uint64_t> uninitialized_members;  // bootstrap: id -> incarnation of members
                                                          // that reported to be uninitialized

  // Candidate: the votes or, if `pre_voting`, the pre-votes received.
  bool pre_voting = false;
  std::map<std::string, uint64_t> granted_votes;  // id -> incarnation
  std::set<std::string> refused_votes;            // ids, granted by none of the above
  Time next_election_report;

  // Leader.
  std::map<std::string, Progress> progress;  // members other than this replica
  std::map<std::string, Progress> learners;  // incarnations that are not members
  Time next_heartbeat;
  Time leader_since;
  uint64_t term_start_index = 0;     // index of this term's first entry
  bool replication_pending = false;  // entries were appended since the last TakeReady()
  uint64_t read_round = 0;
  bool read_round_open = false;
  uint64_t next_read_id = 1;
  std::deque<PendingRead> pending_reads;
  std::string transfer_target;
  Time transfer_deadline;
  bool timeout_now_sent = false;

  std::optional<IncomingSnapshot> incoming_snapshot;

  // Changes to be written and writes in progress. `synced_index` is the highest log index known to
  // be synced.
  uint64_t synced_index = 0;
  uint64_t first_unwritten_index = 0;  // above the last index if no entry is to be written
  bool hard_state_changed = false;
  std::optional<RaftSnapshot> unwritten_snapshot;
  bool unwritten_reset = false;
  uint64_t next_sequence = 1;
  uint64_t synced_sequence = 0;
  uint64_t stored_term = 0;       // the term in the synced hard state
  bool storage_available = true;  // false while the oldest pending write fails
  std::deque<PendingWrite> pending_writes;
  std::vector<DeferredMessage> deferred;
  std::vector<RaftMessage> outbox;
  std::optional<RaftSnapshot> pending_restore;
  std::vector<ReadResult> finished_reads;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_RAFT_H_
