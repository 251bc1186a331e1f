// Appends, heartbeats and snapshots at the receiving replica.
#define XXH_INLINE_ALL
#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "state/raft.h"

namespace peridotgauge {

// Acknowledges that the log matches the leader's up to `index`, once that is synced.
void Raft::ReplyMatch(const RaftMessage& message, uint64_t index) {
  RaftMessage reply = this->MakeReply(MessageType::kAppendReply, message);
  reply.granted = true;
  reply.index = index;
  this->SendAfterSync(std::move(reply));
}

void Raft::HandleAppend(Time now, const RaftMessage& message) {
  this->SetContact(now, message);
  if (message.index < this->commit) {
    this->ReplyMatch(message, this->commit);
    return;
  }
  if (this->log.TermAt(message.index) != message.log_term) {
    RaftMessage reply = this->MakeReply(MessageType::kAppendReply, message);
    reply.offset = message.index;
    // Skips entries that cannot match because their term is above that of the leader's entry.
    uint64_t hint = std::min(this->log.LastIndex(), message.index - 1);
    while (hint > this->commit && this->log.TermAt(hint) > message.log_term) --hint;
    reply.index = hint;
    this->SendAfterSync(std::move(reply));
    return;
  }
  uint64_t last_new = message.index;
  for (const LogEntry& entry : message.entries) {
    if (entry.index != last_new + 1) return;  // malformed
    last_new = entry.index;
    if (this->log.TermAt(entry.index) == entry.term) continue;
    if (entry.index <= this->log.LastIndex()) this->TruncateLocal(entry.index);
    this->log.Append(entry);
  }
  this->CommitTo(now, std::min(message.commit, last_new));
  this->ReplyMatch(message, last_new);
}

void Raft::HandleHeartbeat(Time now, const RaftMessage& message) {
  this->SetContact(now, message);
  this->CommitTo(now, message.commit);
  RaftMessage reply = this->MakeReply(MessageType::kHeartbeatReply, message);
  reply.round = message.round;
  reply.granted = true;
  // Not held back by entries that are being synced, so that a slow disk does not look like a lost
  // member; but the term must be stored before it is confirmed.
  if (this->stored_term == this->hard.term) {
    this->Send(std::move(reply));
  } else {
    this->SendAfterSync(std::move(reply));
  }
}

void Raft::HandleSnapshot(Time now, const RaftMessage& message) {
  this->SetContact(now, message);
  if (message.index <= this->commit) {
    this->incoming.reset();
    this->ReplyMatch(message, this->commit);
    return;
  }
  const bool same = this->incoming && this->incoming->index == message.index &&
                    this->incoming->checksum == message.checksum;
  if (!same) this->incoming = {message.index, message.log_term, message.checksum, {}};
  std::string& data = this->incoming->data;
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
  std::string data = std::move(this->incoming->data);
  this->incoming.reset();
  if (XXH3_64bits(data.data(), data.size()) != message.checksum) {
    LOG(ERROR) << "raft: received snapshot " << message.index << " fails its checksum";
    return;
  }
  if (this->log.TermAt(message.index) == message.log_term) {
    this->CommitTo(now, message.index);
    this->ReplyMatch(message, this->commit);
    return;
  }
  LOG(INFO) << "raft: " << this->options.id << " installs snapshot " << message.index;
  RaftSnapshot snapshot{message.index, message.log_term, message.members,
                        std::make_shared<const std::string>(std::move(data))};
  this->log.Reset(snapshot);
  this->commit = snapshot.index;
  this->handed = snapshot.index;
  this->stable = 0;  // until the write is confirmed
  this->unwritten = snapshot.index + 1;
  this->unwritten_snapshot = snapshot;
  this->unwritten_reset = true;
  this->restore = std::move(snapshot);
  this->MarkHardState();
  this->MaybeAdmitSelf(now);
  this->ReplyMatch(message, this->commit);
}

}  // namespace peridotgauge
