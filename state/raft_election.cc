// First start, pre-vote and votes.
#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

// True if this replica has never heard of a group. An answer "fresh" lets the founder found a
// group, so a replica that has stored entries or a term of a group must not give it, even if it was
// not admitted yet: it may hold the only remaining copy of a committed entry.
bool Raft::IsFresh() const {
  return !this->hard.admitted && this->hard.term == 0 && this->log.LastIndex() == 0;
}

void Raft::SendProbes(Time now) {
  this->next_probe = now + 2 * this->options.heartbeat;
  std::set<std::string> known;
  for (const RaftMember& member : this->options.initial) known.insert(member.id);
  for (const RaftMember& member : this->Members()) known.insert(member.id);
  known.erase(this->options.id);
  for (const std::string& id : known) this->Send(this->MakeMessage(MessageType::kProbe, id));
  this->TryFound(now);
}

void Raft::HandleProbe(Time now, const RaftMessage& message) {
  if (this->Leading()) {
    this->FindOrAddLearner(now, message);
  } else if (!this->leader.empty() && this->leader != message.from) {
    // The sender may know controllers only that do not lead.
    RaftMessage forwarded = message;
    forwarded.to = this->leader;
    forwarded.to_incarnation = 0;
    forwarded.to_address = this->AddressOf(this->leader);
    this->Send(std::move(forwarded));
  }
  RaftMessage reply = this->MakeReply(MessageType::kProbeReply, message);
  reply.granted = this->IsFresh();
  const MembershipAt& first = this->log.MembershipAsOf(0);
  if (this->hard.admitted && first.index == 0) reply.members = first.members;
  this->SendAfterSync(std::move(reply));
}

void Raft::HandleProbeReply(Time now, const RaftMessage& message) {
  if (this->hard.admitted || message.to_incarnation != this->hard.incarnation) return;
  if (message.granted) {
    this->fresh[message.from] = message.from_incarnation;
    this->TryFound(now);
    return;
  }
  this->fresh.erase(message.from);
  if (Lists(message.members, this->options.id, this->hard.incarnation)) {
    this->Adopt(now, message.members);
  }
}

// Founds the group if this is the member with the lowest id and all others are fresh.
void Raft::TryFound(Time now) {
  if (!this->IsFresh()) return;
  RaftMembers members = this->options.initial;
  std::sort(members.begin(), members.end(),
            [](const RaftMember& a, const RaftMember& b) { return a.id < b.id; });
  if (members.empty() || members.front().id != this->options.id) return;
  for (RaftMember& member : members) {
    const auto found = this->fresh.find(member.id);
    if (member.id == this->options.id) {
      member.incarnation = this->hard.incarnation;
    } else if (found != this->fresh.end()) {
      member.incarnation = found->second;
    } else {
      return;
    }
  }
  LOG(INFO) << "raft: " << this->options.id << " founds a group of " << members.size();
  this->Adopt(now, members);
  for (const RaftMember& member : members) {
    if (member.id == this->options.id) continue;
    RaftMessage offer = this->MakeMessage(MessageType::kProbeReply, member.id);
    offer.to_incarnation = member.incarnation;
    offer.members = members;
    this->SendAfterSync(std::move(offer));
  }
}

// Takes over the member list of the first start. Entries that a leader has already sent are kept.
void Raft::Adopt(Time now, const RaftMembers& members) {
  const RaftSnapshot& snapshot = this->log.Snapshot();
  if (snapshot.index != 0 || !snapshot.members.empty()) return;
  this->log.SetFirstMembers(members);
  this->unwritten_snapshot = this->log.Snapshot();
  if (this->unwritten_snapshot->data == nullptr) {
    this->unwritten_snapshot->data = std::make_shared<const std::string>();
  }
  this->MaybeAdmitSelf(now);
}

