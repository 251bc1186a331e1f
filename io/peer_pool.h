// The connections of this process to other processes, one for each address.
//
// Contract: runs on the thread of the io_context. The number of connections is bounded by the
// number of routers; CloseExcept() closes those that are no longer needed.
#ifndef PERIDOTGAUGE_IO_PEER_POOL_H_
#define PERIDOTGAUGE_IO_PEER_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>

#include "core/types.h"
#include "io/peer.h"

namespace peridotgauge {

class PeerPool {
 public:
  explicit PeerPool(boost::asio::io_context& io) : io(io) {}

  // Returns the client for the address. It connects on its first call.
  PeerClient& ClientFor(const Address& address) {
    std::unique_ptr<PeerClient>& client = this->clients[address];
    if (!client) client = std::make_unique<PeerClient>(this->io, address);
    return *client;
  }

  // Closes the connections to all addresses not in `addresses`; their pending calls fail.
  void CloseExcept(const std::set<Address>& addresses) {
    for (auto client = this->clients.begin(); client != this->clients.end();) {
      if (addresses.contains(client->first)) {
        ++client;
        continue;
      }
      client->second->Close();
      client = this->clients.erase(client);
    }
  }

 private:
  boost::asio::io_context& io;
  std::map<Address, std::unique_ptr<PeerClient>> clients;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_PEER_POOL_H_
