// The sync loop of a router and its copy of the published state.
#include "io/control_client.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "io/clock.h"
#include "io/control_channel.h"
#include "state/registration_outbox.h"
#include "state/router_list.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

constexpr uint32_t kPollMillis = 400;
// One request is held by the leader; one more may be under way to report a local change.
constexpr size_t kMaxOutstanding = 2;

bool Idempotent(const wire::CommandBodyUnion& body) {
  return body.type != wire::CommandBody::ChangeMembers;
}

DirectoryDelta DeltaOf(const wire::SyncReplyT& reply) {
  DirectoryDelta delta{.epoch = reply.directory_epoch,
                       .version = reply.directory_version,
                       .digest = reply.directory_digest,
                       .full = reply.directory_full,
                       .collecting = reply.directory_collecting};
  for (const auto& record : reply.targets) {
    if (record) delta.targets.push_back(FromWire(*record));
  }
  return delta;
}

}  // namespace

class ControlClient::Impl : public std::enable_shared_from_this<ControlClient::Impl> {
 public:
  Impl(asio::io_context& io, ControlClientOptions options)
      : io(io),
        self(std::move(options.self)),
        channel(std::make_shared<ControlChannel>(io, std::move(options.controllers),
                                                 options.peer_port)),
        parse_config(options.parse_config),
        pause(io),
        lapse(io),
        config(std::make_shared<const Config>()),
        outbox(this->self.id) {}

  void Start() {
    if (std::exchange(this->syncing, true)) return;
    this->SendSync();
  }

  void StopSync() {
    this->syncing = false;
    this->lease.Drop();
    this->pause.cancel();
    this->lapse.cancel();
    this->AbandonRequests();
  }

  void Stop() {
    this->StopSync();
    this->on_change = nullptr;
    this->channel->Stop();
  }

  void Register(TargetRecord record) {
    const Time now = SteadyNow();
    this->outbox.Put(now, std::move(record));
    if (!this->outbox.Pending(now, this->directory).empty()) this->Nudge();
  }

  void Command(wire::CommandBodyUnion body, Time deadline, CommandCallback callback) {
    const auto* leave = body.AsLeave();
    // A later join of this process, after a lost session, must not hide that it is draining.
    if (leave != nullptr && leave->id == this->self.id) this->self.draining = true;
    const Resend resend = Idempotent(body) ? Resend::kAllowed : Resend::kNever;
    wire::CommandRequestT request;
    request.body = std::move(body);
    this->Exchange(ToBody(std::move(request)), deadline, resend, std::move(callback));
  }

  void Heartbeat(const TargetRecord& record, bool remove, CommandCallback callback) {
    wire::RegisterRequestT request;
    request.target = ToWire(record);
    request.remove = remove;
    const bool leaving = remove || record.state == TargetState::kDraining;
    this->Exchange(ToBody(std::move(request)),
                   SteadyNow() + (leaving ? kDepartureCallTime : kHeartbeatCallTime),
                   Resend::kAllowed, std::move(callback));
  }

  void Exchange(wire::BodyUnion body, Time deadline, Resend resend, CommandCallback callback) {
    this->channel->Exchange(std::move(body), deadline, resend,
                            [callback = std::move(callback)](Result<wire::BodyUnion> reply) {
                              if (!reply) return callback(tl::unexpected(std::move(reply.error())));
                              auto* answer = reply->AsCommandReply();
                              if (answer == nullptr) {
                                return callback(Fail(ErrorCode::kUnknownOutcome, "wrong reply"));
                              }
                              callback(std::move(*answer));
                            });
  }

  void Read(wire::ReadKind kind, uint64_t revision, Time deadline, ReadCallback callback) {
    wire::ReadRequestT request;
    request.kind = kind;
    request.revision = revision;
    this->channel->Exchange(
        ToBody(request), deadline, Resend::kAllowed,
        [callback = std::move(callback)](Result<wire::BodyUnion> reply) {
          // A read changes nothing, so its outcome is never unknown.
          if (!reply) return callback(Fail(ErrorCode::kUnavailable, reply.error().detail));
          auto* answer = reply->AsReadReply();
          if (answer == nullptr) return callback(Fail(ErrorCode::kWrongReply));
          if (answer->error < 0) return callback(std::move(answer->json));
          callback(Fail(static_cast<ErrorCode>(answer->error), std::move(answer->detail)));
        });
  }

