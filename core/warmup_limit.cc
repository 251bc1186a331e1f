// Division of the limit on requests to a cold target among the routers.
#include "core/warmup_limit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotgauge {
namespace {

// From this mean on, half of the limit is exceeded with a smaller probability than allowed.
constexpr double kLargeMean = 60;

// Returns the probability that a Poisson distributed number is above `limit`.
double TailAbove(double mean, double limit) {
  double term = std::exp(-mean);
  double sum = 0;
  for (double i = 0; i <= limit; ++i) {
    sum += term;
    term *= mean / (i + 1);
  }
  return 1 - sum;
}

// Returns a number in [0, 1) that is fixed for the router and this start of the target.
double FractionOf(const std::string& router, const TargetRecord& target) {
  const uint64_t seed =
      XXH3_64bits_withSeed(target.target.data(), target.target.size(), target.incarnation);
  const uint64_t hash = XXH3_64bits_withSeed(router.data(), router.size(), seed);
  constexpr int kUnusedBits = 11;  // a double has 53 bits
  return std::ldexp(static_cast<double>(hash >> kUnusedBits), kUnusedBits - 64);
}

}  // namespace

double PlannedSenders(double limit) {
  const double share = kWarmupShare * limit;
  if (share >= kLargeMean || TailAbove(share, limit) <= kWarmupExcessProbability) return share;
  double low = 0;
  double high = share;
  constexpr int kSteps = 30;
  for (int step = 0; step < kSteps; ++step) {
    const double mean = (low + high) / 2;
    (TailAbove(mean, limit) <= kWarmupExcessProbability ? low : high) = mean;
  }
  return low;
}

void WarmupLimit::SetServices(const std::map<std::string, double>& rates) {
  if (rates == this->rates) return;
  this->rates = rates;
  this->services.clear();
  for (const auto& [name, rate] : rates) {
    const double limit = rate * this->tolerance.overage + this->tolerance.slack;
    this->services[name] = {.limit = limit, .senders = PlannedSenders(limit)};
  }
}

bool WarmupLimit::OnRecord(Time now, const TargetRecord& record) {
  if (record.warmup <= Duration(0)) {
    const auto found = this->targets.find(record.target);
    if (found != this->targets.end()) found->second.cold_until = now;
    return false;
  }
  // The controllers do not send a longer time that differs by less than the tolerance.
  this->targets[record.target].cold_until = now + record.warmup + kWarmupReportTolerance;
  return this->IsLimited(now, record);
}

bool WarmupLimit::OnHealth(Time now, const TargetRecord& target, Duration warmup) {
  if (this->FindService(target) == nullptr) return false;
  const bool limited = this->IsLimited(now, target);
  Target& known = this->targets[target.target];
  if (target.incarnation < known.health_incarnation) return false;
  known.health_incarnation = target.incarnation;
  known.health_cold_until = now + warmup;
  return !limited && this->IsLimited(now, target);
}

Duration WarmupLimit::HealthInterval(const Service& service) const {
  const double seconds = static_cast<double>(this->routers) / (kHealthShare * service.limit);
  return std::max(kMinHealthInterval,
                  std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

bool WarmupLimit::ShouldAsk(Time now, const TargetRecord& target, bool connection_free) const {
  const Service* service = this->FindService(target);
  if (service == nullptr) return false;
  const Target* known = this->FindTarget(target);
  if (known == nullptr) return true;
  const int intervals = connection_free ? 1 : kBusyHealthIntervals;
  return now >= ColdUntil(*known, target) &&
         (!known->asked || now >= *known->asked + intervals * this->HealthInterval(*service));
}

void WarmupLimit::OnAsk(Time now, const TargetRecord& target) {
  this->targets[target.target].asked = now;
  this->OnSend(now, target);
}

const WarmupLimit::Target* WarmupLimit::FindTarget(const TargetRecord& target) const {
  const auto found = this->targets.find(target.target);
  return found == this->targets.end() ? nullptr : &found->second;
}

Time WarmupLimit::ColdUntil(const Target& known, const TargetRecord& target) {
  if (known.health_incarnation != target.incarnation) return known.cold_until;
  return std::max(known.cold_until, known.health_cold_until);
}

const WarmupLimit::Service* WarmupLimit::FindService(const TargetRecord& target) const {
  const auto found = this->services.find(target.service);
  return found == this->services.end() ? nullptr : &found->second;
}

bool WarmupLimit::IsLimited(Time now, const TargetRecord& target) const {
  if (this->FindService(target) == nullptr) return false;
  const Target* known = this->FindTarget(target);
  return known != nullptr && now < ColdUntil(*known, target);
}

size_t WarmupLimit::PartOf(const Service& service, const TargetRecord& target) const {
  const auto count = static_cast<double>(this->routers);
  const double part = kWarmupShare * service.limit / count;
  if (part >= 1) return static_cast<size_t>(part);
  return FractionOf(this->router, target) < service.senders / count ? 1 : 0;
}

bool WarmupLimit::HasRoom(Time now, const TargetRecord& target) const {
  const Service* service = this->FindService(target);
  if (service == nullptr) return true;
  const Target* known = this->FindTarget(target);
  if (known == nullptr || now >= ColdUntil(*known, target)) return true;
  if (!this->settled_at || now < *this->settled_at) return false;
  const size_t part = this->PartOf(*service, target);
  const std::deque<Time>& sent = known->sent;
  return part > 0 && (sent.size() < part || now >= sent[sent.size() - part] + kWarmupWindow);
}

std::optional<WarmupStatus> WarmupLimit::StatusOf(Time now, const TargetRecord& target) const {
  if (!this->IsLimited(now, target)) return std::nullopt;
  const Target& known = this->targets.at(target.target);
  const bool settled = this->settled_at && now >= *this->settled_at;
  const auto recent = std::count_if(known.sent.begin(), known.sent.end(),
                                    [&](Time sent) { return now < sent + kWarmupWindow; });
  return WarmupStatus{.left = ColdUntil(known, target) - now,
                      .allowed = settled ? this->PartOf(*this->FindService(target), target) : 0,
                      .sent = static_cast<size_t>(recent)};
}

void WarmupLimit::OnSend(Time now, const TargetRecord& target) {
  const Service* service = this->FindService(target);
  if (service == nullptr) return;
  std::deque<Time>& sent = this->targets[target.target].sent;
  while (!sent.empty() && now >= sent.front() + kWarmupWindow) sent.pop_front();
  // A router's part never exceeds the share of a single router.
  const auto most = static_cast<size_t>(kWarmupShare * service->limit) + 1;
  if (sent.size() >= most) sent.pop_front();
  sent.push_back(now);
}

}  // namespace peridotgauge
