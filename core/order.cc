// Life cycle of one order. Every public function handles one event; then AfterEvent() applies the
// rules that depend only on time.
#include "core/order.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {
namespace {

// Returns true if a command that failed with this code may still have been committed.
bool CommandMayBeCommitted(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnknownOutcome:
    case ErrorCode::kConnectionLost:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kCancelled:
    case ErrorCode::kWrongReply:
    case ErrorCode::kStorageFailed:
    case ErrorCode::kCorrupt:
    case ErrorCode::kInternal:
      return true;
    default:
      return false;
  }
}

// Returns true if a command that failed with this code did not reach the log.
bool CommandNotLogged(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnavailable:
    case ErrorCode::kNotLeader:
    case ErrorCode::kOverloaded:
    case ErrorCode::kNotSynchronized:
    case ErrorCode::kDraining:
      return true;
    default:
      return false;
  }
}

OrderOutcome ErrorOutcome(Error error, bool not_run) {
  OrderOutcome outcome;
  outcome.not_run = not_run && error.NotRun();
  outcome.error = std::move(error);
  return outcome;
}

OrderState FinalState(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return OrderState::kDone;
    case Outcome::kFailed:
      return OrderState::kFailed;
    case Outcome::kNotRun:
      return OrderState::kNotRun;
    default:
      return OrderState::kInDoubt;
  }
}

uint16_t StatusOf(const OrderOutcome& answer) {
  constexpr uint16_t kOk = 200;
  if (!answer.error) return kOk;
  return static_cast<uint16_t>(InfoOf(answer.error->code).http_status);
}

}  // namespace

Order::Order(OrderParams params, ReplicaChooser& chooser)
    : params(std::move(params)), chooser(chooser) {}

OrderEffects Order::Start(Time now, OrderLease lease) {
  OrderEffects effects;
  if (this->state != OrderState::kReceived) return effects;
  this->lease = lease;
  if (!lease.valid) {
    this->End(OrderState::kRefused, ErrorOutcome({ErrorCode::kNotSynchronized, ""}, false),
              effects);
    return effects;
  }
  if (now >= this->params.deadline) {
    this->End(OrderState::kRefused,
              ErrorOutcome({ErrorCode::kOverloaded, "the deadline passed before the claim"}, false),
              effects);
    return effects;
  }
  this->state = OrderState::kClaiming;
  effects.claim = ClaimRequest{.request_id = this->params.request_id,
                               .service = this->params.service,
                               .body_digest = this->params.body_digest,
                               .issued_at_ms = this->params.issued_at_ms,
                               .holder = this->params.holder};
  this->AfterEvent(now, effects);
  return effects;
}

OrderEffects Order::OnClaimAnswer(Time now, Result<ClaimResult> answer, OrderLease lease,
                                  Candidates candidates) {
  OrderEffects effects;
  if (this->state != OrderState::kClaiming) return effects;
  if (!answer) {
    this->OnClaimError(std::move(answer.error()), effects);
  } else if (answer->state == ClaimState::kGranted) {
    this->state = OrderState::kClaimed;
    this->OnGranted(now, lease, candidates, effects);
  } else if (answer->state == ClaimState::kRecorded) {
    this->OnReplay(std::move(*answer), effects);
  } else if (answer->state == ClaimState::kRunning) {
    this->End(OrderState::kRefused, ErrorOutcome({ErrorCode::kInProgress, ""}, false), effects);
  } else {
    this->End(OrderState::kInDoubt, ErrorOutcome({ErrorCode::kInDoubt, ""}, false), effects);
  }
  this->AfterEvent(now, effects);
  return effects;
}

void Order::OnClaimError(Error error, OrderEffects& effects) {
  if (CommandMayBeCommitted(error.code)) {
    this->ReleaseUnknownClaim(effects);
  } else if (CommandNotLogged(error.code)) {
    this->End(OrderState::kRefused,
              ErrorOutcome({ErrorCode::kUnavailable, "the claim did not reach the ledger"}, false),
              effects);
  } else {
    // The ledger looks up known ids before it refuses a claim because it is full.
    const bool not_run = error.code == ErrorCode::kLedgerFull;
    this->End(OrderState::kRefused, ErrorOutcome(std::move(error), not_run), effects);
  }
}

