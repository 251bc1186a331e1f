// The leader's side of targets that register with controllers: heartbeats, removals, and departures
// that routers report.
//
// Use:
//   auto registrar = std::make_shared<TargetRegistrar>(context);
//   registrar->StartTerm(now, term);                   // on gaining leadership
//   registrar->Handle(request, reply);                 // a RegisterRequest
//   registrar->RecordReportedDepartures(records);      // from a sync request
//   registrar->RecordVersion(router, version);         // from each sync request
//   registrar->AcknowledgeDepartures(now);             // when a router may have caught up
//   registrar->Expire(now);                            // regularly
//   registrar->EndTerm();                              // whenever leadership changes
//
// Contract: runs on the thread of the io_context. Each request gets one reply. The departure of a
// target is acknowledged once it is committed, so that no later leader believes an older heartbeat,
// and once all routers with a session have received it.
#ifndef PERIDOTGAUGE_IO_TARGET_REGISTRAR_H_
#define PERIDOTGAUGE_IO_TARGET_REGISTRAR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "core/types.h"
#include "io/control_events.h"
#include "io/proposals.h"
#include "io/replicated_log.h"
#include "peer_generated.h"
#include "state/control_state.h"
#include "state/directory.h"
#include "state/directory_ack_tracker.h"
#include "state/session.h"
#include "state/target_heartbeat_handler.h"

namespace peridotgauge {

// Maximum time for which the heartbeat of a leaving target waits until all routers have received
// the departure. Well below the one second for which targets wait. After it the heartbeat fails,
// and the target sends it again.
constexpr Duration kDepartureAckTimeout = Millis(600);
// A departure is acknowledged after this time even if a router has not received it. Longer than a
// session, so that only routers that stay in contact without applying replies are left out.
constexpr Duration kDepartureAckLimit = Seconds(3);

class TargetRegistrar : public std::enable_shared_from_this<TargetRegistrar> {
 public:
  using Reply = std::function<void(const wire::BodyUnion&)>;

  // All references outlive the registrar.
  struct Context {
    std::string controller;  // the id of this one
    Duration lease;          // of a target's registration
    ReplicatedLog& log;
    const ControlState& state;
    Directory& directory;
    const SessionTable& sessions;
    std::shared_ptr<Proposals> proposals;
    ControlEvents& events;
    std::function<void()> directory_changed;
    // Checks the leadership and returns the term in which this controller leads, or 0.
    std::function<uint64_t()> current_term;
  };

  explicit TargetRegistrar(Context context);

  // Starts a term of leadership with an empty directory.
  void StartTerm(Time now, uint64_t term);
  // Ends waits for acknowledgements.
  void EndTerm();
  void Stop();

  void Handle(const wire::RegisterRequestT& request, const Reply& reply);
  // Records the departures among the registrations of a router. The router sends them again until
  // it gets a reply, so a lost command is repeated.
  void RecordReportedDepartures(const std::vector<TargetRecord>& registrations);
  // Records the directory version that a router has.
  void RecordVersion(const std::string& router, uint64_t version) {
    this->ack_tracker.RecordVersion(router, version);
  }
  void AcknowledgeDepartures(Time now);
  // Applies departures that were committed in an earlier term and applied to the state only after
  // this one began; an older heartbeat may have been accepted meanwhile.
  void ApplyEarlierDepartures(Time now);
  // Removes targets whose heartbeats are overdue.
  void Expire(Time now);

 private:
  Result<HeartbeatResult> HandleHeartbeat(Time now, const TargetRecord& record, bool remove);
  // Handles a heartbeat and logs the outcome.
  Result<HeartbeatResult> AcceptHeartbeat(Time now, const TargetRecord& record, bool remove);
  // Handles one of several heartbeats in a message and returns its error, or -1. Departures are not
  // accepted, as their acknowledgement takes longer.
  int8_t OnHeartbeatOfBatch(Time now, const wire::TargetRecordT* target);
  void HandleBatch(Time now, const wire::RegisterRequestT& request, const Reply& reply);
  // Returns the reply to heartbeats that were handled.
  wire::CommandReplyT HeartbeatReply() const;
  void OnDeparture(Time now, const std::string& target, const Reply& reply);
  // Commits that targets leave.
  void RecordDepartures(const std::vector<Departure>& departures, Proposals::Callback callback);
  // Acknowledges a departure once all routers with a session know of it. `since`: when it was first
  // reported.
  void AwaitDeparture(Time now, Time since, const std::string& target, const Reply& reply);
  // Returns the directory version that every router with a session has received.
  uint64_t AcknowledgedVersion(Time now) const {
    return this->ack_tracker.AcknowledgedVersion(now, this->context.directory.Version(),
                                                 this->context.sessions.Sessions());
  }

  Context context;
  TargetHeartbeatHandler heartbeat_handler;
  DirectoryAckTracker ack_tracker;
  // By target: when its departure was first reported. Cleared when it registers again.
  std::map<std::string, Time> departures_since;
  uint64_t applied_departures = 0;  // DeparturesIndex() up to which departures were applied
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TARGET_REGISTRAR_H_