  asio::io_context& io;
  RouterRecord self;
  std::shared_ptr<ControlChannel> channel;
  ConfigReader parse_config;
  asio::steady_timer pause;
  asio::steady_timer lapse;  // runs while the lease is valid
  ChangeCallback on_change;

  // Published state.
  Lease lease;
  std::shared_ptr<const Config> config;
  RouterMap routers;
  std::vector<QuarantineRecord> quarantine;
  DirectoryCopy directory;
  uint64_t view_index = 0;

 private:
  // One SyncRequest without a reply yet.
  struct Request {
    uint64_t call = 0;
    std::string controller;
    Time sent;
    uint64_t state_index = 0;
    std::vector<TargetRecord> records;
  };

  // Reports a local change at once; if two requests are under way, after the next reply.
  void Nudge() {
    if (!this->syncing || this->pausing) return;
    if (this->requests.size() < kMaxOutstanding) return this->SendSync();
    this->dirty = true;
  }

  void SendSync() {
    const Time now = SteadyNow();
    this->dirty = false;
    this->outbox.Prune(now);
    Request request{.controller = this->channel->Current(),
                    .sent = now,
                    .state_index = this->state_index,
                    .records = this->need_full ? this->outbox.All()
                                               : this->outbox.Pending(now, this->directory)};
    this->outbox.Sent(now, request.records);
    const uint64_t id = ++this->last_request;
    request.call = this->channel->ClientOf(request.controller)
                       .Call(this->BuildRequest(request), now + kSyncReplyTimeout,
                             [weak = this->weak_from_this(), id](Result<wire::BodyUnion> reply) {
                               auto impl = weak.lock();
                               if (impl) impl->OnReply(id, std::move(reply));
                             });
    this->requests.emplace(id, std::move(request));
  }

  wire::BodyUnion BuildRequest(const Request& request) const {
    wire::SyncRequestT sync;
    sync.router = ToWire(this->self);
    sync.state_index = request.state_index;
    sync.directory_epoch = this->directory.Epoch();
    sync.directory_version = this->directory.Version();
    sync.full_registrations = this->need_full;
    for (const TargetRecord& record : request.records) sync.registrations.push_back(ToWire(record));
    sync.wait_ms = kPollMillis;
    sync.relay = this->relay;
    sync.router_deltas = true;
    return ToBody(std::move(sync));
  }