void Order::OnGranted(Time now, OrderLease lease, Candidates candidates, OrderEffects& effects) {
  if (!lease.valid || lease.generation != this->lease.generation) {
    this->RecordNotRun({ErrorCode::kNotSynchronized, "the lease lapsed before the dispatch"},
                       effects);
    return;
  }
  if (now >= this->params.deadline) {
    this->RecordNotRun({ErrorCode::kOverloaded, "the deadline passed before the dispatch"},
                       effects);
    return;
  }
  const TargetRecord* target = this->chooser.Choose(now, candidates, {});
  if (target == nullptr) {
    this->RecordNotRun({ErrorCode::kNoTarget, ""}, effects);
    return;
  }
  this->state = OrderState::kDispatched;
  effects.dispatch = OrderDispatch{.target = target};
}

void Order::OnReplay(ClaimResult answer, OrderEffects& effects) {
  OrderOutcome outcome;
  outcome.replayed = true;
  OrderState final_state = OrderState::kInDoubt;
  if (answer.outcome == Outcome::kDone) {
    final_state = OrderState::kDone;
    outcome.body = std::move(answer.body);
  } else if (answer.outcome == Outcome::kFailed) {
    final_state = OrderState::kFailed;
    outcome.error = Error{ErrorCode::kTargetFailed, std::move(answer.body)};
  } else {
    // A released claim is granted again and never replayed, so the only other outcome is in doubt.
    outcome.error = Error{ErrorCode::kInDoubt, ""};
  }
  this->End(final_state, std::move(outcome), effects);
}

OrderEffects Order::OnDispatchReply(Time now, DispatchReply reply) {
  OrderEffects effects;
  if (this->state != OrderState::kDispatched) return effects;
  if (reply.error && reply.error->NotRun()) {
    this->RecordNotRun(std::move(*reply.error), effects);
  } else if (reply.error && reply.error->code == ErrorCode::kTargetFailed) {
    OrderOutcome answer = ErrorOutcome(std::move(*reply.error), false);
    this->Record(Outcome::kFailed, std::move(answer), effects);
  } else if (reply.error) {
    this->RecordInDoubt(reply.error->ToString(), effects);
  } else if (reply.request_id != this->params.request_id || reply.attempt != kOrderAttempt) {
    this->RecordInDoubt("the reply is for another request", effects);
  } else {
    OrderOutcome answer;
    answer.body = std::move(reply.body);
    this->Record(Outcome::kDone, std::move(answer), effects);
  }
  this->AfterEvent(now, effects);
  return effects;
}

OrderEffects Order::OnRecordAnswer(Time now, const Result<void>& answer) {
  OrderEffects effects;
  const bool releasing = this->state == OrderState::kReleasing;
  if (!releasing && this->state != OrderState::kRecording) return effects;
  if (this->record_retry_at) return effects;  // no completion is outstanding
  if (answer) {
    const OrderState final_state =
        releasing ? OrderState::kRefused : FinalState(this->record.outcome);
    this->End(final_state, std::move(this->pending_answer), effects);
  } else if (CommandMayBeCommitted(answer.error().code) || CommandNotLogged(answer.error().code)) {
    if (this->record_attempts < kMaxRecordAttempts) {
      this->record_retry_at = now + kRecordRetryInterval;
    } else {
      this->Abandon(effects);
    }
  } else if (releasing) {
    this->Abandon(effects);
  } else {
    this->End(OrderState::kInDoubt,
              ErrorOutcome({ErrorCode::kInDoubt, "the ledger refused the outcome"}, false),
              effects);
  }
  this->AfterEvent(now, effects);
  return effects;
}

