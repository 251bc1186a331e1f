// Snapshot and restore of the replicated control state, in the format of control_state.fbs.
#include <algorithm>
#include <utility>
#include <vector>

#include "control_state_generated.h"
#include "state/control_state.h"

namespace peridotgauge {
namespace {

namespace fbs = wire::snapshot;
using flatbuffers::FlatBufferBuilder;

// The ledger and the revisions can hold more tables than the verifier's default limit.
constexpr flatbuffers::uoffset_t kMaxSnapshotTables = 10'000'000;
constexpr flatbuffers::uoffset_t kMaxSnapshotDepth = 8;

std::string Text(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

// Iterates over a vector that may be absent.
template <typename Vector, typename Function>
void ForEach(const Vector* vector, Function function) {
  if (vector == nullptr) return;
  for (const auto* item : *vector) function(*item);
}

flatbuffers::Offset<fbs::LedgerRecord> Pack(FlatBufferBuilder& builder,
                                            const std::string& request_id,
                                            const LedgerRecord& record) {
  return fbs::CreateLedgerRecord(
      builder, builder.CreateString(request_id), builder.CreateString(record.service),
      record.body_digest, record.expires_ms, static_cast<uint8_t>(record.state),
      builder.CreateString(record.holder.router), record.holder.incarnation, record.holder.claim_id,
      static_cast<uint8_t>(record.outcome), record.status, builder.CreateString(record.body));
}

flatbuffers::Offset<fbs::Router> Pack(FlatBufferBuilder& builder, const RouterRecord& router) {
  return fbs::CreateRouter(builder, builder.CreateString(router.id), router.incarnation,
                           builder.CreateString(router.data_centre),
                           builder.CreateString(router.http_address),
                           builder.CreateString(router.peer_address), router.draining);
}

flatbuffers::Offset<fbs::RevisionDetail> Pack(FlatBufferBuilder& builder,
                                              const RevisionDetail& detail) {
  return fbs::CreateRevisionDetail(builder, detail.revision, builder.CreateString(detail.author),
                                   detail.accepted_at_ms, builder.CreateString(detail.text));
}

RevisionDetail Unpack(const fbs::RevisionDetail& detail) {
  return {.revision = detail.revision(),
          .author = Text(detail.author()),
          .accepted_at_ms = detail.accepted_at_ms(),
          .text = Text(detail.text())};
}

LedgerRecord Unpack(const fbs::LedgerRecord& record) {
  return {.service = Text(record.service()),
          .body_digest = record.body_digest(),
          .expires_ms = record.expires_ms(),
          .state = static_cast<RecordState>(record.state()),
          .holder = {Text(record.router()), record.router_incarnation(), record.claim_id()},
          .outcome = static_cast<Outcome>(record.outcome()),
          .status = record.status(),
          .body = Text(record.body())};
}

RouterRecord Unpack(const fbs::Router& router) {
  return {.id = Text(router.id()),
          .incarnation = router.incarnation(),
          .data_centre = Text(router.data_centre()),
          .http_address = Text(router.http_address()),
          .peer_address = Text(router.peer_address()),
          .draining = router.draining()};
}

flatbuffers::Offset<fbs::CrashSuspect> Pack(FlatBufferBuilder& builder, uint64_t fingerprint,
                                            const CrashSuspect& suspect) {
  std::vector<flatbuffers::Offset<fbs::Crash>> crashes;
  for (const TargetCrash& crash : suspect.crashes) {
    crashes.push_back(fbs::CreateCrash(builder, builder.CreateString(crash.service),
                                       builder.CreateString(crash.target), crash.incarnation));
  }
  return fbs::CreateCrashSuspect(builder, fingerprint, builder.CreateVector(crashes),
                                 suspect.last_crash_ms, suspect.trials, suspect.open_trial,
                                 suspect.open_until_ms);
}

CrashSuspect Unpack(const fbs::CrashSuspect& packed) {
  CrashSuspect suspect{.crashes = {},
                       .last_crash_ms = packed.last_crash_ms(),
                       .trials = packed.trials(),
                       .open_trial = packed.open_trial(),
                       .open_until_ms = packed.open_until_ms()};
  ForEach(packed.crashes(), [&](const fbs::Crash& crash) {
    suspect.crashes.push_back({.service = Text(crash.service()),
                               .target = Text(crash.target()),
                               .incarnation = crash.incarnation()});
  });
  return suspect;
}

bool Valid(const LedgerRecord& record) {
  return record.state <= RecordState::kInDoubt && record.outcome <= Outcome::kFailed;
}

}  // namespace

std::string ControlState::Snapshot() const {
  FlatBufferBuilder builder;
  std::vector<fbs::Revision> packed_revisions;
  packed_revisions.reserve(this->revisions.size());
  for (const AcceptedRevision& revision : this->revisions) {
    packed_revisions.emplace_back(revision.digest, revision.index);
  }
  std::vector<flatbuffers::Offset<fbs::RevisionDetail>> packed_details;
  for (const RevisionDetail& detail : this->details) {
    packed_details.push_back(Pack(builder, detail));
  }
  std::vector<flatbuffers::Offset<fbs::LedgerRecord>> packed_records;
  packed_records.reserve(this->ledger.Size());
  for (const auto& [request_id, record] : this->ledger.Records()) {
    packed_records.push_back(Pack(builder, request_id, record));
  }
  std::vector<flatbuffers::Offset<fbs::Router>> packed_routers;
  for (const auto& [id, router] : this->routers) packed_routers.push_back(Pack(builder, router));
  std::vector<fbs::Quarantine> packed_quarantine;
  for (const auto& [fingerprint, until_ms] : this->quarantine) {
    packed_quarantine.emplace_back(fingerprint, until_ms);
  }
  std::vector<flatbuffers::Offset<fbs::Departure>> packed_departures;
  for (const auto& [target, departure] : this->departures.All()) {
    packed_departures.push_back(fbs::CreateDeparture(builder, builder.CreateString(target),
                                                     departure.incarnation, departure.sequence,
                                                     departure.recorded_ms));
  }
  std::vector<flatbuffers::Offset<fbs::CrashSuspect>> packed_suspects;
  for (const auto& [fingerprint, suspect] : this->crashes.All()) {
    packed_suspects.push_back(Pack(builder, fingerprint, suspect));
  }
  std::vector<flatbuffers::Offset<flatbuffers::String>> packed_evacuated;
  for (const std::string& data_centre : this->evacuated) {
    packed_evacuated.push_back(builder.CreateString(data_centre));
  }
  const auto packed_highest_config =
      this->highest_config ? Pack(builder, *this->highest_config) : 0;
  builder.Finish(fbs::CreateControlState(
      builder, this->log_time, this->version, this->config_index, this->view_index,
      builder.CreateVectorOfStructs(packed_revisions), builder.CreateVector(packed_details),
      builder.CreateVector(packed_records), builder.CreateVector(packed_routers),
      builder.CreateVectorOfStructs(packed_quarantine), packed_highest_config,
      this->highest_config_digest, this->offered_routers, builder.CreateVector(packed_departures),
      builder.CreateVector(packed_suspects), this->quarantine_index,
      builder.CreateVector(packed_evacuated), this->evacuations_index));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

Result<void> ControlState::Restore(uint64_t index, const std::string& snapshot) {
  const auto* data = reinterpret_cast<const uint8_t*>(snapshot.data());
  flatbuffers::Verifier verifier(data, snapshot.size(), kMaxSnapshotDepth, kMaxSnapshotTables);
  if (!verifier.VerifyBuffer<fbs::ControlState>(nullptr)) {
    return Fail(ErrorCode::kCorrupt, "control state snapshot: fails verification");
  }
  const auto* table = flatbuffers::GetRoot<fbs::ControlState>(data);
  ControlState restored(this->limits);
  restored.log_time = table->now_ms();
  restored.version = table->version();
  restored.config_index = table->config_index();
  restored.view_index = table->view_index();
  restored.router_changes = RouterChangeLog(restored.view_index);
  ForEach(table->revisions(), [&](const fbs::Revision& revision) {
    restored.revisions.push_back({revision.digest(), revision.index()});
  });
  ForEach(table->details(), [&](const fbs::RevisionDetail& detail) {
    restored.details.push_back(Unpack(detail));
    restored.detail_bytes += restored.details.back().text.size();
  });
  if (table->document() != nullptr) restored.highest_config = Unpack(*table->document());
  restored.highest_config_digest = table->document_digest();
  bool valid = restored.version <= index && restored.DetailsMatchRevisions();
  ForEach(table->ledger(), [&](const fbs::LedgerRecord& packed) {
    LedgerRecord record = Unpack(packed);
    const std::string request_id = Text(packed.request_id());
    valid = valid && Valid(record) && restored.ledger.Records().count(request_id) == 0;
    if (valid) restored.ledger.Insert(request_id, std::move(record));
  });
  ForEach(table->routers(), [&](const fbs::Router& router) {
    restored.routers.insert_or_assign(Text(router.id()), Unpack(router));
  });
  restored.offered_routers = table->offered_routers();
  ForEach(table->quarantine(), [&](const fbs::Quarantine& blocked) {
    restored.quarantine[blocked.fingerprint()] = blocked.until_ms();
  });
  ForEach(table->crash_suspects(), [&](const fbs::CrashSuspect& packed) {
    restored.crashes.Restore(packed.fingerprint(), Unpack(packed));
  });
  restored.quarantine_index = table->quarantine_index();
  ForEach(table->evacuated(), [&](const flatbuffers::String& data_centre) {
    restored.evacuated.insert(data_centre.str());
  });
  restored.evacuations_index = table->evacuations_index();
  ForEach(table->departures(), [&](const fbs::Departure& departure) {
    restored.departures.Restore({.target = Text(departure.target()),
                                 .incarnation = departure.incarnation(),
                                 .sequence = departure.sequence(),
                                 .recorded_ms = departure.recorded_ms()});
  });
  if (!valid) return Fail(ErrorCode::kCorrupt, "control state snapshot: inconsistent content");
  restored.observer = std::move(this->observer);
  *this = std::move(restored);
  if (this->observer) this->observer();
  return {};
}

bool ControlState::DetailsMatchRevisions() const {
  if (this->revisions.empty() != this->details.empty()) return false;
  uint64_t expected = this->revisions.size() - this->details.size();
  return this->details.size() <= this->revisions.size() &&
         std::all_of(this->details.begin(), this->details.end(),
                     [&](const RevisionDetail& detail) { return detail.revision == ++expected; });
}

}  // namespace peridotgauge
