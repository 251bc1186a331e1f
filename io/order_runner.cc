#include "io/order_runner.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "io/clock.h"
#include "io/search_runner.h"

namespace peridotgauge {
namespace {

// Limit of one router on orders whose outcome is not yet recorded.
constexpr uint32_t kMaxRunningOrders = 4'096;

class OrderRun : public std::enable_shared_from_this<OrderRun> {
 public:
  OrderRun(RequestContext& context, OrderContext& order_context, OrderRequest request,
           OrderParams params, uint64_t fingerprint, uint64_t trial, ActiveSpan span,
           std::function<void(OrderReply)> callback, std::set<std::string> tried = {})
      : context(context),
        order_context(order_context),
        request(std::move(request)),
        fingerprint(fingerprint),
        trial(trial),
        params(params),
        deadline(params.deadline),
        tried(std::move(tried)),
        order(std::move(params), context.chooser),
        timer(context.io),
        span(std::move(span)),
        callback(std::move(callback)) {
    ++this->order_context.running;
  }
  ~OrderRun() { --this->order_context.running; }
  OrderRun(const OrderRun&) = delete;
  OrderRun& operator=(const OrderRun&) = delete;

  void Begin(Time now) { this->Apply(now, this->order.Start(now, this->Lease(now))); }

 private:
  OrderLease Lease(Time now) const {
    return {this->context.control.Synchronized(now), this->order_context.lease_generation};
  }

  void Apply(Time now, OrderEffects effects) {
    if (effects.claim) this->Claim(now, std::move(*effects.claim));
    if (effects.dispatch) this->Dispatch(now, *effects.dispatch);
    if (effects.complete) this->Complete(now, std::move(*effects.complete));
    if (effects.answer) this->Answer(std::move(*effects.answer));
    if (this->order.Finished()) {
      this->timer.cancel();
    } else if (effects.timer) {
      this->ArmTimer(*effects.timer);
    }
  }

  void Claim(Time now, ClaimRequest claim) {
    wire::ClaimT command;
    command.request_id = std::move(claim.request_id);
    command.body_digest = claim.body_digest;
    command.service = std::move(claim.service);
    command.issued_at_ms = claim.issued_at_ms;
    command.router = std::move(claim.holder.router);
    command.router_incarnation = claim.holder.incarnation;
    command.claim_id = claim.holder.claim_id;
    auto child_span = this->BeginChildSpan("claim");
    this->context.control.Command(
        ToCommand(std::move(command)), std::max(this->deadline, now),
        [self = this->shared_from_this(), child_span](Result<wire::CommandReplyT> reply) {
          self->OnClaimAnswer(*child_span, std::move(reply));
        });
  }

  std::shared_ptr<ActiveSpan> BeginChildSpan(std::string_view name) {
    return std::make_shared<ActiveSpan>(
        this->context.tracer.Begin(this->span.Context(), name, UnixNanos()));
  }

  void OnClaimAnswer(ActiveSpan& child_span, Result<wire::CommandReplyT> reply) {
    const Time now = SteadyNow();
    Result<ClaimResult> answer = tl::unexpected(Error{});
    if (!reply) {
      answer = tl::unexpected(std::move(reply.error()));
    } else if (reply->error >= 0) {
      answer = Fail(static_cast<ErrorCode>(reply->error), std::move(reply->detail));
    } else {
      answer = ClaimResult{.state = static_cast<ClaimState>(reply->claim),
                           .outcome = static_cast<Outcome>(reply->outcome),
                           .status = reply->status,
                           .body = std::move(reply->body)};
    }
    this->context.tracer.End(std::move(child_span), UnixNanos(),
                             answer ? std::nullopt : std::optional(answer.error()));
    this->Apply(now, this->order.OnClaimAnswer(now, std::move(answer), this->Lease(now),
                                               this->ChooseShard()));
  }

  // Chooses the shard of the order by the hash of its request id. Returns the targets that hold the
  // shard and were not tried; none if the service has been removed from the configuration.
  Candidates ChooseShard() {
    const auto planned = this->context.planner.PlanFor(this->request.service);
    if (!planned) return {};
    this->plan = *planned;
    const std::string& id = this->request.request_id;
    this->shard = XXH3_64bits(id.data(), id.size()) % this->plan->services.front().shards;
    for (const TargetRecord* target : this->plan->shards[this->shard].candidates) {
      if (!this->tried.contains(target->target)) this->untried.push_back(target);
    }
    return this->untried;
  }

