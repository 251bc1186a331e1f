// Runs the search of one request and turns its outcome into an HTTP response.
#include "io/route_request.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/digest_text.h"
#include "core/gather.h"
#include "core/quarantine.h"
#include "core/request_times.h"
#include "core/search.h"
#include "io/clock.h"
#include "io/cold_target_chooser.h"

namespace peridotgauge {
namespace {

// The hedge delay of a route is this quantile of the latency of its attempts.
constexpr double kRouteHedgeQuantile = 0.92;
// The hedge delay is at most this multiple of the median. A few slow shards raise the quantile to
// the latency of their own targets, where a hedge comes too late, but do not change the median.
constexpr int kMaxHedgeDelayMedians = 2;
// Once all but this share of the shards have answered, the remaining ones are hedged early. With
// 3 % of the targets paused, one or two of 36 shards lag. Together with hedges of the latency tail
// this stays below the extra sub-requests that the platform allows, 0.2 of the needed ones.
constexpr double kStragglerShare = 0.125;
// The hedge delay until enough latencies are known.
constexpr Duration kInitialHedgeDelay = Millis(60);
constexpr Duration kMinRouteHedgeDelay = Millis(4);
// A refused caller is asked to retry after 50 to 150 ms, the time in which a target drains a queue
// of a few requests.
constexpr Duration kMinRetryDelay = Millis(50);
constexpr Duration kRetryDelaySpread = Millis(100);
// Callers that wait for the end of a target's pause return within this share of it.
constexpr double kPauseSpread = 0.25;

std::string_view NameOf(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kFirst:
      return "first";
    case AttemptKind::kHedge:
      return "hedge";
    case AttemptKind::kRetry:
      return "retry";
    case AttemptKind::kUnchargedRetry:
      return "uncharged_retry";
  }
  return "unknown";
}

ErrorCode ErrorCodeOf(TargetReplyKind kind) {
  switch (kind) {
    case TargetReplyKind::kNotRun:
    case TargetReplyKind::kWrongTarget:
      return ErrorCode::kShed;
    case TargetReplyKind::kFailed:
      return ErrorCode::kTargetFailed;
    case TargetReplyKind::kUnrelated:
    case TargetReplyKind::kAnswered:
      break;
  }
  return ErrorCode::kWrongReply;
}

class RouteRequestImpl : public RouteRequest,
                         public std::enable_shared_from_this<RouteRequestImpl> {
 public:
  RouteRequestImpl(RouteContext& context, RouteRequestParams params, Callback done)
      : context(context),
        params(std::move(params)),
        budget(context.hedge_budgets.try_emplace(this->params.route->Id(), context.budget)
                   .first->second),
        cold_chooser(context.replica_choice, context.warmup, context.pool),
        chooser(this->cold_chooser, context.signals),
        overload_budget(this->budget, context.budget, context.overload, *this->params.plan,
                        QueryOf(this->params).load_class),
        search(this->params.plan, ParamsOf(this->params, context.overload_admission),
               {this->chooser, this->Budget()}),
        timer(context.io),
        done(std::move(done)),
        echo(std::make_shared<EchoedRequest>(
            context.codec.RequestIdHeader(this->params.request_info.request_id))) {}

  void Begin(Time now) { this->Apply(now, this->search.Start(now)); }

  void Expire() override {
    if (this->ended) return;
    const Time now = SteadyNow();
    this->Apply(now, this->search.Expire(now));
  }

  void Abort() override {
    if (this->ended) return;
    // A trial goes on: only its end shows whether the request crashes its target.
    if (this->params.trial != 0) {
      this->done = nullptr;
      return;
    }
    const Time now = SteadyNow();
    this->Apply(now, this->search.Abort());
    this->Finish(now, "abandoned", 0, this->search.Counts(), 0);
  }

 private:
  struct Attempt {
    const TargetRecord* target = nullptr;  // kept alive by the plan
    const std::string* service = nullptr;
    uint64_t call = 0;
    uint64_t replica_send = 0;
    Time sent;
    bool open = false;
    std::string server_stamp;
    HttpResponse response;
  };

  ExtraAttemptBudget& Budget() {
    if (this->context.overload_admission) return this->overload_budget;
    return this->budget;
  }

  static SearchParams ParamsOf(const RouteRequestParams& params, bool overload_admission) {
    const Route& route = *params.route;
    return {.request_id = params.request_info.request_id,
            .deadline = params.deadline,
            .caller_wait = params.caller_wait,
            .suspect = params.trial != 0,
            .canaries = params.trial != 0,
            .hedging = route.idempotent,
            .min_covered = route.NeededShards(),
            .max_attempts = route.max_attempts,
            .idempotent = route.idempotent,
            .suspect_on_crash = params.trial != 0,
            .straggler_share = kStragglerShare,
            .excluded_services = params.excluded_services,
            .charge_refusals = true,
            .max_refusal_retries =
                overload_admission ? kMaxChargedRefusalRetries : kMaxUnchargedRetries};
  }

  void Apply(Time now, SearchEffects effects) {
    for (const uint32_t attempt : effects.cancels) this->CancelAttempt(now, attempt);
    for (const AttemptSend& send : effects.sends) this->SendAttempt(now, send);
    const SearchCounts& counts = this->search.Counts();
    const uint32_t extra = counts.hedges + counts.retries;
    if (std::exchange(this->extra_attempts, extra) != extra) this->context.on_extra_attempts(now);
    if (effects.timer) this->ArmTimer(*effects.timer);
    if (effects.outcome) this->OnOutcome(now, std::move(*effects.outcome));
  }

  void SendAttempt(Time now, const AttemptSend& send) {
    this->attempts.resize(std::max<size_t>(this->attempts.size(), send.attempt));
    Attempt& attempt = this->attempts[send.attempt - 1];
    attempt.target = send.target;
    attempt.service = &this->params.plan->FleetOf(send.shard).name;
    attempt.sent = now;
    attempt.open = true;
    if (send.kind != AttemptKind::kFirst) {
      this->context.metrics
          .CounterOf("peridotgauge_extra_attempts_total",
                     {{"service", *attempt.service}, {"kind", std::string(NameOf(send.kind))}})
          .Add();
    }
    const Duration typical = this->budget.TypicalLatency(now).value_or(
        this->params.route->objective / kMediansInObjective);
    this->context.warmup.OnSend(now, *send.target);
    attempt.replica_send = this->context.replica_choice.OnSend(now, *send.target, typical);
    attempt.call =
        this->context.pool.ClientFor(*send.target)
            .Send({.request = this->context.codec.BuildTargetRequest(
                       this->params.http, *send.target, this->params.deadline - now,
                       this->params.workspace),
                   .deadline = this->params.deadline,
                   .done = [self = this->shared_from_this(), number = send.attempt](
                               HttpResult result) { self->OnResult(number, std::move(result)); },
                   .released = {},
                   .echo = this->echo,
                   .before_sending =
                       [&codec = this->context.codec,
                        deadline = this->params.deadline](HttpRequest& request) {
                         codec.SetTimeLeft(deadline - SteadyNow(), request);
                       },
                   .idempotent = this->params.route->idempotent});
    this->context.on_sent(now, *send.target);
  }

  void CancelAttempt(Time now, uint32_t number) {
    Attempt& attempt = this->attempts[number - 1];
    if (!std::exchange(attempt.open, false)) return;
    this->may_have_run = true;
    this->context.pool.Cancel(*attempt.target, attempt.call);
    this->context.replica_choice.OnReply(now, attempt.replica_send,
                                         {.kind = ReplyKind::kCancelled});
    // A search that is given up cancels its attempts early. Their short times would lower the hedge
    // delay, so that nearly all attempts were hedged afterwards.
    if (!this->overload_budget.GivenUp()) this->budget.AddLatency(now, now - attempt.sent);
    // Without these, refusals would be over-represented, as they come sooner than answers.
    if (now - attempt.sent >= kSettleTime) this->ObserveAttempt(now, attempt, /*refused=*/false);
  }

  void OnResult(uint32_t number, HttpResult result) {
    const Time now = SteadyNow();
    Attempt& attempt = this->attempts[number - 1];
    if (!std::exchange(attempt.open, false)) return;
    AttemptReply reply{.sent_attempt = number};
    if (result) {
      this->OnResponse(now, attempt, std::move(*result), reply);
    } else {
      this->OnFailure(now, attempt, result.error(), reply);
    }
    if (reply.error && !InfoOf(reply.error->code).not_run) this->may_have_run = true;
    if (!reply.error) {
      reply.request_id = this->params.request_info.request_id;
      reply.attempt = number;
      reply.body = "+";  // a placeholder; the response stays in `attempt`
    }
    this->Apply(now, this->search.OnReply(now, std::move(reply)));
  }

  void OnResponse(Time now, Attempt& attempt, HttpResponse response, AttemptReply& reply) {
    TargetReply read =
        this->context.codec.ParseTargetResponse(response, this->params.request_info.request_id);
    const bool answered = read.kind == TargetReplyKind::kAnswered;
    const bool refused =
        read.kind == TargetReplyKind::kNotRun || read.kind == TargetReplyKind::kWrongTarget;
    ReplyReport report{.kind = answered  ? ReplyKind::kAnswered
                               : refused ? ReplyKind::kRefused
                                         : ReplyKind::kFailed};
    if (read.load && read.load->slots > 0) {
      report.load = static_cast<float>(read.load->running + read.load->waiting) /
                    static_cast<float>(read.load->slots);
      if (this->context.overload_admission) {
        this->context.overload.OnReportedLoad(now, *attempt.service, report.load);
      }
    }
    this->context.replica_choice.OnReply(now, attempt.replica_send, report);
    this->context.budget.OnReply(now, *attempt.service,
                                 {.refused = read.kind == TargetReplyKind::kNotRun});
    this->ObserveAttempt(now, attempt, read.kind == TargetReplyKind::kNotRun);
    if (this->context.overload_admission) this->context.overload.OnReached(*attempt.target);
    if (answered) {
      this->budget.AddLatency(now, now - attempt.sent);
    } else {
      reply.error = Error{ErrorCodeOf(read.kind), "status " + std::to_string(response.status)};
      this->LogFailure(now, attempt, reply.error->ToString(), /*crashed=*/false);
    }
    if (answered || read.kind == TargetReplyKind::kFailed) this->OnTargetAnswered(now, attempt);
    this->OnSignals(now, *attempt.target, read);
    if (!refused && read.kind != TargetReplyKind::kUnrelated) {
      attempt.server_stamp = std::move(read.server_stamp);
      attempt.response = std::move(response);
      if (this->params.route->Gathers()) this->KeepRecordsOnly(attempt.response);
    }
  }

  // The part of a shard may wait long for those of the others. Its other records cannot be among
  // the greatest of all, and its headers are not forwarded.
  void KeepRecordsOnly(HttpResponse& part) const {
    std::vector<HttpHeader>().swap(part.headers);  // an assignment would keep the memory
    const uint32_t most = this->params.route->top_records;
    if (part.body.size() / kRecordBytes > most) part.body = TopRecords({part.body}, most);
    if (part.kept) part.kept->Set(KeptBytes(part));
  }

  void OnSignals(Time now, const TargetRecord& target, const TargetReply& reply) {
    if (!reply.pause && !reply.malformed_pause && !reply.leaving) return;
    if (reply.pause > Duration(0)) {
      this->context.signals.OnPause(now, target, *reply.pause);
      // It then begins with few requests, like a target that has just started.
      this->context.replica_choice.Remove(target.target);
    }
    if (reply.leaving) this->context.signals.OnLeaving(now, target);
    this->context.log.Write(now, UnixMillis(),
                            Event("target_signal")
                                .Add("request", this->params.request_info.request_id)
                                .Add("target", target.target)
                                .Add("incarnation", target.incarnation)
                                .Add("leaving", reply.leaving)
                                .Add("pause_ms", reply.pause.value_or(Duration(0)))
                                .Add("malformed", reply.malformed_pause));
    if (!this->context.signals.Accepts(now, target)) {
      this->context.pool.FailWaiting(target, "the target wants no requests");
    }
  }

  // Returns when the caller may send a request again of which nothing was run for lack of targets.
  Duration RetryDelay(Time now, uint32_t shard) {
    const Candidates candidates = this->params.plan->shards[shard].candidates;
    const Duration pause = this->context.signals.AcceptsAgain(now, candidates).value_or(now) - now;
    const auto spread = static_cast<int64_t>(kPauseSpread * static_cast<double>(pause.count()));
    return pause + RandomRetryDelay(this->context.random) +
           Duration(std::uniform_int_distribution<int64_t>(0, spread)(this->context.random));
  }

  // The target has run the request without ending.
  void OnTargetAnswered(Time now, const Attempt& attempt) {
    this->context.crash_guard.OnAnswered(now, this->params.fingerprint, *attempt.service,
                                         attempt.sent);
    if (this->params.trial != 0) this->trial_run.answered.push_back(*attempt.service);
  }

  void OnTargetLost(Time now, const Attempt& attempt) {
    this->context.metrics
        .CounterOf("peridotgauge_lost_attempts_total", {{"service", *attempt.service}})
        .Add();
    this->context.crash_guard.OnLost(now, this->params.fingerprint, *attempt.service,
                                     *attempt.target);
    if (this->params.trial == 0) return;
    this->trial_run.lost.push_back({.service = *attempt.service,
                                    .target = attempt.target->target,
                                    .incarnation = attempt.target->incarnation});
  }

  void OnFailure(Time now, const Attempt& attempt, const HttpFailure& failure,
                 AttemptReply& reply) {
    const bool timed_out = failure.error.code == ErrorCode::kDeadlineExceeded;
    const ReplyKind kind = !failure.sent ? ReplyKind::kUnreachable
                           : timed_out   ? ReplyKind::kTimedOut
                                         : ReplyKind::kFailed;
    this->context.replica_choice.OnReply(now, attempt.replica_send, {.kind = kind});
    this->context.budget.OnReply(now, *attempt.service, {});
    if (failure.sent) {
      this->ObserveAttempt(now, attempt, /*refused=*/false);
    } else if (this->context.overload_admission && failure.error.code == ErrorCode::kUnavailable) {
      this->context.overload.OnUnreachable(now, *attempt.target);
    }
    reply.error = failure.error;
    reply.crashed = failure.crashed;
    if (failure.crashed) this->OnTargetLost(now, attempt);
    this->LogFailure(now, attempt, failure.error.ToString(), failure.crashed);
  }

  // `crashed`: the target closed the connection without a complete response.
  void LogFailure(Time now, const Attempt& attempt, const std::string& error, bool crashed) {
    this->context.log.Write(now, UnixMillis(),
                            Event("attempt_failed")
                                .Add("request", this->params.request_info.request_id)
                                .Add("target", attempt.target->target)
                                .Add("service", *attempt.service)
                                .Add("address", attempt.target->address)
                                .Add("incarnation", attempt.target->incarnation)
                                .Add("fingerprint", DigestToHex(this->params.fingerprint))
                                .Add("elapsed_ms", now - attempt.sent)
                                .Add("crashed", crashed)
                                .Add("error", error));
  }

  // --- Answers ---

  void OnOutcome(Time now, SearchOutcome outcome) {
    const Route& route = *this->params.route;
    if (outcome.covered.size() < route.NeededShards()) return this->Fail(now, outcome);
    if (!route.Gathers()) {
      HttpResponse response = std::move(this->attempts[outcome.covered[0].attempt - 1].response);
      return this->Answer(now, outcome,
                          this->context.codec.BuildForwardedResponse(std::move(response)),
                          "answered");
    }
    std::vector<std::string> server_stamps;
    std::vector<std::string_view> bodies;
    for (const ShardBody& shard : outcome.covered) {
      server_stamps.push_back(this->attempts[shard.attempt - 1].server_stamp);
      bodies.push_back(this->attempts[shard.attempt - 1].response.body);
    }
    const auto missing = static_cast<uint32_t>(outcome.missing.size());
    this->Answer(now, outcome,
                 this->context.codec.BuildGatherResponse(server_stamps, missing,
                                                         TopRecords(bodies, route.top_records)),
                 missing == 0 ? "answered" : "partial");
  }

  void Fail(Time now, const SearchOutcome& outcome) {
    if (!this->params.route->Gathers()) {
      // Forwards the latest failure response of a target, if there is one.
      for (auto attempt = this->attempts.rbegin(); attempt != this->attempts.rend(); ++attempt) {
        if (attempt->server_stamp.empty()) continue;
        return this->Answer(
            now, outcome, this->context.codec.BuildForwardedResponse(std::move(attempt->response)),
            "target_failure");
      }
    }
    const ErrorCode cause = outcome.missing.front().cause;
    const uint32_t shard = outcome.missing.front().shard;
    const std::string& service = this->params.plan->FleetOf(shard).name;
    const bool not_run = !this->may_have_run;
    this->Answer(now, outcome,
                 this->context.codec.BuildErrorResponse({cause, service}, not_run,
                                                        this->RetryDelay(now, shard)),
                 InfoOf(cause).name);
  }

  void Answer(Time now, const SearchOutcome& outcome, HttpResponse response,
              std::string_view result) {
    this->Finish(now, result, response.status, outcome.counts,
                 static_cast<uint32_t>(outcome.covered.size()));
    if (const auto callback = std::exchange(this->done, {})) callback(std::move(response));
  }

  void Finish(Time now, std::string_view result, int status, const SearchCounts& counts,
              uint32_t covered) {
    this->ended = true;
    this->timer.cancel();
    if (this->params.trial != 0) {
      this->context.crash_guard.EndTrial(this->params.fingerprint, this->params.trial,
                                         std::move(this->trial_run));
    }
    this->ObserveEnd(now, covered);
    const Labels labels = {{"route", this->params.route->name}, {"result", std::string(result)}};
    this->context.metrics.CounterOf("peridotgauge_requests_total", labels).Add();
    this->context.metrics
        .LatencyOf("peridotgauge_request_seconds", {{"route", this->params.route->name}})
        .Add(now - this->params.arrived);
    this->context.log.Write(now, UnixMillis(),
                            Event("request_end")
                                .Add("request", this->params.request_info.request_id)
                                .Add("route", this->params.route->name)
                                .Add("result", result)
                                .Add("status", status)
                                .Add("elapsed_ms", now - this->params.arrived)
                                .Add("spent_ms", this->params.caller_wait)
                                .Add("allowed_ms", this->params.deadline - this->params.arrived)
                                .Add("shards", counts.needed)
                                .Add("covered", covered)
                                .Add("sent", counts.sent)
                                .Add("hedges", counts.hedges)
                                .Add("retries", counts.retries)
                                .Add("revision", this->params.plan->revision)
                                .Add("directory", this->params.directory_version));
  }

  // --- Decisions under overload ---

  void ObserveAttempt(Time now, const Attempt& attempt, bool refused) {
    if (!this->context.overload_admission) return;
    this->context.overload.OnAttempt(now, *attempt.service, refused, now - attempt.sent);
  }

  void ObserveEnd(Time now, uint32_t covered) {
    if (!this->context.overload_admission) return;
    const AdmissionQuery query = QueryOf(this->params);
    const bool served = covered >= query.needed;
    this->context.overload.OnEnded(now, query.load_class,
                                   {.served = served, .elapsed = now - this->params.arrived});
    if (!served && this->overload_budget.GivenUp()) {
      this->ReportGivenUp(now, *this->overload_budget.GivenUp());
    }
  }

  // The search got no more retries because they go to other requests.
  void ReportGivenUp(Time now, const AdmissionVerdict& verdict) {
    const std::string reason(NameOf(verdict.reason));
    this->context.metrics
        .CounterOf("peridotgauge_overload_given_up_total",
                   {{"route", this->params.route->name}, {"reason", reason}})
        .Add();
    this->context.log.Write(now, UnixMillis(),
                            Event("overload_given_up")
                                .Add("request", this->params.request_info.request_id)
                                .Add("route", this->params.route->name)
                                .Add("priority", this->params.priority)
                                .Add("reason", reason)
                                .Add("refused_share", verdict.refused_share)
                                .Add("chance", verdict.chance)
                                .Add("retries_left", verdict.retries_left));
  }

  void ArmTimer(Time at) {
    this->timer.expires_at(at);
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code& error) {
          if (error || self->ended) return;
          const Time now = SteadyNow();
          self->Apply(now, self->search.OnTimer(now));
        });
  }

  RouteContext& context;
  RouteRequestParams params;
  RouteHedgeBudget& budget;
  ColdTargetChooser cold_chooser;
  SignalChooser chooser;
  OverloadBudget overload_budget;
  Search search;
  boost::asio::steady_timer timer;
  Callback done;
  std::shared_ptr<EchoedRequest> echo;  // targets echo the request id
  std::vector<Attempt> attempts;        // attempt n is at index n - 1
  uint32_t extra_attempts = 0;          // hedges and retries sent so far
  bool may_have_run = false;            // a target may have executed the request
  TrialRun trial_run;                   // if the request is sent in a trial
  bool ended = false;
};

}  // namespace

