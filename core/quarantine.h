// Router side of the defence against requests that crash targets.
//
// Use:
//   uint64_t fingerprint = Fingerprint("verstas-1", RequestKind::kSearch, body);
//   switch (quarantine.Check(now, UnixMillis(), fingerprint)) { ... }
//   if (reply.crashed && quarantine.OnCrash(now, fingerprint, target))
//   CommitQuarantine(fingerprint);
//
// Contract: a fingerprint depends on service, kind and body, never on the request id, so a resend
// has the same one. A crash is a connection to a target that died without a reply; connections to
// one incarnation of a target count once. When a second target has crashed, the caller of OnCrash()
// must commit a quarantine, and answers kQuarantined only when that is committed. Everything
// remembered here is bounded.
#ifndef PERIDOTGAUGE_CORE_QUARANTINE_H_
#define PERIDOTGAUGE_CORE_QUARANTINE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

enum class RequestKind : uint8_t { kSearch = 0, kOrder = 1 };

// XXH3 hash of the three parts.
uint64_t Fingerprint(std::string_view service, RequestKind kind, std::string_view body);

constexpr Duration kQuarantineDuration = Seconds(600);
// A fingerprint that succeeded this recently needs no canaries. It is remembered for at least half
// of this time.
constexpr Duration kSuccessTime = Seconds(600);
constexpr size_t kMaxSuccesses = 65'536;
// Crashes further apart than this are not counted together.
constexpr Duration kSuspectTime = Seconds(600);
constexpr size_t kMaxSuspects = 1'000;
// Distinct crashed targets after which a fingerprint is quarantined.
constexpr uint32_t kCrashesToQuarantine = 2;

enum class FingerprintStatus : uint8_t {
  kNew,          // send canaries first
  kTrusted,      // succeeded recently
  kSuspect,      // crashed a target: canaries, no hedges, no retries
  kCrashing,     // crashed two targets: do not run; commit a quarantine and answer afterwards
  kQuarantined,  // a quarantine is committed: answer kQuarantined
};

// Hashes of finished work, remembered in two generations: when the younger one is full or old, it
// replaces the older one. This bounds memory without a list of uses.
class RecentSet {
 public:
  RecentSet(size_t capacity, Duration keep) : half(capacity / 2), half_time(keep / 2) {}
  void Insert(Time now, uint64_t value);
  void Erase(uint64_t value);
  bool Contains(Time now, uint64_t value);
  size_t Size() const { return this->young.size() + this->old.size(); }

 private:
  void Rotate(Time now);

  size_t half;  // capacity of one generation
  Duration half_time;
  Time young_since{};
  std::unordered_set<uint64_t> young;
  std::unordered_set<uint64_t> old;
};

class Quarantine {
 public:
  // Replaces the committed list.
  void SetCommitted(const std::vector<QuarantineRecord>& records);

  // `now_ms` is Unix time, because committed records carry it.
  FingerprintStatus Check(Time now, int64_t now_ms, uint64_t fingerprint);

  // A request with this fingerprint was answered and crashed nothing. `complete` means that every
  // shard answered; only that ends a suspicion, because a partial answer may have missed exactly
  // the targets that the request crashes.
  void OnSuccess(Time now, uint64_t fingerprint, bool complete);
  // Returns true if a quarantine must be committed, also on later crashes until it is. `trusted`:
  // the request was sent without canaries because its fingerprint had succeeded recently. Its crash
  // is not counted, because the loss of a rack kills the targets of many harmless requests at once;
  // the fingerprint loses its standing, so that canaries decide the next time.
  bool OnCrash(Time now, uint64_t fingerprint, const TargetRecord& target, bool trusted);

  size_t SuspectCount() const { return this->suspects.size(); }

 private:
  // One start of a target.
  struct Crash {
    std::string target;
    uint64_t incarnation = 0;
    bool operator==(const Crash&) const = default;
  };
  // Invariant: `crashes` has 1 to kCrashesToQuarantine distinct elements.
  struct Suspect {
    Time last_crash;
    std::vector<Crash> crashes;
  };
  bool Crashing(const Suspect& suspect) const {
    return suspect.crashes.size() >= kCrashesToQuarantine;
  }
  void EvictSuspects(Time now);

  std::unordered_map<uint64_t, int64_t> committed;  // fingerprint -> end, Unix milliseconds
  std::unordered_map<uint64_t, Suspect> suspects;   // at most kMaxSuspects
  RecentSet successes{kMaxSuccesses, kSuccessTime};
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_QUARANTINE_H_
