// Reports are sent one at a time, each with all crashes that have been found meanwhile.
#include "io/crash_guard.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/crash_evidence.h"
#include "core/digest_text.h"
#include "core/quarantine.h"
#include "io/clock.h"
#include "io/random_seed.h"
#include "io/target_check.h"
#include "state/commands.h"
#include "state/crash_table.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// Timeout of one report. Failed reports are repeated after kReportRetryDelay.
constexpr Duration kReportTimeout = Seconds(1);
constexpr Duration kReportRetryDelay = Millis(200);
constexpr size_t kMaxCrashesPerReport = 64;
// Limit on the requests with crashes that this router has found and that are not on the list of the
// controllers.
constexpr size_t kMaxLocalSuspects = 1'000;
// A caller waits this long for a trial to be granted, which takes one round of the controllers.
constexpr Duration kTrialGrantTimeout = Millis(300);
// After a refusal, or a trial that has reached no target, this router waits so long before it asks
// for a trial of the same request again. Each trial is two entries in the log of the controllers.
constexpr Duration kTrialRetryDelay = Millis(100);
constexpr size_t kMaxTrialRequests = 1'000;
// A trial is kept open this long after the deadline of its request, for the check of lost targets
// and the command that ends it.
constexpr Duration kTrialEndMargin = Seconds(3);
constexpr Duration kTrialEndTimeout = Seconds(2);

wire::RecordCrashesT CrashCommand(const std::vector<LostAttempt>& crashes) {
  wire::RecordCrashesT command;
  for (const LostAttempt& lost : crashes) {
    auto entry = std::make_unique<wire::RequestCrashT>();
    entry->fingerprint = lost.fingerprint;
    entry->crash = ToWire(lost.crash);
    command.crashes.push_back(std::move(entry));
  }
  return command;
}

}  // namespace

class CrashGuard::Impl : public std::enable_shared_from_this<CrashGuard::Impl> {
 public:
  explicit Impl(CrashGuardContext context)
      : context(context), check_timer(context.io), report_timer(context.io), random(RandomSeed()) {}

  Suspicion Check(int64_t now_ms, uint64_t fingerprint) const {
    const auto listed = this->listed.find(fingerprint);
    if (listed != this->listed.end() && now_ms < listed->second.until_ms) {
      const QuarantineRecord& record = listed->second;
      return {.status = record.suspect ? SuspectStatus::kSuspect : SuspectStatus::kBlocked,
              .services = record.services,
              .blocked_for = Millis(record.until_ms - now_ms)};
    }
    const auto known = this->local.find(fingerprint);
    if (known == this->local.end() || known->second.size() < kCrashesToSuspect) return {};
    std::set<std::string> services;
    for (const TargetCrash& crash : known->second) services.insert(crash.service);
    return {.status = SuspectStatus::kSuspect, .services = {services.begin(), services.end()}};
  }

  // --- Trials ---

  bool RequestTrial(Time now, uint64_t fingerprint, Time deadline, TrialCallback done) {
    const auto asked = this->trial_requests.find(fingerprint);
    if (asked != this->trial_requests.end() && now < asked->second) return false;
    if (this->trial_requests.size() >= kMaxTrialRequests) {
      std::erase_if(this->trial_requests, [&](const auto& item) { return now >= item.second; });
      if (this->trial_requests.size() >= kMaxTrialRequests) return false;
    }
    const Time give_up = std::min(now + kTrialGrantTimeout, deadline);
    this->trial_requests[fingerprint] = Time::max();
    wire::BeginTrialT command;
    command.fingerprint = fingerprint;
    while (command.trial == 0) command.trial = this->random();
    command.hold_ms = WholeMillis(deadline - now + kTrialEndMargin);
    const auto known = this->local.find(fingerprint);
    if (known != this->local.end()) command.crashes = ToWire(known->second);
    const uint64_t trial = command.trial;
    this->context.control.Command(
        ToCommand(std::move(command)), give_up,
        [weak = this->weak_from_this(), fingerprint, trial,
         done = std::move(done)](const Result<wire::CommandReplyT>& reply) {
          const auto self = weak.lock();
          if (self) done(self->OnTrialReply(fingerprint, trial, reply));
        });
    return true;
  }

