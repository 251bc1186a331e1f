// Executes sub-requests on owned targets: one queue and one connection pool for each target.
#include "io/owner.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/target_queue.h"
#include "io/clock.h"
#include "io/target_client.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// The id of a job that was refused at once; cancelling it does nothing.
constexpr uint64_t kNoJob = 0;

ExchangeKind KindOf(const wire::SubReplyT& reply) {
  if (reply.error < 0) return ExchangeKind::kAnswered;
  switch (static_cast<ErrorCode>(reply.error)) {
    case ErrorCode::kShed:
      return ExchangeKind::kShed;
    case ErrorCode::kTargetFailed:
    case ErrorCode::kWrongReply:
    case ErrorCode::kWrongSnapshot:
      return ExchangeKind::kAnswered;
    default:
      return ExchangeKind::kFailed;
  }
}

}  // namespace

class Owner::Impl : public std::enable_shared_from_this<Owner::Impl> {
 public:
  Impl(OwnerContext context, RouterIdentity self)
      : context(context),
        ownership(std::move(self), context.settings.routing),
        timer(context.io),
        dispatched(context.metrics.CounterOf("peridotgauge_owner_dispatched_total")),
        refused(context.metrics.CounterOf("peridotgauge_owner_refused_total")) {}

  uint64_t Run(Time now, wire::SubRequestT request, Time deadline, Callback done) {
    const uint64_t id = ++this->last_job;
    Lane* lane = this->FindLane(request.target);
    if (lane == nullptr || !this->MayDispatch(now, *lane)) {
      this->RefuseLater(request, {ErrorCode::kNoTarget, "this router does not own the target"},
                        std::move(done));
      return kNoJob;
    }
    if (Result<void> pushed = lane->queue.Push(now, id, deadline); !pushed) {
      this->RefuseLater(request, pushed.error(), std::move(done));
      return kNoJob;
    }
    const std::string target = request.target;
    ActiveSpan span =
        this->context.tracer.Begin(ParseTraceparent(request.traceparent), "owner", UnixNanos());
    span.AddAttribute("target", target);
    this->jobs.emplace(id, Job{.request = std::move(request),
                               .deadline = deadline,
                               .arrived = now,
                               .done = std::move(done),
                               .span = std::move(span)});
    this->Pump(now, *lane);
    return id;
  }

  void Cancel(Time now, uint64_t id) {
    auto job = this->jobs.find(id);
    if (job == this->jobs.end()) return;
    Lane* lane = this->FindLane(job->second.request.target);
    const std::optional<uint64_t> call = job->second.call;
    this->context.tracer.End(std::move(job->second.span), UnixNanos(),
                             Error{ErrorCode::kCancelled, ""});
    this->jobs.erase(job);
    if (lane == nullptr) return;
    // For a running job the slot is freed by `released`, when the target has closed its side.
    if (lane->queue.Cancel(id) == CancelResult::kRunning && call) lane->client->Cancel(*call);
    this->Pump(now, *lane);
  }

  void OnControlChange(Time now, const ControlChange& change) {
    const uint64_t view_before = this->ownership.ViewIndex();
    if (change.routers) this->LearnView(now);
    // The first view has nothing before it that could have been missed.
    if (change.lease_acquired && view_before != 0 && view_before != this->ownership.ViewIndex()) {
      this->ownership.FenceOwnTargets(now);
    }
    if (change.directory || change.config) this->UpdateTargets();
    this->Refresh(now);
  }

  void OnRelease(Time now, const wire::ReleaseT& release) {
    this->ownership.OnRelease(now, {release.view_index, release.from, release.targets});
    this->Refresh(now);
  }

  const RouterRecord* OwnerOf(std::string_view target) const {
    return this->ownership.OwnerOf(target);
  }
  bool Idle() const { return this->jobs.empty(); }

 private:
  struct Job {
    wire::SubRequestT request;
    Time deadline;
    Time arrived;
    Callback done;
    ActiveSpan span;
    std::optional<uint64_t> call;  // of the target client, once dispatched
  };

  // One target: its queue, connections and state.
  struct Lane {
    TargetRecord record;
    TargetQueue queue;
    std::unique_ptr<TargetClient> client;  // absent while this router may not dispatch
    std::optional<Handover> handover;      // set once the target has moved to another owner
  };

