// Scatter-gather of one search. Every public function handles one event; then AfterEvent() sends
// canaries, emits the answer if it is due, and sets the timer.
#include "core/search.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {
namespace {

// Returns true if a failed attempt shows that the target survived the request.
bool TargetAnswered(ErrorCode code) {
  return code == ErrorCode::kTargetFailed || code == ErrorCode::kWrongSnapshot;
}

}  // namespace

Search::Search(std::shared_ptr<const Plan> plan, SearchParams params, SearchPolicies policies)
    : plan(std::move(plan)),
      params(std::move(params)),
      policies(policies),
      shards(this->plan->shards.size()),
      open(static_cast<uint32_t>(this->plan->shards.size())),
      canaries_done(this->params.trusted || !this->params.canaries),
      suspect(this->params.suspect) {
  this->counts.needed = this->open;
  // Reserves space for the hedges and retries of a typical search.
  this->attempts.reserve(this->shards.size() + this->shards.size() / 4 + kCanaries);
}

SearchEffects Search::Start(Time now) {
  SearchEffects effects;
  this->started = now;
  const Duration soft = this->plan->soft_deadline;
  const Duration caller_wait =
      this->params.caller_wait < soft ? this->params.caller_wait : Duration(0);
  this->soft_deadline = now + std::max(soft - caller_wait, soft / 2);
  const auto& excluded = this->params.excluded_services;
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    if (std::find(excluded.begin(), excluded.end(), this->plan->ServiceOf(i).name) !=
        excluded.end()) {
      this->MarkMissing(i, ErrorCode::kSuspect);
    } else if (this->plan->shards[i].candidates.empty()) {
      this->MarkMissing(i, ErrorCode::kNoTarget);
    }
  }
  if (this->canaries_done && !this->CannotReachMinimum() && now < this->AnswerTime()) {
    this->SendRemaining(now, effects);
  }
  this->AfterEvent(now, effects);
  return effects;
}

SearchEffects Search::OnReply(Time now, AttemptReply reply) {
  SearchEffects effects;
  if (reply.sent_attempt == 0 || reply.sent_attempt > this->attempts.size()) {
    ++this->counts.unknown_replies;
    return effects;
  }
  Attempt& settled = this->attempts[reply.sent_attempt - 1];
  if (!settled.running) {
    ++this->counts.late_replies;
    return effects;
  }
  settled.running = false;
  --this->running;
  const uint32_t index = settled.shard;
  --this->shards[index].running;

  std::optional<ErrorCode> failure;
  if (reply.error) {
    failure = reply.error->code;
  } else if (reply.crashed) {
    failure = ErrorCode::kConnectionLost;
  } else {
    failure = this->CheckReply(reply, index);
  }
  if (failure) {
    this->OnFailure(now, reply.sent_attempt, *failure, reply.crashed, effects);
  } else {
    this->Merge(reply.sent_attempt, std::move(reply.body), effects);
    this->AdvanceStragglerHedges(now);
    if (!this->canaries_done && now < this->AnswerTime()) this->SendRemaining(now, effects);
  }
  this->AfterEvent(now, effects);
  return effects;
}

SearchEffects Search::OnTimer(Time now) {
  SearchEffects effects;
  if (this->finished) return effects;
  this->timer.reset();
  if (now < this->AnswerTime()) {
    for (uint32_t i = 0; i < this->shards.size(); ++i) {
      const Shard& shard = this->shards[i];
      if (shard.state != ShardState::kRunning || now < shard.next_action) continue;
      if (shard.running == 0 && shard.refused) {
        if (!this->RetryUncharged(now, i, effects)) this->ScheduleRefusedRetry(now, i);
      } else if (shard.running == 0) {
        this->RetryCharged(now, i, effects);
      } else {
        this->Hedge(now, i, effects);
      }
    }
  }
  this->AfterEvent(now, effects);
  return effects;
}

SearchEffects Search::Expire(Time now) {
  this->params.deadline = std::min(this->params.deadline, now);
  return this->OnTimer(now);
}

SearchEffects Search::Abort() {
  SearchEffects effects;
  for (uint32_t i = 0; i < this->shards.size(); ++i) this->CancelRunning(i, effects);
  this->finished = true;
  return effects;
}

