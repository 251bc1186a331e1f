// The share of a class of requests to reject at arrival because its requests become late.
//
// Use:
//   LatenessShedding shedding;                        // one for each class
//   shedding.OnStarted(now);                          // for every admitted request
//   shedding.OnEnded(now, elapsed, objective);        // for every end
//   double share = shedding.Share(now, objective);    // of the arrivals, to reject
//
// Load that it answers: a burst of several times the usual load while targets are slow. The queues
// of the targets grow within tenths of a second until every answer comes after its objective,
// although the targets could answer most of the requests in time. A request that has not ended by
// its objective therefore counts at that moment, and not at its end, which may be its deadline.
//
// Contract: the share is 0 while requests end well within their objective, and at most
// kMaxShedShare. All state is local to one router and is based on its own requests.
//
// Rules:
// - The share grows from 0 to the maximum while the mean of the recent elapsed times, in multiples
//   of the objective, grows from kShedFromUsage to kShedAllUsage. A late request counts as
//   kLateUsage.
// - While kLateRunning requests that are past their objective are still running, a new one would
//   wait behind them, and the share is at its maximum.
// - Without any end, the mean fades with kUsageTime.
#ifndef PERIDOTGAUGE_CORE_LATENESS_SHEDDING_H_
#define PERIDOTGAUGE_CORE_LATENESS_SHEDDING_H_

#include <cstddef>
#include <deque>

#include "core/types.h"

namespace peridotgauge {

// Answers that take this share of the objective leave no room for queues that still grow; those
// that take all of it are worth little.
constexpr double kShedFromUsage = 0.85;
constexpr double kShedAllUsage = 1;
// One late request among ten that take half of their objective does not cause rejections, two do.
constexpr double kLateUsage = 3;
// Weight of a request in the mean. A router of a large fleet gets few requests of a class in the
// time in which queues grow: five of them must be enough.
constexpr double kUsageWeight = 0.2;
constexpr Duration kUsageTime = Millis(300);
// A single late request may have met a single slow target.
constexpr size_t kLateRunning = 2;
// One request in twenty is admitted to find out whether there is room.
constexpr double kMaxShedShare = 0.95;
// A request without a reported end, for example of a caller that has left, is forgotten.
constexpr Duration kForgetRunningAfter = Seconds(5);

class LatenessShedding {
 public:
  void OnStarted(Time now) { this->running.push_back(now); }
  void OnEnded(Time now, Duration elapsed, Duration objective);
  // An objective of 0 means that no request is late.
  double Share(Time now, Duration objective);
  // Forgets what has been seen, because requests are late for another reason than queues.
  void Clear();

 private:
  // Counts the running requests that have reached their objective.
  void CountLate(Time now, Duration objective);
  void Add(Time now, double usage);

  // Start times, in order: of the requests within their objective, and of those past it.
  std::deque<Time> running;
  std::deque<Time> late;
  double usage = 0;  // mean elapsed time in multiples of the objective
  Time updated{};
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_LATENESS_SHEDDING_H_
