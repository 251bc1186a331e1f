// Connects the quotas of a router to the controllers.
#include "io/quota_gate.h"

#include <algorithm>
#include <utility>

#include "io/clock.h"
#include "io/random_seed.h"

namespace peridotgauge {

QuotaGate::QuotaGate(boost::asio::io_context& io, ControlClient& control, QuotaTolerance tolerance,
                     Metrics& metrics, EventLog& log)
    : control(control),
      metrics(metrics),
      log(log),
      quota(tolerance),
      timer(io),
      random(RandomSeed()) {}

void QuotaGate::Admit(Time now, const Workspace& workspace, Duration max_wait,
                      const HttpResponder& responder, Callback callback) {
  const QuotaVerdict verdict = this->quota.Admit(now, workspace, max_wait);
  if (verdict.result != QuotaResult::kWaiting) {
    const bool admitted = verdict.result == QuotaResult::kAdmitted;
    this->Finish(now, workspace.name, admitted ? std::nullopt : std::optional(verdict.retry),
                 callback);
  } else {
    this->waiting.emplace(verdict.ticket, Waiting{workspace.name, now, std::move(callback)});
    responder.OnDisconnect([weak = this->weak_from_this(), ticket = verdict.ticket] {
      const auto self = weak.lock();
      if (self && self->waiting.erase(ticket) > 0) self->quota.Withdraw(ticket);
    });
  }
  this->SendAskIfDue(now);
  this->SetTimer();
}

void QuotaGate::Finish(Time now, const std::string& workspace, std::optional<QuotaRetry> refusal,
                       const Callback& callback) {
  this->RequestsOf(workspace, !refusal).Add();
  if (!refusal) return callback(std::nullopt);
  const auto [last, added] = this->reported.try_emplace(workspace, now);
  if (added || now >= last->second + kQuotaEventInterval) {
    last->second = now;
    std::erase_if(this->reported,
                  [&](const auto& item) { return now >= item.second + kQuotaEventInterval; });
    this->log.Write(now, UnixMillis(),
                    Event("quota_used_up")
                        .Add("workspace", workspace)
                        .Add("routers", this->control.OfferedRouterCount())
                        .Add("synchronized", this->control.Synchronized(now))
                        .Add("waiting", this->quota.Waiting()));
  }
  const auto spread =
      std::uniform_int_distribution<Duration::rep>(0, refusal->spread.count())(this->random);
  callback(refusal->earliest + Duration(spread));
}

void QuotaGate::Apply(Time now, const std::vector<QuotaDecision>& decisions) {
  for (const QuotaDecision& decision : decisions) {
    const auto found = this->waiting.find(decision.ticket);
    if (found == this->waiting.end()) continue;
    const Waiting entry = std::move(found->second);
    this->waiting.erase(found);
    this->metrics.LatencyOf("peridotgauge_quota_wait_seconds").Add(now - entry.since);
    this->Finish(now, entry.workspace,
                 decision.admitted ? std::nullopt : std::optional(decision.retry), entry.callback);
  }
}

void QuotaGate::SendAskIfDue(Time now) {
  const auto ask = this->quota.NextAsk(now);
  if (!ask) return;
  this->control.AskForPermits(*ask, now + kAskTimeout,
                              [weak = this->weak_from_this()](const Result<QuotaGrants>& grants) {
                                if (const auto self = weak.lock()) self->OnReply(grants);
                              });
}

void QuotaGate::OnReply(const Result<QuotaGrants>& grants) {
  const Time now = SteadyNow();
  if (!grants) {
    this->metrics.CounterOf("peridotgauge_quota_asks_total", {{"result", "failed"}}).Add();
    this->Apply(now, this->quota.OnNoReply(now));
  } else {
    this->metrics.CounterOf("peridotgauge_quota_asks_total", {{"result", "answered"}}).Add();
    this->Apply(now, this->quota.OnGrants(now, *grants));
  }
  this->SendAskIfDue(now);
  this->UpdateMetrics();
  this->SetTimer();
}

void QuotaGate::SetTimer() {
  const Time next = this->quota.NextAction();
  if (next >= this->timer_due || next == Time::max()) return;
  this->timer_due = next;
  this->timer.expires_at(next);
  this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || !self) return;
    const Time now = SteadyNow();
    self->timer_due = Time::max();
    self->Apply(now, self->quota.Expire(now));
    self->SendAskIfDue(now);
    self->UpdateMetrics();
    self->SetTimer();
  });
}

void QuotaGate::OnControlChange(Time now, const ControlChange& change) {
  this->quota.SetRouters(now, this->control.OfferedRouterCount());
  if (change.lease_expired) {
    this->quota.OnLost(this->control.CurrentLease().End().value_or(now));
    this->Apply(now, this->quota.Expire(now));
  } else if (change.lease_acquired) {
    this->quota.OnRegained();
  }
}

void QuotaGate::UpdateMetrics() {
  const auto add = [&](const char* result, uint64_t total, uint64_t& counted) {
    this->metrics.CounterOf("peridotgauge_quota_permits_total", {{"result", result}})
        .Add(total - std::exchange(counted, total));
  };
  add("granted", this->quota.PermitsGranted(), this->permits_granted);
  add("expired", this->quota.PermitsExpired(), this->permits_expired);
  this->metrics.GaugeOf("peridotgauge_quota_waiting")
      .Set(static_cast<double>(this->quota.Waiting()));
}

Counter& QuotaGate::RequestsOf(const std::string& workspace, bool admitted) {
  if (this->labelled.size() < kMaxQuotaSeries) this->labelled.insert(workspace);
  const bool own = this->labelled.contains(workspace);
  return this->metrics.CounterOf(
      "peridotgauge_quota_requests_total",
      {{"workspace", own ? workspace : "other"}, {"result", admitted ? "admitted" : "refused"}});
}

}  // namespace peridotgauge
