#include "io/search_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/search.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

// Returns true if the target has run the request and did not end.
bool ShowsSurvival(const AttemptReply& reply) {
  return !reply.error || reply.error->code == ErrorCode::kTargetFailed ||
         reply.error->code == ErrorCode::kWrongSnapshot;
}

class SearchRunImpl : public SearchRun, public std::enable_shared_from_this<SearchRunImpl> {
 public:
  SearchRunImpl(RequestContext& context, SearchRequest request, std::shared_ptr<const Plan> plan,
                SearchParams params, uint64_t fingerprint, uint64_t trial, ActiveSpan span,
                Callback callback)
      : context(context),
        request(std::move(request)),
        plan(plan),
        fingerprint(fingerprint),
        trial(trial),
        deadline(params.deadline),
        trusted(params.trusted),
        search(std::move(plan), std::move(params), {context.chooser, context.hedge_budget}),
        timer(context.io),
        span(std::move(span)),
        callback(std::move(callback)) {}

  void Begin(Time now) {
    this->started = now;
    this->Apply(now, this->search.Start(now));
  }

  void Abort() override {
    if (this->ended) return;
    // A trial goes on: only its end shows whether the search crashes its targets.
    if (this->trial != 0) {
      this->callback = nullptr;
      return;
    }
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
    sub_request.workspace = this->request.workspace;
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
      if (reply.crashed) {
        this->OnCrash(now, *found.mapped().target);
      } else if (this->trial != 0 && ShowsSurvival(reply)) {
        this->trial_run.answered.push_back(found.mapped().target->service);
      }
      this->context.tracer.End(std::move(found.mapped().span), UnixNanos(), reply.error);
    }
    this->Apply(now, this->search.OnReply(now, std::move(reply)));
  }

  void OnCrash(Time now, const TargetRecord& target) {
    LOG(WARNING) << "search: " << this->request.request_id << ": target " << target.target
                 << " closed the connection without a reply; treated as a crash";
    const bool crashing =
        this->context.quarantine.OnCrash(now, this->fingerprint, target, this->trusted);
    if (this->trusted) return;
    const TargetCrash crash{
        .service = target.service, .target = target.target, .incarnation = target.incarnation};
    if (this->trial != 0) return this->trial_run.crashes.push_back(crash);
    this->await_reports = this->await_reports || crashing;
    ++this->open_reports;
    this->context.crash_guard.Report(now, this->fingerprint, crash,
                                     [self = this->shared_from_this()](bool) {
                                       --self->open_reports;
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
      this->ReportAnswers(now, outcome);
    }
    this->outcome = std::move(outcome);
    this->MaybeAnswer();
  }

  // Tells the guard which services have answered.
  void ReportAnswers(Time now, const SearchOutcome& outcome) {
    if (this->trial != 0) return;  // reported at the end of the trial
    std::set<std::string> services;
    for (const ShardBody& body : outcome.covered) {
      services.insert(this->plan->ServiceOf(body.shard).name);
    }
    for (const std::string& service : services) {
      this->context.crash_guard.OnAnswered(now, this->fingerprint, service, this->started);
    }
  }

  // Answers once the crashes that make the request suspect are committed, so that any router that
  // receives a resend of the request learns of them.
  void MaybeAnswer() {
    if (!this->outcome || this->ended) return;
    if (this->await_reports && this->open_reports > 0) return;
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
    if (done) done(std::move(answer));
  }

  void End(Time now, bool complete, const std::optional<Error>& error) {
    this->ended = true;
    this->timer.cancel();
    this->callback = nullptr;
    if (this->trial != 0) {
      this->context.crash_guard.EndTrial(this->fingerprint, this->trial,
                                         std::move(this->trial_run));
    }
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
  uint64_t trial;  // in which the search is sent; 0: none
  Time deadline;
  bool trusted;  // sent without canaries
  Time started;
  Search search;
  boost::asio::steady_timer timer;
  ActiveSpan span;
  Callback callback;
  std::unordered_map<uint32_t, Attempt> attempts;  // running attempts by number
  std::optional<SearchOutcome> outcome;
  uint32_t open_reports = 0;   // crashes whose report is not committed
  bool await_reports = false;  // the answer waits for them
  TrialRun trial_run;
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

// What a search needs to start, apart from its context.
struct SearchStart {
  SearchRequest request;
  std::shared_ptr<const Plan> plan;
  uint64_t fingerprint = 0;
  bool trusted = false;
  bool suspect = false;
  Time deadline;
};

// Starts a search, in the trial if that is not 0. Returns nullptr if it was refused.
std::shared_ptr<SearchRun> BeginSearch(Refusal refuse, SearchStart start, uint64_t trial,
                                       Time now) {
  RequestContext& context = refuse.context;
  const std::string& service = start.request.service;
  if (Result<void> admitted = context.admission.Admit(now, service, start.deadline); !admitted) {
    if (trial != 0) context.crash_guard.EndTrial(start.fingerprint, trial, {});
    return refuse(admitted.error());
  }
  SearchParams params{.request_id = start.request.request_id,
                      .deadline = start.deadline,
                      .trusted = start.trusted && trial == 0,
                      .suspect = start.suspect || trial != 0,
                      .canaries = context.settings.canaries || trial != 0,
                      .hedging = context.settings.hedging};
  auto run = std::make_shared<SearchRunImpl>(
      context, std::move(start.request), std::move(start.plan), std::move(params),
      start.fingerprint, trial, std::move(refuse.span), std::move(refuse.callback));
  run->Begin(now);
  return run;
}

// A search that waits for its trial.
class TrialSearch : public SearchRun, public std::enable_shared_from_this<TrialSearch> {
 public:
  TrialSearch(Refusal refuse, SearchStart start)
      : refuse(std::move(refuse)), start(std::move(start)) {}

  // Returns false if no trial can be asked for; the search has been refused then.
  bool Begin(Time now) {
    const bool asked = this->refuse.context.crash_guard.RequestTrial(
        now, this->start.fingerprint, this->start.deadline,
        [self = this->shared_from_this()](const Result<uint64_t>& trial) { self->OnTrial(trial); });
    if (!asked) this->refuse({ErrorCode::kSuspect, ""});
    return asked;
  }

  void Abort() override {
    this->aborted = true;
    if (this->run) this->run->Abort();
  }

 private:
  void OnTrial(const Result<uint64_t>& trial) {
    const Time now = SteadyNow();
    const bool in_time = !this->aborted && now < this->start.deadline;
    if (trial && in_time) {
      this->run = BeginSearch(std::move(this->refuse), std::move(this->start), *trial, now);
      return;
    }
    if (trial) this->refuse.context.crash_guard.EndTrial(this->start.fingerprint, *trial, {});
    if (this->aborted) return;
    this->refuse({RefusalOfSuspect(trial), ""});
  }

  Refusal refuse;
  SearchStart start;
  std::shared_ptr<SearchRun> run;
  bool aborted = false;
};

}  // namespace

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
  const Suspicion suspicion = context.crash_guard.Check(UnixMillis(), fingerprint);
  if (fingerprint_status == FingerprintStatus::kQuarantined ||
      fingerprint_status == FingerprintStatus::kCrashing ||
      suspicion.status == SuspectStatus::kBlocked) {
    return refuse(
        {ErrorCode::kQuarantined, "the request crashed targets and is quarantined for a time"});
  }
  SearchStart start{
      .plan = *plan,
      .fingerprint = fingerprint,
      .trusted = fingerprint_status == FingerprintStatus::kTrusted,
      .suspect = fingerprint_status == FingerprintStatus::kSuspect,
      .deadline = now + std::min(request.deadline.value_or((*plan)->deadline), kMaxDeadline)};
  start.request = std::move(request);
  if (suspicion.status == SuspectStatus::kClear) {
    return BeginSearch(std::move(refuse), std::move(start), /*trial=*/0, now);
  }
  auto run = std::make_shared<TrialSearch>(std::move(refuse), std::move(start));
  return run->Begin(now) ? run : nullptr;
}

}  // namespace peridotgauge
