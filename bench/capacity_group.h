// A group of one or three controllers for the capacity program, each in its own thread.
#ifndef PERIDOTGAUGE_BENCH_CAPACITY_GROUP_H_
#define PERIDOTGAUGE_BENCH_CAPACITY_GROUP_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "bench/capacity_meter.h"
#include "io/controller.h"
#include "io/peer.h"
#include "io/replica.h"
#include "io/replicated_log.h"
#include "state/control_state.h"

namespace peridotgauge {

// Traffic of all controllers without raft messages. Bytes are counted only while `counting_bytes`
// is set, because counting encodes each message a second time.
struct SyncTraffic {
  std::atomic<uint64_t> requests{0};  // sync requests received
  std::atomic<uint64_t> bytes{0};     // received and sent
  std::atomic<bool> counting_bytes{false};
};

// One controller. All members except `thread` are accessed on that thread only.
struct ControllerNode {
  EventThread thread;
  std::unique_ptr<PeerServer> server;
  ControlState state;
  std::unique_ptr<Replica> replica;
  std::unique_ptr<ReplicatedLog> log;
  std::unique_ptr<Controller> controller;
};

class ControllerGroup {
 public:
  // Creates the data folders below `folder` and waits until a leader is elected.
  ControllerGroup(size_t size, const std::string& folder, uint64_t snapshot_interval = 2'000);
  ~ControllerGroup();
  ControllerGroup(const ControllerGroup&) = delete;
  ControllerGroup& operator=(const ControllerGroup&) = delete;

  // Returns the leader; waits until there is one.
  ControllerNode& Leader();
  const std::vector<ControllerAddress>& Addresses() const { return this->addresses; }
  SyncTraffic& Traffic() { return this->traffic; }
  // Closes and reopens the replica of the first node. Returns the duration of the open in seconds.
  double ReopenReplica();

 private:
  void Listen(ControllerNode& node);
  void Open(size_t index);
  void Receive(ControllerNode& node, wire::BodyUnion body, const PeerRequest& request);

  uint64_t snapshot_interval;
  std::string root;
  std::vector<std::unique_ptr<ControllerNode>> nodes;
  std::vector<ControllerAddress> addresses;
  SyncTraffic traffic;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_GROUP_H_
