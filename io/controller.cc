// Long polls, commands and reads of the controller role.
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
#include "io/clock.h"
#include "io/control_events.h"
#include "io/control_replies.h"
#include "io/leader_relay.h"
#include "io/proposals.h"
#include "io/quorum_round.h"
#include "state/commands.h"
#include "state/control_report.h"
#include "state/directory.h"
#include "state/directory_ack_tracker.h"
#include "state/session.h"
#include "state/target_heartbeat_handler.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// Sessions and the directory need no finer time than this.
constexpr Duration kHousekeepingInterval = Millis(100);
// A configuration text above this is sent without directory news, so that the reply stays below the
// limit of a frame.
constexpr size_t kLargeTextBytes = 256 << 10;
// Longest time for which answers to polls keep the event loop. A full directory for each of many
// routers takes longer than the election timeout, and raft heartbeats must go out meanwhile.
constexpr Duration kAnswerTime = Millis(10);

}  // namespace

class Controller::Impl : public std::enable_shared_from_this<Controller::Impl> {
 public:
  Impl(asio::io_context& io, ControllerOptions options, ReplicatedLog& log, ControlState& state)
      : io(io),
        options(std::move(options)),
        log(log),
        state(state),
        timer(io),
        intake(this->options.id, this->options.registration_lease, this->directory),
        rounds(std::make_shared<QuorumRounds>(io, log)),
        proposals(std::make_shared<Proposals>(io, log, state)),
        relay(io, this->options.id, this->options.controllers, this->options.peer_port),
        events(this->options.events) {}

  void Start() {
    this->state.SetObserver([weak = this->weak_from_this()] {
      if (auto self = weak.lock()) self->WakeLater();
    });
    this->OnTimer();
  }

  void Stop() {
    if (std::exchange(this->stopped, true)) return;
    this->timer.cancel();
    this->state.SetObserver(nullptr);
    this->FailPolls(ErrorCode::kDraining, "the controller is shutting down");
    this->relay.Stop();
  }

  void Handle(wire::BodyUnion body, const Responder& responder) {
    if (this->stopped) return Refuse(body, {ErrorCode::kDraining, ""}, "", responder);
    this->CheckLeadership();
    if (auto* sync = body.AsSyncRequest()) {
      if (!this->Leading() && sync->relay) {
        return this->relay.Pass(this->log.Leader(), std::move(*sync),
                                SteadyNow() + kMaxPollTime + kQuorumTimeout, responder.reply);
      }
    }
    if (!this->Leading()) {
      return Refuse(body, {ErrorCode::kNotLeader, ""}, this->log.Leader(), responder);
    }
    if (auto* sync = body.AsSyncRequest()) return this->OnSync(std::move(*sync), responder);
    if (auto* command = body.AsCommandRequest()) return this->OnCommand(*command, responder);
    if (auto* beat = body.AsRegisterRequest()) return this->OnRegister(*beat, responder);
    if (const auto* read = body.AsReadRequest()) this->OnRead(*read, responder);
  }

  void CheckLeadership() {
    const bool leading = this->log.Leading();
    const uint64_t term = leading ? this->log.Term() : 0;
    if (term == this->led_term) return;
    this->led_term = term;
    this->FailPolls(ErrorCode::kNotLeader, "leadership has changed");
    this->publication.FailWaiters();
    this->joining.clear();
    this->departed.clear();
    this->events.Leadership(leading, this->log.Term());
    if (!leading) return;
    LOG(INFO) << "controller: leading in term " << term;
    const Time now = SteadyNow();
    this->sessions.Reset(now);
    this->sessions.Tick(now, this->state.Routers());
    this->last_push.clear();
    this->publication.Reset();
    this->intake.StartTerm(now, term);
  }

 private:
  // One held SyncRequest.
  struct Poll {
    RouterRecord router;
    uint64_t state_index = 0;
    bool router_deltas = false;
    uint64_t directory_epoch = 0;
    uint64_t directory_version = 0;
    std::vector<TargetRecord> registrations;
    bool full_registrations = false;
    Time hold_until;
    Responder responder;
    bool confirmed = false;  // a quorum round that began after the arrival has ended
    bool queued = false;     // in `due_polls`
    bool released = false;   // the router has sent a newer request; nothing is gained by waiting

