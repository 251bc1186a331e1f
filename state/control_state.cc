// Applies commands to the replicated control state. Snapshots are in control_snapshot.cc.
#include "state/control_state.h"

#include <algorithm>
#include <utility>

#include "core/config.h"
#include "core/digest_text.h"
#include "state/commands.h"

namespace peridotgauge {
namespace {

using Reply = wire::CommandReplyT;

static_assert(static_cast<int>(Outcome::kFailed) == static_cast<int>(wire::Outcome::Failed));
static_assert(static_cast<int>(ClaimState::kInDoubt) ==
              static_cast<int>(wire::ClaimState::InDoubt));

Reply Reject(ErrorCode code, std::string detail = {}) {
  Reply reply;
  reply.error = static_cast<int8_t>(code);
  reply.detail = std::move(detail);
  return reply;
}

Reply Reject(const Error& error) { return Reject(error.code, error.detail); }

template <typename Table, typename Object>
std::string Serialize(const Object& object) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &object));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

// Returns nullptr if the bytes fail verification.
template <typename Table>
const Table* VerifiedRoot(const std::string& bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) return nullptr;
  return flatbuffers::GetRoot<Table>(data);
}

std::string DescribeRevision(uint64_t revision, uint64_t digest) {
  return "revision " + std::to_string(revision) + " with digest " + DigestToHex(digest);
}

ClaimHolder HolderOf(const wire::ClaimT& command) {
  return {command.router, command.router_incarnation, command.claim_id};
}

ClaimHolder HolderOf(const wire::CompleteT& command) {
  return {command.router, command.router_incarnation, command.claim_id};
}

}  // namespace

std::string ControlState::Encode(int64_t now_ms, wire::CommandBodyUnion body) {
  wire::CommandT command;
  command.now_ms = now_ms;
  command.body = std::move(body);
  return Serialize<wire::Command>(command);
}

Result<wire::CommandReplyT> ControlState::DecodeReply(const std::string& result) {
  const auto* table = VerifiedRoot<wire::CommandReply>(result);
  if (table == nullptr) return Fail(ErrorCode::kBadRequest, "command result: fails verification");
  Reply reply;
  table->UnPackTo(&reply);
  return reply;
}

std::string ControlState::Apply(uint64_t index, const std::string& command) {
  const std::pair before(this->version, this->departures_index);
  Reply reply = Reject(ErrorCode::kBadRequest, "command: fails verification");
  if (const auto* table = VerifiedRoot<wire::Command>(command)) {
    wire::CommandT decoded;
    table->UnPackTo(&decoded);
    this->log_time = std::max(this->log_time, decoded.now_ms);
    reply = this->Dispatch({.index = index, .now_ms = this->log_time}, decoded.body);
  }
  if (reply.index == 0) reply.index = index;
  const std::pair after(this->version, this->departures_index);
  if (after != before && this->observer) this->observer();
  return Serialize<wire::CommandReply>(reply);
}

Reply ControlState::Dispatch(const CommandContext& context, const wire::CommandBodyUnion& body) {
  if (const auto* apply = body.AsApplyConfig()) return this->ApplyConfig(context, *apply);
  if (const auto* claim = body.AsClaim()) return this->ApplyClaim(context, *claim);
  if (const auto* complete = body.AsComplete()) return this->ApplyComplete(context, *complete);
  if (const auto* join = body.AsJoin()) return this->ApplyJoin(context, *join);
  if (const auto* leave = body.AsLeave()) return this->ApplyLeave(context, *leave);
  if (const auto* entry = body.AsQuarantine()) return this->ApplyQuarantine(context, *entry);
  if (const auto* offer = body.AsOfferRouters()) return this->ApplyOffer(*offer);
  if (const auto* left = body.AsRecordDepartures()) {
    return this->ApplyRecordDepartures(context, *left);
  }
  if (const auto* crashed = body.AsRecordCrashes()) return this->ApplyCrashes(context, *crashed);
  if (const auto* begin = body.AsBeginTrial()) return this->ApplyBeginTrial(context, *begin);
  if (const auto* end = body.AsEndTrial()) return this->ApplyEndTrial(context, *end);
  if (const auto* set = body.AsSetEvacuation()) return this->ApplyEvacuation(context, *set);
  // Membership changes of the controllers are handled by the replicated log itself.
  return Reject(ErrorCode::kBadRequest, "command: not handled by the control state");
}

