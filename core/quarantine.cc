// Fingerprints, recent successes, suspects and the committed quarantine list.
#include "core/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridotgauge {

uint64_t Fingerprint(std::string_view service, RequestKind kind, std::string_view body) {
  // The hash of service and kind is the seed of the body's, so the parts cannot run together.
  const uint64_t seed =
      XXH3_64bits_withSeed(service.data(), service.size(), static_cast<XXH64_hash_t>(kind));
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

void RecentSet::Insert(Time now, uint64_t value) {
  this->Rotate(now);
  if (this->young.size() >= this->half) {
    this->old = std::exchange(this->young, {});
    this->young_since = now;
  }
  this->young.insert(value);
}

void RecentSet::Erase(uint64_t value) {
  this->young.erase(value);
  this->old.erase(value);
}

bool RecentSet::Contains(Time now, uint64_t value) {
  this->Rotate(now);
  return this->young.contains(value) || this->old.contains(value);
}

void RecentSet::Rotate(Time now) {
  if (now - this->young_since < this->half_time) return;
  this->old = std::exchange(this->young, {});
  if (now - this->young_since >= 2 * this->half_time) this->old.clear();
  this->young_since = now;
}

void Quarantine::SetCommitted(const std::vector<QuarantineRecord>& records) {
  this->committed.clear();
  for (const QuarantineRecord& record : records) {
    int64_t& until = this->committed[record.fingerprint];
    until = std::max(until, record.until_ms);
    this->suspects.erase(record.fingerprint);
    this->successes.Erase(record.fingerprint);
  }
}

FingerprintStatus Quarantine::Check(Time now, int64_t now_ms, uint64_t fingerprint) {
  const auto blocked = this->committed.find(fingerprint);
  if (blocked != this->committed.end() && now_ms < blocked->second)
    return FingerprintStatus::kQuarantined;
  const auto suspect = this->suspects.find(fingerprint);
  if (suspect != this->suspects.end()) {
    if (now - suspect->second.last_crash < kSuspectTime) {
      return this->Crashing(suspect->second) ? FingerprintStatus::kCrashing
                                             : FingerprintStatus::kSuspect;
    }
    this->suspects.erase(suspect);
  }
  return this->successes.Contains(now, fingerprint) ? FingerprintStatus::kTrusted
                                                    : FingerprintStatus::kNew;
}

void Quarantine::OnSuccess(Time now, uint64_t fingerprint, bool complete) {
  const auto suspect = this->suspects.find(fingerprint);
  if (suspect != this->suspects.end()) {
    // The quarantine that two crashes asked for may already be on its way to the log.
    if (!complete || this->Crashing(suspect->second)) return;
    this->suspects.erase(suspect);
  }
  this->successes.Insert(now, fingerprint);
}

bool Quarantine::OnCrash(Time now, uint64_t fingerprint, const TargetRecord& target, bool trusted) {
  this->successes.Erase(fingerprint);
  if (trusted) return false;
  if (!this->suspects.contains(fingerprint)) this->EvictSuspects(now);
  Suspect& suspect = this->suspects[fingerprint];
  if (now - suspect.last_crash >= kSuspectTime) suspect.crashes.clear();
  suspect.last_crash = now;
  Crash crash{.target = target.target, .incarnation = target.incarnation};
  const auto end = suspect.crashes.end();
  if (!this->Crashing(suspect) && std::find(suspect.crashes.begin(), end, crash) == end) {
    suspect.crashes.push_back(std::move(crash));
  }
  return this->Crashing(suspect);
}

void Quarantine::EvictSuspects(Time now) {
  if (this->suspects.size() < kMaxSuspects) return;
  std::erase_if(this->suspects,
                [&](const auto& entry) { return now - entry.second.last_crash >= kSuspectTime; });
  if (this->suspects.size() < kMaxSuspects) return;
  const auto oldest = std::min_element(
      this->suspects.begin(), this->suspects.end(),
      [](const auto& a, const auto& b) { return a.second.last_crash < b.second.last_crash; });
  this->suspects.erase(oldest);
}

}  // namespace peridotgauge
