// Sends requests from any process to the leader of the controllers.
//
// Use:
//   ControlChannel channel(io, settings.controllers);
//   channel.Exchange(body, deadline, Resend::kAllowed, [](Result<wire::BodyUnion> reply) { ... });
//
// Contract: everything runs on the thread of the io_context; callbacks are called exactly once and
// never from inside the call. A call follows the redirect in a kNotLeader reply and tries the other
// controllers until its deadline. It fails with kUnavailable only if no controller can have
// received it, otherwise with kUnknownOutcome. With Resend::kNever it is not sent again once a
// controller may have executed it.
//
// A controller counts as unreachable if an attempt at it took kCommandAttemptTimeout without a
// reply, or if it has replied to neither the shorter attempts nor the syncs of that time. A leader
// that hangs would otherwise get all heartbeats of targets until another call takes longer.
#ifndef PERIDOTGAUGE_IO_CONTROL_CHANNEL_H_
#define PERIDOTGAUGE_IO_CONTROL_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/settings.h"
#include "core/types.h"
#include "io/peer.h"
#include "peer_generated.h"

namespace peridotgauge {

// Timeout of one attempt of a call; the call's deadline may allow several attempts.
constexpr Duration kCommandAttemptTimeout = Millis(700);
// Delay before the next attempt after a failure or when no leader is known.
constexpr Duration kLeaderRetryDelay = Millis(50);
// Time for which an unreachable controller is not used while another one replies.
constexpr Duration kUnreachableBackoff = Seconds(3);

enum class Resend : uint8_t { kAllowed, kNever };

class ControlChannel : public std::enable_shared_from_this<ControlChannel> {
 public:
  using Callback = std::function<void(Result<wire::BodyUnion>)>;

  // `controllers` must not be empty.
  // If `peer_port` is not 0, it is the port of all controllers and their ids are IP addresses, so
  // that controllers named by other controllers can be used although they are not in `controllers`.
  ControlChannel(boost::asio::io_context& io, std::vector<ControllerAddress> controllers,
                 uint16_t peer_port = 0);

  void Exchange(wire::BodyUnion body, Time deadline, Resend resend, Callback callback);
  // Fails all calls with kCancelled and closes the connections.
  void Stop();

  // --- Selection of a controller, shared with the sync loop of ControlClient ---
  PeerClient& ClientFor(const std::string& controller);
  // Returns the id of the controller to try next: the leader if it is known.
  const std::string& Current() const { return this->current; }
  // Returns the id of the leader; empty if unknown.
  const std::string& Leader() const { return this->leader; }
  // Records that this controller replied as the leader.
  void RecordLeader(const std::string& controller);
  // Adds the controllers that are not known yet; does nothing without a `peer_port`.
  void AddControllers(const std::vector<std::string>& ids);
  // Sets a function that returns the leader that this process knows from the replicated log, or
  // nothing. A controller that it names anew is tried first.
  void SetLeaderSource(std::function<std::string()> source) {
    this->leader_source = std::move(source);
  }
  // Records that `from` replied kNotLeader and named `hint`, which may be empty, as the leader.
  // Returns true if the hint is a reachable controller, so that it can be tried immediately.
  bool RecordNotLeader(Time now, const std::string& from, const std::string& hint);
  // Records that this controller did not reply; the next one becomes current.
  void RecordFailure(Time now, const std::string& controller);
  bool RecentlyUnreachable(Time now, const std::string& controller) const;

 private:
  struct Call;
  void Attempt(const std::shared_ptr<Call>& call);
  void OnReply(const std::shared_ptr<Call>& call, const std::string& controller,
               Result<wire::BodyUnion> reply);
  void OnAttemptFailed(const std::shared_ptr<Call>& call, const std::string& controller,
                       const Error& error);
  void OnNotLeader(const std::shared_ptr<Call>& call, const std::string& controller,
                   const std::string& hint);
  void RetryLater(const std::shared_ptr<Call>& call);
  void Finish(const std::shared_ptr<Call>& call, Result<wire::BodyUnion> result);
  void AdvanceFrom(const std::string& from);
  void FollowLeaderSource(Time now);
  bool IsKnown(const std::string& controller) const;

  boost::asio::io_context& io;
  std::vector<ControllerAddress> controllers;
  uint16_t peer_port;
  std::map<std::string, std::unique_ptr<PeerClient>> clients;  // by controller id
  std::map<std::string, Time> last_failures;  // time of the last failure, by controller id
  // Start of the first attempt since the last reply, by controller.
  std::map<std::string, Time> silent_since;
  std::function<std::string()> leader_source;
  std::string named_leader;  // the last name that `leader_source` has returned
  std::string current;
  std::string leader;
  std::map<uint64_t, std::shared_ptr<Call>> calls;
  uint64_t last_call_id = 0;
  bool stopped = false;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_CHANNEL_H_
