// A group of raft cores over a fake network and fake disks, in virtual time, with checks against a
// single-copy log. Every fault that a test wants is a public method or member.
//
// Checked at every step: all replicas apply the same command at the same index, in order and each
// once; a term has at most one leader; a confirmed read is not behind any command that was applied
// anywhere before the read was requested.
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

// Chances are per message, delays per message or sync.
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
  std::unique_ptr<Raft> raft;  // null: down
  RaftStoredState disk;
  std::vector<RaftWrite> writing;       // taken but not synced
  std::vector<std::string> state;       // the state machine: all applied commands
  uint64_t applied = 0;                 // log index
  std::map<uint64_t, uint64_t> reads;   // read id -> number of commands that it must include
  std::vector<uint64_t> proposed;       // indexes at which commands were appended here
  std::vector<uint64_t> confirmed;      // ids of confirmed reads
  std::vector<uint64_t> refused_reads;  // ids of refused reads
  uint64_t starts = 0;                  // invalidates events of an earlier start
};

class RaftCluster {
 public:
  // The first `initial_size` replicas (0: all) are the initial members that every replica knows.
  RaftCluster(size_t size, uint64_t seed, uint64_t snapshot_interval = 50, size_t initial_size = 0,
              size_t grow_to = 0);

  ClusterNode& Node(size_t i) { return this->nodes[i]; }
  size_t Size() const { return this->nodes.size(); }
  Time Now() const { return this->now; }
  void Run(Duration time);
  // Runs until `done` or the limit; returns whether `done`.
  bool RunUntil(const std::function<bool()>& done, Duration limit = Seconds(20));

  void Start(size_t i);
  // Loses what is not synced, except for a random prefix of the writes under way.
  void Crash(size_t i);
  void ReplaceDisk(size_t i);
  // Messages from `from` to `to` are dropped while cut.
  void Cut(size_t from, size_t to) { this->cuts.insert({from, to}); }
  void Isolate(size_t i);
  void Heal() { this->cuts.clear(); }

  // The leader with the highest term, or nothing.
  std::optional<size_t> Leader() const;
  // Proposes a fresh command at `i`; false if it was refused.
  bool Propose(size_t i);
  // Proposes through whoever leads until one command is applied by all running replicas.
  bool CommitOne();
  // Returns the id of the read, or nothing if it was refused at once.
  std::optional<uint64_t> Read(size_t i);
  // Takes the Ready of a node after a direct call of its core.
  void Drain(size_t i);
  size_t Unadmitted() const;

  FaultRates rates;
  // All commands applied anywhere, in log order: the single-copy log.
  std::vector<std::string> reference;
  std::vector<std::string> violations;

 private:
  void At(Time time, std::function<void()> event) { this->events.emplace(time, std::move(event)); }
  Duration Between(Duration low, Duration high);
  bool Chance(double probability);
  void Send(size_t from, const RaftMessage& message);
  void Store(size_t i, const RaftWrite& write);
  void Apply(ClusterNode& node, const LogEntry& entry);
  void Restore(ClusterNode& node, const RaftSnapshot& snapshot);
  void TickNode(size_t i, uint64_t start);
  size_t IndexOf(const std::string& id) const;

  std::vector<ClusterNode> nodes;
  RaftMembers initial;
  size_t grow_to;
  uint64_t snapshot_interval;
  std::mt19937_64 random;
  Time now = TimeAt(0);
  std::multimap<Time, std::function<void()>> events;
  std::set<std::pair<size_t, size_t>> cuts;
  std::map<uint64_t, std::string> leaders;     // term -> id and incarnation
  std::map<uint64_t, std::string> command_at;  // log index -> command
  std::map<uint64_t, uint64_t> position_of;    // log index -> commands up to it
  uint64_t next_command = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_RAFT_CLUSTER_H_