  Result<uint64_t> OnTrialReply(uint64_t fingerprint, uint64_t trial,
                                const Result<wire::CommandReplyT>& reply) {
    const Time now = SteadyNow();
    Result<uint64_t> granted = trial;
    if (!reply) {
      granted = tl::unexpected(reply.error());
      // The trial may have been granted without this router knowing.
      if (reply.error().code != ErrorCode::kUnavailable) this->SendEnd(fingerprint, trial, {}, {});
    } else if (reply->error >= 0) {
      granted = Fail(static_cast<ErrorCode>(reply->error), reply->detail);
    }
    if (granted) {
      this->trial_requests.erase(fingerprint);
      this->local.erase(fingerprint);
    } else {
      this->trial_requests[fingerprint] = now + kTrialRetryDelay;
    }
    this->Log(now, Event(granted ? "trial_granted" : "trial_refused")
                       .Add("fingerprint", DigestToHex(fingerprint))
                       .Add("trial", DigestToHex(trial))
                       .Add("error", granted ? "" : granted.error().ToString()));
    this->Count("peridotgauge_trials_total", granted ? "granted" : "refused");
    return granted;
  }

  void EndTrial(uint64_t fingerprint, uint64_t trial, TrialRun run) {
    if (run.lost.empty()) {
      if (run.answered.empty()) {
        this->trial_requests[fingerprint] = SteadyNow() + kTrialRetryDelay;
      }
      return this->SendEnd(fingerprint, trial, std::move(run.answered), run.crashes);
    }
    auto timer = std::make_shared<asio::steady_timer>(this->context.io, kCrashCheckDelay);
    timer->async_wait([weak = this->weak_from_this(), timer, fingerprint, trial,
                       run = std::move(run)](boost::system::error_code error) mutable {
      const auto self = weak.lock();
      if (self && !error) self->CheckTrial(fingerprint, trial, std::move(run));
    });
  }

  // Checks the targets that were lost in a trial, then ends it.
  void CheckTrial(uint64_t fingerprint, uint64_t trial, TrialRun run) {
    const std::vector<TargetCrash> unchecked = std::exchange(run.lost, {});
    auto open_checks = std::make_shared<size_t>(unchecked.size());
    auto checked_run = std::make_shared<TrialRun>(std::move(run));
    for (const TargetCrash& lost : unchecked) {
      this->CheckTarget({lost.target, lost.incarnation}, [this, checked_run, open_checks, lost,
                                                          fingerprint, trial](bool ended) {
        if (ended) checked_run->crashes.push_back(lost);
        if (--*open_checks > 0) return;
        this->SendEnd(fingerprint, trial, std::move(checked_run->answered), checked_run->crashes);
      });
    }
  }

  void SendEnd(uint64_t fingerprint, uint64_t trial, std::vector<std::string> answered,
               const std::vector<TargetCrash>& crashes) {
    this->Log(SteadyNow(), Event("trial_ended")
                               .Add("fingerprint", DigestToHex(fingerprint))
                               .Add("trial", DigestToHex(trial))
                               .Add("answered", answered.size())
                               .Add("crashes", crashes.size()));
    wire::EndTrialT command;
    command.fingerprint = fingerprint;
    command.trial = trial;
    command.answered = std::move(answered);
    command.crashes = ToWire(crashes);
    this->context.control.Command(
        ToCommand(std::move(command)), SteadyNow() + kTrialEndTimeout,
        [weak = this->weak_from_this(), trial](const Result<wire::CommandReplyT>& reply) {
          const auto self = weak.lock();
          if (!self || (reply && reply->error < 0)) return;
          // The trial then counts as a crash.
          self->Log(SteadyNow(), Event("trial_end_failed").Add("trial", DigestToHex(trial)));
        });
  }

  // --- Lost attempts ---

  void OnLost(Time now, uint64_t fingerprint, const std::string& service,
              const TargetRecord& target) {
    const TargetRecord* known = this->context.control.Directory().Find(target.target);
    const bool leaving = known == nullptr || known->incarnation != target.incarnation ||
                         known->state == TargetState::kDraining;
    if (leaving) return;
    this->evidence.OnLost(
        now, fingerprint,
        {.service = service, .target = target.target, .incarnation = target.incarnation});
    this->addresses[{target.target, target.incarnation}] = target.address;
    this->ArmCheckTimer();
  }

  void OnAnswered(uint64_t fingerprint, const std::string& service, Time sent) {
    if (this->evidence.Size() > 0) this->evidence.OnAnswered(fingerprint, service, sent);
    const auto known = this->local.find(fingerprint);
    if (known == this->local.end()) return;
    const bool erased = std::erase_if(known->second, [&](const TargetCrash& crash) {
                          return crash.service == service;
                        }) > 0;
    if (known->second.empty()) this->local.erase(known);
    if (erased) this->SendEnd(fingerprint, /*trial=*/0, {service}, {});
  }

