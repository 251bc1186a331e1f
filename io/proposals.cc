// Encodes commands and decodes their results.
#include "io/proposals.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "io/clock.h"
#include "io/control_replies.h"
#include "io/peer.h"

namespace peridotgauge {

void Proposals::Propose(wire::CommandBodyUnion body, Callback callback) {
  if (this->pending >= kMaxPendingCommands) {
    boost::asio::post(this->io, [callback = std::move(callback)] {
      callback(MakeCommandError(
          {ErrorCode::kOverloaded, "too many commands are waiting for their commit"}, ""));
    });
    return;
  }
  ++this->pending;
  const int64_t now_ms = std::max(UnixMillis(), this->state.LogTime());
  this->log.Propose(ControlState::Encode(now_ms, std::move(body)), SteadyNow() + kProposalTimeout,
                    [weak = this->weak_from_this(),
                     callback = std::move(callback)](const Result<Applied>& applied) {
                      auto self = weak.lock();
                      if (!self) return;
                      --self->pending;
                      callback(self->ToReply(applied));
                    });
}

wire::BodyUnion Proposals::ToReply(const Result<Applied>& applied) const {
  if (!applied) return MakeCommandError(applied.error(), this->log.Leader());
  Result<wire::CommandReplyT> reply = ControlState::DecodeReply(applied->result);
  if (!reply) return MakeCommandError({ErrorCode::kInternal, reply.error().detail}, "");
  return ToBody(std::move(*reply));
}

}  // namespace peridotgauge
