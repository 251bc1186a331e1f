// The error table. Row i describes the code with value i, which a test checks.
#include "core/error.h"

#include <algorithm>
#include <array>

namespace peridotgauge {
namespace {

// Exit codes: 1 rejected or failed, 2 invalid input, 3 conflict, 4 outcome unknown, 5 unavailable.
constexpr std::array<ErrorInfo, kErrorCodeCount> kTable = {{
    {ErrorCode::kBadRequest, "bad_request", 400, true, 2, "the request is malformed"},
    {ErrorCode::kNotFound, "not_found", 404, true, 2, "not found"},
    {ErrorCode::kTooLarge, "too_large", 413, true, 2, "a size limit was exceeded"},
    {ErrorCode::kInvalidConfig, "invalid_config", 422, true, 2, "the configuration is invalid"},
    {ErrorCode::kInvalidSettings, "invalid_settings", 500, true, 2, "the settings are invalid"},
    {ErrorCode::kConflict, "conflict", 409, false, 3, "another version was accepted first"},
    {ErrorCode::kInProgress, "in_progress", 409, false, 4, "the request is being executed"},
    {ErrorCode::kInDoubt, "in_doubt", 502, false, 4, "the request may have been executed"},
    {ErrorCode::kExpired, "expired", 410, false, 1, "the request id is past its retention window"},
    {ErrorCode::kLedgerFull, "ledger_full", 503, true, 5, "no room for another request record"},
    {ErrorCode::kOverloaded, "overloaded", 503, true, 5, "too busy to finish in time"},
    {ErrorCode::kNotSynchronized, "not_synchronized", 503, true, 5, "no valid configuration lease"},
    {ErrorCode::kDraining, "draining", 503, true, 5, "the process is shutting down"},
    {ErrorCode::kNoTarget, "no_target", 503, true, 5, "no live target"},
    {ErrorCode::kUnavailable, "unavailable", 503, true, 5, "the peer could not be reached"},
    {ErrorCode::kNotLeader, "not_leader", 503, true, 5, "not the leader"},
    {ErrorCode::kShed, "shed", 503, true, 5, "the target refused the request"},
    {ErrorCode::kConnectionLost, "connection_lost", 502, false, 4, "the connection failed"},
    {ErrorCode::kTargetFailed, "target_failed", 502, false, 1, "the target failed"},
    {ErrorCode::kWrongReply, "wrong_reply", 502, false, 1, "the reply is for another request"},
    {ErrorCode::kWrongSnapshot, "wrong_snapshot", 502, false, 1,
     "the reply is of another snapshot"},
    {ErrorCode::kDeadlineExceeded, "deadline_exceeded", 504, false, 4, "the deadline has passed"},
    {ErrorCode::kCancelled, "cancelled", 499, false, 4, "the request was cancelled"},
    {ErrorCode::kQuarantined, "quarantined", 422, false, 1, "the request crashes targets"},
    {ErrorCode::kUnknownOutcome, "unknown_outcome", 504, false, 4, "the answer was lost"},
    {ErrorCode::kStorageFailed, "storage_failed", 500, false, 4, "writing to the disk failed"},
    {ErrorCode::kCorrupt, "corrupt", 500, false, 1, "stored data failed its checksum"},
    {ErrorCode::kInternal, "internal", 500, false, 1, "internal error"},
    {ErrorCode::kSuspect, "suspect", 503, true, 5, "the request has crashed targets; not sent"},
    {ErrorCode::kUnknownKey, "unknown_key", 401, true, 2, "no workspace has the key"},
    {ErrorCode::kQuotaExceeded, "quota_exceeded", 429, true, 5, "the request quota is used up"},
}};

}  // namespace

const ErrorInfo& InfoOf(ErrorCode code) {
  auto index = static_cast<size_t>(code);
  if (index >= kTable.size()) index = static_cast<size_t>(ErrorCode::kInternal);
  return kTable[index];
}

std::optional<ErrorCode> ErrorCodeFromName(std::string_view name) {
  const auto* row = std::find_if(kTable.begin(), kTable.end(),
                                 [&](const ErrorInfo& info) { return info.name == name; });
  if (row == kTable.end()) return std::nullopt;
  return row->code;
}

std::string Error::ToString() const {
  const ErrorInfo& info = InfoOf(this->code);
  const std::string_view tail = this->detail.empty() ? info.text : this->detail;
  return std::string(info.name) + ": " + std::string(tail);
}

}  // namespace peridotgauge
