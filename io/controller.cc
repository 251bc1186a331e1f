// Implements the long polls, commands and reads of the controller role.
#include "io/controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "core/config.h"
#include "core/router_offer.h"
#include "io/clock.h"
#include "io/control_events.h"
#include "io/control_replies.h"
#include "io/directory_feed.h"
#include "io/leader_relay.h"
#include "io/proposals.h"
#include "io/quorum_round.h"
#include "io/quota_service.h"
#include "state/commands.h"
#include "state/config_feed.h"
#include "state/control_report.h"
#include "state/debt_table.h"
#include "state/directory.h"
#include "state/directory_ack_tracker.h"
#include "state/push_pacing.h"
#include "state/session.h"
#include "state/target_heartbeat_handler.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// Interval of the expiry checks of sessions and registrations, which need no finer resolution.
constexpr Duration kExpiryCheckInterval = Millis(100);
// A reply with a larger configuration text leaves out the directory update, so that it stays below
// the frame size limit.
constexpr size_t kLargeConfigBytes = 256 << 10;
// Maximum time to spend on poll replies before yielding to the event loop. Sending the full
// directory to many routers takes longer than the election timeout, and raft heartbeats must be
// sent meanwhile.
constexpr Duration kMaxReplyBatchTime = Millis(10);

// Longest window of limits on extra attempts that the leader remembers debts for.
constexpr uint32_t kMaxDebtWindowMs = 600'000;

}  // namespace

class Controller::Impl : public std::enable_shared_from_this<Controller::Impl> {
 public:
  Impl(asio::io_context& io, ControllerOptions options, ReplicatedLog& log, ControlState& state)
      : io(io),
        options(std::move(options)),
        log(log),
        state(state),
        timer(io),
        heartbeat_handler(this->options.id, this->options.registration_lease, this->directory),
        rounds(std::make_shared<QuorumRounds>(io, log)),
        quotas(std::make_shared<QuotaService>(
            io,
            QuotaServiceContext{this->options.id, this->options.quota, this->options.parse_config,
                                log, state, *this->rounds, this->options.callers_use_all_routers})),
        proposals(std::make_shared<Proposals>(io, log, state)),
        relay(io, this->options.id, this->options.controllers, this->options.peer_port),
        events(this->options.events) {}

  void Start() {
    this->directory.SetDepartures(&this->state.Departures());
    this->state.SetObserver([weak = this->weak_from_this()] {
      if (auto self = weak.lock()) self->ScheduleDueCheck();
    });
    this->OnTimer();
  }

  void Stop() {
    if (std::exchange(this->stopped, true)) return;
    this->timer.cancel();
    this->state.SetObserver(nullptr);
    this->FailPolls(ErrorCode::kDraining, "the controller is shutting down");
    this->ack_tracker.FailWaiters(DirectoryAck::kStopping);
    this->relay.Stop();
    this->quotas->Stop();
  }

  void Handle(wire::BodyUnion body, const Responder& responder) {
    if (this->stopped) return Refuse(body, {ErrorCode::kDraining, ""}, "", responder);
    this->CheckLeadership();
    if (auto* sync = body.AsSyncRequest()) {
      if (!this->Leading() && sync->relay) {
        return this->relay.Forward(this->log.Leader(), std::move(*sync),
                                   SteadyNow() + kMaxPollHold + kQuorumTimeout, responder.reply);
      }
    }
    if (auto* quota = body.AsQuotaRequest()) {
      // The router may not reach the leader itself.
      if (!this->Leading() && !quota->relayed) {
        return this->relay.Forward(this->log.Leader(), std::move(*quota),
                                   SteadyNow() + kQuorumTimeout, responder.reply);
      }
    }
    if (!this->Leading()) {
      return Refuse(body, {ErrorCode::kNotLeader, ""}, this->log.Leader(), responder);
    }
    if (auto* sync = body.AsSyncRequest()) return this->OnSync(std::move(*sync), responder);
    if (auto* command = body.AsCommandRequest()) return this->OnCommand(*command, responder);
    if (auto* heartbeat = body.AsRegisterRequest()) return this->OnRegister(*heartbeat, responder);
    if (const auto* quota = body.AsQuotaRequest()) {
      return this->quotas->Handle(SteadyNow(), *quota, responder.reply);
    }
    if (const auto* read = body.AsReadRequest()) this->OnRead(*read, responder);
  }

  void CheckLeadership() {
    this->quotas->CheckLeadership(SteadyNow());
    const bool leading = this->log.Leading();
    const uint64_t term = leading ? this->log.Term() : 0;
    if (term == this->leader_term) return;
    this->leader_term = term;
    this->FailPolls(ErrorCode::kNotLeader, "leadership changed while the request was held");
    this->ack_tracker.FailWaiters(DirectoryAck::kLeadershipLost);
    this->pending_joins.clear();
    this->departed.clear();
    this->events.LeadershipChanged(leading, this->log.Term());
    if (!leading) return;
    LOG(INFO) << "controller: became leader in term " << term;
    const Time now = SteadyNow();
    this->sessions.Reset(now);
    this->sessions.Tick(now, this->state.Routers());
    this->last_directory_push.clear();
    this->last_quarantine_push.clear();
    this->last_evacuations_push.clear();
    this->ack_tracker.Reset();
    this->departures_since.clear();
    this->config_pacer.Reset();
    this->loads.clear();
    this->debts.Reset(now);
    this->offer_policy.Reset(now);
    this->offer_pending = false;
    this->PublishConfig(now);
    this->heartbeat_handler.StartTerm(now, term);
    this->directory_feed.Reset();
    this->directory_pacer.Reset();
  }