  Lane* FindLane(const std::string& target) {
    auto lane = this->lanes.find(target);
    return lane == this->lanes.end() ? nullptr : &lane->second;
  }

  bool MayDispatch(Time now, const Lane& lane) const {
    return lane.client != nullptr && !lane.handover &&
           this->ownership.MayDispatch(now, this->context.control.CurrentLease().End(),
                                       lane.record.target);
  }

  void RefuseLater(const wire::SubRequestT& request, const Error& error, Callback done) {
    this->refused.Add();
    asio::post(this->context.io, [reply = FailedSubReply(request, error),
                                  done = std::move(done)]() mutable { done(std::move(reply)); });
  }

  // --- Following the control plane ---

  void LearnView(Time now) {
    RouterView view{.index = this->context.control.ViewIndex()};
    for (const auto& [id, router] : this->context.control.Routers()) view.routers.push_back(router);
    for (Handover& handover : this->ownership.LearnView(now, std::move(view))) {
      if (Lane* lane = this->FindLane(handover.target)) lane->handover = std::move(handover);
    }
  }

  // Takes the directory's targets into `ownership`; removes the others.
  void UpdateTargets() {
    const Time now = SteadyNow();
    const auto& targets = this->context.control.Directory().Targets();
    for (const auto& [name, record] : targets) {
      auto known = this->known.find(name);
      if (known != this->known.end() && known->second == record.data_centre) continue;
      this->known[name] = record.data_centre;
      this->ownership.UpsertTarget(now, name, record.data_centre);
    }
    std::erase_if(this->known, [&](const auto& entry) {
      if (targets.contains(entry.first)) return false;
      this->ownership.RemoveTarget(entry.first);
      return true;
    });
  }

  // Brings lanes in line with ownership, fences and the directory.
  void Refresh(Time now) {
    for (const std::string& target : this->ownership.OwnedTargets()) {
      this->RefreshOwned(now, target);
    }
    std::vector<std::string> names;
    for (const auto& [name, lane] : this->lanes) names.push_back(name);
    for (const std::string& name : names) {
      Lane* lane = this->FindLane(name);
      if (lane == nullptr) continue;
      if (!this->known.contains(name)) lane->queue.Drain();
      this->Pump(now, *lane);
      this->FinishHandover(name);
    }
    this->ArmTimer(now);
  }

  void RefreshOwned(Time now, const std::string& target) {
    const TargetRecord* record = this->context.control.Directory().Find(target);
    if (record == nullptr || !this->MayOpen(now, target)) return;
    Lane* lane = this->FindLane(target);
    if (lane == nullptr || lane->record.address != record->address ||
        lane->record.incarnation != record->incarnation || lane->handover) {
      // An earlier incarnation's exchanges have failed or fail now: its process is gone.
      if (lane != nullptr) this->CloseLane(target, "the target has started again or moved");
      lane = &this->OpenLane(now, *record);
    }
    this->ApplyLimits(*lane, *record);
  }

  bool MayOpen(Time now, const std::string& target) const {
    return this->ownership.MayDispatch(now, this->context.control.CurrentLease().End(), target);
  }

  Lane& OpenLane(Time now, const TargetRecord& record) {
    const bool cold =
        record.state == TargetState::kStarting || this->restarted.contains(record.target);
    this->restarted.erase(record.target);
    const QueueOptions options{.slots = std::max(1U, record.slots),
                               .connections = std::max(1U, record.connections),
                               .cold = cold,
                               .adaptive_limit = this->context.settings.adaptive_limit};
    auto [lane, added] =
        this->lanes.emplace(record.target, Lane{record, TargetQueue(now, options), nullptr, {}});
    lane->second.client = std::make_unique<TargetClient>(
        this->context.io, record.address,
        HttpClientOptions{.connections = options.connections,
                          .warm = lane->second.queue.WarmConnections()});
    return lane->second;
  }

