// Writes the event log of the controllers: one line for each change of leadership, routers,
// targets, evacuations and configurations. The event and field names are listed in
// docs/OPERATIONS.md.
//
// Use:
//   ControlEvents events(options.events);
//   events.RouterJoining(router);
//
// Contract: never blocks and never fails, see event_log.h.
#ifndef PERIDOTGAUGE_IO_CONTROL_EVENTS_H_
#define PERIDOTGAUGE_IO_CONTROL_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/records.h"
#include "io/event_log.h"
#include "peer_generated.h"
#include "state/departures.h"
#include "state/session.h"

namespace peridotgauge {

class ControlEvents {
 public:
  // `log` must outlive this object; if it is null, nothing is written.
  explicit ControlEvents(EventLog* log) : log(log) {}

  void LeadershipChanged(bool leading, uint64_t term);
  void RouterJoining(const RouterRecord& router);
  void RouterExpired(const RouterId& router);
  // Writes the number of routers that callers will be told about, of `active`.
  void RoutersOffered(size_t count, size_t active);
  void TargetRegistered(const TargetRecord& target, uint64_t directory_version);
  void TargetRemoved(const TargetRecord& target, uint64_t directory_version);
  void TargetExpired(const TargetRecord& target, uint64_t directory_version);
  void HeartbeatRefused(const TargetRecord& target, const Error& error);
  // Writes that a heartbeat is older than what is known of the target, and was ignored.
  void HeartbeatStale(const TargetRecord& target);
  // Writes that the departure of a target is acknowledged, `waited` after it was first reported.
  // `departure` is what later leaders know of it.
  void DepartureAcknowledged(const std::string& target, const std::optional<Departure>& departure,
                             Duration waited);
  // Writes the outcome of a command that evacuates a data centre or ends that.
  void EvacuationDecided(const wire::SetEvacuationT& command, const wire::CommandReplyT& reply);
  void ConfigRefused(const Error& error);
  // Writes the outcome of a proposed configuration.
  void ConfigDecided(uint64_t revision, const wire::CommandReplyT& reply);

 private:
  void Write(const Event& event);
  void WriteTargetEvent(std::string_view name, const TargetRecord& target,
                        uint64_t directory_version);

  EventLog* log;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_EVENTS_H_
