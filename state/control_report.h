// JSON reports of the operator API about the control plane: configuration, history, propagation of
// a revision to the routers (in force), status, targets.
//
// Contract: every function returns one JSON object. Digests are 16 hexadecimal digits, because many
// JSON parsers lose the low bits of 64-bit numbers. ConfigJson() returns kNotFound for a revision
// that was never accepted or whose text is no longer stored.
#ifndef PERIDOTGAUGE_STATE_CONTROL_REPORT_H_
#define PERIDOTGAUGE_STATE_CONTROL_REPORT_H_

#include <cstdint>
#include <string>

#include "core/error.h"
#include "core/types.h"
#include "peer_generated.h"
#include "state/control_state.h"
#include "state/directory.h"
#include "state/session.h"

namespace peridotgauge {

// State of the replicated log, for the status report.
struct LogStatus {
  std::string id;
  std::string role;
  std::string leader;
  uint64_t term = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  uint64_t log_entries = 0;
  uint64_t log_bytes = 0;
  std::string storage_error;
};

// Returns {"revision","digest","author","accepted_at_ms","text"}. Revision 0 means the current one;
// if no revision was accepted yet, the result is {"revision":0}.
Result<std::string> ConfigJson(const ControlState& state, uint64_t revision);
// Returns {"revision","revisions":[{"revision","digest","author","accepted_at_ms"}]}, newest first,
// for the revisions whose details are still stored.
std::string HistoryJson(const ControlState& state);
// Returns {"revision","digest","accepted","in_force","current","routers","waiting":[router ids]}.
// Revision 0 means the current one. `in_force` means that no router uses an older revision any
// more.
Result<std::string> InForceJson(Time now, const ControlState& state, SessionTable& sessions,
                                uint64_t revision);
// Returns {"controller":{...},"config":{...},"routers":[...],"quarantine":[...],"ledger":{...},
// "directory":{...}}.
std::string StatusJson(const LogStatus& log, const ControlState& state,
                       const SessionTable& sessions, const Directory& directory, Time now);
// Returns {"epoch","version","collecting","targets":[...]}.
std::string TargetsJson(const Directory& directory);

// The data that reports are built from.
struct ReportSources {
  LogStatus log;
  const ControlState& state;
  SessionTable& sessions;
  const Directory& directory;
};
// Returns the result of a read: one of the reports above, or the text of the current configuration.
// Returns kNotFound as ConfigJson() does, or if no configuration was accepted yet.
Result<std::string> BuildReport(wire::ReadKind kind, uint64_t revision, Time now,
                                const ReportSources& sources);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_CONTROL_REPORT_H_
