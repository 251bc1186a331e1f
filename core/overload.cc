// Estimates of refusals, and the chance that a request completes.
#include "core/overload.h"

#include <algorithm>
#include <cmath>

#include "core/decay.h"
#include "core/search.h"

namespace peridotgauge {
namespace {

// A class competes with others for this time after its last request.
constexpr Duration kCompetes = 2 * kServedTime;
// A recent refusal share below half of the long-term one is a clear decrease. Smaller differences
// are normal in the few attempts of half a second.
constexpr double kClearDecrease = 2;
// Classes that have not been seen for this time are forgotten when there are too many.
constexpr Duration kForgetClassAfter = Seconds(60);

}  // namespace

std::string_view NameOf(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNone:
      return "none";
    case RejectReason::kChance:
      return "chance";
    case RejectReason::kUrgency:
      return "urgency";
    case RejectReason::kLatency:
      return "latency";
    case RejectReason::kLate:
      return "late_answers";
    case RejectReason::kLost:
      return "lost_services";
  }
  return "unknown";
}

double ChanceOfAtLeast(const std::vector<double>& probabilities, uint32_t needed) {
  if (needed > probabilities.size()) return 0;
  // Element k is the probability that k of the events so far did not occur.
  std::vector<double> missing(probabilities.size() - needed + 1, 0);
  missing[0] = 1;
  for (const double probability : probabilities) {
    for (size_t k = missing.size(); k-- > 0;) {
      missing[k] = missing[k] * probability + (k > 0 ? missing[k - 1] * (1 - probability) : 0);
    }
  }
  double sum = 0;
  for (const double probability : missing) sum += probability;
  return std::min(1.0, sum);
}

Duration AdmissionVerdict::RetryAfter(std::mt19937_64& random) const {
  return kRoomCheckInterval / 2 +
         Duration(std::uniform_int_distribution<int64_t>(0, kRoomCheckInterval.count())(random));
}

void OverloadAdmission::Counts::Add(Time now, Duration time_constant, double count,
                                    double marked_count) {
  *this = this->At(now, time_constant);
  this->all += count;
  this->marked += marked_count;
}

OverloadAdmission::Counts OverloadAdmission::Counts::At(Time now, Duration time_constant) const {
  const double weight = DecayWeight(now - this->updated, time_constant);
  return {.all = this->all * weight, .marked = this->marked * weight, .updated = now};
}

void OverloadAdmission::OnAttempt(Time now, std::string_view service, bool refused,
                                  Duration elapsed) {
  if (!refused) {
    this->accepted.Add(now, kRecentTime, 1, std::chrono::duration<double>(elapsed).count());
  }
  auto found = this->services.find(service);
  if (found == this->services.end()) {
    found = this->services.emplace(service, ServiceState{}).first;
  }
  found->second.recent.Add(now, kRecentTime, 1, refused ? 1 : 0);
  found->second.long_term.Add(now, kLongTime, 1, refused ? 1 : 0);
}

void OverloadAdmission::OnEnded(Time now, const LoadClass& load_class, const RequestEnd& end) {
  const auto found = this->classes.find(load_class);
  if (found == this->classes.end()) return;
  if (end.served) found->second.latency.Add(now, end.elapsed);
  found->second.lateness.OnEnded(now, end.elapsed, found->second.objective);
  found->second.served.Add(now, kServedTime, 0, end.served ? 1 : 0);
  this->served.Add(now, kServedTime, 0, end.served ? 1 : 0);
}

double OverloadAdmission::RefusedShare(Time now, const Plan& plan) const {
  double all = 0;
  double refused = 0;
  double evidence = 0;
  Time newest{};
  for (const PlannedFleet& fleet : plan.fleets) {
    const auto found = this->services.find(fleet.name);
    if (found == this->services.end()) continue;
    const Counts recent = found->second.recent.At(now, kRecentTime);
    all += recent.all;
    refused += recent.marked;
    evidence += found->second.long_term.At(now, kLongTime).marked;
    newest = std::max(newest, found->second.recent.updated);
  }
  // Both fade alike, so the share stays until nothing has been sent for a while.
  return evidence < kLeastRefusals || now - newest > kSilence ? 0 : refused / all;
}

AdmissionVerdict OverloadAdmission::Admit(Time now, const AdmissionQuery& query) {
  if (!this->classes.contains(query.load_class) && this->classes.size() >= kMaxClasses) {
    std::erase_if(this->classes, [&](const auto& entry) {
      return now - entry.second.last_seen > kForgetClassAfter;
    });
    if (this->classes.size() >= kMaxClasses) return {};
  }
  LoadState& state = this->classes[query.load_class];
  if (state.services.empty() || state.revision != query.plan.revision) {
    state.services.clear();
    for (const PlannedFleet& fleet : query.plan.fleets) state.services.insert(fleet.name);
    state.revision = query.plan.revision;
  }
  state.last_seen = now;
  state.objective = query.objective;
  const AdmissionVerdict verdict = this->Decide(now, query, state);
  state.served.Add(now, kServedTime, 1, 0);
  this->served.Add(now, kServedTime, 1, 0);
  if (verdict.Admitted()) {
    state.last_admitted = now;
    state.lateness.OnStarted(now);
  }
  return verdict;
}

