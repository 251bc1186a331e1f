// Checks requests of workspaces with a quota at a router: runs core/workspace_quota.h with a timer,
// the connection to the controllers, metrics and events.
//
// Use:
//   auto gate = std::make_shared<QuotaGate>(io, control, settings.quota, metrics, log);
//   gate->Admit(now, workspace, max_wait, responder, [](std::optional<Duration> retry_after) {
//     retry_after ? Refuse(*retry_after) : Run();
//   });
//   gate->OnControlChange(now, change);
//
// Contract: runs on the thread of the io_context. A callback is called at most once, maybe from
// inside Admit(), and not after the caller has disconnected or the gate has been destroyed. The
// number of series is bounded: workspaces after the first kMaxQuotaSeries share one.
#ifndef PERIDOTGAUGE_IO_QUOTA_GATE_H_
#define PERIDOTGAUGE_IO_QUOTA_GATE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/settings.h"
#include "core/types.h"
#include "core/workspace_quota.h"
#include "core/workspaces.h"
#include "io/control_client.h"
#include "io/event_log.h"
#include "io/http_server.h"

namespace peridotgauge {

constexpr size_t kMaxQuotaSeries = 100;
// Timeout of a request for permits. Below kPermitLifetime, after which permits would have expired.
constexpr Duration kAskTimeout = Millis(300);
// Interval between events about the same workspace.
constexpr Duration kQuotaEventInterval = Seconds(5);

class QuotaGate : public std::enable_shared_from_this<QuotaGate> {
 public:
  // Receives nothing if the request is admitted, otherwise when the caller may send it again.
  using Callback = std::function<void(std::optional<Duration> retry_after)>;

  // All references outlive the gate.
  QuotaGate(boost::asio::io_context& io, ControlClient& control, QuotaTolerance tolerance,
            Metrics& metrics, EventLog& log);

  void Admit(Time now, const Workspace& workspace, Duration max_wait,
             const HttpResponder& responder, Callback callback);
  void OnControlChange(Time now, const ControlChange& change);
  QuotaPreview Preview(Time now, const Workspace& workspace, Duration max_wait) const {
    return this->quota.Preview(now, workspace, max_wait);
  }

 private:
  struct Waiting {
    std::string workspace;
    Time since;
    Callback callback;
  };

  void Finish(Time now, const std::string& workspace, std::optional<QuotaRetry> refusal,
              const Callback& callback);
  void Apply(Time now, const std::vector<QuotaDecision>& decisions);
  void SendAskIfDue(Time now);
  void OnReply(const Result<QuotaGrants>& grants);
  void SetTimer();
  void UpdateMetrics();
  Counter& RequestsOf(const std::string& workspace, bool admitted);

  ControlClient& control;
  Metrics& metrics;
  EventLog& log;
  WorkspaceQuota quota;
  boost::asio::steady_timer timer;
  Time timer_due = Time::max();
  std::map<uint64_t, Waiting> waiting;   // by ticket
  std::set<std::string> labelled;        // workspaces with series of their own
  std::map<std::string, Time> reported;  // by workspace: the last event
  uint64_t permits_granted = 0;          // in the metrics
  uint64_t permits_expired = 0;
  std::mt19937_64 random;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_QUOTA_GATE_H_
