// Choice between the replicas of a shard, from this router's own observations.
//
// Use:
//   auto choice = ReplicaChoice::Make("", {.seed = seed});
//   const TargetRecord* target = (*choice)->Choose(now, candidates, tried);
//   uint64_t send = (*choice)->OnSend(now, target->target);
//   (*choice)->OnReply(now, send, {.kind = ReplyKind::kAnswered, .load = 0.4F});
//
// Contract: every OnSend() is followed by exactly one OnReply(). Ejection never makes more than
// half of a shard's candidates unusable, rounded down; ejected targets are chosen only if nothing
// else is left, and as probes. Nothing that a target reports about itself can eject it or keep it
// in use: reported load changes a score by at most a factor of two, and its weight falls with its
// age.
//
// Score of a target (lower is better): (in flight + 1) x latency x (1 + load) / warm-up weight.
// - In flight: sent by this router, or the number that the owner last reported if that is larger.
// - Latency: an exponential mean; rare samples weigh more. An attempt that runs longer than the
//   mean counts already before its reply. An attempt that was cancelled counts with the time that
//   it ran plus the mean, its expected latency if the rest is exponential. Without this, a slow
//   target whose hedges always win would never look slow.
// - Kinds of requests: latencies are scaled by what is typical for the kind, see OnSend().
// - Probes: a target with a bad score gets a request when its latency has not been measured for a
//   while. The interval grows while it stays bad, and kProbeShare bounds all probes together.
// - Failures: a target that refused or failed a share of its recent requests counts as
//   1 + kFailureWeight x share times as bad. It is then used when the others are busy. Where a
//   target gets a request once a second, one failure counts for seconds.
// - Distance: a target in another data centre counts as kRemoteFactor times as bad, if the own data
//   centre is known. Load decides first, bytes between data centres second.
// - Connections: see kAvoidedReplicaFactor. Load pattern: 63 routers, and targets that accept 64
//   connections and count those of a host that lost power for seconds. With one from every router
//   each target is full after a loss of power, and nobody can connect.
//
// Strategies: "random" (baseline), "two_choices" (the better of two random candidates), "probing"
// (the default: two choices, probes and avoidance of targets that just refused a request) and
// "least" (probing, but the best of all candidates: with three replicas, two of them slow, a random
// pair holds none of the good one in a third of the cases).
#ifndef PERIDOTGAUGE_CORE_REPLICA_CHOICE_H_
#define PERIDOTGAUGE_CORE_REPLICA_CHOICE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/error.h"
#include "core/search_policy.h"
#include "core/types.h"

namespace peridotgauge {

constexpr std::string_view kDefaultReplicaChoice = "probing";

// Consecutive failures after which a target is ejected.
constexpr uint32_t kFailuresToEject = 5;
constexpr Duration kShortestEjection = Seconds(1);
constexpr Duration kLongestEjection = Seconds(30);
constexpr Duration kShortestProbeInterval = Seconds(1);
constexpr Duration kLongestProbeInterval = Seconds(16);
// Probes are at most this share of the first attempts. Load pattern: 78 routers with two queries a
// second over 36 shards each, a third of all targets slow. Every slow target is due within a
// second, and a query that probes a dozen of them at once is as slow as if nothing had been
// learned.
constexpr double kProbeShare = 0.01;
// Latencies are scaled to what they would be for requests of this typical latency, so that a target
// that was last asked for something short does not look quick.
constexpr Duration kReferenceLatency = Millis(10);
// A target is probed if its score, but for the distance, is this many times the best one.
constexpr double kBadScoreRatio = 2.0;
// A new target gets its full weight after this time.
constexpr Duration kReplicaWarmUp = Seconds(5);
constexpr double kColdWeight = 0.2;
// Time constant of the weight of reported values.
constexpr Duration kReportAge = Millis(500);
// A target that refused a request is avoided for this time.
constexpr Duration kRefusedBackoff = Millis(20);
// A target that could not be reached is avoided for this time. Load pattern: after a loss of power
// targets still count the connections of before and reset new ones for seconds. Every try then
// costs both sides time and reaches nothing, while another replica may have a place.
constexpr Duration kUnreachableBackoff = Millis(300);
// Weight of one latency sample, and the time constant with which older samples lose theirs.
constexpr double kSampleWeight = 0.2;
constexpr Duration kLatencyMemory = Seconds(1);

// Weight of the share of failed requests in the score, and how fast the share follows.
constexpr double kFailureWeight = 8.0;
constexpr double kFailureSampleWeight = 0.15;
// Weight of a sample after a long time without one.
constexpr double kRareFailureWeight = 0.5;
constexpr Duration kFailureMemory = Seconds(4);
// A request that waits in the own data centre costs less than the bytes; two do not.
constexpr double kRemoteFactor = 2.4;
// If connections are scarce, each router avoids_one_replica one replica of a shard, if possible one
// in another data centre: it counts this many times as bad, and gets a connection only when the
// others are bad.
constexpr double kAvoidedReplicaFactor = 2;

struct ReplicaChoiceOptions {
  uint64_t seed = 0;
  bool ejection = true;
  std::string data_centre;  // of this router; empty: distance does not count
  std::string router;       // id of this router; decides which replica it avoids_one_replica
};

// How one attempt ended.
enum class ReplyKind : uint8_t {
  kAnswered,
  kRefused,      // proved not to have run: shed, queue full, owner not ready
  kUnreachable,  // no connection: refused, reset or not answered
  kFailed,       // connection lost, target error, wrong reply
  kTimedOut,     // no answer before the deadline
  kCancelled,    // withdrawn, for example because another attempt answered first
};

struct ReplyReport {
  ReplyKind kind = ReplyKind::kAnswered;
  // Reported by the target and by its owner; negative if the reply has none.
  float load = -1;
  int32_t owner_in_flight = -1;
};

class ReplicaChoice : public ReplicaChooser {
 public:
  // An empty name is the default strategy. kInvalidSettings names the allowed ones.
  static Result<std::unique_ptr<ReplicaChoice>> Make(std::string_view name,
                                                     const ReplicaChoiceOptions& options);
  // As Make(), for a name that was checked when the settings were read.
  static std::unique_ptr<ReplicaChoice> MustMake(std::string_view name,
                                                 const ReplicaChoiceOptions& options);
  static std::vector<std::string_view> Names();

