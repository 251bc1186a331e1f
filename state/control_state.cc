// Commands of the replicated state machine. The snapshot format is in control_snapshot.cc.
#include "state/control_state.h"

#include <algorithm>
#include <utility>

#include "core/config.h"

namespace peridotgauge {
namespace {

using Reply = wire::CommandReplyT;

static_assert(static_cast<int>(Outcome::kFailed) == static_cast<int>(wire::Outcome::Failed));
static_assert(static_cast<int>(ClaimState::kInDoubt) ==
              static_cast<int>(wire::ClaimState::InDoubt));

Reply Refuse(ErrorCode code, std::string detail = {}) {
  Reply reply;
  reply.error = static_cast<int8_t>(code);
  reply.detail = std::move(detail);
  return reply;
}

Reply Refuse(const Error& error) { return Refuse(error.code, error.detail); }

template <typename Table, typename Object>
std::string Encoded(const Object& object) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &object));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

// Returns nullptr if the bytes fail verification.
template <typename Table>
const Table* Decoded(const std::string& bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) return nullptr;
  return flatbuffers::GetRoot<Table>(data);
}

std::string Named(uint64_t revision, uint64_t digest) {
  return "revision " + std::to_string(revision) + " with digest " + DigestText(digest);
}

ClaimHolder HolderOf(const wire::ClaimT& command) {
  return {command.router, command.router_incarnation, command.claim_id};
}

ClaimHolder HolderOf(const wire::CompleteT& command) {
  return {command.router, command.router_incarnation, command.claim_id};
}

}  // namespace

std::string DigestText(uint64_t digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) text.push_back(kDigits[(digest >> shift) & 0xf]);
  return text;
}

std::string ControlState::Encode(int64_t now_ms, wire::CommandBodyUnion body) {
  wire::CommandT command;
  command.now_ms = now_ms;
  command.body = std::move(body);
  return Encoded<wire::Command>(command);
}

Result<wire::CommandReplyT> ControlState::DecodeReply(const std::string& result) {
  const auto* table = Decoded<wire::CommandReply>(result);
  if (table == nullptr) return Fail(ErrorCode::kBadRequest, "malformed command result");
  Reply reply;
  table->UnPackTo(&reply);
  return reply;
}

std::string ControlState::Apply(uint64_t index, const std::string& command) {
  const uint64_t version_before = this->version;
  Reply reply = Refuse(ErrorCode::kBadRequest, "malformed command");
  if (const auto* table = Decoded<wire::Command>(command)) {
    wire::CommandT decoded;
    table->UnPackTo(&decoded);
    this->log_time = std::max(this->log_time, decoded.now_ms);
    reply = this->Dispatch({.index = index, .now_ms = this->log_time}, decoded.body);
  }
  if (reply.index == 0) reply.index = index;
  if (this->version != version_before && this->observer) this->observer();
  return Encoded<wire::CommandReply>(reply);
}

Reply ControlState::Dispatch(const Context& at, const wire::CommandBodyUnion& body) {
  if (const auto* apply = body.AsApplyConfig()) return this->ApplyConfig(at, *apply);
  if (const auto* claim = body.AsClaim()) return this->ApplyClaim(at, *claim);
  if (const auto* complete = body.AsComplete()) return this->ApplyComplete(at, *complete);
  if (const auto* join = body.AsJoin()) return this->ApplyJoin(at, *join);
  if (const auto* leave = body.AsLeave()) return this->ApplyLeave(at, *leave);
  if (const auto* quarantine = body.AsQuarantine()) return this->ApplyQuarantine(at, *quarantine);
  // Changes of the controllers' membership belong to the replicated log itself.
  return Refuse(ErrorCode::kBadRequest, "not a command of the control state");
}

// --- Configuration ---