AdmissionVerdict OverloadAdmission::Decide(Time now, const AdmissionQuery& query,
                                           LoadState& state) {
  AdmissionVerdict verdict;
  if (query.plan.shards.size() >= 2 &&
      !this->lost_services.CanCover(now, query.plan, query.needed)) {
    verdict.reason = RejectReason::kLost;
    return verdict;
  }
  if (this->TooLate(now, query, state, verdict)) return verdict;
  verdict.refused_share = this->RefusedShare(now, query.plan);
  this->Shed(now, query, state, verdict);
  if (verdict.refused_share < kShortShare || !verdict.Admitted()) return verdict;
  std::vector<OpenShard> open;
  open.reserve(query.plan.shards.size());
  for (uint32_t i = 0; i < query.plan.shards.size(); ++i) {
    open.push_back({.fleet = query.plan.FleetOf(i).name, .running_for = Duration(0)});
  }
  verdict = this->Assess(now, query.plan, open, query.needed, this->Reserve(now, query.load_class));
  if (verdict.chance < kLeastChance) verdict.reason = RejectReason::kChance;
  return verdict;
}

std::optional<Duration> OverloadAdmission::MeanAttempt(Time now) const {
  const Counts counts = this->accepted.At(now, kRecentTime);
  if (counts.all < 1) return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(counts.marked / counts.all));
}

void OverloadAdmission::Shed(Time now, const AdmissionQuery& query, LoadState& state,
                             AdmissionVerdict& verdict) {
  if (query.plan.shards.size() < 2) return;
  double share = this->ShedShare(now, query.load_class, state);
  if (share > 0) share *= this->slow_targets.QueuedShare(now, query.plan);
  state.shed_credit += share;
  if (share == 0 || state.shed_credit < 1) return;
  state.shed_credit -= 1;
  verdict.shed_share = share;
  verdict.reason = RejectReason::kLate;
}

bool OverloadAdmission::ShareService(const LoadState& a, const LoadState& b) {
  return std::any_of(a.services.begin(), a.services.end(),
                     [&](const std::string& service) { return b.services.contains(service); });
}

double OverloadAdmission::ShedShare(Time now, const LoadClass& load_class, const LoadState& state) {
  double own_share = 0;  // of classes with the same priority
  double more_urgent_share = 0;
  bool most_urgent = true;
  std::optional<Duration> attempt;
  for (auto& [other, other_state] : this->classes) {
    if (other.priority > load_class.priority || now - other_state.last_seen > kCompetes) continue;
    if (!ShareService(state, other_state)) continue;
    if (other.priority < load_class.priority) most_urgent = false;
    const double late_share = other_state.lateness.Share(now, other_state.objective);
    if (late_share == 0) continue;
    if (!attempt) attempt = this->MeanAttempt(now);
    if (attempt && *attempt < kQueuedAttempt * other_state.objective) {
      other_state.lateness.Clear();
      continue;
    }
    double& share = other.priority < load_class.priority ? more_urgent_share : own_share;
    share = std::max(share, late_share);
  }
  return most_urgent ? own_share : more_urgent_share;
}

bool OverloadAdmission::TooLate(Time now, const AdmissionQuery& query, LoadState& state,
                                AdmissionVerdict& verdict) {
  const std::optional<Duration> latency = state.latency.Quantile(now, kLatencyQuantile);
  if (!latency || *latency <= std::max(query.time_left, query.objective)) return false;
  if (!state.last_admitted || now - *state.last_admitted >= kLatencyProbeInterval) return false;
  verdict.latency = latency;
  verdict.reason = RejectReason::kLatency;
  return true;
}

AdmissionVerdict OverloadAdmission::Assess(Time now, const Plan& plan,
                                           std::span<const OpenShard> open, uint32_t needed,
                                           double reserve) const {
  Counts sum;
  for (const PlannedFleet& fleet : plan.fleets) {
    const auto found = this->services.find(fleet.name);
    if (found == this->services.end()) continue;
    const Counts counts = found->second.long_term.At(now, kLongTime);
    sum.all += counts.all;
    sum.marked += counts.marked;
  }
  AdmissionVerdict verdict{.refused_share = this->RefusedShare(now, plan)};
  // The shards are taken as alike as far as their own counts do not show otherwise. Their long-term
  // shares are scaled down when recent refusals have clearly decreased.
  const double mean = sum.marked / std::max(sum.all, 1.0);
  const double scale =
      std::min(1.0, kClearDecrease * verdict.refused_share / std::max(mean, kShortShare));
  double retries = 0;
  std::vector<double> covered;
  covered.reserve(open.size());
  for (const OpenShard& shard : open) {
    const double left = std::max(0.0, this->budget.RetriesLeft(now, shard.fleet) - reserve);
    retries += left;
    if (shard.running_for && *shard.running_for >= kSettleTime) {
      covered.push_back(1);
      continue;
    }
    const auto found = this->services.find(shard.fleet);
    const Counts counts =
        found == this->services.end() ? Counts{} : found->second.long_term.At(now, kLongTime);
    const double refused = scale * (counts.marked + mean) / (counts.all + 1);
    const double attempts =
        (shard.running_for ? 1 : 0) + std::floor(std::min<double>(left, kMaxChargedRefusalRetries));
    covered.push_back(1 - std::pow(refused, attempts));
  }
  verdict.chance = ChanceOfAtLeast(covered, needed);
  verdict.retries_left = retries / static_cast<double>(std::max<size_t>(open.size(), 1));
  return verdict;
}