  void OnReply(uint64_t id, Result<wire::BodyUnion> reply) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) return;
    const Request request = std::move(found->second);
    this->requests.erase(found);
    if (!reply) return this->OnUnreachable(request, reply.error());
    const auto* sync = reply->AsSyncReply();
    if (sync == nullptr) return this->OnUnreachable(request, {ErrorCode::kWrongReply, ""});
    if (sync->error >= 0) return this->OnRefused(request, *sync);
    if (!this->Apply(request, *sync)) return this->Restart(true);
    if (!this->syncing) return;  // stopped by a callback
    this->CheckRelay(request, *sync);
    if (this->requests.empty() || this->dirty) this->SendSync();
  }

  // --- Failures ---

  void OnUnreachable(const Request& request, const Error& error) {
    LOG_EVERY_N(WARNING, 20) << "control: " << request.controller << ": " << error.ToString();
    this->channel->NoteFailure(SteadyNow(), request.controller);
    this->relay = false;
    // A connection to a host that has disappeared would delay the next try by retransmissions.
    if (error.code == ErrorCode::kDeadlineExceeded) {
      this->AbandonRequests();
      this->channel->ClientOf(request.controller).Close();
    }
    this->Restart(true);
  }

  void OnRefused(const Request& request, const wire::SyncReplyT& reply) {
    const auto code = static_cast<ErrorCode>(reply.error);
    const Time now = SteadyNow();
    if (code != ErrorCode::kNotLeader) {
      LOG_EVERY_N(WARNING, 20) << "control: " << request.controller
                               << " refused: " << Error{code, reply.detail}.ToString();
      this->relay = false;
      this->channel->NoteNotLeader(now, request.controller, "");
      return this->Restart(true);
    }
    // The leader is known there but cannot be reached from here.
    if (!reply.leader.empty() && reply.leader != request.controller && !this->relay &&
        this->channel->RecentlyUnreachable(now, reply.leader)) {
      LOG(WARNING) << "control: syncing with " << reply.leader << " through " << request.controller;
      this->relay = true;
      return this->Restart(false);
    }
    this->relay = false;
    const bool usable = this->channel->NoteNotLeader(now, request.controller, reply.leader);
    this->Restart(!usable || ++this->hops > kMaxHops);
  }

  // Goes back from a relay to the leader once it may be reachable again.
  void CheckRelay(const Request& request, const wire::SyncReplyT& reply) {
    this->hops = 0;
    if (!this->relay) return this->channel->NoteLeader(request.controller);
    if (this->channel->RecentlyUnreachable(SteadyNow(), reply.leader)) return;
    this->relay = false;
    this->channel->NoteNotLeader(SteadyNow(), request.controller, reply.leader);
  }

  // Gives up all requests and starts again with a full list of registrations, because it is not
  // known which changes have arrived.
  void Restart(bool wait) {
    this->AbandonRequests();
    this->need_full = true;
    if (!this->syncing || this->pausing) return;
    if (!wait) return this->SendSync();
    this->hops = 0;
    this->pausing = true;
    this->pause.expires_after(kLeaderSearchPause);
    this->pause.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto impl = weak.lock();
      if (!impl) return;
      impl->pausing = false;
      if (!error && impl->syncing) impl->SendSync();
    });
  }

  void AbandonRequests() {
    for (const auto& [id, request] : std::exchange(this->requests, {})) {
      this->channel->ClientOf(request.controller).Cancel(request.call);
    }
  }

  // --- Applying a reply ---

  // Returns false if the reply cannot be applied; the lease is then not renewed.
  bool Apply(const Request& request, const wire::SyncReplyT& reply) {
    this->channel->AddControllers(reply.controllers);
    if (reply.state_index < request.state_index) {
      LOG(ERROR) << "control: the controllers have lost accepted state: index " << reply.state_index
                 << " after " << request.state_index;
      return false;
    }
    ControlChange change;
    if (reply.state_index > this->state_index || reply.state_changed) {
      if (!this->ApplyState(reply, change)) return false;
    }
    this->ApplyDirectory(reply, change);
    this->outbox.Acknowledge(request.records);
    this->need_full = reply.resend_registrations;
    const Time now = SteadyNow();
    const bool was_valid = this->lease.Valid(now);
    this->lease.Renew(request.sent);
    change.lease_acquired = !was_valid && this->lease.Valid(now);
    if (change.lease_acquired) this->WatchLease();
    const bool any = change.config || change.routers || change.quarantine || change.directory ||
                     change.lease_acquired;
    // A copy, because the callback may stop this client.
    const ChangeCallback callback = any ? this->on_change : nullptr;
    if (callback) callback(change);
    return true;
  }

  // Tells once when the lease ends without a renewal.
  void WatchLease() {
    this->lapse.expires_at(*this->lease.End());
    this->lapse.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto impl = weak.lock();
      if (!impl || error || !impl->lease.End()) return;
      if (impl->lease.Valid(SteadyNow())) return impl->WatchLease();
      const ChangeCallback callback = impl->on_change;
      if (callback) callback({.lease_expired = true});
    });
  }

  bool ApplyState(const wire::SyncReplyT& reply, ControlChange& change) {
    // A reply to an earlier request that came after a newer one.
    if (reply.state_index < this->state_index) return true;
    if (!reply.config_text.empty() && reply.config_revision > this->config->Revision()) {
      Result<Config> parsed = this->parse_config(reply.config_text);
      if (!parsed) {
        LOG(ERROR) << "control: accepted revision " << reply.config_revision
                   << " cannot be read: " << parsed.error().ToString();
        return false;
      }
      this->config = std::make_shared<const Config>(std::move(*parsed));
      change.config = true;
    }
    if (this->config->Revision() != reply.config_revision) {
      LOG(ERROR) << "control: revision " << reply.config_revision << " came without its text";
      this->state_index = 0;
      return false;
    }
    if (reply.state_changed && !this->ApplyLists(reply, change)) {
      LOG(ERROR) << "control: the list of routers differs at index " << reply.state_index;
      this->state_index = 0;
      return false;
    }
    this->state_index = reply.state_index;
    return true;
  }

  // Returns false if this copy of the list of routers differs from the leader's.
  bool ApplyLists(const wire::SyncReplyT& reply, ControlChange& change) {
    RouterDelta delta{
        .full = !reply.routers_delta, .gone = reply.routers_gone, .digest = reply.routers_digest};
    for (const auto& router : reply.routers) {
      if (router) delta.routers.push_back(FromWire(*router));
    }
    RouterMap new_routers = this->routers;
    if (!ApplyDelta(delta, new_routers)) return false;
    std::vector<QuarantineRecord> new_quarantine;
    for (const auto& record : reply.quarantine) {
      if (record) new_quarantine.push_back(FromWire(*record));
    }
    change.routers = new_routers != this->routers || this->view_index != reply.view_index;
    change.quarantine = new_quarantine != this->quarantine;
    this->routers = std::move(new_routers);
    this->quarantine = std::move(new_quarantine);
    this->view_index = reply.view_index;
    return true;
  }

  void ApplyDirectory(const wire::SyncReplyT& reply, ControlChange& change) {
    if (reply.directory_epoch == 0) return;  // left out of this reply
    const DirectoryDelta delta = DeltaOf(reply);
    change.directory = this->directory.Apply(delta);
    this->outbox.Observe(delta.targets);
  }

  // Hints followed without a success before a pause: two controllers that name each other must not
  // cause a busy loop.
  static constexpr int kMaxHops = 8;

  uint64_t state_index = 0;  // version of the published state
  RegistrationOutbox outbox;
  bool need_full = true;  // the next request names all registrations
  bool syncing = false;
  bool pausing = false;
  bool dirty = false;  // a local change waits for a free request
  bool relay = false;  // requests go to the leader through the current controller
  int hops = 0;
  std::map<uint64_t, Request> requests;  // at most kMaxOutstanding
  uint64_t last_request = 0;
};

