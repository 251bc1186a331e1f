// Roles, terms, quorums and the hand-over of work to storage and network.
#include "state/raft.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>

namespace peridotgauge {

Raft::Raft(RaftOptions options, RaftStoredState stored, Time now)
    : options(std::move(options)),
      hard(std::move(stored.hard_state)),
      log(std::move(stored.snapshot), stored.entries),
      random(this->options.random_seed) {
  const uint64_t snapshot_index = this->log.Snapshot().index;
  this->commit = std::max(snapshot_index, std::min(this->hard.commit, this->log.LastIndex()));
  this->handed = snapshot_index;
  this->stable = this->log.LastIndex();
  this->unwritten = this->stable + 1;
  this->stored_term = this->hard.term;
  this->next_probe = now;
  this->role = this->hard.admitted ? RaftRole::kFollower : RaftRole::kLearner;
  this->ResetElectionTimer(now);
  this->MaybeAdmitSelf(now);
}

void Raft::Step(Time now, const RaftMessage& message) {
  if (this->role == RaftRole::kFailed) return;
  if (message.to != this->options.id || message.from == this->options.id) return;
  if (message.to_incarnation != 0 && message.to_incarnation != this->hard.incarnation) return;
  if (message.from_incarnation == 0) return;
  static constexpr std::array<Handler, kMessageTypeCount> kHandlers = {
      &Raft::HandleProbe,          &Raft::HandleProbeReply,  &Raft::HandlePreVote,
      &Raft::HandlePreVoteReply,   &Raft::HandleVote,        &Raft::HandleVoteReply,
      &Raft::HandleAppend,         &Raft::HandleAppendReply, &Raft::HandleHeartbeat,
      &Raft::HandleHeartbeatReply, &Raft::HandleSnapshot,    &Raft::HandleSnapshotReply,
      &Raft::HandleTimeoutNow};
  const Handler handler = kHandlers[static_cast<size_t>(message.type)];
  const bool probe =
      message.type == MessageType::kProbe || message.type == MessageType::kProbeReply;
  if (!probe && !this->UpdateTerm(now, message)) return;
  (this->*handler)(now, message);
}

// Brings the term up to that of the message. Returns false if the message is to be ignored.
bool Raft::UpdateTerm(Time now, const RaftMessage& message) {
  const MessageType type = message.type;
  const bool vote = type == MessageType::kVote || type == MessageType::kPreVote;
  if (vote && !this->hard.admitted) return false;
  if (type == MessageType::kPreVote) return true;
  if (type == MessageType::kPreVoteReply && message.granted) return true;
  if (message.term < this->hard.term) {
    this->AnswerStaleTerm(message);
    return false;
  }
  if (message.term == this->hard.term) return true;
  // A member that cannot hear the leader must not depose a leader that others hear.
  if (vote && !message.transfer && this->HeardFromLeader(now)) return false;
  this->BecomeFollower(now, message.term, "");
  return true;
}

// Tells a leader or candidate of an older term about the present one.
void Raft::AnswerStaleTerm(const RaftMessage& message) {
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
  const bool outside = !this->hard.admitted || (this->options.grow_to > 0 && !this->CanCampaign());
  if (outside && now >= this->next_probe) this->SendProbes(now);
  if (this->Leading()) {
    this->LeaderTick(now);
  } else if (now >= this->election_deadline) {
    this->leader.clear();
    if (this->CanCampaign()) {
      this->Campaign(now, true, false);
    } else {
      this->ResetElectionTimer(now);
    }
  }
}

void Raft::BecomeFollower(Time now, uint64_t term, const std::string& new_leader) {
  if (term > this->hard.term) {
    this->hard.term = term;
    this->hard.vote.clear();
    this->hard.vote_incarnation = 0;
    this->MarkHardState();
  }
  if (this->Leading()) {
    LOG(INFO) << "raft: " << this->options.id << " stops leading in term " << term;
    this->LeaveLeadership();
    this->ResetElectionTimer(now);
  }
  this->role = this->hard.admitted ? RaftRole::kFollower : RaftRole::kLearner;
  this->grants.clear();
  this->leader = new_leader;
}

// Notes a message of the present term's leader.
void Raft::SetContact(Time now, const RaftMessage& message) {
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

bool Raft::CanCampaign() const {
  return this->hard.admitted && Lists(this->Members(), this->options.id, this->hard.incarnation);
}

bool Raft::IsSelf(const RaftMember& member) const {
  return member.id == this->options.id && member.incarnation == this->hard.incarnation;
}

bool Raft::Quorum(const MemberTest& test) const {
  for (const RaftMembers* members : this->log.MembersInForce(this->commit)) {
    const auto passed = std::count_if(members->begin(), members->end(), test);
    if (2 * static_cast<size_t>(passed) <= members->size()) return false;
  }
  return true;
}

// The members of all lists in force without this replica. Of two incarnations of one id only the
// one of the newest list is returned.
std::vector<RaftMember> Raft::OtherMembers() const {
  std::map<std::string, RaftMember> newest;
  for (const RaftMembers* members : this->log.MembersInForce(this->commit)) {
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
  message.from_incarnation = this->hard.incarnation;
  message.from_address = this->options.address;
  message.to = to;
  message.to_address = this->AddressOf(to);
  message.term = this->hard.term;
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

// Sends the message once everything that has changed up to now is synced.
void Raft::SendAfterSync(RaftMessage message) {
  if (this->HasUnwritten()) {
    this->held.push_back({this->next_sequence, std::move(message)});
  } else if (!this->pending_writes.empty()) {
    this->held.push_back({this->pending_writes.back().sequence, std::move(message)});
  } else {
    this->Send(std::move(message));
  }
}

bool Raft::HasUnwritten() const {
  return this->hard_changed || this->unwritten_snapshot.has_value() ||
         this->unwritten <= this->log.LastIndex();
}

void Raft::TruncateLocal(uint64_t index) {
  CHECK_GT(index, this->commit) << "raft: a committed entry would be replaced";
  this->log.TruncateFrom(index);
  this->stable = std::min(this->stable, index - 1);
  this->unwritten = std::min(this->unwritten, index);
}

void Raft::CommitTo(Time now, uint64_t index) {
  index = std::min(index, this->log.LastIndex());
  if (index <= this->commit) return;
  const uint64_t previous = this->commit;
  this->commit = index;
  if (this->log.MembershipAsOf(index).index > previous) {
    // A stored commit index at or above the membership entry lets a restarted replica use the new
    // list alone; the old one may have a majority that is gone.
    this->MarkHardState();
    this->MaybeAdmitSelf(now);
  }
}

// Marks this replica as admitted if a committed list contains its incarnation.
void Raft::MaybeAdmitSelf(Time now) {
  if (this->hard.admitted) return;
  const RaftMembers& members = this->log.MembershipAsOf(this->commit).members;
  if (!Lists(members, this->options.id, this->hard.incarnation)) return;
  LOG(INFO) << "raft: " << this->options.id << " is admitted";
  this->hard.admitted = true;
  this->MarkHardState();
  this->role = RaftRole::kFollower;
  this->ResetElectionTimer(now);
}

RaftReady Raft::TakeReady() {
  RaftReady ready;
  ready.reads = std::exchange(this->finished_reads, {});
  if (this->role == RaftRole::kFailed) return ready;
  if (this->replicate_due) this->ReplicateAll();
  ready.restore = std::exchange(this->restore, std::nullopt);
  ready.committed = this->log.Range(this->handed + 1, this->commit, UINT64_MAX);
  this->handed = this->commit;
  if (this->HasUnwritten()) {
    RaftWrite write{.sequence = this->next_sequence++};
    write.snapshot = std::exchange(this->unwritten_snapshot, std::nullopt);
    write.reset = std::exchange(this->unwritten_reset, false);
    this->hard.commit = this->commit;
    write.hard_state = this->hard;
    write.entries = this->log.Range(this->unwritten, this->log.LastIndex(), UINT64_MAX);
    this->hard_changed = false;
    this->unwritten = this->log.LastIndex() + 1;
    this->pending_writes.push_back(
        {write.sequence, this->log.LastIndex(), this->log.LastTerm(), this->hard.term});
    ready.write = std::move(write);
  }
  ready.messages = std::exchange(this->outbox, {});
  return ready;
}

void Raft::OnPersisted(Time now, uint64_t sequence) {
  if (this->role == RaftRole::kFailed) return;
  while (!this->pending_writes.empty() && this->pending_writes.front().sequence <= sequence) {
    const PendingWrite& done = this->pending_writes.front();
    // A newer write may have replaced the entries of this one.
    if (this->log.TermAt(done.last_index) == done.last_term) {
      this->stable = std::max(this->stable, done.last_index);
    }
    this->stored_term = done.hard_term;
    this->pending_writes.pop_front();
  }
  auto unsynced = std::stable_partition(
      this->held.begin(), this->held.end(),
      [sequence](const HeldMessage& message) { return message.sequence <= sequence; });
  for (auto it = this->held.begin(); it != unsynced; ++it) this->Send(std::move(it->message));
  this->held.erase(this->held.begin(), unsynced);
  if (this->Leading()) this->MaybeCommit(now);
  if (this->role == RaftRole::kCandidate) this->CountVotes(now);
}

void Raft::OnStorageFailure() {
  LOG(ERROR) << "raft: " << this->options.id << " stops after a storage failure";
  this->LeaveLeadership();
  this->role = RaftRole::kFailed;
  this->leader.clear();
  this->held.clear();
  this->outbox.clear();
  this->restore.reset();
}

void Raft::Compact(uint64_t index, std::string data) {
  if (this->role == RaftRole::kFailed || index <= this->log.Snapshot().index) return;
  CHECK_LE(index, this->handed);
  RaftSnapshot snapshot{index, *this->log.TermAt(index), this->log.MembershipAsOf(index).members,
                        std::make_shared<const std::string>(std::move(data))};
  this->unwritten_snapshot = snapshot;
  this->log.Compact(std::move(snapshot), this->options.kept_entries);
  this->unwritten = std::max(this->unwritten, this->log.FirstIndex());
}

void Raft::FailReads() {
  for (const PendingRead& read : this->pending_reads) {
    this->finished_reads.push_back({read.id, false, 0});
  }
  this->pending_reads.clear();
  this->round_open = false;
}

}  // namespace peridotgauge
