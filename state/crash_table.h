// Requests that crashed targets, by fingerprint. Part of the replicated state, so that the count
// holds over all routers, their restarts and changes of leader.
//
// Use:
//   table.Record(now_ms, fingerprint, {.service = "s", .target = "s/a", .incarnation = 1});
//   if (table.BeginTrial(now_ms, fingerprint, {.id = 7, .hold_ms = 5'000}) == kGranted) Send();
//   table.EndTrial(now_ms, fingerprint, 7, {.answered = {"s"}, .crashes = {}});
//
// Contract: a request that has crashed kCrashesToSuspect incarnations of targets is suspect. It may
// be sent only in a trial, one at a time. A trial counts as a crash until it has ended without one.
// After kMaxTrials that counted, the request is blocked. A suspect is cleared when targets of all
// services have answered whose targets it had crashed, and forgotten kCrashRetentionMs after its
// last crash. The request that crashes every target thus reaches at most kMaxTrials targets after
// it became suspect, and a harmless one is served again after its first trial.
//
// At most kMaxCrashSuspects requests are kept. Beyond that, those with the fewest crashes are
// dropped, the oldest first.
#ifndef PERIDOTGAUGE_STATE_CRASH_TABLE_H_
#define PERIDOTGAUGE_STATE_CRASH_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/records.h"
#include "core/target_crash.h"

namespace peridotgauge {

constexpr size_t kCrashesToSuspect = 2;
constexpr uint32_t kMaxTrials = 2;
constexpr int64_t kCrashRetentionMs = 600'000;
constexpr size_t kMaxCrashSuspects = 1'000;
// Crashes that are kept of one request.
constexpr size_t kMaxCrashesPerSuspect = 8;
// Upper bound of the time for which a trial is kept open.
constexpr int64_t kMaxTrialHoldMs = 60'000;

struct CrashSuspect {
  std::vector<TargetCrash> crashes;  // distinct, not empty, at most kMaxCrashesPerSuspect
  int64_t last_crash_ms = 0;         // log time
  uint32_t trials = 0;               // that count as crashes, the open one included
  uint64_t open_trial = 0;           // 0: none
  int64_t open_until_ms = 0;
  bool operator==(const CrashSuspect&) const = default;

  bool IsSuspect() const { return this->crashes.size() >= kCrashesToSuspect; }
  bool IsBlocked() const { return this->trials >= kMaxTrials && this->open_trial == 0; }
};

struct Trial {
  uint64_t id = 0;  // not 0
  int64_t hold_ms = 0;
  auto operator<=>(const Trial&) const = default;
};

struct TrialResult {
  std::vector<std::string> answered;  // services
  std::vector<TargetCrash> crashes;
  bool operator==(const TrialResult&) const = default;
};

enum class TrialDecision : uint8_t {
  kGranted,  // also for a request that is not suspect
  kBusy,     // another trial is open
  kBlocked,  // the request has had all its trials
};

class CrashTable {
 public:
  // Functions that change the table return true if what routers learn has changed.
  bool Record(int64_t now_ms, uint64_t fingerprint, const TargetCrash& crash);
  TrialDecision BeginTrial(int64_t now_ms, uint64_t fingerprint, const Trial& trial);
  // A trial that is not open changes only what was answered.
  bool EndTrial(int64_t now_ms, uint64_t fingerprint, uint64_t trial, const TrialResult& result);
  // Adds a suspect of a snapshot.
  void Restore(uint64_t fingerprint, CrashSuspect suspect);

  // Returns what routers learn: all suspect requests.
  std::vector<QuarantineRecord> Suspects() const;
  const std::map<uint64_t, CrashSuspect>& All() const { return this->suspects; }
  bool operator==(const CrashTable&) const = default;

 private:
  bool Prune(int64_t now_ms);
  bool MakeRoom();

  std::map<uint64_t, CrashSuspect> suspects;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_CRASH_TABLE_H_
