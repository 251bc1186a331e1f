// One router's part of the limit on requests to a cold target, which all routers of a deployment
// keep together.
//
// Use:
//   WarmupLimit limit(settings.warmup, settings.id);
//   limit.SetServices({{"verstas", 10.0}});           // requests per second, on a configuration
//   limit.SetRouters(8);                              // when the number changes
//   limit.OnContact(now);                             // the controllers can be reached
//   if (limit.OnRecord(now, record)) ...              // on every change of a target's record
//   if (limit.HasRoom(now, record)) { limit.OnSend(now, record); ... }
//   if (limit.ShouldAsk(now, record, connection_free)) { limit.OnAsk(now, record); ... }   // for
//   its health limit.OnHealth(now, record, Millis(4'000));       // what the target has answered
//
// Contract: a target of a service with a rate gets at most rate * overage + slack requests in any
// second of the time in which it is cold, summed over all routers. In a steady fleet the routers
// use half of that. The other half covers routers that still assume an earlier number of routers,
// at most half of the present one. A router sends nothing to cold targets without contact, when its
// number of routers may be outdated, nor for kWarmupSettleTime after it regains contact or starts,
// when others may not count it yet and it does not know what its predecessor has sent. If a
// router's part is below one request per second, a hash of router and target decides whether the
// router may send one; the number of those that may exceeds the limit with a probability of at most
// kWarmupExcessProbability. Requests that were sent shortly before the target turned cold count.
// Services without a rate are not limited.
//
// A target is cold if its record or its answer to a health request says so. An answer can only add
// to what the record says, because health endpoints may report old values. Requests for the health
// of a target count as requests to it; all routers together send at most kHealthShare of the limit
// in a second.
//
// Not covered: requests between the moment at which a warm target turns cold and the arrival of its
// record or of its next answer to a health request.
#ifndef PERIDOTGAUGE_CORE_WARMUP_LIMIT_H_
#define PERIDOTGAUGE_CORE_WARMUP_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/records.h"
#include "core/settings.h"
#include "core/types.h"

namespace peridotgauge {

constexpr Duration kWarmupWindow = Seconds(1);
// The controllers report a longer warm-up time of a target only if the time at which it is warm is
// later by more than this. Otherwise every late heartbeat would be sent to all routers. Routers
// treat a target as cold for as much longer.
constexpr Duration kWarmupReportTolerance = Millis(250);
// Share of the limit that the routers plan to use.
constexpr double kWarmupShare = 0.5;
// Share of the limit that requests for the health of a target may use. Together with kWarmupShare
// it leaves a reserve.
constexpr double kHealthShare = 0.25;
// Interval at which a router asks for the health of one target, if the share allows it.
constexpr Duration kMinHealthInterval = Millis(500);
// A target whose connections are all in use is asked after this many intervals. A cold target may
// be slow, and its connections then are never free.
constexpr int kBusyHealthIntervals = 2;
// The length of a lease, within which every router in contact learns of one that has joined, and
// one window for what was sent before.
constexpr Duration kWarmupSettleTime = Seconds(3);
constexpr double kWarmupExcessProbability = 1e-6;

// Returns the number of requests per second that the routers plan to send to a cold target if they
// send at most one each, chosen at random; `limit` is the largest allowed number. At most
// kWarmupShare of it.
double PlannedSenders(double limit);

// The limit on requests of this router to a cold target.
struct WarmupStatus {
  Duration left{0};    // until the target is warm
  size_t allowed = 0;  // requests in a second; 0 without contact with the controllers
  size_t sent = 0;     // in the last second
  bool operator==(const WarmupStatus&) const = default;
};

class WarmupLimit {
 public:
  WarmupLimit(WarmupTolerance tolerance, std::string router)
      : tolerance(tolerance), router(std::move(router)) {}

  // Sets the services with a rate, in requests per second, above 0.
  void SetServices(const std::map<std::string, double>& rates);
  // Sets the number of routers that may send requests; at least 1.
  void SetRouters(size_t count) { this->routers = count; }
  void OnContact(Time now) { this->settled_at = now + kWarmupSettleTime; }
  void OnContactLost() { this->settled_at.reset(); }

  // Takes the warm-up time of a new or changed record, which begins now. Returns true if requests
  // to the target are limited from now on.
  bool OnRecord(Time now, const TargetRecord& record);
  // Takes the warm-up time that the target has stated now in answer to a health request; 0: it is
  // warm. Returns true if requests to the target are limited from now on and were not before.
  bool OnHealth(Time now, const TargetRecord& target, Duration warmup);
  // Returns true if the target should be asked for its health: its service has a rate, it is not
  // known to be cold, and this router has not asked it for the interval of health requests, or for
  // kBusyHealthIntervals of them without a free connection.
  bool ShouldAsk(Time now, const TargetRecord& target, bool connection_free) const;
  void OnAsk(Time now, const TargetRecord& target);
  void Remove(const std::string& target) { this->targets.erase(target); }

  // Returns true if no requests are limited, whatever their target.
  bool Empty() const { return this->services.empty(); }
  // Returns true if the target is cold and its service has a rate.
  bool IsLimited(Time now, const TargetRecord& target) const;
  // Returns true if a request may be sent to the target now.
  bool HasRoom(Time now, const TargetRecord& target) const;
  // Returns nothing if requests to the target are not limited.
  std::optional<WarmupStatus> StatusOf(Time now, const TargetRecord& target) const;
  void OnSend(Time now, const TargetRecord& target);

 private:
  struct Service {
    double limit = 0;    // requests per second from all routers together
    double senders = 0;  // PlannedSenders()
  };
  struct Target {
    Time cold_until;  // according to its record
    // According to its answer to a health request, of this incarnation.
    Time health_cold_until;
    uint64_t health_incarnation = 0;
    std::optional<Time> asked;  // when this router asked for its health last
    std::deque<Time> sent;      // the last requests within a window
  };
  // Returns the number of requests that this router may send to the target in a window.
  size_t PartOf(const Service& service, const TargetRecord& target) const;
  const Service* FindService(const TargetRecord& target) const;
  // Returns null if nothing is known of the target.
  const Target* FindTarget(const TargetRecord& target) const;
  // Returns the time at which the target is warm; in the past if it is.
  static Time ColdUntil(const Target& known, const TargetRecord& target);
  // Returns the interval at which this router asks a target of the service for its health.
  Duration HealthInterval(const Service& service) const;

  WarmupTolerance tolerance;
  std::string router;
  size_t routers = 1;
  std::optional<Time> settled_at;  // nothing without contact
  std::map<std::string, double> rates;
  std::map<std::string, Service> services;          // those of `rates`
  std::unordered_map<std::string, Target> targets;  // of services with a rate, by name
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_WARMUP_LIMIT_H_
