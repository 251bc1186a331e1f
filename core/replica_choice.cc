// Scoring, ejection and the table of strategies.
#include "core/replica_choice.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "core/decay.h"

namespace peridotgauge {
namespace {

// Assumed latency when no target has been measured.
constexpr double kUnmeasuredLatencyUs = 1'000;
constexpr double kMaxLatencyUs = 10e6;

bool Contains(Candidates list, const TargetRecord& target) {
  return std::any_of(list.begin(), list.end(),
                     [&](const TargetRecord* other) { return other->target == target.target; });
}

}  // namespace

const std::vector<ReplicaChoice::Strategy>& ReplicaChoice::Strategies() {
  static const std::vector<Strategy> kStrategies = {
      {.name = "random", .choose = &ReplicaChoice::ChooseRandom},
      {.name = "two_choices", .choose = &ReplicaChoice::ChooseOfTwo},
      {.name = "probing",
       .choose = &ReplicaChoice::ChooseOfTwo,
       .probes = true,
       .avoids_refusals = true},
      {.name = "least",
       .choose = &ReplicaChoice::ChooseLeast,
       .probes = true,
       .avoids_refusals = true}};
  return kStrategies;
}

std::vector<std::string_view> ReplicaChoice::Names() {
  std::vector<std::string_view> names;
  for (const Strategy& strategy : Strategies()) names.push_back(strategy.name);
  return names;
}

Result<std::unique_ptr<ReplicaChoice>> ReplicaChoice::Make(std::string_view name,
                                                           const ReplicaChoiceOptions& options) {
  if (name.empty()) name = kDefaultReplicaChoice;
  std::string allowed;
  for (const Strategy& strategy : Strategies()) {
    if (strategy.name == name) {
      return std::unique_ptr<ReplicaChoice>(new ReplicaChoice(strategy, options));
    }
    allowed.append(allowed.empty() ? "" : ", ").append(strategy.name);
  }
  return Fail(ErrorCode::kInvalidSettings,
              "replica_choice: \"" + std::string(name) + "\"; allowed are " + allowed);
}

std::unique_ptr<ReplicaChoice> ReplicaChoice::MustMake(std::string_view name,
                                                       const ReplicaChoiceOptions& options) {
  Result<std::unique_ptr<ReplicaChoice>> choice = Make(name, options);
  LOG_IF(FATAL, !choice) << "router: " << choice.error().ToString();
  return std::move(*choice);
}

const TargetRecord* ReplicaChoice::Choose(Time now, Candidates candidates, Candidates excluded) {
  std::vector<const TargetRecord*> untried;
  for (const TargetRecord* target : candidates) {
    if (!Contains(excluded, *target)) untried.push_back(target);
  }
  if (untried.empty()) return nullptr;
  // Only first attempts are probes: a hedge or a retry must not go to a target that is likely slow.
  if (this->strategy.probes && excluded.empty()) {
    this->probe_credit = std::min(this->probe_credit + kProbeShare, 1.0);
    if (const TargetRecord* probe = this->ChooseProbe(now, untried)) return probe;
  }
  std::vector<const TargetRecord*> usable = this->WithoutEjected(now, candidates);
  std::erase_if(usable, [&](const TargetRecord* target) { return Contains(excluded, *target); });
  if (usable.empty()) usable = untried;
  if (this->strategy.avoids_refusals) {
    std::vector<const TargetRecord*> not_avoided = usable;
    std::erase_if(not_avoided, [&](const TargetRecord* target) {
      return now < this->StateOf(now, *target).avoid_until;
    });
    if (!not_avoided.empty()) usable = std::move(not_avoided);
  }
  return (this->*this->strategy.choose)(now, usable);
}

const TargetRecord* ReplicaChoice::ChooseRandom(Time /*now*/,
                                                const std::vector<const TargetRecord*>& usable) {
  return usable[std::uniform_int_distribution<size_t>(0, usable.size() - 1)(this->random)];
}

const TargetRecord* ReplicaChoice::ChooseOfTwo(Time now,
                                               const std::vector<const TargetRecord*>& usable) {
  if (usable.size() == 1) return usable.front();
  const size_t first = std::uniform_int_distribution<size_t>(0, usable.size() - 1)(this->random);
  size_t second = std::uniform_int_distribution<size_t>(0, usable.size() - 2)(this->random);
  if (second >= first) ++second;
  const double latency = this->DefaultLatency(now, usable);
  const double first_score = this->Score(now, this->StateOf(now, *usable[first]), latency);
  const double second_score = this->Score(now, this->StateOf(now, *usable[second]), latency);
  return usable[second_score < first_score ? second : first];
}

std::optional<uint64_t> ReplicaChoice::AvoidedRank(Time now,
                                                   const std::vector<const TargetRecord*>& usable) {
  std::optional<uint64_t> rank;
  if (!this->avoids_one_replica) return rank;
  for (const TargetRecord* target : usable) {
    rank = std::max(rank, std::optional(this->StateOf(now, *target).rank));
  }
  return rank;
}

const TargetRecord* ReplicaChoice::ChooseLeast(Time now,
                                               const std::vector<const TargetRecord*>& usable) {
  const double latency = this->DefaultLatency(now, usable);
  const TargetRecord* best = nullptr;
  double best_score = 0;
  const std::optional<uint64_t> avoided_rank = this->AvoidedRank(now, usable);
  // Starts at a random index, so that targets with equal scores share the load.
  const size_t first = std::uniform_int_distribution<size_t>(0, usable.size() - 1)(this->random);
  for (size_t i = 0; i < usable.size(); ++i) {
    const TargetRecord* target = usable[(first + i) % usable.size()];
    const State& state = this->StateOf(now, *target);
    double score = this->Score(now, state, latency);
    if (state.rank == avoided_rank) score *= kAvoidedReplicaFactor;
    if (best != nullptr && score >= best_score) continue;
    best = target;
    best_score = score;
  }
  return best;
}

// Returns a target whose latency must be measured again, or nullptr if there is none.
const TargetRecord* ReplicaChoice::ChooseProbe(Time now,
                                               const std::vector<const TargetRecord*>& usable) {
  const double latency = this->DefaultLatency(now, usable);
  double best = std::numeric_limits<double>::max();
  for (const TargetRecord* target : usable) {
    best = std::min(best, this->ScoreWithoutDistance(now, this->StateOf(now, *target), latency));
  }
  const TargetRecord* probe = nullptr;
  for (const TargetRecord* target : usable) {
    State& state = this->StateOf(now, *target);
    if (this->ScoreWithoutDistance(now, state, latency) < kBadScoreRatio * best) {
      state.probe_interval = kMinProbeInterval;
      continue;
    }
    const bool due = now >= state.next_probe && now - state.measured >= state.probe_interval;
    const bool paused = now < std::max(state.ejected_until, state.avoid_until);
    if (probe != nullptr || !due || !state.outstanding.empty() || paused) continue;
    if (this->probe_credit < 1) continue;
    this->probe_credit -= 1;
    probe = target;
    state.next_probe = now + state.probe_interval;
    state.probe_interval = std::min(2 * state.probe_interval, kMaxProbeInterval);
  }
  return probe;
}

std::vector<const TargetRecord*> ReplicaChoice::WithoutEjected(Time now, Candidates candidates) {
  std::vector<const TargetRecord*> out(candidates.begin(), candidates.end());
  if (!this->options.ejection) return out;
  // Sorts by the end of the ejection, latest first, because at most half of the candidates are
  // removed.
  std::stable_sort(out.begin(), out.end(), [&](const TargetRecord* a, const TargetRecord* b) {
    return this->StateOf(now, *a).ejected_until > this->StateOf(now, *b).ejected_until;
  });
  size_t removable = out.size() / 2;
  std::erase_if(out, [&](const TargetRecord* target) {
    if (removable == 0 || !this->Ejected(now, this->StateOf(now, *target))) return false;
    --removable;
    return true;
  });
  return out;
}

uint64_t ReplicaChoice::OnSend(Time now, const TargetRecord& target, Duration typical) {
  State& state = this->StateOf(now, target);
  const uint64_t send = ++this->sends;
  const double scale = typical > Duration(0) ? static_cast<double>(kReferenceLatency.count()) /
                                                   static_cast<double>(typical.count())
                                             : 1;
  state.outstanding.push_back({.send = send, .sent = now, .scale = scale});
  this->open_sends[send] = {.target = target.target, .incarnation = state.incarnation};
  return send;
}

void ReplicaChoice::OnReply(Time now, uint64_t send, const ReplyReport& report) {
  const auto found = this->open_sends.find(send);
  if (found == this->open_sends.end()) return;
  const Send sent = std::move(found->second);
  this->open_sends.erase(found);
  const auto target = this->states.find(sent.target);
  if (target == this->states.end() || target->second.incarnation != sent.incarnation) return;
  State& state = target->second;
  const auto finished = std::find_if(state.outstanding.begin(), state.outstanding.end(),
                                     [&](const Outstanding& entry) { return entry.send == send; });
  // The target was removed and added again after this send.
  if (finished == state.outstanding.end()) return;
  const double elapsed_us = finished->Microseconds(now);
  state.outstanding.erase(finished);
  if (report.load >= 0) state.load = std::min(report.load, 1.0F);
  if (report.owner_in_flight >= 0) {
    state.owner_in_flight = static_cast<uint32_t>(report.owner_in_flight);
  }
  if (report.load >= 0 || report.owner_in_flight >= 0) state.reported = now;
  switch (report.kind) {
    case ReplyKind::kAnswered:
      RecordOutcome(now, state, false);
      state.failures = 0;
      state.ejection = Duration(0);
      state.ejected_until = Time{};
      AddLatency(now, state, elapsed_us);
      break;
    case ReplyKind::kRefused:
      RecordOutcome(now, state, true);
      state.avoid_until = now + kRefusedBackoff;
      break;
    case ReplyKind::kUnreachable:
      RecordFailure(now, state);
      state.avoid_until = now + kUnreachableBackoff;
      break;
    case ReplyKind::kFailed:
      RecordFailure(now, state);
      break;
    case ReplyKind::kTimedOut:
      RecordFailure(now, state);
      AddLatency(now, state, std::max(elapsed_us, state.latency_us));
      break;
    case ReplyKind::kCancelled:
      AddLatency(now, state, elapsed_us + state.latency_us);
      break;
  }
}

void ReplicaChoice::Remove(const std::string& target) { this->states.erase(target); }

std::vector<ReplicaStatus> ReplicaChoice::Explain(Time now, Candidates candidates) const {
  // A choice adds the targets that it does not know, so it runs on a copy of the states it needs.
  ReplicaChoice copy(this->strategy, this->options);
  copy.avoids_one_replica = this->avoids_one_replica;
  for (const TargetRecord* target : candidates) {
    const auto found = this->states.find(target->target);
    if (found != this->states.end()) copy.states.insert(*found);
  }
  const std::vector<const TargetRecord*> list(candidates.begin(), candidates.end());
  const double default_latency = copy.DefaultLatency(now, list);
  // Only this strategy avoids a replica.
  const bool least = this->strategy.choose == &ReplicaChoice::ChooseLeast;
  const auto avoided_rank = least ? copy.AvoidedRank(now, list) : std::nullopt;
  std::vector<ReplicaStatus> out;
  out.reserve(list.size());
  for (const TargetRecord* target : list) {
    const State& state = copy.StateOf(now, *target);
    const double latency = LatencyOf(now, state);
    ReplicaStatus status{.in_flight = static_cast<uint32_t>(state.outstanding.size()),
                         .failure_share = FailureShare(now, state),
                         .ejected = copy.Ejected(now, state),
                         .remote = state.remote,
                         .score = copy.Score(now, state, default_latency) *
                                  (state.rank == avoided_rank ? kAvoidedReplicaFactor : 1)};
    if (latency > 0) status.latency = Duration(static_cast<int64_t>(latency));
    if (status.ejected) status.ejected_for = std::max(state.ejected_until - now, Duration(0));
    if (this->strategy.avoids_refusals) {
      status.avoided_for = std::max(state.avoid_until - now, Duration(0));
    }
    out.push_back(status);
  }
  return out;
}

bool ReplicaChoice::Ejected(Time now, std::string_view target) const {
  const auto found = this->states.find(std::string(target));
  return found != this->states.end() && this->Ejected(now, found->second);
}

bool ReplicaChoice::Ejected(Time now, const State& state) const {
  if (!this->options.ejection || state.ejection == Duration(0)) return false;
  return now < state.ejected_until || !state.outstanding.empty();
}

uint32_t ReplicaChoice::InFlight(std::string_view target) const {
  const auto found = this->states.find(std::string(target));
  return found == this->states.end() ? 0 : static_cast<uint32_t>(found->second.outstanding.size());
}

Duration ReplicaChoice::Latency(Time now, std::string_view target) const {
  const auto found = this->states.find(std::string(target));
  if (found == this->states.end()) return Duration(0);
  return Duration(static_cast<int64_t>(LatencyOf(now, found->second)));
}

ReplicaChoice::State& ReplicaChoice::StateOf(Time now, const TargetRecord& target) {
  const auto [found, added] = this->states.try_emplace(target.target);
  State& state = found->second;
  if (added || state.incarnation < target.incarnation) {
    state = State{.incarnation = target.incarnation, .first_seen = now};
    const std::string& here = this->options.data_centre;
    state.remote = !here.empty() && target.data_centre != here;
    const std::string& self = this->options.router;
    constexpr uint64_t kRemoteBit = uint64_t{1} << 63U;
    const uint64_t order = XXH3_64bits_withSeed(target.target.data(), target.target.size(),
                                                XXH3_64bits(self.data(), self.size()));
    state.rank = (order >> 1U) | (state.remote ? kRemoteBit : 0);
  }
  return state;
}

double ReplicaChoice::Score(Time now, const State& state, double default_latency) const {
  return this->ScoreWithoutDistance(now, state, default_latency) *
         (state.remote ? kRemoteFactor : 1);
}

double ReplicaChoice::ScoreWithoutDistance(Time now, const State& state,
                                           double default_latency) const {
  const double measured = LatencyOf(now, state);
  const double latency = measured > 0 ? measured : default_latency;
  const double weight = DecayWeight(now - state.reported, kReportTimeConstant);
  const double in_flight = std::max(static_cast<double>(state.outstanding.size()),
                                    weight * static_cast<double>(state.owner_in_flight));
  const double warm_up_fraction =
      std::min(1.0, std::chrono::duration<double>(now - state.first_seen) / kReplicaWarmUp);
  const double failures = 1 + kFailureWeight * FailureShare(now, state);
  return (in_flight + 1) * latency * (1 + weight * state.load) * failures /
         (kColdWeight + (1 - kColdWeight) * warm_up_fraction);
}

double ReplicaChoice::LatencyOf(Time now, const State& state) {
  if (state.outstanding.empty()) return state.latency_us;
  const double running = state.outstanding.front().Microseconds(now);
  // A target without samples keeps latency 0 (unknown) until its oldest request has run for longer
  // than the assumed latency.
  if (state.latency_us == 0 && running < kUnmeasuredLatencyUs) return 0;
  return std::max(state.latency_us, running);
}

double ReplicaChoice::DefaultLatency(Time now, const std::vector<const TargetRecord*>& usable) {
  double sum = 0;
  double count = 0;
  for (const TargetRecord* target : usable) {
    const double latency = LatencyOf(now, this->StateOf(now, *target));
    if (latency == 0) continue;
    sum += latency;
    ++count;
  }
  return count == 0 ? kUnmeasuredLatencyUs : sum / count;
}

void ReplicaChoice::AddLatency(Time now, State& state, double sample_us) {
  const double sample = std::clamp(sample_us, 1.0, kMaxLatencyUs);
  if (state.latency_us == 0) {
    state.latency_us = sample;
  } else {
    const double weight =
        std::max(kSampleWeight, 1 - DecayWeight(now - state.measured, kLatencyTimeConstant));
    state.latency_us += weight * (sample - state.latency_us);
  }
  state.measured = now;
}

double ReplicaChoice::FailureShare(Time now, const State& state) {
  if (state.failure_share == 0) return 0;
  return state.failure_share * DecayWeight(now - state.failure_updated, kFailureTimeConstant);
}

void ReplicaChoice::RecordOutcome(Time now, State& state, bool failed) {
  const double share = FailureShare(now, state);
  const double weight =
      std::clamp(1 - DecayWeight(now - state.failure_updated, kFailureTimeConstant),
                 kFailureSampleWeight, kRareFailureWeight);
  state.failure_share = share + weight * ((failed ? 1.0 : 0.0) - share);
  state.failure_updated = now;
}

void ReplicaChoice::RecordFailure(Time now, State& state) {
  RecordOutcome(now, state, true);
  ++state.failures;
  if (state.failures < kFailuresToEject || now < state.ejected_until) return;
  state.ejection = std::clamp(2 * state.ejection, kMinEjection, kMaxEjection);
  state.ejected_until = now + state.ejection;
}

}  // namespace peridotgauge
