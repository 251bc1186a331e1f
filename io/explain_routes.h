// Collects the explanation of a request on a route from the objects that decide in a router.
//
// Use:
//   responder.Send(RespondToExplain(SteadyNow(), UnixMillis(), http_request, {...}));
//
// Contract: nothing is sent, counted, logged or changed, except that plans are cached. Choices that
// depend on random numbers and counters are made by copies, so that the explained choice is the one
// that the next request would get, if it arrived at the same moment. The answer has status 200 for
// every well-formed request, and contains no key. The request is taken to have no body, on which
// the suspicion of crashing targets depends.
#ifndef PERIDOTGAUGE_IO_EXPLAIN_ROUTES_H_
#define PERIDOTGAUGE_IO_EXPLAIN_ROUTES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/config.h"
#include "core/extra_attempt_limit.h"
#include "core/http_message.h"
#include "core/overload.h"
#include "core/records.h"
#include "core/replica_choice.h"
#include "core/route_codec.h"
#include "core/route_plan.h"
#include "core/routes.h"
#include "core/target_signals.h"
#include "core/types.h"
#include "core/warmup_limit.h"
#include "io/control_client.h"
#include "io/crash_guard.h"
#include "io/quota_gate.h"
#include "io/route_request.h"
#include "io/target_pool.h"

namespace peridotgauge {

// What decides about requests in one router.
struct RouteExplainContext {
  const RouterRecord& self;
  const ControlClient& control;
  const RouteCodec& codec;
  std::shared_ptr<const Config> config;
  RoutePlanner& plans;
  const std::map<std::string, TargetRecord>& targets;  // of the directory, in any state
  const ReplicaChoice& replica_choice;
  const TargetSignals& signals;
  const WarmupLimit& warmup;
  const TargetPool& pool;
  const QuotaGate& quota;
  const OverloadAdmission& overload;
  bool overload_admission = false;  // `overload` is asked
  const CrashGuard& crash_guard;
  const ExtraAttemptLimit& extra_limit;
  const std::map<RouteId, RouteHedgeBudget>& hedge_budgets;
  const SplitCounter& split;
  std::optional<Time> answer_by;  // set while the router drains
};

// Answers POST /v1/explain. `now_ms` is Unix time.
HttpResponse RespondToExplain(Time now, int64_t now_ms, const HttpRequest& http,
                              const RouteExplainContext& context);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_EXPLAIN_ROUTES_H_
