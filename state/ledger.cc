// Claims, completions and eviction. Every change of a record goes through SetState() or
// SetExpiry(), which keep the indexes.
#include "state/ledger.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {
namespace {

bool SameIncarnation(const ClaimHolder& a, const ClaimHolder& b) {
  return a.router == b.router && a.incarnation == b.incarnation;
}

bool ValidId(const std::string& request_id) {
  return !request_id.empty() && request_id.size() <= kMaxRequestIdBytes;
}

ClaimResult AnswerOf(const LedgerRecord& record) {
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
  if (!ValidId(request.request_id)) {
    return Fail(ErrorCode::kBadRequest, "request_id: 1 to 128 bytes");
  }
  if (request.holder.claim_id == 0) {
    return Fail(ErrorCode::kBadRequest, "claim_id: must be above 0");
  }
  this->Evict(now_ms);
  const auto found = this->records.find(request.request_id);
  if (found != this->records.end() && found->second.state != RecordState::kReleased) {
    return this->ClaimKnown(now_ms, found->first, found->second, request);
  }
  if (found != this->records.end() && SameIncarnation(found->second.holder, request.holder) &&
      request.holder.claim_id <= found->second.holder.claim_id) {
    return Fail(ErrorCode::kCancelled, "this claim was released");
  }
  return this->ClaimNew(now_ms, request);
}

Result<ClaimResult> Ledger::ClaimNew(int64_t now_ms, const ClaimRequest& request) {
  if (request.issued_at_ms > now_ms + this->limits.max_clock_skew_ms) {
    return Fail(ErrorCode::kBadRequest, "issued_at_ms is in the future");
  }
  const int64_t expires_ms = request.issued_at_ms + this->limits.window_ms;
  if (expires_ms < now_ms) {
    return Fail(ErrorCode::kExpired, "issued_at_ms is older than the retention window");
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

Result<ClaimResult> Ledger::ClaimKnown(int64_t now_ms, const std::string& request_id,
                                       LedgerRecord& record, const ClaimRequest& request) {
  if (record.body_digest != request.body_digest || record.service != request.service) {
    return Fail(ErrorCode::kConflict, "the request id was used for another request");
  }
  // A resend with a later issue time must not outlive the record.
  const int64_t issued_at_ms =
      std::min(request.issued_at_ms, now_ms + this->limits.max_clock_skew_ms);
  this->SetExpiry(request_id, record,
                  std::max(record.expires_ms, issued_at_ms + this->limits.window_ms));
  if (record.state == RecordState::kRecorded) return AnswerOf(record);
  if (record.state == RecordState::kInDoubt) return ClaimResult{.state = ClaimState::kInDoubt};
  if (record.holder == request.holder) return ClaimResult{.state = ClaimState::kGranted};
  return ClaimResult{.state = ClaimState::kRunning};
}

Result<void> Ledger::Complete(int64_t now_ms, const Completion& completion) {
  if (!ValidId(completion.request_id)) return Fail(ErrorCode::kBadRequest, "request_id");
  if (completion.holder.claim_id == 0) return Fail(ErrorCode::kBadRequest, "claim_id");
  this->Evict(now_ms);
  const auto found = this->records.find(completion.request_id);
  if (found == this->records.end()) {
    if (completion.outcome != Outcome::kNotRun) return Fail(ErrorCode::kNotFound);
    this->BarDelayedClaim(now_ms, completion);
    return {};
  }
  LedgerRecord& record = found->second;
  if (record.holder != completion.holder) return this->CompleteOther(now_ms, record, completion);
  if (completion.outcome == Outcome::kNotRun) return this->Release(now_ms, found->first, record);
  return this->Finish(found->first, record, completion);
}

Result<void> Ledger::CompleteOther(int64_t now_ms, const LedgerRecord& record,
                                   const Completion& completion) {
  // Releasing a claim that holds nothing is the aim of a release, so it succeeds.
  if (completion.outcome != Outcome::kNotRun) {
    return Fail(ErrorCode::kConflict, "the request is held by another claim");
  }
  if (record.state == RecordState::kReleased &&
      (!SameIncarnation(record.holder, completion.holder) ||
       record.holder.claim_id < completion.holder.claim_id)) {
    this->BarDelayedClaim(now_ms, completion);
  }
  return {};
}

Result<void> Ledger::Release(int64_t now_ms, const std::string& request_id, LedgerRecord& record) {
  if (record.state == RecordState::kReleased) return {};
  if (record.state == RecordState::kInDoubt) {
    return Fail(ErrorCode::kInDoubt, "the router had left before it released the request");
  }
  if (record.state == RecordState::kRecorded) {
    return Fail(ErrorCode::kConflict, "an outcome was recorded");
  }
  this->SetState(request_id, record, RecordState::kReleased);
  this->SetExpiry(request_id, record,
                  std::min(record.expires_ms, now_ms + this->limits.released_ms));
  return {};
}

Result<void> Ledger::Finish(const std::string& request_id, LedgerRecord& record,
                            const Completion& completion) {
  if (record.state == RecordState::kReleased) {
    return Fail(ErrorCode::kConflict, "the request was released");
  }
  if (record.state == RecordState::kRecorded) {
    if (SameOutcome(record, completion)) return {};
    return Fail(ErrorCode::kConflict, "another outcome was recorded");
  }
  if (completion.outcome == Outcome::kInDoubt) {
    this->SetState(request_id, record, RecordState::kInDoubt);
    return {};
  }
  // A late answer resolves a doubt: the holder has seen what its own dispatch led to.
  this->SetState(request_id, record, RecordState::kRecorded);
  record.outcome = completion.outcome;
  record.status = completion.status;
  record.body = completion.body;
  this->body_bytes += record.body.size();
  return {};
}

void Ledger::RouterLeft(const std::string& router, uint64_t except) {
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

void Ledger::Evict(int64_t now_ms) {
  while (!this->by_expiry.empty() && this->by_expiry.begin()->first < now_ms) {
    const std::string request_id = this->by_expiry.begin()->second;
    this->Erase(request_id);
  }
}

void Ledger::BarDelayedClaim(int64_t now_ms, const Completion& completion) {
  const bool known = this->records.count(completion.request_id) > 0;
  // Without the record, a delayed claim can only leave the request running until the router leaves.
  if (!known && this->records.size() >= this->limits.max_records) return;
  this->Erase(completion.request_id);
  this->Insert(completion.request_id, {.expires_ms = now_ms + this->limits.released_ms,
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
