// Requests to the leader: commands, membership changes and confirmed reads.
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

bool Raft::CommittedInTerm() const { return this->commit >= this->term_start; }

Result<uint64_t> Raft::Propose(Time, std::string command) {
  if (!this->Leading() || !this->transfer_target.empty()) return Fail(ErrorCode::kNotLeader);
  if (command.size() > kMaxCommandBytes) return Fail(ErrorCode::kTooLarge, "command");
  if (this->log.LastIndex() - this->commit >= kMaxUncommittedEntries ||
      this->uncommitted_bytes + command.size() > kMaxUncommittedBytes) {
    return Fail(ErrorCode::kOverloaded, "too many uncommitted commands");
  }
  return this->AppendAsLeader({.kind = EntryKind::kCommand, .data = std::move(command)});
}

Result<uint64_t> Raft::ChangeMember(Time now, const RaftMember& member, bool remove) {
  if (!this->Leading() || !this->transfer_target.empty()) return Fail(ErrorCode::kNotLeader);
  if (!this->MembersSettled()) {
    return Fail(ErrorCode::kConflict, "another membership change is in progress");
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
      if (Lists(this->Members(), added.id, added.incarnation)) {
        return Fail(ErrorCode::kBadRequest, "already a member");
      }
      return Fail(ErrorCode::kNotFound, "no learner with that id and incarnation");
    }
    if (added.address.empty()) added.address = learner->second.address;
    members.push_back(std::move(added));
  }
  return this->AppendMembers(now, std::move(members));
}

bool Raft::MembersSettled() const {
  return this->CommittedInTerm() && this->log.Latest().index <= this->commit;
}

Result<uint64_t> Raft::AppendMembers(Time now, RaftMembers members) {
  std::sort(members.begin(), members.end(),
            [](const RaftMember& a, const RaftMember& b) { return a.id < b.id; });
  if (members.empty() || members == this->Members()) {
    return Fail(ErrorCode::kBadRequest, "the change leaves no or the same members");
  }
  const uint64_t index = this->AppendAsLeader(
      {.kind = EntryKind::kMembership, .data = {}, .members = std::move(members)});
  this->SyncProgress(now);
  return index;
}

// Replaces the listed incarnation of a learner that holds all committed entries.
void Raft::MaybeAdmitLearner(Time now, const std::string& id, const Progress& learner) {
  const RaftMember* member = FindMember(this->Members(), id);
  if (member != nullptr && member->incarnation == learner.incarnation) return;
  if (!this->MembersSettled() || learner.match < this->commit) return;
  if (!this->transfer_target.empty()) return;
  if (member == nullptr) return this->MaybeGrow(now, {id, learner.incarnation, learner.address});
  LOG(INFO) << "raft: " << this->options.id << " admits the new incarnation of " << id;
  const RaftMember replacement{id, learner.incarnation, learner.address};
  const Result<uint64_t> index = this->ChangeMember(now, replacement, false);
  LOG_IF(WARNING, !index) << "raft: admission failed: " << index.error().ToString();
}

const RaftMember* Raft::SilentMember(Time now) const {
  for (const RaftMember& member : this->Members()) {
    const auto found = this->progress.find(member.id);
    if (found == this->progress.end() || found->second.incarnation != member.incarnation) continue;
    if (now - std::max(found->second.last_heard, this->leader_since) >= kSilentMemberTime) {
      return &member;
    }
  }
  return nullptr;
}

void Raft::MaybeGrow(Time now, const RaftMember& learner) {
  if (this->options.grow_to == 0) return;
  RaftMembers members = this->Members();
  if (const RaftMember* silent = this->SilentMember(now)) {
    LOG(INFO) << "raft: " << learner.id << " replaces the silent member " << silent->id;
    std::erase(members, *silent);
  } else if (members.size() >= this->options.grow_to) {
    return;
  }
  LOG(INFO) << "raft: " << this->options.id << " admits " << learner.id;
  members.push_back(learner);
  const Result<uint64_t> index = this->AppendMembers(now, std::move(members));
  LOG_IF(WARNING, !index) << "raft: admission failed: " << index.error().ToString();
}

// A member that does not answer counts against the majority but cannot add to it. It is admitted
// again as a learner when it is back.
void Raft::MaybeRemoveSilent(Time now) {
  if (this->options.grow_to == 0 || this->Members().size() <= kSmallestGroup) return;
  if (!this->MembersSettled() || !this->transfer_target.empty()) return;
  const RaftMember* silent = this->SilentMember(now);
  if (silent == nullptr) return;
  LOG(WARNING) << "raft: " << this->options.id << " removes the silent member " << silent->id;
  RaftMembers members = this->Members();
  std::erase(members, *silent);
  const Result<uint64_t> index = this->AppendMembers(now, std::move(members));
  LOG_IF(WARNING, !index) << "raft: removal failed: " << index.error().ToString();
}

Result<uint64_t> Raft::RequestRead(Time) {
  if (!this->Leading()) return Fail(ErrorCode::kNotLeader);
  const uint64_t id = this->next_read_id++;
  this->pending_reads.push_back({id, 0, 0});
  this->StartRound();
  return id;
}

// Begins a heartbeat round for all waiting reads, unless one is under way. Until an entry of this
// term is committed, the commit index may be behind that of the previous leader.
void Raft::StartRound() {
  if (this->round_open || !this->CommittedInTerm()) return;
  if (this->pending_reads.empty()) return;
  ++this->round;
  this->round_open = true;
  for (PendingRead& read : this->pending_reads) {
    read.round = this->round;
    read.index = this->commit;
  }
  this->SendHeartbeats();
  this->ConfirmReads();
}

void Raft::ConfirmReads() {
  if (!this->round_open) return;
  const bool confirmed = this->Quorum([&](const RaftMember& member) {
    if (this->IsSelf(member)) return true;
    const auto found = this->progress.find(member.id);
    return found != this->progress.end() && found->second.incarnation == member.incarnation &&
           found->second.round >= this->round;
  });
  if (!confirmed) return;
  this->round_open = false;
  while (!this->pending_reads.empty() && this->pending_reads.front().round != 0) {
    const PendingRead& read = this->pending_reads.front();
    this->finished_reads.push_back({read.id, true, read.index});
    this->pending_reads.pop_front();
  }
  this->StartRound();
}

}  // namespace peridotgauge
