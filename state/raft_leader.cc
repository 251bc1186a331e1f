// The leader: replication, commit, snapshots for lagging followers, and leadership transfer.
#define XXH_INLINE_ALL
#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

void Raft::BecomeLeader(Time now) {
  LOG(INFO) << "raft: " << this->options.id << " becomes leader in term " << this->hard_state.term;
  this->role = RaftRole::kLeader;
  this->leader = this->options.id;
  this->leader_since = now;
  this->granted_votes.clear();
  this->progress.clear();
  this->learners.clear();
  this->UpdateProgressMembers(now);
  this->term_start_index = this->AppendAsLeader({});
  this->read_round = 0;
  this->read_round_open = false;
  this->next_heartbeat = now + this->options.heartbeat;
  this->SendHeartbeats();
}

void Raft::LeaveLeadership() {
  this->FailReads();
  this->progress.clear();
  this->learners.clear();
  this->transfer_target.clear();
  this->replication_pending = false;
}

void Raft::LeaderTick(Time now) {
  const Duration timeout = this->options.election_timeout;
  const bool quorum_in_contact = this->HasQuorum([&](const RaftMember& member) {
    if (this->IsSelf(member)) return true;
    const auto found = this->progress.find(member.id);
    return found != this->progress.end() && found->second.incarnation == member.incarnation &&
           now - found->second.last_heard < timeout;
  });
  if (!quorum_in_contact && now - this->leader_since >= timeout) {
    LOG(WARNING) << "raft: " << this->options.id
                 << " steps down: no contact with a majority within the election timeout";
    this->BecomeFollower(now, this->hard_state.term, "");
    return;
  }
  if (!this->transfer_target.empty() && now >= this->transfer_deadline) {
    this->transfer_target.clear();
  }
  if (!this->storage_available && this->transfer_target.empty()) {
    LOG(WARNING) << "raft: " << this->options.id << " steps down: it cannot store";
    this->BecomeFollower(now, this->hard_state.term, "");
    return;
  }
  std::erase_if(this->learners, [&](const auto& learner) {
    return now - learner.second.last_heard > 10 * timeout;
  });
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + this->options.heartbeat;
    this->SendHeartbeats();
    this->MaybeRemoveUnresponsive(now);
  }
}

// Updates `progress` to contain exactly the other members of the active lists.
void Raft::UpdateProgressMembers(Time now) {
  std::map<std::string, Progress> updated;
  for (const RaftMember& member : this->OtherMembers()) {
    Progress& entry = updated[member.id];
    const auto old = this->progress.find(member.id);
    const auto learner = this->learners.find(member.id);
    if (old != this->progress.end() && old->second.incarnation == member.incarnation) {
      entry = std::move(old->second);
    } else if (learner != this->learners.end() &&
               learner->second.incarnation == member.incarnation) {
      entry = std::move(learner->second);
      this->learners.erase(learner);
    } else {
      entry.incarnation = member.incarnation;
      entry.next = this->log.LastIndex() + 1;
      entry.last_heard = now;
    }
    entry.address = member.address;
  }
  this->progress = std::move(updated);
}

Raft::Progress* Raft::FindProgress(const RaftMessage& message) {
  for (auto* group : {&this->progress, &this->learners}) {
    const auto found = group->find(message.from);
    if (found != group->end() && found->second.incarnation == message.from_incarnation) {
      return &found->second;
    }
  }
  return nullptr;
}

Raft::Progress* Raft::FindOrAddLearner(Time now, const RaftMessage& message) {
  if (Progress* known = this->FindProgress(message)) {
    known->last_heard = now;
    return known;
  }
  if (this->learners.size() >= kMaxLearners && !this->learners.contains(message.from)) {
    return nullptr;
  }
  LOG(INFO) << "raft: " << this->options.id << " starts replication to learner " << message.from;
  Progress& learner = this->learners[message.from];
  learner = Progress{};
  learner.incarnation = message.from_incarnation;
  learner.address = message.from_address;
  learner.next = this->log.LastIndex() + 1;
  learner.last_heard = now;
  this->Replicate(message.from, learner);
  return &learner;
}

uint64_t Raft::AppendAsLeader(LogEntry entry) {
  entry.index = this->log.LastIndex() + 1;
  entry.term = this->hard_state.term;
  this->log.Append(std::move(entry));
  this->replication_pending = true;
  return this->log.LastIndex();
}

void Raft::ReplicateAll() {
  this->replication_pending = false;
  for (auto& [id, entry] : this->progress) this->Replicate(id, entry);
  for (auto& [id, entry] : this->learners) this->Replicate(id, entry);
}

