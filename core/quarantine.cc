// Fingerprints, recent successes, suspects and the committed quarantine list.
#include "core/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace peridotgauge {

uint64_t Fingerprint(std::string_view service, RequestKind kind, std::string_view body) {
  // The hash of service and kind seeds the hash of the body, so that moving bytes between service
  // and body changes the result.
  const uint64_t seed =
      XXH3_64bits_withSeed(service.data(), service.size(), static_cast<XXH64_hash_t>(kind));
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

uint64_t RouteFingerprint(std::string_view host, const HttpRequest& request) {
  // Each hash seeds the next one, so that moving bytes between two parts changes the result.
  const std::array<std::string_view, 5> parts = {host, request.method, request.path, request.query,
                                                 request.body};
  uint64_t hash = 0;
  for (const std::string_view part : parts) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  }
  return hash;
}

void RecentSet::Insert(Time now, uint64_t value) {
  this->Rotate(now);
  if (this->current.size() >= this->generation_capacity) {
    this->previous = std::exchange(this->current, {});
    this->current_since = now;
  }
  this->current.insert(value);
}

void RecentSet::Erase(uint64_t value) {
  this->current.erase(value);
  this->previous.erase(value);
}

bool RecentSet::Contains(Time now, uint64_t value) {
  this->Rotate(now);
  return this->current.contains(value) || this->previous.contains(value);
}

void RecentSet::Rotate(Time now) {
  if (now - this->current_since < this->generation_time) return;
  this->previous = std::exchange(this->current, {});
  if (now - this->current_since >= 2 * this->generation_time) this->previous.clear();
  this->current_since = now;
}

void Quarantine::SetCommitted(const std::vector<QuarantineRecord>& records) {
  this->committed.clear();
  for (const QuarantineRecord& record : records) {
    if (!record.suspect) {
      int64_t& until = this->committed[record.fingerprint];
      until = std::max(until, record.until_ms);
    }
    this->suspects.erase(record.fingerprint);
    this->successes.Erase(record.fingerprint);
  }
}

FingerprintStatus Quarantine::Check(Time now, int64_t now_ms, uint64_t fingerprint) {
  const auto blocked = this->committed.find(fingerprint);
  if (blocked != this->committed.end() && now_ms < blocked->second) {
    return FingerprintStatus::kQuarantined;
  }
  const auto suspect = this->suspects.find(fingerprint);
  if (suspect != this->suspects.end()) {
    if (now - suspect->second.last_crash < kSuspectRetention) {
      return this->ReachedCrashLimit(suspect->second) ? FingerprintStatus::kCrashing
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
    // After two crashes the quarantine may already have been proposed to the log.
    if (!complete || this->ReachedCrashLimit(suspect->second)) return;
    this->suspects.erase(suspect);
  }
  this->successes.Insert(now, fingerprint);
}

bool Quarantine::OnCrash(Time now, uint64_t fingerprint, const TargetRecord& target, bool trusted) {
  this->successes.Erase(fingerprint);
  if (trusted) return false;
  if (!this->suspects.contains(fingerprint)) this->EvictSuspects(now);
  Suspect& suspect = this->suspects[fingerprint];
  if (now - suspect.last_crash >= kSuspectRetention) suspect.crashes.clear();
  suspect.last_crash = now;
  Crash crash{.target = target.target, .incarnation = target.incarnation};
  const auto end = suspect.crashes.end();
  if (!this->ReachedCrashLimit(suspect) && std::find(suspect.crashes.begin(), end, crash) == end) {
    suspect.crashes.push_back(std::move(crash));
  }
  return this->ReachedCrashLimit(suspect);
}

void Quarantine::EvictSuspects(Time now) {
  if (this->suspects.size() < kMaxSuspects) return;
  std::erase_if(this->suspects, [&](const auto& entry) {
    return now - entry.second.last_crash >= kSuspectRetention;
  });
  if (this->suspects.size() < kMaxSuspects) return;
  const auto oldest = std::min_element(
      this->suspects.begin(), this->suspects.end(),
      [](const auto& a, const auto& b) { return a.second.last_crash < b.second.last_crash; });
  this->suspects.erase(oldest);
}

}  // namespace peridotgauge