  void ArmCheckTimer() {
    const auto next = this->evidence.NextCheck();
    if (!next || this->check_pending) return;
    this->check_pending = true;
    this->check_timer.expires_at(*next);
    this->check_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (!self || error) return;
      self->check_pending = false;
      self->CheckLostTargets(SteadyNow());
    });
  }

  void CheckLostTargets(Time now) {
    this->evidence.Expire(now);
    for (const TargetId& target : this->evidence.TakeTargetsToCheck(now)) {
      this->CheckTarget(target, [this, target](bool ended) {
        this->evidence.OnChecked(target, ended);
        this->TakeCrashes(SteadyNow());
      });
    }
    this->ArmCheckTimer();
  }

  // Finds out whether the incarnation has ended. The callback may be called from inside.
  void CheckTarget(const TargetId& target, std::function<void(bool ended)> done) {
    const TargetRecord* known = this->context.control.Directory().Find(target.target);
    if (known == nullptr || known->incarnation != target.incarnation) return done(true);
    CheckAccepts(this->context.io, known->address,
                 [weak = this->weak_from_this(), target, done = std::move(done)](bool accepts) {
                   const auto self = weak.lock();
                   if (!self) return;
                   self->Log(SteadyNow(), Event("target_checked")
                                              .Add("target", target.target)
                                              .Add("incarnation", target.incarnation)
                                              .Add("accepts", accepts));
                   done(!accepts);
                 });
  }

  // Looks for targets whose place another incarnation has taken, or that leave.
  void CompareWithDirectory(Time now) {
    if (this->evidence.Size() == 0) {
      this->addresses.clear();
      return;
    }
    const auto& targets = this->context.control.Directory().Targets();
    std::map<Address, TargetId> by_address;
    for (const auto& [name, record] : targets) {
      by_address.insert_or_assign(record.address, TargetId{name, record.incarnation});
    }
    for (const TargetId& lost : this->evidence.Targets()) {
      const auto known = targets.find(lost.target);
      const bool same = known != targets.end() && known->second.incarnation == lost.incarnation;
      if (same && known->second.state == TargetState::kDraining) this->evidence.OnLeaving(lost);
      const auto successor = by_address.find(this->addresses[lost]);
      const bool replaced = successor != by_address.end() && successor->second != lost;
      const bool restarted = known != targets.end() && !same;
      if (replaced || restarted) this->evidence.OnChecked(lost, /*ended=*/true);
    }
    this->TakeCrashes(now);
  }

  // --- Reports ---

  void TakeCrashes(Time now) {
    for (LostAttempt& lost : this->evidence.TakeCrashes()) {
      this->AddCrash(now, lost.fingerprint, std::move(lost.crash));
    }
    this->SendReport(now);
  }

  void AddCrash(Time now, uint64_t fingerprint, TargetCrash crash) {
    this->Log(now, Event("target_crashed")
                       .Add("fingerprint", DigestToHex(fingerprint))
                       .Add("target", crash.target)
                       .Add("incarnation", crash.incarnation)
                       .Add("service", crash.service));
    this->context.metrics.CounterOf("peridotgauge_target_crashes_total").Add();
    if (!this->listed.contains(fingerprint)) this->AddLocal(fingerprint, crash);
    if (this->unreported.size() >= kMaxLostAttempts) {
      this->unreported.erase(this->unreported.begin());
    }
    this->unreported.push_back({fingerprint, std::move(crash)});
  }

  void AddLocal(uint64_t fingerprint, const TargetCrash& crash) {
    if (!this->local.contains(fingerprint) && this->local.size() >= kMaxLocalSuspects) {
      this->local.erase(this->local.begin());
    }
    std::vector<TargetCrash>& crashes = this->local[fingerprint];
    const bool known = std::find(crashes.begin(), crashes.end(), crash) != crashes.end();
    if (!known && crashes.size() < kMaxCrashesPerSuspect) crashes.push_back(crash);
  }

  void SendReport(Time now) {
    if (this->reporting || this->unreported.empty()) return;
    this->reporting = true;
    const size_t count = std::min(this->unreported.size(), kMaxCrashesPerReport);
    std::vector<LostAttempt> sent(this->unreported.begin(),
                                  this->unreported.begin() + static_cast<ptrdiff_t>(count));
    wire::CommandBodyUnion command = ToCommand(CrashCommand(sent));
    this->context.control.Command(std::move(command), now + kReportTimeout,
                                  [weak = this->weak_from_this(), sent = std::move(sent)](
                                      const Result<wire::CommandReplyT>& reply) {
                                    const auto self = weak.lock();
                                    if (self) self->OnReported(sent, reply && reply->error < 0);
                                  });
  }

  void OnReported(const std::vector<LostAttempt>& sent, bool committed) {
    const Time now = SteadyNow();
    this->reporting = false;
    this->Log(now,
              Event("crashes_reported").Add("crashes", sent.size()).Add("committed", committed));
    if (committed) {
      std::erase_if(this->unreported, [&](const LostAttempt& lost) {
        return std::find(sent.begin(), sent.end(), lost) != sent.end();
      });
      return this->SendReport(now);
    }
    this->report_timer.expires_after(kReportRetryDelay);
    this->report_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (self && !error) self->SendReport(SteadyNow());
    });
  }

  void Report(Time now, uint64_t fingerprint, const TargetCrash& crash,
              std::function<void(bool committed)> done) {
    if (!this->listed.contains(fingerprint)) this->AddLocal(fingerprint, crash);
    this->context.control.Command(
        ToCommand(CrashCommand({{fingerprint, crash}})), now + kTrialEndTimeout,
        [weak = this->weak_from_this(), fingerprint, crash,
         done = std::move(done)](const Result<wire::CommandReplyT>& reply) {
          const bool committed = reply && reply->error < 0;
          const auto self = weak.lock();
          if (self && !committed) {
            self->AddCrash(SteadyNow(), fingerprint, crash);
            self->SendReport(SteadyNow());
          }
          done(committed);
        });
  }

  void OnControlChange(Time now, const ControlChange& change) {
    if (change.quarantine) this->OnList(now);
    if (change.directory) this->CompareWithDirectory(now);
  }

  void OnList(Time now) {
    this->listed.clear();
    size_t blocked = 0;
    for (const QuarantineRecord& record : this->context.control.QuarantineList()) {
      const auto [known, added] = this->listed.try_emplace(record.fingerprint, record);
      // A request that routers have blocked themselves stays blocked.
      if (!added && !record.suspect) known->second = record;
      this->local.erase(record.fingerprint);
      if (!record.suspect) ++blocked;
    }
    this->context.metrics.GaugeOf("peridotgauge_suspect_requests")
        .Set(static_cast<double>(this->listed.size()));
    this->Log(now, Event("suspects").Add("requests", this->listed.size()).Add("blocked", blocked));
  }

 private:
  void Count(std::string_view name, const std::string& result) {
    this->context.metrics.CounterOf(name, {{"result", result}}).Add();
  }
  void Log(Time now, const Event& event) { this->context.log.Write(now, UnixMillis(), event); }

  CrashGuardContext context;
  CrashEvidence evidence;
  std::map<TargetId, Address> addresses;                  // of targets in `evidence`
  std::unordered_map<uint64_t, QuarantineRecord> listed;  // by fingerprint
  // Crashes that this router has found of requests that are not in `listed`, by fingerprint.
  std::unordered_map<uint64_t, std::vector<TargetCrash>> local;
  std::vector<LostAttempt> unreported;  // crashes without a committed report, oldest first
  // When this router may ask for a trial of a request again; Time::max() while it waits for an
  // answer.
  std::unordered_map<uint64_t, Time> trial_requests;
  asio::steady_timer check_timer;
  asio::steady_timer report_timer;
  bool check_pending = false;  // `check_timer` runs
  bool reporting = false;      // a report is in flight
  std::mt19937_64 random;
};

