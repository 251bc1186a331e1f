// Claims, completions and eviction. State and expiry of a record are changed only by SetState() and
// SetExpiry(), which update the indexes.
#include "state/ledger.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {
namespace {

bool SameIncarnation(const ClaimHolder& a, const ClaimHolder& b) {
  return a.router == b.router && a.incarnation == b.incarnation;
}

bool IsValidRequestId(const std::string& request_id) {
  return !request_id.empty() && request_id.size() <= kMaxRequestIdBytes;
}

ClaimResult RecordedResult(const LedgerRecord& record) {
  return {.state = ClaimState::kRecorded,
          .outcome = record.outcome,
          .status = record.status,
          .body = record.body};
}

bool SameOutcome(const LedgerRecord& record, const Completion& completion) {
  return record.outcome == completion.outcome && record.status == completion.status &&
         record.body == completion.body;
}

}  // namespace

Result<ClaimResult> Ledger::Claim(int64_t now_ms, const ClaimRequest& request) {
  if (!IsValidRequestId(request.request_id)) {
    return Fail(ErrorCode::kBadRequest, "request_id: allowed is 1 to 128 bytes");
  }
  if (request.holder.claim_id == 0) {
    return Fail(ErrorCode::kBadRequest, "claim_id: must be above 0");
  }
  this->EvictExpired(now_ms);
  const auto found = this->records.find(request.request_id);
  if (found != this->records.end() && found->second.state != RecordState::kReleased) {
    return this->ClaimExisting(now_ms, found->first, found->second, request);
  }
  if (found != this->records.end() && SameIncarnation(found->second.holder, request.holder) &&
      request.holder.claim_id <= found->second.holder.claim_id) {
    return Fail(ErrorCode::kCancelled, "claim_id: this claim was released before");
  }
  return this->ClaimNew(now_ms, request);
}

Result<ClaimResult> Ledger::ClaimNew(int64_t now_ms, const ClaimRequest& request) {
  if (request.issued_at_ms > now_ms + this->limits.max_clock_skew_ms) {
    return Fail(ErrorCode::kBadRequest, "issued_at_ms: too far in the future");
  }
  const int64_t expires_ms = request.issued_at_ms + this->limits.window_ms;
  if (expires_ms < now_ms) {
    return Fail(ErrorCode::kExpired, "issued_at_ms: older than the retention window");
  }
  const bool known = this->records.count(request.request_id) > 0;
  if ((!known && this->records.size() >= this->limits.max_records) ||
      this->body_bytes >= this->limits.max_body_bytes) {
    return Fail(ErrorCode::kLedgerFull);
  }
  this->Erase(request.request_id);
  this->Insert(request.request_id, {.service = request.service,
                                    .body_digest = request.body_digest,
                                    .expires_ms = expires_ms,
                                    .state = RecordState::kRunning,
                                    .holder = request.holder});
  return ClaimResult{.state = ClaimState::kGranted};
}

Result<ClaimResult> Ledger::ClaimExisting(int64_t now_ms, const std::string& request_id,
                                          LedgerRecord& record, const ClaimRequest& request) {
  if (record.body_digest != request.body_digest || record.service != request.service) {
    return Fail(ErrorCode::kConflict, "request_id: already used with another body or service");
  }
  // The record must be kept as long as a resend with a later issue time is accepted.
  const int64_t issued_at_ms =
      std::min(request.issued_at_ms, now_ms + this->limits.max_clock_skew_ms);
  this->SetExpiry(request_id, record,
                  std::max(record.expires_ms, issued_at_ms + this->limits.window_ms));
  if (record.state == RecordState::kRecorded) return RecordedResult(record);
  if (record.state == RecordState::kInDoubt) return ClaimResult{.state = ClaimState::kInDoubt};
  if (record.holder == request.holder) return ClaimResult{.state = ClaimState::kGranted};
  return ClaimResult{.state = ClaimState::kRunning};
}

Result<void> Ledger::Complete(int64_t now_ms, const Completion& completion) {
  if (!IsValidRequestId(completion.request_id)) {
    return Fail(ErrorCode::kBadRequest, "request_id: allowed is 1 to 128 bytes");
  }
  if (completion.holder.claim_id == 0) {
    return Fail(ErrorCode::kBadRequest, "claim_id: must be above 0");
  }
  this->EvictExpired(now_ms);
  const auto found = this->records.find(completion.request_id);
  if (found == this->records.end()) {
    if (completion.outcome != Outcome::kNotRun) return Fail(ErrorCode::kNotFound);
    this->BlockDelayedClaim(now_ms, completion);
    return {};
  }
  LedgerRecord& record = found->second;
  if (record.holder != completion.holder) return this->CompleteByOther(now_ms, record, completion);
  if (completion.outcome == Outcome::kNotRun) return this->Release(now_ms, found->first, record);
  return this->RecordOutcome(found->first, record, completion);
}

