// Roles, terms, quorums, and the RaftReady interface to storage and network.
#include "state/raft.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>

namespace peridotgauge {

Raft::Raft(RaftOptions options, RaftStoredState stored, Time now)
    : options(std::move(options)),
      hard_state(std::move(stored.hard_state)),
      log(std::move(stored.snapshot), std::move(stored.entries)),
      random(this->options.random_seed) {
  const uint64_t snapshot_index = this->log.Snapshot().index;
  this->commit_index =
      std::max(snapshot_index, std::min(this->hard_state.commit, this->log.LastIndex()));
  this->delivered_index = snapshot_index;
  this->synced_index = this->log.LastIndex();
  this->first_unwritten_index = this->synced_index + 1;
  this->stored_term = this->hard_state.term;
  this->next_announcement = now;
  this->role = this->hard_state.admitted ? RaftRole::kFollower : RaftRole::kLearner;
  this->ResetElectionTimer(now);
  this->MaybeAdmitSelf(now);
}

void Raft::Step(Time now, const RaftMessage& message) {
  if (this->role == RaftRole::kFailed) return;
  if (message.to != this->options.id || message.from == this->options.id) return;
  if (message.to_incarnation != 0 && message.to_incarnation != this->hard_state.incarnation) return;
  if (message.from_incarnation == 0) return;
  static constexpr std::array<Handler, kMessageTypeCount> kHandlers = {
      &Raft::HandleAnnounce,       &Raft::HandleAnnounceReply, &Raft::HandlePreVote,
      &Raft::HandlePreVoteReply,   &Raft::HandleVote,          &Raft::HandleVoteReply,
      &Raft::HandleAppend,         &Raft::HandleAppendReply,   &Raft::HandleHeartbeat,
      &Raft::HandleHeartbeatReply, &Raft::HandleSnapshot,      &Raft::HandleSnapshotReply,
      &Raft::HandleTimeoutNow};
  const Handler handler = kHandlers[static_cast<size_t>(message.type)];
  const bool announcement =
      message.type == MessageType::kAnnounce || message.type == MessageType::kAnnounceReply;
  if (!announcement && !this->UpdateTerm(now, message)) return;
  (this->*handler)(now, message);
}

// Advances the term to that of the message. Returns false if the message must be ignored.
bool Raft::UpdateTerm(Time now, const RaftMessage& message) {
  const MessageType type = message.type;
  const bool vote = type == MessageType::kVote || type == MessageType::kPreVote;
  if (vote && !this->hard_state.admitted) return false;
  if (type == MessageType::kPreVote) return true;
  if (type == MessageType::kPreVoteReply && message.granted) return true;
  if (message.term < this->hard_state.term) {
    this->ReplyWithCurrentTerm(message);
    return false;
  }
  if (message.term == this->hard_state.term) return true;
  // A member that is not in contact with the leader must not depose it while other members are.
  if (vote && !message.transfer && this->HeardFromLeader(now)) return false;
  this->BecomeFollower(now, message.term, "");
  return true;
}

// Informs a leader or candidate of an older term about the current term.
void Raft::ReplyWithCurrentTerm(const RaftMessage& message) {
  switch (message.type) {
    case MessageType::kAppend:
    case MessageType::kHeartbeat:
    case MessageType::kSnapshot:
      this->Send(this->MakeReply(MessageType::kHeartbeatReply, message));
      break;
    case MessageType::kVote:
      this->Send(this->MakeReply(MessageType::kVoteReply, message));
      break;
    default:
      break;
  }
}

void Raft::Tick(Time now) {
  if (this->role == RaftRole::kFailed) return;
  const bool needs_admission =
      !this->hard_state.admitted || (this->options.max_members > 0 && !this->IsMember());
  if (needs_admission && now >= this->next_announcement) this->SendAnnouncements(now);
  if (this->Leading()) {
    this->LeaderTick(now);
  } else if (now >= this->election_deadline) {
    this->leader.clear();
    if (this->role == RaftRole::kCandidate) this->OnElectionFailed(now);
    if (this->CanCampaign()) {
      this->Campaign(now, true, false);
    } else {
      this->ResetElectionTimer(now);
    }
  }
}

void Raft::BecomeFollower(Time now, uint64_t term, const std::string& new_leader) {
  if (term > this->hard_state.term) {
    this->hard_state.term = term;
    this->hard_state.vote.clear();
    this->hard_state.vote_incarnation = 0;
    this->MarkHardStateChanged();
  }
  if (this->Leading()) {
    LOG(INFO) << "raft: " << this->options.id << " steps down as leader in term " << term;
    this->LeaveLeadership();
    this->ResetElectionTimer(now);
  }
  this->role = this->hard_state.admitted ? RaftRole::kFollower : RaftRole::kLearner;
  this->granted_votes.clear();
  this->leader = new_leader;
}

// Records a message from the leader of the current term.
void Raft::OnLeaderContact(Time now, const RaftMessage& message) {
  if (this->role == RaftRole::kCandidate || this->leader != message.from) {
    this->BecomeFollower(now, message.term, message.from);
  }
  this->last_leader_contact = now;
  this->ResetElectionTimer(now);
}

void Raft::ResetElectionTimer(Time now) {
  const int64_t base = this->options.election_timeout.count();
  std::uniform_int_distribution<int64_t> extra(0, base);
  this->election_deadline = now + Duration(base + extra(this->random));
}

bool Raft::HeardFromLeader(Time now) const {
  if (this->Leading()) return true;
  return !this->leader.empty() && now - this->last_leader_contact < this->options.election_timeout;
}

bool Raft::IsMember() const {
  return this->hard_state.admitted &&
         ContainsMember(this->Members(), this->options.id, this->hard_state.incarnation);
}

bool Raft::CanCampaign() const { return this->IsMember() && this->storage_available; }

bool Raft::IsSelf(const RaftMember& member) const {
  return member.id == this->options.id && member.incarnation == this->hard_state.incarnation;
}

bool Raft::HasQuorum(const MemberPredicate& test) const {
  for (const RaftMembers* members : this->log.ActiveMemberLists(this->commit_index)) {
    const auto passed = std::count_if(members->begin(), members->end(), test);
    if (2 * static_cast<size_t>(passed) <= members->size()) return false;
  }
  return true;
}

// Returns the members of all active lists except this replica. If an id occurs with two
// incarnations, only that of the newest list is returned.
std::vector<RaftMember> Raft::OtherMembers() const {
  std::map<std::string, RaftMember> newest;
  for (const RaftMembers* members : this->log.ActiveMemberLists(this->commit_index)) {
    for (const RaftMember& member : *members) newest[member.id] = member;
  }
  std::vector<RaftMember> out;
  for (auto& [id, member] : newest) {
    if (id != this->options.id) out.push_back(std::move(member));
  }
  return out;
}

RaftMessage Raft::MakeMessage(MessageType type, const std::string& to) const {
  RaftMessage message;
  message.type = type;
  message.from = this->options.id;
  message.from_incarnation = this->hard_state.incarnation;
  message.from_address = this->options.address;
  message.to = to;
  message.to_address = this->AddressOf(to);
  message.term = this->hard_state.term;
  return message;
}

RaftMessage Raft::MakeReply(MessageType type, const RaftMessage& request) const {
  RaftMessage message = this->MakeMessage(type, request.from);
  message.to_incarnation = request.from_incarnation;
  if (!request.from_address.empty()) message.to_address = request.from_address;
  return message;
}

Address Raft::AddressOf(const std::string& id) const {
  if (const RaftMember* member = FindMember(this->Members(), id)) return member->address;
  if (auto it = this->learners.find(id); it != this->learners.end()) return it->second.address;
  const RaftMember* member = FindMember(this->options.initial, id);
  return member == nullptr ? Address() : member->address;
}

void Raft::Send(RaftMessage message) { this->outbox.push_back(std::move(message)); }

// Sends the message once all changes made so far are synced to disk.
void Raft::SendAfterSync(RaftMessage message) {
  const bool unwritten = this->HasUnwrittenChanges();
  if (!unwritten && this->pending_writes.empty()) return this->Send(std::move(message));
  if (this->deferred.size() >= kMaxDeferredMessages) {
    const auto superseded =
        std::find_if(this->deferred.begin(), this->deferred.end(), [&](const DeferredMessage& old) {
          return old.message.type == message.type && old.message.to == message.to;
        });
    if (superseded != this->deferred.end()) this->deferred.erase(superseded);
  }
  const uint64_t sequence = unwritten ? this->next_sequence : this->pending_writes.back().sequence;
  this->deferred.push_back({sequence, std::move(message)});
}

bool Raft::HasUnwrittenChanges() const {
  return this->hard_state_changed || this->unwritten_snapshot.has_value() ||
         this->first_unwritten_index <= this->log.LastIndex();
}

void Raft::TruncateUncommitted(uint64_t index) {
  CHECK_GT(index, this->commit_index) << "raft: attempt to truncate a committed entry";
  this->log.TruncateFrom(index);
  this->synced_index = std::min(this->synced_index, index - 1);
  this->first_unwritten_index = std::min(this->first_unwritten_index, index);
}

void Raft::CommitTo(Time now, uint64_t index) {
  index = std::min(index, this->log.LastIndex());
  if (index <= this->commit_index) return;
  const uint64_t previous = this->commit_index;
  this->commit_index = index;
  if (this->log.MembershipAsOf(index).index > previous) {
    // With a stored commit index at or above the membership entry, a restarted replica needs only
    // the new list; a majority of the old list may be lost for good.
    this->MarkHardStateChanged();
    this->MaybeAdmitSelf(now);
  }
}

// Marks this replica as admitted if the committed member list contains its incarnation.
void Raft::MaybeAdmitSelf(Time now) {
  if (this->hard_state.admitted) return;
  const RaftMembers& members = this->log.MembershipAsOf(this->commit_index).members;
  if (!ContainsMember(members, this->options.id, this->hard_state.incarnation)) return;
  LOG(INFO) << "raft: " << this->options.id << " was admitted as a member";
  this->hard_state.admitted = true;
  this->MarkHardStateChanged();
  this->role = RaftRole::kFollower;
  this->ResetElectionTimer(now);
}

RaftReady Raft::TakeReady() {
  RaftReady ready;
  if (this->role == RaftRole::kFailed) {
    ready.reads = std::exchange(this->finished_reads, {});
    return ready;
  }
  if (this->replication_pending) this->ReplicateAll();
  ready.restore = std::exchange(this->pending_restore, std::nullopt);
  ready.committed =
      this->log.Range(this->delivered_index + 1, this->commit_index, kMaxDeliveredBytes);
  this->delivered_index += ready.committed.size();
  ready.reads = this->TakeFinishedReads();
  if (this->HasUnwrittenChanges()) {
    RaftWrite write{.sequence = this->next_sequence++};
    write.snapshot = std::exchange(this->unwritten_snapshot, std::nullopt);
    write.reset = std::exchange(this->unwritten_reset, false);
    this->hard_state.commit = this->commit_index;
    write.hard_state = this->hard_state;
    write.entries = this->log.Range(this->first_unwritten_index, this->log.LastIndex(), UINT64_MAX);
    this->hard_state_changed = false;
    this->first_unwritten_index = this->log.LastIndex() + 1;
    this->pending_writes.push_back(
        {write.sequence, this->log.LastIndex(), this->log.LastTerm(), this->hard_state.term});
    ready.write = std::move(write);
  }
  ready.messages = std::exchange(this->outbox, {});
  return ready;
}

std::vector<ReadResult> Raft::TakeFinishedReads() {
  const auto waiting = std::stable_partition(
      this->finished_reads.begin(), this->finished_reads.end(), [this](const ReadResult& read) {
        return !read.confirmed || read.index <= this->delivered_index;
      });
  std::vector<ReadResult> out(this->finished_reads.begin(), waiting);
  this->finished_reads.erase(this->finished_reads.begin(), waiting);
  return out;
}

void Raft::OnPersisted(Time now, uint64_t sequence) {
  if (this->role == RaftRole::kFailed) return;
  while (!this->pending_writes.empty() && this->pending_writes.front().sequence <= sequence) {
    const PendingWrite& done = this->pending_writes.front();
    // The entries of this write may have been replaced since by a newer write.
    if (this->log.TermAt(done.last_index) == done.last_term) {
      this->synced_index = std::max(this->synced_index, done.last_index);
    }
    this->stored_term = done.hard_term;
    this->pending_writes.pop_front();
  }
  if (!this->storage_available) {
    LOG(INFO) << "raft: " << this->options.id << " can store again and takes part in elections";
    this->storage_available = true;
    this->ResetElectionTimer(now);
  }
  auto unsynced = std::stable_partition(
      this->deferred.begin(), this->deferred.end(),
      [sequence](const DeferredMessage& message) { return message.sequence <= sequence; });
  for (auto it = this->deferred.begin(); it != unsynced; ++it) this->Send(std::move(it->message));
  this->deferred.erase(this->deferred.begin(), unsynced);
  if (this->Leading()) this->MaybeCommit(now);
  if (this->role == RaftRole::kCandidate) this->CountVotes(now);
}

// A leader hands over to a member that can store; LeaderTick() gives up if that takes too long.
void Raft::OnStorageUnavailable(Time now) {
  if (this->role == RaftRole::kFailed || !this->storage_available) return;
  LOG(WARNING) << "raft: " << this->options.id << " cannot store and takes no part in elections";
  this->storage_available = false;
  const bool hands_over = this->Leading() && this->TransferLeadership(now);
  if (this->role == RaftRole::kCandidate || (this->Leading() && !hands_over)) {
    this->BecomeFollower(now, this->hard_state.term, "");
  }
}

void Raft::OnStorageFailure() {
  LOG(ERROR) << "raft: " << this->options.id
             << " stops taking part in the group after a storage failure";
  this->LeaveLeadership();
  this->role = RaftRole::kFailed;
  this->leader.clear();
  this->deferred.clear();
  this->outbox.clear();
  this->pending_restore.reset();
  // Nothing is delivered any more, so that reads that wait for an entry fail.
  for (ReadResult& read : this->finished_reads) read.confirmed = false;
}

void Raft::Compact(uint64_t index, std::string data) {
  if (this->role == RaftRole::kFailed || index <= this->log.Snapshot().index) return;
  CHECK_LE(index, this->delivered_index);
  RaftSnapshot snapshot{index, *this->log.TermAt(index), this->log.MembershipAsOf(index).members,
                        std::make_shared<const std::string>(std::move(data))};
  this->unwritten_snapshot = snapshot;
  this->log.Compact(std::move(snapshot), this->options.retained_entries,
                    this->options.retained_bytes);
  this->first_unwritten_index = std::max(this->first_unwritten_index, this->log.FirstIndex());
}

void Raft::FailReads() {
  for (const PendingRead& read : this->pending_reads) {
    this->finished_reads.push_back({read.id, false, 0});
  }
  this->pending_reads.clear();
  this->read_round_open = false;
}

}  // namespace peridotgauge
