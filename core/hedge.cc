// Hedge delays and budgets of the fleets.
#include "core/hedge.h"

#include <algorithm>

#include "core/decay.h"

namespace peridotgauge {

void HedgeBudget::SetConfig(Time now, const Config& config) {
  std::map<std::string, double, std::less<>> shares;
  for (const auto& [name, fleet] : config.Fleets()) shares[name] = fleet.hedge_percent / 100.0;
  this->SetShares(now, shares);
}

void HedgeBudget::SetShares(Time now, const std::map<std::string, double, std::less<>>& shares) {
  for (auto& [name, state] : this->fleets) {
    if (!state.left_out && !shares.contains(name)) state.left_out = now;
  }
  const Duration forget_after = std::max(kForgetFleetAfter, this->options.window);
  std::erase_if(this->fleets, [&](const auto& entry) {
    return entry.second.left_out && now - *entry.second.left_out > forget_after;
  });
  for (const auto& [name, share] : shares) {
    FleetState& state = this->FindOrAdd(name);
    state.share = share;
    state.left_out.reset();
  }
}

HedgeBudget::FleetState& HedgeBudget::FindOrAdd(const std::string& fleet) {
  const auto [entry, added] = this->fleets.try_emplace(fleet);
  if (added) entry->second.tokens = this->options.burst;
  if (added && this->options.window > Duration(0)) {
    entry->second.window = SlidingWindowLimit(this->options.window);
  }
  return entry->second;
}

void HedgeBudget::SetOptions(HedgeBudgetOptions new_options) {
  this->options = new_options;
  for (auto& [name, state] : this->fleets) {
    state.tokens = std::min(state.tokens, this->options.burst);
  }
}

void HedgeBudget::OnReply(Time now, std::string_view fleet, const AttemptReport& report) {
  FleetState* state = this->Find(fleet);
  if (state == nullptr) return;
  if (report.latency) state->latency.Add(now, *report.latency);
  const double weight = DecayWeight(now - state->counted, kOverloadTimeConstant);
  const bool overload = report.refused || report.queue_time > report.service_time;
  state->attempts = state->attempts * weight + 1;
  state->overloads = state->overloads * weight + (overload ? 1 : 0);
  state->counted = now;
}

std::optional<Duration> HedgeBudget::HedgeDelay(Time now, std::string_view fleet) {
  FleetState* state = this->Find(fleet);
  if (state == nullptr || state->share == 0) return std::nullopt;
  if (!state->delay_computed || now - *state->delay_computed >= kHedgeDelayRefreshInterval) {
    state->delay = state->latency.Quantile(now, kHedgeQuantile);
    state->delay_computed = now;
  }
  if (!state->delay) return std::nullopt;
  return std::max(*state->delay, kMinHedgeDelay);
}

void HedgeBudget::CountNeeded(Time now, std::string_view fleet, uint32_t count) {
  FleetState* state = this->Find(fleet);
  if (state == nullptr) return;
  if (this->options.window > Duration(0)) return state->window.CountNeeded(now, count);
  state->tokens = std::min(this->options.burst, state->tokens + state->share * count);
}

bool HedgeBudget::Spend(Time now, std::string_view fleet, ExtraAttemptKind kind) {
  FleetState* state = this->Find(fleet);
  if (state == nullptr) return false;
  const bool retry = kind == ExtraAttemptKind::kRetry || kind == ExtraAttemptKind::kOptionalRetry;
  const bool ignores_overload = retry && this->options.retry_in_overload;
  if (!ignores_overload && Overloaded(now, *state)) return false;
  if (this->options.window > Duration(0)) {
    const double limit_share = kind == ExtraAttemptKind::kHedge ? kHedgeShareOfLimit : 1;
    return state->share > 0 &&
           state->window.Spend(now, state->share, this->options.burst, limit_share);
  }
  const bool overdraft = kind == ExtraAttemptKind::kOverdraftRetry && this->options.max_debt > 0;
  // With hedge_percent 0 neither hedges nor retries are granted, not even from the initial burst.
  if (!overdraft && (state->share == 0 || state->tokens < 1)) return false;
  state->tokens = std::max(-this->options.max_debt, state->tokens - 1);
  return true;
}

ExtraDebts HedgeBudget::Debts(Time now, double least) const {
  ExtraDebts debts;
  for (const auto& [name, state] : this->fleets) {
    const double debt = state.window.Debt(now, state.share);
    if (debt >= least) debts.emplace(name, debt);
  }
  return debts;
}

void HedgeBudget::Inherit(Time now, const ExtraDebts& debts) {
  for (const auto& [name, debt] : debts) {
    const bool known = this->fleets.contains(name);
    FleetState& state = this->FindOrAdd(name);
    if (!known) state.left_out = now;
    state.window.Inherit(now, debt);
  }
}

bool HedgeBudget::Overloaded(Time now, std::string_view fleet) const {
  const FleetState* state = this->Find(fleet);
  return state != nullptr && Overloaded(now, *state);
}

bool HedgeBudget::Overloaded(Time now, const FleetState& state) {
  const double weight = DecayWeight(now - state.counted, kOverloadTimeConstant);
  return state.attempts * weight >= kOverloadMinAttempts &&
         state.overloads >= kOverloadShare * state.attempts;
}

double HedgeBudget::RetriesLeft(Time now, std::string_view fleet) const {
  const FleetState* state = this->Find(fleet);
  if (state == nullptr || state->share == 0) return 0;
  if (this->options.window > Duration(0)) {
    return state->window.Left(now, state->share, this->options.burst);
  }
  return std::max(0.0, state->tokens);
}

double HedgeBudget::Tokens(std::string_view fleet) const {
  const FleetState* state = this->Find(fleet);
  return state == nullptr ? 0 : state->tokens;
}

HedgeBudget::FleetState* HedgeBudget::Find(std::string_view fleet) {
  const auto found = this->fleets.find(fleet);
  return found == this->fleets.end() || found->second.left_out ? nullptr : &found->second;
}

const HedgeBudget::FleetState* HedgeBudget::Find(std::string_view fleet) const {
  const auto found = this->fleets.find(fleet);
  return found == this->fleets.end() || found->second.left_out ? nullptr : &found->second;
}

}  // namespace peridotgauge
