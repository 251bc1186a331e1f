// Requests that crashed targets.
#include "state/crash_table.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace peridotgauge {
namespace {

// What routers learn of one request.
QuarantineRecord VisibleRecord(uint64_t fingerprint, const CrashSuspect& suspect) {
  std::set<std::string> services;
  for (const TargetCrash& crash : suspect.crashes) services.insert(crash.service);
  return {.fingerprint = fingerprint,
          .until_ms = suspect.last_crash_ms + kCrashRetentionMs,
          .suspect = !suspect.IsBlocked(),
          .services = {services.begin(), services.end()}};
}

}  // namespace

bool CrashTable::Record(int64_t now_ms, uint64_t fingerprint, const TargetCrash& crash) {
  bool changed = this->Prune(now_ms);
  const bool known = this->suspects.contains(fingerprint);
  if (!known && this->suspects.size() >= kMaxCrashSuspects) changed |= this->MakeRoom();
  CrashSuspect& suspect = this->suspects[fingerprint];
  auto& crashes = suspect.crashes;
  if (std::find(crashes.begin(), crashes.end(), crash) != crashes.end()) return changed;
  if (crashes.size() == kMaxCrashesPerSuspect) crashes.erase(crashes.begin());
  crashes.push_back(crash);
  suspect.last_crash_ms = now_ms;
  return changed || suspect.IsSuspect();
}

TrialDecision CrashTable::BeginTrial(int64_t now_ms, uint64_t fingerprint, const Trial& trial) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end() || !found->second.IsSuspect()) return TrialDecision::kGranted;
  CrashSuspect& suspect = found->second;
  if (now_ms >= suspect.last_crash_ms + kCrashRetentionMs) return TrialDecision::kGranted;
  // The command was sent again because its reply was lost.
  if (suspect.open_trial == trial.id) return TrialDecision::kGranted;
  if (suspect.open_trial != 0 && now_ms < suspect.open_until_ms) return TrialDecision::kBusy;
  if (suspect.trials >= kMaxTrials) return TrialDecision::kBlocked;
  ++suspect.trials;
  suspect.open_trial = trial.id;
  suspect.open_until_ms = now_ms + std::clamp<int64_t>(trial.hold_ms, 0, kMaxTrialHoldMs);
  return TrialDecision::kGranted;
}

bool CrashTable::EndTrial(int64_t now_ms, uint64_t fingerprint, uint64_t trial,
                          const TrialResult& result) {
  bool changed = false;
  for (const TargetCrash& crash : result.crashes) {
    changed |= this->Record(now_ms, fingerprint, crash);
  }
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) return changed;
  CrashSuspect& suspect = found->second;
  const QuarantineRecord before = VisibleRecord(fingerprint, suspect);
  const bool was_suspect = suspect.IsSuspect();
  if (trial != 0 && suspect.open_trial == trial) {
    suspect.open_trial = 0;
    if (result.crashes.empty()) --suspect.trials;
  }
  std::erase_if(suspect.crashes, [&](const TargetCrash& crash) {
    const auto end = result.answered.end();
    return std::find(result.answered.begin(), end, crash.service) != end &&
           std::find(result.crashes.begin(), result.crashes.end(), crash) == result.crashes.end();
  });
  if (!suspect.IsSuspect()) suspect.trials = suspect.open_trial == 0 ? 0 : 1;
  changed |= was_suspect != suspect.IsSuspect() ||
             (was_suspect && before != VisibleRecord(fingerprint, suspect));
  if (suspect.crashes.empty()) this->suspects.erase(found);
  return changed;
}

void CrashTable::Restore(uint64_t fingerprint, CrashSuspect suspect) {
  this->suspects.insert_or_assign(fingerprint, std::move(suspect));
}

std::vector<QuarantineRecord> CrashTable::Suspects() const {
  std::vector<QuarantineRecord> records;
  for (const auto& [fingerprint, suspect] : this->suspects) {
    if (suspect.IsSuspect()) records.push_back(VisibleRecord(fingerprint, suspect));
  }
  return records;
}

bool CrashTable::Prune(int64_t now_ms) {
  bool changed = false;
  std::erase_if(this->suspects, [&](const auto& item) {
    const bool expired = now_ms >= item.second.last_crash_ms + kCrashRetentionMs;
    changed |= expired && item.second.IsSuspect();
    return expired;
  });
  return changed;
}

bool CrashTable::MakeRoom() {
  const auto rank = [](const auto& item) {
    return std::tuple(item.second.IsBlocked(), item.second.crashes.size(),
                      item.second.last_crash_ms);
  };
  const auto first =
      std::min_element(this->suspects.begin(), this->suspects.end(),
                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  const bool changed = first->second.IsSuspect();
  this->suspects.erase(first);
  return changed;
}

}  // namespace peridotgauge
