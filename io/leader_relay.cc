// Forwards sync requests to the leader over a peer connection.
#include "io/leader_relay.h"

#include <utility>

#include "core/address.h"
#include "io/control_replies.h"

namespace peridotgauge {

LeaderRelay::LeaderRelay(boost::asio::io_context& io, std::string self,
                         std::vector<ControllerAddress> controllers, uint16_t peer_port)
    : io(io), self(std::move(self)), controllers(std::move(controllers)), peer_port(peer_port) {}

void LeaderRelay::Forward(const std::string& leader, wire::SyncRequestT request, Time deadline,
                          const Reply& reply) {
  PeerClient* client = this->ClientFor(leader);
  if (client == nullptr) return reply(MakeSyncError(ErrorCode::kNotLeader, "", ""));
  request.relay = false;
  client->Call(
      ToBody(std::move(request)), deadline, [reply, leader](const Result<wire::BodyUnion>& answer) {
        if (answer && answer->AsSyncReply() != nullptr) return reply(*answer);
        reply(MakeSyncError(ErrorCode::kUnavailable,
                            "leader " + leader + " did not reply to the relayed request", leader));
      });
}

void LeaderRelay::Forward(const std::string& leader, wire::QuotaRequestT request, Time deadline,
                          const Reply& reply) {
  PeerClient* client = this->ClientFor(leader);
  if (client == nullptr) return reply(MakeQuotaError({ErrorCode::kNotLeader, ""}, ""));
  request.relayed = true;
  client->Call(
      ToBody(std::move(request)), deadline, [reply, leader](const Result<wire::BodyUnion>& answer) {
        if (answer && answer->AsQuotaReply() != nullptr) return reply(*answer);
        reply(MakeQuotaError({ErrorCode::kUnknownOutcome,
                              "leader " + leader + " did not reply to the relayed request"},
                             leader));
      });
}

PeerClient* LeaderRelay::ClientFor(const std::string& leader) {
  const Address address = this->AddressOf(leader);
  if (address.empty() || leader == this->self) return nullptr;
  auto& client = this->clients[leader];
  if (!client) client = std::make_unique<PeerClient>(this->io, address);
  return client.get();
}

Address LeaderRelay::AddressOf(const std::string& id) const {
  for (const ControllerAddress& known : this->controllers) {
    if (known.id == id) return known.peer_address;
  }
  if (id.empty() || this->peer_port == 0) return {};
  return JoinAddress(id, this->peer_port);
}

}  // namespace peridotgauge
