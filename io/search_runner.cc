#include "io/search_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/search.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

// Timeout of committing a quarantine, for which the caller waits. An election takes about 1 s.
constexpr Duration kQuarantineCommitTimeout = Seconds(2);

class SearchRunImpl : public SearchRun, public std::enable_shared_from_this<SearchRunImpl> {
 public:
  SearchRunImpl(RequestContext& context, SearchRequest request, std::shared_ptr<const Plan> plan,
                SearchParams params, uint64_t fingerprint, ActiveSpan span, Callback callback)
      : context(context),
        request(std::move(request)),
        plan(plan),
        fingerprint(fingerprint),
        deadline(params.deadline),
        trusted(params.trusted),
        search(std::move(plan), std::move(params), {context.replica_choice, context.hedge_budget}),
        timer(context.io),
        span(std::move(span)),
        callback(std::move(callback)) {}

  void Begin(Time now) {
    this->started = now;
    this->Apply(now, this->search.Start(now));
  }

  void Abort() override {
    if (this->ended) return;
    this->Apply(SteadyNow(), this->search.Abort());
    this->End(SteadyNow(), false, Error{ErrorCode::kCancelled, "the caller has disconnected"});
  }

 private:
  struct Attempt {
    uint64_t sub_request_id = 0;
    const TargetRecord* target = nullptr;  // kept alive by the plan
    ActiveSpan span;
  };

  void Apply(Time now, SearchEffects effects) {
    for (uint32_t attempt : effects.cancels) this->CancelAttempt(now, attempt);
    for (const AttemptSend& send : effects.sends) this->SendAttempt(now, send);
    if (effects.timer) this->ArmTimer(*effects.timer);
    if (effects.outcome) this->OnOutcome(now, std::move(*effects.outcome));
  }

  void SendAttempt(Time now, const AttemptSend& send) {
    const PlannedService& service = this->plan->ServiceOf(send.shard);
    const PlannedFleet& fleet = this->plan->FleetOf(send.shard);
    Attempt attempt{
        .target = send.target,
        .span = this->context.tracer.Begin(this->span.Context(), "attempt", UnixNanos())};
    attempt.span.AddAttribute("target", send.target->target);
    wire::SubRequestT sub_request;
    sub_request.request_id = this->request.request_id;
    sub_request.attempt = send.attempt;
    sub_request.operation = wire::Operation::Search;
    sub_request.target = send.target->target;
    sub_request.service = service.name;
    sub_request.shard = this->plan->shards[send.shard].shard;
    sub_request.shards = service.shards;
    sub_request.snapshot = fleet.snapshot.value_or(0);
    sub_request.traceparent = attempt.span.Traceparent();
    sub_request.body = this->request.query;
    attempt.sub_request_id = this->context.sender.Send(
        now, {send.target, fleet.name, this->deadline}, std::move(sub_request),
        [self = this->shared_from_this(), number = send.attempt](wire::SubReplyT reply) {
          self->OnReply(number, std::move(reply));
        });
    this->attempts.emplace(send.attempt, std::move(attempt));
  }

  void CancelAttempt(Time now, uint32_t number) {
    auto found = this->attempts.extract(number);
    if (found.empty()) return;
    this->context.sender.Cancel(now, found.mapped().sub_request_id);
    this->context.tracer.End(std::move(found.mapped().span), UnixNanos(),
                             Error{ErrorCode::kCancelled, ""});
  }

  void OnReply(uint32_t number, wire::SubReplyT wire_reply) {
    const Time now = SteadyNow();
    AttemptReply reply{.sent_attempt = number,
                       .crashed = wire_reply.crashed,
                       .request_id = std::move(wire_reply.request_id),
                       .attempt = wire_reply.attempt,
                       .snapshot = wire_reply.snapshot,
                       .body = std::move(wire_reply.body)};
    if (wire_reply.error >= 0) {
      reply.error = Error{static_cast<ErrorCode>(wire_reply.error), std::move(wire_reply.detail)};
    }
    auto found = this->attempts.extract(number);
    if (!found.empty()) {
      if (reply.crashed) this->OnCrash(now, *found.mapped().target);
      this->context.tracer.End(std::move(found.mapped().span), UnixNanos(), reply.error);
    }
    this->Apply(now, this->search.OnReply(now, std::move(reply)));
  }