// --- Configuration ---

Reply ControlState::ApplyConfig(const CommandContext& context, const wire::ApplyConfigT& command) {
  if (command.revision == 0 || command.text.empty()) {
    return Reject(ErrorCode::kBadRequest, "revision or text of the configuration is missing");
  }
  if (command.text.size() > kMaxConfigBytes) return Reject(ErrorCode::kTooLarge);
  // A deployment must use the same acceptance rule from its first revision on.
  if (command.highest ? !this->revisions.empty() : this->highest_config.has_value()) {
    return Reject(
        ErrorCode::kInvalidConfig,
        "earlier revisions were accepted under the other rule (next revision or highest revision)");
  }
  if (command.highest) return this->ApplyHighestRevision(context, command);
  const uint64_t current = this->Revision();
  if (command.revision == current + 1) {
    this->AcceptRevision(context, command);
    Reply reply;
    reply.revision = command.revision;
    reply.digest = command.digest;
    reply.first_revision = current == 0;
    return reply;
  }
  const AcceptedRevision* known = this->FindRevision(command.revision);
  if (known != nullptr && known->digest == command.digest) {
    Reply reply;
    reply.repeated = true;
    reply.index = known->index;
    reply.revision = command.revision;
    reply.digest = known->digest;
    return reply;
  }
  const uint64_t winner = known != nullptr ? command.revision : current;
  const uint64_t digest = winner == 0 ? 0 : this->FindRevision(winner)->digest;
  Reply reply = Reject(
      ErrorCode::kConflict,
      known != nullptr
          ? DescribeRevision(winner, digest) + " was accepted before; the current revision is " +
                std::to_string(current)
          : "revision " + std::to_string(command.revision) + " needs revision " +
                std::to_string(command.revision - 1) + " to be current; the current revision is " +
                (current == 0 ? std::string("none") : DescribeRevision(current, digest)));
  reply.revision = winner;
  reply.digest = digest;
  return reply;
}

Reply ControlState::ApplyHighestRevision(const CommandContext& context,
                                         const wire::ApplyConfigT& command) {
  Reply reply;
  if (this->highest_config && command.revision <= this->highest_config->revision) {
    reply.repeated = true;
    reply.index = this->config_index;
  } else {
    reply.first_revision = !this->highest_config;
    this->highest_config = RevisionDetail{.revision = command.revision,
                                          .author = command.author,
                                          .accepted_at_ms = context.now_ms,
                                          .text = command.text};
    this->highest_config_digest = command.digest;
    this->config_index = context.index;
    this->version = context.index;
  }
  reply.revision = this->highest_config->revision;
  reply.digest = this->highest_config_digest;
  return reply;
}

void ControlState::AcceptRevision(const CommandContext& context,
                                  const wire::ApplyConfigT& command) {
  this->revisions.push_back({.digest = command.digest, .index = context.index});
  this->details.push_back({.revision = command.revision,
                           .author = command.author,
                           .accepted_at_ms = context.now_ms,
                           .text = command.text});
  this->detail_bytes += command.text.size();
  while (this->details.size() > 1 &&
         (this->details.size() > kMaxRevisionDetails || this->detail_bytes > kMaxDetailBytes)) {
    this->detail_bytes -= this->details.front().text.size();
    this->details.pop_front();
  }
  this->config_index = context.index;
  this->version = context.index;
}

const std::string& ControlState::ConfigText() const {
  static const std::string kNone;
  if (this->highest_config) return this->highest_config->text;
  return this->details.empty() ? kNone : this->details.back().text;
}

const AcceptedRevision* ControlState::FindRevision(uint64_t revision) const {
  if (revision == 0 || revision > this->revisions.size()) return nullptr;
  return &this->revisions[revision - 1];
}

const RevisionDetail* ControlState::FindDetail(uint64_t revision) const {
  if (this->details.empty() || revision < this->details.front().revision) return nullptr;
  const size_t position = revision - this->details.front().revision;
  return position < this->details.size() ? &this->details[position] : nullptr;
}

// --- Requests that run at most once ---

