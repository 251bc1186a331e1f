// When a hedge is due, and the budget that hedges and retries of a fleet share.
//
// Use:
//   HedgeBudget budget;
//   budget.SetConfig(config);                              // on every accepted revision
//   budget.OnReply(now, "verstas", {.latency = latency});  // for every attempt
//   std::optional<Duration> delay = budget.HedgeDelay(now, "verstas");
//   if (budget.Spend(now, "verstas", ExtraAttemptKind::kHedge)) SendHedge();
//
// Contract: for each fleet, hedges and retries granted from the budget never exceed hedge_percent
// of the needed sub-requests counted so far plus kBudgetBurst. Nothing is granted while the fleet
// is overloaded. A last-chance retry is granted on an empty budget and leaves a debt of at most
// kMaxDebt, so that an outage does not switch hedges off for long.
#ifndef PERIDOTGAUGE_CORE_HEDGE_H_
#define PERIDOTGAUGE_CORE_HEDGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/config.h"
#include "core/quantile_window.h"
#include "core/search_policy.h"
#include "core/sliding_window_limit.h"
#include "core/types.h"

namespace peridotgauge {

constexpr double kHedgeQuantile = 0.95;
// The quantile covers one to two of these periods.
constexpr Duration kHedgeWindow = Seconds(10);
constexpr uint64_t kHedgeMinSamples = 50;
// Hedging below this delay would race with scheduling noise of the hosts.
constexpr Duration kMinHedgeDelay = Millis(1);
// The quantile is computed again after this time.
constexpr Duration kHedgeDelayRefreshInterval = Millis(20);
// Sub-requests.
constexpr double kBudgetBurst = 10;
constexpr double kMaxDebt = 50;
// A fleet is overloaded when this share of its recent attempts was refused or waited in a queue
// for longer than it was served.
constexpr double kOverloadShare = 0.2;
constexpr double kOverloadMinAttempts = 10;
// Time constant with which attempts are forgotten.
constexpr Duration kOverloadTimeConstant = Seconds(1);

// One attempt that has ended.
struct AttemptReport {
  // Until the reply, or until it was cancelled. Nothing if it failed or was refused.
  std::optional<Duration> latency;
  Duration queue_time{};
  Duration service_time{};
  bool refused = false;  // overload: shed by the target, or the owner's queue was full
};

// Size of the budgets of one router.
struct HedgeBudgetOptions {
  double burst = kBudgetBurst;  // sub-requests
  double max_debt = kMaxDebt;   // 0: last-chance retries need budget like others
  // Retries are granted in an overloaded fleet too. For deployments in which a few targets refuse
  // requests although others have room, and refusing costs next to nothing.
  bool retry_in_overload = false;
  // The limit counts over a sliding window of this length, with `burst` as its slack; `max_debt` is
  // not used then. 0: a token bucket.
  Duration window{0};
};

// Share of a sliding limit that hedges may use. The rest is for retries, without which a shard is
// lost for certain.
constexpr double kHedgeShareOfWindow = 0.9;

class HedgeBudget : public ExtraAttemptBudget {
 public:
  HedgeBudget() = default;
  explicit HedgeBudget(HedgeBudgetOptions options) : options(options) {}

  // Takes fleets and their percentages. Known fleets keep their budget and samples.
  void SetConfig(const Config& config);
  // Sets the fleets and their shares (hedge_percent / 100) directly.
  void SetShares(const std::map<std::string, double, std::less<>>& shares);
  // Changes the size of the budgets, for example when the number of routers has changed.
  void SetOptions(HedgeBudgetOptions new_options);
  void OnReply(Time now, std::string_view fleet, const AttemptReport& report);

  std::optional<Duration> HedgeDelay(Time now, std::string_view fleet) override;
  void CountNeeded(Time now, std::string_view fleet, uint32_t count) override;
  bool Spend(Time now, std::string_view fleet, ExtraAttemptKind kind) override;

  bool Overloaded(Time now, std::string_view fleet) const;
  // Sub-requests that could be granted now; negative while there is a debt.
  double Tokens(std::string_view fleet) const;

 private:
  struct FleetState {
    double share = 0;           // hedge_percent / 100
    double tokens = 0;          // -max_debt to burst
    SlidingWindowLimit window;  // used instead of the tokens if the options say so
    QuantileWindow latency{kHedgeWindow, kHedgeMinSamples};
    std::optional<Duration> delay;
    std::optional<Time> delay_computed;
    // Attempts with exponential forgetting.
    double attempts = 0;
    double overloads = 0;
    Time counted{};
  };

  FleetState* Find(std::string_view fleet);
  const FleetState* Find(std::string_view fleet) const;
  static bool Overloaded(Time now, const FleetState& state);

  HedgeBudgetOptions options;
  std::map<std::string, FleetState, std::less<>> fleets;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_HEDGE_H_
