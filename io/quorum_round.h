// Batches read confirmations, so that concurrent requests share a quorum round.
//
// Use:
//   auto rounds = std::make_shared<QuorumRounds>(io, log);
//   rounds->Confirm([](const Result<uint64_t>& index) { ... });
//
// Contract: runs on the thread of the io_context. A callback is called exactly once, after a round
// that began after its Confirm(), and never from inside the call. No callback is called after the
// object has been destroyed. One round runs at a time; all requests that arrive during a round
// share the next one.
#ifndef PERIDOTGAUGE_IO_QUORUM_ROUND_H_
#define PERIDOTGAUGE_IO_QUORUM_ROUND_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/error.h"
#include "core/types.h"
#include "io/replicated_log.h"

namespace peridotgauge {

constexpr Duration kQuorumTimeout = Millis(500);

class QuorumRounds : public std::enable_shared_from_this<QuorumRounds> {
 public:
  // Receives the log index up to which the state has been applied, or kNotLeader or kUnavailable.
  using Callback = std::function<void(const Result<uint64_t>&)>;

  QuorumRounds(boost::asio::io_context& io, ReplicatedLog& log) : io(io), log(log) {}
  // Confirms by a quorum round that this controller is still the leader.
  void Confirm(Callback callback);

 private:
  void StartRound();

  boost::asio::io_context& io;
  ReplicatedLog& log;
  std::vector<Callback> waiting;  // for the next round
  bool round_active = false;      // a round is running or scheduled
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_QUORUM_ROUND_H_
