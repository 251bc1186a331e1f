// Lost attempts and what is known of their targets.
#include "core/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {

void CrashEvidence::OnLost(Time now, uint64_t fingerprint, TargetCrash crash) {
  this->Expire(now);
  if (this->attempts.size() >= kMaxLostAttempts) this->attempts.pop_front();
  this->attempts.push_back(
      {.lost = now, .attempt = {.fingerprint = fingerprint, .crash = std::move(crash)}});
}

void CrashEvidence::OnAnswered(uint64_t fingerprint, std::string_view service, Time sent) {
  std::erase_if(this->attempts, [&](const Entry& entry) {
    return entry.attempt.fingerprint == fingerprint && entry.attempt.crash.service == service &&
           entry.lost <= sent;
  });
}

void CrashEvidence::OnChecked(const TargetId& target, bool ended) {
  if (!ended) return;
  for (Entry& entry : this->attempts) entry.ended = entry.ended || IsOf(entry, target);
}

void CrashEvidence::OnLeaving(const TargetId& target) {
  std::erase_if(this->attempts, [&](const Entry& entry) { return IsOf(entry, target); });
}

std::vector<TargetId> CrashEvidence::TakeTargetsToCheck(Time now) {
  std::vector<TargetId> targets;
  for (Entry& entry : this->attempts) {
    if (now < entry.lost + kCrashCheckDelay) break;
    if (std::exchange(entry.checked, true)) continue;
    TargetId target{entry.attempt.crash.target, entry.attempt.crash.incarnation};
    if (std::find(targets.begin(), targets.end(), target) == targets.end()) {
      targets.push_back(std::move(target));
    }
  }
  return targets;
}

std::optional<Time> CrashEvidence::NextCheck() const {
  const auto next = std::find_if(this->attempts.begin(), this->attempts.end(),
                                 [](const Entry& entry) { return !entry.checked; });
  if (next == this->attempts.end()) return std::nullopt;
  return next->lost + kCrashCheckDelay;
}

std::vector<TargetId> CrashEvidence::Targets() const {
  std::vector<TargetId> targets;
  for (const Entry& entry : this->attempts) {
    targets.push_back({entry.attempt.crash.target, entry.attempt.crash.incarnation});
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  return targets;
}

std::vector<LostAttempt> CrashEvidence::TakeCrashes() {
  std::vector<LostAttempt> crashes;
  std::erase_if(this->attempts, [&](Entry& entry) {
    if (entry.ended) crashes.push_back(std::move(entry.attempt));
    return entry.ended;
  });
  return crashes;
}

void CrashEvidence::Expire(Time now) {
  while (!this->attempts.empty() && now >= this->attempts.front().lost + kCrashDoubtTime) {
    this->attempts.pop_front();
  }
}

}  // namespace peridotgauge