Result<void> Ledger::CompleteByOther(int64_t now_ms, const LedgerRecord& record,
                                     const Completion& completion) {
  // A release by another claim than the holder always succeeds; at most it blocks a delayed copy of
  // that claim.
  if (completion.outcome != Outcome::kNotRun) {
    return Fail(ErrorCode::kConflict, "request_id: held by another claim");
  }
  if (record.state == RecordState::kReleased &&
      (!SameIncarnation(record.holder, completion.holder) ||
       record.holder.claim_id < completion.holder.claim_id)) {
    this->BlockDelayedClaim(now_ms, completion);
  }
  return {};
}

Result<void> Ledger::Release(int64_t now_ms, const std::string& request_id, LedgerRecord& record) {
  if (record.state == RecordState::kReleased) return {};
  if (record.state == RecordState::kInDoubt) {
    return Fail(ErrorCode::kInDoubt,
                "request_id: in doubt, because the router left before it released the claim");
  }
  if (record.state == RecordState::kRecorded) {
    return Fail(ErrorCode::kConflict, "request_id: an outcome is already recorded");
  }
  this->SetState(request_id, record, RecordState::kReleased);
  this->SetExpiry(request_id, record,
                  std::min(record.expires_ms, now_ms + this->limits.released_retention_ms));
  return {};
}

Result<void> Ledger::RecordOutcome(const std::string& request_id, LedgerRecord& record,
                                   const Completion& completion) {
  if (record.state == RecordState::kReleased) {
    return Fail(ErrorCode::kConflict, "request_id: the claim was released before");
  }
  if (record.state == RecordState::kRecorded) {
    if (SameOutcome(record, completion)) return {};
    return Fail(ErrorCode::kConflict, "request_id: another outcome is already recorded");
  }
  if (completion.outcome == Outcome::kInDoubt) {
    this->SetState(request_id, record, RecordState::kInDoubt);
    return {};
  }
  // An outcome also resolves a claim in doubt, because the holder knows the result of its own
  // dispatch.
  this->SetState(request_id, record, RecordState::kRecorded);
  record.outcome = completion.outcome;
  record.status = completion.status;
  record.body = completion.body;
  this->body_bytes += record.body.size();
  return {};
}

void Ledger::MarkClaimsInDoubt(const std::string& router, uint64_t except) {
  const auto found = this->running.find(router);
  if (found == this->running.end()) return;
  const std::set<std::string> ids = found->second;
  for (const std::string& request_id : ids) {
    LedgerRecord& record = this->records.at(request_id);
    if (record.holder.incarnation == except) continue;
    this->SetState(request_id, record, RecordState::kInDoubt);
  }
}

size_t Ledger::Running() const {
  size_t count = 0;
  for (const auto& [router, ids] : this->running) count += ids.size();
  return count;
}

void Ledger::Insert(const std::string& request_id, LedgerRecord record) {
  this->by_expiry.emplace(record.expires_ms, request_id);
  if (record.state == RecordState::kRunning) {
    this->running[record.holder.router].insert(request_id);
  }
  this->body_bytes += record.body.size();
  this->records.emplace(request_id, std::move(record));
}

void Ledger::Erase(const std::string& request_id) {
  const auto found = this->records.find(request_id);
  if (found == this->records.end()) return;
  LedgerRecord& record = found->second;
  this->SetState(request_id, record, RecordState::kReleased);
  this->by_expiry.erase({record.expires_ms, request_id});
  this->body_bytes -= record.body.size();
  this->records.erase(found);
}

void Ledger::EvictExpired(int64_t now_ms) {
  while (!this->by_expiry.empty() && this->by_expiry.begin()->first < now_ms) {
    const std::string request_id = this->by_expiry.begin()->second;
    this->Erase(request_id);
  }
}

void Ledger::BlockDelayedClaim(int64_t now_ms, const Completion& completion) {
  const bool known = this->records.count(completion.request_id) > 0;
  // If the ledger is full, the record is omitted. A delayed claim then at worst leaves the request
  // running until the router leaves.
  if (!known && this->records.size() >= this->limits.max_records) return;
  this->Erase(completion.request_id);
  this->Insert(completion.request_id, {.expires_ms = now_ms + this->limits.released_retention_ms,
                                       .state = RecordState::kReleased,
                                       .holder = completion.holder});
}

void Ledger::SetState(const std::string& request_id, LedgerRecord& record, RecordState state) {
  if (record.state == RecordState::kRunning && state != RecordState::kRunning) {
    const auto found = this->running.find(record.holder.router);
    found->second.erase(request_id);
    if (found->second.empty()) this->running.erase(found);
  }
  record.state = state;
}

void Ledger::SetExpiry(const std::string& request_id, LedgerRecord& record, int64_t expires_ms) {
  if (record.expires_ms == expires_ms) return;
  this->by_expiry.erase({record.expires_ms, request_id});
  record.expires_ms = expires_ms;
  this->by_expiry.emplace(expires_ms, request_id);
}

}  // namespace peridotgauge
