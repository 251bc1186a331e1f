// Selection between the replicas of a shard, based on this router's own observations.
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
// in use: reported load changes a score by at most a factor of two, and its weight decays with its
// age.
//
// Score of a target (lower is better): (in flight + 1) x latency x (1 + load) / warm-up weight.
// - In flight: the requests that this router has sent, or the number that the owner last reported
//   if that is larger.
// - Latency: an exponentially weighted mean, in which infrequent samples weigh more. An attempt
//   that runs for longer than the mean counts before its reply. A cancelled attempt counts with its
//   running time plus the mean, which is its expected latency if the remaining time is
//   exponentially distributed. Without this, a slow target whose hedges always win would never
//   appear slow.
// - Kinds of requests: latencies are scaled by the typical latency of the kind; see OnSend().
// - Probes: a target with a bad score gets a request when its latency has not been measured for a
//   while. The interval grows while the score stays bad, and kProbeShare bounds all probes.
// - Failures: the score of a target that refused or failed a share of its recent requests is
//   multiplied by 1 + kFailureWeight x share. Such a target is used when the others are busy. If a
//   target gets one request per second, a failure affects its score for seconds.
// - Distance: the score of a target in another data centre is multiplied by kRemoteFactor, if the
//   router's data centre is known. Load has priority over traffic between data centres.
// - Connections: see kAvoidedReplicaFactor. The case behind it: 63 routers, and targets that accept
//   64 connections and for seconds still count those of a host that lost power. If every router has
//   a connection, each target is full after a power loss, and nobody can connect.
//
// Strategies: "random" (baseline), "two_choices" (the better of two random candidates), "probing"
// (the default: two choices, probes, and avoidance of targets that have just refused a request) and
// "least" (as "probing", but the best of all candidates: if two of three replicas are slow, a
// random pair does not contain the fast one in a third of the cases).
#ifndef PERIDOTGAUGE_CORE_REPLICA_CHOICE_H_
#define PERIDOTGAUGE_CORE_REPLICA_CHOICE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
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
constexpr Duration kMinEjection = Seconds(1);
constexpr Duration kMaxEjection = Seconds(30);
constexpr Duration kMinProbeInterval = Seconds(1);
constexpr Duration kMaxProbeInterval = Seconds(16);
// Probes are at most this share of the first attempts. Without this bound, 78 routers with two
// queries per second over 36 shards each, and a third of all targets slow, have every slow target
// due for a probe within a second; a query that probes a dozen of them at once is as slow as one
// without any latency data.
constexpr double kProbeShare = 0.01;
// Latencies are scaled to those of requests with this typical latency, so that a target whose last
// request was a short one does not appear fast.
constexpr Duration kReferenceLatency = Millis(10);
// A target is probed if its score without the distance factor is this many times the best one.
constexpr double kBadScoreRatio = 2.0;
// A new target reaches its full weight after this time.
constexpr Duration kReplicaWarmUp = Seconds(5);
constexpr double kColdWeight = 0.2;
// Time constant of the decay of reported values.
constexpr Duration kReportTimeConstant = Millis(500);
// A target that refused a request is avoided for this time.
constexpr Duration kRefusedBackoff = Millis(20);
// A target that could not be reached is avoided for this time. After a power loss, targets still
// count their previous connections and reset new ones for seconds. Each attempt then costs both
// sides time without reaching the target, while another replica may accept a connection.
constexpr Duration kUnreachableBackoff = Millis(300);
// Minimum weight of a latency sample, and the time constant of the decay of older samples.
constexpr double kSampleWeight = 0.2;
constexpr Duration kLatencyTimeConstant = Seconds(1);

// Weight of the share of failed requests in the score, and the minimum weight of a sample in that
// share.
constexpr double kFailureWeight = 8.0;
constexpr double kFailureSampleWeight = 0.15;
// Maximum weight of a sample, used after a long time without samples.
constexpr double kRareFailureWeight = 0.5;
constexpr Duration kFailureTimeConstant = Seconds(4);
// One waiting request in the local data centre costs less than the traffic to another data centre;
// two cost more.
constexpr double kRemoteFactor = 2.4;
// If connections are scarce, each router avoids one replica of a shard, preferably one in another
// data centre: its score is multiplied by this factor, so that the router connects to it only when
// the other replicas have bad scores.
constexpr double kAvoidedReplicaFactor = 2;

struct ReplicaChoiceOptions {
  uint64_t seed = 0;
  bool ejection = true;
  std::string data_centre;  // of this router; empty: distance is ignored
  std::string router;       // id of this router; decides which replica it avoids
};

// Outcome of one attempt.
enum class ReplyKind : uint8_t {
  kAnswered,
  kRefused,      // provably did not run: shed, queue full, owner not ready
  kUnreachable,  // no connection: refused, reset or not answered
  kFailed,       // connection lost, target error, wrong reply
  kTimedOut,     // no answer before the deadline
  kCancelled,    // for example because another attempt answered first
};

struct ReplyReport {
  ReplyKind kind = ReplyKind::kAnswered;
  // Reported by the target and by its owner; negative if the reply has none.
  float load = -1;
  int32_t owner_in_flight = -1;
};