bool OverloadAdmission::ServedLittle(Time now, const LoadState& state) const {
  const Counts all = this->served.At(now, kServedTime);
  return this->ServedShare(now, state) < kLeastShare * all.marked / std::max(all.all, 1.0);
}

bool OverloadAdmission::TooOften(Time now, const LoadClass& load_class) const {
  const auto found = this->classes.find(load_class);
  if (found == this->classes.end()) return false;
  const std::optional<double> more_urgent = this->MoreUrgentShare(now, load_class, found->second);
  return more_urgent && this->ServedShare(now, found->second) > *more_urgent &&
         !this->ServedLittle(now, found->second);
}

double OverloadAdmission::Reserve(Time now, const LoadClass& load_class) const {
  const auto found = this->classes.find(load_class);
  if (found == this->classes.end() || this->ServedLittle(now, found->second)) return 0;
  return this->MoreUrgentShare(now, load_class, found->second) ? kReservedRetries : 0;
}

std::optional<double> OverloadAdmission::MoreUrgentShare(Time now, const LoadClass& load_class,
                                                         const LoadState& state) const {
  std::optional<double> lowest;
  for (const auto& [other, other_state] : this->classes) {
    if (other.priority >= load_class.priority || now - other_state.last_seen > kCompetes) continue;
    if (!ShareService(state, other_state)) continue;
    const double share = this->ServedShare(now, other_state);
    lowest = std::min(lowest.value_or(share), share);
  }
  return lowest;
}

double OverloadAdmission::ServedShare(Time now, const LoadState& state) const {
  const Counts counts = state.served.At(now, kServedTime);
  return counts.marked / std::max(counts.all, 1.0);
}

bool OverloadBudget::Short(Time now) {
  if (!this->checked || now - *this->checked >= kBudgetRetryInterval) {
    this->checked = now;
    this->short_of_room = this->admission.RefusedShare(now, this->plan) >= kShortShare;
  }
  return this->short_of_room;
}

bool OverloadBudget::Spend(Time now, std::string_view service, ExtraAttemptKind kind) {
  if (this->Short(now)) {
    if (kind == ExtraAttemptKind::kHedge || kind == ExtraAttemptKind::kOptionalRetry) return false;
    if (this->shared.RetriesLeft(now, service) <
        1 + this->admission.Reserve(now, this->load_class)) {
      return false;
    }
  }
  return this->budget.Spend(now, service, kind);
}

RetryAdvice OverloadBudget::AdviseRetry(Time now, std::span<const OpenShard> open,
                                        uint32_t needed) {
  if (!this->Short(now)) return RetryAdvice::kRetry;
  // The retries of a search start when it is known which of its first attempts are refused.
  if (!this->retrying && std::any_of(open.begin(), open.end(), [](const OpenShard& shard) {
        return shard.running_for && *shard.running_for < kSettleTime;
      })) {
    return RetryAdvice::kWait;
  }
  const auto waiting = std::count_if(open.begin(), open.end(),
                                     [](const OpenShard& shard) { return !shard.running_for; });
  if (static_cast<size_t>(waiting) <= kFewRetries) return RetryAdvice::kRetry;
  const auto running = open.size() - static_cast<size_t>(waiting);
  if (needed > running + kFewRetries && this->admission.TooOften(now, this->load_class)) {
    return this->GiveUp(RejectReason::kUrgency,
                        {.refused_share = this->admission.RefusedShare(now, this->plan)});
  }
  const AdmissionVerdict verdict = this->admission.Assess(
      now, this->plan, open, needed, this->admission.Reserve(now, this->load_class));
  if (verdict.chance < (this->retrying ? kKeepChance : kUsefulChance)) {
    return this->GiveUp(RejectReason::kChance, verdict);
  }
  this->retrying = true;
  return RetryAdvice::kRetry;
}

RetryAdvice OverloadBudget::GiveUp(RejectReason reason, const AdmissionVerdict& inputs) {
  this->given_up = inputs;
  this->given_up->reason = reason;
  return RetryAdvice::kGiveUp;
}

}  // namespace peridotgauge
