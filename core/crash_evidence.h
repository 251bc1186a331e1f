// Decides which lost attempts of requests are reported as crashes of their targets, on the side of
// one router.
//
// Use:
//   evidence.OnLost(now, fingerprint, {.service = "s", .target = "s/a", .incarnation = 1});
//   for (const TargetId& target : evidence.TakeTargetsToCheck(now)) Check(target);
//   evidence.OnChecked(now, target, /*ended=*/true);
//   for (const LostAttempt& lost : evidence.TakeCrashes()) Report(lost);
//
// Contract: a lost attempt is a connection to a target that was lost while the request was in
// flight. It is a crash if the incarnation of the target has ended, and if the target had not said
// that it leaves.
// - A later send of the same request that a target of the same service answers shows that the
// request is
//   harmless: its lost attempts at that service are dropped.
// - An attempt that is still there after kCrashCheckDelay has its target checked. A target that
// accepts
//   connections is kept for kCrashDoubtTime, in which the directory may show that another
//   incarnation has taken its place.
// At most kMaxLostAttempts are kept; the oldest are dropped first.
#ifndef PERIDOTGAUGE_CORE_CRASH_EVIDENCE_H_
#define PERIDOTGAUGE_CORE_CRASH_EVIDENCE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/target_crash.h"
#include "core/types.h"

namespace peridotgauge {

// Time in which a retry or another caller's request may show that the request is harmless, and in
// which a process that ends closes its listener.
constexpr Duration kCrashCheckDelay = Millis(100);
constexpr Duration kCrashDoubtTime = Seconds(10);
constexpr size_t kMaxLostAttempts = 1'000;

// One incarnation of a target.
struct TargetId {
  std::string target;
  uint64_t incarnation = 0;
  bool operator==(const TargetId&) const = default;
  bool operator<(const TargetId& other) const {
    return std::tie(this->target, this->incarnation) < std::tie(other.target, other.incarnation);
  }
};

struct LostAttempt {
  uint64_t fingerprint = 0;
  TargetCrash crash;
  auto operator<=>(const LostAttempt&) const = default;
};

class CrashEvidence {
 public:
  void OnLost(Time now, uint64_t fingerprint, TargetCrash crash);
  // A target of the service has answered the request, which was sent at `sent`.
  void OnAnswered(uint64_t fingerprint, std::string_view service, Time sent);
  // `ended`: the target does not accept connections, or another incarnation has taken its place.
  void OnChecked(const TargetId& target, bool ended);
  // The target has said that it leaves.
  void OnLeaving(const TargetId& target);

  // Returns the targets whose check is due, without duplicates. Each lost attempt is checked once.
  std::vector<TargetId> TakeTargetsToCheck(Time now);
  // Returns the time of the next check.
  std::optional<Time> NextCheck() const;
  // Returns the targets of all attempts that are kept.
  std::vector<TargetId> Targets() const;
  // Removes and returns the attempts whose targets have ended.
  std::vector<LostAttempt> TakeCrashes();
  // Returns the number of attempts that are kept.
  size_t Size() const { return this->attempts.size(); }
  // Drops attempts that are older than kCrashDoubtTime.
  void Expire(Time now);

 private:
  struct Entry {
    Time lost;
    LostAttempt attempt;
    bool checked = false;  // the check has begun
    bool ended = false;
  };
  static bool IsOf(const Entry& entry, const TargetId& target) {
    return entry.attempt.crash.target == target.target &&
           entry.attempt.crash.incarnation == target.incarnation;
  }

  std::deque<Entry> attempts;  // oldest first
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CRASH_EVIDENCE_H_