  // The registered limits, capped by those of the fleet in the configuration.
  void ApplyLimits(Lane& lane, const TargetRecord& record) {
    uint32_t slots = std::max(1U, record.slots);
    uint32_t connections = std::max(1U, record.connections);
    const auto config = this->context.control.CurrentConfig();
    if (const Service* service = config->FindService(record.service)) {
      if (const Fleet* fleet = config->FindFleet(service->fleet)) {
        slots = std::min(slots, fleet->slots);
        connections = std::min(connections, fleet->connections);
      }
    }
    lane.record = record;
    lane.queue.SetLimits(slots, connections);
    lane.client->SetOptions({.connections = connections, .warm = lane.queue.WarmConnections()});
    if (record.state == TargetState::kDraining) {
      lane.queue.Drain();
    } else {
      lane.queue.Resume();
    }
  }

  // Fails everything of the lane and removes it.
  void CloseLane(const std::string& target, const std::string& reason) {
    std::vector<uint64_t> ids;
    for (const auto& [id, job] : this->jobs) {
      if (job.request.target == target) ids.push_back(id);
    }
    this->restarted.insert(target);
    this->EraseLane(target);
    for (uint64_t id : ids) {
      const bool sent = this->jobs.at(id).call.has_value();
      const ErrorCode code = sent ? ErrorCode::kConnectionLost : ErrorCode::kNoTarget;
      wire::SubReplyT reply = FailedSubReply(this->jobs.at(id).request, Error{code, reason});
      // A process that ended with requests in flight may have been crashed by one of them.
      reply.crashed = sent;
      this->Answer(id, std::move(reply));
    }
  }

  // The client is destroyed from the event loop, because this may run inside one of its callbacks.
  void EraseLane(const std::string& target) {
    auto lane = this->lanes.extract(target);
    if (lane.empty()) return;
    asio::post(this->context.io,
               [client = std::shared_ptr<TargetClient>(std::move(lane.mapped().client))] {});
  }

  // Once nothing is in flight, closes the connections and tells the new owner.
  void FinishHandover(const std::string& target) {
    Lane* lane = this->FindLane(target);
    if (lane == nullptr || lane->queue.InFlight() > 0 || lane->queue.Queued() > 0) return;
    const bool gone = !this->known.contains(target);
    if (!lane->handover && !gone) return;
    const std::optional<Handover> handover = std::move(lane->handover);
    this->EraseLane(target);
    if (!handover || !handover->may_release) return;
    const auto& routers = this->context.control.Routers();
    auto owner = routers.find(handover->new_owner);
    if (owner == routers.end()) return;
    wire::ReleaseT release;
    release.view_index = this->ownership.ViewIndex();
    release.from = this->context.settings.id;
    release.targets = {target};
    this->context.peers.ClientFor(owner->second.peer_address).Send(ToBody(std::move(release)));
  }

  // --- Dispatching ---

  // Sends what the queue lets through, and answers what it drops.
  void Pump(Time now, Lane& lane) {
    if (lane.handover) lane.queue.Drain();
    lane.queue.Pause(!lane.handover && !this->MayDispatch(now, lane));
    QueueWork work = lane.queue.Poll(now);
    for (const QueueDrop& drop : work.drops) this->Drop(drop);
    for (uint64_t id : work.dispatch) this->Dispatch(now, lane, id);
  }

  void Drop(const QueueDrop& drop) {
    auto job = this->jobs.find(drop.id);
    if (job == this->jobs.end()) return;
    this->refused.Add();
    this->AnswerLater(drop.id, FailedSubReply(job->second.request, drop.error));
  }

  void Dispatch(Time now, Lane& lane, uint64_t id) {
    Job& job = this->jobs.at(id);
    this->dispatched.Add();
    job.request.budget_us = (job.deadline - now).count();
    ActiveSpan span = this->context.tracer.Begin(job.span.Context(), "target", UnixNanos());
    job.request.traceparent = span.Traceparent();
    // What `done` learns about the exchange, for `released`, which comes later.
    auto exchange = std::make_shared<Exchange>(Exchange{.kind = ExchangeKind::kCancelled});
    const std::string target = lane.record.target;
    const uint64_t incarnation = lane.record.incarnation;
    job.call = lane.client->Send(
        job.request,
        [weak = this->weak_from_this(), id, now, exchange,
         span = std::make_shared<ActiveSpan>(std::move(span))](wire::SubReplyT reply) {
          auto self = weak.lock();
          if (!self) return;
          *exchange = {KindOf(reply), SteadyNow() - now};
          self->OnReply(id, now, std::move(*span), std::move(reply));
        },
        [weak = this->weak_from_this(), id, target, incarnation, exchange] {
          if (auto self = weak.lock()) self->OnReleased(id, target, incarnation, *exchange);
        });
  }