 private:
  // A held SyncRequest.
  struct Poll {
    RouterRecord router;
    uint64_t state_index = 0;
    bool router_deltas = false;
    bool compact = false;
    bool packed_directory = false;
    uint64_t config_revision = 0;
    uint64_t config_digest = 0;
    uint64_t quarantine_index = 0;
    uint64_t evacuations_index = 0;
    uint64_t directory_epoch = 0;
    uint64_t directory_version = 0;
    std::vector<TargetRecord> registrations;
    bool full_registrations = false;
    Time hold_until;
    Responder responder;
    bool confirmed = false;   // a quorum round begun after the arrival has succeeded
    bool queued = false;      // in `due_polls`
    bool superseded = false;  // the router has sent a newer request, so this one is not held

    RouterId Id() const { return {this->router.id, this->router.incarnation}; }
  };

  bool Leading() const { return this->leader_term != 0; }

  static void Refuse(const wire::BodyUnion& body, const Error& error, const std::string& leader,
                     const Responder& responder) {
    if (const auto refusal = MakeErrorReply(body.type, error, leader)) responder.reply(*refusal);
  }

  // Wraps `function` so that it does nothing if the term of leadership has changed by the time it
  // is called.
  template <typename Function>
  auto IfTermUnchanged(Function function) {
    return this->IfTermUnchangedOr(std::move(function), [] {});
  }

  // As above, but calls `otherwise` in place of `function` if the term has changed.
  template <typename Function, typename Otherwise>
  auto IfTermUnchangedOr(Function function, Otherwise otherwise) {
    return [weak = this->weak_from_this(), term = this->leader_term, function = std::move(function),
            otherwise = std::move(otherwise)](auto&&... arguments) {
      auto self = weak.lock();
      if (!self || self->stopped) return otherwise();
      self->CheckLeadership();
      if (self->leader_term != term) return otherwise();
      function(*self, arguments...);
    };
  }

  // --- Sync requests ---

  void OnSync(wire::SyncRequestT request, const Responder& responder) {
    if (!request.router || request.router->id.empty() || request.router->incarnation == 0) {
      return responder.reply(MakeSyncError(
          ErrorCode::kBadRequest, "SyncRequest without a router id or with incarnation 0", ""));
    }
    const Time now = SteadyNow();
    Poll poll{.router = FromWire(*request.router),
              .state_index = request.state_index,
              .router_deltas = request.router_deltas,
              .compact = request.compact,
              .packed_directory = request.packed_directory,
              .config_revision = request.config_revision,
              .config_digest = request.config_digest,
              .quarantine_index = request.quarantine_index,
              .evacuations_index = request.evacuations_index,
              .directory_epoch = request.directory_epoch,
              .directory_version = request.directory_version,
              .full_registrations = request.full_registrations,
              .hold_until = now + PollHold(this->RouterCount(), Millis(request.wait_ms)),
              .responder = responder};
    const auto departure = this->departed.find(poll.router.id);
    if (departure != this->departed.end() && poll.router.incarnation <= departure->second) {
      return responder.reply(MakeSyncError(ErrorCode::kDraining, "the router has left", ""));
    }
    const auto member_record = this->state.Routers().find(poll.router.id);
    if (member_record != this->state.Routers().end() &&
        member_record->second.incarnation > poll.router.incarnation) {
      return responder.reply(
          MakeSyncError(ErrorCode::kConflict, "a newer incarnation of the router has joined", ""));
    }
    for (const auto& record : request.registrations) {
      if (record) poll.registrations.push_back(FromWire(*record));
    }
    this->sessions.Renew(now, poll.Id(), poll.state_index);
    this->quotas->RecordContact(now, poll.router.id);
    if (request.processor_share > 0 && request.load >= 0) {
      this->loads[poll.router.id] = {.sub_requests_per_s = request.load,
                                     .processor_share = request.processor_share};
    }
    if (request.extra_window_ms > 0) {
      this->debts.Report(now, poll.Id(),
                         {.debts = FromWire(request.extra_debts),
                          .complete = request.extra_history,
                          .window = Millis(std::min(request.extra_window_ms, kMaxDebtWindowMs))});
    }
    const bool same_epoch = poll.directory_epoch == this->directory.Epoch();
    this->ack_tracker.RecordVersion(poll.router.id, same_epoch ? poll.directory_version : 0);
    this->AcknowledgeDepartures(now);
    const uint64_t id = ++this->last_poll_id;
    this->SupersedeOlderPolls(now, poll.router.id);
    this->polls_by_router[poll.router.id].insert(id);
    this->polls.emplace(id, std::move(poll));
    this->Admit(id);
  }

