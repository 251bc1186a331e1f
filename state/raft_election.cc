// Bootstrap, pre-vote and votes.
#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

// Returns true if this replica has never been in contact with a group. Reporting this allows the
// initial member with the lowest id to bootstrap a group, so a replica that has stored entries or a
// term of a group must not report it, even if it was not admitted yet: it may hold the only
// remaining copy of a committed entry.
bool Raft::IsUninitialized() const {
  return !this->hard_state.admitted && this->hard_state.term == 0 && this->log.LastIndex() == 0;
}

void Raft::SendAnnouncements(Time now) {
  this->next_announcement = now + 2 * this->options.heartbeat;
  std::set<std::string> known;
  for (const RaftMember& member : this->options.initial) known.insert(member.id);
  for (const RaftMember& member : this->Members()) known.insert(member.id);
  known.erase(this->options.id);
  for (const std::string& id : known) this->Send(this->MakeMessage(MessageType::kAnnounce, id));
  this->TryBootstrap(now);
}

void Raft::HandleAnnounce(Time now, const RaftMessage& message) {
  // A member may announce itself because it cannot be elected. That another member passes this on
  // does not mean that the leader is in contact with it.
  const bool member = ContainsMember(this->Members(), message.from, message.from_incarnation);
  if (this->Leading()) {
    if (!member) this->FindOrAddLearner(now, message);
  } else if (!member && !this->leader.empty() && this->leader != message.from) {
    // The sender may know only controllers that do not lead.
    RaftMessage forwarded = message;
    forwarded.to = this->leader;
    forwarded.to_incarnation = 0;
    forwarded.to_address = this->AddressOf(this->leader);
    this->Send(std::move(forwarded));
  }
  RaftMessage reply = this->MakeReply(MessageType::kAnnounceReply, message);
  reply.granted = this->IsUninitialized();
  const IndexedMembership& first = this->log.MembershipAsOf(0);
  if (this->hard_state.admitted && first.index == 0) reply.members = first.members;
  this->SendAfterSync(std::move(reply));
}

void Raft::HandleAnnounceReply(Time now, const RaftMessage& message) {
  if (this->hard_state.admitted || message.to_incarnation != this->hard_state.incarnation) return;
  if (message.granted) {
    this->uninitialized_members[message.from] = message.from_incarnation;
    this->TryBootstrap(now);
    return;
  }
  this->uninitialized_members.erase(message.from);
  if (ContainsMember(message.members, this->options.id, this->hard_state.incarnation)) {
    this->AdoptInitialMembers(now, message.members);
  }
}

// Bootstraps the group if this is the initial member with the lowest id and all others are
// uninitialized.
void Raft::TryBootstrap(Time now) {
  if (!this->IsUninitialized()) return;
  RaftMembers members = this->options.initial;
  std::sort(members.begin(), members.end(),
            [](const RaftMember& a, const RaftMember& b) { return a.id < b.id; });
  if (members.empty() || members.front().id != this->options.id) return;
  for (RaftMember& member : members) {
    const auto found = this->uninitialized_members.find(member.id);
    if (member.id == this->options.id) {
      member.incarnation = this->hard_state.incarnation;
    } else if (found != this->uninitialized_members.end()) {
      member.incarnation = found->second;
    } else {
      return;
    }
  }
  LOG(INFO) << "raft: " << this->options.id
            << " bootstraps a group; number of members: " << members.size();
  this->AdoptInitialMembers(now, members);
  for (const RaftMember& member : members) {
    if (member.id == this->options.id) continue;
    RaftMessage offer = this->MakeMessage(MessageType::kAnnounceReply, member.id);
    offer.to_incarnation = member.incarnation;
    offer.members = members;
    this->SendAfterSync(std::move(offer));
  }
}

// Sets the initial member list. Entries that a leader has already sent are kept.
void Raft::AdoptInitialMembers(Time now, const RaftMembers& members) {
  const RaftSnapshot& snapshot = this->log.Snapshot();
  if (snapshot.index != 0 || !snapshot.members.empty()) return;
  this->log.SetInitialMembers(members);
  this->unwritten_snapshot = this->log.Snapshot();
  if (this->unwritten_snapshot->data == nullptr) {
    this->unwritten_snapshot->data = std::make_shared<const std::string>();
  }
  this->MaybeAdmitSelf(now);
}

void Raft::Campaign(Time now, bool pre_vote, bool transfer) {
  this->role = RaftRole::kCandidate;
  this->pre_voting = pre_vote;
  this->granted_votes.clear();
  this->refused_votes.clear();
  this->leader.clear();
  if (!pre_vote) {
    ++this->hard_state.term;
    this->hard_state.vote = this->options.id;
    this->hard_state.vote_incarnation = this->hard_state.incarnation;
    this->MarkHardStateChanged();
  }
  // Shorter than the election timeout: a lost election should not double the time without a leader.
  const int64_t half = this->options.election_timeout.count() / 2;
  std::uniform_int_distribution<int64_t> extra(0, 2 * half);
  this->election_deadline = now + Duration(half + extra(this->random));
  for (const RaftMember& member : this->OtherMembers()) {
    RaftMessage request =
        this->MakeMessage(pre_vote ? MessageType::kPreVote : MessageType::kVote, member.id);
    request.to_incarnation = member.incarnation;
    request.term = this->hard_state.term + (pre_vote ? 1 : 0);
    request.index = this->log.LastIndex();
    request.log_term = this->log.LastTerm();
    request.transfer = transfer;
    this->SendAfterSync(std::move(request));
  }
  this->CountVotes(now);
}

