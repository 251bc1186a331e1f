// Helpers that build commands of the replicated state machine.
#ifndef PERIDOTGAUGE_STATE_COMMANDS_H_
#define PERIDOTGAUGE_STATE_COMMANDS_H_

#include <cstdint>
#include <string>
#include <utility>

#include "core/config.h"
#include "core/error.h"
#include "peer_generated.h"

namespace peridotgauge {

// Wraps a command in the union of all commands. Example: ToCommand(wire::ClaimT{}).
template <typename T>
wire::CommandBodyUnion ToCommand(T command) {
  wire::CommandBodyUnion body;
  body.Set(std::move(command));
  return body;
}

// Returns the command for the departure of a router. With `clean`, the router has stopped
// dispatching and is removed from the view. Otherwise it is marked as draining: it leaves the
// address list but continues to serve.
inline wire::CommandBodyUnion LeaveCommand(const std::string& router, uint64_t incarnation,
                                           bool clean) {
  wire::LeaveT leave;
  leave.id = router;
  leave.incarnation = incarnation;
  leave.clean = clean;
  return ToCommand(std::move(leave));
}

// Maximum length of the name of an evacuated data centre.
constexpr size_t kMaxDataCentreBytes = 255;

// Returns kBadRequest if no data centre with this name can be evacuated.
inline Result<void> CheckDataCentreName(const std::string& name) {
  if (!name.empty() && name.size() <= kMaxDataCentreBytes) return {};
  return Fail(ErrorCode::kBadRequest, "name of the data centre: must have 1 to " +
                                          std::to_string(kMaxDataCentreBytes) + " bytes");
}

// Validates the configuration text of the command and sets its revision, digest and acceptance rule
// (`highest_revision_wins`, see ControllerOptions). Errors are those of `read`.
inline Result<void> PrepareConfig(ConfigParser read, bool highest_revision_wins,
                                  wire::ApplyConfigT& command) {
  const Result<Config> config = read(command.text);
  command.highest = highest_revision_wins;
  if (!config) return tl::unexpected(config.error());
  command.revision = config->Revision();
  command.digest = config->Digest();
  return {};
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_COMMANDS_H_
