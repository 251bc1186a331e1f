// Runs one order.
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

// Orders whose outcome is not yet recorded, for each router.
constexpr uint32_t kMaxRunningOrders = 4'096;

class OrderRun : public std::enable_shared_from_this<OrderRun> {
 public:
  OrderRun(RequestContext& context, OrderIdentity& identity, OrderRequest request,
           OrderParams params, uint64_t fingerprint, ActiveSpan span,
           std::function<void(OrderReply)> callback, std::set<std::string> tried = {})
      : context(context),
        identity(identity),
        request(std::move(request)),
        fingerprint(fingerprint),
        params(params),
        deadline(params.deadline),
        tried(std::move(tried)),
        order(std::move(params), context.replicas),
        timer(context.io),
        span(std::move(span)),
        callback(std::move(callback)) {
    ++this->identity.running;
  }
  ~OrderRun() { --this->identity.running; }
  OrderRun(const OrderRun&) = delete;
  OrderRun& operator=(const OrderRun&) = delete;

  void Begin(Time now) { this->Apply(now, this->order.Start(now, this->Lease(now))); }

 private:
  OrderLease Lease(Time now) const {
    return {this->context.control.Synchronized(now), this->identity.lease_generation};
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
    auto hop = this->BeginControlSpan("claim");
    this->context.control.Command(
        ToCommand(std::move(command)), std::max(this->deadline, now),
        [self = this->shared_from_this(), hop](Result<wire::CommandReplyT> reply) {
          self->OnClaimAnswer(*hop, std::move(reply));
        });
  }

  std::shared_ptr<ActiveSpan> BeginControlSpan(std::string_view name) {
    return std::make_shared<ActiveSpan>(
        this->context.tracer.Begin(this->span.Context(), name, UnixNanos()));
  }

  void OnClaimAnswer(ActiveSpan& hop, Result<wire::CommandReplyT> reply) {
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
    this->context.tracer.End(std::move(hop), UnixNanos(),
                             answer ? std::nullopt : std::optional(answer.error()));
    this->Apply(now, this->order.OnClaimAnswer(now, std::move(answer), this->Lease(now),
                                               this->ChooseShard()));
  }