Time Search::AnswerTime() const {
  if (this->plan->prefer == Preference::kCoverage) return this->params.deadline;
  if (this->covered < this->params.min_covered) return this->params.deadline;
  return std::min(this->params.deadline, this->soft_deadline);
}

// Takes the first canary from the front and the second from the back of the plan, so that they
// cover two services if the dependency closure has more than one.
void Search::SendCanaries(Time now, SearchEffects& effects) {
  const auto size = static_cast<uint32_t>(this->shards.size());
  for (uint32_t i = 0; i < size && this->open_canaries == 0; ++i) this->SendFirst(now, i, effects);
  for (uint32_t i = size; i > 0 && this->CanarySlotFree(); --i) {
    this->SendFirst(now, i - 1, effects);
  }
}

void Search::SendRemaining(Time now, SearchEffects& effects) {
  this->canaries_done = true;
  effects.sends.reserve(effects.sends.size() + this->open);
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    Shard& shard = this->shards[i];
    if (shard.state == ShardState::kUnsent && !this->SendFirst(now, i, effects)) {
      this->MarkMissing(i, shard.last_attempt == 0 ? ErrorCode::kNoTarget : shard.cause);
    }
  }
}

bool Search::SendFirst(Time now, uint32_t index, SearchEffects& effects) {
  Shard& shard = this->shards[index];
  if (shard.state != ShardState::kUnsent) return false;
  const TargetRecord* target = this->ChooseTarget(now, index);
  if (target == nullptr) return false;
  const bool first = shard.last_attempt == 0;
  if (first) {
    this->policies.budget.CountNeeded(now, this->plan->FleetOf(index).name, 1);
  } else {
    ++shard.uncharged_retries;
    ++this->counts.retries;
  }
  this->SendTo(now, index, *target, first ? AttemptKind::kFirst : AttemptKind::kUnchargedRetry,
               effects);
  return true;
}

bool Search::AttemptsLeft(uint32_t index) const {
  uint32_t used = 0;
  for (uint32_t id = this->shards[index].last_attempt; id != 0;) {
    const Attempt& attempt = this->attempts[id - 1];
    if (!attempt.not_run) ++used;
    id = attempt.previous;
  }
  return used < this->params.max_attempts;
}

const TargetRecord* Search::ChooseTarget(Time now, uint32_t index) {
  if (!this->AttemptsLeft(index)) return nullptr;
  this->tried.clear();
  for (uint32_t id = this->shards[index].last_attempt; id != 0;) {
    const Attempt& attempt = this->attempts[id - 1];
    this->tried.push_back(attempt.target);
    id = attempt.previous;
  }
  if (!this->canaries_done) {
    // Canaries go to distinct targets, so that two crashes are crashes of two targets.
    for (const Attempt& attempt : this->attempts) {
      if (!attempt.not_run) this->tried.push_back(attempt.target);
    }
  }
  const Candidates candidates = this->plan->shards[index].candidates;
  const TargetRecord* target = this->policies.chooser.Choose(now, candidates, this->tried);
  if (target != nullptr || !this->params.charge_refusals) return target;
  // A target that refused the request earlier may accept it now.
  this->tried.clear();
  for (uint32_t id = this->shards[index].last_attempt; id != 0;) {
    const Attempt& attempt = this->attempts[id - 1];
    if (!attempt.not_run) this->tried.push_back(attempt.target);
    id = attempt.previous;
  }
  return this->policies.chooser.Choose(now, candidates, this->tried);
}

void Search::SendTo(Time now, uint32_t index, const TargetRecord& target, AttemptKind kind,
                    SearchEffects& effects) {
  Shard& shard = this->shards[index];
  this->attempts.push_back(
      {.shard = index, .previous = shard.last_attempt, .target = &target, .sent = now});
  const auto id = static_cast<uint32_t>(this->attempts.size());
  shard.state = ShardState::kRunning;
  shard.last_attempt = id;
  shard.refused = false;
  ++shard.running;
  ++this->running;
  ++this->counts.sent;
  if (!this->canaries_done) ++this->open_canaries;

  shard.next_action = Time::max();
  const bool hedge_again = this->plan->prefer == Preference::kCoverage || shard.hedges == 0;
  const bool may_hedge = this->params.hedging && this->params.idempotent;
  if (may_hedge && !this->suspect && hedge_again) {
    const std::optional<Duration> delay =
        this->policies.budget.HedgeDelay(now, this->plan->FleetOf(index).name);
    if (delay) shard.next_action = now + *delay;
  }
  effects.sends.push_back({.attempt = id, .shard = index, .target = &target, .kind = kind});
}