  void Dispatch(Time now, const OrderDispatch& dispatch) {
    this->sent = now;
    wire::SubRequestT sub_request;
    sub_request.request_id = this->request.request_id;
    sub_request.attempt = dispatch.attempt;
    sub_request.operation = wire::Operation::Order;
    sub_request.target = dispatch.target->target;
    this->tried.insert(sub_request.target);
    sub_request.service = this->request.service;
    sub_request.shard = this->plan->shards[this->shard].shard;
    sub_request.shards = this->plan->services.front().shards;
    sub_request.snapshot = this->plan->FleetOf(this->shard).snapshot.value_or(0);
    auto child_span = this->BeginChildSpan("attempt");
    child_span->AddAttribute("target", sub_request.target);
    sub_request.traceparent = child_span->Traceparent();
    sub_request.body = this->request.body;
    sub_request.workspace = this->request.workspace;
    const std::string& fleet = this->plan->FleetOf(this->shard).name;
    this->context.sender.Send(now, {dispatch.target, fleet, this->deadline}, std::move(sub_request),
                              [self = this->shared_from_this(), child_span,
                               target = dispatch.target](wire::SubReplyT reply) {
                                self->OnDispatchReply(*child_span, *target, std::move(reply));
                              });
  }

  void OnDispatchReply(ActiveSpan& child_span, const TargetRecord& target, wire::SubReplyT reply) {
    const Time now = SteadyNow();
    DispatchReply result{.request_id = std::move(reply.request_id),
                         .attempt = reply.attempt,
                         .body = std::move(reply.body)};
    if (reply.error >= 0) {
      result.error = Error{static_cast<ErrorCode>(reply.error), std::move(reply.detail)};
    }
    this->context.tracer.End(std::move(child_span), UnixNanos(), result.error);
    if (reply.crashed) {
      this->OnCrash(now, target);
    } else if (!result.error || result.error->code == ErrorCode::kTargetFailed) {
      this->trial_run.answered.push_back(target.service);
      this->context.crash_guard.OnAnswered(now, this->fingerprint, target.service, this->sent);
    }
    this->Apply(now, this->order.OnDispatchReply(now, std::move(result)));
  }

  void OnCrash(Time now, const TargetRecord& target) {
    this->context.quarantine.OnCrash(now, this->fingerprint, target, false);
    const TargetCrash crash{
        .service = target.service, .target = target.target, .incarnation = target.incarnation};
    if (this->trial != 0) return this->trial_run.crashes.push_back(crash);
    this->context.crash_guard.Report(now, this->fingerprint, crash, [](bool) {});
  }

  void Complete(Time now, Completion completion) {
    wire::CompleteT command;
    command.request_id = std::move(completion.request_id);
    command.router = std::move(completion.holder.router);
    command.router_incarnation = completion.holder.incarnation;
    command.claim_id = completion.holder.claim_id;
    command.outcome = static_cast<wire::Outcome>(completion.outcome);
    command.status = completion.status;
    command.body = std::move(completion.body);
    auto child_span = this->BeginChildSpan("record");
    this->context.control.Command(
        ToCommand(std::move(command)), now + kRecordTimeout,
        [self = this->shared_from_this(), child_span](Result<wire::CommandReplyT> reply) {
          self->OnRecordAnswer(*child_span, std::move(reply));
        });
  }

  void OnRecordAnswer(ActiveSpan& child_span, Result<wire::CommandReplyT> reply) {
    Result<void> answer;
    if (!reply) {
      answer = tl::unexpected(std::move(reply.error()));
    } else if (reply->error >= 0) {
      answer = Fail(static_cast<ErrorCode>(reply->error), std::move(reply->detail));
    }
    this->context.tracer.End(std::move(child_span), UnixNanos(),
                             answer ? std::nullopt : std::optional(answer.error()));
    const Time now = SteadyNow();
    this->Apply(now, this->order.OnRecordAnswer(now, answer));
  }

  // Returns true if the order was refused before it reached its target, its claim is released, and
  // another replica is left. Owners refuse requests during a hand-over and while the target drains.
  bool CanTryAnotherReplica(const OrderOutcome& outcome) const {
    return this->callback && outcome.not_run && outcome.error &&
           outcome.error->code == ErrorCode::kNoTarget &&
           this->order.State() == OrderState::kNotRun && this->untried.size() > 1;
  }

  // Runs the order again under a new claim, without the replicas that were tried.
  void TryAnotherReplica() {
    OrderParams params = this->params;
    params.holder.claim_id = ++this->order_context.last_claim_id;
    auto run = std::make_shared<OrderRun>(
        this->context, this->order_context, this->request, std::move(params), this->fingerprint,
        this->trial, std::move(this->span), std::exchange(this->callback, nullptr), this->tried);
    run->Begin(SteadyNow());
  }

  void Answer(OrderOutcome outcome) {
    if (this->CanTryAnotherReplica(outcome)) return this->TryAnotherReplica();
    if (this->trial != 0) {
      this->context.crash_guard.EndTrial(this->fingerprint, this->trial,
                                         std::exchange(this->trial_run, {}));
    }
    const std::string label = outcome.error ? std::string(outcome.error->Name()) : "done";
    this->context.metrics.CounterOf("peridotgauge_orders_total", {{"outcome", label}}).Add();
    this->context.tracer.End(std::move(this->span), UnixNanos(), outcome.error);
    auto done = std::exchange(this->callback, nullptr);
    if (!done) return;
    if (outcome.error) {
      LOG(INFO) << "order: " << this->request.request_id << ": " << outcome.error->ToString();
      return done({tl::unexpected(*outcome.error), outcome.not_run});
    }
    done({OrderResponse{this->request.request_id, std::move(outcome.body), outcome.replayed}});
  }

