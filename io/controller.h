// The controller role: answers requests of routers and operators from the replicated state.
//
// Use:
//   ControlState state;
//   auto replica = Replica::Open(io, replica_options, state);
//   auto log = MakeReplicatedLog(**replica);
//   Controller controller(io, {.id = "c1", .controllers = settings.controllers}, *log, state);
//   replica->OnLeadershipChange([&](bool) { controller.CheckLeadership(); });
//   controller.Handle(std::move(body), request);     // SyncRequest, CommandRequest, ReadRequest,
//                                                    // RegisterRequest, QuotaRequest
//
// Contract: everything runs on the thread of the io_context. Every request gets exactly one reply,
// which carries either the result or an error code in its `error` field. Only the leader serves
// requests. A follower replies kNotLeader with the leader's id, except that it forwards a
// SyncRequest with `relay`, and a QuotaRequest, to the leader. The leader replies to a SyncRequest
// or ReadRequest only after a quorum round that began after the request arrived, and to a
// QuotaRequest too; concurrent requests share a round. A router receives a successful reply, and
// thereby a lease, only while it is in the committed router list.
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

constexpr Duration kControllerTickInterval = Millis(20);
// Maximum time for which the heartbeat of a leaving target waits until all routers have received
// the departure. Well below the one second for which targets wait. After it the heartbeat fails,
// and the target sends it again.
constexpr Duration kDepartureAckTimeout = Millis(600);
// A departure is acknowledged after this time even if a router has not received it. Longer than a
// session, so that only routers that stay in contact without applying replies are left out.
constexpr Duration kDepartureAckLimit = Seconds(3);

struct ControllerOptions {
  std::string id;
  std::vector<ControllerAddress> controllers;  // peer addresses for relayed requests
  uint16_t peer_port = 0;                      // see control_channel.h
  ConfigParser parse_config = &Config::Parse;  // parses proposed configurations
  // Accepts any revision above the current one; otherwise only the next revision is accepted.
  bool highest_revision_wins = false;
  // With the native interface routers list each other, whatever number is offered.
  bool callers_use_all_routers = false;
  Duration registration_lease = kRegistrationLease;  // for targets that register with controllers
  QuotaTolerance quota;                              // of the request quotas of workspaces
  EventLog* events = nullptr;                        // may be null; must outlive the controller
};

class Controller {
 public:
  // The reply channel of one request. Both functions may be called at any later time.
  struct Responder {
    std::function<void(const wire::BodyUnion&)> reply;
    std::function<bool()> active;  // false once the sender no longer waits for the reply
  };

  // `log` and `state` must outlive the controller; `state` is the state machine of `log`.
  Controller(boost::asio::io_context& io, ControllerOptions options, ReplicatedLog& log,
             ControlState& state);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Handles a SyncRequest, CommandRequest, ReadRequest, RegisterRequest or QuotaRequest. Any other
  // message is ignored and gets no reply.
  void Handle(wire::BodyUnion body, const PeerRequest& request);
  void Handle(wire::BodyUnion body, const Responder& responder);

  // Processes a gain or loss of leadership immediately rather than at the next tick.
  void CheckLeadership();
  // Stops the timers and replies kDraining to all held requests.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROLLER_H_