std::optional<ErrorCode> Search::CheckReply(const AttemptReply& reply, uint32_t index) const {
  if (reply.request_id != this->params.request_id || reply.attempt != reply.sent_attempt) {
    return ErrorCode::kWrongReply;
  }
  if (reply.snapshot != this->plan->FleetOf(index).snapshot) return ErrorCode::kWrongSnapshot;
  // An empty body is not JSON. The owner validates non-empty bodies.
  if (reply.body.empty()) return ErrorCode::kTargetFailed;
  return std::nullopt;
}

void Search::Merge(uint32_t attempt, std::string body, SearchEffects& effects) {
  const uint32_t index = this->attempts[attempt - 1].shard;
  Shard& shard = this->shards[index];
  shard.state = ShardState::kCovered;
  shard.covered_by = attempt;
  ++this->covered;
  shard.body = std::move(body);
  --this->open;
  this->CancelRunning(index, effects);
}

void Search::OnFailure(Time now, uint32_t attempt, ErrorCode code, bool crashed,
                       SearchEffects& effects) {
  const uint32_t index = this->attempts[attempt - 1].shard;
  Shard& shard = this->shards[index];
  shard.cause = code;
  if (code == ErrorCode::kWrongReply) ++this->counts.wrong_replies;
  if (code == ErrorCode::kWrongSnapshot) ++this->counts.wrong_snapshots;
  if (crashed) this->RecordCrash(this->attempts[attempt - 1].target);
  const bool not_run = InfoOf(code).not_run && !crashed;
  this->attempts[attempt - 1].not_run = not_run;
  if (not_run && !this->canaries_done) --this->open_canaries;
  if (now >= this->AnswerTime()) return;

  if (TargetAnswered(code) && !crashed && !this->canaries_done) this->SendRemaining(now, effects);
  // A request that did not reach the target costs it nothing.
  shard.refused_unsent = code == ErrorCode::kUnavailable;
  if (not_run && this->RetryUncharged(now, index, effects)) return;
  if (shard.running > 0) return;
  if (not_run && this->params.charge_refusals) return this->ScheduleRefusedRetry(now, index);
  this->RetryCharged(now, index, effects);
}

void Search::RecordCrash(const TargetRecord* target) {
  const auto known = std::find(this->crashed.begin(), this->crashed.end(), target);
  if (known == this->crashed.end()) this->crashed.push_back(target);
  if (!this->params.suspect_on_crash) return;
  if (!this->canaries_done || this->crashed.size() > 1) this->suspect = true;
}

bool Search::RetryUncharged(Time now, uint32_t index, SearchEffects& effects) {
  Shard& shard = this->shards[index];
  if (this->suspect || shard.uncharged_retries >= this->params.max_refusal_retries) return false;
  const TargetRecord* target = this->CanarySlotFree() ? this->ChooseTarget(now, index) : nullptr;
  const bool charged = this->params.charge_refusals && !shard.refused_unsent;
  if (charged && shard.running == 0) {
    const RetryAdvice advice = this->AdviseRetry(now);
    if (advice == RetryAdvice::kGiveUp) {
      this->MarkMissing(index, shard.cause);
      return true;
    }
    if (advice == RetryAdvice::kWait) return false;
  }
  if (target != nullptr && (!charged || this->SpendRetry(now, index))) {
    ++shard.uncharged_retries;
    ++this->counts.retries;
    this->SendTo(now, index, *target, charged ? AttemptKind::kRetry : AttemptKind::kUnchargedRetry,
                 effects);
    return true;
  }
  if (this->canaries_done || shard.running > 0) return false;
  // A replica that another canary uses now may be usable after the canary phase.
  shard.state = ShardState::kUnsent;
  return true;
}

// Schedules a retry, which a suspect request does not get. Non-idempotent requests are retried too,
// because a refused request did not run.
void Search::ScheduleRefusedRetry(Time now, uint32_t index) {
  Shard& shard = this->shards[index];
  if (this->suspect || this->ChooseTarget(now, index) == nullptr ||
      shard.uncharged_retries >= this->params.max_refusal_retries) {
    return this->MarkMissing(index, shard.cause);
  }
  shard.next_action = now + kBudgetRetryInterval;
  shard.refused = true;
}