    RouterId Id() const { return {this->router.id, this->router.incarnation}; }
  };

  bool Leading() const { return this->led_term != 0; }

  static void Refuse(const wire::BodyUnion& body, const Error& error, const std::string& leader,
                     const Responder& responder) {
    if (const auto refusal = RefusalOf(body.type, error, leader)) responder.reply(*refusal);
  }

  // Runs `function` from the event loop if this leadership still lasts.
  template <typename Function>
  auto InThisTerm(Function function) {
    return [weak = this->weak_from_this(), term = this->led_term,
            function = std::move(function)](auto&&... arguments) {
      auto self = weak.lock();
      if (!self || self->stopped) return;
      self->CheckLeadership();
      if (self->led_term == term) function(*self, arguments...);
    };
  }

  // --- Sync requests ---

  void OnSync(wire::SyncRequestT request, const Responder& responder) {
    if (!request.router || request.router->id.empty() || request.router->incarnation == 0) {
      return responder.reply(SyncError(ErrorCode::kBadRequest, "no router id or incarnation", ""));
    }
    const Time now = SteadyNow();
    Poll poll{.router = FromWire(*request.router),
              .state_index = request.state_index,
              .router_deltas = request.router_deltas,
              .directory_epoch = request.directory_epoch,
              .directory_version = request.directory_version,
              .full_registrations = request.full_registrations,
              .hold_until = now + std::min<Duration>(Millis(request.wait_ms), kMaxPollTime),
              .responder = responder};
    const auto departure = this->departed.find(poll.router.id);
    if (departure != this->departed.end() && poll.router.incarnation <= departure->second) {
      return responder.reply(SyncError(ErrorCode::kDraining, "the router has left", ""));
    }
    const auto known = this->state.Routers().find(poll.router.id);
    if (known != this->state.Routers().end() &&
        known->second.incarnation > poll.router.incarnation) {
      return responder.reply(SyncError(ErrorCode::kConflict, "a newer incarnation joined", ""));
    }
    for (const auto& record : request.registrations) {
      if (record) poll.registrations.push_back(FromWire(*record));
    }
    this->sessions.Renew(now, poll.Id(), poll.state_index);
    const bool current = poll.directory_epoch == this->directory.Epoch();
    this->publication.RecordVersion(poll.router.id, current ? poll.directory_version : 0);
    this->AnswerPublished(now);
    const uint64_t id = ++this->last_poll;
    this->ReleaseOlder(now, poll.router.id);
    this->polls.emplace(id, std::move(poll));
    this->Admit(id);
  }

  // Older polls of the router are answered without waiting for news, so that a router with frequent
  // changes still has its lease renewed.
  void ReleaseOlder(Time now, const std::string& router) {
    for (const uint64_t id : this->PollsOf(router)) {
      this->polls.at(id).released = true;
      this->MaybeReply(now, id);
    }
  }

  std::vector<uint64_t> PollsOf(const std::string& router) const {
    std::vector<uint64_t> ids;
    for (const auto& [id, poll] : this->polls) {
      if (poll.router.id == router) ids.push_back(id);
    }
    return ids;
  }

