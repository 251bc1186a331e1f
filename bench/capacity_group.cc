// Controllers of the capacity program.
#include "bench/capacity_group.h"

#include <glog/logging.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>

#include "io/clock.h"

namespace peridotgauge {
namespace {

uint64_t FrameBytes(const wire::BodyUnion& body, bool reply) {
  return EncodeFrame(1, reply, body).size();
}

}  // namespace

ControllerGroup::ControllerGroup(size_t size, const std::string& folder, uint64_t snapshot_interval)
    : snapshot_interval(snapshot_interval) {
  std::string pattern = folder + "/capacity_XXXXXX";
  CHECK(mkdtemp(pattern.data()) != nullptr) << "cannot make a folder below " << folder;
  this->root = pattern;
  for (size_t i = 0; i < size; ++i) {
    this->nodes.push_back(std::make_unique<ControllerNode>());
    this->Listen(*this->nodes.back());
  }
  for (size_t i = 0; i < size; ++i) this->Open(i);
  this->Leader();
}

ControllerGroup::~ControllerGroup() {
  for (const auto& node : this->nodes) {
    node->thread.Run([&] {
      node->server.reset();
      if (node->controller) node->controller->Stop();
      node->controller.reset();
      node->log.reset();
      node->replica.reset();
    });
  }
  this->nodes.clear();
  std::filesystem::remove_all(this->root);
}

void ControllerGroup::Listen(ControllerNode& node) {
  node.thread.Run([&] {
    node.server = std::make_unique<PeerServer>(
        node.thread.Io(), "127.0.0.1:0",
        [this, &node](wire::BodyUnion body, const PeerRequest& request) {
          this->Receive(node, std::move(body), request);
        });
  });
  this->addresses.push_back({.id = "c" + std::to_string(this->nodes.size()),
                             .peer_address = "127.0.0.1:" + std::to_string(node.server->Port())});
}

void ControllerGroup::Open(size_t index) {
  ControllerNode& node = *this->nodes[index];
  const std::string& id = this->addresses[index].id;
  node.thread.Run([&] {
    auto opened = Replica::Open(node.thread.Io(),
                                {.id = id,
                                 .controllers = this->addresses,
                                 .data_folder = this->root + "/" + id,
                                 .snapshot_interval = this->snapshot_interval},
                                node.state);
    CHECK(opened) << opened.error().ToString();
    node.replica = std::move(*opened);
    node.log = MakeReplicatedLog(*node.replica);
    node.controller = std::make_unique<Controller>(
        node.thread.Io(), ControllerOptions{.id = id, .controllers = this->addresses}, *node.log,
        node.state);
    node.replica->OnLeadershipChange([&node](bool) { node.controller->CheckLeadership(); });
  });
}

void ControllerGroup::Receive(ControllerNode& node, wire::BodyUnion body,
                              const PeerRequest& request) {
  if (const auto* envelope = body.AsRaftEnvelope()) {
    if (node.replica) node.replica->Receive(*envelope);
    return;
  }
  if (!node.controller) return;
  if (body.type == wire::Body::SyncRequest) ++this->traffic.requests;
  if (!this->traffic.counting_bytes) return node.controller->Handle(std::move(body), request);
  this->traffic.bytes += FrameBytes(body, false);
  node.controller->Handle(std::move(body), {.reply =
                                                [this, request](const wire::BodyUnion& reply) {
                                                  this->traffic.bytes += FrameBytes(reply, true);
                                                  request.Reply(reply);
                                                },
                                            .active = [request] { return request.Active(); }});
}

ControllerNode& ControllerGroup::Leader() {
  for (;;) {
    for (const auto& node : this->nodes) {
      bool leading = false;
      node->thread.Run([&] { leading = node->replica->Leading(); });
      if (leading) return *node;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

double ControllerGroup::ReopenReplica() {
  ControllerNode& node = *this->nodes[0];
  node.thread.Run([&] {
    node.controller->Stop();
    node.controller.reset();
    node.log.reset();
    node.replica.reset();
    node.state = ControlState();
  });
  const Time start = SteadyNow();
  this->Open(0);
  const double seconds = ToMillis(SteadyNow() - start) / 1e3;
  this->Leader();
  return seconds;
}

}  // namespace peridotgauge