ErrorCode RefusalOfSuspect(const Result<uint64_t>& trial) {
  const bool blocked = !trial && trial.error().code == ErrorCode::kQuarantined;
  return blocked ? ErrorCode::kQuarantined : ErrorCode::kSuspect;
}

CrashGuard::CrashGuard(CrashGuardContext context) : impl(std::make_shared<Impl>(context)) {}
CrashGuard::~CrashGuard() = default;

Suspicion CrashGuard::Check(int64_t now_ms, uint64_t fingerprint) const {
  return this->impl->Check(now_ms, fingerprint);
}
bool CrashGuard::RequestTrial(Time now, uint64_t fingerprint, Time deadline, TrialCallback done) {
  return this->impl->RequestTrial(now, fingerprint, deadline, std::move(done));
}
void CrashGuard::EndTrial(uint64_t fingerprint, uint64_t trial, TrialRun run) {
  this->impl->EndTrial(fingerprint, trial, std::move(run));
}
void CrashGuard::OnLost(Time now, uint64_t fingerprint, const std::string& service,
                        const TargetRecord& target) {
  this->impl->OnLost(now, fingerprint, service, target);
}
void CrashGuard::OnAnswered(Time /*now*/, uint64_t fingerprint, const std::string& service,
                            Time sent) {
  this->impl->OnAnswered(fingerprint, service, sent);
}
void CrashGuard::Report(Time now, uint64_t fingerprint, const TargetCrash& crash,
                        std::function<void(bool committed)> done) {
  this->impl->Report(now, fingerprint, crash, std::move(done));
}
void CrashGuard::OnControlChange(Time now, const ControlChange& change) {
  this->impl->OnControlChange(now, change);
}

}  // namespace peridotgauge
