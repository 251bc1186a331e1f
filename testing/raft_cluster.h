// Runs a group of Raft instances in virtual time over a simulated network and simulated disks, and
// checks them against a single-copy log. Faults are injected through public methods and members.
//
// Invariants checked at every step: all replicas apply the same command at the same index, in order
// and each exactly once; a term has at most one leader; a confirmed read includes every command
// that any replica had applied before the read was requested.
#ifndef PERIDOTGAUGE_TESTING_RAFT_CLUSTER_H_
#define PERIDOTGAUGE_TESTING_RAFT_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "state/raft.h"

namespace peridotgauge {

// Probabilities are per message, delays per message or disk sync.
struct FaultRates {
  double loss = 0;
  double duplication = 0;
  Duration min_delay = Millis(1);
  Duration max_delay = Millis(2);
  Duration min_sync = Millis(0);
  Duration max_sync = Millis(2);
};

struct ClusterNode {
  std::string id;
  std::unique_ptr<Raft> raft;  // null if the node is down
  RaftStoredState disk;
  std::vector<RaftWrite> unsynced_writes;  // returned by TakeReady() but not synced
  std::vector<std::string> state;          // all applied commands
  uint64_t applied = 0;                    // log index
  std::map<uint64_t, uint64_t> reads;      // read id -> number of commands that it must include
  std::vector<uint64_t> proposed;          // log indexes of the commands appended at this node
  std::vector<uint64_t> confirmed;         // ids of confirmed reads
  std::vector<uint64_t> refused_reads;     // ids of refused reads
  uint64_t starts = 0;  // number of starts; events of an earlier start are ignored
  bool disk_full = false;
};

class RaftCluster {
 public:
  // The first `initial_size` replicas (0: all) are the initial members.
  RaftCluster(size_t size, uint64_t seed, uint64_t snapshot_interval = 50, size_t initial_size = 0,
              size_t max_members = 0, size_t tolerated_losses = 1);

  ClusterNode& Node(size_t i) { return this->nodes[i]; }
  size_t Size() const { return this->nodes.size(); }
  Time Now() const { return this->now; }
  void Run(Duration time);
  // Runs until `done` returns true or the limit has passed. Returns the last result of `done`.
  bool RunUntil(const std::function<bool()>& done, Duration limit = Seconds(20));

  void Start(size_t i);
  // Stops a node. Writes that are not synced are lost, except for a random prefix of them.
  void Crash(size_t i);
  void ReplaceDisk(size_t i);
  // From now on writes to the disk fail, and are repeated once it has room again.
  void FillDisk(size_t i) { this->nodes[i].disk_full = true; }
  void EmptyDisk(size_t i);
  // Drops messages from `from` to `to` until Heal().
  void BlockLink(size_t from, size_t to) { this->blocked_links.insert({from, to}); }
  void Isolate(size_t i);
  void Heal() { this->blocked_links.clear(); }

  // Returns the leader with the highest term, or nothing.
  std::optional<size_t> Leader() const;
  // Proposes a new command at `i`. Returns false if it was rejected.
  bool Propose(size_t i);
  // Proposes to the current leader until one command is applied by all running replicas.
  bool CommitOne();
  // As above, without waiting for node `i` to apply it.
  bool CommitOneWithout(size_t i);
  // Returns the id of the read, or nothing if it was rejected at once.
  std::optional<uint64_t> Read(size_t i);
  // Processes the RaftReady of a node. Must be called after each direct call of its Raft instance.
  void ProcessReady(size_t i);
  size_t UnadmittedCount() const;

  FaultRates rates;
  // The single-copy log: all commands applied by any replica, in log order.
  std::vector<std::string> reference_log;
  std::vector<std::string> violations;

 private:
  void ScheduleEvent(Time time, std::function<void()> event) {
    this->events.emplace(time, std::move(event));
  }
  Duration RandomDuration(Duration low, Duration high);
  bool Chance(double probability);
  void Send(size_t from, const RaftMessage& message);
  void Store(size_t i, const RaftWrite& write);
  // Syncs the unsynced writes of the node up to `sequence`.
  void Sync(size_t i, uint64_t sequence);
  void Apply(ClusterNode& node, const LogEntry& entry);
  void Restore(ClusterNode& node, const RaftSnapshot& snapshot);
  void TickNode(size_t i, uint64_t start);
  size_t IndexOf(const std::string& id) const;

  std::vector<ClusterNode> nodes;
  RaftMembers initial;
  size_t max_members;
  size_t tolerated_losses;
  uint64_t snapshot_interval;
  std::mt19937_64 random;
  Time now = TimeAt(0);
  std::multimap<Time, std::function<void()>> events;
  std::set<std::pair<size_t, size_t>> blocked_links;
  std::map<uint64_t, std::string> leaders;        // term -> id and incarnation
  std::map<uint64_t, std::string> command_at;     // log index -> command
  std::map<uint64_t, uint64_t> command_count_at;  // log index -> number of commands up to it
  uint64_t next_command = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_RAFT_CLUSTER_H_
