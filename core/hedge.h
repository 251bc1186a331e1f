// Hedge delays, and the budget that hedges and retries of a fleet share.
//
// Use:
//   HedgeBudget budget;
//   budget.SetConfig(now, config);                         // on every accepted revision
//   budget.OnReply(now, "verstas", {.latency = latency});  // for every attempt
//   std::optional<Duration> delay = budget.HedgeDelay(now, "verstas");
//   if (budget.Spend(now, "verstas", ExtraAttemptKind::kHedge)) SendHedge();
//
// Contract: a fleet that a configuration leaves out gets nothing, but what was granted for it
// counts if it comes back within kForgetFleetAfter. For each fleet, hedges and retries granted from
// the budget never exceed hedge_percent of the needed sub-requests counted so far plus
// kBudgetBurst. Nothing is granted while the fleet is overloaded. An overdraft retry is granted on
// an empty budget and leaves a debt of at most kMaxDebt, so that an outage does not disable hedges
// for long.
#ifndef PERIDOTGAUGE_CORE_HEDGE_H_
#define PERIDOTGAUGE_CORE_HEDGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/config.h"
#include "core/extra_debts.h"
#include "core/quantile_window.h"
#include "core/search_policy.h"
#include "core/sliding_window_limit.h"
#include "core/types.h"

namespace peridotgauge {

constexpr double kHedgeQuantile = 0.95;
// Length of one generation of latency samples. The quantile covers one to two generations.
constexpr Duration kHedgeWindow = Seconds(10);
constexpr uint64_t kHedgeMinSamples = 50;
// A shorter hedge delay would be within the scheduling jitter of the hosts.
constexpr Duration kMinHedgeDelay = Millis(1);
// Interval at which the quantile is recomputed.
constexpr Duration kHedgeDelayRefreshInterval = Millis(20);
// Size of the token bucket and its largest debt, in sub-requests.
constexpr double kBudgetBurst = 10;
constexpr double kMaxDebt = 50;
// A fleet is overloaded when this share of its recent attempts was refused or spent more time in a
// queue than in service.
constexpr double kOverloadShare = 0.2;
constexpr double kOverloadMinAttempts = 10;
// Time constant of the exponential decay of the attempt counts.
constexpr Duration kOverloadTimeConstant = Seconds(1);
// A fleet that the configuration does not have is forgotten after this time, or after the window of
// its limit if that is longer.
constexpr Duration kForgetFleetAfter = Seconds(60);

// Result of one finished attempt.
struct AttemptReport {
  // Time until the reply or the cancellation; absent if the attempt failed or was refused.
  std::optional<Duration> latency;
  Duration queue_time{};
  Duration service_time{};
  bool refused = false;  // because of overload: shed by the target, or the owner's queue was full
};

// Configuration of the budgets of one router.
struct HedgeBudgetOptions {
  double burst = kBudgetBurst;  // sub-requests
  double max_debt = kMaxDebt;   // 0: overdraft retries need budget like other retries
  // Grants retries in an overloaded fleet too. Meant for deployments in which a few targets refuse
  // requests while others have capacity, and a refusal costs almost nothing.
  bool retry_in_overload = false;
  // If not 0, the limit applies over a sliding window of this length, with `burst` as its slack,
  // and `max_debt` is unused. 0 selects a token bucket.
  Duration window{0};
};

// Share of a sliding limit that hedges may use. The rest is reserved for retries, because a failed
// shard is certainly missing without one.
constexpr double kHedgeShareOfLimit = 0.9;

class HedgeBudget : public ExtraAttemptBudget {
 public:
  HedgeBudget() = default;
  explicit HedgeBudget(HedgeBudgetOptions options) : options(options) {}

  // Sets the fleets and their percentages. Known fleets keep their budget and samples.
  void SetConfig(Time now, const Config& config);
  // Sets the fleets and their shares (hedge_percent / 100) directly.
  void SetShares(Time now, const std::map<std::string, double, std::less<>>& shares);
  // Changes the options, for example when the number of routers has changed.
  void SetOptions(HedgeBudgetOptions new_options);
  void OnReply(Time now, std::string_view fleet, const AttemptReport& report);

  // Return and take over what the grants of the sliding windows exceed the shares by. A process
  // that takes the place of another one takes over its debts, so that a restart grants nothing
  // twice. Debts below `least` are left out.
  ExtraDebts Debts(Time now, double least) const;
  void Inherit(Time now, const ExtraDebts& debts);

  std::optional<Duration> HedgeDelay(Time now, std::string_view fleet) override;
  void CountNeeded(Time now, std::string_view fleet, uint32_t count) override;
  bool Spend(Time now, std::string_view fleet, ExtraAttemptKind kind) override;

  bool Overloaded(Time now, std::string_view fleet) const;
  // Returns the number of retries that could be granted now; 0 for an unknown fleet.
  double RetriesLeft(Time now, std::string_view fleet) const;
  // Returns the number of sub-requests that could be granted now; negative while there is a debt.
  double Tokens(std::string_view fleet) const;

 private:
  struct FleetState {
    double share = 0;              // hedge_percent / 100
    std::optional<Time> left_out;  // since when the configuration does not have the fleet
    double tokens = 0;             // between -max_debt and burst
    SlidingWindowLimit window;     // used instead of the tokens if the options say so
    QuantileWindow latency{kHedgeWindow, kHedgeMinSamples};
    std::optional<Duration> delay;
    std::optional<Time> delay_computed;
    // Attempt counts with exponential decay.
    double attempts = 0;
    double overloads = 0;
    Time counted{};  // last update of the counts
  };

  // Return null for a fleet that the configuration does not have.
  FleetState* Find(std::string_view fleet);
  const FleetState* Find(std::string_view fleet) const;
  // Returns the fleet, which is added if it is not known.
  FleetState& FindOrAdd(const std::string& fleet);
  static bool Overloaded(Time now, const FleetState& state);

  HedgeBudgetOptions options;
  std::map<std::string, FleetState, std::less<>> fleets;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_HEDGE_H_