void Search::RetryCharged(Time now, uint32_t index, SearchEffects& effects) {
  Shard& shard = this->shards[index];
  if (this->suspect || !this->params.idempotent) {
    this->MarkMissing(index, shard.cause);
    return;
  }
  const TargetRecord* target = this->CanarySlotFree() ? this->ChooseTarget(now, index) : nullptr;
  if (target == nullptr && this->canaries_done) {
    this->MarkMissing(index, shard.cause);
    return;
  }
  if (target != nullptr && this->SpendRetry(now, index)) {
    ++this->counts.retries;
    this->SendTo(now, index, *target, AttemptKind::kRetry, effects);
    return;
  }
  // Tries again later, when the budget may have grown or a canary may have been answered.
  const bool wait_for_budget =
      this->plan->prefer == Preference::kCoverage || this->params.charge_refusals;
  if (!this->canaries_done || wait_for_budget) {
    shard.next_action = now + kBudgetRetryInterval;
  } else {
    this->MarkMissing(index, shard.cause);
  }
}

bool Search::SpendRetry(Time now, uint32_t index) {
  Shard& shard = this->shards[index];
  const std::string& fleet = this->plan->FleetOf(index).name;
  const bool optional = this->params.min_covered > 0 && this->covered >= this->params.min_covered;
  const ExtraAttemptKind kind =
      optional ? ExtraAttemptKind::kOptionalRetry : ExtraAttemptKind::kRetry;
  if (this->policies.budget.Spend(now, fleet, kind)) return true;
  if (this->plan->prefer != Preference::kCoverage) return false;
  if (shard.overdraft_retries >= kMaxOverdraftRetries) return false;
  if (!this->policies.budget.Spend(now, fleet, ExtraAttemptKind::kOverdraftRetry)) return false;
  ++shard.overdraft_retries;
  return true;
}

RetryAdvice Search::AdviseRetry(Time now) const {
  // Other shards may have been given up in the same event.
  if (this->CannotReachMinimum()) return RetryAdvice::kGiveUp;
  if (this->covered >= this->params.min_covered) return RetryAdvice::kRetry;
  if (!this->policies.budget.GivesAdvice()) return RetryAdvice::kRetry;
  std::vector<OpenShard> open_shards;
  open_shards.reserve(this->open);
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    const Shard& shard = this->shards[i];
    if (shard.state != ShardState::kUnsent && shard.state != ShardState::kRunning) continue;
    OpenShard& open_shard = open_shards.emplace_back();
    open_shard.fleet = this->plan->FleetOf(i).name;
    if (shard.state == ShardState::kUnsent) open_shard.running_for = Duration(0);
    if (shard.running > 0) {
      open_shard.running_for = now - this->attempts[shard.last_attempt - 1].sent;
    }
  }
  return this->policies.budget.AdviseRetry(now, open_shards,
                                           this->params.min_covered - this->covered);
}

void Search::AdvanceStragglerHedges(Time now) {
  if (this->straggler_hedges_set || this->open == 0 || this->params.straggler_share == 0) return;
  const double size = static_cast<double>(this->shards.size());
  if (this->covered < (1 - this->params.straggler_share) * size) return;
  this->straggler_hedges_set = true;
  if (!this->params.hedging || !this->params.idempotent || this->suspect) return;
  const auto elapsed = static_cast<double>((now - this->started).count());
  const Time due = this->started + Duration(static_cast<int64_t>(kStragglerFactor * elapsed));
  for (Shard& shard : this->shards) {
    const bool waits = shard.state == ShardState::kRunning && shard.running > 0;
    if (waits && shard.hedges == 0) shard.next_action = std::min(shard.next_action, due);
  }
}

void Search::Hedge(Time now, uint32_t index, SearchEffects& effects) {
  Shard& shard = this->shards[index];
  if (this->suspect) {
    shard.next_action = Time::max();
    return;
  }
  // While no canary slot is free the shard keeps its time, and is hedged after the canary phase.
  if (!this->CanarySlotFree()) return;
  shard.next_action = Time::max();
  const TargetRecord* target = this->ChooseTarget(now, index);
  if (target == nullptr) return;
  const std::string& fleet = this->plan->FleetOf(index).name;
  if (this->policies.budget.Spend(now, fleet, ExtraAttemptKind::kHedge)) {
    ++shard.hedges;
    ++this->counts.hedges;
    this->SendTo(now, index, *target, AttemptKind::kHedge, effects);
    return;
  }
  const std::optional<Duration> delay = this->policies.budget.HedgeDelay(now, fleet);
  if (delay) shard.next_action = now + std::max(*delay, kBudgetRetryInterval);
}