void Raft::Campaign(Time now, bool pre_vote, bool transfer) {
  this->role = RaftRole::kCandidate;
  this->pre_voting = pre_vote;
  this->grants.clear();
  this->leader.clear();
  if (!pre_vote) {
    ++this->hard.term;
    this->hard.vote = this->options.id;
    this->hard.vote_incarnation = this->hard.incarnation;
    this->MarkHardState();
  }
  // Shorter than the wait for a leader: a lost campaign should not double the time without one.
  const int64_t half = this->options.election_timeout.count() / 2;
  std::uniform_int_distribution<int64_t> extra(0, 2 * half);
  this->election_deadline = now + Duration(half + extra(this->random));
  for (const RaftMember& member : this->OtherMembers()) {
    RaftMessage request =
        this->MakeMessage(pre_vote ? MessageType::kPreVote : MessageType::kVote, member.id);
    request.to_incarnation = member.incarnation;
    request.term = this->hard.term + (pre_vote ? 1 : 0);
    request.index = this->log.LastIndex();
    request.log_term = this->log.LastTerm();
    request.transfer = transfer;
    this->SendAfterSync(std::move(request));
  }
  this->CountVotes(now);
}

bool Raft::LogIsCurrent(const RaftMessage& message) const {
  return std::pair(message.log_term, message.index) >=
         std::pair(this->log.LastTerm(), this->log.LastIndex());
}

void Raft::HandlePreVote(Time now, const RaftMessage& message) {
  // An admitted replica that the present list does not name does not probe; it is noticed here.
  const bool may_join =
      this->options.grow_to > 0 || FindMember(this->Members(), message.from) != nullptr;
  if (this->Leading() && may_join) this->FindOrAddLearner(now, message);
  RaftMessage reply = this->MakeReply(MessageType::kPreVoteReply, message);
  reply.granted =
      message.term > this->hard.term && this->LogIsCurrent(message) && !this->HeardFromLeader(now);
  if (reply.granted) reply.term = message.term;
  this->Send(std::move(reply));
}

void Raft::HandleVote(Time now, const RaftMessage& message) {
  const bool free = this->hard.vote.empty();
  const bool same =
      this->hard.vote == message.from && this->hard.vote_incarnation == message.from_incarnation;
  RaftMessage reply = this->MakeReply(MessageType::kVoteReply, message);
  reply.granted = (free || same) && this->leader.empty() && this->LogIsCurrent(message);
  if (reply.granted) {
    this->hard.vote = message.from;
    this->hard.vote_incarnation = message.from_incarnation;
    if (free) this->MarkHardState();
    this->ResetElectionTimer(now);
  }
  this->SendAfterSync(std::move(reply));
}

void Raft::HandlePreVoteReply(Time now, const RaftMessage& message) {
  const bool mine = this->role == RaftRole::kCandidate && this->pre_voting;
  if (!mine || !message.granted || message.term != this->hard.term + 1) return;
  this->grants[message.from] = message.from_incarnation;
  this->CountVotes(now);
}

void Raft::HandleVoteReply(Time now, const RaftMessage& message) {
  const bool mine = this->role == RaftRole::kCandidate && !this->pre_voting;
  if (!mine || !message.granted) return;
  this->grants[message.from] = message.from_incarnation;
  this->CountVotes(now);
}

// Goes on to the next stage if a majority, counting only listed incarnations, has granted.
void Raft::CountVotes(Time now) {
  const bool self = this->pre_voting || this->stored_term == this->hard.term;
  const bool won = this->Quorum([&](const RaftMember& member) {
    if (this->IsSelf(member)) return self;
    const auto found = this->grants.find(member.id);
    return found != this->grants.end() && found->second == member.incarnation;
  });
  if (!won) return;
  if (this->pre_voting) {
    this->Campaign(now, false, false);
  } else {
    this->BecomeLeader(now);
  }
}

void Raft::HandleTimeoutNow(Time now, const RaftMessage& message) {
  if (this->Leading() || message.from != this->leader || !this->CanCampaign()) return;
  LOG(INFO) << "raft: " << this->options.id << " campaigns at the leader's request";
  this->Campaign(now, false, true);
}

}  // namespace peridotgauge