// Sends entries up to the limit of appends in flight.
void Raft::Replicate(const std::string& id, Progress& receiver) {
  while (!receiver.snapshot && !(receiver.probing && receiver.append_outstanding) &&
         receiver.in_flight < kMaxInFlightAppends) {
    const auto previous_term = this->log.TermAt(receiver.next - 1);
    if (!previous_term || receiver.next < this->log.FirstIndex()) {
      this->StartSnapshot(id, receiver);
      return;
    }
    if (!receiver.probing &&
        (receiver.next > this->log.LastIndex() ||
         this->log.BytesBetween(receiver.match, receiver.next - 1) >= kMaxInFlightBytes)) {
      return;
    }
    RaftMessage message = this->MakeMessage(MessageType::kAppend, id);
    message.to_incarnation = receiver.incarnation;
    message.index = receiver.next - 1;
    message.log_term = *previous_term;
    message.commit = this->commit_index;
    message.entries = this->log.Range(receiver.next, this->log.LastIndex(), kMaxAppendBytes);
    if (receiver.probing) {
      receiver.append_outstanding = true;
    } else {
      receiver.next += message.entries.size();
      ++receiver.in_flight;
    }
    this->Send(std::move(message));
  }
}

void Raft::StartSnapshot(const std::string& id, Progress& receiver) {
  receiver.snapshot = this->log.Snapshot();
  if (receiver.snapshot->data == nullptr) {
    receiver.snapshot->data = std::make_shared<const std::string>();
  }
  receiver.snapshot_offset = 0;
  const std::string_view data = *receiver.snapshot->data;
  receiver.snapshot_checksum = XXH3_64bits(data.data(), data.size());
  this->SendSnapshotChunk(id, receiver);
}

void Raft::SendSnapshotChunk(const std::string& id, Progress& receiver) {
  const std::string& data = *receiver.snapshot->data;
  RaftMessage message = this->MakeMessage(MessageType::kSnapshot, id);
  message.to_incarnation = receiver.incarnation;
  message.index = receiver.snapshot->index;
  message.log_term = receiver.snapshot->term;
  message.members = receiver.snapshot->members;
  message.total = data.size();
  message.checksum = receiver.snapshot_checksum;
  message.offset = std::min<uint64_t>(receiver.snapshot_offset, data.size());
  message.data = data.substr(message.offset, kSnapshotChunkBytes);
  this->Send(std::move(message));
}

void Raft::SendHeartbeats() {
  for (const auto& [id, entry] : this->progress) this->SendHeartbeat(id, entry);
  for (const auto& [id, entry] : this->learners) this->SendHeartbeat(id, entry);
}

void Raft::SendHeartbeat(const std::string& id, const Progress& receiver) {
  RaftMessage message = this->MakeMessage(MessageType::kHeartbeat, id);
  message.to_incarnation = receiver.incarnation;
  message.commit = std::min(this->commit_index, receiver.match);
  message.round = this->read_round;
  this->Send(std::move(message));
}

void Raft::HandleAppendReply(Time now, const RaftMessage& message) {
  if (!this->Leading()) return;
  Progress* receiver = this->FindProgress(message);
  if (receiver == nullptr) return;
  receiver->last_heard = now;
  if (message.granted) {
    this->AdvanceMatch(now, message.from, *receiver, message.index);
    return;
  }
  if (message.offset <= receiver->match) return;  // a delayed rejection
  receiver->probing = true;
  receiver->append_outstanding = false;
  receiver->in_flight = 0;
  receiver->next = std::max(receiver->match, std::min(message.index, message.offset - 1)) + 1;
  this->Replicate(message.from, *receiver);
}

void Raft::AdvanceMatch(Time now, const std::string& id, Progress& receiver, uint64_t match) {
  if (match > this->log.LastIndex()) return;
  receiver.match = std::max(receiver.match, match);
  receiver.next = std::max(receiver.next, receiver.match + 1);
  receiver.probing = false;
  receiver.append_outstanding = false;
  if (receiver.in_flight > 0) --receiver.in_flight;
  if (receiver.snapshot && receiver.match >= receiver.snapshot->index) receiver.snapshot.reset();
  this->Replicate(id, receiver);
  if (this->learners.contains(id) && &this->learners[id] == &receiver) {
    this->MaybeAdmitLearner(now, id, receiver);
  } else {
    this->MaybeCommit(now);
    this->MaybeFinishTransfer();
  }
}