AdmissionQuery QueryOf(const RouteRequestParams& params) {
  return {.load_class = {params.route->Id(), params.priority},
          .plan = *params.plan,
          .needed = params.route->NeededShards(),
          .time_left = params.deadline - params.arrived,
          .objective = params.route->objective};
}

void RouteHedgeBudget::Refresh(Time now) {
  if (this->computed && now - *this->computed < kHedgeDelayRefreshInterval) return;
  this->slow = this->latency.Quantile(now, kRouteHedgeQuantile);
  this->median = this->latency.Quantile(now, 0.5);
  this->computed = now;
}

std::optional<Duration> RouteHedgeBudget::TypicalLatency(Time now) {
  this->Refresh(now);
  return this->median;
}

std::optional<Duration> RouteHedgeBudget::HedgeDelay(Time now, std::string_view /*service*/) {
  this->Refresh(now);
  if (!this->slow || !this->median) return kInitialHedgeDelay;
  return std::max(std::min(*this->slow, kMaxHedgeDelayMedians * *this->median),
                  kMinRouteHedgeDelay);
}

std::optional<Duration> RouteHedgeBudget::SlowLatency(Time now) {
  this->Refresh(now);
  return this->slow;
}

std::shared_ptr<RouteRequest> RouteRequest::Start(RouteContext& context, RouteRequestParams params,
                                                  Callback done) {
  const Time now = params.arrived;
  auto request = std::make_shared<RouteRequestImpl>(context, std::move(params), std::move(done));
  request->Begin(now);
  return request;
}

Duration RandomRetryDelay(std::mt19937_64& random) {
  return kMinRetryDelay +
         Duration(std::uniform_int_distribution<int64_t>(0, kRetryDelaySpread.count())(random));
}

}  // namespace peridotgauge
