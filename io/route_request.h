// Runs one caller's request on a route: sends it to one or more targets and builds the response.
//
// Use:
//   auto run = RouteRequest::Start(context, params, [responder](HttpResponse r) { ... });
//   responder.OnDisconnect([weak] { if (auto run = weak.lock()) run->Abort(); });
//
// Contract: runs on the thread of the io_context. `done` is called exactly once unless Abort() is
// called first. The state machine of search.h makes the decisions: a request for one target is a
// search of one shard.
#ifndef PERIDOTGAUGE_IO_ROUTE_REQUEST_H_
#define PERIDOTGAUGE_IO_ROUTE_REQUEST_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/hedge.h"
#include "core/http_message.h"
#include "core/metrics.h"
#include "core/overload.h"
#include "core/plan.h"
#include "core/quantile_window.h"
#include "core/replica_choice.h"
#include "core/route_codec.h"
#include "core/routes.h"
#include "core/target_signals.h"
#include "core/types.h"
#include "core/warmup_limit.h"
#include "io/crash_guard.h"
#include "io/event_log.h"
#include "io/target_pool.h"

namespace peridotgauge {

// Computes the hedge delay of one route, and takes hedges and retries from the budget that all
// routes share.
class RouteHedgeBudget : public ExtraAttemptBudget {
 public:
  // `shared` outlives this object and keeps one budget for each service.
  explicit RouteHedgeBudget(HedgeBudget& shared) : shared(shared) {}

  // Records the latency of one attempt that was answered or cancelled.
  void AddLatency(Time now, Duration latency) { this->latency.Add(now, latency); }

  // Returns the median latency of the attempts, or nothing if too few are known.
  std::optional<Duration> TypicalLatency(Time now);
  // Returns a high quantile of the latency of the attempts, or nothing if too few are known.
  std::optional<Duration> SlowLatency(Time now);
  std::optional<Duration> HedgeDelay(Time now, std::string_view service) override;
  void CountNeeded(Time now, std::string_view service, uint32_t count) override {
    this->shared.CountNeeded(now, service, count);
  }
  bool Spend(Time now, std::string_view service, ExtraAttemptKind kind) override {
    return this->shared.Spend(now, service, kind);
  }

 private:
  // Computes the quantiles again if they are older than kHedgeDelayRefreshInterval.
  void Refresh(Time now);

  HedgeBudget& shared;
  QuantileWindow latency{kHedgeWindow, kHedgeMinSamples};
  std::optional<Duration> median;
  std::optional<Duration> slow;
  std::optional<Time> computed;
};

// Objects that the requests of one router share. All of them outlive the requests.
struct RouteContext {
  boost::asio::io_context& io;
  const RouteCodec& codec;
  TargetPool& pool;
  ReplicaChoice& replica_choice;
  TargetSignals& signals;
  HedgeBudget& budget;
  std::map<RouteId, RouteHedgeBudget>& hedge_budgets;
  Metrics& metrics;
  EventLog& log;
  std::mt19937_64& random;
  CrashGuard& crash_guard;
  WarmupLimit& warmup;
  OverloadAdmission& overload;
  bool overload_admission = false;  // `overload` decides on retries
  // Called after hedges or retries were sent.
  std::function<void(Time now)> on_extra_attempts = [](Time) {};
  // Called after a request was sent to a target.
  std::function<void(Time now, const TargetRecord& target)> on_sent = [](Time,
                                                                         const TargetRecord&) {};
};

struct RouteRequestParams {
  HttpRequest http;
  CallerRequestInfo request_info;
  std::shared_ptr<const Route> route;  // kept alive with its configuration
  std::string workspace = {};          // of the caller; empty if there is none
  uint32_t priority = 0;               // of the workspace or the route; 0 is the most urgent
  std::shared_ptr<const Plan> plan;
  uint64_t directory_version = 0;  // for the log
  uint64_t fingerprint = 0;        // RouteFingerprint() of `http`
  // The trial in which the request is sent, or 0. It is first sent to one target, without hedges
  // and retries, and to the other shards once that target has answered.
  uint64_t trial = 0;
  std::vector<std::string> excluded_services;  // not sent to, see SearchParams
  Time arrived;
  Duration caller_wait{0};  // how long the caller had waited before the arrival, see caller_wait.h
  Time deadline;
};

// Returns what the decision under overload is asked about a request.
AdmissionQuery QueryOf(const RouteRequestParams& params);

class RouteRequest {
 public:
  using Callback = std::function<void(HttpResponse)>;
  virtual ~RouteRequest() = default;
  static std::shared_ptr<RouteRequest> Start(RouteContext& context, RouteRequestParams params,
                                             Callback done);
  // Answers now, as if the deadline had passed. Does nothing if the request has ended.
  virtual void Expire() = 0;
  // Cancels all attempts, for example because the caller has disconnected. `done` is not called.
  // The attempts of a trial go on until they end.
  virtual void Abort() = 0;
};

// Returns the delay after which a caller may send a request again that was not executed. It is
// random, so that refused callers do not return at the same time.
Duration RandomRetryDelay(std::mt19937_64& random);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_ROUTE_REQUEST_H_