  void OnCrash(Time now, const TargetRecord& target) {
    LOG(WARNING) << "search: " << this->request.request_id << ": target " << target.target
                 << " closed the connection without a reply; treated as a crash";
    if (!this->context.quarantine.OnCrash(now, this->fingerprint, target, this->trusted)) return;
    if (this->committing) return;
    this->committing = true;
    CommitQuarantine(this->context.control, this->fingerprint,
                     [self = this->shared_from_this()](bool) {
                       self->committing = false;
                       self->MaybeAnswer();
                     });
  }

  void ArmTimer(Time at) {
    this->timer.expires_at(at);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
      if (error || self->ended) return;
      const Time now = SteadyNow();
      self->Apply(now, self->search.OnTimer(now));
    });
  }

  void OnOutcome(Time now, SearchOutcome outcome) {
    if (outcome.Succeeded()) {
      this->context.quarantine.OnSuccess(now, this->fingerprint, outcome.Complete());
    }
    this->outcome = std::move(outcome);
    this->MaybeAnswer();
  }

  // Answers once no quarantine is being committed, so that any router that receives a resend of the
  // request already knows the quarantine.
  void MaybeAnswer() {
    if (!this->outcome || this->committing || this->ended) return;
    const Time now = SteadyNow();
    if (this->outcome->canaries_crashed) {
      const Error error{ErrorCode::kQuarantined, "the request crashed the targets that ran it"};
      return this->Finish(now, tl::unexpected(error));
    }
    this->Finish(now, this->BuildAnswer());
  }

  SearchResponse BuildAnswer() {
    SearchResponse answer{.request_id = this->request.request_id,
                          .service = this->request.service,
                          .revision = this->plan->revision};
    for (const PlannedFleet& fleet : this->plan->fleets) {
      if (fleet.snapshot) answer.snapshots.push_back({fleet.name, *fleet.snapshot});
    }
    answer.results.reserve(this->outcome->covered.size());
    for (ShardBody& body : this->outcome->covered) {
      answer.results.push_back({this->ShardIdOf(body.shard),
                                this->plan->FleetOf(body.shard).snapshot.value_or(0),
                                std::move(body.body)});
    }
    for (const ShardMissing& missing : this->outcome->missing) {
      answer.missing.push_back({this->ShardIdOf(missing.shard), missing.cause});
    }
    const SearchCounts& counts = this->outcome->counts;
    answer.attempts = {counts.needed, counts.sent, counts.hedges, counts.retries};
    return answer;
  }

  ShardId ShardIdOf(uint32_t shard) const {
    return {this->plan->ServiceOf(shard).name, this->plan->shards[shard].shard};
  }

  void Finish(Time now, Result<SearchResponse> answer) {
    const bool complete = this->outcome->Complete();
    std::optional<Error> error;
    if (!answer) error = answer.error();
    Callback done = std::move(this->callback);
    this->End(now, complete, error);
    done(std::move(answer));
  }

  void End(Time now, bool complete, const std::optional<Error>& error) {
    this->ended = true;
    this->timer.cancel();
    this->callback = nullptr;
    const Duration latency = now - this->started;
    this->context.admission.OnFinished(now, this->request.service, latency, complete);
    const SearchCounts& counts = this->search.Counts();
    Metrics& metrics = this->context.metrics;
    metrics.CounterOf("peridotgauge_sub_requests_needed_total").Add(counts.needed);
    metrics.CounterOf("peridotgauge_sub_requests_sent_total").Add(counts.sent);
    metrics.CounterOf("peridotgauge_hedges_total").Add(counts.hedges);
    metrics.CounterOf("peridotgauge_retries_total").Add(counts.retries);
    metrics.CounterOf("peridotgauge_searches_total", {{"complete", complete ? "yes" : "no"}}).Add();
    metrics.LatencyOf("peridotgauge_search_seconds").Add(latency);
    this->context.tracer.End(std::move(this->span), UnixNanos(), error);
  }

  RequestContext& context;
  SearchRequest request;
  std::shared_ptr<const Plan> plan;
  uint64_t fingerprint;
  Time deadline;
  bool trusted;  // sent without canaries
  Time started;
  Search search;
  boost::asio::steady_timer timer;
  ActiveSpan span;
  Callback callback;
  std::unordered_map<uint32_t, Attempt> attempts;  // running attempts by number
  std::optional<SearchOutcome> outcome;
  bool committing = false;  // a quarantine is being committed
  bool ended = false;
};

