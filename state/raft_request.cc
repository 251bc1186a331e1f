// Requests to the leader: commands, membership changes and linearizable reads.
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

bool Raft::HasCommittedInTerm() const { return this->commit_index >= this->term_start_index; }

Result<uint64_t> Raft::Propose(Time, std::string command) {
  if (!this->Leading() || !this->transfer_target.empty()) return Fail(ErrorCode::kNotLeader);
  if (command.size() > kMaxCommandBytes) return Fail(ErrorCode::kTooLarge, "command is too large");
  const uint64_t settled =
      std::max(std::min(this->commit_index, this->synced_index), this->log.FirstIndex() - 1);
  if (this->log.LastIndex() - settled >= kMaxUncommittedEntries ||
      this->log.BytesAfter(settled) + command.size() > kMaxUncommittedBytes) {
    return Fail(ErrorCode::kOverloaded, "too many commands that are not committed and synced");
  }
  return this->AppendAsLeader({.kind = EntryKind::kCommand, .data = std::move(command)});
}

Result<uint64_t> Raft::ChangeMember(Time now, const RaftMember& member, bool remove) {
  if (!this->Leading() || !this->transfer_target.empty()) return Fail(ErrorCode::kNotLeader);
  if (!this->NoMembershipChangePending()) {
    return Fail(ErrorCode::kConflict, "another membership change is not committed yet");
  }
  RaftMembers members = this->Members();
  std::erase_if(members, [&](const RaftMember& other) { return other.id == member.id; });
  if (!remove) {
    RaftMember added = member;
    const auto learner = this->learners.find(member.id);
    if (added.incarnation == 0 && learner != this->learners.end()) {
      added.incarnation = learner->second.incarnation;
    }
    if (learner == this->learners.end() || learner->second.incarnation != added.incarnation) {
      if (ContainsMember(this->Members(), added.id, added.incarnation)) {
        return Fail(ErrorCode::kBadRequest, "this incarnation is already a member");
      }
      return Fail(ErrorCode::kNotFound, "no learner with that id and incarnation");
    }
    if (added.address.empty()) added.address = learner->second.address;
    members.push_back(std::move(added));
  }
  return this->AppendMembers(now, std::move(members));
}

bool Raft::NoMembershipChangePending() const {
  return this->HasCommittedInTerm() && this->log.LatestMembership().index <= this->commit_index;
}

Result<uint64_t> Raft::AppendMembers(Time now, RaftMembers members) {
  std::sort(members.begin(), members.end(),
            [](const RaftMember& a, const RaftMember& b) { return a.id < b.id; });
  if (members.empty() || members == this->Members()) {
    return Fail(ErrorCode::kBadRequest, "the member list would be empty or unchanged");
  }
  const uint64_t index = this->AppendAsLeader(
      {.kind = EntryKind::kMembership, .data = {}, .members = std::move(members)});
  this->UpdateProgressMembers(now);
  return index;
}

// Admits a learner that holds all committed entries: replaces the incarnation in the member list,
// or adds the learner if `max_members` allows it.
void Raft::MaybeAdmitLearner(Time now, const std::string& id, const Progress& learner) {
  const RaftMember* member = FindMember(this->Members(), id);
  if (member != nullptr && member->incarnation == learner.incarnation) return;
  if (!this->NoMembershipChangePending() || learner.match < this->commit_index) return;
  if (!this->transfer_target.empty()) return;
  if (member == nullptr) return this->MaybeAddNew(now, {id, learner.incarnation, learner.address});
  LOG(INFO) << "raft: " << this->options.id << " admits a new incarnation of member " << id;
  const RaftMember replacement{id, learner.incarnation, learner.address};
  const Result<uint64_t> index = this->ChangeMember(now, replacement, false);
  LOG_IF(WARNING, !index) << "raft: member not admitted: " << index.error().ToString();
}

const RaftMember* Raft::UnresponsiveMember(Time now) const {
  for (const RaftMember& member : this->Members()) {
    const auto found = this->progress.find(member.id);
    if (found == this->progress.end() || found->second.incarnation != member.incarnation) continue;
    if (now - std::max(found->second.last_heard, this->leader_since) >= kMemberTimeout) {
      return &member;
    }
  }
  return nullptr;
}

size_t Raft::MinGroupSize() const {
  return std::max(kMinGroupSize, 2 * this->options.tolerated_losses + 1);
}

void Raft::MaybeAddNew(Time now, const RaftMember& learner) {
  if (this->options.max_members == 0) return;
  RaftMembers members = this->Members();
  if (const RaftMember* unresponsive = this->UnresponsiveMember(now)) {
    LOG(INFO) << "raft: " << learner.id << " replaces the unresponsive member " << unresponsive->id;
    std::erase(members, *unresponsive);
  } else if (members.size() >= this->options.max_members) {
    return;
  }
  LOG(INFO) << "raft: " << this->options.id << " admits new member " << learner.id;
  members.push_back(learner);
  const Result<uint64_t> index = this->AppendMembers(now, std::move(members));
  LOG_IF(WARNING, !index) << "raft: member not admitted: " << index.error().ToString();
}

// An unresponsive member raises the size of a majority but cannot contribute to it. When it
// returns, it is admitted again as a learner. Until then its disk does not count, so the group
// keeps it if the disks of the others may be lost.
void Raft::MaybeRemoveUnresponsive(Time now) {
  if (this->options.max_members == 0 || this->Members().size() <= this->MinGroupSize()) return;
  if (!this->NoMembershipChangePending() || !this->transfer_target.empty()) return;
  const RaftMember* unresponsive = this->UnresponsiveMember(now);
  if (unresponsive == nullptr) return;
  LOG(WARNING) << "raft: " << this->options.id << " removes the unresponsive member "
               << unresponsive->id;
  RaftMembers members = this->Members();
  std::erase(members, *unresponsive);
  const Result<uint64_t> index = this->AppendMembers(now, std::move(members));
  LOG_IF(WARNING, !index) << "raft: member not removed: " << index.error().ToString();
}

Result<uint64_t> Raft::RequestRead(Time) {
  if (!this->Leading()) return Fail(ErrorCode::kNotLeader);
  const uint64_t id = this->next_read_id++;
  this->pending_reads.push_back({id, 0, 0});
  this->StartReadRound();
  return id;
}

// Starts a heartbeat round that confirms leadership for all pending reads, unless a round is in
// progress. Until an entry of this term is committed, the commit index may be behind that of the
// previous leader.
void Raft::StartReadRound() {
  if (this->read_round_open || !this->HasCommittedInTerm()) return;
  if (this->pending_reads.empty()) return;
  ++this->read_round;
  this->read_round_open = true;
  for (PendingRead& read : this->pending_reads) {
    read.round = this->read_round;
    read.index = this->commit_index;
  }
  this->SendHeartbeats();
  this->ConfirmReads();
}

void Raft::ConfirmReads() {
  if (!this->read_round_open) return;
  const bool confirmed = this->HasQuorum([&](const RaftMember& member) {
    if (this->IsSelf(member)) return true;
    const auto found = this->progress.find(member.id);
    return found != this->progress.end() && found->second.incarnation == member.incarnation &&
           found->second.acked_round >= this->read_round;
  });
  if (!confirmed) return;
  this->read_round_open = false;
  while (!this->pending_reads.empty() && this->pending_reads.front().round != 0) {
    const PendingRead& read = this->pending_reads.front();
    this->finished_reads.push_back({read.id, true, read.index});
    this->pending_reads.pop_front();
  }
  this->StartReadRound();
}

}  // namespace peridotgauge