Reply ControlState::ApplyClaim(const CommandContext& context, const wire::ClaimT& command) {
  // A router that has left must not be granted a claim: its claims were already marked in doubt
  // when it left.
  if (!this->IsMember(command.router, command.router_incarnation)) {
    return Reject(ErrorCode::kNotSynchronized,
                  "the router or this incarnation of it is not in the view");
  }
  const Result<ClaimResult> claimed =
      this->ledger.Claim(context.now_ms, {.request_id = command.request_id,
                                          .service = command.service,
                                          .body_digest = command.body_digest,
                                          .issued_at_ms = command.issued_at_ms,
                                          .holder = HolderOf(command)});
  if (!claimed) return Reject(claimed.error());
  Reply reply;
  reply.claim = static_cast<wire::ClaimState>(claimed->state);
  reply.outcome = static_cast<wire::Outcome>(claimed->outcome);
  reply.status = claimed->status;
  reply.body = claimed->body;
  return reply;
}

Reply ControlState::ApplyComplete(const CommandContext& context, const wire::CompleteT& command) {
  const Result<void> completed =
      this->ledger.Complete(context.now_ms, {.request_id = command.request_id,
                                             .holder = HolderOf(command),
                                             .outcome = static_cast<Outcome>(command.outcome),
                                             .status = command.status,
                                             .body = command.body});
  if (!completed) return Reject(completed.error());
  return {};
}

// --- Router list ---

bool ControlState::IsMember(const std::string& id, uint64_t incarnation) const {
  const auto found = this->routers.find(id);
  return found != this->routers.end() && found->second.incarnation == incarnation;
}

size_t ControlState::ActiveRouters() const {
  return static_cast<size_t>(std::count_if(this->routers.begin(), this->routers.end(),
                                           [](const auto& item) { return !item.second.draining; }));
}

void ControlState::RecordRouterChange(const CommandContext& context, const std::string& router) {
  this->router_changes.Add(context.index, router);
  this->view_index = context.index;
  this->version = context.index;
}

Reply ControlState::ApplyJoin(const CommandContext& context, const wire::JoinT& command) {
  if (!command.router || command.router->id.empty() || command.router->incarnation == 0) {
    return Reject(ErrorCode::kBadRequest, "id or incarnation of the router is missing");
  }
  RouterRecord router = FromWire(*command.router);
  const auto found = this->routers.find(router.id);
  if (found == this->routers.end()) {
    if (this->routers.size() >= kMaxRouters) {
      return Reject(ErrorCode::kOverloaded, "the router list is full");
    }
  } else if (found->second.incarnation == router.incarnation) {
    return {};
  } else if (found->second.incarnation > router.incarnation) {
    return Reject(ErrorCode::kConflict, "a newer incarnation of this router has joined");
  }
  this->ledger.MarkClaimsInDoubt(router.id, router.incarnation);
  const std::string id = router.id;
  this->routers.insert_or_assign(id, std::move(router));
  this->RecordRouterChange(context, id);
  return {};
}

Reply ControlState::ApplyLeave(const CommandContext& context, const wire::LeaveT& command) {
  const auto found = this->routers.find(command.id);
  // The departure of an earlier incarnation arrived after the join of the next one.
  if (found == this->routers.end() || found->second.incarnation > command.incarnation) return {};
  if (command.clean) {
    this->ledger.MarkClaimsInDoubt(command.id);
    this->routers.erase(found);
    this->RecordRouterChange(context, command.id);
  } else if (found->second.incarnation == command.incarnation && !found->second.draining) {
    found->second.draining = true;
    this->RecordRouterChange(context, command.id);
  }
  return {};
}

// --- Quarantine ---

Reply ControlState::ApplyQuarantine(const CommandContext& context,
                                    const wire::QuarantineT& command) {
  if (command.duration_ms <= 0) return Reject(ErrorCode::kBadRequest, "duration_ms: must be > 0");
  std::erase_if(this->quarantine, [&](const auto& item) { return item.second <= context.now_ms; });
  const int64_t until_ms = context.now_ms + std::min(command.duration_ms, kMaxQuarantineMs);
  const auto found = this->quarantine.find(command.fingerprint);
  if (found == this->quarantine.end() && this->quarantine.size() >= kMaxQuarantined) {
    return Reject(ErrorCode::kOverloaded, "the quarantine list is full");
  }
  if (found != this->quarantine.end() && found->second >= until_ms) return {};
  this->quarantine[command.fingerprint] = until_ms;
  this->RecordQuarantineChange(context, true);
  return {};
}

void ControlState::RecordQuarantineChange(const CommandContext& context, bool changed) {
  if (!changed) return;
  this->quarantine_index = context.index;
  this->version = context.index;
}

