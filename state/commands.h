// Commands of the replicated state machine, wrapped for sending.
#ifndef PERIDOTGAUGE_STATE_COMMANDS_H_
#define PERIDOTGAUGE_STATE_COMMANDS_H_

#include <cstdint>
#include <string>
#include <utility>

#include "core/config.h"
#include "core/error.h"
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

// Validates the text of a configuration and adds what the state machine needs of it. `highest`: see
// ControllerOptions. Errors are those of `read`.
inline Result<void> PrepareConfig(ConfigParser read, bool highest, wire::ApplyConfigT& command) {
  const Result<Config> config = read(command.text);
  command.highest = highest;
  if (!config) return tl::unexpected(config.error());
  command.revision = config->Revision();
  command.digest = config->Digest();
  return {};
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_COMMANDS_H_