void Search::MarkMissing(uint32_t index, ErrorCode cause) {
  Shard& shard = this->shards[index];
  shard.state = ShardState::kMissing;
  shard.cause = cause;
  --this->open;
}

void Search::CancelRunning(uint32_t index, SearchEffects& effects) {
  Shard& shard = this->shards[index];
  for (uint32_t id = shard.last_attempt; id != 0 && shard.running > 0;) {
    Attempt& attempt = this->attempts[id - 1];
    if (attempt.running) {
      attempt.running = false;
      --shard.running;
      --this->running;
      effects.cancels.push_back(id);
    }
    id = attempt.previous;
  }
}

void Search::AfterEvent(Time now, SearchEffects& effects) {
  if (this->finished) return;
  if (!this->canaries_done && now < this->AnswerTime()) {
    this->SendCanaries(now, effects);
    this->GiveUpIfCanariesStuck(now);
  }
  if (this->open == 0 || this->CannotReachMinimum() || now >= this->AnswerTime()) {
    this->Finish(effects);
    return;
  }
  const Time next = this->NextTimer();
  if (next == this->timer) return;
  this->timer = next;
  effects.timer = next;
}

// Ends the search if no event can advance it: no attempt is running and no shard can be sent or
// retried.
void Search::GiveUpIfCanariesStuck(Time now) {
  if (this->running > 0) return;
  for (uint32_t i = 0; i < this->shards.size() && this->CanarySlotFree(); ++i) {
    const bool waiting = this->shards[i].state == ShardState::kRunning;
    if (waiting && this->ChooseTarget(now, i) != nullptr) return;
  }
  const ErrorCode unsent = this->open_canaries == 0 ? ErrorCode::kNoTarget : ErrorCode::kCancelled;
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    const Shard& shard = this->shards[i];
    if (shard.state == ShardState::kUnsent || shard.state == ShardState::kRunning) {
      this->MarkMissing(i, shard.last_attempt == 0 ? unsent : shard.cause);
    }
  }
}

void Search::Finish(SearchEffects& effects) {
  this->finished = true;
  SearchOutcome& outcome = effects.outcome.emplace();
  const auto covered =
      std::count_if(this->shards.begin(), this->shards.end(),
                    [](const Shard& shard) { return shard.state == ShardState::kCovered; });
  outcome.covered.reserve(covered);
  outcome.missing.reserve(this->shards.size() - covered);
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    Shard& shard = this->shards[i];
    if (shard.state == ShardState::kCovered) {
      outcome.covered.push_back(
          {.shard = i, .attempt = shard.covered_by, .body = std::move(shard.body)});
      continue;
    }
    if (shard.running > 0) shard.cause = ErrorCode::kDeadlineExceeded;
    outcome.missing.push_back({.shard = i, .cause = shard.cause});
    this->CancelRunning(i, effects);
  }
  // The sends of this event are no longer needed. They are dropped here, because the router
  // executes cancels before sends and could not cancel them.
  for (const AttemptSend& send : effects.sends) std::erase(effects.cancels, send.attempt);
  this->counts.sent -= static_cast<uint32_t>(effects.sends.size());
  effects.sends.clear();
  outcome.plan = this->plan;
  outcome.counts = this->counts;
  outcome.crashes = static_cast<uint32_t>(this->crashed.size());
  outcome.canaries_crashed = !this->canaries_done && this->open_canaries > 0 &&
                             this->crashed.size() >= this->open_canaries;
}

Time Search::NextTimer() const {
  Time next = this->AnswerTime();
  for (const Shard& shard : this->shards) {
    if (shard.state != ShardState::kRunning) continue;
    // A shard that waits for a canary slot continues when the canary phase ends.
    if (!this->CanarySlotFree()) continue;
    next = std::min(next, shard.next_action);
  }
  return next;
}

}  // namespace peridotgauge
