// A replica of the controllers' state machine: the raft core with its storage and transport.
//
// Use:
//   Replica replica(io, options, machine);
//   replica.Propose(command, deadline, [](Result<Applied> applied) { ... });
//   replica.ConfirmRead(deadline, [](Result<uint64_t> index) { ... });
//
// Contract: everything runs on the thread of the io_context except file writes and syncs, which
// have a thread of their own. Every callback is called exactly once, never from inside the call
// that registered it. Committed commands reach StateMachine::Apply in log order, each once.
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
  Address address;         // of this replica; may be empty if it is one of `controllers`
  size_t max_members = 0;  // learners are admitted as new members up to this number
  std::string data_folder;
  Duration heartbeat = Millis(50);
  Duration election_timeout = Millis(300);  // plus a random part of the same length
  uint64_t snapshot_interval = 2'000;       // log entries between snapshots
  uint64_t random_seed = 0;                 // 0: taken from the operating system
};

struct ReplicaStatus {
  std::string id;
  std::string role;    // "leader", "follower", "candidate", "learner" or "failed"
  std::string leader;  // empty if unknown
  uint64_t term = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  uint64_t log_entries = 0;
  uint64_t log_bytes = 0;
  std::string storage_error;         // empty unless the replica has stopped voting
  std::vector<std::string> members;  // ids of the voting members
};

class Replica {
 public:
  // Opens the data folder and restores the state machine. kCorrupt or kStorageFailed if it cannot.
  static Result<std::unique_ptr<Replica>> Open(boost::asio::io_context& io, ReplicaOptions options,
                                               StateMachine& machine);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Appends a command. kNotLeader: not appended. kUnknownOutcome: it may still be committed.
  void Propose(std::string command, Time deadline, std::function<void(Result<Applied>)> callback);
  // Confirms by a quorum round begun after this call that this replica leads, and waits until the
  // returned log index has been applied. kNotLeader or kUnavailable otherwise. Concurrent calls
  // share rounds.
  void ConfirmRead(Time deadline, std::function<void(Result<uint64_t>)> callback);
  // Adds or removes a voting member, one at a time.
  void ChangeMember(const ControllerAddress& member, uint64_t incarnation, bool remove,
                    Time deadline, std::function<void(Result<Applied>)> callback);

  // Takes a raft message that arrived on the peer port.
  void Receive(const wire::RaftEnvelopeT& envelope);

  bool Leading() const;
  // The term of the current leadership; a new value means that soft state must be collected again.
  uint64_t Term() const;
  std::string Leader() const;  // id, empty if unknown
  ReplicaStatus Status() const;
  // Called on the event loop when this replica gains (true) or loses (false) leadership.
  void OnLeadershipChange(std::function<void(bool)> callback);
  // Hands leadership to the most advanced member, then calls back; at once if not leading.
  void TransferLeadership(Time deadline, std::function<void()> callback);

 private:
  class Impl;
  explicit Replica(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_REPLICA_H_
