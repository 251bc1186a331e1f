// The leader: replication, commit, snapshots for followers that lag, and leadership transfer.
#define XXH_INLINE_ALL
#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

void Raft::BecomeLeader(Time now) {
  LOG(INFO) << "raft: " << this->options.id << " leads in term " << this->hard.term;
  this->role = RaftRole::kLeader;
  this->leader = this->options.id;
  this->leader_since = now;
  this->grants.clear();
  this->progress.clear();
  this->learners.clear();
  this->SyncProgress(now);
  this->uncommitted_bytes = 0;
  for (uint64_t i = this->commit + 1; i <= this->log.LastIndex(); ++i) {
    this->uncommitted_bytes += this->log.At(i).data.size();
  }
  this->term_start = this->AppendAsLeader({});
  this->round = 0;
  this->round_open = false;
  this->next_heartbeat = now + this->options.heartbeat;
  this->SendHeartbeats();
}

void Raft::LeaveLeadership() {
  this->FailReads();
  this->progress.clear();
  this->learners.clear();
  this->transfer_target.clear();
  this->replicate_due = false;
}

void Raft::LeaderTick(Time now) {
  const Duration timeout = this->options.election_timeout;
  const bool in_contact = this->Quorum([&](const RaftMember& member) {
    if (this->IsSelf(member)) return true;
    const auto found = this->progress.find(member.id);
    return found != this->progress.end() && found->second.incarnation == member.incarnation &&
           now - found->second.last_heard < timeout;
  });
  if (!in_contact && now - this->leader_since >= timeout) {
    LOG(WARNING) << "raft: " << this->options.id << " has lost contact with the majority";
    this->BecomeFollower(now, this->hard.term, "");
    return;
  }
  if (!this->transfer_target.empty() && now >= this->transfer_deadline) {
    this->transfer_target.clear();
  }
  std::erase_if(this->learners, [&](const auto& learner) {
    return now - learner.second.last_heard > 10 * timeout;
  });
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + this->options.heartbeat;
    this->SendHeartbeats();
    this->MaybeRemoveSilent(now);
  }
}

