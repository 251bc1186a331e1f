// JSON reports of the operator API about the control plane.
#include "state/control_report.h"

#include <boost/json.hpp>
#include <utility>

#include "core/digest_text.h"

namespace peridotgauge {
namespace {

namespace json = boost::json;

json::object TargetJson(const TargetRecord& record) {
  json::array holds;
  for (const Holding& held : record.holds) {
    holds.push_back(
        json::object{{"snapshot", held.snapshot}, {"shard", held.shard}, {"shards", held.shards}});
  }
  return {{"target", record.target},           {"address", record.address},
          {"service", record.service},         {"data_centre", record.data_centre},
          {"incarnation", record.incarnation}, {"sequence", record.sequence},
          {"state", NameOf(record.state)},     {"slots", record.slots},
          {"connections", record.connections}, {"registrar", record.registrar},
          {"holds", std::move(holds)}};
}

json::object ControllerJson(const LogStatus& log) {
  return {{"id", log.id},
          {"role", log.role},
          {"leader", log.leader},
          {"term", log.term},
          {"commit_index", log.commit_index},
          {"applied_index", log.applied_index},
          {"log_entries", log.log_entries},
          {"log_bytes", log.log_bytes},
          {"storage_error", log.storage_error}};
}

json::array RoutersJson(const ControlState& state, const SessionTable& sessions, Time now) {
  json::array routers;
  for (const auto& [id, router] : state.Routers()) {
    json::object row{{"id", id},
                     {"incarnation", router.incarnation},
                     {"data_centre", router.data_centre},
                     {"http_address", router.http_address},
                     {"peer_address", router.peer_address},
                     {"draining", router.draining}};
    const auto session = sessions.Sessions().find(id);
    if (session != sessions.Sessions().end()) {
      row["acknowledged"] = session->second.acknowledged;
      row["up_to_date"] = session->second.acknowledged >= state.Version();
      row["last_sync_ms_ago"] = (now - session->second.last_arrival) / Millis(1);
    }
    routers.push_back(std::move(row));
  }
  return routers;
}

json::object DirectoryJson(const Directory& directory) {
  return {{"epoch", directory.Epoch()},
          {"version", directory.Version()},
          {"collecting", directory.Collecting()},
          {"targets", directory.Targets().size()},
          {"stale_records", directory.Counters().stale},
          {"name_conflicts", directory.Counters().conflicts},
          {"refused", directory.Counters().refused}};
}

json::object ConfigSummary(const ControlState& state) {
  json::object config{{"revision", state.Revision()}, {"index", state.ConfigIndex()}};
  if (const AcceptedRevision* current = state.FindRevision(state.Revision())) {
    config["digest"] = DigestToHex(current->digest);
  }
  return config;
}

}  // namespace

Result<std::string> ConfigJson(const ControlState& state, uint64_t revision) {
  if (revision == 0) revision = state.Revision();
  if (revision == 0) return json::serialize(json::object{{"revision", 0}});
  const AcceptedRevision* accepted = state.FindRevision(revision);
  if (accepted == nullptr) {
    return Fail(ErrorCode::kNotFound, "revision not found: " + std::to_string(revision) +
                                          "; the current one is " +
                                          std::to_string(state.Revision()));
  }
  const RevisionDetail* detail = state.FindDetail(revision);
  if (detail == nullptr) {
    return Fail(ErrorCode::kNotFound, "the text of revision " + std::to_string(revision) +
                                          " is no longer stored; its digest is " +
                                          DigestToHex(accepted->digest));
  }
  return json::serialize(json::object{{"revision", revision},
                                      {"digest", DigestToHex(accepted->digest)},
                                      {"author", detail->author},
                                      {"accepted_at_ms", detail->accepted_at_ms},
                                      {"text", detail->text}});
}

std::string HistoryJson(const ControlState& state) {
  json::array rows;
  for (auto detail = state.Details().rbegin(); detail != state.Details().rend(); ++detail) {
    rows.push_back(
        json::object{{"revision", detail->revision},
                     {"digest", DigestToHex(state.FindRevision(detail->revision)->digest)},
                     {"author", detail->author},
                     {"accepted_at_ms", detail->accepted_at_ms}});
  }
  return json::serialize(
      json::object{{"revision", state.Revision()}, {"revisions", std::move(rows)}});
}

Result<std::string> InForceJson(Time now, const ControlState& state, SessionTable& sessions,
                                uint64_t revision) {
  if (revision == 0) revision = state.Revision();
  const AcceptedRevision* accepted = state.FindRevision(revision);
  json::object report{{"revision", revision},
                      {"accepted", accepted != nullptr},
                      {"in_force", false},
                      {"current", state.Revision()},
                      {"routers", state.Routers().size()},
                      {"waiting", json::array()}};
  if (accepted == nullptr) return json::serialize(report);
  report["digest"] = DigestToHex(accepted->digest);
  report["in_force"] = sessions.InForce(now, accepted->index, state.Routers());
  if (!report["in_force"].as_bool()) {
    json::array waiting;
    for (const std::string& id : sessions.PendingRouters(now, accepted->index, state.Routers())) {
      waiting.push_back(json::value(id));
    }
    report["waiting"] = std::move(waiting);
  }
  return json::serialize(report);
}

std::string StatusJson(const LogStatus& log, const ControlState& state,
                       const SessionTable& sessions, const Directory& directory, Time now) {
  json::array quarantine;
  for (const QuarantineRecord& record : state.QuarantineList()) {
    quarantine.push_back(json::object{{"fingerprint", DigestToHex(record.fingerprint)},
                                      {"until_ms", record.until_ms},
                                      {"blocked", !record.suspect},
                                      {"services", json::value_from(record.services)}});
  }
  const Ledger& ledger = state.RequestLedger();
  return json::serialize(json::object{{"controller", ControllerJson(log)},
                                      {"config", ConfigSummary(state)},
                                      {"routers", RoutersJson(state, sessions, now)},
                                      {"quarantine", std::move(quarantine)},
                                      {"evacuated", json::value_from(state.Evacuated())},
                                      {"ledger",
                                       {{"records", ledger.Size()},
                                        {"running", ledger.Running()},
                                        {"body_bytes", ledger.BodyBytes()}}},
                                      {"directory", DirectoryJson(directory)}});
}

std::string TargetsJson(const Directory& directory) {
  json::array targets;
  for (const TargetRecord& record : directory.Targets()) targets.push_back(TargetJson(record));
  return json::serialize(json::object{{"epoch", directory.Epoch()},
                                      {"version", directory.Version()},
                                      {"collecting", directory.Collecting()},
                                      {"targets", std::move(targets)}});
}

Result<std::string> BuildReport(wire::ReadKind kind, uint64_t revision, Time now,
                                const ReportSources& sources) {
  const ControlState& state = sources.state;
  switch (kind) {
    case wire::ReadKind::Config:
      return ConfigJson(state, revision);
    case wire::ReadKind::History:
      return HistoryJson(state);
    case wire::ReadKind::InForce:
      return InForceJson(now, state, sources.sessions, revision);
    case wire::ReadKind::Status:
      return StatusJson(sources.log, state, sources.sessions, sources.directory, now);
    case wire::ReadKind::Targets:
      return TargetsJson(sources.directory);
    case wire::ReadKind::Document:
      if (state.Revision() == 0) return Fail(ErrorCode::kNotFound, "no configuration yet");
      return state.ConfigText();
  }
  return Fail(ErrorCode::kBadRequest, "kind: unknown kind of read");
}

}  // namespace peridotgauge
