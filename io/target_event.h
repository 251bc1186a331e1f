// The event that controllers and routers log when a target changes.
#ifndef PERIDOTGAUGE_IO_TARGET_EVENT_H_
#define PERIDOTGAUGE_IO_TARGET_EVENT_H_

#include <cstdint>
#include <string_view>

#include "core/records.h"
#include "io/event_log.h"

namespace peridotgauge {

// Returns the event with the target's new state and the directory version that contains the change.
inline Event TargetEvent(std::string_view name, const TargetRecord& target, TargetState state,
                         uint64_t directory_version) {
  Event event(name);
  event.Add("target", target.target)
      .Add("service", target.service)
      .Add("address", target.address)
      .Add("state", NameOf(state))
      .Add("sequence", target.sequence)
      .Add("directory", directory_version);
  return event;
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TARGET_EVENT_H_
