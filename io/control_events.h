// Log lines of the controllers: one for each change of what they believe about controllers,
// routers, targets and configurations. The names of events and fields are listed in
// docs/OPERATIONS.md.
//
// Use:
//   ControlEvents events(options.events);
//   events.RouterJoins(router);
//
// Contract: never blocks and never fails, see event_log.h. Without a log nothing is written.
#ifndef PERIDOTGAUGE_IO_CONTROL_EVENTS_H_
#define PERIDOTGAUGE_IO_CONTROL_EVENTS_H_

#include <cstdint>
#include <string_view>

#include "core/error.h"
#include "core/records.h"
#include "io/event_log.h"
#include "peer_generated.h"
#include "state/session.h"

namespace peridotgauge {

class ControlEvents {
 public:
  // `log` outlives this object; null writes nothing.
  explicit ControlEvents(EventLog* log) : log(log) {}

  void Leadership(bool leading, uint64_t term);
  void RouterJoins(const RouterRecord& router);
  void RouterExpired(const RouterId& router);
  void TargetRegistered(const TargetRecord& target, uint64_t directory_version);
  void TargetRemoved(const TargetRecord& target, uint64_t directory_version);
  void TargetExpired(const TargetRecord& target, uint64_t directory_version);
  void HeartbeatRefused(const TargetRecord& target, const Error& error);
  void ConfigRefused(const Error& error);
  // The outcome of a configuration that was proposed.
  void ConfigDecided(uint64_t revision, const wire::CommandReplyT& reply);

 private:
  void Write(const Event& event);
  void Target(std::string_view name, const TargetRecord& target, uint64_t directory_version);

  EventLog* log;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_EVENTS_H_
