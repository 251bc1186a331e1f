// Encoding of commands, and the answers to them.
#include "io/proposals.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "io/clock.h"
#include "io/control_replies.h"
#include "io/peer.h"

namespace peridotgauge {

void Proposals::Propose(wire::CommandBodyUnion body, Callback done) {
  if (this->pending >= kMaxPendingCommands) {
    boost::asio::post(this->io, [done = std::move(done)] {
      done(CommandError({ErrorCode::kOverloaded, "too many commands wait"}, ""));
    });
    return;
  }
  ++this->pending;
  const int64_t now_ms = std::max(UnixMillis(), this->state.LogTime());
  this->log.Propose(
      ControlState::Encode(now_ms, std::move(body)), SteadyNow() + kProposalTimeout,
      [weak = this->weak_from_this(), done = std::move(done)](const Result<Applied>& applied) {
        auto self = weak.lock();
        if (!self) return;
        --self->pending;
        done(self->AnswerOf(applied));
      });
}

wire::BodyUnion Proposals::AnswerOf(const Result<Applied>& applied) const {
  if (!applied) return CommandError(applied.error(), this->log.Leader());
  Result<wire::CommandReplyT> reply = ControlState::DecodeReply(applied->result);
  if (!reply) return CommandError({ErrorCode::kInternal, reply.error().detail}, "");
  return ToBody(std::move(*reply));
}

}  // namespace peridotgauge