  // Takes the next step of a new poll: the router must be in the view and must stay in it, then a
  // quorum round follows.
  void Admit(uint64_t id) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end()) return;
    Poll& poll = found->second;
    if (this->sessions.Leaving(poll.Id())) return;  // continues in OnLeft()
    if (!this->state.IsMember(poll.router.id, poll.router.incarnation)) {
      return this->Join(poll.router);
    }
    const Time now = SteadyNow();
    const bool changed = this->directory.Merge(
        now, poll.router.id, std::exchange(poll.registrations, {}), poll.full_registrations);
    poll.full_registrations = false;
    if (changed) this->WakeLater();
    this->rounds->Confirm(this->InThisTerm(
        [id](Impl& self, const Result<uint64_t>& confirmed) { self.OnConfirmed(id, confirmed); }));
  }

  void OnConfirmed(uint64_t id, const Result<uint64_t>& confirmed) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end()) return;
    Poll& poll = found->second;
    if (!confirmed) {
      return this->Finish(
          id, SyncError(confirmed.error().code, confirmed.error().detail, this->log.Leader()));
    }
    const bool member = this->state.IsMember(poll.router.id, poll.router.incarnation);
    if (!member || this->sessions.Leaving(poll.Id())) return this->Admit(id);
    poll.confirmed = true;
    if (this->Due(SteadyNow(), poll)) this->Enqueue(id, poll);
  }

  void Join(const RouterRecord& router) {
    if (!this->joining.insert(router.id).second) return;
    this->events.RouterJoins(router);
    wire::JoinT command;
    command.router = ToWire(router);
    this->proposals->Propose(
        ToCommand(std::move(command)),
        this->InThisTerm([id = router.id](Impl& self, const wire::BodyUnion& answer) {
          self.OnJoined(id, *answer.AsCommandReply());
        }));
  }

  void OnJoined(const std::string& router, const wire::CommandReplyT& reply) {
    this->joining.erase(router);
    this->sessions.Tick(SteadyNow(), this->state.Routers());
    for (const uint64_t id : this->PollsOf(router)) {
      const Poll& poll = this->polls.at(id);
      if (poll.confirmed) continue;
      if (reply.error < 0) {
        this->Admit(id);
      } else if (!this->state.IsMember(router, poll.router.incarnation)) {
        this->Finish(id, SyncError(static_cast<ErrorCode>(reply.error), reply.detail, ""));
      }
    }
  }

  bool DirectoryNews(Time now, const Poll& poll) const {
    if (poll.directory_epoch != this->directory.Epoch()) return true;
    if (poll.directory_version == this->directory.Version()) return false;
    const auto pushed = this->last_push.find(poll.router.id);
    return pushed == this->last_push.end() || now - pushed->second >= kDirectoryInterval;
  }

  bool Due(Time now, const Poll& poll) const {
    return poll.confirmed &&
           (poll.released || now >= poll.hold_until || poll.state_index != this->state.Version() ||
            this->DirectoryNews(now, poll) || !this->directory.HasFullList(poll.router.id));
  }

  void MaybeReply(Time now, uint64_t id) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end() || !this->Due(now, found->second)) return;
    const Poll& poll = found->second;
    // The view can have changed while the poll was held.
    if (!this->state.IsMember(poll.router.id, poll.router.incarnation)) {
      return this->Finish(id, SyncError(ErrorCode::kNotSynchronized, "not in the view", ""));
    }
    this->Finish(id, ToBody(this->BuildReply(now, poll)));
  }

  wire::SyncReplyT BuildReply(Time now, const Poll& poll) {
    wire::SyncReplyT reply = StateNews(this->state, poll.state_index, poll.router_deltas);
    reply.leader = this->options.id;
    reply.controllers = this->log.Status().members;
    reply.resend_registrations = !this->directory.HasFullList(poll.router.id);
    if (reply.config_text.size() <= kLargeTextBytes) this->AddDirectory(now, poll, reply);
    return reply;
  }

  void AddDirectory(Time now, const Poll& poll, wire::SyncReplyT& reply) {
    const DirectoryDelta delta =
        this->directory.DeltaSince(poll.directory_epoch, poll.directory_version);
    AddDirectoryNews(delta, reply);
    if (poll.directory_version != delta.version) this->last_push[poll.router.id] = now;
  }

  void Finish(uint64_t id, const wire::BodyUnion& body) {
    const auto found = this->polls.find(id);
    if (found == this->polls.end()) return;
    const Responder responder = std::move(found->second.responder);
    this->polls.erase(found);
    responder.reply(body);
  }

  void FailPolls(ErrorCode code, const std::string& detail) {
    const std::map<uint64_t, Poll> failed = std::exchange(this->polls, {});
    for (const auto& [id, poll] : failed) {
      poll.responder.reply(SyncError(code, detail, this->log.Leader()));
    }
  }

  // --- Commands and reads ---

  void OnCommand(wire::CommandRequestT& request, const Responder& responder) {
    if (auto* config = request.body.AsApplyConfig()) {
      const Result<void> prepared =
          PrepareConfig(this->options.read_config, this->options.highest, *config);
      if (!prepared) {
        this->events.ConfigRefused(prepared.error());
        return responder.reply(CommandError(prepared.error(), ""));
      }
      return this->OnConfig(std::move(request.body), config->revision, responder);
    }
    if (const auto* change = request.body.AsChangeMembers()) {
      return this->ChangeMembers(*change, responder);
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
        self->events.ConfigDecided(revision, *answer.AsCommandReply());
      }
      responder.reply(answer);
    });
  }

  // Requests of the router that are still under way must not let it join again.
  void OnCleanLeave(const RouterId& router) {
    uint64_t& last = this->departed[router.id];
    last = std::max(last, router.incarnation);
    for (const uint64_t id : this->PollsOf(router.id)) {
      if (this->polls.at(id).router.incarnation > router.incarnation) continue;
      this->Finish(id, SyncError(ErrorCode::kDraining, "the router has left", ""));
    }
  }

  void ChangeMembers(const wire::ChangeMembersT& change, const Responder& responder) {
    this->log.ChangeMember({.id = change.id, .peer_address = change.address}, change.incarnation,
                           change.remove, SteadyNow() + kProposalTimeout,
                           [responder](const Result<Applied>& applied) {
                             if (!applied) {
                               return responder.reply(CommandError(applied.error(), ""));
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
        return responder.reply(ReadAnswer(tl::unexpected(confirmed.error()), self->log.Leader()));
      }
      if (!self->Leading()) {
        return responder.reply(ReadAnswer(Fail(ErrorCode::kNotLeader), self->log.Leader()));
      }
      responder.reply(ReadAnswer(
          BuildReport(kind, revision, SteadyNow(),
                      {StatusOf(self->log.Status()), self->state, self->sessions, self->directory}),
          self->options.id));
    });
  }

  // --- Targets that register with controllers ---

  void OnRegister(const wire::RegisterRequestT& request, const Responder& responder) {
    if (!request.target) return responder.reply(CommandError({ErrorCode::kBadRequest, ""}, ""));
    const Time now = SteadyNow();
    const TargetRecord record = FromWire(*request.target);
    const Result<HeartbeatResult> taken = this->intake.Handle(now, record, request.remove);
    if (!taken) {
      this->events.HeartbeatRefused(record, taken.error());
      return responder.reply(CommandError(taken.error(), ""));
    }
    if (taken->directory_changed) {
      const uint64_t version = this->directory.Version();
      request.remove ? this->events.TargetRemoved(record, version)
                     : this->events.TargetRegistered(record, version);
      this->WakeLater();
    }
    const auto answer = [this, responder](bool published) {
      if (published) return responder.reply(ToBody(wire::CommandReplyT{}));
      responder.reply(CommandError({ErrorCode::kNotLeader, ""}, this->log.Leader()));
    };
    if (!taken->leaving || this->PublishedUpTo(now) >= this->directory.Version()) {
      return answer(true);
    }
    this->publication.AddWaiter(this->directory.Version(), now + kPublishTime, answer);
  }

  // The directory version that every router with a session holds.
  uint64_t PublishedUpTo(Time now) const {
    return this->publication.AcknowledgedVersion(now, this->directory.Version(),
                                                 this->sessions.Sessions());
  }

  void AnswerPublished(Time now) {
    if (this->publication.HasWaiters()) this->publication.Notify(now, this->PublishedUpTo(now));
  }

  // --- Time ---

  // Answers polls that have news, soon and once for several changes.
  void WakeLater() {
    if (std::exchange(this->wake_scheduled, true)) return;
    asio::post(this->io, [weak = this->weak_from_this()] {
      auto self = weak.lock();
      if (!self) return;
      self->wake_scheduled = false;
      self->AnswerPolls(SteadyNow());
    });
  }

  void AnswerPolls(Time now) {
    for (auto& [id, poll] : this->polls) {
      if (this->Due(now, poll)) this->Enqueue(id, poll);
    }
  }

  void Enqueue(uint64_t id, Poll& poll) {
    if (std::exchange(poll.queued, true)) return;
    this->due_polls.push_back(id);
    this->AnswerSoon();
  }

  void AnswerSoon() {
    if (std::exchange(this->answer_scheduled, true)) return;
    asio::post(this->io, [weak = this->weak_from_this()] {
      auto self = weak.lock();
      if (!self || self->stopped) return;
      self->answer_scheduled = false;
      self->AnswerDue();
    });
  }

  void AnswerDue() {
    this->CheckLeadership();
    Time now = SteadyNow();
    const Time end = now + kAnswerTime;
    for (; !this->due_polls.empty() && now < end; now = SteadyNow()) {
      const uint64_t id = this->due_polls.front();
      this->due_polls.pop_front();
      const auto found = this->polls.find(id);
      if (found == this->polls.end()) continue;
      found->second.queued = false;
      this->MaybeReply(now, id);
    }
    if (!this->due_polls.empty()) this->AnswerSoon();
  }

  void OnTimer() {
    const Time now = SteadyNow();
    this->CheckLeadership();
    if (this->Leading()) {
      if (now >= this->next_housekeeping) this->Housekeep(now);
      this->AnswerPublished(now);
      std::erase_if(this->polls, [](const auto& item) { return !item.second.responder.active(); });
      this->AnswerPolls(now);
    }
    this->timer.expires_after(kControllerTick);
    this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto self = weak.lock();
      if (!error && self && !self->stopped) self->OnTimer();
    });
  }

  void Housekeep(Time now) {
    this->next_housekeeping = now + kHousekeepingInterval;
    this->sessions.Tick(now, this->state.Routers());
    for (const TargetRecord& gone : this->intake.Expire(now)) {
      this->events.TargetExpired(gone, this->directory.Version());
      this->WakeLater();
    }
    this->directory.Tick(now, this->state.Routers());
    for (const RouterId& router : this->sessions.Expired(now)) {
      this->events.RouterExpired(router);
      this->sessions.SetLeaving(router, true);
      this->Remove(router);
    }
  }

  void Remove(const RouterId& router) {
    this->proposals->Propose(LeaveCommand(router.id, router.incarnation, /*clean=*/true),
                             this->InThisTerm([router](Impl& self, const wire::BodyUnion& answer) {
                               self.OnLeft(router, *answer.AsCommandReply());
                             }));
  }

  void OnLeft(const RouterId& router, const wire::CommandReplyT& reply) {
    // The removal may still be committed, so the router must not get a lease before it is.
    if (reply.error == static_cast<int8_t>(ErrorCode::kUnknownOutcome)) return this->Remove(router);
    this->sessions.SetLeaving(router, false);
    this->sessions.Tick(SteadyNow(), this->state.Routers());
    for (const uint64_t id : this->PollsOf(router.id)) this->Admit(id);
  }

  asio::io_context& io;
  ControllerOptions options;
  ReplicatedLog& log;
  ControlState& state;
  asio::steady_timer timer;
  bool stopped = false;
  uint64_t led_term = 0;  // term in which this controller leads, or 0

  // Soft state of the leader.
  SessionTable sessions;
  Directory directory;
  std::map<uint64_t, Poll> polls;  // by order of arrival
  uint64_t last_poll = 0;
  std::deque<uint64_t> due_polls;  // polls that wait for their answer, each once
  bool answer_scheduled = false;
  std::set<std::string> joining;             // routers whose join has been proposed
  std::map<std::string, uint64_t> departed;  // last incarnation that has left cleanly
  TargetHeartbeatHandler intake;             // of targets that register with controllers
  DirectoryAckTracker publication;
  std::map<std::string, Time> last_push;  // last directory news sent to each router
  Time next_housekeeping;
  bool wake_scheduled = false;

  std::shared_ptr<QuorumRounds> rounds;
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
