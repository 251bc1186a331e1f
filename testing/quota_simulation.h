// Routers and controllers that keep request quotas together, on simulated time and without a
// network: core/workspace_quota.h and state/quota_table.h with delayed and lost messages, leases,
// sessions, restarts and changes of the leader.
//
// Use:
//   QuotaSimulation fleet({.routers = 12}, seed);
//   fleet.SetWorkspaces({{.name = "a", .quota = {10, 10}}});
//   fleet.Run(Seconds(20));                      // the leader and the routers get to know each
//   other fleet.Load("a", 8, [&] { return size_t(0); });   // requests per second, at router 0
//   fleet.Run(Seconds(60));
//   CHECK(fleet.Count("a").refused == 0);
//   CHECK(fleet.Excess("a", quota) <= 0);
//
// Contract: callers reach the routers that are offered, and lost ones that were offered when they
// lost contact, as the callers near them still do. With the same seed, every run is the same.
#ifndef PERIDOTGAUGE_TESTING_QUOTA_SIMULATION_H_
#define PERIDOTGAUGE_TESTING_QUOTA_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/types.h"
#include "core/workspace_quota.h"
#include "core/workspaces.h"
#include "state/lease.h"
#include "state/quota_table.h"

namespace peridotgauge {

struct QuotaSimulationOptions {
  size_t routers = 12;
  size_t controllers = 3;
  Duration min_delay = Millis(1);  // of a message in one direction
  Duration max_delay = Millis(5);
  double slow_share = 0.02;  // share of the messages that take `slow_delay`
  Duration slow_delay = Millis(90);
  Duration max_wait = Millis(250);
  QuotaTolerance tolerance = {};
  // The leader advances its buckets regularly, as the product does. Without it, it notices only
  // with the next ask for a workspace that this is no longer near its limit.
  bool advance_buckets = false;
};

class QuotaSimulation {
 public:
  struct Counts {
    uint64_t sent = 0;
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t waited = 0;
    Duration longest_wait{0};
    Duration total_wait{0};
  };
  // Returns the number of the router to use; one that does not run gets no request.
  using RouterChoice = std::function<size_t()>;

  QuotaSimulation(QuotaSimulationOptions options, uint64_t seed);

  // Applies a configuration at the leader; routers get it with their next sync reply.
  void SetWorkspaces(const std::vector<Workspace>& workspaces);
  // Sets the requests per second of a workspace, at random times. 0: none.
  void Load(const std::string& workspace, double per_second, RouterChoice choice);
  // Sends requests at once.
  void Burst(const std::string& workspace, size_t count, size_t router);
  void Run(Duration time);

  void RestartRouter(size_t router);
  void AddRouter();
  // Messages between the router and all controllers are lost until Reconnect().
  void Disconnect(size_t router) { this->routers[router]->connected = false; }
  void Reconnect(size_t router) { this->routers[router]->connected = true; }
  // The leader is deposed; another controller leads after `gap`.
  void ChangeLeader(Duration gap);

  Time Now() const { return this->now; }
  size_t Routers() const { return this->routers.size(); }
  size_t RandomRouter() { return this->Draw(this->routers.size()); }
  uint64_t Asks() const { return this->asks; }
  const Counts& Count(const std::string& workspace) { return this->counts[workspace]; }
  Counts Total() const;
  void ResetCounts() { this->counts.clear(); }
  // Returns by how much the admitted requests of any window that begins at `from` or later exceed
  // what the quota and the tolerance allow; at most 0 if the rule holds.
  double Excess(const std::string& workspace, const RequestQuota& quota, Time from = {}) const;

 private:
  struct Controller {
    QuotaTable table;
    RouterContacts contacts;
    uint64_t table_config = 0;
    Time last_change;  // when another leader was noticed
    bool seen_change = false;
  };
  struct Router {
    RouterId id;
    std::unique_ptr<WorkspaceQuota> quota;
    Lease lease;
    bool lost = false;
    bool connected = true;
    uint64_t config = 0;
    std::optional<uint64_t> ask;  // the sequence in flight
    Time timer = Time::max();
    std::map<uint64_t, std::pair<std::string, Time>> waiting;  // by ticket
  };

  size_t Draw(size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(this->random);
  }
  Duration Delay();
  void At(Time time, std::function<void()> event) { this->events.emplace(time, std::move(event)); }
  void StartRouter(size_t number);
  void Sync(size_t number, uint64_t incarnation);
  void Request(const std::string& workspace, size_t number);
  void Arrive(std::string workspace, uint64_t load);
  void Poll(size_t number);
  void Ask(size_t number, const QuotaAsk& ask);
  void Reply(size_t number, const RouterId& id, uint64_t sequence,
             const std::optional<QuotaGrants>& grants);
  void Decide(Router& router, const std::vector<QuotaDecision>& decisions);
  void Tick();
  void UpdateTable(Time time, Controller& controller);
  Controller& Leader() { return this->controllers[*this->leader]; }

  QuotaSimulationOptions options;
  std::mt19937_64 random;
  Time now = TimeAt(1'000'000);
  std::multimap<Time, std::function<void()>> events;
  std::vector<Controller> controllers;
  std::optional<size_t> leader;
  size_t next_leader = 0;
  uint64_t term = 0;
  std::vector<std::unique_ptr<Router>> routers;
  std::map<std::string, Time> view;  // members by id: last sync
  std::vector<WorkspaceTable> configs;
  struct LoadOf {
    uint64_t number = 0;
    double per_second = 0;
    RouterChoice choice;
  };
  std::map<std::string, LoadOf> loads;
  uint64_t last_load = 0;
  std::map<std::string, Counts> counts;
  std::map<std::string, std::vector<Time>> admitted;
  uint64_t asks = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_QUOTA_SIMULATION_H_
