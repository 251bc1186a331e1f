// Finding the leader and repeating calls.
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

// Seeds and learned controllers; above the number of machines that ever had the role.
constexpr size_t kMaxControllers = 64;

// The parts that all replies of controllers share.
struct Answer {
  int error = -1;
  std::string leader;
};

Answer AnswerOf(const wire::BodyUnion& body) {
  if (const auto* reply = body.AsCommandReply()) return {reply->error, reply->leader};
  if (const auto* reply = body.AsReadReply()) return {reply->error, reply->leader};
  return {static_cast<int>(ErrorCode::kWrongReply), ""};
}

bool Is(const Answer& answer, ErrorCode code) { return answer.error == static_cast<int>(code); }

// Errors that a controller gives before it has proposed the command.
bool Unproposed(const Answer& answer) {
  return Is(answer, ErrorCode::kUnavailable) || Is(answer, ErrorCode::kDraining) ||
         Is(answer, ErrorCode::kOverloaded);
}

}  // namespace

struct ControlChannel::Call {
  Call(asio::io_context& io, wire::BodyUnion body) : body(std::move(body)), pause(io) {}

  uint64_t id = 0;
  wire::BodyUnion body;
  Time deadline;
  Resend resend = Resend::kAllowed;
  Callback callback;
  asio::steady_timer pause;
  Time try_began;
  size_t hops = 0;              // hints followed since the last pause
  bool maybe_executed = false;  // a controller may have received and executed the call
  std::string trying;           // the controller of the present try
  uint64_t peer_call = 0;       // id of the present try at its client
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
    if (id.empty() || this->Known(id) || this->controllers.size() >= kMaxControllers) continue;
    this->controllers.push_back({id, JoinAddress(id, this->peer_port)});
  }
}

PeerClient& ControlChannel::ClientOf(const std::string& controller) {
  std::unique_ptr<PeerClient>& client = this->clients[controller];
  if (!client) {
    const auto found = std::find_if(this->controllers.begin(), this->controllers.end(),
                                    [&](const auto& known) { return known.id == controller; });
    client = std::make_unique<PeerClient>(this->io, found->peer_address);
  }
  return *client;
}

bool ControlChannel::Known(const std::string& controller) const {
  return std::any_of(this->controllers.begin(), this->controllers.end(),
                     [&](const auto& known) { return known.id == controller; });
}

void ControlChannel::NoteLeader(const std::string& controller) {
  this->leader = controller;
  this->current = controller;
  this->failed.erase(controller);
}

bool ControlChannel::NoteNotLeader(Time now, const std::string& from, const std::string& hint) {
  this->failed.erase(from);
  this->AddControllers({hint});
  const bool usable = this->Known(hint) && hint != from && !this->RecentlyUnreachable(now, hint);
  if (usable) {
    this->current = hint;
    this->leader = hint;
    return true;
  }
  if (this->leader == from) this->leader.clear();
  this->Advance(from);
  return false;
}

void ControlChannel::NoteFailure(Time now, const std::string& controller) {
  this->failed[controller] = now;
  if (this->leader == controller) this->leader.clear();
  this->Advance(controller);
}

bool ControlChannel::RecentlyUnreachable(Time now, const std::string& controller) const {
  const auto found = this->failed.find(controller);
  return found != this->failed.end() && now - found->second < kUnreachableTime;
}

// Only the current controller is left, so that several failures of one lead to one step.
void ControlChannel::Advance(const std::string& from) {
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
  call->id = ++this->last_call;
  call->deadline = deadline;
  call->resend = resend;
  call->callback = std::move(callback);
  this->calls.emplace(call->id, call);
  if (this->stopped) return this->Finish(call, Fail(ErrorCode::kCancelled, "stopped"));
  this->Try(call);
}

