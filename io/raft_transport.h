// Sends raft messages to the other controllers, each over one peer connection.
//
// Contract: messages are one-way and may be lost; the raft core resends them. Runs on the thread of
// the io_context.
#ifndef PERIDOTGAUGE_IO_RAFT_TRANSPORT_H_
#define PERIDOTGAUGE_IO_RAFT_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

#include "io/peer.h"
#include "state/raft_message.h"

namespace peridotgauge {

class RaftTransport {
 public:
  explicit RaftTransport(boost::asio::io_context& io) : io(io) {}

  // Sends a message; does nothing if `to_address` is empty.
  void Send(const RaftMessage& message);
  // Closes all connections.
  void Close();

 private:
  boost::asio::io_context& io;
  std::map<Address, std::shared_ptr<PeerClient>> clients;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_RAFT_TRANSPORT_H_
