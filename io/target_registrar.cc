// Handles heartbeats and departures of targets at the leader.
#include "io/target_registrar.h"

#include <glog/logging.h>

#include "io/clock.h"
#include "io/control_replies.h"
#include "io/peer.h"
#include "state/commands.h"

namespace peridotgauge {

TargetRegistrar::TargetRegistrar(Context context)
    : context(std::move(context)),
      heartbeat_handler(this->context.controller, this->context.lease, this->context.directory) {}

void TargetRegistrar::StartTerm(Time now, uint64_t term) {
  this->ack_tracker.Reset();
  this->departures_since.clear();
  this->heartbeat_handler.StartTerm(now, term);
}

void TargetRegistrar::EndTerm() { this->ack_tracker.FailWaiters(DirectoryAck::kLeadershipLost); }

void TargetRegistrar::Stop() { this->ack_tracker.FailWaiters(DirectoryAck::kStopping); }

Result<HeartbeatResult> TargetRegistrar::HandleHeartbeat(Time now, const TargetRecord& record,
                                                         bool remove) {
  const ControlState& state = this->context.state;
  const bool unknown = remove && !this->context.directory.LastRecord(record.target);
  if (unknown && state.Departures().UnknownCount(state.LogTime()) >= kMaxUnknownDepartures) {
    return Fail(ErrorCode::kOverloaded, "too many removals of unknown targets");
  }
  return this->heartbeat_handler.Handle(now, record, remove);
}

Result<HeartbeatResult> TargetRegistrar::AcceptHeartbeat(Time now, const TargetRecord& record,
                                                         bool remove) {
  ControlEvents& events = this->context.events;
  Result<HeartbeatResult> accepted = this->HandleHeartbeat(now, record, remove);
  if (!accepted) {
    events.HeartbeatRefused(record, accepted.error());
    return accepted;
  }
  if (accepted->directory_changed) {
    const uint64_t version = this->context.directory.Version();
    remove ? events.TargetRemoved(record, version) : events.TargetRegistered(record, version);
    this->context.directory_changed();
  }
  if (accepted->stale) events.HeartbeatStale(record);
  if (!accepted->leaving && !accepted->stale) this->departures_since.erase(record.target);
  return accepted;
}

int8_t TargetRegistrar::OnHeartbeatOfBatch(Time now, const wire::TargetRecordT* target) {
  if (target == nullptr) return static_cast<int8_t>(ErrorCode::kBadRequest);
  const TargetRecord record = FromWire(*target);
  if (record.state != TargetState::kServing) return static_cast<int8_t>(ErrorCode::kBadRequest);
  const Result<HeartbeatResult> accepted = this->AcceptHeartbeat(now, record, /*remove=*/false);
  return accepted ? int8_t{-1} : static_cast<int8_t>(accepted.error().code);
}

wire::CommandReplyT TargetRegistrar::HeartbeatReply() const {
  wire::CommandReplyT reply;
  reply.registered_targets = static_cast<uint32_t>(this->heartbeat_handler.Targets());
  return reply;
}

void TargetRegistrar::HandleBatch(Time now, const wire::RegisterRequestT& request,
                                  const Reply& reply) {
  const int8_t error = this->OnHeartbeatOfBatch(now, request.target.get());
  std::vector<int8_t> more_errors;
  more_errors.reserve(request.more.size());
  for (const auto& target : request.more) {
    more_errors.push_back(this->OnHeartbeatOfBatch(now, target.get()));
  }
  wire::CommandReplyT answer = this->HeartbeatReply();
  answer.error = error;
  answer.more_errors = std::move(more_errors);
  reply(ToBody(std::move(answer)));
}

void TargetRegistrar::Handle(const wire::RegisterRequestT& request, const Reply& reply) {
  if (!request.target) return reply(MakeCommandError({ErrorCode::kBadRequest, ""}, ""));
  const Time now = SteadyNow();
  if (!request.more.empty()) return this->HandleBatch(now, request, reply);
  const TargetRecord record = FromWire(*request.target);
  const Result<HeartbeatResult> accepted = this->AcceptHeartbeat(now, record, request.remove);
  if (!accepted) return reply(MakeCommandError(accepted.error(), ""));
  if (!accepted->leaving) return reply(ToBody(this->HeartbeatReply()));
  this->OnDeparture(now, record.target, reply);
}

void TargetRegistrar::OnDeparture(Time now, const std::string& target, const Reply& reply) {
  const Time since = this->departures_since.try_emplace(target, now).first->second;
  const auto departure = this->context.directory.LastDeparture(target);
  if (!departure || this->context.state.Departures().Covers(*departure)) {
    return this->AwaitDeparture(now, since, target, reply);
  }
  this->RecordDepartures({*departure},
                         [weak = this->weak_from_this(), term = this->context.current_term(), since,
                          target, reply](const wire::BodyUnion& answer) {
                           const auto self = weak.lock();
                           if (!self || self->context.current_term() != term) {
                             return reply(MakeCommandError({ErrorCode::kNotLeader, ""}, ""));
                           }
                           if (answer.AsCommandReply()->error >= 0) return reply(answer);
                           self->AwaitDeparture(SteadyNow(), since, target, reply);
                         });
}

void TargetRegistrar::RecordDepartures(const std::vector<Departure>& departures,
                                       Proposals::Callback callback) {
  wire::RecordDeparturesT command;
  for (const Departure& departure : departures) {
    auto entry = std::make_unique<wire::TargetDepartureT>();
    entry->target = departure.target;
    entry->incarnation = departure.incarnation;
    entry->sequence = departure.sequence;
    command.targets.push_back(std::move(entry));
  }
  this->context.proposals->Propose(ToCommand(std::move(command)), std::move(callback));
}

void TargetRegistrar::RecordReportedDepartures(const std::vector<TargetRecord>& registrations) {
  std::vector<Departure> departures;
  for (const TargetRecord& record : registrations) {
    if (record.state != TargetState::kDraining && record.state != TargetState::kGone) continue;
    const Departure departure{record.target, record.incarnation, record.sequence};
    if (!this->context.state.Departures().Covers(departure)) departures.push_back(departure);
  }
  if (departures.empty()) return;
  this->RecordDepartures(departures, [](const wire::BodyUnion& answer) {
    const auto* reply = answer.AsCommandReply();
    LOG_IF(WARNING, reply->error >= 0)
        << "controller: departures of targets were not recorded: " << reply->detail;
  });
}

void TargetRegistrar::ApplyEarlierDepartures(Time now) {
  const uint64_t index = this->context.state.DeparturesIndex();
  if (std::exchange(this->applied_departures, index) == index) return;
  this->context.directory.ApplyDepartures(now);
}

void TargetRegistrar::AwaitDeparture(Time now, Time since, const std::string& target,
                                     const Reply& reply) {
  const auto answer = [this, reply, since, target](DirectoryAck ack) {
    if (ack == DirectoryAck::kStopping) {
      return reply(MakeCommandError({ErrorCode::kDraining, "the controller is shutting down"},
                                    this->context.log.Leader()));
    }
    if (ack == DirectoryAck::kLeadershipLost) {
      return reply(MakeCommandError({ErrorCode::kNotLeader, ""}, this->context.log.Leader()));
    }
    if (ack == DirectoryAck::kTimedOut && SteadyNow() < since + kDepartureAckLimit) {
      return reply(MakeCommandError(
          {ErrorCode::kDeadlineExceeded, "a router has not received the departure yet"}, ""));
    }
    this->context.events.DepartureAcknowledged(
        target, this->context.directory.LastDeparture(target), SteadyNow() - since);
    reply(ToBody(wire::CommandReplyT{}));
  };
  const uint64_t version = this->context.directory.Version();
  if (this->AcknowledgedVersion(now) >= version) return answer(DirectoryAck::kAllRouters);
  this->ack_tracker.AddWaiter(version, now + kDepartureAckTimeout, answer);
}

void TargetRegistrar::AcknowledgeDepartures(Time now) {
  if (!this->ack_tracker.HasWaiters()) return;
  this->ack_tracker.Notify(now, this->AcknowledgedVersion(now));
}

void TargetRegistrar::Expire(Time now) {
  std::erase_if(this->departures_since,
                [&](const auto& item) { return now >= item.second + kTombstoneTime; });
  for (const TargetRecord& gone : this->heartbeat_handler.Expire(now)) {
    this->context.events.TargetExpired(gone, this->context.directory.Version());
    this->context.directory_changed();
  }
}

}  // namespace peridotgauge