void ControlChannel::Try(const std::shared_ptr<Call>& call) {
  if (call->done) return;
  const Time now = SteadyNow();
  if (now >= call->deadline) {
    return this->Finish(call, call->maybe_executed
                                  ? Fail(ErrorCode::kUnknownOutcome, "no answer in time")
                                  : Fail(ErrorCode::kUnavailable, "no controller was reached"));
  }
  const Time limit = call->resend == Resend::kNever
                         ? call->deadline
                         : std::min(call->deadline, now + kCommandTryTimeout);
  call->trying = this->current;
  call->try_began = now;
  call->peer_call = this->ClientOf(call->trying)
                        .Call(call->body, limit,
                              [weak = this->weak_from_this(), call,
                               controller = call->trying](Result<wire::BodyUnion> reply) {
                                auto self = weak.lock();
                                if (!self || call->done) return;
                                call->peer_call = 0;
                                self->OnReply(call, controller, std::move(reply));
                              });
}

void ControlChannel::OnReply(const std::shared_ptr<Call>& call, const std::string& controller,
                             Result<wire::BodyUnion> reply) {
  if (!reply) return this->OnFailure(call, controller, reply.error());
  const Answer answer = AnswerOf(*reply);
  if (Is(answer, ErrorCode::kNotLeader)) {
    return this->OnNotLeader(call, controller, answer.leader);
  }
  if (Is(answer, ErrorCode::kUnavailable) || Is(answer, ErrorCode::kDraining)) {
    this->NoteNotLeader(SteadyNow(), controller, "");
    return this->TryLater(call);
  }
  if (Is(answer, ErrorCode::kUnknownOutcome)) {
    call->maybe_executed = true;
    if (call->resend == Resend::kAllowed) return this->TryLater(call);
  } else if (call->maybe_executed && Unproposed(answer)) {
    // This refusal says nothing about the earlier try.
    return this->Finish(call, Fail(ErrorCode::kUnknownOutcome, "an earlier answer was lost"));
  }
  this->NoteLeader(controller);
  this->Finish(call, std::move(reply));
}

void ControlChannel::OnFailure(const std::shared_ptr<Call>& call, const std::string& controller,
                               const Error& error) {
  // Neither a short deadline of the call nor too many waiting bytes are a fault of the controller.
  const Time now = SteadyNow();
  const bool cut_short = now >= call->deadline && now - call->try_began < kCommandTryTimeout;
  if (error.code != ErrorCode::kOverloaded && !cut_short) this->NoteFailure(now, controller);
  const bool sent = error.code != ErrorCode::kUnavailable && error.code != ErrorCode::kOverloaded;
  if (sent) call->maybe_executed = true;
  if (sent && call->resend == Resend::kNever) {
    return this->Finish(call, Fail(ErrorCode::kUnknownOutcome, error.detail));
  }
  this->TryLater(call);
}

void ControlChannel::OnNotLeader(const std::shared_ptr<Call>& call, const std::string& controller,
                                 const std::string& hint) {
  const bool usable = this->NoteNotLeader(SteadyNow(), controller, hint);
  // Two controllers that name each other must not cause a busy loop.
  if (usable && ++call->hops <= this->controllers.size()) return this->Try(call);
  this->TryLater(call);
}

void ControlChannel::TryLater(const std::shared_ptr<Call>& call) {
  call->hops = 0;
  call->pause.expires_after(kLeaderSearchPause);
  call->pause.async_wait(
      [weak = this->weak_from_this(), call](const boost::system::error_code& error) {
        auto self = weak.lock();
        if (!error && self) self->Try(call);
      });
}

void ControlChannel::Finish(const std::shared_ptr<Call>& call, Result<wire::BodyUnion> result) {
  if (std::exchange(call->done, true)) return;
  call->pause.cancel();
  this->calls.erase(call->id);
  auto shared = std::make_shared<Result<wire::BodyUnion>>(std::move(result));
  asio::post(this->io,
             [call, shared] { std::exchange(call->callback, nullptr)(std::move(*shared)); });
}

void ControlChannel::Stop() {
  if (std::exchange(this->stopped, true)) return;
  const auto cancelled = this->calls;
  for (const auto& [id, call] : cancelled) {
    if (call->peer_call != 0) this->ClientOf(call->trying).Cancel(call->peer_call);
    this->Finish(call, Fail(ErrorCode::kCancelled, "the control client was stopped"));
  }
  for (auto& [id, client] : this->clients) client->Close();
}

}  // namespace peridotgauge