Reply ControlState::ApplyCrashes(const CommandContext& context,
                                 const wire::RecordCrashesT& command) {
  bool changed = false;
  for (const auto& entry : command.crashes) {
    if (!entry || !entry->crash) {
      return Reject(ErrorCode::kBadRequest, "crash: target is missing");
    }
    changed |= this->crashes.Record(context.now_ms, entry->fingerprint, FromWire(*entry->crash));
  }
  this->RecordQuarantineChange(context, changed);
  return {};
}

Reply ControlState::ApplyBeginTrial(const CommandContext& context,
                                    const wire::BeginTrialT& command) {
  if (command.trial == 0) return Reject(ErrorCode::kBadRequest, "trial: must not be 0");
  bool changed = false;
  for (const TargetCrash& crash : FromWire(command.crashes)) {
    changed |= this->crashes.Record(context.now_ms, command.fingerprint, crash);
  }
  this->RecordQuarantineChange(context, changed);
  switch (this->crashes.BeginTrial(context.now_ms, command.fingerprint,
                                   {.id = command.trial, .hold_ms = command.hold_ms})) {
    case TrialDecision::kGranted:
      return {};
    case TrialDecision::kBusy:
      return Reject(ErrorCode::kSuspect, "another trial of the request is open");
    case TrialDecision::kBlocked:
      break;
  }
  return Reject(ErrorCode::kQuarantined, "the request has crashed targets in all its trials");
}

Reply ControlState::ApplyEndTrial(const CommandContext& context, const wire::EndTrialT& command) {
  this->RecordQuarantineChange(
      context,
      this->crashes.EndTrial(context.now_ms, command.fingerprint, command.trial,
                             {.answered = command.answered, .crashes = FromWire(command.crashes)}));
  return {};
}

std::vector<QuarantineRecord> ControlState::QuarantineList() const {
  std::vector<QuarantineRecord> records = this->crashes.Suspects();
  for (const auto& [fingerprint, until_ms] : this->quarantine) {
    records.push_back({.fingerprint = fingerprint, .until_ms = until_ms, .services = {}});
  }
  return records;
}

// --- Evacuation ---

Reply ControlState::ApplyEvacuation(const CommandContext& context,
                                    const wire::SetEvacuationT& command) {
  const std::string& name = command.data_centre;
  if (const auto checked = CheckDataCentreName(name); !checked) return Reject(checked.error());
  if (command.evacuated == this->evacuated.contains(name)) return {};
  if (!command.evacuated) {
    this->evacuated.erase(name);
  } else if (this->evacuated.size() >= kMaxEvacuated) {
    return Reject(ErrorCode::kOverloaded, "the list of evacuated data centres is full");
  } else {
    this->evacuated.insert(name);
  }
  this->evacuations_index = context.index;
  this->version = context.index;
  return {};
}

Reply ControlState::ApplyOffer(const wire::OfferRoutersT& command) {
  this->offered_routers = command.count;
  return {};
}

Reply ControlState::ApplyRecordDepartures(const CommandContext& context,
                                          const wire::RecordDeparturesT& command) {
  for (const auto& departure : command.targets) {
    if (!departure || departure->target.empty()) {
      return Reject(ErrorCode::kBadRequest, "name of a departed target is missing");
    }
    const bool recorded =
        this->departures.Record(context.now_ms, {.target = departure->target,
                                                 .incarnation = departure->incarnation,
                                                 .sequence = departure->sequence});
    if (recorded) this->departures_index = context.index;
  }
  return {};
}

bool ControlState::operator==(const ControlState& other) const {
  return this->log_time == other.log_time && this->version == other.version &&
         this->config_index == other.config_index && this->view_index == other.view_index &&
         this->revisions == other.revisions && this->details == other.details &&
         this->detail_bytes == other.detail_bytes && this->highest_config == other.highest_config &&
         this->highest_config_digest == other.highest_config_digest &&
         this->ledger == other.ledger && this->routers == other.routers &&
         this->quarantine == other.quarantine && this->crashes == other.crashes &&
         this->quarantine_index == other.quarantine_index && this->evacuated == other.evacuated &&
         this->evacuations_index == other.evacuations_index &&
         this->offered_routers == other.offered_routers && this->departures == other.departures;
}

}  // namespace peridotgauge