  // Replies to the router's earlier polls without waiting for a change. Otherwise a router that
  // sends a new request for each of many local changes would not have its lease renewed in time.
  void SupersedeOlderPolls(Time now, const std::string& router) {
    for (const uint64_t id : this->PollsOf(router)) {
      this->polls.at(id).superseded = true;
      this->ReplyIfDue(now, id);
    }
  }

  // Returns a copy, because replies remove polls.
  std::vector<uint64_t> PollsOf(const std::string& router) const {
    const auto found = this->polls_by_router.find(router);
    if (found == this->polls_by_router.end()) return {};
    return {found->second.begin(), found->second.end()};
  }

  // Removes the poll and returns it.
  Poll TakePoll(std::map<uint64_t, Poll>::iterator found) {
    const auto ids = this->polls_by_router.find(found->second.router.id);
    ids->second.erase(found->first);
    if (ids->second.empty()) this->polls_by_router.erase(ids);
    return std::move(this->polls.extract(found).mapped());
  }

  size_t RouterCount() const { return this->sessions.Sessions().size(); }

  // Advances a new poll: waits if the router is being removed, proposes its join if it is not in
  // the view, and otherwise merges its registrations and starts a quorum round.
  void Admit(uint64_t id) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end()) return;
    Poll& poll = found->second;
    if (this->sessions.IsRemovalPending(poll.Id())) return;  // resumed by OnLeft()
    if (!this->state.IsMember(poll.router.id, poll.router.incarnation)) {
      return this->ProposeJoin(poll.router);
    }
    const Time now = SteadyNow();
    const std::vector<TargetRecord> registrations = std::exchange(poll.registrations, {});
    const bool changed =
        this->directory.Merge(now, poll.router.id, registrations, poll.full_registrations);
    poll.full_registrations = false;
    if (changed) this->ScheduleDueCheck();
    this->RecordReportedDepartures(registrations);
    this->rounds->Confirm(this->IfTermUnchanged(
        [id](Impl& self, const Result<uint64_t>& confirmed) { self.OnConfirmed(id, confirmed); }));
  }

  void OnConfirmed(uint64_t id, const Result<uint64_t>& confirmed) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end()) return;
    Poll& poll = found->second;
    if (!confirmed) {
      return this->Finish(
          id, MakeSyncError(confirmed.error().code, confirmed.error().detail, this->log.Leader()));
    }
    // The state includes everything that was committed before the round.
    if (this->state.Revision() == 0) this->debts.DeclareNothingGranted();
    const bool member = this->state.IsMember(poll.router.id, poll.router.incarnation);
    if (!member || this->sessions.IsRemovalPending(poll.Id())) return this->Admit(id);
    poll.confirmed = true;
    if (this->IsDue(SteadyNow(), poll)) this->Enqueue(id, poll);
  }

  void ProposeJoin(const RouterRecord& router) {
    if (!this->pending_joins.insert(router.id).second) return;
    this->events.RouterJoining(router);
    wire::JoinT command;
    command.router = ToWire(router);
    this->proposals->Propose(
        ToCommand(std::move(command)),
        this->IfTermUnchanged([id = router.id](Impl& self, const wire::BodyUnion& answer) {
          self.OnJoined(id, *answer.AsCommandReply());
        }));
  }

  void OnJoined(const std::string& router, const wire::CommandReplyT& reply) {
    this->pending_joins.erase(router);
    this->sessions.Tick(SteadyNow(), this->state.Routers());
    for (const uint64_t id : this->PollsOf(router)) {
      const Poll& poll = this->polls.at(id);
      if (poll.confirmed) continue;
      if (reply.error < 0) {
        this->Admit(id);
      } else if (!this->state.IsMember(router, poll.router.incarnation)) {
        this->Finish(id, MakeSyncError(static_cast<ErrorCode>(reply.error), reply.detail, ""));
      }
    }
  }

  bool HasDirectoryUpdate(Time now, const Poll& poll) const {
    if (poll.directory_epoch != this->directory.Epoch()) return true;
    if (poll.packed_directory) return poll.directory_version < this->directory_feed.Version();
    if (poll.directory_version == this->directory.Version()) return false;
    const auto last_push = this->last_directory_push.find(poll.router.id);
    return last_push == this->last_directory_push.end() ||
           now - last_push->second >= PushInterval(this->RouterCount());
  }

  // Returns true if the router lacks a part of the replicated state that it needs. A compact poll
  // does not wait for changes of the router list, and gets revisions in rounds.
  bool HasStateUpdate(const Poll& poll) const {
    if (!poll.compact) return poll.state_index != this->state.Version();
    return poll.state_index == 0 || poll.state_index < this->config_feed.ConfigIndex();
  }

  // Returns true if a compact poll lacks a change of the list of requests that crash targets, and
  // the last one was sent long enough ago. Other polls get the list with the replicated state.
  bool HasQuarantineUpdate(Time now, const Poll& poll) const {
    if (!poll.compact || poll.quarantine_index >= this->state.QuarantineIndex()) return false;
    const auto last_push = this->last_quarantine_push.find(poll.router.id);
    return last_push == this->last_quarantine_push.end() ||
           now - last_push->second >= PushInterval(this->RouterCount());
  }

  // Returns true if the router lacks a change of the list of evacuated data centres. A change is
  // sent at once. The same list is sent again only after an interval, because routers of an earlier
  // version never acknowledge it.
  bool HasEvacuationsUpdate(Time now, const Poll& poll) const {
    if (poll.evacuations_index >= this->state.EvacuationsIndex()) return false;
    const auto last_push = this->last_evacuations_push.find(poll.router.id);
    return last_push == this->last_evacuations_push.end() ||
           last_push->second.index != this->state.EvacuationsIndex() ||
           now - last_push->second.sent >= PushInterval(this->RouterCount());
  }

  // Publishes the current configuration to compact polls if the last round began long enough ago.
  void PublishConfig(Time now) {
    if (this->config_feed.ConfigIndex() != this->state.ConfigIndex() &&
        this->config_pacer.TryStart(now, this->RouterCount())) {
      this->config_feed.Publish(this->state.Revision(), this->state.ConfigIndex(),
                                this->state.ConfigText());
    }
    if (this->config_feed.ConfigIndex() == this->state.ConfigIndex()) {
      this->published_version = this->state.Version();
    }
  }

  bool IsDue(Time now, const Poll& poll) const {
    return poll.confirmed &&
           (poll.superseded || now >= poll.hold_until || this->HasStateUpdate(poll) ||
            this->HasDirectoryUpdate(now, poll) || this->HasQuarantineUpdate(now, poll) ||
            this->HasEvacuationsUpdate(now, poll) ||
            !this->directory.HasFullListFrom(poll.router.id));
  }

  void ReplyIfDue(Time now, uint64_t id) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end() || !this->IsDue(now, found->second)) return;
    const Poll& poll = found->second;
    // The view may have changed while the poll was held.
    if (!this->state.IsMember(poll.router.id, poll.router.incarnation)) {
      return this->Finish(id, MakeSyncError(ErrorCode::kNotSynchronized,
                                            "the router was removed from the view", ""));
    }
    this->Finish(id, ToBody(this->BuildReply(now, poll)));
  }

  wire::SyncReplyT BuildReply(Time now, const Poll& poll) {
    wire::SyncReplyT reply = poll.compact
                                 ? this->BuildCompactReply(now, poll)
                                 : MakeSyncReply(this->state, poll.state_index, poll.router_deltas);
    reply.leader = this->options.id;
    reply.controllers = this->log.Status().members;
    reply.max_wait_ms = static_cast<uint32_t>(WholeMillis(MaxPollHold(this->RouterCount())));
    if (poll.state_index == 0) {
      const std::optional<ExtraDebts> inherited = this->debts.InheritedBy(now, poll.Id());
      reply.extra_history = inherited.has_value();
      if (inherited) reply.inherited_debts = ToWire(*inherited);
    }
    reply.resend_registrations = !this->directory.HasFullListFrom(poll.router.id);
    if (poll.evacuations_index < this->state.EvacuationsIndex()) {
      this->last_evacuations_push[poll.router.id] = {this->state.EvacuationsIndex(), now};
    }
    AddEvacuations(this->state, poll.evacuations_index, reply);
    const size_t config_bytes = reply.config_text.size() + reply.config_package.size();
    if (config_bytes <= kLargeConfigBytes) this->AddDirectory(now, poll, reply);
    return reply;
  }

  wire::SyncReplyT BuildCompactReply(Time now, const Poll& poll) {
    // An earlier leader has published more to this router than this one yet has.
    if (poll.state_index > this->published_version) this->config_pacer.Reset();
    this->PublishConfig(now);
    wire::SyncReplyT reply =
        MakeCompactSyncReply(this->state, this->published_version, this->config_feed.Revision());
    if (poll.quarantine_index < this->state.QuarantineIndex()) {
      AddQuarantine(this->state, reply);
      this->last_quarantine_push[poll.router.id] = now;
    }
    if (poll.state_index < this->config_feed.ConfigIndex()) {
      AddConfigPackage(this->config_feed.PackageFor(poll.config_revision, poll.config_digest),
                       reply);
    }
    return reply;
  }

  // Publishes the changes of the directory to polls that read packages if the last round began
  // long enough ago.
  void PublishDirectory(Time now) {
    if (this->directory_feed.Version() != this->directory.Version() &&
        this->directory_pacer.TryStart(now, this->RouterCount())) {
      this->directory_feed.Publish(this->directory);
    }
  }

  void AddDirectory(Time now, const Poll& poll, wire::SyncReplyT& reply) {
    if (poll.packed_directory) {
      const auto update = this->directory_feed.UpdateFor(this->directory, poll.directory_epoch,
                                                         poll.directory_version);
      if (update) return AddDirectoryUpdate(this->directory, *update, reply);
    }
    const DirectoryDelta delta =
        this->directory.DeltaSince(poll.directory_epoch, poll.directory_version);
    AddDirectoryDelta(delta, reply);
    if (poll.directory_version != delta.version) this->last_directory_push[poll.router.id] = now;
  }

  void Finish(uint64_t id, const wire::BodyUnion& body) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end()) return;
    this->TakePoll(found).responder.reply(body);
  }

  void FailPolls(ErrorCode code, const std::string& detail) {
    const std::map<uint64_t, Poll> failed = std::exchange(this->polls, {});
    this->polls_by_router.clear();
    for (const auto& [id, poll] : failed) {
      poll.responder.reply(MakeSyncError(code, detail, this->log.Leader()));
    }
  }

  // --- Commands and reads ---

  void OnCommand(wire::CommandRequestT& request, const Responder& responder) {
    if (auto* config = request.body.AsApplyConfig()) {
      const Result<void> prepared =
          PrepareConfig(this->options.parse_config, this->options.highest_revision_wins, *config);
      if (!prepared) {
        this->events.ConfigRefused(prepared.error());
        return responder.reply(MakeCommandError(prepared.error(), ""));
      }
      return this->OnConfig(std::move(request.body), config->revision, responder);
    }
    if (const auto* change = request.body.AsChangeMembers()) {
      return this->ChangeMembers(*change, responder);
    }
    if (const auto* evacuation = request.body.AsSetEvacuation()) {
      return this->OnEvacuation(*evacuation, responder);
    }
    if (const auto* leave = request.body.AsLeave()) {
      if (leave->clean) this->OnCleanLeave({leave->id, leave->incarnation});
    }
    this->proposals->Propose(std::move(request.body), [responder](const wire::BodyUnion& answer) {
      responder.reply(answer);
    });
  }

  void OnConfig(wire::CommandBodyUnion body, uint64_t revision, const Responder& responder) {
    this->proposals->Propose(std::move(body), [weak = this->weak_from_this(), revision,
                                               responder](const wire::BodyUnion& answer) {
      if (const auto self = weak.lock()) {
        const wire::CommandReplyT& reply = *answer.AsCommandReply();
        // Routers receive the revision only after this callback.
        if (reply.first_revision) self->debts.DeclareNothingGranted();
        self->events.ConfigDecided(revision, reply);
      }
      responder.reply(answer);
    });
  }

  // Replies as soon as the command is committed. Routers in contact get the list with their next
  // reply, from any leader, so that they need not be waited for.
  void OnEvacuation(const wire::SetEvacuationT& command, const Responder& responder) {
    this->proposals->Propose(ToCommand(command), [weak = this->weak_from_this(), command,
                                                  responder](const wire::BodyUnion& answer) {
      const auto self = weak.lock();
      if (self) self->events.EvacuationDecided(command, *answer.AsCommandReply());
      responder.reply(answer);
    });
  }

  // Records the departure, so that requests of the router that are still in flight do not make it
  // join again.
  void OnCleanLeave(const RouterId& router) {
    uint64_t& last = this->departed[router.id];
    last = std::max(last, router.incarnation);
    this->quotas->ForgetRouter(router.id);
    for (const uint64_t id : this->PollsOf(router.id)) {
      if (this->polls.at(id).router.incarnation > router.incarnation) continue;
      this->Finish(id, MakeSyncError(ErrorCode::kDraining, "the router has left", ""));
    }
  }

  void ChangeMembers(const wire::ChangeMembersT& change, const Responder& responder) {
    this->log.ChangeMember({.id = change.id, .peer_address = change.address}, change.incarnation,
                           change.remove, SteadyNow() + kProposalTimeout,
                           [responder](const Result<Applied>& applied) {
                             if (!applied) {
                               return responder.reply(MakeCommandError(applied.error(), ""));
                             }
                             wire::CommandReplyT reply;
                             reply.index = applied->index;
                             responder.reply(ToBody(std::move(reply)));
                           });
  }

  void OnRead(const wire::ReadRequestT& request, const Responder& responder) {
    this->rounds->Confirm([weak = this->weak_from_this(), kind = request.kind,
                           revision = request.revision,
                           responder](const Result<uint64_t>& confirmed) {
      auto self = weak.lock();
      if (!self) return;
      self->CheckLeadership();
      if (!confirmed) {
        return responder.reply(
            MakeReadReply(tl::unexpected(confirmed.error()), self->log.Leader()));
      }
      if (!self->Leading()) {
        return responder.reply(MakeReadReply(Fail(ErrorCode::kNotLeader), self->log.Leader()));
      }
      responder.reply(MakeReadReply(BuildReport(kind, revision, SteadyNow(),
                                                {ToLogStatus(self->log.Status()), self->state,
                                                 self->sessions, self->directory}),
                                    self->options.id));
    });
  }

  // --- Targets that register with controllers ---

  Result<HeartbeatResult> HandleHeartbeat(Time now, const TargetRecord& record, bool remove) {
    const bool unknown = remove && !this->directory.LastRecord(record.target);
    if (unknown &&
        this->state.Departures().UnknownCount(this->state.LogTime()) >= kMaxUnknownDepartures) {
      return Fail(ErrorCode::kOverloaded, "too many removals of unknown targets");
    }
    return this->heartbeat_handler.Handle(now, record, remove);
  }

  // Handles a heartbeat and logs the outcome.
  Result<HeartbeatResult> AcceptHeartbeat(Time now, const TargetRecord& record, bool remove) {
    Result<HeartbeatResult> accepted = this->HandleHeartbeat(now, record, remove);
    if (!accepted) {
      this->events.HeartbeatRefused(record, accepted.error());
      return accepted;
    }
    if (accepted->directory_changed) {
      const uint64_t version = this->directory.Version();
      remove ? this->events.TargetRemoved(record, version)
             : this->events.TargetRegistered(record, version);
      this->ScheduleDueCheck();
    }
    if (accepted->stale) this->events.HeartbeatStale(record);
    if (!accepted->leaving && !accepted->stale) this->departures_since.erase(record.target);
    return accepted;
  }

  // Handles one of several heartbeats in a message and returns its error, or -1. Departures are not
  // accepted, as their acknowledgement takes longer.
  int8_t OnHeartbeatOfBatch(Time now, const wire::TargetRecordT* target) {
    if (target == nullptr) return static_cast<int8_t>(ErrorCode::kBadRequest);
    const TargetRecord record = FromWire(*target);
    if (record.state != TargetState::kServing) return static_cast<int8_t>(ErrorCode::kBadRequest);
    const Result<HeartbeatResult> accepted = this->AcceptHeartbeat(now, record, /*remove=*/false);
    return accepted ? int8_t{-1} : static_cast<int8_t>(accepted.error().code);
  }

  void OnRegister(const wire::RegisterRequestT& request, const Responder& responder) {
    if (!request.target) return responder.reply(MakeCommandError({ErrorCode::kBadRequest, ""}, ""));
    const Time now = SteadyNow();
    if (!request.more.empty()) {
      wire::CommandReplyT reply;
      reply.error = this->OnHeartbeatOfBatch(now, request.target.get());
      for (const auto& target : request.more) {
        reply.more_errors.push_back(this->OnHeartbeatOfBatch(now, target.get()));
      }
      reply.registered_targets = static_cast<uint32_t>(this->heartbeat_handler.Targets());
      return responder.reply(ToBody(std::move(reply)));
    }
    const TargetRecord record = FromWire(*request.target);
    const Result<HeartbeatResult> accepted = this->AcceptHeartbeat(now, record, request.remove);
    if (!accepted) return responder.reply(MakeCommandError(accepted.error(), ""));
    if (!accepted->leaving) {
      wire::CommandReplyT reply;
      reply.registered_targets = static_cast<uint32_t>(this->heartbeat_handler.Targets());
      return responder.reply(ToBody(std::move(reply)));
    }
    const Time since = this->departures_since.try_emplace(record.target, now).first->second;
    const auto departure = this->directory.LastDeparture(record.target);
    if (!departure || this->state.Departures().Covers(*departure)) {
      return this->AwaitDeparture(now, since, record.target, responder);
    }
    this->RecordDepartures(
        {*departure},
        this->IfTermUnchangedOr(
            [since, target = record.target, responder](Impl& self, const wire::BodyUnion& answer) {
              if (answer.AsCommandReply()->error >= 0) return responder.reply(answer);
              self.AwaitDeparture(SteadyNow(), since, target, responder);
            },
            [responder] {
              responder.reply(MakeCommandError({ErrorCode::kNotLeader, ""}, ""));
            }));
  }

  // Commits that targets leave, so that no later leader believes an older heartbeat of them.
  void RecordDepartures(const std::vector<Departure>& departures, Proposals::Callback callback) {
    wire::RecordDeparturesT command;
    for (const Departure& departure : departures) {
      auto entry = std::make_unique<wire::TargetDepartureT>();
      entry->target = departure.target;
      entry->incarnation = departure.incarnation;
      entry->sequence = departure.sequence;
      command.targets.push_back(std::move(entry));
    }
    this->proposals->Propose(ToCommand(std::move(command)), std::move(callback));
  }

  // Records the departures among the registrations of a router. The router sends them again until
  // it gets a reply, so a lost command is repeated.
  void RecordReportedDepartures(const std::vector<TargetRecord>& registrations) {
    std::vector<Departure> departures;
    for (const TargetRecord& record : registrations) {
      if (record.state != TargetState::kDraining && record.state != TargetState::kGone) continue;
      const Departure departure{record.target, record.incarnation, record.sequence};
      if (!this->state.Departures().Covers(departure)) departures.push_back(departure);
    }
    if (departures.empty()) return;
    this->RecordDepartures(departures, [](const wire::BodyUnion& answer) {
      const auto* reply = answer.AsCommandReply();
      LOG_IF(WARNING, reply->error >= 0)
          << "controller: departures of targets were not recorded: " << reply->detail;
    });
  }

  // Takes over departures that were committed in an earlier term and applied here only after this
  // one began; an older heartbeat may have been accepted meanwhile.
  void TakeOverDepartures(Time now) {
    const uint64_t index = this->state.DeparturesIndex();
    if (std::exchange(this->applied_departures, index) == index) return;
    this->directory.ApplyDepartures(now);
  }

  // Acknowledges the departure of a target once all routers with a session know of it. `since`:
  // when the departure was first reported.
  void AwaitDeparture(Time now, Time since, const std::string& target, const Responder& responder) {
    const auto answer = [this, responder, since, target](DirectoryAck ack) {
      const bool left_out = ack == DirectoryAck::kTimedOut;
      if (ack == DirectoryAck::kStopping) {
        return responder.reply(MakeCommandError(
            {ErrorCode::kDraining, "the controller is shutting down"}, this->log.Leader()));
      }
      if (ack == DirectoryAck::kLeadershipLost) {
        return responder.reply(MakeCommandError({ErrorCode::kNotLeader, ""}, this->log.Leader()));
      }
      if (left_out && SteadyNow() < since + kDepartureAckLimit) {
        return responder.reply(MakeCommandError(
            {ErrorCode::kDeadlineExceeded, "a router has not received the departure yet"}, ""));
      }
      this->events.DepartureAcknowledged(target, this->directory.LastDeparture(target),
                                         SteadyNow() - since);
      responder.reply(ToBody(wire::CommandReplyT{}));
    };
    if (this->AcknowledgedVersion(now) >= this->directory.Version()) {
      return answer(DirectoryAck::kAllRouters);
    }
    this->ack_tracker.AddWaiter(this->directory.Version(), now + kDepartureAckTimeout, answer);
  }

  // Returns the directory version that every router with a session has received.
  uint64_t AcknowledgedVersion(Time now) const {
    return this->ack_tracker.AcknowledgedVersion(now, this->directory.Version(),
                                                 this->sessions.Sessions());
  }

  void AcknowledgeDepartures(Time now) {
    if (this->ack_tracker.HasWaiters()) {
      this->ack_tracker.Notify(now, this->AcknowledgedVersion(now));
    }
  }

  // --- Timers and deferred replies ---

  // Schedules one check of all polls for due replies; coalesces changes within one event loop turn.
  void ScheduleDueCheck() {
    if (std::exchange(this->due_check_scheduled, true)) return;
    asio::post(this->io, [weak = this->weak_from_this()] {
      auto self = weak.lock();
      if (!self) return;
      self->due_check_scheduled = false;
      self->EnqueueDuePolls(SteadyNow());
    });
  }

  void EnqueueDuePolls(Time now) {
    this->PublishConfig(now);
    this->TakeOverDepartures(now);
    this->PublishDirectory(now);
    for (auto& [id, poll] : this->polls) {
      if (this->IsDue(now, poll)) this->Enqueue(id, poll);
    }
  }

  void Enqueue(uint64_t id, Poll& poll) {
    if (std::exchange(poll.queued, true)) return;
    this->due_polls.push_back(id);
    this->ScheduleReplies();
  }

  void ScheduleReplies() {
    if (std::exchange(this->replies_scheduled, true)) return;
    asio::post(this->io, [weak = this->weak_from_this()] {
      auto self = weak.lock();
      if (!self || self->stopped) return;
      self->replies_scheduled = false;
      self->SendDueReplies();
    });
  }

  void SendDueReplies() {
    this->CheckLeadership();
    Time now = SteadyNow();
    const Time end = now + kMaxReplyBatchTime;
    for (; !this->due_polls.empty() && now < end; now = SteadyNow()) {
      const uint64_t id = this->due_polls.front();
      this->due_polls.pop_front();
      const auto found = this->polls.find(id);
      if (found == this->polls.end()) continue;
      found->second.queued = false;
      this->ReplyIfDue(now, id);
    }
    if (!this->due_polls.empty()) this->ScheduleReplies();
  }

  void OnTimer() {
    const Time now = SteadyNow();
    this->CheckLeadership();
    this->quotas->OnTimer(now);
    if (this->Leading()) {
      if (now >= this->next_expiry_check) this->CheckExpiry(now);
      this->AcknowledgeDepartures(now);
      this->RemoveInactivePolls();
      this->EnqueueDuePolls(now);
    }
    this->timer.expires_after(kControllerTickInterval);
    this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self && !self->stopped) self->OnTimer();
    });
  }

  // Removes the polls of routers that no longer wait.
  void RemoveInactivePolls() {
    for (auto it = this->polls.begin(); it != this->polls.end();) {
      const auto poll = it++;
      if (!poll->second.responder.active()) this->TakePoll(poll);
    }
  }

  void CheckExpiry(Time now) {
    std::erase_if(this->departures_since,
                  [&](const auto& item) { return now >= item.second + kTombstoneTime; });
    this->next_expiry_check = now + kExpiryCheckInterval;
    this->sessions.Tick(now, this->state.Routers());
    for (const TargetRecord& gone : this->heartbeat_handler.Expire(now)) {
      this->events.TargetExpired(gone, this->directory.Version());
      this->ScheduleDueCheck();
    }
    this->directory.Tick(now, this->state.Routers());
    this->debts.Expire(now);
    this->UpdateOffer(now);
    for (const RouterId& router : this->sessions.Expired(now)) {
      this->events.RouterExpired(router);
      this->sessions.SetRemovalPending(router, true);
      this->Remove(router);
    }
  }

  // Adapts the number of routers that callers are told about to the load.
  void UpdateOffer(Time now) {
    std::erase_if(this->loads, [&](const auto& item) {
      return !this->sessions.Sessions().contains(item.first);
    });
    if (this->offer_pending) return;
    std::vector<RouterLoad> reported;
    for (const auto& [id, load] : this->loads) reported.push_back(load);
    std::set<std::string> data_centres;
    for (const auto& [id, router] : this->state.Routers()) data_centres.insert(router.data_centre);
    const size_t active = this->state.ActiveRouters();
    const size_t current = OfferedCount(this->state.OfferedRouterCount(), active);
    std::optional<size_t> count =
        this->offer_policy.NextCount(now, current, active, data_centres.size(), reported);
    // Each router that shares a quota makes it more likely that a request waits for a permit, so
    // that a fleet with quotas begins with few routers and adds those that its load needs.
    if (!this->options.callers_use_all_routers && this->state.OfferedRouterCount() == 0 &&
        active > 0 && this->quotas->HasQuotas()) {
      count = MinOfferedCount(active, data_centres.size());
    }
    if (!count) return;
    this->offer_pending = true;
    this->events.RoutersOffered(*count, active);
    wire::OfferRoutersT command;
    command.count = static_cast<uint32_t>(*count);
    this->proposals->Propose(ToCommand(command),
                             this->IfTermUnchanged([](Impl& self, const wire::BodyUnion&) {
                               self.offer_pending = false;
                             }));
  }

  void Remove(const RouterId& router) {
    this->proposals->Propose(
        LeaveCommand(router.id, router.incarnation, /*clean=*/true),
        this->IfTermUnchanged([router](Impl& self, const wire::BodyUnion& answer) {
          self.OnLeft(router, *answer.AsCommandReply());
        }));
  }

  void OnLeft(const RouterId& router, const wire::CommandReplyT& reply) {
    // The removal may still be committed. Until that is known the router must not get a lease.
    if (reply.error == static_cast<int8_t>(ErrorCode::kUnknownOutcome)) return this->Remove(router);
    this->sessions.SetRemovalPending(router, false);
    this->sessions.Tick(SteadyNow(), this->state.Routers());
    for (const uint64_t id : this->PollsOf(router.id)) this->Admit(id);
  }

  asio::io_context& io;
  ControllerOptions options;
  ReplicatedLog& log;
  ControlState& state;
  asio::steady_timer timer;
  bool stopped = false;
  uint64_t leader_term = 0;  // current term while this controller is leader, otherwise 0

  // Soft state, valid while this controller is leader.
  SessionTable sessions;
  Directory directory;
  std::map<uint64_t, Poll> polls;                             // by id, in order of arrival
  std::map<std::string, std::set<uint64_t>> polls_by_router;  // ids of all elements of `polls`
  uint64_t last_poll_id = 0;
  std::deque<uint64_t> due_polls;  // ids of polls with a reply due, without duplicates
  bool replies_scheduled = false;
  std::set<std::string> pending_joins;       // ids of routers with a proposed Join
  std::map<std::string, uint64_t> departed;  // by router id: last incarnation that left cleanly
  TargetHeartbeatHandler heartbeat_handler;  // heartbeats of targets that register with controllers
  DirectoryAckTracker ack_tracker;
  std::map<std::string, Time> last_directory_push;   // by router id
  std::map<std::string, Time> last_quarantine_push;  // by router id
  struct EvacuationsPush {
    uint64_t index = 0;  // of the list that was sent
    Time sent;
  };
  std::map<std::string, EvacuationsPush> last_evacuations_push;  // by router id
  // By target: when its departure was first reported. Cleared when it registers again.
  std::map<std::string, Time> departures_since;
  std::map<std::string, RouterLoad> loads;  // by id of the router
  DebtTable debts;
  RouterOfferPolicy offer_policy;
  bool offer_pending = false;  // a command with a new number is on its way into the log
  ConfigFeed config_feed;      // what compact polls receive
  PushPacer config_pacer;
  DirectoryFeed directory_feed;  // what polls that read packages receive
  PushPacer directory_pacer;
  // State version that a compact reply brings a router to; below the log index of a configuration
  // that is not published yet.
  uint64_t published_version = 0;
  uint64_t applied_departures = 0;  // DeparturesIndex() up to which departures were applied
  Time next_expiry_check;
  bool due_check_scheduled = false;

  std::shared_ptr<QuorumRounds> rounds;
  std::shared_ptr<QuotaService> quotas;
  std::shared_ptr<Proposals> proposals;
  LeaderRelay relay;
  ControlEvents events;
};

Controller::Controller(asio::io_context& io, ControllerOptions options, ReplicatedLog& log,
                       ControlState& state)
    : impl(std::make_shared<Impl>(io, std::move(options), log, state)) {
  this->impl->Start();
}

Controller::~Controller() { this->impl->Stop(); }

void Controller::Handle(wire::BodyUnion body, const PeerRequest& request) {
  this->Handle(std::move(body),
               Responder{.reply = [request](const wire::BodyUnion& reply) { request.Reply(reply); },
                         .active = [request] { return request.Active(); }});
}

void Controller::Handle(wire::BodyUnion body, const Responder& responder) {
  this->impl->Handle(std::move(body), responder);
}

void Controller::CheckLeadership() { this->impl->CheckLeadership(); }

void Controller::Stop() { this->impl->Stop(); }

}  // namespace peridotgauge
