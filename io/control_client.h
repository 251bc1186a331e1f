// The client of the controllers: keeps a router's lease and its copy of the replicated state and
// the directory, and sends commands and reads.
//
// Use:
//   ControlClient control(io, {.self = record, .controllers = settings.controllers});
//   control.OnChange([&](const ControlChange& change) { ... });
//   control.Start();                                   // starts the sync loop; routers only
//   if (!control.Synchronized(now)) Refuse(ErrorCode::kNotSynchronized);
//   control.Register(target_record);                   // registration, renewal or expired lease
//   control.Command(ToCommand(claim), deadline, [](Result<wire::CommandReplyT> reply) { ... });
//   control.Read(wire::ReadKind::Status, 0, deadline, [](Result<std::string> json) { ... });
//
// Contract: everything runs on the thread of the io_context. Callbacks are called exactly once and
// never from inside the call that registered them. Command and Read work without Start(). The lease
// is renewed only after the state in the reply has been applied. A command fails with kUnavailable
// only if no controller can have received it, and with kUnknownOutcome if it may have been
// committed. All commands except ChangeMembers are idempotent and are retried until the deadline if
// a reply is lost.
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
#include "core/extra_debts.h"
#include "core/records.h"
#include "core/router_offer.h"
#include "core/settings.h"
#include "core/types.h"
#include "core/workspace_quota.h"
#include "peer_generated.h"
#include "state/commands.h"
#include "state/directory_copy.h"
#include "state/lease.h"

namespace peridotgauge {

// Time in addition to the hold of a poll after which the client switches to another controller. It
// covers a slow quorum round, and leaves the rest of the lease for the switch. It doubles with each
// consecutive timeout up to the limit, because an overloaded leader recovers only if routers wait
// longer and reconnect less often.
constexpr Duration kSyncReplyMargin = Millis(300);
constexpr Duration kMaxSyncReplyMargin = Millis(2'400);
// Upper bound of the random delay before a failed sync request is repeated. It doubles with each
// consecutive failure up to the limit.
constexpr Duration kSyncRetryDelay = Millis(50);
constexpr Duration kMaxSyncRetryDelay = Millis(400);
// The reply to a departure may be delayed by kDepartureAckTimeout until all routers have received
// it. Targets wait one second.
constexpr Duration kDepartureCallTimeout = Millis(900);

struct ControlClientOptions {
  RouterRecord self;
  std::vector<ControllerAddress> controllers;
  uint16_t peer_port = 0;                      // see control_channel.h
  ConfigParser parse_config = &Config::Parse;  // parses accepted configurations
  // The router needs the number of routers and not their list; Routers() stays empty.
  bool compact = false;
};

// What a router reports with each sync request.
struct RouterReport {
  RouterLoad load;
  ExtraDebts extra_debts;
  bool extra_history = false;  // `extra_debts` include those of the router's predecessors
  Duration extra_window{0};    // window of the limits to which the debts belong; 0: none
};

// Lists what a sync reply changed, or reports that the lease has expired.
struct ControlChange {
  bool config = false;
  bool routers = false;
  bool quarantine = false;
  bool evacuations = false;
  bool directory = false;
  bool inherited_debts = false;  // reported once, with the first reply
  bool lease_acquired = false;   // the lease is valid and was not before
  bool lease_expired = false;    // reported once, without other changes
};

class ControlClient {
 public:
  using CommandCallback = std::function<void(Result<wire::CommandReplyT>)>;
  using ReadCallback = std::function<void(Result<std::string>)>;
  using QuotaCallback = std::function<void(Result<QuotaGrants>)>;
  using ChangeCallback = std::function<void(const ControlChange&)>;

  ControlClient(boost::asio::io_context& io, ControlClientOptions options);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // Starts the sync loop. The router joins the view with its first sync.
  void Start();
  // Stops the sync loop and drops the lease; must precede a clean Leave. Commands still work.
  void StopSync();
  // Fails all calls with kCancelled and closes the connections.
  void Stop();
  void OnChange(ChangeCallback callback);

  // --- Copy of the control state ---
  bool Synchronized(Time now) const;
  const Lease& CurrentLease() const;
  // Returns the current configuration; never null, with revision 0 before the first sync.
  std::shared_ptr<const Config> CurrentConfig() const;
  // Returns the router list by id; ViewIndex() is the log index of its last change.
  const RouterMap& Routers() const;
  // Returns the number of routers that are not draining, also if the client is compact.
  size_t ActiveRouters() const;
  uint64_t ViewIndex() const;
  const std::vector<QuarantineRecord>& QuarantineList() const;
  // Returns the newest known list of data centres whose targets get no requests, ordered by name.
  // It stays in force without contact with the controllers.
  const std::vector<std::string>& Evacuated() const;
  const DirectoryCopy& Directory() const;
  // Returns the id of the leader; empty if unknown.
  std::string Leader() const;

  // Returns the number of routers that callers are told about; at most ActiveRouters().
  size_t OfferedRouterCount() const;

  // Sets the function that returns what to report with each sync request.
  void SetReport(std::function<RouterReport(Time now)> report);
  // Reports now instead of with the next request.
  void ReportNow();
  // Returns the debts of the router's predecessor, or nothing if they are not known.
  const std::optional<ExtraDebts>& InheritedDebts() const;

  // Adds controllers, see ControlChannel::AddControllers().
  void AddControllers(const std::vector<std::string>& controllers);
  // Sets the source of the leader's id, see ControlChannel::SetLeaderSource().
  void SetLeaderSource(std::function<std::string()> source);

  // Reports a registration, its renewal or its expiry (state kGone) to the leader.
  void Register(TargetRecord record);

  // Sends a command. The `claim_id` of a Claim must be above all that this process has used before.
  void Command(wire::CommandBodyUnion body, Time deadline, CommandCallback callback);
  // Sends a target's heartbeat to the leader with kHeartbeatCallTimeout, together with others, or
  // its departure with kDepartureCallTimeout. `remove`: the target leaves.
  void Heartbeat(const TargetRecord& record, bool remove, CommandCallback callback);
  // Returns the number of targets that send heartbeats, as the leader said with the last reply to
  // one; 0 before that.
  size_t RegisteredTargets() const;
  void Read(wire::ReadKind kind, uint64_t revision, Time deadline, ReadCallback callback);
  // Asks the leader for permits for requests of workspaces with a quota. It is not sent again once
  // a controller may have received it. Any failure is reported as kUnavailable.
  void AskForPermits(const QuotaAsk& ask, Time deadline, QuotaCallback callback);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_CLIENT_H_
