// Log lines and metrics of rejected requests.
#include "io/overload_guard.h"

#include <string>

#include "io/clock.h"

namespace peridotgauge {

std::optional<OverloadRejection> OverloadGuard::Check(Time now, const RouteRequestParams& params) {
  if (params.trial != 0) return std::nullopt;
  const AdmissionVerdict verdict = this->admission.Admit(now, QueryOf(params));
  if (verdict.Admitted()) return std::nullopt;
  const std::string reason(NameOf(verdict.reason));
  const std::string& route = params.route->name;
  this->metrics
      .CounterOf("peridotgauge_overload_rejected_total", {{"route", route}, {"reason", reason}})
      .Add();
  this->metrics
      .CounterOf("peridotgauge_requests_total",
                 {{"route", route}, {"result", std::string(InfoOf(ErrorCode::kOverloaded).name)}})
      .Add();
  const Duration retry_after = verdict.RetryAfter(this->random);
  this->log.Write(now, UnixMillis(),
                  Event("overload_rejected")
                      .Add("request", params.request_info.request_id)
                      .Add("route", route)
                      .Add("workspace", params.workspace)
                      .Add("priority", params.priority)
                      .Add("reason", reason)
                      .Add("refused_share", verdict.refused_share)
                      .Add("chance", verdict.chance)
                      .Add("retries_left", verdict.retries_left)
                      .Add("shed_share", verdict.shed_share)
                      .Add("latency_ms", verdict.latency.value_or(Duration(0)))
                      .Add("allowed_ms", params.deadline - now)
                      .Add("retry_after_ms", retry_after));
  return OverloadRejection{{ErrorCode::kOverloaded, "rejected because of " + reason}, retry_after};
}

}  // namespace peridotgauge