bool Raft::LogIsUpToDate(const RaftMessage& message) const {
  return std::pair(message.log_term, message.index) >=
         std::pair(this->log.LastTerm(), this->log.LastIndex());
}

void Raft::HandlePreVote(Time now, const RaftMessage& message) {
  // An admitted replica that the current list does not contain may send no announcements; a leader
  // adds it as a learner here.
  const bool may_join =
      this->options.max_members > 0 || FindMember(this->Members(), message.from) != nullptr;
  if (this->Leading() && may_join) this->FindOrAddLearner(now, message);
  RaftMessage reply = this->MakeReply(MessageType::kPreVoteReply, message);
  reply.granted = message.term > this->hard_state.term && this->LogIsUpToDate(message) &&
                  !this->HeardFromLeader(now) && this->storage_available;
  if (reply.granted) reply.term = message.term;
  reply.index = this->commit_index;
  reply.log_term = *this->log.TermAt(this->commit_index);
  this->Send(std::move(reply));
}

void Raft::HandleVote(Time now, const RaftMessage& message) {
  const bool not_voted = this->hard_state.vote.empty();
  const bool same_candidate = this->hard_state.vote == message.from &&
                              this->hard_state.vote_incarnation == message.from_incarnation;
  RaftMessage reply = this->MakeReply(MessageType::kVoteReply, message);
  reply.granted =
      (not_voted || same_candidate) && this->leader.empty() && this->LogIsUpToDate(message);
  if (reply.granted) {
    this->hard_state.vote = message.from;
    this->hard_state.vote_incarnation = message.from_incarnation;
    if (not_voted) this->MarkHardStateChanged();
    this->ResetElectionTimer(now);
  }
  this->SendAfterSync(std::move(reply));
}

void Raft::HandlePreVoteReply(Time now, const RaftMessage& message) {
  // This replica may have stored a member list but not that it is committed, and may be the only
  // one left that can lead. It would then need a majority of the list before, which may be lost.
  if (message.log_term != 0 && this->log.TermAt(message.index) == message.log_term) {
    this->CommitTo(now, message.index);
  }
  const bool expected = this->role == RaftRole::kCandidate && this->pre_voting;
  if (expected && !message.granted) this->refused_votes.insert(message.from);
  if (!expected || !message.granted || message.term != this->hard_state.term + 1) return;
  this->granted_votes[message.from] = message.from_incarnation;
  this->CountVotes(now);
}

void Raft::HandleVoteReply(Time now, const RaftMessage& message) {
  const bool expected = this->role == RaftRole::kCandidate && !this->pre_voting;
  if (expected && !message.granted) this->refused_votes.insert(message.from);
  if (!expected || !message.granted) return;
  this->granted_votes[message.from] = message.from_incarnation;
  this->CountVotes(now);
}

// Continues with the vote after a won pre-vote, and becomes leader after a won vote. Only
// incarnations in the active member lists count.
void Raft::CountVotes(Time now) {
  const bool self_granted = this->pre_voting || this->stored_term == this->hard_state.term;
  const bool won = this->HasQuorum([&](const RaftMember& member) {
    if (this->IsSelf(member)) return self_granted;
    const auto found = this->granted_votes.find(member.id);
    return found != this->granted_votes.end() && found->second == member.incarnation;
  });
  if (!won) return;
  if (this->pre_voting) {
    this->Campaign(now, false, false);
  } else {
    this->BecomeLeader(now);
  }
}

// Other members may have replaced this one while it was out of touch, and those that it knows may
// all have lost their disks or not lead. As a replica without a group it asks them for the leader.
void Raft::OnElectionFailed(Time now) {
  this->ReportFailedElection(now);
  if (this->options.max_members > 0) this->SendAnnouncements(now);
}

void Raft::ReportFailedElection(Time now) {
  if (now < this->next_election_report) return;
  this->next_election_report = now + kElectionReportInterval;
  for (const RaftMembers* members : this->log.ActiveMemberLists(this->commit_index)) {
    std::string missing;
    size_t granted = 0;
    for (const RaftMember& member : *members) {
      const auto found = this->granted_votes.find(member.id);
      const bool voted = this->IsSelf(member) || (found != this->granted_votes.end() &&
                                                  found->second == member.incarnation);
      if (voted) {
        ++granted;
        continue;
      }
      const bool refused = this->refused_votes.contains(member.id);
      missing += (missing.empty() ? "" : ", ") + member.id + (refused ? " (refused)" : "");
    }
    LOG(WARNING) << "raft: " << this->options.id << " is not elected; votes: " << granted << " of "
                 << members->size() << "; missing: " << missing;
  }
}

void Raft::HandleTimeoutNow(Time now, const RaftMessage& message) {
  if (this->Leading() || message.from != this->leader || !this->CanCampaign()) return;
  LOG(INFO) << "raft: " << this->options.id
            << " starts an election: the leader transfers its leadership";
  this->Campaign(now, false, true);
}

}  // namespace peridotgauge
