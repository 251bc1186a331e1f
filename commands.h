// Commands of the replicated state machine, wrapped for sending.
#ifndef PERIDOTGAUGE_COMMANDS_H_
#define PERIDOTGAUGE_COMMANDS_H_

#include <cstdint>
#include <string>
#include <utility>

#include "peer_generated.h"

namespace peridotgauge {

// Wraps a command, for example ToCommand(wire::ClaimT{}).
template <typename T>
wire::CommandBodyUnion ToCommand(T command) {
  wire::CommandBodyUnion body;
  body.Set(std::move(command));
  return body;
}

// The departure of a router. `clean`: it has stopped dispatching and is removed from the view;
// otherwise it leaves the address list and goes on serving.
inline wire::CommandBodyUnion LeaveCommand(const std::string& router, uint64_t incarnation,
                                           bool clean) {
  wire::LeaveT leave;
  leave.id = router;
  leave.incarnation = incarnation;
  leave.clean = clean;
  return ToCommand(std::move(leave));
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_COMMANDS_H_
