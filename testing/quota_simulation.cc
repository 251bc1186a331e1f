// Simulated routers and controllers that keep request quotas.
#include "testing/quota_simulation.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {
namespace {

constexpr Duration kSyncInterval = Millis(500);
constexpr Duration kTick = Millis(100);
constexpr Duration kAskTimeLimit = Millis(300);

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

QuotaSimulation::QuotaSimulation(QuotaSimulationOptions options, uint64_t seed)
    : options(options), random(seed) {
  for (size_t i = 0; i < options.controllers; ++i) {
    this->controllers.push_back({.table = QuotaTable(options.tolerance)});
  }
  this->configs.emplace_back();
  this->ChangeLeader(Duration(0));
  for (size_t i = 0; i < options.routers; ++i) this->AddRouter();
  this->Tick();
}

Duration QuotaSimulation::Delay() {
  if (std::bernoulli_distribution(this->options.slow_share)(this->random)) {
    return this->options.slow_delay;
  }
  return Duration(std::uniform_int_distribution<Duration::rep>(
      this->options.min_delay.count(), this->options.max_delay.count())(this->random));
}

void QuotaSimulation::Run(Duration time) {
  const Time end = this->now + time;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto next = this->events.extract(this->events.begin());
    this->now = std::max(this->now, next.key());
    next.mapped()();
  }
  this->now = end;
}

void QuotaSimulation::SetWorkspaces(const std::vector<Workspace>& workspaces) {
  this->configs.push_back(*WorkspaceTable::Make(workspaces));
}

void QuotaSimulation::Load(const std::string& workspace, double per_second, RouterChoice choice) {
  const uint64_t number = ++this->last_load;
  this->loads[workspace] = {number, per_second, std::move(choice)};
  if (per_second <= 0) return;
  const double wait = std::exponential_distribution<double>(per_second)(this->random);
  this->At(this->now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
           [this, workspace, number] { this->Arrive(workspace, number); });
}

void QuotaSimulation::Arrive(std::string workspace, uint64_t load) {
  const LoadOf& current = this->loads[workspace];
  if (current.number != load) return;
  this->Request(workspace, current.choice());
  const double wait = std::exponential_distribution<double>(current.per_second)(this->random);
  this->At(this->now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
           [this, workspace = std::move(workspace), load] { this->Arrive(workspace, load); });
}

void QuotaSimulation::Burst(const std::string& workspace, size_t count, size_t router) {
  for (size_t i = 0; i < count; ++i) this->Request(workspace, router);
}

void QuotaSimulation::Request(const std::string& workspace, size_t number) {
  Router& router = *this->routers[number];
  const Workspace* known = this->configs[router.config].Find(workspace);
  if (known == nullptr) return;  // the router has no configuration yet, and runs nothing
  Counts& count = this->counts[workspace];
  ++count.sent;
  if (!known->quota.Limited()) return;
  const QuotaVerdict verdict = router.quota->Admit(this->now, *known, this->options.max_wait);
  switch (verdict.result) {
    case QuotaResult::kAdmitted:
      ++count.admitted;
      this->admitted[workspace].push_back(this->now);
      break;
    case QuotaResult::kRefused:
      ++count.refused;
      break;
    case QuotaResult::kWaiting:
      ++count.waited;
      router.waiting.emplace(verdict.ticket, std::pair(workspace, this->now));
      break;
  }
  this->Poll(number);
}

void QuotaSimulation::Decide(Router& router, const std::vector<QuotaDecision>& decisions) {
  for (const QuotaDecision& decision : decisions) {
    const auto [workspace, since] = router.waiting.extract(decision.ticket).mapped();
    Counts& count = this->counts[workspace];
    count.longest_wait = std::max<Duration>(count.longest_wait, this->now - since);
    count.total_wait += this->now - since;
    if (!decision.admitted) {
      ++count.refused;
      continue;
    }
    ++count.admitted;
    this->admitted[workspace].push_back(this->now);
  }
}

void QuotaSimulation::Poll(size_t number) {
  Router& router = *this->routers[number];
  if (const auto ask = router.quota->NextAsk(this->now)) this->Ask(number, *ask);
  const Time next = std::max(router.quota->NextAction(), this->now + Duration(1));
  if (next >= router.timer) return;
  router.timer = next;
  this->At(next, [this, number, incarnation = router.id.incarnation] {
    Router& same = *this->routers[number];
    if (same.id.incarnation != incarnation) return;
    same.timer = Time::max();
    this->Decide(same, same.quota->Expire(this->now));
    this->Poll(number);
  });
}

void QuotaSimulation::Ask(size_t number, const QuotaAsk& ask) {
  Router& router = *this->routers[number];
  ++this->asks;
  router.ask = ask.sequence;
  const RouterId id = router.id;
  this->At(this->now + kAskTimeLimit, [this, number, id, sequence = ask.sequence] {
    this->Reply(number, id, sequence, std::nullopt);
  });
  if (!router.connected) return;
  this->At(this->now + this->Delay(), [this, number, id, ask] {
    if (!this->leader) return;
    const Time arrived = this->now;
    // The quorum round, and the reply.
    this->At(this->now + this->Delay(), [this, number, id, ask, arrived, term = this->term] {
      if (!this->leader || this->term != term) return;
      this->UpdateTable(arrived, this->Leader());
      QuotaGrants grants = this->Leader().table.Grant(arrived, id, ask);
      grants.own_share = this->Leader().contacts.AssignShare(this->now, id.id, ask.own_share);
      this->At(this->now + this->Delay(), [this, number, id, ask, grants] {
        if (this->routers[number]->connected) this->Reply(number, id, ask.sequence, grants);
      });
    });
  });
}

