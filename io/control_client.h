// The router's side of the control plane: lease, state and directory copy, commands and reads.
//
// Use:
//   ControlClient control(io, {.self = record, .controllers = settings.controllers});
//   control.OnChange([&](const ControlChange& change) { ... });
//   control.Start();                                   // begins to sync; a router only
//   if (!control.Synchronized(now)) Refuse(ErrorCode::kNotSynchronized);
//   control.Register(target_record);                   // registration, renewal or expired lease
//   control.Command(ToCommand(claim), deadline, [](Result<wire::CommandReplyT> reply) { ... });
//   control.Read(wire::ReadKind::Status, 0, deadline, [](Result<std::string> json) { ... });
//
// Contract: everything runs on the thread of the io_context. Callbacks are called exactly once and
// never from inside the call that registered them. Command and Read work without Start(). A lease
// is renewed only after the reply's state has been applied. A command's error is kUnavailable only
// if no controller can have received it; kUnknownOutcome if it may have been committed. Commands
// other than ChangeMembers are idempotent and are sent again until the deadline when an answer is
// lost.
#ifndef PERIDOTGAUGE_IO_CONTROL_CLIENT_H_
#define PERIDOTGAUGE_IO_CONTROL_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/error.h"
#include "core/records.h"
#include "core/settings.h"
#include "core/types.h"
#include "peer_generated.h"
#include "state/commands.h"
#include "state/directory_copy.h"
#include "state/lease.h"

namespace peridotgauge {

// A reply later than this makes the client switch to another controller. It is the longest hold of
// a poll (400 ms) and ample time for a quorum round; the rest of the lease is left for the switch.
constexpr Duration kSyncReplyTimeout = Millis(700);
// Targets wait a second for the answer to a heartbeat and then call another controller. A departure
// may wait for kPublicationTimeout until all routers know it. Others are refused as soon as an
// election would have ended, so that a target leaves a controller that is cut off without missing
// heartbeats.
constexpr Duration kHeartbeatCallTime = Millis(300);
constexpr Duration kDepartureCallTime = Millis(900);

struct ControlClientOptions {
  RouterRecord self;
  std::vector<ControllerAddress> controllers;
  uint16_t peer_port = 0;                      // see control_channel.h
  ConfigReader parse_config = &Config::Parse;  // of accepted texts
};

// What a sync reply changed, or that none came for the length of the lease.
struct ControlChange {
  bool config = false;
  bool routers = false;
  bool quarantine = false;
  bool directory = false;
  bool lease_acquired = false;  // the lease was renewed after it had been invalid
  bool lease_expired = false;   // the lease has ended; called once, and with nothing else
};

class ControlClient {
 public:
  using CommandCallback = std::function<void(Result<wire::CommandReplyT>)>;
  using ReadCallback = std::function<void(Result<std::string>)>;
  using ChangeCallback = std::function<void(const ControlChange&)>;

  ControlClient(boost::asio::io_context& io, ControlClientOptions options);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // Begins to sync. The router joins the view with its first sync.
  void Start();
  // Stops syncing and drops the lease; call it before a clean Leave. Commands still work.
  void StopSync();
  // Fails all calls with kCancelled and closes the connections.
  void Stop();
  void OnChange(ChangeCallback callback);

  // --- Published state ---
  bool Synchronized(Time now) const;
  const Lease& CurrentLease() const;
  // The current configuration; never null, revision 0 before the first.
  std::shared_ptr<const Config> CurrentConfig() const;
  // The router list by id, and the log index of its last change.
  const RouterMap& Routers() const;
  uint64_t ViewIndex() const;
  const std::vector<QuarantineRecord>& QuarantineList() const;
  const DirectoryCopy& Directory() const;
  // Id of the leader; empty if unknown.
  std::string Leader() const;

  // Adds controllers to try, see control_channel.h.
  void AddControllers(const std::vector<std::string>& controllers);

  // Passes on a registration, a renewal, or a lease that has expired (state kGone).
  void Register(TargetRecord record);

  // A Claim needs a `claim_id` above all that this process has used before.
  void Command(wire::CommandBodyUnion body, Time deadline, CommandCallback callback);
  // Passes a target's heartbeat, or its departure, on to the leader, within kHeartbeatCallTime or
  // kDepartureCallTime.
  void Heartbeat(const TargetRecord& record, bool remove, CommandCallback callback);
  void Read(wire::ReadKind kind, uint64_t revision, Time deadline, ReadCallback callback);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_CLIENT_H_
