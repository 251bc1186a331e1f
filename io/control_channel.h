// Calls from any process to the leader of the controllers.
//
// Use:
//   ControlChannel channel(io, settings.controllers);
//   channel.Exchange(body, deadline, Resend::kAllowed, [](Result<wire::BodyUnion> reply) { ... });
//
// Contract: everything runs on the thread of the io_context; callbacks are called exactly once and
// never from inside the call. A call follows kNotLeader and goes on to other controllers until its
// deadline. It fails with kUnavailable only if no controller can have received it, otherwise with
// kUnknownOutcome. With Resend::kNever it is not sent again once a controller may have executed it.
#ifndef PERIDOTGAUGE_IO_CONTROL_CHANNEL_H_
#define PERIDOTGAUGE_IO_CONTROL_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/settings.h"
#include "core/types.h"
#include "io/peer.h"
#include "peer_generated.h"

namespace peridotgauge {

// One try of a call; the deadline of the call may allow several.
constexpr Duration kCommandTryTimeout = Millis(700);
// Pause after a failed try, or when no leader is known.
constexpr Duration kLeaderSearchPause = Millis(50);
// A controller that could not be reached is not tried again in this time if another one answers.
constexpr Duration kUnreachableTime = Seconds(10);

enum class Resend : uint8_t { kAllowed, kNever };

class ControlChannel : public std::enable_shared_from_this<ControlChannel> {
 public:
  using Callback = std::function<void(Result<wire::BodyUnion>)>;

  // `controllers` must not be empty.
  // `peer_port`, if not 0, is the port of all controllers; their ids are then IP numbers, and
  // controllers that others name are used without having been listed.
  ControlChannel(boost::asio::io_context& io, std::vector<ControllerAddress> controllers,
                 uint16_t peer_port = 0);

  void Exchange(wire::BodyUnion body, Time deadline, Resend resend, Callback callback);
  // Fails all calls with kCancelled and closes the connections.
  void Stop();

  // --- Choice of a controller, shared with the sync loop ---
  PeerClient& ClientOf(const std::string& controller);
  // The controller to try next: the leader if it is known.
  const std::string& Current() const { return this->current; }
  // Id of the leader; empty if unknown.
  const std::string& Leader() const { return this->leader; }
  // This controller answered as the leader.
  void NoteLeader(const std::string& controller);
  // Adds controllers that are not known yet; does nothing without a `peer_port`.
  void AddControllers(const std::vector<std::string>& ids);
  // `from` answered kNotLeader and named `hint`, which may be empty. Returns true if the hint is a
  // reachable controller, so that it can be tried at once.
  bool NoteNotLeader(Time now, const std::string& from, const std::string& hint);
  // This controller did not answer; the next one becomes current.
  void NoteFailure(Time now, const std::string& controller);
  bool RecentlyUnreachable(Time now, const std::string& controller) const;

 private:
  struct Call;
  void Try(const std::shared_ptr<Call>& call);
  void OnReply(const std::shared_ptr<Call>& call, const std::string& controller,
               Result<wire::BodyUnion> reply);
  void OnFailure(const std::shared_ptr<Call>& call, const std::string& controller,
                 const Error& error);
  void OnNotLeader(const std::shared_ptr<Call>& call, const std::string& controller,
                   const std::string& hint);
  void TryLater(const std::shared_ptr<Call>& call);
  void Finish(const std::shared_ptr<Call>& call, Result<wire::BodyUnion> result);
  void Advance(const std::string& from);
  bool Known(const std::string& controller) const;

  boost::asio::io_context& io;
  std::vector<ControllerAddress> controllers;
  uint16_t peer_port;
  std::map<std::string, std::unique_ptr<PeerClient>> clients;  // by controller id
  std::map<std::string, Time> failed;                          // last failure of each controller
  std::string current;
  std::string leader;
  std::map<uint64_t, std::shared_ptr<Call>> calls;
  uint64_t last_call = 0;
  bool stopped = false;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_CHANNEL_H_
