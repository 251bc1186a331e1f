// Sends raft messages to the other controllers.
#include "io/raft_transport.h"

#include <string>
#include <utility>

namespace peridotgauge {

void RaftTransport::Send(const RaftMessage& message) {
  if (message.to_address.empty()) return;
  std::shared_ptr<PeerClient>& client = this->clients[message.to_address];
  if (client == nullptr) client = std::make_shared<PeerClient>(this->io, message.to_address);
  const std::string bytes = EncodeMessage(message);
  wire::RaftEnvelopeT envelope;
  envelope.data.assign(bytes.begin(), bytes.end());
  client->Send(ToBody(std::move(envelope)));
}

void RaftTransport::Close() {
  for (auto& [address, client] : this->clients) client->Close();
  this->clients.clear();
}

}  // namespace peridotgauge