void Raft::HandleHeartbeatReply(Time now, const RaftMessage& message) {
  Progress* receiver = this->Leading() ? this->FindProgress(message) : nullptr;
  if (receiver == nullptr || !message.granted) return;
  receiver->last_heard = now;
  receiver->acked_round = std::max(receiver->acked_round, message.round);
  this->ResendIfStalled(now, message.from, *receiver);
  this->Replicate(message.from, *receiver);
  // A learner may have caught up while a pending membership change prevented its admission.
  const auto learner = this->learners.find(message.from);
  if (learner != this->learners.end() && &learner->second == receiver) {
    this->MaybeAdmitLearner(now, message.from, *receiver);
  }
  this->ConfirmReads();
}

// Resends unacknowledged entries or the snapshot chunk if there was no progress for a whole check
// interval. Delayed replies that arrive together cause at most one resend.
void Raft::ResendIfStalled(Time now, const std::string& id, Progress& receiver) {
  if (now - receiver.last_stall_check < kAppendTimeoutHeartbeats * this->options.heartbeat) return;
  receiver.last_stall_check = now;
  if (receiver.snapshot) {
    if (receiver.snapshot_offset == receiver.checked_offset) this->SendSnapshotChunk(id, receiver);
  } else if (receiver.match < this->log.LastIndex() && receiver.match == receiver.checked_match) {
    receiver.probing = true;
    receiver.append_outstanding = false;
    receiver.in_flight = 0;
    if (receiver.match > 0) receiver.next = receiver.match + 1;
  }
  receiver.checked_match = receiver.match;
  receiver.checked_offset = receiver.snapshot_offset;
}

void Raft::HandleSnapshotReply(Time now, const RaftMessage& message) {
  Progress* receiver = this->Leading() ? this->FindProgress(message) : nullptr;
  if (receiver == nullptr) return;
  receiver->last_heard = now;
  if (!receiver->snapshot || receiver->snapshot->index != message.index) return;
  if (message.offset == receiver->snapshot_offset) return;  // a duplicate reply
  receiver->snapshot_offset = message.offset;
  this->SendSnapshotChunk(message.from, *receiver);
}

uint64_t Raft::MatchOf(const RaftMember& member) const {
  if (this->IsSelf(member)) return this->synced_index;
  const auto found = this->progress.find(member.id);
  if (found == this->progress.end()) return 0;
  return found->second.incarnation == member.incarnation ? found->second.match : 0;
}

// Commits entries that a majority of every active list holds, if the last of them is of this term.
void Raft::MaybeCommit(Time now) {
  uint64_t agreed = UINT64_MAX;
  for (const RaftMembers* members : this->log.ActiveMemberLists(this->commit_index)) {
    std::vector<uint64_t> matches;
    for (const RaftMember& member : *members) matches.push_back(this->MatchOf(member));
    if (matches.empty()) return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    agreed = std::min(agreed, matches[matches.size() / 2]);
  }
  if (agreed <= this->commit_index || this->log.TermAt(agreed) != this->hard_state.term) return;
  const uint64_t previous = this->commit_index;
  this->CommitTo(now, agreed);
  if (this->log.LatestMembership().index > previous &&
      this->log.LatestMembership().index <= agreed) {
    this->OnMembershipCommitted(now);
  }
  if (this->Leading()) this->StartReadRound();
}

void Raft::OnMembershipCommitted(Time now) {
  this->UpdateProgressMembers(now);
  if (!this->IsMember()) {
    LOG(INFO) << "raft: " << this->options.id << " steps down: it is no longer a member";
    this->BecomeFollower(now, this->hard_state.term, "");
  }
}

bool Raft::TransferLeadership(Time now) {
  if (!this->Leading()) return false;
  const Progress* best = nullptr;
  for (const auto& [id, entry] : this->progress) {
    if (!ContainsMember(this->Members(), id, entry.incarnation)) continue;
    if (now - entry.last_heard >= this->options.election_timeout) continue;
    if (best != nullptr && entry.match <= best->match) continue;
    best = &entry;
    this->transfer_target = id;
  }
  if (best == nullptr) return false;
  this->transfer_deadline = now + this->options.election_timeout;
  this->timeout_now_sent = false;
  this->MaybeFinishTransfer();
  return true;
}

// Tells the transfer target to start an election once it holds the whole log. No commands are
// accepted meanwhile.
void Raft::MaybeFinishTransfer() {
  if (this->transfer_target.empty() || this->timeout_now_sent) return;
  const auto found = this->progress.find(this->transfer_target);
  if (found == this->progress.end() || found->second.match < this->log.LastIndex()) return;
  RaftMessage message = this->MakeMessage(MessageType::kTimeoutNow, this->transfer_target);
  message.to_incarnation = found->second.incarnation;
  this->Send(std::move(message));
  this->timeout_now_sent = true;
}

}  // namespace peridotgauge
