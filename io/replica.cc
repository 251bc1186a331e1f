// Drives the raft core: persists its writes, sends its messages and applies its committed entries.
#include "io/replica.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "io/clock.h"
#include "io/raft_transport.h"
#include "io/random_seed.h"
#include "io/storage_thread.h"
#include "io/wal.h"
#include "state/raft.h"

namespace peridotgauge {
namespace {

constexpr int kTicksPerHeartbeat = 5;
constexpr const char* kFailedRoleName = "failed";
// A quarter of the entries between two snapshots, up to half of the bytes, is retained for
// followers that lag.
constexpr uint64_t kRetainedLogDivisor = 4;
constexpr uint64_t kRetainedBytesDivisor = 2;
// The log is not replaced by a snapshot before it has this part of the last snapshot's size.
constexpr uint64_t kSnapshotShareDivisor = 2;

RaftMembers InitialMembers(const std::vector<ControllerAddress>& controllers) {
  RaftMembers members;
  for (const ControllerAddress& controller : controllers) {
    members.push_back({controller.id, 0, controller.peer_address});
  }
  return members;
}

RaftOptions MakeRaftOptions(const ReplicaOptions& options) {
  RaftOptions core{.id = options.id, .address = {}, .initial = InitialMembers(options.controllers)};
  core.address = options.address;
  if (const RaftMember* self = FindMember(core.initial, options.id)) core.address = self->address;
  core.max_members = options.max_members;
  core.tolerated_losses = options.tolerated_losses;
  core.heartbeat = options.heartbeat;
  core.election_timeout = options.election_timeout;
  core.retained_entries = options.snapshot_interval / kRetainedLogDivisor;
  core.retained_bytes = options.snapshot_log_bytes / kRetainedBytesDivisor;
  core.random_seed = options.random_seed != 0 ? options.random_seed : RandomSeed();
  return core;
}

// Assigns an incarnation to a new data folder and stores it before the first message is sent.
Result<void> EnsureIncarnation(Wal& wal, RaftStoredState& stored) {
  if (stored.hard_state.incarnation != 0) return {};
  while (stored.hard_state.incarnation == 0) stored.hard_state.incarnation = RandomSeed();
  RaftWrite write;
  write.hard_state = stored.hard_state;
  return wal.Write(write);
}

const char* RoleName(RaftRole role) {
  switch (role) {
    case RaftRole::kLearner:
      return "learner";
    case RaftRole::kFollower:
      return "follower";
    case RaftRole::kCandidate:
      return "candidate";
    case RaftRole::kLeader:
      return "leader";
    case RaftRole::kFailed:
      break;
  }
  return kFailedRoleName;
}

}  // namespace

class Replica::Impl : public std::enable_shared_from_this<Replica::Impl> {
 public:
  using AppliedCallback = std::function<void(Result<Applied>)>;
  using ReadCallback = std::function<void(Result<uint64_t>)>;

  Impl(boost::asio::io_context& io, ReplicaOptions options, StateMachine& machine,
       RaftStoredState stored)
      : io(io),
        options(std::move(options)),
        machine(machine),
        applied(stored.snapshot.index),
        raft(MakeRaftOptions(this->options), std::move(stored), SteadyNow()),
        transport(io),
        timer(io) {}

  void Start(std::unique_ptr<Wal> wal);
  void Close();
  void AwaitEntry(const Result<uint64_t>& index, Time deadline, AppliedCallback callback);
  void Propose(std::string command, Time deadline, AppliedCallback callback);
  void ConfirmRead(Time deadline, ReadCallback callback);
  void ChangeMember(const RaftMember& member, bool remove, Time deadline, AppliedCallback callback);
  void Receive(const wire::RaftEnvelopeT& envelope);
  void TransferLeadership(Time deadline, std::function<void()> callback);
  ReplicaStatus Status() const;