// Makes `progress` contain exactly the other members of the lists in force.
void Raft::SyncProgress(Time now) {
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

Raft::Progress* Raft::ProgressOf(const RaftMessage& message) {
  for (auto* group : {&this->progress, &this->learners}) {
    const auto found = group->find(message.from);
    if (found != group->end() && found->second.incarnation == message.from_incarnation) {
      return &found->second;
    }
  }
  return nullptr;
}

Raft::Progress* Raft::FindOrAddLearner(Time now, const RaftMessage& message) {
  if (Progress* known = this->ProgressOf(message)) {
    known->last_heard = now;
    return known;
  }
  if (this->learners.size() >= kMaxLearners && !this->learners.contains(message.from)) {
    return nullptr;
  }
  LOG(INFO) << "raft: " << this->options.id << " brings the learner " << message.from << " up";
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
  entry.term = this->hard.term;
  this->uncommitted_bytes += entry.data.size();
  this->log.Append(std::move(entry));
  this->replicate_due = true;
  return this->log.LastIndex();
}

void Raft::ReplicateAll() {
  this->replicate_due = false;
  for (auto& [id, entry] : this->progress) this->Replicate(id, entry);
  for (auto& [id, entry] : this->learners) this->Replicate(id, entry);
}

// Sends entries as far as the receiver's window allows.
void Raft::Replicate(const std::string& id, Progress& target) {
  while (!target.snapshot && !(target.probing && target.waiting) &&
         target.in_flight < kMaxInFlightAppends) {
    const auto previous_term = this->log.TermAt(target.next - 1);
    if (!previous_term || target.next < this->log.FirstIndex()) {
      this->StartSnapshot(id, target);
      return;
    }
    if (!target.probing && target.next > this->log.LastIndex()) return;
    RaftMessage message = this->MakeMessage(MessageType::kAppend, id);
    message.to_incarnation = target.incarnation;
    message.index = target.next - 1;
    message.log_term = *previous_term;
    message.commit = this->commit;
    message.entries = this->log.Range(target.next, this->log.LastIndex(), kMaxAppendBytes);
    if (target.probing) {
      target.waiting = true;
    } else {
      target.next += message.entries.size();
      ++target.in_flight;
    }
    this->Send(std::move(message));
  }
}

void Raft::StartSnapshot(const std::string& id, Progress& target) {
  target.snapshot = this->log.Snapshot();
  if (target.snapshot->data == nullptr) {
    target.snapshot->data = std::make_shared<const std::string>();
  }
  target.snapshot_offset = 0;
  const std::string_view data = *target.snapshot->data;
  target.snapshot_checksum = XXH3_64bits(data.data(), data.size());
  this->SendSnapshotChunk(id, target);
}

void Raft::SendSnapshotChunk(const std::string& id, Progress& target) {
  const std::string& data = *target.snapshot->data;
  RaftMessage message = this->MakeMessage(MessageType::kSnapshot, id);
  message.to_incarnation = target.incarnation;
  message.index = target.snapshot->index;
  message.log_term = target.snapshot->term;
  message.members = target.snapshot->members;
  message.total = data.size();
  message.checksum = target.snapshot_checksum;
  message.offset = std::min<uint64_t>(target.snapshot_offset, data.size());
  message.data = data.substr(message.offset, kSnapshotChunkBytes);
  this->Send(std::move(message));
}

void Raft::SendHeartbeats() {
  for (const auto& [id, entry] : this->progress) this->SendHeartbeat(id, entry);
  for (const auto& [id, entry] : this->learners) this->SendHeartbeat(id, entry);
}

void Raft::SendHeartbeat(const std::string& id, const Progress& target) {
  RaftMessage message = this->MakeMessage(MessageType::kHeartbeat, id);
  message.to_incarnation = target.incarnation;
  message.commit = std::min(this->commit, target.match);
  message.round = this->round;
  this->Send(std::move(message));
}

void Raft::HandleAppendReply(Time now, const RaftMessage& message) {
  if (!this->Leading()) return;
  Progress* target = this->ProgressOf(message);
  if (target == nullptr) return;
  target->last_heard = now;
  if (message.granted) {
    this->Advance(now, message.from, *target, message.index);
    return;
  }
  if (message.offset <= target->match) return;  // an old rejection
  target->probing = true;
  target->waiting = false;
  target->in_flight = 0;
  target->next = std::max(target->match, std::min(message.index, message.offset - 1)) + 1;
  this->Replicate(message.from, *target);
}

void Raft::Advance(Time now, const std::string& id, Progress& target, uint64_t match) {
  if (match > this->log.LastIndex()) return;
  target.match = std::max(target.match, match);
  target.next = std::max(target.next, target.match + 1);
  target.probing = false;
  target.waiting = false;
  if (target.in_flight > 0) --target.in_flight;
  if (target.snapshot && target.match >= target.snapshot->index) target.snapshot.reset();
  this->Replicate(id, target);
  if (this->learners.contains(id) && &this->learners[id] == &target) {
    this->MaybeAdmitLearner(now, id, target);
  } else {
    this->MaybeCommit(now);
    this->MaybeFinishTransfer();
  }
}

void Raft::HandleHeartbeatReply(Time now, const RaftMessage& message) {
  Progress* target = this->Leading() ? this->ProgressOf(message) : nullptr;
  if (target == nullptr || !message.granted) return;
  target->last_heard = now;
  target->round = std::max(target->round, message.round);
  this->ResendLost(now, message.from, *target);
  this->Replicate(message.from, *target);
  // A learner may have caught up while another change kept it from being admitted.
  const auto learner = this->learners.find(message.from);
  if (learner != this->learners.end() && &learner->second == target) {
    this->MaybeAdmitLearner(now, message.from, *target);
  }
  this->ConfirmReads();
}

// Sends again what is outstanding if there was no progress for a whole check interval. Replies that
// were held up by the network arrive together and count as one.
void Raft::ResendLost(Time now, const std::string& id, Progress& target) {
  if (now - target.checked < kLostAppendHeartbeats * this->options.heartbeat) return;
  target.checked = now;
  if (target.snapshot) {
    if (target.snapshot_offset == target.offset_at_heartbeat) this->SendSnapshotChunk(id, target);
  } else if (target.match < this->log.LastIndex() && target.match == target.match_at_heartbeat) {
    target.probing = true;
    target.waiting = false;
    target.in_flight = 0;
    if (target.match > 0) target.next = target.match + 1;
  }
  target.match_at_heartbeat = target.match;
  target.offset_at_heartbeat = target.snapshot_offset;
}

void Raft::HandleSnapshotReply(Time now, const RaftMessage& message) {
  Progress* target = this->Leading() ? this->ProgressOf(message) : nullptr;
  if (target == nullptr) return;
  target->last_heard = now;
  if (!target->snapshot || target->snapshot->index != message.index) return;
  if (message.offset == target->snapshot_offset) return;  // a duplicate
  target->snapshot_offset = message.offset;
  this->SendSnapshotChunk(message.from, *target);
}

uint64_t Raft::MatchOf(const RaftMember& member) const {
  if (this->IsSelf(member)) return this->stable;
  const auto found = this->progress.find(member.id);
  if (found == this->progress.end()) return 0;
  return found->second.incarnation == member.incarnation ? found->second.match : 0;
}

// Commits what a majority of every list in force holds, if it ends with an entry of this term.
void Raft::MaybeCommit(Time now) {
  uint64_t agreed = UINT64_MAX;
  for (const RaftMembers* members : this->log.MembersInForce(this->commit)) {
    std::vector<uint64_t> matches;
    for (const RaftMember& member : *members) matches.push_back(this->MatchOf(member));
    if (matches.empty()) return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    agreed = std::min(agreed, matches[matches.size() / 2]);
  }
  if (agreed <= this->commit || this->log.TermAt(agreed) != this->hard.term) return;
  for (uint64_t i = this->commit + 1; i <= agreed; ++i) {
    this->uncommitted_bytes -= this->log.At(i).data.size();
  }
  const uint64_t previous = this->commit;
  this->CommitTo(now, agreed);
  if (this->log.Latest().index > previous && this->log.Latest().index <= agreed) {
    this->AfterMembershipCommit(now);
  }
  if (this->Leading()) this->StartRound();
}

void Raft::AfterMembershipCommit(Time now) {
  this->SyncProgress(now);
  if (!this->CanCampaign()) {
    LOG(INFO) << "raft: " << this->options.id << " is no longer a member";
    this->BecomeFollower(now, this->hard.term, "");
  }
}

bool Raft::TransferLeadership(Time now) {
  if (!this->Leading()) return false;
  const Progress* best = nullptr;
  for (const auto& [id, entry] : this->progress) {
    if (!Lists(this->Members(), id, entry.incarnation)) continue;
    if (now - entry.last_heard >= this->options.election_timeout) continue;
    if (best != nullptr && entry.match <= best->match) continue;
    best = &entry;
    this->transfer_target = id;
  }
  if (best == nullptr) return false;
  this->transfer_deadline = now + this->options.election_timeout;
  this->transfer_sent = false;
  this->MaybeFinishTransfer();
  return true;
}

// Asks the target to campaign once it holds the whole log; no commands are accepted meanwhile.
void Raft::MaybeFinishTransfer() {
  if (this->transfer_target.empty() || this->transfer_sent) return;
  const auto found = this->progress.find(this->transfer_target);
  if (found == this->progress.end() || found->second.match < this->log.LastIndex()) return;
  RaftMessage message = this->MakeMessage(MessageType::kTimeoutNow, this->transfer_target);
  message.to_incarnation = found->second.incarnation;
  this->Send(std::move(message));
  this->transfer_sent = true;
}

}  // namespace peridotgauge
