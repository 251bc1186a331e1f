// Builds the replies of a controller from its state.
#include "io/control_replies.h"

#include <memory>
#include <utility>

#include "io/peer.h"

namespace peridotgauge {

wire::BodyUnion MakeSyncError(ErrorCode code, const std::string& detail,
                              const std::string& leader) {
  wire::SyncReplyT reply;
  reply.error = static_cast<int8_t>(code);
  reply.detail = detail;
  reply.leader = leader;
  return ToBody(std::move(reply));
}

wire::BodyUnion MakeCommandError(const Error& error, const std::string& leader) {
  wire::CommandReplyT reply;
  reply.error = static_cast<int8_t>(error.code);
  reply.detail = error.detail;
  reply.leader = leader;
  return ToBody(std::move(reply));
}

wire::BodyUnion MakeReadReply(const Result<std::string>& json, const std::string& leader) {
  wire::ReadReplyT reply;
  reply.leader = leader;
  if (json) {
    reply.json = *json;
  } else {
    reply.error = static_cast<int8_t>(json.error().code);
    reply.detail = json.error().detail;
  }
  return ToBody(std::move(reply));
}

wire::BodyUnion MakeQuotaError(const Error& error, const std::string& leader) {
  wire::QuotaReplyT reply;
  reply.error = static_cast<int8_t>(error.code);
  reply.detail = error.detail;
  reply.leader = leader;
  return ToBody(std::move(reply));
}

LogStatus ToLogStatus(const ReplicaStatus& status) {
  return {.id = status.id,
          .role = status.role,
          .leader = status.leader,
          .term = status.term,
          .commit_index = status.commit_index,
          .applied_index = status.applied_index,
          .log_entries = status.log_entries,
          .log_bytes = status.log_bytes,
          .storage_error = status.storage_error};
}

wire::SyncReplyT MakeSyncReply(const ControlState& state, uint64_t applied_index,
                               bool router_deltas) {
  wire::SyncReplyT reply;
  reply.state_index = state.Version();
  reply.view_index = state.ViewIndex();
  reply.config_revision = state.Revision();
  if (applied_index < state.ConfigIndex()) reply.config_text = state.ConfigText();
  if (applied_index >= state.Version()) return reply;
  reply.state_changed = true;
  RouterDelta delta =
      DeltaSince(state.Routers(), state.RecentRouterChanges(), router_deltas ? applied_index : 0);
  for (const RouterRecord& router : delta.routers) reply.routers.push_back(ToWire(router));
  reply.routers_delta = !delta.full;
  reply.routers_gone = std::move(delta.gone);
  reply.routers_digest = delta.digest;
  AddQuarantine(state, reply);
  return reply;
}

wire::SyncReplyT MakeCompactSyncReply(const ControlState& state, uint64_t state_index,
                                      uint64_t config_revision) {
  wire::SyncReplyT reply;
  reply.state_index = state_index;
  reply.view_index = state.ViewIndex();
  reply.config_revision = config_revision;
  reply.active_routers = static_cast<uint32_t>(state.ActiveRouters());
  reply.offered_routers = static_cast<uint32_t>(state.OfferedRouterCount());
  reply.quarantine_index = state.QuarantineIndex();
  return reply;
}

void AddQuarantine(const ControlState& state, wire::SyncReplyT& reply) {
  for (const QuarantineRecord& record : state.QuarantineList()) {
    reply.quarantine.push_back(ToWire(record));
  }
}

void AddEvacuations(const ControlState& state, uint64_t known_index, wire::SyncReplyT& reply) {
  reply.evacuations_index = state.EvacuationsIndex();
  if (known_index >= reply.evacuations_index) return;
  reply.evacuated.assign(state.Evacuated().begin(), state.Evacuated().end());
}

void AddConfigPackage(const ConfigPackage& package, wire::SyncReplyT& reply) {
  reply.config_package.assign(package.packed.begin(), package.packed.end());
  reply.config_base = package.base_revision;
  reply.config_digest = package.digest;
}

void AddDirectoryDelta(const DirectoryDelta& delta, wire::SyncReplyT& reply) {
  reply.directory_epoch = delta.epoch;
  reply.directory_version = delta.version;
  reply.directory_digest = delta.digest;
  reply.directory_full = delta.full;
  reply.directory_collecting = delta.collecting;
  for (const TargetRecord& record : delta.targets) reply.targets.push_back(ToWire(record));
}

void AddDirectoryUpdate(const Directory& directory, const DirectoryUpdate& update,
                        wire::SyncReplyT& reply) {
  reply.directory_epoch = directory.Epoch();
  reply.directory_version = update.version;
  reply.directory_digest = update.digest;
  reply.directory_full = update.full;
  reply.directory_collecting = directory.Collecting();
  for (const auto& packed : update.packages) {
    auto package = std::make_unique<wire::DirectoryPackageT>();
    package->packed.assign(packed->begin(), packed->end());
    reply.directory_packages.push_back(std::move(package));
  }
}

std::optional<wire::BodyUnion> MakeErrorReply(wire::Body type, const Error& error,
                                              const std::string& leader) {
  switch (type) {
    case wire::Body::SyncRequest:
      return MakeSyncError(error.code, error.detail, leader);
    case wire::Body::CommandRequest:
    case wire::Body::RegisterRequest:
      return MakeCommandError(error, leader);
    case wire::Body::ReadRequest:
      return MakeReadReply(tl::unexpected(error), leader);
    case wire::Body::QuotaRequest:
      return MakeQuotaError(error, leader);
    default:
      return std::nullopt;
  }
}

}  // namespace peridotgauge
