// Finds the leader and retries calls.
#include "io/control_channel.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "core/address.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// Limit on configured and discovered controllers; above the number of hosts that ever had the role.
constexpr size_t kMaxControllers = 64;

// The fields common to all replies of controllers.
struct ReplyStatus {
  int error = -1;
  std::string leader;
};

ReplyStatus ReplyStatusOf(const wire::BodyUnion& body) {
  if (const auto* reply = body.AsCommandReply()) return {reply->error, reply->leader};
  if (const auto* reply = body.AsReadReply()) return {reply->error, reply->leader};
  if (const auto* reply = body.AsQuotaReply()) return {reply->error, reply->leader};
  return {static_cast<int>(ErrorCode::kWrongReply), ""};
}

bool HasCode(const ReplyStatus& status, ErrorCode code) {
  return status.error == static_cast<int>(code);
}

// Returns true for errors that a controller returns before it has proposed the command.
bool NotProposed(const ReplyStatus& status) {
  return HasCode(status, ErrorCode::kUnavailable) || HasCode(status, ErrorCode::kDraining) ||
         HasCode(status, ErrorCode::kOverloaded);
}

}  // namespace

struct ControlChannel::Call {
  Call(asio::io_context& io, wire::BodyUnion body) : body(std::move(body)), retry_timer(io) {}

  uint64_t id = 0;
  wire::BodyUnion body;
  Time deadline;
  Resend resend = Resend::kAllowed;
  Callback callback;
  asio::steady_timer retry_timer;
  Time attempt_start;
  size_t redirects = 0;         // leader hints followed since the last delay
  bool maybe_executed = false;  // a controller may have received and executed the call
  std::string attempt_peer;     // controller of the current attempt
  uint64_t peer_call_id = 0;    // call id of the current attempt at its PeerClient
  bool done = false;
};

ControlChannel::ControlChannel(asio::io_context& io, std::vector<ControllerAddress> controllers,
                               uint16_t peer_port)
    : io(io),
      controllers(std::move(controllers)),
      peer_port(peer_port),
      current(this->controllers.front().id) {}

void ControlChannel::AddControllers(const std::vector<std::string>& ids) {
  if (this->peer_port == 0) return;
  for (const std::string& id : ids) {
    if (id.empty() || this->IsKnown(id) || this->controllers.size() >= kMaxControllers) continue;
    this->controllers.push_back({id, JoinAddress(id, this->peer_port)});
  }
}

PeerClient& ControlChannel::ClientFor(const std::string& controller) {
  std::unique_ptr<PeerClient>& client = this->clients[controller];
  if (!client) {
    const auto found = std::find_if(this->controllers.begin(), this->controllers.end(),
                                    [&](const auto& known) { return known.id == controller; });
    client = std::make_unique<PeerClient>(this->io, found->peer_address);
  }
  return *client;
}

bool ControlChannel::IsKnown(const std::string& controller) const {
  return std::any_of(this->controllers.begin(), this->controllers.end(),
                     [&](const auto& known) { return known.id == controller; });
}

void ControlChannel::RecordLeader(const std::string& controller) {
  this->leader = controller;
  this->current = controller;
  this->last_failures.erase(controller);
  this->silent_since.erase(controller);
}

bool ControlChannel::RecordNotLeader(Time now, const std::string& from, const std::string& hint) {
  this->last_failures.erase(from);
  this->silent_since.erase(from);
  this->AddControllers({hint});
  const bool usable = this->IsKnown(hint) && hint != from && !this->RecentlyUnreachable(now, hint);
  if (usable) {
    this->current = hint;
    this->leader = hint;
    return true;
  }
  if (this->leader == from) this->leader.clear();
  this->AdvanceFrom(from);
  return false;
}

void ControlChannel::RecordFailure(Time now, const std::string& controller) {
  this->last_failures[controller] = now;
  this->silent_since.erase(controller);
  if (this->leader == controller) this->leader.clear();
  this->AdvanceFrom(controller);
}

bool ControlChannel::RecentlyUnreachable(Time now, const std::string& controller) const {
  const auto found = this->last_failures.find(controller);
  return found != this->last_failures.end() && now - found->second < kUnreachableBackoff;
}

// Only a change is followed, so that a name that is out of date does not undo what replies say.
void ControlChannel::FollowLeaderSource(Time now) {
  if (!this->leader_source) return;
  const std::string named = this->leader_source();
  if (named == this->named_leader) return;
  this->named_leader = named;
  this->AddControllers({named});
  if (!this->IsKnown(named) || this->RecentlyUnreachable(now, named)) return;
  this->current = named;
  this->leader = named;
}

// Does nothing unless `from` is current, so that several failures of one controller advance only
// once.
void ControlChannel::AdvanceFrom(const std::string& from) {
  if (this->current != from) return;
  for (size_t i = 0; i < this->controllers.size(); ++i) {
    if (this->controllers[i].id != from) continue;
    this->current = this->controllers[(i + 1) % this->controllers.size()].id;
    return;
  }
}

void ControlChannel::Exchange(wire::BodyUnion body, Time deadline, Resend resend,
                              Callback callback) {
  auto call = std::make_shared<Call>(this->io, std::move(body));
  call->id = ++this->last_call_id;
  call->deadline = deadline;
  call->resend = resend;
  call->callback = std::move(callback);
  this->calls.emplace(call->id, call);
  if (this->stopped) return this->Finish(call, Fail(ErrorCode::kCancelled, "channel was stopped"));
  this->Attempt(call);
}

