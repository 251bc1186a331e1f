// Forwards sync requests and requests for permits to the leader on behalf of routers that cannot
// reach it.
//
// Use:
//   LeaderRelay relay(io, "c1", settings.controllers, peer_port);
//   relay.Forward(log.Leader(), std::move(request), [](const wire::BodyUnion& reply) { ... });
//
// Contract: runs on the thread of the io_context. Each request gets one reply: the leader's reply,
// kNotLeader if the leader is unknown, or kUnavailable (kUnknownOutcome for permits) if the leader
// did not reply. A forwarded request is not forwarded again.
#ifndef PERIDOTGAUGE_IO_LEADER_RELAY_H_
#define PERIDOTGAUGE_IO_LEADER_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/types.h"
#include "io/peer.h"
#include "peer_generated.h"

namespace peridotgauge {

class LeaderRelay {
 public:
  using Reply = std::function<void(const wire::BodyUnion&)>;

  // `self` is the id of this controller. `peer_port`: see control_channel.h.
  LeaderRelay(boost::asio::io_context& io, std::string self,
              std::vector<ControllerAddress> controllers, uint16_t peer_port);

  // Forwards the request to the controller with id `leader`, which has until `deadline` to reply.
  void Forward(const std::string& leader, wire::SyncRequestT request, Time deadline,
               const Reply& reply);
  // The same for a request for permits, which is answered with an error if the leader does not.
  void Forward(const std::string& leader, wire::QuotaRequestT request, Time deadline,
               const Reply& reply);
  // Closes the connections; outstanding requests get no reply.
  void Stop() { this->clients.clear(); }

 private:
  // Returns the connection to the leader, or null if it is unknown or this controller.
  PeerClient* ClientFor(const std::string& leader);
  // Returns an empty address for an unknown controller.
  Address AddressOf(const std::string& id) const;

  boost::asio::io_context& io;
  std::string self;
  std::vector<ControllerAddress> controllers;
  uint16_t peer_port;
  std::map<std::string, std::unique_ptr<PeerClient>> clients;  // by controller id
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_LEADER_RELAY_H_