  void OnReply(uint64_t id, Time dispatched_at, ActiveSpan span, wire::SubReplyT reply) {
    const std::optional<Error> error =
        reply.error < 0 ? std::nullopt
                        : std::optional(Error{static_cast<ErrorCode>(reply.error), reply.detail});
    this->context.tracer.End(std::move(span), UnixNanos(), error);
    auto job = this->jobs.find(id);
    if (job == this->jobs.end()) return;
    reply.queue_us = (dispatched_at - job->second.arrived).count();
    reply.service_us = (SteadyNow() - dispatched_at).count();
    this->Answer(id, std::move(reply));
  }

  void OnReleased(uint64_t id, const std::string& target, uint64_t incarnation,
                  const Exchange& exchange) {
    Lane* lane = this->FindLane(target);
    if (lane == nullptr || lane->record.incarnation != incarnation) return;
    const Time now = SteadyNow();
    lane->queue.OnDone(now, id, exchange);
    this->Pump(now, *lane);
    this->FinishHandover(target);
  }

  void Answer(uint64_t id, wire::SubReplyT reply) {
    auto job = this->jobs.find(id);
    if (job == this->jobs.end()) return;
    if (const Lane* lane = this->FindLane(job->second.request.target)) {
      reply.owner_in_flight = lane->queue.Load();
    }
    const std::optional<Error> error =
        reply.error < 0 ? std::nullopt
                        : std::optional(Error{static_cast<ErrorCode>(reply.error), reply.detail});
    this->context.tracer.End(std::move(job->second.span), UnixNanos(), error);
    Callback done = std::move(job->second.done);
    this->jobs.erase(job);
    done(std::move(reply));
  }

  // As Answer(), but from the event loop, because Run() and Cancel() must not call back.
  void AnswerLater(uint64_t id, wire::SubReplyT reply) {
    asio::post(this->context.io,
               [weak = this->weak_from_this(), id, reply = std::move(reply)]() mutable {
                 if (auto self = weak.lock()) self->Answer(id, std::move(reply));
               });
  }

  // --- Timer: ends of fences, warm-up steps and deadlines in queues ---

  void ArmTimer(Time now) {
    std::optional<Time> next = this->ownership.NextFenceEnd(now);
    for (const auto& [name, lane] : this->lanes) {
      const std::optional<Time> at = lane.queue.NextTimer(now);
      if (at && (!next || *at < *next)) next = at;
    }
    const Time at = std::min(next.value_or(now + kLongestTimer), now + kLongestTimer);
    this->timer.expires_at(std::max(at, now + kShortestTimer));
    this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self) self->Refresh(SteadyNow());
    });
  }

  static constexpr Duration kLongestTimer = Millis(100);
  static constexpr Duration kShortestTimer = Millis(1);

  OwnerContext context;
  Ownership ownership;
  asio::steady_timer timer;
  std::map<std::string, std::string> known;  // targets in `ownership` and their data centres
  std::map<std::string, Lane> lanes;
  std::set<std::string> restarted;  // targets whose next lane begins cold
  std::unordered_map<uint64_t, Job> jobs;
  uint64_t last_job = 0;
  Counter& dispatched;
  Counter& refused;
};

Owner::Owner(OwnerContext context, RouterIdentity self)
    : impl(std::make_shared<Impl>(context, std::move(self))) {}
Owner::~Owner() = default;

uint64_t Owner::Run(Time now, wire::SubRequestT request, Time deadline, Callback done) {
  return this->impl->Run(now, std::move(request), deadline, std::move(done));
}
void Owner::Cancel(Time now, uint64_t job) { this->impl->Cancel(now, job); }
void Owner::OnControlChange(Time now, const ControlChange& change) {
  this->impl->OnControlChange(now, change);
}
void Owner::OnRelease(Time now, const wire::ReleaseT& release) {
  this->impl->OnRelease(now, release);
}
const RouterRecord* Owner::OwnerOf(std::string_view target) const {
  return this->impl->OwnerOf(target);
}
bool Owner::Idle() const { return this->impl->Idle(); }

}  // namespace peridotgauge
