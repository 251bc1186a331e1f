// Records of non-idempotent requests, which make sure that each is executed at most once.
//
// Use:
//   Result<ClaimResult> answer = ledger.Claim(now_ms, request);
//   if (answer && answer->state == ClaimState::kGranted) Dispatch();  // at most once per claim id
//   ledger.Complete(now_ms, completion);
//
// Contract: a request id is granted to one holder only, and is granted again only after that holder
// has completed the same claim id with kNotRun (state kReleased). A resent claim with the same
// claim id is granted again; a router must therefore dispatch a claim at most once and must not
// reuse a claim id. A record is kept until the request's issue time plus the retention window.
// After that the id is rejected with kExpired, so a request whose record was evicted is never taken
// for a new one. `now_ms` (Unix time) must never decrease.
#ifndef PERIDOTGAUGE_STATE_LEDGER_H_
#define PERIDOTGAUGE_STATE_LEDGER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"

namespace peridotgauge {

// Limits of the ledger. A claim beyond a limit is rejected with kLedgerFull.
struct LedgerLimits {
  int64_t window_ms = 24LL * 3600 * 1000;
  size_t max_records = 200'000;
  // Total size of the recorded bodies. The ledger is held in memory and is part of each snapshot.
  size_t max_body_bytes = 64 << 20;
  // How long the record of a released claim is kept, to reject a delayed copy of that claim. Far
  // above the time that a command can spend in socket buffers and in a stalled process.
  int64_t released_retention_ms = 10LL * 60 * 1000;
  // Requests issued further in the future are rejected, because their records would be kept longer
  // than the window.
  int64_t max_clock_skew_ms = 5LL * 60 * 1000;
  bool operator==(const LedgerLimits&) const = default;
};

constexpr size_t kMaxRequestIdBytes = 128;

// Same values as wire::Outcome and wire::ClaimState.
enum class Outcome : uint8_t { kDone, kNotRun, kInDoubt, kFailed };
enum class ClaimState : uint8_t { kGranted, kRunning, kRecorded, kInDoubt };

// The holder of a claim: one order of one incarnation of a router.
struct ClaimHolder {
  std::string router;
  uint64_t incarnation = 0;
  uint64_t claim_id = 0;  // above 0, unique within the incarnation and increasing
  auto operator<=>(const ClaimHolder&) const = default;
};

struct ClaimRequest {
  std::string request_id;
  std::string service;
  uint64_t body_digest = 0;
  int64_t issued_at_ms = 0;  // Unix time, set by the caller and the same on each resend
  ClaimHolder holder;
};

struct Completion {
  std::string request_id;
  ClaimHolder holder;
  Outcome outcome = Outcome::kDone;
  uint16_t status = 0;  // HTTP status of the recorded answer
  std::string body;
};

// The result of a claim. Outcome, status and body are set only in state kRecorded.
struct ClaimResult {
  ClaimState state = ClaimState::kGranted;
  Outcome outcome = Outcome::kDone;
  uint16_t status = 0;
  std::string body;
  bool operator==(const ClaimResult&) const = default;
};

enum class RecordState : uint8_t { kRunning, kReleased, kRecorded, kInDoubt };

struct LedgerRecord {
  std::string service;
  uint64_t body_digest = 0;
  int64_t expires_ms = 0;  // the record is kept up to and including this time
  RecordState state = RecordState::kRunning;
  ClaimHolder holder;
  Outcome outcome = Outcome::kDone;  // this, `status` and `body`: state kRecorded only
  uint16_t status = 0;
  std::string body;
  bool operator==(const LedgerRecord&) const = default;
};

class Ledger {
 public:
  explicit Ledger(LedgerLimits limits = {}) : limits(limits) {}

  // Claims a request id. Errors: kBadRequest, kExpired, kConflict (the id was used with another
  // body or service), kLedgerFull, kCancelled (this claim was released before).
  Result<ClaimResult> Claim(int64_t now_ms, const ClaimRequest& request);

  // Records the outcome of a claim. kNotRun releases the id; it is accepted for an unknown id too,
  // and then a delayed claim with that claim id is rejected. A repeated identical completion
  // succeeds. Errors: kBadRequest, kNotFound, kConflict (another holder or another outcome),
  // kInDoubt (the release arrived after the holder had left the view).
  Result<void> Complete(int64_t now_ms, const Completion& completion);

  // Marks the running claims of this router as in doubt, except those of incarnation `except`.
  void MarkClaimsInDoubt(const std::string& router, uint64_t except = 0);

  // Return the number of records and the total size of the recorded bodies.
  size_t Size() const { return this->records.size(); }
  size_t BodyBytes() const { return this->body_bytes; }
  // Returns the number of claims that are neither completed nor in doubt.
  size_t Running() const;

  // For snapshots.
  const std::map<std::string, LedgerRecord>& Records() const { return this->records; }
  void Insert(const std::string& request_id, LedgerRecord record);

  bool operator==(const Ledger&) const = default;

 private:
  void EvictExpired(int64_t now_ms);
  Result<ClaimResult> ClaimNew(int64_t now_ms, const ClaimRequest& request);
  Result<ClaimResult> ClaimExisting(int64_t now_ms, const std::string& request_id,
                                    LedgerRecord& record, const ClaimRequest& request);
  Result<void> CompleteByOther(int64_t now_ms, const LedgerRecord& record,
                               const Completion& completion);
  Result<void> Release(int64_t now_ms, const std::string& request_id, LedgerRecord& record);
  Result<void> RecordOutcome(const std::string& request_id, LedgerRecord& record,
                             const Completion& completion);
  void BlockDelayedClaim(int64_t now_ms, const Completion& completion);
  void Erase(const std::string& request_id);
  void SetState(const std::string& request_id, LedgerRecord& record, RecordState state);
  void SetExpiry(const std::string& request_id, LedgerRecord& record, int64_t expires_ms);

  LedgerLimits limits;
  std::map<std::string, LedgerRecord> records;
  // (expires_ms, request id) of each record, for eviction in order of time.
  std::set<std::pair<int64_t, std::string>> by_expiry;
  // Request ids of the kRunning records of each router.
  std::map<std::string, std::set<std::string>> running;
  size_t body_bytes = 0;  // sum of the body sizes of all records
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_LEDGER_H_
