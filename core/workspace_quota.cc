// One router's part of the request quotas of workspaces.
#include "core/workspace_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotgauge {
namespace {

// Makes up for rounding errors of sums of shares.
constexpr double kRounding = 1e-6;
// Of a share that is too small to be used.
constexpr size_t kMaxShareDivisor = 1'000'000;

size_t ShareDivisor(double share) {
  if (share * static_cast<double>(kMaxShareDivisor) <= 1) return kMaxShareDivisor;
  return static_cast<size_t>(std::ceil(1 / share - kRounding));
}

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

double QuotaExcess(const RequestQuota& quota, const QuotaTolerance& tolerance) {
  return tolerance.overage * (quota.rate_per_s * ToSeconds(tolerance.window) + quota.burst) +
         tolerance.slack;
}

void WorkspaceQuota::RecentCount::Add(int64_t slot) {
  Slot& entry = this->slots[static_cast<size_t>(slot % std::ssize(this->slots))];
  if (entry.number != slot) entry = {.number = slot};
  ++entry.count;
}

uint32_t WorkspaceQuota::RecentCount::Get(int64_t slot) const {
  uint32_t sum = 0;
  for (const Slot& entry : this->slots) {
    if (entry.number >= slot - kSlots) sum += entry.count;
  }
  return sum;
}

// A router that callers still use from an old list, or that has not yet heard of a change, counts
// the routers of the last two windows.
WorkspaceQuota::WorkspaceQuota(QuotaTolerance tolerance)
    : tolerance(tolerance), offered(2 * tolerance.window), share_divisor(2 * tolerance.window) {}

void WorkspaceQuota::SetRouters(Time now, size_t offered) {
  this->offered_now = std::max<size_t>(offered, 1);
  this->offered.Set(now, this->offered_now);
}

double WorkspaceQuota::Routers(Time now) const {
  return static_cast<double>(std::max<size_t>(this->offered.Get(now), 1));
}

// Part of all base allowances that this router has. The shares of all routers sum to at most 1,
// also if some have no contact and have not learned that others were added. A larger share counts
// only after two windows, as the router that gave it up may have used its allowance.
double WorkspaceQuota::BaseShare(Time now) const {
  const double share = this->OwnShare(this->lost_at.value_or(now));
  const bool ended = this->lost_at && now >= *this->lost_at + kOwnShareTime;
  if (share <= 0 || ended) return 0;
  const auto divisor = static_cast<double>(this->share_divisor.Get(now));
  return 1 / std::max({this->Routers(now), divisor, 1.0});
}

double WorkspaceQuota::BaseAllowance(Time now, const State& state) const {
  return kBaseShare * QuotaExcess(state.quota, this->tolerance) * this->BaseShare(now);
}

double WorkspaceQuota::OpenAllowance(Time now, const std::string& workspace,
                                     const State& state) const {
  const double routers = this->Routers(now);
  if (routers > kAllOpenRouters) return this->open_slots.contains(workspace) ? 1 : 0;
  const double share = kOpenShare * QuotaExcess(state.quota, this->tolerance) / routers;
  // A base allowance of one request at each router takes the part of the excess that another open
  // request at each would need: 8 routers admitted 21 requests of 20.9 allowed.
  const double one = this->BaseAllowance(now, state) < 1 ? kOpenRequests : 0;
  return one + std::floor(share) + std::floor(kOpenSeconds * state.quota.rate_per_s);
}

bool WorkspaceQuota::AdmitOpen(Time now, const std::string& workspace, State& state) {
  const bool known = this->sequence > 0 && now - this->own_share_at < kOpenTime;
  if (this->lost_at || !known || this->near_limit.contains(workspace)) return false;
  if (state.unreported >= this->OpenAllowance(now, workspace, state)) return false;
  ++state.unreported;
  return true;
}

bool WorkspaceQuota::AdmitFromBase(Time now, State& state) {
  const Duration window = this->tolerance.window;
  if (!this->serving_since || now - *this->serving_since < 2 * window) return false;
  const int64_t slot = this->BaseSlot(now);
  if (state.base.Get(slot) + 1 > this->BaseAllowance(now, state)) return false;
  state.base.Add(slot);
  return true;
}

void WorkspaceQuota::ExpirePermits(Time now, State& state) {
  if (state.permits == 0 || now < state.permits_end) return;
  this->expired += std::exchange(state.permits, 0);
}

bool WorkspaceQuota::AdmitWithPermit(Time now, State& state) {
  this->ExpirePermits(now, state);
  if (state.permits == 0) return false;
  --state.permits;
  return true;
}

bool WorkspaceQuota::AdmitFromOwnShare(Time now, State& state) {
  if (!this->lost_at) return false;
  const Time start = *this->lost_at + kOwnShareDelay;
  if (now < start || now >= *this->lost_at + kOwnShareTime) return false;
  if (state.own_updated < start) {
    state.own_tokens = 0;
    state.own_updated = start;
  }
  const double share = this->OwnShare(*this->lost_at);
  const double excess = QuotaExcess(state.quota, this->tolerance);
  const double rate =
      state.quota.rate_per_s + kFillShare * excess / ToSeconds(this->tolerance.window);
  double capacity = (state.quota.burst + (kBucketShare + kOwnShareExcess) * excess) * share;
  // A base allowance below one request is not used otherwise.
  const double base = this->BaseAllowance(now, state);
  if (share > 0 && base < 1) capacity += base;
  state.own_tokens =
      std::min(state.own_tokens + ToSeconds(now - state.own_updated) * rate * share, capacity);
  state.own_updated = now;
  if (state.own_tokens < 1) return false;
  state.own_tokens -= 1;
  return true;
}

QuotaVerdict WorkspaceQuota::Admit(Time now, const Workspace& workspace, Duration max_wait) {
  if (!this->serving_since || now - this->last_use >= this->tolerance.window) {
    this->serving_since = now;
  }
  this->last_use = now;
  State& state = this->states[workspace.name];
  state.quota = workspace.quota;
  state.used = now;
  this->next_check = std::min(this->next_check, now);
  if (state.waiters.empty() && this->AdmitOpen(now, workspace.name, state)) {
    return {.result = QuotaResult::kAdmitted};
  }
  if (this->AdmitFromBase(now, state)) return {.result = QuotaResult::kAdmitted};
  state.demand.Add(DemandSlot(now));
  // Requests that wait already come first.
  if (state.waiters.empty() && this->AdmitWithPermit(now, state)) {
    return {.result = QuotaResult::kAdmitted};
  }
  if (this->AdmitFromOwnShare(now, state)) return {.result = QuotaResult::kAdmitted};
  if (this->lost_at || now < state.refused_until || max_wait <= Duration(0) ||
      this->waiting >= kMaxQuotaWaiting || state.waiters.size() >= kMaxQuotaWaitingPerWorkspace) {
    return {.result = QuotaResult::kRefused, .retry = this->RetryOf(now, state)};
  }
  const uint64_t ticket = ++this->last_ticket;
  state.waiters.push_back({.ticket = ticket, .until = now + std::min(max_wait, kMaxQuotaWait)});
  ++this->waiting;
  return {.result = QuotaResult::kWaiting, .ticket = ticket};
}

void WorkspaceQuota::Withdraw(uint64_t ticket) {
  for (auto& [name, state] : this->states) {
    this->waiting -=
        std::erase_if(state.waiters, [&](const Waiter& w) { return w.ticket == ticket; });
  }
}

// The requests of the last second return within the time in which the limit admits as many, so that
// they do not all find the quota used up again.
QuotaRetry WorkspaceQuota::RetryOf(Time now, const State& state) const {
  const Duration earliest = std::max<Duration>(state.refused_until - now, kMinRefusal);
  const double rate = std::max(state.quota.rate_per_s / this->Routers(now), 0.01);
  const double spread = state.demand.Get(DemandSlot(now)) / rate;
  return {.earliest = earliest, .spread = FromSeconds(std::clamp(spread, 0.1, 1.0))};
}

// Rounded down: a single permit held for a rate below one per lifetime would mostly expire.
uint32_t WorkspaceQuota::StockTarget(Time now, const State& state) {
  return static_cast<uint32_t>(state.demand.Get(DemandSlot(now)) * kStockSeconds);
}

bool WorkspaceQuota::NeedsAsk(Time now, const State& state) {
  if (!state.waiters.empty() || state.unreported > 0) return true;
  if (now < state.refused_until) return false;
  if (state.permits < StockTarget(now, state)) return true;
  return state.permits > 0 && state.demand.Get(DemandSlot(now)) > 0;
}

bool WorkspaceQuota::NeedsShare(Time now) const {
  return now - this->last_use < this->tolerance.window && now - this->asked_at >= kMaxAskPause;
}

double WorkspaceQuota::OwnShare(Time now) const {
  return now - this->own_share_at < kOwnShareTime ? this->own_share : 0;
}

Duration WorkspaceQuota::AskInterval(bool urgent) const {
  const auto routers = static_cast<int64_t>(this->offered_now);
  return urgent ? std::clamp<Duration>(routers * kUrgentAskPace, kMinUrgentAskInterval,
                                       kMaxUrgentAskInterval)
                : std::clamp<Duration>(routers * kAskPace, kMinAskInterval, kMaxAskInterval);
}

// Every ask uses one interval of the urgent pace, and up to kUrgentAskBurst intervals may be used
// in advance. So all routers together keep the pace on average, and a request that comes after a
// quiet time does not wait for an interval that another workspace's ask began.
Time WorkspaceQuota::AskDue(bool urgent) const {
  const Duration interval = this->AskInterval(urgent);
  const Time due = urgent ? std::max(this->asked_at + kMinUrgentAskInterval,
                                     this->asks_paced_until - (kUrgentAskBurst - 1) * interval)
                          : this->asked_at + interval;
  return std::max(this->next_ask, due);
}

Time WorkspaceQuota::NextAction() const {
  Time next = this->next_check;
  if (this->waiting == 0) return next;
  for (const auto& [name, state] : this->states) {
    for (const Waiter& waiter : state.waiters) next = std::min(next, waiter.until);
  }
  if (!this->in_flight) next = std::min(next, this->AskDue(true));
  return next;
}

std::optional<QuotaAsk> WorkspaceQuota::NextAsk(Time now) {
  if (now >= this->next_check) this->next_check = Time::max();
  if (this->in_flight) return std::nullopt;
  const Time due = this->AskDue(this->waiting > 0);
  if (now < due) {
    this->next_check = std::min(this->next_check, due);
    return std::nullopt;
  }
  QuotaAsk ask;
  bool active = false;  // a workspace may need permits soon
  for (auto& [name, state] : this->states) {
    this->ExpirePermits(now, state);
    active = active || state.demand.Get(DemandSlot(now)) > 0;
    if (ask.demands.size() >= kMaxDemands || !NeedsAsk(now, state)) continue;
    const uint32_t target = StockTarget(now, state);
    const uint32_t missing = target > state.permits ? target - state.permits : 0;
    for (Waiter& waiter : state.waiters) waiter.asked = true;
    state.asked = true;
    state.reporting = state.unreported;
    ask.demands.push_back({.workspace = name,
                           .wanted = static_cast<uint32_t>(state.waiters.size()) + missing,
                           .held = state.permits,
                           .spent = state.reporting});
  }
  if (ask.demands.empty() && !this->NeedsShare(now)) {
    if (active) {
      this->next_check = now + this->AskInterval(false);
    } else if (now - this->last_use < this->tolerance.window) {
      this->next_check = this->asked_at + kMaxAskPause;
    }
    return std::nullopt;
  }
  ask.own_share = this->OwnShare(now);
  this->in_flight = true;
  this->asked_at = now;
  this->asks_paced_until = std::max(now, this->asks_paced_until) + this->AskInterval(true);
  ask.sequence = ++this->sequence;
  return ask;
}

std::vector<QuotaDecision> WorkspaceQuota::OnGrants(Time now, const QuotaGrants& grants) {
  std::vector<QuotaDecision> decisions;
  this->in_flight = false;
  this->next_check = std::min(this->next_check, now + this->AskInterval(false));
  this->near_limit = grants.near_limit;
  this->open_slots = grants.open_slots;
  this->own_share = grants.own_share;
  this->share_divisor.Set(now, ShareDivisor(grants.own_share));
  this->own_share_at = this->asked_at;
  const Time end = this->asked_at + std::min(grants.valid, kPermitLifetime);
  for (auto& [name, state] : this->states) {
    if (!std::exchange(state.asked, false)) continue;
    state.unreported -= std::exchange(state.reporting, 0);
    this->ExpirePermits(now, state);
    const auto granted = grants.permits.find(name);
    if (granted != grants.permits.end()) {
      this->granted += granted->second;
      state.permits += granted->second;
      state.permits_end = end;
      this->ExpirePermits(now, state);
    }
    bool refused = false;
    for (auto waiter = state.waiters.begin(); waiter != state.waiters.end();) {
      const bool asked = std::exchange(waiter->asked, false);
      if (state.permits > 0) {
        --state.permits;
        decisions.push_back({.ticket = waiter->ticket, .admitted = true});
      } else if (asked) {
        if (!std::exchange(refused, true)) {
          const Duration next_permit = FromSeconds(1 / std::max(state.quota.rate_per_s, 0.01));
          state.refused_until = now + std::clamp(next_permit, kMinRefusal, kMaxRefusal);
        }
        decisions.push_back({.ticket = waiter->ticket, .retry = this->RetryOf(now, state)});
      } else {
        ++waiter;
        continue;
      }
      waiter = state.waiters.erase(waiter);
      --this->waiting;
    }
  }
  return decisions;
}

std::vector<QuotaDecision> WorkspaceQuota::OnNoReply(Time now) {
  this->in_flight = false;
  this->next_ask = now + kAskRetryDelay;
  this->next_check = std::min(this->next_check, this->next_ask);
  for (auto& [name, state] : this->states) {
    state.asked = false;
    state.reporting = 0;  // reported again, as the leader may not have received it
    for (Waiter& waiter : state.waiters) waiter.asked = false;
  }
  return this->Expire(now);
}

void WorkspaceQuota::RefuseExpired(Time now, State& state, std::vector<QuotaDecision>& decisions) {
  std::erase_if(state.waiters, [&](const Waiter& waiter) {
    if (now < waiter.until && !this->lost_at) return false;
    decisions.push_back({.ticket = waiter.ticket, .retry = this->RetryOf(now, state)});
    --this->waiting;
    return true;
  });
}

std::vector<QuotaDecision> WorkspaceQuota::Expire(Time now) {
  std::vector<QuotaDecision> decisions;
  if (this->waiting > 0) {
    for (auto& [name, state] : this->states) this->RefuseExpired(now, state, decisions);
  }
  std::erase_if(this->states, [&](const auto& item) {
    const State& state = item.second;
    return state.waiters.empty() && !state.asked && state.unreported == 0 &&
           now >= state.permits_end &&
           now >= state.used + 2 * this->tolerance.window + kOwnShareTime;
  });
  return decisions;
}

void WorkspaceQuota::OnLost(Time lease_end) {
  if (!this->lost_at) this->lost_at = lease_end;
}

void WorkspaceQuota::OnRegained() { this->lost_at.reset(); }

}  // namespace peridotgauge
