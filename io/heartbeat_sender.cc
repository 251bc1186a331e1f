// Collects heartbeats of targets into messages to the leader.
#include "io/heartbeat_sender.h"

#include <utility>

#include "io/clock.h"
#include "io/peer.h"
#include "state/commands.h"

namespace peridotgauge {

void HeartbeatSender::Send(Time now, const TargetRecord& record, Callback callback) {
  this->waiting.push_back({record, std::move(callback), now + kHeartbeatCallTimeout});
  if (now >= this->next_send || this->waiting.size() >= kMaxHeartbeatsPerMessage) {
    return this->Flush(now);
  }
  if (std::exchange(this->timer_armed, true)) return;
  this->timer.expires_at(this->next_send);
  this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!self) return;
    self->timer_armed = false;
    if (!error) self->Flush(SteadyNow());
  });
}

void HeartbeatSender::Stop() {
  this->timer.cancel();
  this->Flush(SteadyNow());
}

void HeartbeatSender::Flush(Time now) {
  if (this->waiting.empty()) return;
  this->next_send = now + kHeartbeatInterval;
  this->SendBatch(std::make_shared<Batch>(std::exchange(this->waiting, {})));
}

void HeartbeatSender::SendBatch(std::shared_ptr<Batch> batch) {
  wire::RegisterRequestT request;
  request.target = ToWire(batch->front().record);
  for (size_t i = 1; i < batch->size(); ++i) request.more.push_back(ToWire((*batch)[i].record));
  const Time deadline = batch->front().deadline;
  this->channel->Exchange(
      ToBody(std::move(request)), deadline, Resend::kAllowed,
      [self = this->shared_from_this(), batch = std::move(batch)](
          const Result<wire::BodyUnion>& reply) { self->OnReply(batch, reply); });
}

void HeartbeatSender::OnReply(const std::shared_ptr<Batch>& batch,
                              const Result<wire::BodyUnion>& reply) {
  if (!reply) {
    for (const Heartbeat& heartbeat : *batch) heartbeat.callback(tl::unexpected(reply.error()));
    return;
  }
  const wire::CommandReplyT* answer = reply->AsCommandReply();
  if (answer == nullptr) {
    for (const Heartbeat& heartbeat : *batch) {
      heartbeat.callback(Fail(ErrorCode::kUnknownOutcome, "expected a CommandReply"));
    }
    return;
  }
  batch->front().callback(*answer);
  const bool handled = answer->more_errors.size() + 1 == batch->size();
  for (size_t i = 1; i < batch->size(); ++i) {
    Heartbeat& heartbeat = (*batch)[i];
    if (!handled) {
      this->SendBatch(std::make_shared<Batch>(Batch{std::move(heartbeat)}));
      continue;
    }
    wire::CommandReplyT single;
    single.error = answer->more_errors[i - 1];
    single.leader = answer->leader;
    single.registered_targets = answer->registered_targets;
    heartbeat.callback(std::move(single));
  }
}

}  // namespace peridotgauge
