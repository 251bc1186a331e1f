// Asks for each request whether it is admitted, and reports the rejections.
//
// Use:
//   OverloadGuard guard(budget, metrics, log, random);
//   if (const auto rejection = guard.Check(now, params)) Refuse(rejection->error, ...);
//   guard.Admission().OnAttempt(now, service, refused);   // from the running requests
//
// Contract: runs on the thread of the io_context. A rejected request has not been sent to any
// target. Requests in a trial are always admitted. core/overload.h makes the decision.
#ifndef PERIDOTGAUGE_IO_OVERLOAD_GUARD_H_
#define PERIDOTGAUGE_IO_OVERLOAD_GUARD_H_

#include <optional>
#include <random>

#include "core/error.h"
#include "core/hedge.h"
#include "core/metrics.h"
#include "core/overload.h"
#include "core/types.h"
#include "io/event_log.h"
#include "io/route_request.h"

namespace peridotgauge {

struct OverloadRejection {
  Error error;
  Duration retry_after{};
  bool operator==(const OverloadRejection&) const = default;
};

class OverloadGuard {
 public:
  // All outlive this object.
  OverloadGuard(const HedgeBudget& budget, Metrics& metrics, EventLog& log, std::mt19937_64& random)
      : admission(budget), metrics(metrics), log(log), random(random) {}

  // Returns nothing if the request is admitted.
  std::optional<OverloadRejection> Check(Time now, const RouteRequestParams& params);
  OverloadAdmission& Admission() { return this->admission; }

 private:
  OverloadAdmission admission;
  Metrics& metrics;
  EventLog& log;
  std::mt19937_64& random;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_OVERLOAD_GUARD_H_
