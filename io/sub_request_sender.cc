#include "io/sub_request_sender.h"

#include <utility>

#include "io/clock.h"
#include "io/target_client.h"

namespace peridotgauge {
namespace {

ReplyKind ReplyKindOf(const wire::SubReplyT& reply) {
  if (reply.error < 0) return ReplyKind::kAnswered;
  const auto code = static_cast<ErrorCode>(reply.error);
  // A target or owner that cannot be reached has probably ended. Reported as a refusal, it would be
  // tried again every kRefusedBackoff until its registration expires.
  if (code == ErrorCode::kUnavailable) return ReplyKind::kFailed;
  if (InfoOf(code).not_run) return ReplyKind::kRefused;
  return code == ErrorCode::kDeadlineExceeded ? ReplyKind::kTimedOut : ReplyKind::kFailed;
}

// Returns true for refusals for lack of capacity. Other refusals, for example because the target
// has moved to another owner, do not indicate the load of the fleet.
bool IsOverload(const wire::SubReplyT& reply) {
  if (reply.error < 0) return false;
  const auto code = static_cast<ErrorCode>(reply.error);
  return code == ErrorCode::kShed || code == ErrorCode::kOverloaded;
}

}  // namespace

uint64_t SubRequestSender::Send(Time now, const SubRequestRoute& route, wire::SubRequestT request,
                                Callback done) {
  const uint64_t id = ++this->last_id;
  Pending pending_request{.sent = now,
                          .fleet = route.fleet,
                          .replica_send = this->replica_choice.OnSend(now, *route.target),
                          .done = std::move(done)};
  const RouterRecord* owner = this->owner.OwnerOf(route.target->target);
  const bool remote = owner != nullptr && owner->id != this->self;
  if (remote) pending_request.peer = owner->peer_address;
  request.budget_us = (route.deadline - now).count();
  this->pending.emplace(id, std::move(pending_request));
  if (remote) {
    this->SendToPeer(id, this->pending.at(id).peer, std::move(request), route.deadline);
    return id;
  }
  const uint64_t job =
      this->owner.Run(now, std::move(request), route.deadline,
                      [this, id](wire::SubReplyT reply) { this->OnReply(id, std::move(reply)); });
  this->pending.at(id).call_id = job;
  return id;
}

void SubRequestSender::SendToPeer(uint64_t id, const Address& peer, wire::SubRequestT request,
                                  Time deadline) {
  wire::BodyUnion body = ToBody(std::move(request));
  // The reply of a failed call is built from the ids of the request.
  wire::SubRequestT ids;
  ids.request_id = body.AsSubRequest()->request_id;
  ids.attempt = body.AsSubRequest()->attempt;
  ids.snapshot = body.AsSubRequest()->snapshot;
  const uint64_t call = this->peers.ClientFor(peer).Call(
      body, deadline, [this, id, ids = std::move(ids)](Result<wire::BodyUnion> reply) {
        if (!reply) return this->OnReply(id, FailedSubReply(ids, reply.error()));
        wire::SubReplyT* answer = reply->AsSubReply();
        if (answer == nullptr) {
          return this->OnReply(
              id, FailedSubReply(
                      ids, Error{ErrorCode::kWrongReply, "the owner's reply is not a SubReply"}));
        }
        this->OnReply(id, std::move(*answer));
      });
  this->pending.at(id).call_id = call;
}

void SubRequestSender::Cancel(Time now, uint64_t id) {
  auto found = this->pending.extract(id);
  if (found.empty()) return;
  const Pending& pending_request = found.mapped();
  if (pending_request.peer.empty()) {
    this->owner.Cancel(now, pending_request.call_id);
  } else {
    this->peers.ClientFor(pending_request.peer).Cancel(pending_request.call_id);
  }
  this->replica_choice.OnReply(now, pending_request.replica_send, {.kind = ReplyKind::kCancelled});
  this->hedge_budget.OnReply(now, pending_request.fleet, {.latency = now - pending_request.sent});
}

void SubRequestSender::OnReply(uint64_t id, wire::SubReplyT reply) {
  auto found = this->pending.extract(id);
  if (found.empty()) return;
  const Time now = SteadyNow();
  Pending& pending_request = found.mapped();
  const ReplyKind kind = ReplyKindOf(reply);
  this->replica_choice.OnReply(
      now, pending_request.replica_send,
      {.kind = kind,
       .load = reply.error < 0 ? reply.load : -1.0F,
       .owner_in_flight = reply.error < 0 ? static_cast<int32_t>(reply.owner_in_flight) : -1});
  AttemptReport report{.queue_time = Duration(reply.queue_us),
                       .service_time = Duration(reply.service_us),
                       .refused = IsOverload(reply)};
  if (kind == ReplyKind::kAnswered || kind == ReplyKind::kTimedOut) {
    report.latency = now - pending_request.sent;
  }
  this->hedge_budget.OnReply(now, pending_request.fleet, report);
  pending_request.done(std::move(reply));
}

}  // namespace peridotgauge