  void ArmTimer(Time at) {
    this->timer.expires_at(at);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
      if (error) return;
      const Time now = SteadyNow();
      self->Apply(now, self->order.OnTimer(now));
    });
  }

  // Timeout of recording the outcome once. The state machine retries it.
  static constexpr Duration kRecordTimeout = Seconds(2);

  RequestContext& context;
  OrderContext& order_context;
  OrderRequest request;
  uint64_t fingerprint;
  uint64_t trial;  // in which the order is sent; 0: none
  TrialRun trial_run;
  Time sent{};  // when the order was dispatched
  OrderParams params;
  Time deadline;
  std::set<std::string> tried;  // targets that were tried, under earlier claims too
  Order order;
  boost::asio::steady_timer timer;
  ActiveSpan span;
  std::function<void(OrderReply)> callback;  // empty once called
  std::shared_ptr<const Plan> plan;          // used for the dispatch; owns the target records
  uint32_t shard = 0;                        // index into Plan::shards
  std::vector<const TargetRecord*> untried;  // candidates under this claim; owned by `plan`
};

}  // namespace

void StartOrder(RequestContext& context, OrderContext& order_context, OrderRequest request,
                const std::optional<SpanContext>& parent, Time now,
                std::function<void(OrderReply)> callback) {
  const auto config = context.control.CurrentConfig();
  const Service* service = config->FindService(request.service);
  const auto refuse = [&](const Error& error) {
    // `not_run` is false because an earlier request with the same id may have been executed.
    callback({tl::unexpected(error), false});
  };
  if (!context.control.Synchronized(now)) return refuse({ErrorCode::kNotSynchronized, ""});
  if (service == nullptr) {
    return refuse({ErrorCode::kNotFound, "unknown service \"" + request.service + "\""});
  }
  if (service->idempotent) {
    return refuse({ErrorCode::kBadRequest, "service \"" + request.service +
                                               "\" accepts no orders because it is idempotent"});
  }
  if (order_context.running >= kMaxRunningOrders) {
    return refuse({ErrorCode::kOverloaded, "the router has reached its limit of running orders"});
  }
  const uint64_t fingerprint = Fingerprint(request.service, RequestKind::kOrder, request.body);
  const FingerprintStatus fingerprint_status =
      context.quarantine.Check(now, UnixMillis(), fingerprint);
  const Suspicion suspicion = context.crash_guard.Check(UnixMillis(), fingerprint);
  if (fingerprint_status == FingerprintStatus::kQuarantined ||
      fingerprint_status == FingerprintStatus::kCrashing ||
      suspicion.status == SuspectStatus::kBlocked) {
    return refuse(
        {ErrorCode::kQuarantined, "the request crashed targets and is quarantined for a time"});
  }
  const OrderParams params{
      .request_id = request.request_id,
      .service = request.service,
      .issued_at_ms = request.issued_at_ms,
      .body_digest = XXH3_64bits(request.body.data(), request.body.size()),
      .holder = {order_context.router, order_context.incarnation, ++order_context.last_claim_id},
      .deadline = now + std::min(request.deadline.value_or(service->deadline), kMaxDeadline)};
  ActiveSpan span = context.tracer.Begin(parent, "order", UnixNanos());
  span.AddAttribute("request_id", request.request_id);
  span.AddAttribute("service", request.service);
  const Time deadline = params.deadline;
  // Shared, because callbacks are copied.
  auto shared_span = std::make_shared<ActiveSpan>(std::move(span));
  const auto begin = [&context, &order_context, request, params, fingerprint, shared_span,
                      callback](uint64_t trial, Time at) {
    auto run = std::make_shared<OrderRun>(context, order_context, request, params, fingerprint,
                                          trial, std::move(*shared_span), callback);
    run->Begin(at);
  };
  if (suspicion.status == SuspectStatus::kClear) return begin(/*trial=*/0, now);
  const auto refuse_suspect = [&context, shared_span, callback](ErrorCode code) {
    context.tracer.End(std::move(*shared_span), UnixNanos(), Error{code, ""});
    callback({Fail(code), false});
  };
  const bool asked = context.crash_guard.RequestTrial(
      now, fingerprint, deadline,
      [begin, refuse_suspect, deadline, &context, fingerprint](const Result<uint64_t>& trial) {
        const Time at = SteadyNow();
        if (trial && at < deadline) return begin(*trial, at);
        if (trial) context.crash_guard.EndTrial(fingerprint, *trial, {});
        refuse_suspect(RefusalOfSuspect(trial));
      });
  if (!asked) refuse_suspect(ErrorCode::kSuspect);
}

}  // namespace peridotgauge