// What a choice is based on, for one target. See the score above.
struct ReplicaStatus {
  uint32_t in_flight = 0;           // requests of this router
  std::optional<Duration> latency;  // scaled, see kReferenceLatency; nothing if not measured
  double failure_share = 0;         // of recent requests
  bool ejected = false;
  Duration ejected_for{0};  // 0 for an ejected target that is tried with one request at a time
  Duration avoided_for{0};  // after a refusal, or a failure to connect
  bool remote = false;      // in another data centre
  double score = 0;         // with the other candidates; lower is better
  bool operator==(const ReplicaStatus&) const = default;
};

class ReplicaChoice : public ReplicaChooser {
 public:
  // An empty name selects the default strategy. For an unknown name, returns kInvalidSettings with
  // the allowed names.
  static Result<std::unique_ptr<ReplicaChoice>> Make(std::string_view name,
                                                     const ReplicaChoiceOptions& options);
  // Like Make(), for a name that was validated when the settings were read.
  static std::unique_ptr<ReplicaChoice> MustMake(std::string_view name,
                                                 const ReplicaChoiceOptions& options);
  static std::vector<std::string_view> Names();

  const TargetRecord* Choose(Time now, Candidates candidates, Candidates excluded) override;

  // Returns an id of the send for OnReply(). `typical` is the usual latency of this kind of
  // request, relative to which latencies are compared; 0 means that all requests are alike.
  uint64_t OnSend(Time now, const TargetRecord& target, Duration typical = Duration(0));
  void OnReply(Time now, uint64_t send, const ReplyReport& report);
  // Discards the state of a target that has left the directory.
  void Remove(const std::string& target);

  // Sets whether connections are scarce, so that a router may have only one to each target. See
  // kAvoidedReplicaFactor.
  void AvoidOneReplica(bool scarce) { this->avoids_one_replica = scarce; }

  // Returns a copy that chooses as this object would, including at random. For explanations: its
  // choices change nothing here.
  std::unique_ptr<ReplicaChoice> Clone() const {
    return std::unique_ptr<ReplicaChoice>(new ReplicaChoice(*this));
  }
  // Returns the status of each candidate. Records nothing about targets that are not known yet.
  std::vector<ReplicaStatus> Explain(Time now, Candidates candidates) const;

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
  // A running request.
  struct Outstanding {
    uint64_t send = 0;
    Time sent;
    double scale = 1;  // of its latency; see kReferenceLatency

    double Microseconds(Time now) const {
      return this->scale * static_cast<double>((now - this->sent).count());
    }
  };
  struct State {
    uint64_t incarnation = 0;
    Time first_seen{};
    std::deque<Outstanding> outstanding;  // in the order of sending
    double latency_us = 0;                // scaled; 0: unknown
    Time measured{};                      // last change of `latency_us`
    double failure_share = 0;             // of recent requests
    Time failure_updated{};
    bool remote = false;  // in another data centre
    uint64_t rank = 0;    // in an order that is specific to this router
    float load = 0;
    uint32_t owner_in_flight = 0;
    Time reported{};
    Time avoid_until{};
    uint32_t failures = 0;  // consecutive
    // Ejected until this time; afterwards one request at a time until the first success.
    Time ejected_until{};
    Duration ejection{0};  // length of the last ejection; 0 if none since the last success
    Time next_probe{};
    Duration probe_interval = kMinProbeInterval;
  };

  ReplicaChoice(const Strategy& strategy, const ReplicaChoiceOptions& options)
      : strategy(strategy), options(options), random(options.seed) {}

  ReplicaChoice(const ReplicaChoice&) = default;

  static const std::vector<Strategy>& Strategies();
  const TargetRecord* ChooseRandom(Time now, const std::vector<const TargetRecord*>& usable);
  const TargetRecord* ChooseOfTwo(Time now, const std::vector<const TargetRecord*>& usable);
  const TargetRecord* ChooseLeast(Time now, const std::vector<const TargetRecord*>& usable);
  const TargetRecord* ChooseProbe(Time now, const std::vector<const TargetRecord*>& usable);
  // Returns the rank of the replica that is avoided if connections are scarce, or nothing.
  std::optional<uint64_t> AvoidedRank(Time now, const std::vector<const TargetRecord*>& usable);
  // Removes at most half of the candidates.
  std::vector<const TargetRecord*> WithoutEjected(Time now, Candidates candidates);

  State& StateOf(Time now, const TargetRecord& target);
  bool Ejected(Time now, const State& state) const;
  double Score(Time now, const State& state, double default_latency) const;
  // Returns the score without the distance factor, which decides whether a target is probed.
  double ScoreWithoutDistance(Time now, const State& state, double default_latency) const;
  static double LatencyOf(Time now, const State& state);
  // Returns the latency to assume for targets without a sample: the mean of the others.
  double DefaultLatency(Time now, const std::vector<const TargetRecord*>& usable);
  static void AddLatency(Time now, State& state, double sample_us);
  static void RecordFailure(Time now, State& state);
  static void RecordOutcome(Time now, State& state, bool failed);
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