void ControlChannel::Attempt(const std::shared_ptr<Call>& call) {
  if (call->done) return;
  const Time now = SteadyNow();
  if (now >= call->deadline) {
    return this->Finish(
        call,
        call->maybe_executed
            ? Fail(ErrorCode::kUnknownOutcome, "no definite reply before the deadline")
            : Fail(ErrorCode::kUnavailable, "no controller could be reached before the deadline"));
  }
  const Time attempt_deadline = call->resend == Resend::kNever
                                    ? call->deadline
                                    : std::min(call->deadline, now + kCommandAttemptTimeout);
  this->FollowLeaderSource(now);
  call->attempt_peer = this->current;
  this->silent_since.try_emplace(call->attempt_peer, now);
  call->attempt_start = now;
  call->peer_call_id = this->ClientFor(call->attempt_peer)
                           .Call(call->body, attempt_deadline,
                                 [weak = this->weak_from_this(), call,
                                  controller = call->attempt_peer](Result<wire::BodyUnion> reply) {
                                   auto self = weak.lock();
                                   if (!self || call->done) return;
                                   call->peer_call_id = 0;
                                   self->OnReply(call, controller, std::move(reply));
                                 });
}

void ControlChannel::OnReply(const std::shared_ptr<Call>& call, const std::string& controller,
                             Result<wire::BodyUnion> reply) {
  if (!reply) return this->OnAttemptFailed(call, controller, reply.error());
  this->silent_since.erase(controller);
  const ReplyStatus status = ReplyStatusOf(*reply);
  if (HasCode(status, ErrorCode::kNotLeader)) {
    return this->OnNotLeader(call, controller, status.leader);
  }
  if (HasCode(status, ErrorCode::kUnavailable) || HasCode(status, ErrorCode::kDraining)) {
    this->RecordNotLeader(SteadyNow(), controller, "");
    return this->RetryLater(call);
  }
  if (HasCode(status, ErrorCode::kUnknownOutcome)) {
    call->maybe_executed = true;
    if (call->resend == Resend::kAllowed) return this->RetryLater(call);
  } else if (call->maybe_executed && NotProposed(status)) {
    // This refusal does not tell whether an earlier attempt was executed.
    return this->Finish(
        call, Fail(ErrorCode::kUnknownOutcome, "the reply to an earlier attempt was lost"));
  }
  this->RecordLeader(controller);
  this->Finish(call, std::move(reply));
}

void ControlChannel::OnAttemptFailed(const std::shared_ptr<Call>& call,
                                     const std::string& controller, const Error& error) {
  // A single call with a short deadline or a full send buffer does not mean that the controller has
  // failed.
  const Time now = SteadyNow();
  const auto silent = this->silent_since.find(controller);
  const Time waiting_since =
      silent == this->silent_since.end() ? call->attempt_start : silent->second;
  const bool short_deadline = now >= call->deadline && now - waiting_since < kCommandAttemptTimeout;
  if (error.code != ErrorCode::kOverloaded && !short_deadline) this->RecordFailure(now, controller);
  const bool sent = error.code != ErrorCode::kUnavailable && error.code != ErrorCode::kOverloaded;
  if (sent) call->maybe_executed = true;
  if (sent && call->resend == Resend::kNever) {
    return this->Finish(call, Fail(ErrorCode::kUnknownOutcome, error.detail));
  }
  this->RetryLater(call);
}

void ControlChannel::OnNotLeader(const std::shared_ptr<Call>& call, const std::string& controller,
                                 const std::string& hint) {
  const bool usable = this->RecordNotLeader(SteadyNow(), controller, hint);
  // Two controllers that name each other must not cause a busy loop.
  if (usable && ++call->redirects <= this->controllers.size()) return this->Attempt(call);
  this->RetryLater(call);
}

void ControlChannel::RetryLater(const std::shared_ptr<Call>& call) {
  call->redirects = 0;
  call->retry_timer.expires_after(kLeaderRetryDelay);
  call->retry_timer.async_wait(
      [weak = this->weak_from_this(), call](const boost::system::error_code& error) {
        auto self = weak.lock();
        if (!error && self) self->Attempt(call);
      });
}

void ControlChannel::Finish(const std::shared_ptr<Call>& call, Result<wire::BodyUnion> result) {
  if (std::exchange(call->done, true)) return;
  call->retry_timer.cancel();
  this->calls.erase(call->id);
  auto shared = std::make_shared<Result<wire::BodyUnion>>(std::move(result));
  asio::post(this->io,
             [call, shared] { std::exchange(call->callback, nullptr)(std::move(*shared)); });
}

void ControlChannel::Stop() {
  if (std::exchange(this->stopped, true)) return;
  const auto cancelled = this->calls;
  for (const auto& [id, call] : cancelled) {
    if (call->peer_call_id != 0) this->ClientFor(call->attempt_peer).Cancel(call->peer_call_id);
    this->Finish(call, Fail(ErrorCode::kCancelled, "the control client was stopped"));
  }
  for (auto& [id, client] : this->clients) client->Close();
}

}  // namespace peridotgauge
