// Proposes commands to the replicated log and returns their replies.
//
// Use:
//   auto proposals = std::make_shared<Proposals>(io, log, state);
//   proposals->Propose(ToCommand(std::move(join)), [](const wire::BodyUnion& answer) { ... });
//
// Contract: runs on the thread of the io_context. Each callback is called once with a CommandReply,
// also if leadership has changed, and never from inside Propose(). No callback is called after the
// object has been destroyed. At most kMaxPendingCommands are pending; further ones get kOverloaded.
#ifndef PERIDOTGAUGE_IO_PROPOSALS_H_
#define PERIDOTGAUGE_IO_PROPOSALS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "core/error.h"
#include "core/types.h"
#include "io/replicated_log.h"
#include "peer_generated.h"
#include "state/control_state.h"

namespace peridotgauge {

constexpr Duration kProposalTimeout = Seconds(2);
// Maximum number of commands waiting for their commit; further ones are refused with kOverloaded.
constexpr size_t kMaxPendingCommands = 4'096;

class Proposals : public std::enable_shared_from_this<Proposals> {
 public:
  using Callback = std::function<void(const wire::BodyUnion&)>;

  // `log` and `state` must outlive this object.
  Proposals(boost::asio::io_context& io, ReplicatedLog& log, const ControlState& state)
      : io(io), log(log), state(state) {}

  void Propose(wire::CommandBodyUnion body, Callback callback);

 private:
  wire::BodyUnion ToReply(const Result<Applied>& applied) const;

  boost::asio::io_context& io;
  ReplicatedLog& log;
  const ControlState& state;
  size_t pending = 0;  // at most kMaxPendingCommands
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_PROPOSALS_H_