  // An order goes to one shard of its service, by the hash of its request id. Returns the targets
  // that hold the shard and were not tried; empty if the service is unknown by now.
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
    wire::SubRequestT sub;
    sub.request_id = this->request.request_id;
    sub.attempt = dispatch.attempt;
    sub.operation = wire::Operation::Order;
    sub.target = dispatch.target->target;
    this->tried.insert(sub.target);
    sub.service = this->request.service;
    sub.shard = this->plan->shards[this->shard].shard;
    sub.shards = this->plan->services.front().shards;
    sub.snapshot = this->plan->FleetOf(this->shard).snapshot.value_or(0);
    auto hop = this->BeginControlSpan("attempt");
    hop->AddAttribute("target", sub.target);
    sub.traceparent = hop->Traceparent();
    sub.body = this->request.body;
    const std::string& fleet = this->plan->FleetOf(this->shard).name;
    this->context.sender.Send(
        now, {dispatch.target, fleet, this->deadline}, std::move(sub),
        [self = this->shared_from_this(), hop, target = dispatch.target](wire::SubReplyT reply) {
          self->OnDispatchReply(*hop, *target, std::move(reply));
        });
  }

  void OnDispatchReply(ActiveSpan& hop, const TargetRecord& target, wire::SubReplyT reply) {
    const Time now = SteadyNow();
    DispatchReply result{.request_id = std::move(reply.request_id),
                         .attempt = reply.attempt,
                         .body = std::move(reply.body)};
    if (reply.error >= 0) {
      result.error = Error{static_cast<ErrorCode>(reply.error), std::move(reply.detail)};
    }
    this->context.tracer.End(std::move(hop), UnixNanos(), result.error);
    if (reply.crashed && this->context.quarantine.OnCrash(now, this->fingerprint, target, false)) {
      CommitQuarantine(this->context.control, this->fingerprint, [](bool) {});
    }
    this->Apply(now, this->order.OnDispatchReply(now, std::move(result)));
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
    auto hop = this->BeginControlSpan("record");
    this->context.control.Command(
        ToCommand(std::move(command)), now + kRecordTryTime,
        [self = this->shared_from_this(), hop](Result<wire::CommandReplyT> reply) {
          self->OnRecordAnswer(*hop, std::move(reply));
        });
  }

  void OnRecordAnswer(ActiveSpan& hop, Result<wire::CommandReplyT> reply) {
    Result<void> answer;
    if (!reply) {
      answer = tl::unexpected(std::move(reply.error()));
    } else if (reply->error >= 0) {
      answer = Fail(static_cast<ErrorCode>(reply->error), std::move(reply->detail));
    }
    this->context.tracer.End(std::move(hop), UnixNanos(),
                             answer ? std::nullopt : std::optional(answer.error()));
    const Time now = SteadyNow();
    this->Apply(now, this->order.OnRecordAnswer(now, answer));
  }

  // True if the order was refused before it reached its target, its claim is released, and there
  // is another replica. Owners refuse during a hand-over and while their target drains.
  bool MayTryAnother(const OrderOutcome& outcome) const {
    return this->callback && outcome.not_run && outcome.error &&
           outcome.error->code == ErrorCode::kNoTarget &&
           this->order.State() == OrderState::kNotRun && this->untried.size() > 1;
  }

  // Runs the order anew, under a claim of its own, without the replicas that were tried.
  void TryAnother() {
    OrderParams params = this->params;
    params.holder.claim_id = ++this->identity.last_claim;
    auto run = std::make_shared<OrderRun>(
        this->context, this->identity, this->request, std::move(params), this->fingerprint,
        std::move(this->span), std::exchange(this->callback, nullptr), this->tried);
    run->Begin(SteadyNow());
  }

  void Answer(OrderOutcome outcome) {
    if (this->MayTryAnother(outcome)) return this->TryAnother();
    const std::string label = outcome.error ? std::string(outcome.error->Name()) : "done";
    this->context.metrics.CounterOf("peridotgauge_orders_total", {{"outcome", label}}).Add();
    this->context.tracer.End(std::move(this->span), UnixNanos(), outcome.error);
    auto done = std::exchange(this->callback, nullptr);
    if (!done) return;
    if (outcome.error) {
      LOG(INFO) << "order: " << this->request.request_id << ": " << outcome.error->ToString();
      return done({tl::unexpected(*outcome.error), outcome.not_run});
    }
    done({OrderAnswer{this->request.request_id, std::move(outcome.body), outcome.replayed}});
  }

  void ArmTimer(Time at) {
    this->timer.expires_at(at);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
      if (error) return;
      const Time now = SteadyNow();
      self->Apply(now, self->order.OnTimer(now));
    });
  }

  // One completion; the state machine repeats it.
  static constexpr Duration kRecordTryTime = Seconds(2);

  RequestContext& context;
  OrderIdentity& identity;
  OrderRequest request;
  uint64_t fingerprint;
  OrderParams params;
  Time deadline;
  std::set<std::string> tried;  // targets, of earlier claims too
  Order order;
  boost::asio::steady_timer timer;
  ActiveSpan span;
  std::function<void(OrderReply)> callback;  // empty once called
  std::shared_ptr<const Plan> plan;          // of the dispatch; keeps the target's record alive
  uint32_t shard = 0;                        // index into Plan::shards
  std::vector<const TargetRecord*> untried;  // the candidates of this claim; part of `plan`
};

}  // namespace

void StartOrder(RequestContext& context, OrderIdentity& identity, OrderRequest request,
                const std::optional<SpanContext>& parent, Time now,
                std::function<void(OrderReply)> callback) {
  const auto config = context.control.CurrentConfig();
  const Service* service = config->FindService(request.service);
  const auto refuse = [&](const Error& error) {
    // An earlier send of the same id may have been executed.
    callback({tl::unexpected(error), false});
  };
  if (!context.control.Synchronized(now)) return refuse({ErrorCode::kNotSynchronized, ""});
  if (service == nullptr) {
    return refuse({ErrorCode::kNotFound, "unknown service \"" + request.service + "\""});
  }
  if (service->idempotent) {
    return refuse({ErrorCode::kBadRequest,
                   "service \"" + request.service + "\" takes no orders: it is idempotent"});
  }
  if (identity.running >= kMaxRunningOrders) {
    return refuse({ErrorCode::kOverloaded, "too many orders are running"});
  }
  const uint64_t fingerprint = Fingerprint(request.service, RequestKind::kOrder, request.body);
  const Standing standing = context.quarantine.Check(now, UnixMillis(), fingerprint);
  if (standing == Standing::kQuarantined || standing == Standing::kCrashing) {
    return refuse(
        {ErrorCode::kQuarantined, "the request crashed targets; it is blocked for a time"});
  }
  const OrderParams params{
      .request_id = request.request_id,
      .service = request.service,
      .issued_at_ms = request.issued_at_ms,
      .body_digest = XXH3_64bits(request.body.data(), request.body.size()),
      .holder = {identity.router, identity.incarnation, ++identity.last_claim},
      .deadline = now + std::min(request.deadline.value_or(service->deadline), kMaxDeadline)};
  ActiveSpan span = context.tracer.Begin(parent, "order", UnixNanos());
  span.AddAttribute("request_id", request.request_id);
  span.AddAttribute("service", request.service);
  auto run = std::make_shared<OrderRun>(context, identity, std::move(request), params, fingerprint,
                                        std::move(span), std::move(callback));
  run->Begin(now);
}

}  // namespace peridotgauge
