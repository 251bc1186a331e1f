// Implements the sync loop of a router and its copy of the control state.
#include "io/control_client.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <optional>
#include <random>
#include <utility>

#include "core/packed_text.h"
#include "io/clock.h"
#include "io/control_channel.h"
#include "io/directory_feed.h"
#include "io/heartbeat_sender.h"
#include "io/random_seed.h"
#include "state/config_feed.h"
#include "state/push_pacing.h"
#include "state/registration_outbox.h"
#include "state/router_list.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// One request is held by the leader; another may be in flight to report a local change.
constexpr size_t kMaxPendingRequests = 2;

bool Idempotent(const wire::CommandBodyUnion& body) {
  return body.type != wire::CommandBody::ChangeMembers;
}

// Returns the update of the directory in a reply, or kCorrupt.
Result<DirectoryDelta> DeltaOf(const wire::SyncReplyT& reply) {
  DirectoryDelta delta{.epoch = reply.directory_epoch,
                       .version = reply.directory_version,
                       .digest = reply.directory_digest,
                       .full = reply.directory_full,
                       .collecting = reply.directory_collecting};
  if (reply.directory_packages.size() > kMaxFeedPackages + 1) {
    return Fail(ErrorCode::kCorrupt, "directory: too many packages in one reply");
  }
  for (const auto& package : reply.directory_packages) {
    if (!package) continue;
    Result<std::vector<TargetRecord>> targets =
        OpenDirectoryPackage({package->packed.begin(), package->packed.end()});
    if (!targets) return tl::unexpected(targets.error());
    std::move(targets->begin(), targets->end(), std::back_inserter(delta.targets));
    if (delta.targets.size() > 2 * kMaxTargets) {
      return Fail(ErrorCode::kCorrupt, "directory: too many records in one reply");
    }
  }
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
        compact(options.compact),
        heartbeats(std::make_shared<HeartbeatSender>(io, this->channel)),
        retry_timer(io),
        lease_timer(io),
        config(std::make_shared<const Config>()),
        outbox(this->self.id),
        random(RandomSeed()) {}

  void Start() {
    if (std::exchange(this->syncing, true)) return;
    this->SendSync();
  }

  void StopSync() {
    this->syncing = false;
    this->lease.Invalidate();
    this->retry_timer.cancel();
    this->lease_timer.cancel();
    this->CancelRequests();
  }

  void Stop() {
    this->StopSync();
    this->on_change = nullptr;
    // In this order, so that heartbeats that wait are not sent any more.
    this->channel->Stop();
    this->heartbeats->Stop();
  }

  void Register(TargetRecord record) {
    const Time now = SteadyNow();
    this->outbox.Update(now, std::move(record));
    if (!this->outbox.RecordsToSend(now, this->directory).empty()) this->ReportChange();
  }

  void Command(wire::CommandBodyUnion body, Time deadline, CommandCallback callback) {
    const auto* leave = body.AsLeave();
    // If the session is lost and the router joins again, the new record must still say that it is
    // draining.
    if (leave != nullptr && leave->id == this->self.id) this->self.draining = true;
    const Resend resend = Idempotent(body) ? Resend::kAllowed : Resend::kNever;
    wire::CommandRequestT request;
    request.body = std::move(body);
    this->Exchange(ToBody(std::move(request)), deadline, resend, std::move(callback));
  }

  void Heartbeat(const TargetRecord& record, bool remove, CommandCallback callback) {
    const Time now = SteadyNow();
    if (remove || record.state == TargetState::kDraining) {
      wire::RegisterRequestT request;
      request.target = ToWire(record);
      request.remove = remove;
      return this->Exchange(ToBody(std::move(request)), now + kDepartureCallTimeout,
                            Resend::kAllowed, std::move(callback));
    }
    this->heartbeats->Send(now, record,
                           [weak = this->weak_from_this(),
                            callback = std::move(callback)](Result<wire::CommandReplyT> reply) {
                             const auto self = weak.lock();
                             if (self && reply && reply->registered_targets > 0) {
                               self->registered_targets = reply->registered_targets;
                             }
                             callback(std::move(reply));
                           });
  }

  void Exchange(wire::BodyUnion body, Time deadline, Resend resend, CommandCallback callback) {
    this->channel->Exchange(
        std::move(body), deadline, resend,
        [callback = std::move(callback)](Result<wire::BodyUnion> reply) {
          if (!reply) return callback(tl::unexpected(std::move(reply.error())));
          auto* message = reply->AsCommandReply();
          if (message == nullptr) {
            return callback(Fail(ErrorCode::kUnknownOutcome, "expected a CommandReply"));
          }
          callback(std::move(*message));
        });
  }

  void Read(wire::ReadKind kind, uint64_t revision, Time deadline, ReadCallback callback) {
    wire::ReadRequestT request;
    request.kind = kind;
    request.revision = revision;
    this->channel->Exchange(
        ToBody(request), deadline, Resend::kAllowed,
        [callback = std::move(callback)](Result<wire::BodyUnion> reply) {
          // A read has no side effects, so any failure is reported as kUnavailable.
          if (!reply) return callback(Fail(ErrorCode::kUnavailable, reply.error().detail));
          auto* message = reply->AsReadReply();
          if (message == nullptr) return callback(Fail(ErrorCode::kWrongReply));
          if (message->error < 0) return callback(std::move(message->json));
          callback(Fail(static_cast<ErrorCode>(message->error), std::move(message->detail)));
        });
  }

  void AskForPermits(const QuotaAsk& ask, Time deadline, QuotaCallback callback) {
    wire::QuotaRequestT request;
    request.router = this->self.id;
    request.incarnation = this->self.incarnation;
    request.sequence = ask.sequence;
    request.own_share = ask.own_share;
    for (const QuotaDemand& demand : ask.demands) {
      auto entry = std::make_unique<wire::QuotaDemandT>();
      entry->workspace = demand.workspace;
      entry->wanted = demand.wanted;
      entry->held = demand.held;
      entry->spent = demand.spent;
      request.demands.push_back(std::move(entry));
    }
    this->channel->Exchange(
        ToBody(std::move(request)), deadline, Resend::kNever,
        [callback = std::move(callback)](const Result<wire::BodyUnion>& reply) {
          if (!reply) return callback(Fail(ErrorCode::kUnavailable, reply.error().detail));
          const auto* message = reply->AsQuotaReply();
          if (message == nullptr || message->error >= 0) {
            return callback(Fail(ErrorCode::kUnavailable, "no permits were granted"));
          }
          QuotaGrants grants{.valid = Millis(message->valid_ms), .own_share = message->own_share};
          for (const auto& grant : message->grants) {
            if (grant) grants.permits[grant->workspace] = grant->permits;
          }
          grants.near_limit.insert(message->near_limit.begin(), message->near_limit.end());
          grants.open_slots.insert(message->open_slots.begin(), message->open_slots.end());
          callback(std::move(grants));
        });
  }

  // Reports a local change immediately, or after the next reply if kMaxPendingRequests are in
  // flight.
  void ReportChange() {
    if (!this->syncing || this->retry_pending) return;
    if (this->requests.size() < kMaxPendingRequests) return this->SendSync();
    this->change_pending = true;
  }

  asio::io_context& io;
  RouterRecord self;
  std::shared_ptr<ControlChannel> channel;
  ConfigParser parse_config;
  bool compact;
  std::shared_ptr<HeartbeatSender> heartbeats;
  asio::steady_timer retry_timer;
  asio::steady_timer lease_timer;  // runs while the lease is valid
  ChangeCallback on_change;

  // Copy of the control state.
  Lease lease;
  std::shared_ptr<const Config> config;
  RouterMap routers;
  size_t active_routers = 0;
  size_t offered_routers = 0;
  size_t registered_targets = 0;
  std::function<RouterReport(Time now)> report;
  std::optional<ExtraDebts> inherited_debts;
  std::vector<QuarantineRecord> quarantine;
  uint64_t quarantine_index = 0;  // of a compact client
  std::vector<std::string> evacuated;
  uint64_t evacuations_index = 0;  // log index of `evacuated`
  DirectoryCopy directory;
  uint64_t view_index = 0;

 private:
  // An outstanding SyncRequest.
  struct Request {
    uint64_t call = 0;
    std::string controller;
    Time sent;
    uint64_t state_index = 0;
    std::vector<TargetRecord> records;
  };

  void SendSync() {
    const Time now = SteadyNow();
    this->change_pending = false;
    this->outbox.Prune(now);
    Request request{.controller = this->channel->Current(),
                    .sent = now,
                    .state_index = this->state_index,
                    .records = this->send_all_registrations
                                   ? this->outbox.All()
                                   : this->outbox.RecordsToSend(now, this->directory)};
    this->outbox.MarkSent(now, request.records);
    const uint64_t id = ++this->last_request_id;
    request.call = this->channel->ClientFor(request.controller)
                       .Call(this->BuildRequest(request), now + this->SyncTimeout(),
                             [weak = this->weak_from_this(), id](Result<wire::BodyUnion> reply) {
                               auto impl = weak.lock();
                               if (impl) impl->OnReply(id, std::move(reply));
                             });
    this->requests.emplace(id, std::move(request));
  }

  Duration SyncTimeout() const {
    return this->poll_hold +
           std::min<Duration>(kSyncReplyMargin * (1 << std::min(this->timeouts, kMaxDoublings)),
                              kMaxSyncReplyMargin);
  }

  wire::BodyUnion BuildRequest(const Request& request) const {
    wire::SyncRequestT sync;
    sync.router = ToWire(this->self);
    sync.state_index = request.state_index;
    sync.directory_epoch = this->directory.Epoch();
    sync.directory_version = this->directory.Version();
    sync.full_registrations = this->send_all_registrations;
    for (const TargetRecord& record : request.records) sync.registrations.push_back(ToWire(record));
    sync.wait_ms = static_cast<uint32_t>(WholeMillis(this->poll_hold));
    sync.relay = this->relay;
    sync.router_deltas = true;
    sync.compact = this->compact;
    sync.packed_directory = true;
    sync.quarantine_index = this->quarantine_index;
    sync.evacuations_index = this->evacuations_index;
    if (this->report) {
      const RouterReport report = this->report(request.sent);
      sync.load = static_cast<float>(report.load.sub_requests_per_s);
      sync.processor_share = static_cast<float>(report.load.processor_share);
      sync.extra_debts = ToWire(report.extra_debts);
      sync.extra_history = report.extra_history;
      sync.extra_window_ms = static_cast<uint32_t>(WholeMillis(report.extra_window));
    }
    if (this->compact && !this->config_text.empty()) {
      sync.config_revision = this->config->Revision();
      sync.config_digest = this->config_digest;
    }
    return ToBody(std::move(sync));
  }

  void OnReply(uint64_t id, Result<wire::BodyUnion> reply) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) return;
    const Request request = std::move(found->second);
    this->requests.erase(found);
    if (!reply) return this->OnRequestFailed(request, reply.error());
    const auto* sync = reply->AsSyncReply();
    if (sync == nullptr) return this->OnRequestFailed(request, {ErrorCode::kWrongReply, ""});
    if (sync->error >= 0) return this->OnRefused(request, *sync);
    if (!this->Apply(request, *sync)) return this->Restart(true);
    if (!this->syncing) return;  // stopped by a callback
    this->UpdateRelay(request, *sync);
    if (this->requests.empty() || this->change_pending) this->SendSync();
  }

  // --- Failures ---

  void OnRequestFailed(const Request& request, const Error& error) {
    LOG_EVERY_N(WARNING, 20) << "control: sync request to " << request.controller
                             << " failed: " << error.ToString();
    this->channel->RecordFailure(SteadyNow(), request.controller);
    this->relay = false;
    // If the host has disappeared, TCP retransmission on the open connection would delay the next
    // attempt.
    if (error.code == ErrorCode::kDeadlineExceeded) {
      ++this->timeouts;
      this->CancelRequests();
      this->channel->ClientFor(request.controller).Close();
    }
    this->Restart(true);
  }

  void OnRefused(const Request& request, const wire::SyncReplyT& reply) {
    const auto code = static_cast<ErrorCode>(reply.error);
    const Time now = SteadyNow();
    if (code != ErrorCode::kNotLeader) {
      LOG_EVERY_N(WARNING, 20) << "control: " << request.controller << " refused a sync request: "
                               << Error{code, reply.detail}.ToString();
      this->relay = false;
      this->channel->RecordNotLeader(now, request.controller, "");
      return this->Restart(true);
    }
    // The follower knows the leader, but this router cannot reach it.
    if (!reply.leader.empty() && reply.leader != request.controller && !this->relay &&
        this->channel->RecentlyUnreachable(now, reply.leader)) {
      LOG(WARNING) << "control: leader " << reply.leader << " is unreachable; syncing through "
                   << request.controller;
      this->relay = true;
      return this->Restart(false);
    }
    this->relay = false;
    const bool usable = this->channel->RecordNotLeader(now, request.controller, reply.leader);
    this->Restart(!usable || ++this->redirects > kMaxRedirects);
  }

  // Returns from a relay to the leader once it may be reachable again.
  void UpdateRelay(const Request& request, const wire::SyncReplyT& reply) {
    this->redirects = 0;
    if (!this->relay) return this->channel->RecordLeader(request.controller);
    if (this->channel->RecentlyUnreachable(SteadyNow(), reply.leader)) return;
    this->relay = false;
    this->channel->RecordNotLeader(SteadyNow(), request.controller, reply.leader);
  }

  // Cancels all requests and syncs again with the full list of registrations, because it is unknown
  // which changes the leader has received.
  void Restart(bool wait) {
    this->CancelRequests();
    this->send_all_registrations = true;
    if (!this->syncing || this->retry_pending) return;
    if (!wait) return this->SendSync();
    this->redirects = 0;
    this->retry_pending = true;
    this->retry_timer.expires_after(this->NextRetryDelay());
    this->retry_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto impl = weak.lock();
      if (!impl) return;
      impl->retry_pending = false;
      if (!error && impl->syncing) impl->SendSync();
    });
  }

  // Returns a random delay, so that the routers that lost a controller do not return together.
  Duration NextRetryDelay() {
    const Duration limit = std::min<Duration>(
        kSyncRetryDelay * (1 << std::min(this->failures, kMaxDoublings)), kMaxSyncRetryDelay);
    ++this->failures;
    return Duration(std::uniform_int_distribution<Duration::rep>(limit.count() / 2,
                                                                 limit.count())(this->random));
  }

  void CancelRequests() {
    for (const auto& [id, request] : std::exchange(this->requests, {})) {
      this->channel->ClientFor(request.controller).Cancel(request.call);
    }
  }

  // --- Applying a reply ---

  // Returns false if the reply cannot be applied; the lease is then not renewed.
  bool Apply(const Request& request, const wire::SyncReplyT& reply) {
    this->channel->AddControllers(reply.controllers);
    if (reply.state_index < request.state_index) {
      LOG(ERROR) << "control: retrying: the controllers have lost committed state; reply has index "
                 << reply.state_index << ", this router has applied " << request.state_index;
      return false;
    }
    ControlChange change;
    this->ApplyEvacuations(reply, change);
    if (reply.state_index > this->state_index || reply.state_changed) {
      if (!this->ApplyState(reply, change)) {
        // The list holds even if the rest of the reply cannot be used.
        const ChangeCallback callback = change.evacuations ? this->on_change : nullptr;
        if (callback) callback({.evacuations = true});
        return false;
      }
    }
    this->ApplyRouterCounts(reply, change);
    if (this->compact && reply.quarantine_index > this->quarantine_index) {
      this->quarantine_index = reply.quarantine_index;
      this->ApplyQuarantine(reply, change);
    }
    this->ApplyDirectory(reply, change);
    // A reply to another request may be older than what this process has spent itself.
    if (!std::exchange(this->synced_once, true)) {
      if (reply.extra_history) this->inherited_debts = FromWire(reply.inherited_debts);
      change.inherited_debts = true;
    }
    this->failures = 0;
    this->timeouts = 0;
    if (reply.max_wait_ms > 0) {
      this->poll_hold = std::clamp<Duration>(Millis(reply.max_wait_ms), kMinPollHold, kMaxPollHold);
    }
    this->outbox.Acknowledge(request.records);
    this->send_all_registrations = reply.resend_registrations;
    const Time now = SteadyNow();
    const bool was_valid = this->lease.Valid(now);
    this->lease.Renew(request.sent);
    change.lease_acquired = !was_valid && this->lease.Valid(now);
    if (change.lease_acquired) this->WatchLease();
    const bool has_changes = change.config || change.routers || change.quarantine ||
                             change.evacuations || change.directory || change.inherited_debts ||
                             change.lease_acquired;
    // Copied, because the callback may stop this client and reset `on_change`.
    const ChangeCallback callback = has_changes ? this->on_change : nullptr;
    if (callback) callback(change);
    return true;
  }

  // Reports the expiry of the lease once if it is not renewed in time.
  void WatchLease() {
    this->lease_timer.expires_at(*this->lease.End());
    this->lease_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      auto impl = weak.lock();
      if (!impl || error || !impl->lease.End()) return;
      if (impl->lease.Valid(SteadyNow())) return impl->WatchLease();
      const ChangeCallback callback = impl->on_change;
      if (callback) callback({.lease_expired = true});
    });
  }

  bool ApplyState(const wire::SyncReplyT& reply, ControlChange& change) {
    // The reply to an earlier request arrived after a newer one.
    if (reply.state_index < this->state_index) return true;
    if (reply.config_revision > this->config->Revision() && !this->ApplyConfig(reply, change)) {
      return false;
    }
    if (this->config->Revision() != reply.config_revision) {
      LOG(ERROR) << "control: reply names configuration revision " << reply.config_revision
                 << " without its text; requesting the full state";
      this->state_index = 0;
      return false;
    }
    if (reply.state_changed && !this->ApplyLists(reply, change)) {
      LOG(ERROR)
          << "control: requesting the full state after a router list digest mismatch at index "
          << reply.state_index;
      this->state_index = 0;
      return false;
    }
    this->state_index = reply.state_index;
    return true;
  }

  // Returns false if the reply has a configuration that cannot be used.
  bool ApplyConfig(const wire::SyncReplyT& reply, ControlChange& change) {
    std::string text = reply.config_text;
    if (!reply.config_package.empty()) {
      Result<std::string> opened = this->OpenConfigPackage(reply);
      if (!opened) {
        LOG(ERROR) << "control: requesting the whole text of configuration revision "
                   << reply.config_revision << ": " << opened.error().ToString();
        this->config_text.clear();
        return false;
      }
      text = std::move(*opened);
    }
    if (text.empty()) return true;
    Result<Config> parsed = this->parse_config(text);
    if (!parsed) {
      LOG(ERROR) << "control: cannot parse accepted configuration revision "
                 << reply.config_revision << ": " << parsed.error().ToString();
      return false;
    }
    this->config = std::make_shared<const Config>(std::move(*parsed));
    if (this->compact) {
      this->config_digest = TextDigest(text);
      this->config_text = std::move(text);
    }
    change.config = true;
    return true;
  }

  Result<std::string> OpenConfigPackage(const wire::SyncReplyT& reply) const {
    static const std::string kNoBase;
    const bool has_base = reply.config_base != 0;
    if (has_base && reply.config_base != this->config->Revision()) {
      return Fail(ErrorCode::kCorrupt, "the package refers to another revision");
    }
    return OpenPackage({.base_revision = reply.config_base,
                        .digest = reply.config_digest,
                        .packed = {reply.config_package.begin(), reply.config_package.end()}},
                       has_base ? this->config_text : kNoBase);
  }

  // Returns false if the updated router list does not match the leader's digest.
  bool ApplyLists(const wire::SyncReplyT& reply, ControlChange& change) {
    RouterDelta delta{
        .full = !reply.routers_delta, .gone = reply.routers_gone, .digest = reply.routers_digest};
    for (const auto& router : reply.routers) {
      if (router) delta.routers.push_back(FromWire(*router));
    }
    RouterMap new_routers = this->routers;
    if (!ApplyDelta(delta, new_routers)) return false;
    change.routers = new_routers != this->routers || this->view_index != reply.view_index;
    this->active_routers =
        static_cast<size_t>(std::count_if(new_routers.begin(), new_routers.end(),
                                          [](const auto& item) { return !item.second.draining; }));
    this->offered_routers = this->active_routers;
    this->routers = std::move(new_routers);
    this->ApplyQuarantine(reply, change);
    this->view_index = reply.view_index;
    return true;
  }

  void ApplyQuarantine(const wire::SyncReplyT& reply, ControlChange& change) {
    std::vector<QuarantineRecord> records;
    for (const auto& record : reply.quarantine) {
      if (record) records.push_back(FromWire(*record));
    }
    change.quarantine = records != this->quarantine;
    this->quarantine = std::move(records);
  }

  // A leader of an earlier version sends no index, which leaves the list as it is.
  void ApplyEvacuations(const wire::SyncReplyT& reply, ControlChange& change) {
    if (reply.evacuations_index <= this->evacuations_index) return;
    this->evacuations_index = reply.evacuations_index;
    change.evacuations = reply.evacuated != this->evacuated;
    this->evacuated = reply.evacuated;
  }

  // The counts come with every reply to a compact request, also without a change of the state.
  void ApplyRouterCounts(const wire::SyncReplyT& reply, ControlChange& change) {
    if (reply.active_routers == 0) return;
    const size_t offered = OfferedCount(reply.offered_routers, reply.active_routers);
    change.routers = change.routers || this->active_routers != reply.active_routers ||
                     this->offered_routers != offered;
    this->active_routers = reply.active_routers;
    this->offered_routers = offered;
  }

  void ApplyDirectory(const wire::SyncReplyT& reply, ControlChange& change) {
    if (reply.directory_epoch == 0) return;  // the reply has no directory update
    const Result<DirectoryDelta> delta = DeltaOf(reply);
    if (!delta) {
      LOG(ERROR) << "control: requesting the whole directory: " << delta.error().ToString();
      this->directory.RequestAll();
      return;
    }
    change.directory = this->directory.Apply(*delta);
    this->outbox.RemoveSuperseded(delta->targets);
  }

  // Redirects to follow without a delay: two controllers that name each other must not cause a busy
  // loop.
  static constexpr int kMaxRedirects = 8;
  // Keeps the shifts of the delays in range; the limits of the delays are reached earlier.
  static constexpr int kMaxDoublings = 8;

  uint64_t state_index = 0;  // log index of the router's copy of the control state
  RegistrationOutbox outbox;
  bool send_all_registrations = true;  // the next request lists all registrations
  bool synced_once = false;            // a reply was applied
  bool syncing = false;
  bool retry_pending = false;
  bool change_pending = false;  // a local change has not been sent yet
  bool relay = false;           // the current controller forwards requests to the leader
  int redirects = 0;
  std::map<uint64_t, Request> requests;  // at most kMaxPendingRequests
  uint64_t last_request_id = 0;
  // Text of `config`, the base of the next configuration package. Kept by compact clients; empty if
  // the whole text is needed.
  std::string config_text;
  uint64_t config_digest = 0;
  Duration poll_hold = kMinPollHold;  // hold to request; the leader states the longest it grants
  int failures = 0;                   // consecutive requests without a usable reply
  int timeouts = 0;                   // of these, requests that timed out
  std::mt19937_64 random;
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
size_t ControlClient::ActiveRouters() const { return this->impl->active_routers; }
size_t ControlClient::RegisteredTargets() const { return this->impl->registered_targets; }
size_t ControlClient::OfferedRouterCount() const { return this->impl->offered_routers; }
void ControlClient::SetReport(std::function<RouterReport(Time now)> report) {
  this->impl->report = std::move(report);
}
void ControlClient::ReportNow() { this->impl->ReportChange(); }
const std::optional<ExtraDebts>& ControlClient::InheritedDebts() const {
  return this->impl->inherited_debts;
}
uint64_t ControlClient::ViewIndex() const { return this->impl->view_index; }
const std::vector<QuarantineRecord>& ControlClient::QuarantineList() const {
  return this->impl->quarantine;
}
const std::vector<std::string>& ControlClient::Evacuated() const { return this->impl->evacuated; }
const DirectoryCopy& ControlClient::Directory() const { return this->impl->directory; }
std::string ControlClient::Leader() const { return this->impl->channel->Leader(); }

void ControlClient::AddControllers(const std::vector<std::string>& controllers) {
  this->impl->channel->AddControllers(controllers);
}
void ControlClient::SetLeaderSource(std::function<std::string()> source) {
  this->impl->channel->SetLeaderSource(std::move(source));
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
void ControlClient::AskForPermits(const QuotaAsk& ask, Time deadline, QuotaCallback callback) {
  this->impl->AskForPermits(ask, deadline, std::move(callback));
}

}  // namespace peridotgauge
