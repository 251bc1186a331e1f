#include "io/target_health.h"

#include <optional>

#include "io/clock.h"

namespace peridotgauge {

void TargetHealth::OnSend(Time now, const TargetRecord& target) {
  const auto path = this->paths.find(target.service);
  if (path == this->paths.end()) return;
  // A health request that waits for a connection delays those of callers.
  const bool connection_free = this->context.pool.HasFreeConnection(target);
  if (!this->context.warmup.ShouldAsk(now, target, connection_free)) return;
  this->context.warmup.OnAsk(now, target);
  this->context.pool.ClientFor(target).Send(
      {.request = this->context.codec.BuildHealthRequest(path->second, target, kHealthTimeout),
       .deadline = now + kHealthTimeout,
       .done = [this, target](const HttpResult& result) { this->OnResult(target, result); },
       .released = {},
       .echo = nullptr,
       .identifying_header = {},
       .close_after = true,
       .before_sending = {},
       .idempotent = true});
}

void TargetHealth::OnResult(const TargetRecord& target, const HttpResult& result) {
  if (!result) return;
  const std::optional<Duration> warmup = this->context.codec.ParseHealthResponse(*result);
  const Time now = SteadyNow();
  if (!warmup || !this->context.warmup.OnHealth(now, target, *warmup)) return;
  this->context.pool.FailWaiting(target, "the target is cold");
  this->context.log.Write(now, UnixMillis(),
                          Event("target_cold")
                              .Add("target", target.target)
                              .Add("incarnation", target.incarnation)
                              .Add("warmup_ms", *warmup)
                              .Add("source", "health"));
}

}  // namespace peridotgauge