OrderEffects Order::OnTimer(Time now) {
  OrderEffects effects;
  if (this->Finished() || this->state == OrderState::kReceived) return effects;
  if (this->record_retry_at && now >= *this->record_retry_at) this->SendRecord(effects);
  this->AfterEvent(now, effects);
  return effects;
}

void Order::ReleaseUnknownClaim(OrderEffects& effects) {
  this->Answer(this->UnconfirmedAnswer(), effects);
  this->state = OrderState::kReleasing;
  this->record = Completion{.request_id = this->params.request_id,
                            .holder = this->params.holder,
                            .outcome = Outcome::kNotRun};
  this->SendRecord(effects);
}

void Order::Record(Outcome outcome, OrderOutcome answer, OrderEffects& effects) {
  this->state = OrderState::kRecording;
  this->record = Completion{.request_id = this->params.request_id,
                            .holder = this->params.holder,
                            .outcome = outcome,
                            .status = StatusOf(answer),
                            .body = answer.error ? answer.error->detail : answer.body};
  this->pending_answer = std::move(answer);
  this->SendRecord(effects);
}

void Order::RecordNotRun(Error error, OrderEffects& effects) {
  this->Record(Outcome::kNotRun, ErrorOutcome(std::move(error), true), effects);
}

void Order::RecordInDoubt(std::string detail, OrderEffects& effects) {
  this->Record(Outcome::kInDoubt, ErrorOutcome({ErrorCode::kInDoubt, std::move(detail)}, false),
               effects);
}

void Order::SendRecord(OrderEffects& effects) {
  this->record_retry_at.reset();
  ++this->record_attempts;
  effects.complete = this->record;
}

void Order::Answer(OrderOutcome answer, OrderEffects& effects) {
  if (this->answered) return;
  this->answered = true;
  effects.answer = std::move(answer);
}

void Order::End(OrderState final_state, OrderOutcome answer, OrderEffects& effects) {
  this->state = final_state;
  this->record_retry_at.reset();
  this->Answer(std::move(answer), effects);
}

void Order::Abandon(OrderEffects& effects) {
  const OrderOutcome answer = this->UnconfirmedAnswer();
  const bool claimed = this->state != OrderState::kReleasing;
  this->End(claimed ? OrderState::kInDoubt : OrderState::kRefused, answer, effects);
}

OrderOutcome Order::UnconfirmedAnswer() const {
  if (this->state == OrderState::kClaiming || this->state == OrderState::kReleasing) {
    return ErrorOutcome({ErrorCode::kUnavailable, "the result of the claim was lost"}, false);
  }
  if (this->state == OrderState::kRecording && this->record.outcome == Outcome::kNotRun) {
    return ErrorOutcome({ErrorCode::kUnknownOutcome, "the release of the claim is not confirmed"},
                        false);
  }
  return ErrorOutcome({ErrorCode::kInDoubt, "the outcome is not confirmed"}, false);
}

void Order::AfterEvent(Time now, OrderEffects& effects) {
  if (this->Finished()) return;
  if (now >= this->params.deadline) {
    this->Answer(this->UnconfirmedAnswer(), effects);
    if (this->state == OrderState::kClaiming) this->ReleaseUnknownClaim(effects);
  }
  if (this->state == OrderState::kDispatched && now >= this->params.deadline + kLateReplyWait) {
    this->RecordInDoubt("no reply before the deadline", effects);
  }
  if (now >= this->params.deadline + kOrderAbandonDelay) {
    this->Abandon(effects);
    return;
  }
  const std::optional<Time> next = this->NextTimer();
  if (next != this->timer) effects.timer = next;
  this->timer = next;
}

std::optional<Time> Order::NextTimer() const {
  Time next = this->params.deadline + kOrderAbandonDelay;
  if (!this->answered) next = std::min(next, this->params.deadline);
  if (this->state == OrderState::kDispatched) {
    next = std::min(next, this->params.deadline + kLateReplyWait);
  }
  if (this->record_retry_at) next = std::min(next, *this->record_retry_at);
  return next;
}

}  // namespace peridotgauge
