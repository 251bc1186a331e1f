// Detects requests that crash targets, on the side of the router.
//
// Use:
//   uint64_t fingerprint = Fingerprint("verstas-1", RequestKind::kSearch, body);
//   switch (quarantine.Check(now, UnixMillis(), fingerprint)) { ... }
//   if (reply.crashed && quarantine.OnCrash(now, fingerprint, target))
//   CommitQuarantine(fingerprint);
//
// Contract: a fingerprint depends on service, kind and body, and never on the request id, so a
// resent request has the same fingerprint. A crash is a connection to a target that was lost
// without a reply; connections to one incarnation of a target count once. When a second target has
// crashed, the caller of OnCrash() must commit a quarantine, and answers kQuarantined only after
// the commit. All state kept here is bounded.
#ifndef PERIDOTGAUGE_CORE_QUARANTINE_H_
#define PERIDOTGAUGE_CORE_QUARANTINE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/http_message.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

enum class RequestKind : uint8_t { kSearch = 0, kOrder = 1 };

// Returns the XXH3 hash of the three arguments.
uint64_t Fingerprint(std::string_view service, RequestKind kind, std::string_view body);
// Returns the fingerprint of a request on a route. It depends on what the caller asks for (host,
// method, path, query and body) and on no header, as the request id and the deadline differ each
// time. It does not depend on the service, to which a route may send it by weight.
uint64_t RouteFingerprint(std::string_view host, const HttpRequest& request);

constexpr Duration kQuarantineDuration = Seconds(600);
// A fingerprint that succeeded within this time needs no canaries. It is kept for at least half of
// this time.
constexpr Duration kSuccessRetention = Seconds(600);
constexpr size_t kMaxSuccesses = 65'536;
// Crashes that are further apart than this are not counted together.
constexpr Duration kSuspectRetention = Seconds(600);
constexpr size_t kMaxSuspects = 1'000;
// Number of distinct crashed targets after which a fingerprint is quarantined.
constexpr uint32_t kCrashesToQuarantine = 2;

enum class FingerprintStatus : uint8_t {
  kNew,          // send canaries first
  kTrusted,      // succeeded recently
  kSuspect,      // crashed a target: canaries, no hedges, no retries
  kCrashing,     // crashed two targets: do not run; commit a quarantine and answer afterwards
  kQuarantined,  // a quarantine is committed: answer kQuarantined
};

// Set of recent hashes in two generations: when the current generation is full or old, it replaces
// the previous one. This bounds memory without tracking the last use of each element.
class RecentSet {
 public:
  RecentSet(size_t capacity, Duration keep)
      : generation_capacity(capacity / 2), generation_time(keep / 2) {}
  void Insert(Time now, uint64_t value);
  void Erase(uint64_t value);
  bool Contains(Time now, uint64_t value);
  size_t Size() const { return this->current.size() + this->previous.size(); }

 private:
  void Rotate(Time now);

  size_t generation_capacity;  // capacity of one generation
  Duration generation_time;
  Time current_since{};
  std::unordered_set<uint64_t> current;
  std::unordered_set<uint64_t> previous;
};

class Quarantine {
 public:
  // Replaces the list of committed quarantines. Requests that are only suspect are not blocked
  // here.
  void SetCommitted(const std::vector<QuarantineRecord>& records);

  // Returns the status of a fingerprint. `now_ms` is Unix time, which committed records use.
  FingerprintStatus Check(Time now, int64_t now_ms, uint64_t fingerprint);

  // Records that a request with this fingerprint was answered without a crash. `complete` means
  // that every shard answered. Only a complete answer clears a suspect, because a partial answer
  // may have missed exactly those targets that the request crashes.
  void OnSuccess(Time now, uint64_t fingerprint, bool complete);
  // Records a crash. Returns true if a quarantine must be committed, and on later crashes until it
  // is committed. `trusted` means that the request was sent without canaries because its
  // fingerprint had succeeded recently. Such a crash is not counted, because the loss of a rack
  // terminates the targets of many harmless requests at once; the fingerprint is no longer trusted,
  // so that canaries decide the next time.
  bool OnCrash(Time now, uint64_t fingerprint, const TargetRecord& target, bool trusted);

  size_t SuspectCount() const { return this->suspects.size(); }

 private:
  // One incarnation of a target that crashed.
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
  bool ReachedCrashLimit(const Suspect& suspect) const {
    return suspect.crashes.size() >= kCrashesToQuarantine;
  }
  void EvictSuspects(Time now);

  std::unordered_map<uint64_t, int64_t> committed;  // fingerprint -> end, Unix milliseconds
  std::unordered_map<uint64_t, Suspect> suspects;   // at most kMaxSuspects
  RecentSet successes{kMaxSuccesses, kSuccessRetention};
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_QUARANTINE_H_
