// One caller's request on a route: sends it to targets and answers.
//
// Use:
//   auto run = RouteRequest::Start(context, params, [responder](HttpResponse r) { ... });
//   responder.OnDisconnect([weak] { if (auto run = weak.lock()) run->Abort(); });
//
// Contract: runs on the thread of the io_context. `done` is called exactly once unless Abort()
// comes first. The decisions are those of search.h: a request for one target is a search of one
// shard.
#ifndef PERIDOTGAUGE_IO_ROUTE_REQUEST_H_
#define PERIDOTGAUGE_IO_ROUTE_REQUEST_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "core/hedge.h"
#include "core/http_message.h"
#include "core/metrics.h"
#include "core/plan.h"
#include "core/quantile_window.h"
#include "core/replica_choice.h"
#include "core/route_codec.h"
#include "core/routes.h"
#include "core/types.h"
#include "io/event_log.h"
#include "io/target_pool.h"

namespace peridotgauge {

// The hedge delay of one route, and the budgets that all routes share.
class RouteHedgeBudget : public ExtraBudget {
 public:
  // `shared` outlives this object and counts by service.
  explicit RouteHedgeBudget(HedgeBudget& shared) : shared(shared) {}

  // Notes the latency of one attempt that was answered or cancelled.
  void AddLatency(Time now, Duration latency) { this->latency.Add(now, latency); }

  // Median of the attempts, if enough are known.
  std::optional<Duration> TypicalLatency(Time now);
  std::optional<Duration> HedgeDelay(Time now, std::string_view service) override;
  void CountNeeded(Time now, std::string_view service, uint32_t count) override {
    this->shared.CountNeeded(now, service, count);
  }
  bool Spend(Time now, std::string_view service, ExtraKind kind) override {
    return this->shared.Spend(now, service, kind);
  }

 private:
  void Refresh(Time now);

  HedgeBudget& shared;
  QuantileWindow latency{kHedgeWindow, kHedgeMinSamples};
  std::optional<Duration> median;
  std::optional<Duration> delay;
  std::optional<Time> computed;
};

// What the requests of one router share. Everything outlives them.
struct RouteContext {
  boost::asio::io_context& io;
  const RouteCodec& codec;
  TargetPool& pool;
  ReplicaChoice& replicas;
  HedgeBudget& budget;
  std::map<std::string, RouteHedgeBudget>& hedge_budgets;  // by route name
  Metrics& metrics;
  EventLog& log;
  std::mt19937_64& random;
};

struct RouteRequestParams {
  HttpRequest http;
  CallerTerms terms;
  std::shared_ptr<const Route> route;  // kept alive with its configuration
  std::shared_ptr<const Plan> plan;
  uint64_t directory_version = 0;  // for the log
  Time arrived;
  Duration spent{0};  // that the caller had waited before, see patience.h
  Time deadline;
};

class RouteRequest {
 public:
  using Callback = std::function<void(HttpResponse)>;
  virtual ~RouteRequest() = default;
  static std::shared_ptr<RouteRequest> Start(RouteContext& context, RouteRequestParams params,
                                             Callback done);
  // The caller is gone: cancels everything and does not call back.
  virtual void Abort() = 0;
};

// When a caller whose request was not executed should come back: soon, and not all at once.
Duration RandomRetryDelay(std::mt19937_64& random);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_ROUTE_REQUEST_H_
