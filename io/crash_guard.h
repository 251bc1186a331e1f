// Keeps requests that crash targets from being sent again and again: reports crashes to the
// controllers, and sends suspect requests only in trials that the controllers grant.
//
// Use:
//   CrashGuard guard({io, control, metrics, log});
//   if (guard.Check(UnixMillis(), fingerprint).status == SuspectStatus::kClear) Send();
//   else if (!guard.RequestTrial(now, fingerprint, deadline, [](Result<uint64_t> trial) { ... }))
//   Refuse(); guard.OnLost(now, fingerprint, service, target);    // the connection was lost
//   without a reply guard.OnAnswered(now, fingerprint, service, sent);  // a target of the service
//   has answered guard.EndTrial(fingerprint, trial, {.answered = {"s"}, .lost = {}});
//   guard.OnControlChange(now, change);
//
// Contract: runs on the thread of the io_context. state/crash_table.h counts the crashes over all
// routers, core/crash_evidence.h says what a crash is. A request that this router knows to have
// crashed kCrashesToSuspect targets is suspect here at once, also while no controller can be
// reached. Nothing is sent to the controllers for a request that has crashed no target. All state
// kept here is bounded.
#ifndef PERIDOTGAUGE_IO_CRASH_GUARD_H_
#define PERIDOTGAUGE_IO_CRASH_GUARD_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/metrics.h"
#include "core/records.h"
#include "core/target_crash.h"
#include "core/types.h"
#include "io/control_client.h"
#include "io/event_log.h"

namespace peridotgauge {

enum class SuspectStatus : uint8_t {
  kClear,
  kSuspect,  // may be sent in a trial
  kBlocked,  // has had all its trials
};

struct Suspicion {
  SuspectStatus status = SuspectStatus::kClear;
  // The services whose targets the request has crashed.
  std::vector<std::string> services;
  // Time until a blocked request is forgotten.
  Duration blocked_for{0};
  bool operator==(const Suspicion&) const = default;
};

// How the run of a request in a trial has ended.
struct TrialRun {
  std::vector<std::string> answered;  // services whose targets have answered
  std::vector<TargetCrash> lost;      // targets to which the connection was lost, to be checked
  std::vector<TargetCrash> crashes;   // targets that need no check
  bool operator==(const TrialRun&) const = default;
};

struct CrashGuardContext {
  boost::asio::io_context& io;
  ControlClient& control;
  Metrics& metrics;
  EventLog& log;
};

// Returns the reason for which a suspect request is refused that got no trial, or got one too late.
ErrorCode RefusalOfSuspect(const Result<uint64_t>& trial);

class CrashGuard {
 public:
  // Receives the id of the trial, kSuspect if another trial is open, kQuarantined if the request is
  // blocked, or another error if no controller has answered in time.
  using TrialCallback = std::function<void(Result<uint64_t> trial)>;

  explicit CrashGuard(CrashGuardContext context);
  ~CrashGuard();
  CrashGuard(const CrashGuard&) = delete;
  CrashGuard& operator=(const CrashGuard&) = delete;

  // `now_ms` is Unix time.
  Suspicion Check(int64_t now_ms, uint64_t fingerprint) const;
  // Returns false, and does not call `done`, if this router is waiting for an answer for this
  // request or was refused a moment ago. `deadline` is that of the request.
  bool RequestTrial(Time now, uint64_t fingerprint, Time deadline, TrialCallback done);
  // Must be called once for each trial that was granted.
  void EndTrial(uint64_t fingerprint, uint64_t trial, TrialRun run);

  void OnLost(Time now, uint64_t fingerprint, const std::string& service,
              const TargetRecord& target);
  void OnAnswered(Time now, uint64_t fingerprint, const std::string& service, Time sent);
  // Reports a crash that needs no check. `done` is called when it is committed or has failed.
  void Report(Time now, uint64_t fingerprint, const TargetCrash& crash,
              std::function<void(bool committed)> done);

  void OnControlChange(Time now, const ControlChange& change);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CRASH_GUARD_H_
