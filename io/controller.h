// The controller role: answers routers and operators from the replicated state.
//
// Use:
//   ControlState state;
//   auto replica = Replica::Open(io, replica_options, state);
//   auto log = MakeReplicatedLog(**replica);
//   Controller controller(io, {.id = "c1", .controllers = settings.controllers}, *log, state);
//   replica->OnLeadershipChange([&](bool) { controller.CheckLeadership(); });
//   controller.Handle(std::move(body), request);     // SyncRequest, CommandRequest, ReadRequest
//
// Contract: everything runs on the thread of the io_context. Every request gets one reply: an
// answer, or an error code in its `error` field. Only the leader answers; others reply kNotLeader
// with the leader's id, and pass a SyncRequest with `relay` on to the leader. Answers to
// SyncRequest and ReadRequest follow a quorum round that began after the request arrived;
// requests that wait at the same time share one round. A router receives a success reply, and
// with it a lease, only while it is in the committed router list.
#ifndef PERIDOTGAUGE_IO_CONTROLLER_H_
#define PERIDOTGAUGE_IO_CONTROLLER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/settings.h"
#include "core/types.h"
#include "io/event_log.h"
#include "io/peer.h"
#include "io/replicated_log.h"
#include "peer_generated.h"
#include "state/control_state.h"
#include "state/registration.h"

namespace peridotgauge {

// Longest time for which a SyncRequest without news is held.
constexpr Duration kMaxPollTime = Millis(400);
// Directory changes are sent to each router at most once in this time, so that a flapping target
// cannot make the leader answer all routers continuously. The first change after a pause is sent
// at once.
constexpr Duration kDirectoryInterval = Millis(50);
constexpr Duration kControllerTick = Millis(20);
// Longest wait for the routers to learn that a target leaves before its heartbeat is acknowledged;
// well below the second for which targets wait.
constexpr Duration kPublishTime = Millis(600);

struct ControllerOptions {
  std::string id;
  std::vector<ControllerAddress> controllers;  // to reach the leader for relayed requests
  uint16_t peer_port = 0;                      // see control_channel.h
  ConfigReader read_config = &Config::Parse;   // of new texts
  bool highest = false;  // the highest revision counts, whatever was in effect before
  Duration registration_lease = kRegistrationLease;  // of targets that register with controllers
  EventLog* events = nullptr;                        // outlives the controller; may be absent
};

class Controller {
 public:
  // Replies to one request. Both functions may be called at any later time.
  struct Responder {
    std::function<void(const wire::BodyUnion&)> reply;
    std::function<bool()> active;  // false once nobody waits for the reply
  };

  // `log` and `state` must outlive the controller; `state` is the state machine of `log`.
  Controller(boost::asio::io_context& io, ControllerOptions options, ReplicatedLog& log,
             ControlState& state);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Takes a SyncRequest, CommandRequest, ReadRequest or RegisterRequest; others get no reply.
  void Handle(wire::BodyUnion body, const PeerRequest& request);
  void Handle(wire::BodyUnion body, const Responder& responder);

  // Notes a gain or loss of leadership at once; otherwise it is noticed at the next tick.
  void CheckLeadership();
  // Stops timers and answers all waiting requests with kDraining.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROLLER_H_