// Refuses a search: counts the refusal, ends its span and calls back.
struct Refusal {
  RequestContext& context;
  ActiveSpan span;
  SearchRun::Callback callback;

  std::shared_ptr<SearchRun> operator()(const Error& error) {
    this->context.metrics
        .CounterOf("peridotgauge_searches_refused_total", {{"error", std::string(error.Name())}})
        .Add();
    this->context.tracer.End(std::move(this->span), UnixNanos(), error);
    this->callback(tl::unexpected(error));
    return nullptr;
  }
};

}  // namespace

void CommitQuarantine(ControlClient& control, uint64_t fingerprint,
                      std::function<void(bool committed)> done) {
  wire::QuarantineT command;
  command.fingerprint = fingerprint;
  command.duration_ms = kQuarantineDuration.count() / 1000;
  control.Command(ToCommand(command), SteadyNow() + kQuarantineCommitTimeout,
                  [done = std::move(done), fingerprint](const Result<wire::CommandReplyT>& reply) {
                    const bool committed = reply && reply->error < 0;
                    LOG(WARNING) << "quarantine: fingerprint " << std::hex << fingerprint
                                 << (committed ? " quarantined" : " could not be quarantined");
                    done(committed);
                  });
}

std::shared_ptr<SearchRun> SearchRun::Start(RequestContext& context, SearchRequest request,
                                            const std::optional<SpanContext>& parent, Time now,
                                            Callback callback) {
  ActiveSpan span = context.tracer.Begin(parent, "search", UnixNanos());
  span.AddAttribute("request_id", request.request_id);
  span.AddAttribute("service", request.service);
  Refusal refuse{context, std::move(span), std::move(callback)};
  if (!context.control.Synchronized(now)) return refuse({ErrorCode::kNotSynchronized, ""});
  Result<std::shared_ptr<const Plan>> plan = context.planner.PlanFor(request.service);
  if (!plan) return refuse(plan.error());
  const uint64_t fingerprint = Fingerprint(request.service, RequestKind::kSearch, request.query);
  const FingerprintStatus fingerprint_status =
      context.quarantine.Check(now, UnixMillis(), fingerprint);
  if (fingerprint_status == FingerprintStatus::kQuarantined ||
      fingerprint_status == FingerprintStatus::kCrashing) {
    return refuse(
        {ErrorCode::kQuarantined, "the request crashed targets and is quarantined for a time"});
  }
  const Time deadline = now + std::min(request.deadline.value_or((*plan)->deadline), kMaxDeadline);
  if (Result<void> admitted = context.admission.Admit(now, request.service, deadline); !admitted) {
    return refuse(admitted.error());
  }
  SearchParams params{.request_id = request.request_id,
                      .deadline = deadline,
                      .trusted = fingerprint_status == FingerprintStatus::kTrusted,
                      .suspect = fingerprint_status == FingerprintStatus::kSuspect,
                      .canaries = context.settings.canaries,
                      .hedging = context.settings.hedging};
  auto run = std::make_shared<SearchRunImpl>(context, std::move(request), std::move(*plan),
                                             std::move(params), fingerprint, std::move(refuse.span),
                                             std::move(refuse.callback));
  run->Begin(now);
  return run;
}

}  // namespace peridotgauge
