// Replies of a controller to routers and operators, built from its state. No I/O.
//
// Use:
//   responder.reply(SyncError(ErrorCode::kNotLeader, "", leader));
//   wire::SyncReplyT reply = StateNews(state, request.state_index);
//   AddDirectoryNews(directory.DeltaSince(epoch, version), reply);
#ifndef PERIDOTGAUGE_IO_CONTROL_REPLIES_H_
#define PERIDOTGAUGE_IO_CONTROL_REPLIES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.h"
#include "io/replica.h"
#include "peer_generated.h"
#include "state/control_report.h"
#include "state/control_state.h"
#include "state/directory.h"

namespace peridotgauge {

// Failed replies. `leader` is the id of the leader, empty if unknown.
wire::BodyUnion SyncError(ErrorCode code, const std::string& detail, const std::string& leader);
wire::BodyUnion CommandError(const Error& error, const std::string& leader);
// The reply to a read, successful or not.
wire::BodyUnion ReadAnswer(const Result<std::string>& json, const std::string& leader);

// The consensus figures for the status report.
LogStatus StatusOf(const ReplicaStatus& status);

// What a router that has applied the state up to `known_index` lacks: configuration text, router
// list and quarantine.
// `router_deltas`: the router can apply a delta of the list of routers.
wire::SyncReplyT StateNews(const ControlState& state, uint64_t known_index, bool router_deltas);
void AddDirectoryNews(const DirectoryDelta& delta, wire::SyncReplyT& reply);

// The refusal of a request of this type; nothing for a type that gets no reply.
std::optional<wire::BodyUnion> RefusalOf(wire::Body type, const Error& error,
                                         const std::string& leader);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CONTROL_REPLIES_H_
