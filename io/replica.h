// A replica of the controllers' state machine: connects the raft core to its storage and transport.
//
// Use:
//   Replica replica(io, options, machine);
//   replica.Propose(command, deadline, [](Result<Applied> applied) { ... });
//   replica.ConfirmRead(deadline, [](Result<uint64_t> index) { ... });
//
// Contract: everything runs on the thread of the io_context except file writes and syncs, which
// run on a separate thread. Every callback is called exactly once, never from inside the call that
// registered it. Each committed command is passed to StateMachine::Apply once, in log order. While
// the disk refuses writes, for example because it is full, the replica repeats the write, does not
// vote, acknowledge or lead, and takes part again by itself once the write has succeeded.
#ifndef PERIDOTGAUGE_IO_REPLICA_H_
#define PERIDOTGAUGE_IO_REPLICA_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"
#include "core/settings.h"
#include "core/types.h"
#include "io/wal.h"
#include "peer_generated.h"
#include "state/state_machine.h"

namespace peridotgauge {

// The result of a committed command.
struct Applied {
  uint64_t index = 0;
  std::string result;
};

struct ReplicaOptions {
  std::string id;
  std::vector<ControllerAddress> controllers;  // the initial members
  Address address;              // of this replica; may be empty if it is one of `controllers`
  size_t max_members = 0;       // see RaftOptions; 0: members change only by ChangeMember()
  size_t tolerated_losses = 1;  // see RaftOptions
  std::string data_folder;
  Duration heartbeat = Millis(50);
  Duration election_timeout = Millis(300);  // plus a random addition of up to the same length
  // A snapshot is taken once the log after the last one has this many entries, or this many bytes
  // and at least half of that snapshot.
  uint64_t snapshot_interval = 2'000;
  uint64_t snapshot_log_bytes = 8 << 20;
  uint64_t random_seed = 0;  // 0: seeded by the operating system
  WalOptions wal;
};

struct ReplicaStatus {
  std::string id;
  std::string role;    // "leader", "follower", "candidate", "learner", or "failed": cannot store
  std::string leader;  // empty if unknown
  uint64_t term = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  uint64_t log_entries = 0;
  uint64_t log_bytes = 0;
  std::string storage_error;         // why the replica does not vote; empty while it votes
  uint64_t storage_outages = 0;      // how often it has stopped voting since the start
  std::vector<std::string> members;  // ids of the voting members
};

class Replica {
 public:
  // Opens the data folder and restores the state machine. Returns kCorrupt or kStorageFailed on
  // failure, or kConflict if another process has the folder open.
  static Result<std::unique_ptr<Replica>> Open(boost::asio::io_context& io, ReplicaOptions options,
                                               StateMachine& machine);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Appends a command. Fails with kNotLeader if it was not appended, and with kUnknownOutcome if it
  // may still be committed.
  void Propose(std::string command, Time deadline, std::function<void(Result<Applied>)> callback);
  // Confirms that this replica is the leader by a quorum round begun after this call, and waits
  // until the returned log index has been applied. Fails with kNotLeader or kUnavailable.
  // Concurrent calls share quorum rounds.
  void ConfirmRead(Time deadline, std::function<void(Result<uint64_t>)> callback);
  // Adds or removes a voting member. Only one change may be pending at a time.
  void ChangeMember(const ControllerAddress& member, uint64_t incarnation, bool remove,
                    Time deadline, std::function<void(Result<Applied>)> callback);

  // Handles a raft message received on the peer port.
  void Receive(const wire::RaftEnvelopeT& envelope);

  bool Leading() const;
  // Returns the current term. A leader must rebuild its soft state when the term changes.
  uint64_t Term() const;
  // Returns the id of the leader; empty if unknown.
  std::string Leader() const;
  ReplicaStatus Status() const;
  // Returns ReplicaStatus::storage_error.
  const std::string& StorageError() const;
  // Sets the callback for the gain (true) or loss (false) of leadership.
  void OnLeadershipChange(std::function<void(bool)> callback);
  // Transfers leadership to the most up-to-date member. Calls back once this replica is not the
  // leader, or at the deadline.
  void TransferLeadership(Time deadline, std::function<void()> callback);

 private:
  class Impl;
  explicit Replica(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_REPLICA_H_