  const Raft& Core() const { return this->raft; }
  const std::string& StorageError() const { return this->storage_error; }
  void OnLeadershipChange(std::function<void(bool)> callback) {
    this->on_leadership = std::move(callback);
  }

 private:
  struct PendingEntry {
    uint64_t term = 0;
    Time deadline;
    AppliedCallback callback;
  };
  struct PendingRead {
    Time deadline;
    ReadCallback callback;
  };
  struct PendingTransfer {
    Time deadline;
    std::function<void()> callback;
  };

  // Runs `function` on the event loop, unless the replica is closed by then.
  template <typename Function>
  void Post(Function function);
  void ScheduleReady();
  void ProcessReady();
  void Apply(const LogEntry& entry);
  // Returns false and stops the replica if the state machine cannot restore the snapshot.
  bool Restore(const RaftSnapshot& snapshot);
  void CompleteRead(const ReadResult& read);
  void MaybeCompact();
  void OnStored(const Result<uint64_t>& done);
  void OnStoreFailed(Time now, const Error& error);
  void OnStoreRecovered(Time now);
  void ReportLeadershipChange();
  void FailLostEntries();
  void OnTick();
  void ExpireRequests(Time now);
  void ContinueTransfer(Time now);

  boost::asio::io_context& io;
  ReplicaOptions options;
  StateMachine& machine;
  uint64_t applied;  // index of the last log entry applied to the state machine
  Raft raft;
  RaftTransport transport;
  boost::asio::steady_timer timer;
  std::unique_ptr<StorageThread> storage;
  std::string storage_error;  // empty while the disk takes writes
  uint64_t storage_outages = 0;
  Time storage_failed_at;  // valid while `storage_error` is not empty
  bool closed = false;
  bool ready_scheduled = false;
  uint64_t reported_leader_term = 0;  // term last reported to `on_leadership`, or 0 if not leader
  std::function<void(bool)> on_leadership;
  std::map<uint64_t, PendingEntry> entries;  // by log index
  std::map<uint64_t, PendingRead> reads;     // by the core's read id
  std::vector<PendingTransfer> transfers;
};

template <typename Function>
void Replica::Impl::Post(Function function) {
  boost::asio::post(this->io,
                    [self = this->weak_from_this(), function = std::move(function)]() mutable {
                      const auto impl = self.lock();
                      if (impl != nullptr && !impl->closed) function();
                    });
}

void Replica::Impl::Start(std::unique_ptr<Wal> wal) {
  this->storage = std::make_unique<StorageThread>(
      this->io, std::move(wal), [this](const Result<uint64_t>& done) { this->OnStored(done); });
  this->OnTick();
}

void Replica::Impl::Close() {
  this->closed = true;
  this->timer.cancel();
  this->storage.reset();
  this->transport.Close();
}

void Replica::Impl::OnTick() {
  const Time now = SteadyNow();
  this->raft.Tick(now);
  this->ContinueTransfer(now);
  this->ExpireRequests(now);
  this->ScheduleReady();
  this->timer.expires_after(this->options.heartbeat / kTicksPerHeartbeat);
  this->timer.async_wait([self = this->weak_from_this()](const boost::system::error_code& error) {
    const auto impl = self.lock();
    if (!error && impl != nullptr && !impl->closed) impl->OnTick();
  });
}

// Processes the output of the raft core once for all requests of one event loop turn.
void Replica::Impl::ScheduleReady() {
  if (std::exchange(this->ready_scheduled, true)) return;
  this->Post([this] {
    this->ready_scheduled = false;
    this->ProcessReady();
  });
}

void Replica::Impl::ProcessReady() {
  RaftReady ready = this->raft.TakeReady();
  for (const RaftMessage& message : ready.messages) this->transport.Send(message);
  if (ready.write) this->storage->Submit(std::move(*ready.write));
  if (ready.restore && !this->Restore(*ready.restore)) return;
  for (const LogEntry& entry : ready.committed) this->Apply(entry);
  for (const ReadResult& read : ready.reads) this->CompleteRead(read);
  this->ReportLeadershipChange();
  this->MaybeCompact();
  if (this->raft.HasUndelivered()) this->ScheduleReady();
}

void Replica::Impl::Apply(const LogEntry& entry) {
  std::string result;
  if (entry.kind == EntryKind::kCommand) result = this->machine.Apply(entry.index, entry.data);
  this->applied = entry.index;
  const auto found = this->entries.find(entry.index);
  if (found == this->entries.end()) return;
  PendingEntry pending = std::move(found->second);
  this->entries.erase(found);
  Result<Applied> answer = Applied{entry.index, std::move(result)};
  // An entry of another term at this index means that the proposed one was not committed.
  if (pending.term != entry.term) answer = Fail(ErrorCode::kNotLeader);
  this->Post(
      [callback = std::move(pending.callback), answer = std::move(answer)] { callback(answer); });
}

bool Replica::Impl::Restore(const RaftSnapshot& snapshot) {
  const Result<void> restored = this->machine.Restore(snapshot.index, *snapshot.data);
  if (!restored) {
    LOG(ERROR) << "replica: stopping: cannot restore the snapshot at index " << snapshot.index
               << ": " << restored.error().ToString();
    this->storage_error = restored.error().ToString();
    this->raft.OnStorageFailure();
    this->ScheduleReady();
    return false;
  }
  this->applied = snapshot.index;
  return true;
}

void Replica::Impl::CompleteRead(const ReadResult& read) {
  const auto found = this->reads.find(read.id);
  if (found == this->reads.end()) return;
  ReadCallback callback = std::move(found->second.callback);
  this->reads.erase(found);
  Result<uint64_t> answer = read.index;
  if (!read.confirmed) answer = Fail(ErrorCode::kNotLeader);
  this->Post([callback = std::move(callback), answer] { callback(answer); });
}

// Entries can be as small as a router's lease and as large as a whole configuration, so that both
// their number and their bytes are bounded. The share of the snapshot bounds what is written for
// snapshots to a multiple of what is written for entries.
void Replica::Impl::MaybeCompact() {
  if (this->raft.Role() == RaftRole::kFailed) return;
  const RaftSnapshot& last = this->raft.Log().Snapshot();
  const uint64_t entry_count = this->applied - last.index;
  const uint64_t bytes = this->raft.Log().BytesBetween(last.index, this->applied);
  const uint64_t last_bytes = last.data == nullptr ? 0 : last.data->size();
  const uint64_t byte_limit =
      std::max(this->options.snapshot_log_bytes, last_bytes / kSnapshotShareDivisor);
  if (entry_count < this->options.snapshot_interval && bytes < byte_limit) return;
  std::string snapshot = this->machine.Snapshot();
  LOG(INFO) << "replica: snapshot at index " << this->applied << ": " << snapshot.size()
            << " bytes replace " << entry_count << " log entries of " << bytes << " bytes";
  this->raft.Compact(this->applied, std::move(snapshot));
  this->ScheduleReady();
}

void Replica::Impl::OnStored(const Result<uint64_t>& done) {
  const Time now = SteadyNow();
  if (!done) {
    this->OnStoreFailed(now, done.error());
  } else {
    if (!this->storage_error.empty()) this->OnStoreRecovered(now);
    this->raft.OnPersisted(now, *done);
  }
  this->ScheduleReady();
}

void Replica::Impl::OnStoreFailed(Time now, const Error& error) {
  LOG(ERROR) << "replica: does not vote, acknowledge or lead, and repeats the write every "
             << WholeMillis(kStorageRetryInterval) << " ms: " << error.ToString();
  if (this->storage_error.empty()) {
    this->storage_failed_at = now;
    ++this->storage_outages;
  }
  this->storage_error = error.ToString();
  this->raft.OnStorageUnavailable(now);
}

void Replica::Impl::OnStoreRecovered(Time now) {
  if (this->raft.Role() == RaftRole::kFailed) return;
  LOG(WARNING) << "replica: stores and votes again after "
               << WholeMillis(now - this->storage_failed_at) << " ms";
  this->storage_error.clear();
}

void Replica::Impl::ReportLeadershipChange() {
  const uint64_t term = this->raft.Leading() ? this->raft.Term() : 0;
  if (term == this->reported_leader_term) return;
  const bool led = std::exchange(this->reported_leader_term, term) != 0;
  if (led) this->FailLostEntries();
  if (!this->on_leadership) return;
  if (led) this->Post([this] { this->on_leadership(false); });
  if (term != 0) this->Post([this] { this->on_leadership(true); });
  if (led && term == 0) this->ContinueTransfer(SteadyNow());
}

// Fails the pending entries of the previous leadership, which the new leader may or may not commit.
void Replica::Impl::FailLostEntries() {
  for (auto& [index, pending] : std::exchange(this->entries, {})) {
    // Entries proposed in the term that has just begun stay pending.
    if (pending.term == this->reported_leader_term) {
      this->entries.emplace(index, std::move(pending));
      continue;
    }
    this->Post([callback = std::move(pending.callback)] {
      callback(
          Fail(ErrorCode::kUnknownOutcome, "leadership was lost before the entry was committed"));
    });
  }
}

void Replica::Impl::ExpireRequests(Time now) {
  std::erase_if(this->entries, [&](auto& item) {
    if (now < item.second.deadline) return false;
    this->Post([callback = std::move(item.second.callback)] {
      callback(Fail(ErrorCode::kUnknownOutcome, "the entry was not committed before the deadline"));
    });
    return true;
  });
  std::erase_if(this->reads, [&](auto& item) {
    if (now < item.second.deadline) return false;
    this->Post([callback = std::move(item.second.callback)] {
      callback(Fail(ErrorCode::kUnavailable, "no majority confirmed the read before the deadline"));
    });
    return true;
  });
}

void Replica::Impl::AwaitEntry(const Result<uint64_t>& index, Time deadline,
                               AppliedCallback callback) {
  if (!index) {
    this->Post([callback = std::move(callback), error = index.error()] {
      callback(tl::unexpected<Error>(error));
    });
    return;
  }
  this->entries[*index] = {this->raft.Term(), deadline, std::move(callback)};
  this->ScheduleReady();
}

void Replica::Impl::Propose(std::string command, Time deadline, AppliedCallback callback) {
  this->AwaitEntry(this->raft.Propose(SteadyNow(), std::move(command)), deadline,
                   std::move(callback));
}

void Replica::Impl::ChangeMember(const RaftMember& member, bool remove, Time deadline,
                                 AppliedCallback callback) {
  this->AwaitEntry(this->raft.ChangeMember(SteadyNow(), member, remove), deadline,
                   std::move(callback));
}

void Replica::Impl::ConfirmRead(Time deadline, ReadCallback callback) {
  const Result<uint64_t> read = this->raft.RequestRead(SteadyNow());
  if (!read) {
    this->Post([callback = std::move(callback), error = read.error()] {
      callback(tl::unexpected<Error>(error));
    });
    return;
  }
  this->reads[*read] = {deadline, std::move(callback)};
  this->ScheduleReady();
}

void Replica::Impl::Receive(const wire::RaftEnvelopeT& envelope) {
  const std::string_view bytes(reinterpret_cast<const char*>(envelope.data.data()),
                               envelope.data.size());
  const Result<RaftMessage> message = DecodeMessage(bytes);
  if (!message) {
    LOG_EVERY_N(WARNING, 100) << "replica: dropped a malformed raft message";
    return;
  }
  this->raft.Step(SteadyNow(), *message);
  this->ScheduleReady();
}

void Replica::Impl::TransferLeadership(Time deadline, std::function<void()> callback) {
  this->transfers.push_back({deadline, std::move(callback)});
  this->ContinueTransfer(SteadyNow());
}

// Completes the finished transfers and retries the others if the raft core has given up.
void Replica::Impl::ContinueTransfer(Time now) {
  std::erase_if(this->transfers, [&](PendingTransfer& transfer) {
    if (this->raft.Leading() && now < transfer.deadline) return false;
    this->Post(std::move(transfer.callback));
    return true;
  });
  if (this->transfers.empty() || this->raft.Transferring()) return;
  if (this->raft.TransferLeadership(now)) this->ScheduleReady();
}

ReplicaStatus Replica::Impl::Status() const {
  std::vector<std::string> members;
  for (const RaftMember& member : this->raft.Members()) members.push_back(member.id);
  return {.id = this->options.id,
          .role = this->storage_error.empty() ? RoleName(this->raft.Role()) : kFailedRoleName,
          .leader = this->raft.Leader(),
          .term = this->raft.Term(),
          .commit_index = this->raft.CommitIndex(),
          .applied_index = this->applied,
          .log_entries = this->raft.Log().Size(),
          .log_bytes = this->raft.Log().Bytes(),
          .storage_error = this->storage_error,
          .storage_outages = this->storage_outages,
          .members = std::move(members)};
}

Result<std::unique_ptr<Replica>> Replica::Open(boost::asio::io_context& io, ReplicaOptions options,
                                               StateMachine& machine) {
  RaftStoredState stored;
  Result<std::unique_ptr<Wal>> wal = Wal::Open(options.data_folder, options.wal, stored);
  if (!wal) return tl::unexpected<Error>(wal.error());
  const Result<void> incarnation_stored = EnsureIncarnation(**wal, stored);
  if (!incarnation_stored) return tl::unexpected<Error>(incarnation_stored.error());
  if (stored.snapshot.index > 0) {
    const Result<void> restored = machine.Restore(stored.snapshot.index, *stored.snapshot.data);
    if (!restored) return tl::unexpected<Error>(restored.error());
  }
  LOG(INFO) << "replica: recovered a snapshot at index " << stored.snapshot.index << " of "
            << (stored.snapshot.data == nullptr ? 0 : stored.snapshot.data->size()) << " bytes and "
            << stored.entries.size() << " log entries; the folder has " << (*wal)->Bytes()
            << " bytes";
  auto impl = std::make_shared<Impl>(io, std::move(options), machine, std::move(stored));
  impl->Start(std::move(*wal));
  return std::unique_ptr<Replica>(new Replica(std::move(impl)));
}

Replica::Replica(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

Replica::~Replica() { this->impl->Close(); }

void Replica::Propose(std::string command, Time deadline,
                      std::function<void(Result<Applied>)> callback) {
  this->impl->Propose(std::move(command), deadline, std::move(callback));
}

void Replica::ConfirmRead(Time deadline, std::function<void(Result<uint64_t>)> callback) {
  this->impl->ConfirmRead(deadline, std::move(callback));
}

void Replica::ChangeMember(const ControllerAddress& member, uint64_t incarnation, bool remove,
                           Time deadline, std::function<void(Result<Applied>)> callback) {
  this->impl->ChangeMember({member.id, incarnation, member.peer_address}, remove, deadline,
                           std::move(callback));
}

void Replica::Receive(const wire::RaftEnvelopeT& envelope) { this->impl->Receive(envelope); }

bool Replica::Leading() const { return this->impl->Core().Leading(); }

uint64_t Replica::Term() const { return this->impl->Core().Term(); }

std::string Replica::Leader() const { return this->impl->Core().Leader(); }

ReplicaStatus Replica::Status() const { return this->impl->Status(); }

const std::string& Replica::StorageError() const { return this->impl->StorageError(); }

void Replica::OnLeadershipChange(std::function<void(bool)> callback) {
  this->impl->OnLeadershipChange(std::move(callback));
}

void Replica::TransferLeadership(Time deadline, std::function<void()> callback) {
  this->impl->TransferLeadership(deadline, std::move(callback));
}

}  // namespace peridotgauge
