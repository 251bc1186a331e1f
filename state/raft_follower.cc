// Appends, heartbeats and snapshots at the receiving replica.
#define XXH_INLINE_ALL
#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

// Acknowledges, once synced, that the log matches the leader's log up to `index`.
void Raft::ReplyWithMatch(const RaftMessage& message, uint64_t index) {
  RaftMessage reply = this->MakeReply(MessageType::kAppendReply, message);
  reply.granted = true;
  reply.index = index;
  this->SendAfterSync(std::move(reply));
}

void Raft::HandleAppend(Time now, const RaftMessage& message) {
  this->OnLeaderContact(now, message);
  if (message.index < this->commit_index) {
    this->ReplyWithMatch(message, this->commit_index);
    return;
  }
  if (this->log.TermAt(message.index) != message.log_term) {
    RaftMessage reply = this->MakeReply(MessageType::kAppendReply, message);
    reply.offset = message.index;
    // Entries whose term is above that of the leader's entry cannot match, so the hint skips them.
    uint64_t hint = std::min(this->log.LastIndex(), message.index - 1);
    while (hint > this->commit_index && this->log.TermAt(hint) > message.log_term) --hint;
    reply.index = hint;
    this->SendAfterSync(std::move(reply));
    return;
  }
  uint64_t last_new = message.index;
  for (const LogEntry& entry : message.entries) {
    if (entry.index != last_new + 1) return;  // malformed: the entries are not contiguous
    last_new = entry.index;
    if (this->log.TermAt(entry.index) == entry.term) continue;
    if (entry.index <= this->log.LastIndex()) this->TruncateUncommitted(entry.index);
    this->log.Append(entry);
  }
  this->CommitTo(now, std::min(message.commit, last_new));
  this->ReplyWithMatch(message, last_new);
}

void Raft::HandleHeartbeat(Time now, const RaftMessage& message) {
  this->OnLeaderContact(now, message);
  this->CommitTo(now, message.commit);
  RaftMessage reply = this->MakeReply(MessageType::kHeartbeatReply, message);
  reply.round = message.round;
  reply.granted = true;
  // Does not wait for entries that are being synced, so that a member with a slow disk is not taken
  // for unresponsive. The term, however, must be stored before it is confirmed.
  if (this->stored_term == this->hard_state.term) {
    this->Send(std::move(reply));
  } else {
    this->SendAfterSync(std::move(reply));
  }
}

void Raft::HandleSnapshot(Time now, const RaftMessage& message) {
  this->OnLeaderContact(now, message);
  if (message.index <= this->commit_index) {
    this->incoming_snapshot.reset();
    this->ReplyWithMatch(message, this->commit_index);
    return;
  }
  const bool same = this->incoming_snapshot && this->incoming_snapshot->index == message.index &&
                    this->incoming_snapshot->checksum == message.checksum;
  if (!same) this->incoming_snapshot = {message.index, message.log_term, message.checksum, {}};
  std::string& data = this->incoming_snapshot->data;
  if (message.offset == data.size()) data += message.data;
  if (data.size() == message.total) {
    this->InstallSnapshot(now, message);
    return;
  }
  RaftMessage reply = this->MakeReply(MessageType::kSnapshotReply, message);
  reply.index = message.index;
  reply.offset = data.size();
  this->Send(std::move(reply));
}

void Raft::InstallSnapshot(Time now, const RaftMessage& message) {
  std::string data = std::move(this->incoming_snapshot->data);
  this->incoming_snapshot.reset();
  if (XXH3_64bits(data.data(), data.size()) != message.checksum) {
    LOG(ERROR) << "raft: received snapshot " << message.index << " discarded: checksum mismatch";
    return;
  }
  if (this->log.TermAt(message.index) == message.log_term) {
    this->CommitTo(now, message.index);
    this->ReplyWithMatch(message, this->commit_index);
    return;
  }
  LOG(INFO) << "raft: " << this->options.id << " installs snapshot " << message.index;
  RaftSnapshot snapshot{message.index, message.log_term, message.members,
                        std::make_shared<const std::string>(std::move(data))};
  this->log.Reset(snapshot);
  this->commit_index = snapshot.index;
  this->delivered_index = snapshot.index;
  this->synced_index = 0;  // until the write is synced
  this->first_unwritten_index = snapshot.index + 1;
  this->unwritten_snapshot = snapshot;
  this->unwritten_reset = true;
  this->pending_restore = std::move(snapshot);
  this->MarkHardStateChanged();
  this->MaybeAdmitSelf(now);
  this->ReplyWithMatch(message, this->commit_index);
}

}  // namespace peridotgauge