  const TargetRecord* Choose(Time now, Candidates candidates, Candidates excluded) override;

  // Returns the number of the send, for OnReply(). `typical` is the usual latency of requests of
  // this kind: latencies are compared relative to it. 0: all requests are alike.
  uint64_t OnSend(Time now, const TargetRecord& target, Duration typical = Duration(0));
  void OnReply(Time now, uint64_t send, const ReplyReport& report);
  // Forgets a target that is gone.
  void Remove(const std::string& target);

  // Connections are scarce: a router may have one to each target. See kAvoidedReplicaFactor.
  void AvoidOneReplica(bool scarce) { this->avoids_one_replica = scarce; }

  // For the status page and tests.
  bool Ejected(Time now, std::string_view target) const;
  uint32_t InFlight(std::string_view target) const;
  Duration Latency(Time now, std::string_view target) const;

 private:
  struct Strategy {
    std::string_view name;
    const TargetRecord* (ReplicaChoice::*choose)(Time now,
                                                 const std::vector<const TargetRecord*>& usable);
    bool probes = false;
    bool avoids_refusals = false;
  };
  struct Send {
    std::string target;
    uint64_t incarnation = 0;
  };
  // A request that runs.
  struct Outstanding {
    uint64_t send = 0;
    Time sent;
    double scale = 1;  // of its latency, see kReferenceLatency

    double Microseconds(Time now) const {
      return this->scale * static_cast<double>((now - this->sent).count());
    }
  };
  struct State {
    uint64_t incarnation = 0;
    Time first_seen{};
    std::deque<Outstanding> outstanding;  // in the order of sending; settled ones are removed
    double latency_us = 0;                // scaled; 0: unknown
    Time measured{};                      // last change of `latency_us`
    double failure_share = 0;             // of recent requests
    Time failure_noted{};
    bool remote = false;  // in another data centre
    uint64_t rank = 0;    // in an order of this router's own
    float load = 0;
    uint32_t owner_in_flight = 0;
    Time reported{};
    Time avoid_until{};
    uint32_t failures = 0;  // consecutive
    // Ejected until the time, and then with one request at a time until the first success.
    Time ejected_until{};
    Duration ejection{0};  // length of the last one; 0 if none since the last success
    Time next_probe{};
    Duration probe_interval = kShortestProbeInterval;
  };

  ReplicaChoice(const Strategy& strategy, const ReplicaChoiceOptions& options)
      : strategy(strategy), options(options), random(options.seed) {}

  static const std::vector<Strategy>& Strategies();
  const TargetRecord* ChooseRandom(Time now, const std::vector<const TargetRecord*>& usable);
  const TargetRecord* ChooseOfTwo(Time now, const std::vector<const TargetRecord*>& usable);
  const TargetRecord* ChooseLeast(Time now, const std::vector<const TargetRecord*>& usable);
  const TargetRecord* ChooseProbe(Time now, const std::vector<const TargetRecord*>& usable);
  // Removes at most half of the candidates.
  std::vector<const TargetRecord*> WithoutEjected(Time now, Candidates candidates);

  State& StateOf(Time now, const TargetRecord& target);
  bool Ejected(Time now, const State& state) const;
  double Score(Time now, const State& state, double default_latency) const;
  // The score but for the distance: how the target does. Decides what is probed.
  double Condition(Time now, const State& state, double default_latency) const;
  static double LatencyOf(Time now, const State& state);
  // For targets without a sample: the mean of the others.
  double DefaultLatency(Time now, const std::vector<const TargetRecord*>& usable);
  static void AddLatency(Time now, State& state, double sample_us);
  static void NoteFailure(Time now, State& state);
  static void NoteOutcome(Time now, State& state, bool failed);
  static double FailureShare(Time now, const State& state);

  const Strategy& strategy;
  ReplicaChoiceOptions options;
  std::mt19937_64 random;
  bool avoids_one_replica = false;
  uint64_t sends = 0;
  double probe_credit = 1;  // 0 to 1; a probe takes 1
  std::unordered_map<uint64_t, Send> open_sends;
  std::unordered_map<std::string, State> states;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_REPLICA_CHOICE_H_