ControlClient::ControlClient(asio::io_context& io, ControlClientOptions options)
    : impl(std::make_shared<Impl>(io, std::move(options))) {}

ControlClient::~ControlClient() { this->impl->Stop(); }

void ControlClient::Start() { this->impl->Start(); }
void ControlClient::StopSync() { this->impl->StopSync(); }
void ControlClient::Stop() { this->impl->Stop(); }
void ControlClient::OnChange(ChangeCallback callback) {
  this->impl->on_change = std::move(callback);
}

bool ControlClient::Synchronized(Time now) const { return this->impl->lease.Valid(now); }
const Lease& ControlClient::CurrentLease() const { return this->impl->lease; }
std::shared_ptr<const Config> ControlClient::CurrentConfig() const { return this->impl->config; }
const RouterMap& ControlClient::Routers() const { return this->impl->routers; }
uint64_t ControlClient::ViewIndex() const { return this->impl->view_index; }
const std::vector<QuarantineRecord>& ControlClient::QuarantineList() const {
  return this->impl->quarantine;
}
const DirectoryCopy& ControlClient::Directory() const { return this->impl->directory; }
std::string ControlClient::Leader() const { return this->impl->channel->Leader(); }

void ControlClient::AddControllers(const std::vector<std::string>& controllers) {
  this->impl->channel->AddControllers(controllers);
}
void ControlClient::Register(TargetRecord record) { this->impl->Register(std::move(record)); }

void ControlClient::Command(wire::CommandBodyUnion body, Time deadline, CommandCallback callback) {
  this->impl->Command(std::move(body), deadline, std::move(callback));
}

void ControlClient::Heartbeat(const TargetRecord& record, bool remove, CommandCallback callback) {
  this->impl->Heartbeat(record, remove, std::move(callback));
}
void ControlClient::Read(wire::ReadKind kind, uint64_t revision, Time deadline,
                         ReadCallback callback) {
  this->impl->Read(kind, revision, deadline, std::move(callback));
}

}  // namespace peridotgauge