Reply ControlState::ApplyConfig(const Context& at, const wire::ApplyConfigT& command) {
  if (command.revision == 0 || command.text.empty()) {
    return Refuse(ErrorCode::kBadRequest, "the command has no revision or text");
  }
  if (command.text.size() > kMaxConfigBytes) return Refuse(ErrorCode::kTooLarge);
  // One deployment uses one rule of acceptance from its first revision on.
  if (command.highest ? !this->revisions.empty() : this->document.has_value()) {
    return Refuse(ErrorCode::kInvalidConfig, "revisions were accepted under another rule");
  }
  if (command.highest) return this->ApplyHighest(at, command);
  const uint64_t current = this->Revision();
  if (command.revision == current + 1) {
    this->AcceptRevision(at, command);
    Reply reply;
    reply.revision = command.revision;
    reply.digest = command.digest;
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
  Reply reply = Refuse(
      ErrorCode::kConflict,
      known != nullptr
          ? Named(winner, digest) + " was accepted first; current is " + std::to_string(current)
          : "revision " + std::to_string(command.revision) + " needs revision " +
                std::to_string(command.revision - 1) + " in effect; current is " +
                (current == 0 ? std::string("none") : Named(current, digest)));
  reply.revision = winner;
  reply.digest = digest;
  return reply;
}

Reply ControlState::ApplyHighest(const Context& at, const wire::ApplyConfigT& command) {
  Reply reply;
  if (this->document && command.revision <= this->document->revision) {
    reply.repeated = true;
    reply.index = this->config_index;
  } else {
    this->document = RevisionDetail{.revision = command.revision,
                                    .author = command.author,
                                    .accepted_at_ms = at.now_ms,
                                    .text = command.text};
    this->document_digest = command.digest;
    this->config_index = at.index;
    this->version = at.index;
  }
  reply.revision = this->document->revision;
  reply.digest = this->document_digest;
  return reply;
}

void ControlState::AcceptRevision(const Context& at, const wire::ApplyConfigT& command) {
  this->revisions.push_back({.digest = command.digest, .index = at.index});
  this->details.push_back({.revision = command.revision,
                           .author = command.author,
                           .accepted_at_ms = at.now_ms,
                           .text = command.text});
  this->detail_bytes += command.text.size();
  while (this->details.size() > 1 &&
         (this->details.size() > kMaxRevisionDetails || this->detail_bytes > kMaxDetailBytes)) {
    this->detail_bytes -= this->details.front().text.size();
    this->details.pop_front();
  }
  this->config_index = at.index;
  this->version = at.index;
}

const std::string& ControlState::ConfigText() const {
  static const std::string kNone;
  if (this->document) return this->document->text;
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

Reply ControlState::ApplyClaim(const Context& at, const wire::ClaimT& command) {
  // A router that has left must not get a grant: its departure has already put its claims in doubt.
  if (!this->IsMember(command.router, command.router_incarnation)) {
    return Refuse(ErrorCode::kNotSynchronized, "the router is not in the view");
  }
  const Result<ClaimResult> claimed =
      this->ledger.Claim(at.now_ms, {.request_id = command.request_id,
                                     .service = command.service,
                                     .body_digest = command.body_digest,
                                     .issued_at_ms = command.issued_at_ms,
                                     .holder = HolderOf(command)});
  if (!claimed) return Refuse(claimed.error());
  Reply reply;
  reply.claim = static_cast<wire::ClaimState>(claimed->state);
  reply.outcome = static_cast<wire::Outcome>(claimed->outcome);
  reply.status = claimed->status;
  reply.body = claimed->body;
  return reply;
}

Reply ControlState::ApplyComplete(const Context& at, const wire::CompleteT& command) {
  const Result<void> completed =
      this->ledger.Complete(at.now_ms, {.request_id = command.request_id,
                                        .holder = HolderOf(command),
                                        .outcome = static_cast<Outcome>(command.outcome),
                                        .status = command.status,
                                        .body = command.body});
  if (!completed) return Refuse(completed.error());
  return {};
}

// --- Router list ---

bool ControlState::IsMember(const std::string& id, uint64_t incarnation) const {
  const auto found = this->routers.find(id);
  return found != this->routers.end() && found->second.incarnation == incarnation;
}

void ControlState::ChangeView(const Context& at, const std::string& router) {
  this->router_changes.Note(at.index, router);
  this->view_index = at.index;
  this->version = at.index;
}

Reply ControlState::ApplyJoin(const Context& at, const wire::JoinT& command) {
  if (!command.router || command.router->id.empty() || command.router->incarnation == 0) {
    return Refuse(ErrorCode::kBadRequest, "the command has no router id or incarnation");
  }
  RouterRecord router = FromWire(*command.router);
  const auto found = this->routers.find(router.id);
  if (found == this->routers.end()) {
    if (this->routers.size() >= kMaxRouters) {
      return Refuse(ErrorCode::kOverloaded, "the router list is full");
    }
  } else if (found->second.incarnation == router.incarnation) {
    return {};
  } else if (found->second.incarnation > router.incarnation) {
    return Refuse(ErrorCode::kConflict, "a newer incarnation of this router has joined");
  }
  this->ledger.RouterLeft(router.id, router.incarnation);
  const std::string id = router.id;
  this->routers.insert_or_assign(id, std::move(router));
  this->ChangeView(at, id);
  return {};
}

Reply ControlState::ApplyLeave(const Context& at, const wire::LeaveT& command) {
  const auto found = this->routers.find(command.id);
  // A departure of an earlier incarnation was overtaken by the next join.
  if (found == this->routers.end() || found->second.incarnation > command.incarnation) return {};
  if (command.clean) {
    this->ledger.RouterLeft(command.id);
    this->routers.erase(found);
    this->ChangeView(at, command.id);
  } else if (found->second.incarnation == command.incarnation && !found->second.draining) {
    found->second.draining = true;
    this->ChangeView(at, command.id);
  }
  return {};
}

// --- Quarantine ---

Reply ControlState::ApplyQuarantine(const Context& at, const wire::QuarantineT& command) {
  if (command.duration_ms <= 0) return Refuse(ErrorCode::kBadRequest, "duration_ms");
  std::erase_if(this->quarantine, [&](const auto& item) { return item.second <= at.now_ms; });
  const int64_t until_ms = at.now_ms + std::min(command.duration_ms, kMaxQuarantineMs);
  const auto found = this->quarantine.find(command.fingerprint);
  if (found == this->quarantine.end() && this->quarantine.size() >= kMaxQuarantined) {
    return Refuse(ErrorCode::kOverloaded, "the quarantine list is full");
  }
  if (found != this->quarantine.end() && found->second >= until_ms) return {};
  this->quarantine[command.fingerprint] = until_ms;
  this->version = at.index;
  return {};
}

bool ControlState::operator==(const ControlState& other) const {
  return this->log_time == other.log_time && this->version == other.version &&
         this->config_index == other.config_index && this->view_index == other.view_index &&
         this->revisions == other.revisions && this->details == other.details &&
         this->detail_bytes == other.detail_bytes && this->document == other.document &&
         this->document_digest == other.document_digest && this->ledger == other.ledger &&
         this->routers == other.routers && this->quarantine == other.quarantine;
}

}  // namespace peridotgauge
