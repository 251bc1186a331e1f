// Three controllers (or one) in threads of their own, for the capacity program.
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

// What arrived at and left all controllers, without raft messages. Bytes are counted while
// `counting_bytes` is set, because that encodes each message a second time.
struct SyncTraffic {
  std::atomic<uint64_t> requests{0};
  std::atomic<uint64_t> bytes{0};
  std::atomic<bool> counting_bytes{false};
};

// One controller. Everything but `thread` is used on the thread only.
struct CapacityNode {
  EventThread thread;
  std::unique_ptr<PeerServer> server;
  ControlState state;
  std::unique_ptr<Replica> replica;
  std::unique_ptr<ReplicatedLog> log;
  std::unique_ptr<Controller> controller;
};

class CapacityGroup {
 public:
  // Makes data folders below `folder` and waits for a leader.
  CapacityGroup(size_t size, const std::string& folder, uint64_t snapshot_interval = 2'000);
  ~CapacityGroup();
  CapacityGroup(const CapacityGroup&) = delete;
  CapacityGroup& operator=(const CapacityGroup&) = delete;

  CapacityNode& Leader();
  const std::vector<ControllerAddress>& Addresses() const { return this->addresses; }
  SyncTraffic& Traffic() { return this->traffic; }
  // Closes and opens the replica of the first node; returns the time of the open in seconds.
  double Reopen();

 private:
  void Listen(CapacityNode& node);
  void Open(size_t index);
  void Receive(CapacityNode& node, wire::BodyUnion body, const PeerRequest& request);

  uint64_t snapshot_interval;
  std::string root;
  std::vector<std::unique_ptr<CapacityNode>> nodes;
  std::vector<ControllerAddress> addresses;
  SyncTraffic traffic;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_GROUP_H_
