// Builds the replies of a controller to routers and operators from its state. Does no I/O.
//
// Use:
//   responder.reply(MakeSyncError(ErrorCode::kNotLeader, "", leader));
//   wire::SyncReplyT reply = MakeSyncReply(state, request.state_index, request.router_deltas);
//   AddDirectoryDelta(directory.DeltaSince(epoch, version), reply);
#ifndef PERIDOTGAUGE_IO_CONTROL_REPLIES_H_
#define PERIDOTGAUGE_IO_CONTROL_REPLIES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.h"
#include "io/directory_feed.h"
#include "io/replica.h"
#include "peer_generated.h"
#include "state/config_feed.h"
#include "state/control_report.h"
#include "state/control_state.h"
#include "state/directory.h"

namespace peridotgauge {

// Error replies. `leader` is the id of the leader, or empty if unknown.
wire::BodyUnion MakeSyncError(ErrorCode code, const std::string& detail, const std::string& leader);
wire::BodyUnion MakeCommandError(const Error& error, const std::string& leader);
// Returns the reply to a ReadRequest with the result or the error.
wire::BodyUnion MakeReadReply(const Result<std::string>& json, const std::string& leader);

wire::BodyUnion MakeQuotaError(const Error& error, const std::string& leader);

// Returns the consensus part of the status report.
LogStatus ToLogStatus(const ReplicaStatus& status);

// Returns a reply with the configuration text, router list and quarantine list as far as they
// changed after log index `applied_index`. The router list is sent as a delta only if
// `router_deltas` is set.
wire::SyncReplyT MakeSyncReply(const ControlState& state, uint64_t applied_index,
                               bool router_deltas);
// Returns the reply to a compact request: the number of routers instead of their list, and no
// configuration. `state_index` is the index up to which the sender is up to date with that reply.
wire::SyncReplyT MakeCompactSyncReply(const ControlState& state, uint64_t state_index,
                                      uint64_t config_revision);
// Fills the list of requests that crash targets.
void AddQuarantine(const ControlState& state, wire::SyncReplyT& reply);
// Fills the index of the list of evacuated data centres, and the list if it changed after
// `known_index`.
void AddEvacuations(const ControlState& state, uint64_t known_index, wire::SyncReplyT& reply);
// Fills the configuration fields of the reply to a compact request.
void AddConfigPackage(const ConfigPackage& package, wire::SyncReplyT& reply);
// Fills the directory fields of the reply.
void AddDirectoryDelta(const DirectoryDelta& delta, wire::SyncReplyT& reply);
// The same for a reply to a router that reads packages.
void AddDirectoryUpdate(const Directory& directory, const DirectoryUpdate& update,
                        wire::SyncReplyT& reply);

// Returns the error reply to a request of this type, or nothing for a type that gets no reply.
std::optional<wire::BodyUnion> MakeErrorReply(wire::Body type, const Error& error,
                                              const std::string& leader);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_REPLIES_H_
