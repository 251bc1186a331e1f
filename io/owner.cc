// Each owned target has a channel: a queue of sub-requests and a connection pool.
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

// The id of a job that was refused immediately. Cancelling it has no effect.
constexpr uint64_t kNoJob = 0;

ExchangeKind ExchangeKindOf(const wire::SubReplyT& reply) {
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
    Channel* channel = this->FindChannel(request.target);
    if (channel != nullptr && this->IsEvacuated(channel->record)) {
      this->RefuseLater(request, {ErrorCode::kNoTarget, "the target's data centre is evacuated"},
                        std::move(done));
      return kNoJob;
    }
    if (channel == nullptr || !this->MayDispatch(now, *channel)) {
      this->RefuseLater(request, {ErrorCode::kNoTarget, "this router does not own the target"},
                        std::move(done));
      return kNoJob;
    }
    if (Result<void> pushed = channel->queue.Push(now, id, deadline); !pushed) {
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
    this->ProcessQueue(now, *channel);
    return id;
  }

  void Cancel(Time now, uint64_t id) {
    auto job = this->jobs.find(id);
    if (job == this->jobs.end()) return;
    Channel* channel = this->FindChannel(job->second.request.target);
    const std::optional<uint64_t> call = job->second.call;
    this->context.tracer.End(std::move(job->second.span), UnixNanos(),
                             Error{ErrorCode::kCancelled, ""});
    this->jobs.erase(job);
    if (channel == nullptr) return;
    // The slot of a running job is freed by `released`, once the target has closed the connection.
    if (channel->queue.Cancel(id) == CancelResult::kRunning && call) channel->client->Cancel(*call);
    this->ProcessQueue(now, *channel);
  }

  void OnControlChange(Time now, const ControlChange& change) {
    const uint64_t view_before = this->ownership.ViewIndex();
    if (change.routers) this->LearnView(now);
    // If the view changed while this router had no lease, it may have missed a change of owner. The
    // first view is exempt, because nothing precedes it.
    if (change.lease_acquired && view_before != 0 && view_before != this->ownership.ViewIndex()) {
      this->ownership.FenceOwnTargets(now);
    }
    if (change.directory || change.config) this->UpdateTargets();
    this->UpdateChannels(now);
  }

  void OnRelease(Time now, const wire::ReleaseT& release) {
    this->ownership.OnRelease(now, {release.view_index, release.from, release.targets});
    this->UpdateChannels(now);
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

  // The queue, connections and state of one target.
  struct Channel {
    TargetRecord record;
    TargetQueue queue;
    std::unique_ptr<TargetClient> client;  // absent while this router may not dispatch
    std::optional<Handover> handover;      // set once another router owns the target
  };

  Channel* FindChannel(const std::string& target) {
    auto channel = this->channels.find(target);
    return channel == this->channels.end() ? nullptr : &channel->second;
  }

  bool MayDispatch(Time now, const Channel& channel) const {
    return channel.client != nullptr && !channel.handover &&
           this->ownership.MayDispatch(now, this->context.control.CurrentLease().End(),
                                       channel.record.target);
  }

  // Returns true if the data centre of the record, or of the target's newest one, is evacuated.
  bool IsEvacuated(const TargetRecord& record) const {
    const std::vector<std::string>& evacuated = this->context.control.Evacuated();
    if (evacuated.empty()) return false;
    const auto listed = [&](const std::string& data_centre) {
      return std::find(evacuated.begin(), evacuated.end(), data_centre) != evacuated.end();
    };
    if (listed(record.data_centre)) return true;
    const TargetRecord* newest = this->context.control.Directory().Find(record.target);
    return newest != nullptr && listed(newest->data_centre);
  }

  void RefuseLater(const wire::SubRequestT& request, const Error& error, Callback done) {
    this->refused.Add();
    asio::post(this->context.io, [reply = FailedSubReply(request, error),
                                  done = std::move(done)]() mutable { done(std::move(reply)); });
  }

  // --- Control plane ---

  void LearnView(Time now) {
    RouterView view{.index = this->context.control.ViewIndex()};
    for (const auto& [id, router] : this->context.control.Routers()) view.routers.push_back(router);
    for (Handover& lost : this->ownership.LearnView(now, std::move(view))) {
      if (Channel* channel = this->FindChannel(lost.target)) channel->handover = std::move(lost);
    }
  }

  // Updates `ownership` with the targets of the directory, and removes all others.
  void UpdateTargets() {
    const Time now = SteadyNow();
    const auto& targets = this->context.control.Directory().Targets();
    for (const auto& [name, record] : targets) {
      auto known = this->data_centres.find(name);
      if (known != this->data_centres.end() && known->second == record.data_centre) continue;
      this->data_centres[name] = record.data_centre;
      this->ownership.UpsertTarget(now, name, record.data_centre);
    }
    std::erase_if(this->data_centres, [&](const auto& entry) {
      if (targets.contains(entry.first)) return false;
      this->ownership.RemoveTarget(entry.first);
      return true;
    });
  }

  // Opens, updates and closes channels according to ownership, fences and the directory.
  void UpdateChannels(Time now) {
    for (const std::string& target : this->ownership.OwnedTargets()) {
      this->UpdateOwnedChannel(now, target);
    }
    std::vector<std::string> names;
    for (const auto& [name, channel] : this->channels) names.push_back(name);
    for (const std::string& name : names) {
      Channel* channel = this->FindChannel(name);
      if (channel == nullptr) continue;
      if (!this->data_centres.contains(name)) channel->queue.Drain();
      this->ProcessQueue(now, *channel);
      this->FinishHandover(name);
    }
    this->ArmTimer(now);
  }

  void UpdateOwnedChannel(Time now, const std::string& target) {
    const TargetRecord* record = this->context.control.Directory().Find(target);
    if (record == nullptr || !this->MayDispatchTo(now, target)) return;
    Channel* channel = this->FindChannel(target);
    if (channel == nullptr || channel->record.address != record->address ||
        channel->record.incarnation != record->incarnation || channel->handover) {
      // The process of the earlier incarnation has ended, so its exchanges fail.
      if (channel != nullptr) this->CloseChannel(target, "target restarted or changed address");
      channel = &this->OpenChannel(now, *record);
    }
    this->ApplyLimits(*channel, *record);
  }

  bool MayDispatchTo(Time now, const std::string& target) const {
    return this->ownership.MayDispatch(now, this->context.control.CurrentLease().End(), target);
  }

  Channel& OpenChannel(Time now, const TargetRecord& record) {
    const bool cold =
        record.state == TargetState::kStarting || this->cold_targets.contains(record.target);
    this->cold_targets.erase(record.target);
    const QueueOptions options{.slots = std::max(1U, record.slots),
                               .connections = std::max(1U, record.connections),
                               .cold = cold,
                               .adaptive_limit = this->context.settings.adaptive_limit};
    auto [channel, added] = this->channels.emplace(
        record.target, Channel{record, TargetQueue(now, options), nullptr, {}});
    channel->second.client = std::make_unique<TargetClient>(
        this->context.io, record.address,
        HttpClientOptions{.max_connections = options.connections,
                          .min_connections = channel->second.queue.WarmConnections()},
        this->context.response_bytes);
    return channel->second;
  }

  // Sets the limits of the channel: those that the target registered, capped by those that the
  // configuration has for its fleet.
  void ApplyLimits(Channel& channel, const TargetRecord& record) {
    uint32_t slots = std::max(1U, record.slots);
    uint32_t connections = std::max(1U, record.connections);
    const auto config = this->context.control.CurrentConfig();
    if (const Service* service = config->FindService(record.service)) {
      if (const Fleet* fleet = config->FindFleet(service->fleet)) {
        slots = std::min(slots, fleet->slots);
        connections = std::min(connections, fleet->connections);
      }
    }
    channel.record = record;
    channel.queue.SetLimits(slots, connections);
    channel.client->SetOptions(
        {.max_connections = connections, .min_connections = channel.queue.WarmConnections()});
    if (record.state == TargetState::kDraining || this->IsEvacuated(record)) {
      channel.queue.Drain();
    } else {
      channel.queue.Resume();
    }
  }

  // Removes the channel and fails all of its jobs.
  void CloseChannel(const std::string& target, const std::string& reason) {
    std::vector<uint64_t> ids;
    for (const auto& [id, job] : this->jobs) {
      if (job.request.target == target) ids.push_back(id);
    }
    this->cold_targets.insert(target);
    this->EraseChannel(target);
    for (uint64_t id : ids) {
      const bool sent = this->jobs.at(id).call.has_value();
      const ErrorCode code = sent ? ErrorCode::kConnectionLost : ErrorCode::kNoTarget;
      wire::SubReplyT reply = FailedSubReply(this->jobs.at(id).request, Error{code, reason});
      // One of the requests in flight may have crashed the process.
      reply.crashed = sent;
      this->Answer(id, std::move(reply));
    }
  }

  // Removes the channel. Its client is destroyed later, from the event loop, because this function
  // may run inside one of the client's callbacks.
  void EraseChannel(const std::string& target) {
    auto channel = this->channels.extract(target);
    if (channel.empty()) return;
    asio::post(this->context.io,
               [client = std::shared_ptr<TargetClient>(std::move(channel.mapped().client))] {});
  }

  // Once nothing is in flight, closes the connections and sends a Release to the new owner.
  void FinishHandover(const std::string& target) {
    Channel* channel = this->FindChannel(target);
    if (channel == nullptr || channel->queue.InFlight() > 0 || channel->queue.Queued() > 0) return;
    const bool gone = !this->data_centres.contains(target);
    if (!channel->handover && !gone) return;
    const std::optional<Handover> handover = std::move(channel->handover);
    this->EraseChannel(target);
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

  // Dispatches the jobs that the queue admits, and answers those that it drops.
  void ProcessQueue(Time now, Channel& channel) {
    // Nothing that waits is dispatched after this router has learned of an evacuation.
    if (channel.handover || this->IsEvacuated(channel.record)) channel.queue.Drain();
    channel.queue.SetPaused(!channel.handover && !this->MayDispatch(now, channel));
    QueueWork work = channel.queue.Poll(now);
    for (const QueueDrop& drop : work.drops) this->RefuseDropped(drop);
    for (uint64_t id : work.dispatch) this->Dispatch(now, channel, id);
  }

  void RefuseDropped(const QueueDrop& drop) {
    auto job = this->jobs.find(drop.id);
    if (job == this->jobs.end()) return;
    this->refused.Add();
    this->AnswerLater(drop.id, FailedSubReply(job->second.request, drop.error));
  }

  void Dispatch(Time now, Channel& channel, uint64_t id) {
    Job& job = this->jobs.at(id);
    this->dispatched.Add();
    job.request.budget_us = (job.deadline - now).count();
    ActiveSpan span = this->context.tracer.Begin(job.span.Context(), "target", UnixNanos());
    job.request.traceparent = span.Traceparent();
    // The result of the exchange, set by `done` and read by `released`, which is called later.
    auto exchange = std::make_shared<Exchange>(Exchange{.kind = ExchangeKind::kCancelled});
    const std::string target = channel.record.target;
    const uint64_t incarnation = channel.record.incarnation;
    job.call = channel.client->Send(
        job.request,
        [weak = this->weak_from_this(), id, now, exchange,
         span = std::make_shared<ActiveSpan>(std::move(span))](wire::SubReplyT reply) {
          auto self = weak.lock();
          if (!self) return;
          *exchange = {ExchangeKindOf(reply), SteadyNow() - now};
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
    Channel* channel = this->FindChannel(target);
    if (channel == nullptr || channel->record.incarnation != incarnation) return;
    const Time now = SteadyNow();
    channel->queue.OnDone(now, id, exchange);
    this->ProcessQueue(now, *channel);
    this->FinishHandover(target);
  }

  void Answer(uint64_t id, wire::SubReplyT reply) {
    auto job = this->jobs.find(id);
    if (job == this->jobs.end()) return;
    if (const Channel* channel = this->FindChannel(job->second.request.target)) {
      reply.owner_in_flight = channel->queue.Load();
    }
    const std::optional<Error> error =
        reply.error < 0 ? std::nullopt
                        : std::optional(Error{static_cast<ErrorCode>(reply.error), reply.detail});
    this->context.tracer.End(std::move(job->second.span), UnixNanos(), error);
    Callback done = std::move(job->second.done);
    this->jobs.erase(job);
    done(std::move(reply));
  }

  // Calls Answer() from the event loop, because Run() and Cancel() must not invoke callbacks.
  void AnswerLater(uint64_t id, wire::SubReplyT reply) {
    asio::post(this->context.io,
               [weak = this->weak_from_this(), id, reply = std::move(reply)]() mutable {
                 if (auto self = weak.lock()) self->Answer(id, std::move(reply));
               });
  }

  // --- Timer for the ends of fences, warm-up steps and deadlines of queued jobs ---

  void ArmTimer(Time now) {
    std::optional<Time> next = this->ownership.NextFenceEnd(now);
    for (const auto& [name, channel] : this->channels) {
      const std::optional<Time> at = channel.queue.NextTimer(now);
      if (at && (!next || *at < *next)) next = at;
    }
    const Time at = std::min(next.value_or(now + kMaxTimerInterval), now + kMaxTimerInterval);
    this->timer.expires_at(std::max(at, now + kMinTimerInterval));
    this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self) self->UpdateChannels(SteadyNow());
    });
  }

  static constexpr Duration kMaxTimerInterval = Millis(100);
  static constexpr Duration kMinTimerInterval = Millis(1);

  OwnerContext context;
  Ownership ownership;
  asio::steady_timer timer;
  std::map<std::string, std::string> data_centres;  // data centres of the targets in `ownership`
  std::map<std::string, Channel> channels;
  std::set<std::string> cold_targets;  // targets whose next channel begins cold
  std::unordered_map<uint64_t, Job> jobs;
  uint64_t last_job = 0;
  Counter& dispatched;
  Counter& refused;
};

Owner::Owner(OwnerContext context, RouterIdentity self)
    : impl(std::make_shared<Impl>(std::move(context), std::move(self))) {}
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