void QuotaSimulation::Reply(size_t number, const RouterId& id, uint64_t sequence,
                            const std::optional<QuotaGrants>& grants) {
  Router& router = *this->routers[number];
  if (router.id != id || router.ask != sequence) return;
  router.ask.reset();
  this->Decide(router, grants ? router.quota->OnGrants(this->now, *grants)
                              : router.quota->OnNoReply(this->now));
  this->Poll(number);
}

void QuotaSimulation::AddRouter() {
  this->routers.push_back(std::make_unique<Router>());
  const size_t number = this->routers.size() - 1;
  this->routers[number]->id = {"r" + std::to_string(number), 0};
  this->StartRouter(number);
}

void QuotaSimulation::RestartRouter(size_t number) { this->StartRouter(number); }

void QuotaSimulation::StartRouter(size_t number) {
  Router& router = *this->routers[number];
  for (const auto& [ticket, request] : router.waiting) ++this->counts[request.first].refused;
  ++router.id.incarnation;
  router.quota = std::make_unique<WorkspaceQuota>(this->options.tolerance);
  router.lease = {};
  router.lost = false;
  router.config = 0;
  router.ask.reset();
  router.timer = Time::max();
  router.waiting.clear();
  this->Sync(number, router.id.incarnation);
}

void QuotaSimulation::Sync(size_t number, uint64_t incarnation) {
  Router& router = *this->routers[number];
  if (router.id.incarnation != incarnation) return;
  this->At(this->now + kSyncInterval,
           [this, number, incarnation] { this->Sync(number, incarnation); });
  if (!router.connected) return;
  this->At(this->now + this->Delay(), [this, number, id = router.id, sent = this->now] {
    if (!this->leader) return;
    this->view[id.id] = this->now;
    this->Leader().contacts.RecordContact(this->now, id.id);
    this->At(this->now + this->Delay(), [this, number, id, sent, term = this->term] {
      if (!this->leader || this->term != term) return;
      this->At(this->now + this->Delay(), [this, number, id, sent] {
        Router& same = *this->routers[number];
        if (same.id != id || !same.connected) return;
        same.config = this->configs.size() - 1;
        same.quota->SetRouters(this->now, this->view.size());
        same.lease.Renew(sent);
        if (same.lease.Valid(this->now) && std::exchange(same.lost, false)) {
          same.quota->OnRegained();
        }
      });
    });
  });
}

void QuotaSimulation::ChangeLeader(Duration gap) {
  if (this->leader) this->Leader().contacts.EndTerm();
  this->leader.reset();
  const uint64_t new_term = ++this->term;
  const size_t next = ++this->next_leader % this->controllers.size();
  this->At(this->now + gap, [this, next, new_term] {
    if (this->term != new_term) return;
    this->leader = next;
    Controller& controller = this->Leader();
    controller.table.Reset(
        this->now, controller.seen_change &&
                       this->now - controller.last_change >= this->options.tolerance.window);
    controller.contacts.Reset();
    controller.table_config = 0;
    for (Controller& each : this->controllers) {
      each.seen_change = true;
      each.last_change = this->now;
    }
    // Sessions of all members begin anew.
    for (auto& [id, last] : this->view) last = this->now;
  });
}

void QuotaSimulation::UpdateTable(Time time, Controller& controller) {
  if (controller.table_config != this->configs.size() - 1) {
    controller.table_config = this->configs.size() - 1;
    controller.table.SetWorkspaces(time, &this->configs.back());
  }
  controller.table.SetShares(time, controller.contacts.ServedShare(time),
                             controller.contacts.LargestShare(time));
}

void QuotaSimulation::Tick() {
  this->At(this->now + kTick, [this] { this->Tick(); });
  if (this->leader) {
    std::erase_if(this->view,
                  [&](const auto& item) { return this->now >= item.second + kSessionLength; });
  }
  std::set<std::string> offered;
  for (const auto& [id, last] : this->view) offered.insert(id);
  for (Controller& controller : this->controllers) controller.contacts.Observe(this->now, offered);
  if (this->leader && this->options.advance_buckets) {
    this->UpdateTable(this->now, this->Leader());
    this->Leader().table.Expire(this->now);
  }
  for (size_t i = 0; i < this->routers.size(); ++i) {
    Router& router = *this->routers[i];
    if (router.lost || !router.lease.End() || router.lease.Valid(this->now)) continue;
    router.lost = true;
    router.quota->OnLost(*router.lease.End());
    this->Decide(router, router.quota->Expire(this->now));
  }
}

QuotaSimulation::Counts QuotaSimulation::Total() const {
  Counts total;
  for (const auto& [name, count] : this->counts) {
    total.sent += count.sent;
    total.admitted += count.admitted;
    total.refused += count.refused;
    total.waited += count.waited;
    total.longest_wait = std::max(total.longest_wait, count.longest_wait);
    total.total_wait += count.total_wait;
  }
  return total;
}

double QuotaSimulation::Excess(const std::string& workspace, const RequestQuota& quota,
                               Time from) const {
  const auto found = this->admitted.find(workspace);
  const QuotaTolerance& tolerance = this->options.tolerance;
  const double allowed =
      quota.rate_per_s * ToSeconds(tolerance.window) + quota.burst + QuotaExcess(quota, tolerance);
  if (found == this->admitted.end()) return -allowed;
  size_t most = 0;
  const std::vector<Time>& times = found->second;
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    while (times[first] < from || times[last] - times[first] >= tolerance.window) {
      if (++first > last) break;
    }
    if (first <= last) most = std::max(most, last - first + 1);
  }
  return static_cast<double>(most) - allowed;
}

}  // namespace peridotgauge
