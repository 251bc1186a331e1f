// Measures the leader with N routers that sync over loopback: three controllers in their own
// threads, and N control clients in four threads.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "bench/capacity_group.h"
#include "bench/capacity_model.h"
#include "bench/capacity_parts.h"
#include "io/clock.h"
#include "io/control_client.h"

namespace peridotgauge {
namespace {

constexpr double kMillion = 1e6;
constexpr double kThousand = 1e3;
constexpr size_t kClientThreads = 4;
constexpr uint32_t kChangesPerSecond = 10;
constexpr uint32_t kRevisions = 10;
constexpr uint32_t kRestarts = 10;
// Interval of asking whether a revision is in force. Each request costs the leader a quorum round,
// so a shorter interval would add to the measured load.
constexpr Duration kInForceInterval = Millis(5);
const char* const kScale = "routers";

void Sleep(Duration time) { std::this_thread::sleep_for(time); }

// N control clients, one for each simulated router.
class ControlClients {
 public:
  ControlClients(uint32_t routers, const ControllerGroup& group) : controllers(group.Addresses()) {
    for (uint32_t i = 0; i < routers; ++i) this->clients.push_back({.incarnation = 1});
  }
  ~ControlClients() {
    for (uint32_t i = 0; i < this->Size(); ++i) this->Stop(i);
  }
  ControlClients(const ControlClients&) = delete;
  ControlClients& operator=(const ControlClients&) = delete;

  uint32_t Size() const { return static_cast<uint32_t>(this->clients.size()); }

  void Start(uint32_t number) {
    this->ThreadOf(number).Run([&] {
      Client& client = this->clients[number];
      client.control = std::make_unique<ControlClient>(
          this->ThreadOf(number).Io(),
          ControlClientOptions{.self = SyntheticRouter(number, client.incarnation),
                               .controllers = this->controllers});
      client.control->Start();
    });
  }
  // Stops a client abruptly, without a leave command to the leader.
  void Stop(uint32_t number) {
    this->ThreadOf(number).Run([&] { this->clients[number].control.reset(); });
  }
  void StartAll() {
    for (uint32_t i = 0; i < this->Size(); ++i) this->Start(i);
  }

  // Leaves cleanly, then starts again with the next incarnation.
  void Restart(uint32_t number) {
    std::atomic<bool> leave_done{false};
    this->ThreadOf(number).Run([&] {
      Client& client = this->clients[number];
      client.control->StopSync();
      wire::LeaveT leave;
      leave.id = SyntheticRouter(number).id;
      leave.incarnation = client.incarnation;
      leave.clean = true;
      client.control->Command(ToCommand(std::move(leave)), SteadyNow() + Seconds(5),
                              [&](const Result<wire::CommandReplyT>&) { leave_done = true; });
    });
    while (!leave_done) Sleep(Millis(1));
    this->Stop(number);
    ++this->clients[number].incarnation;
    this->Start(number);
  }

  void Register(uint32_t number, const TargetRecord& record) {
    this->ThreadOf(number).Run([&] { this->clients[number].control->Register(record); });
  }

  // Waits until the condition holds for all running clients. Returns false after 60 s.
  bool WaitAll(const std::function<bool(const ControlClient&)>& condition) {
    const Time deadline = SteadyNow() + Seconds(60);
    while (SteadyNow() < deadline) {
      if (this->All(condition)) return true;
      Sleep(Millis(2));
    }
    return false;
  }

  double CpuSeconds() {
    double cpu = 0;
    for (EventThread& thread : this->threads) cpu += thread.CpuSeconds();
    return cpu;
  }
  int64_t HeapBytes() {
    int64_t heap = 0;
    for (EventThread& thread : this->threads) heap += thread.HeapBytes();
    return heap;
  }

 private:
  struct Client {
    std::unique_ptr<ControlClient> control;
    uint64_t incarnation = 1;
  };

  EventThread& ThreadOf(uint32_t number) { return this->threads[number % kClientThreads]; }

  bool All(const std::function<bool(const ControlClient&)>& condition) {
    bool all = true;
    for (size_t t = 0; t < kClientThreads && all; ++t) {
      this->threads[t].Run([&] {
        for (size_t i = t; i < this->clients.size() && all; i += kClientThreads) {
          const ControlClient* control = this->clients[i].control.get();
          all = control == nullptr || condition(*control);
        }
      });
    }
    return all;
  }

  std::vector<ControllerAddress> controllers;
  std::array<EventThread, kClientThreads> threads;
  std::vector<Client> clients;
};

// Resource usage of one phase.
struct Usage {
  double leader = 0;   // CPU seconds of the leader's event loop
  double routers = 0;  // CPU seconds of all control clients
  double requests = 0;
  double bytes = 0;
  double time = 0;  // seconds
};

class LeaderBenchmark {
 public:
  LeaderBenchmark(const LeaderOptions& options, CapacityReport& report)
      : options(options),
        report(report),
        group(3, options.folder),
        leader(group.Leader()),
        control_clients(options.routers, group) {}

  void Run() {
    this->StartRouters();
    this->RegisterTargets();
    Sleep(Seconds(1));
    const Usage idle = this->MeasureIdle();
    this->MeasureTargetChanges(idle);
    this->MeasureConfigChanges();
    this->MeasureRouterRestarts(idle);
    this->MeasureDataCentreLoss();
  }

 private:
  void Add(const std::string& quantity, double y) {
    this->report.Add(quantity, kScale, this->options.routers, y);
    std::cerr << this->options.routers << " routers, " << quantity << ": " << y << std::endl;
  }

  Usage CurrentUsage() {
    return {.leader = this->leader.thread.CpuSeconds(),
            .routers = this->control_clients.CpuSeconds(),
            .requests = static_cast<double>(this->group.Traffic().requests),
            .bytes = static_cast<double>(this->group.Traffic().bytes),
            .time = ToMillis(SteadyNow().time_since_epoch()) / kThousand};
  }
  Usage UsageSince(const Usage& start) {
    const Usage now = this->CurrentUsage();
    return {.leader = now.leader - start.leader,
            .routers = now.routers - start.routers,
            .requests = now.requests - start.requests,
            .bytes = now.bytes - start.bytes,
            .time = now.time - start.time};
  }

  // Calls `step` kChangesPerSecond times per second for one phase. `bytes` enables byte counts.
  Usage RunPhase(const std::function<void()>& step, bool bytes) {
    this->group.Traffic().counting_bytes = bytes;
    const Usage start = this->CurrentUsage();
    const auto steps = static_cast<uint32_t>(this->options.seconds * kChangesPerSecond);
    const Time begin = SteadyNow();
    for (uint32_t i = 1; i <= steps; ++i) {
      step();
      std::this_thread::sleep_until(begin + i * Seconds(1) / kChangesPerSecond);
    }
    const Usage usage = this->UsageSince(start);
    this->group.Traffic().counting_bytes = false;
    return usage;
  }

  bool AllKnowRouters(size_t count) {
    return this->control_clients.WaitAll(
        [count](const ControlClient& control) { return control.Routers().size() == count; });
  }

  void StartRouters() {
    const int64_t heap = this->leader.thread.HeapBytes();
    const int64_t router_heap = this->control_clients.HeapBytes();
    const Usage start = this->CurrentUsage();
    this->control_clients.StartAll();
    if (!this->AllKnowRouters(this->options.routers)) this->Add("FAILED: joins not seen", 1);
    const Usage used = this->UsageSince(start);
    this->Add("first start of all routers: time until all know all, s", used.time);
    this->Add("first start of all routers: leader CPU, s", used.leader);
    Sleep(Seconds(1));
    this->Add("leader: heap of all sessions, KB",
              static_cast<double>(this->leader.thread.HeapBytes() - heap) / kThousand);
    this->Add("router: heap of the control client without targets, KB",
              static_cast<double>(this->control_clients.HeapBytes() - router_heap) / kThousand /
                  this->options.routers);
  }

  uint32_t Targets() const { return this->options.routers * kPlannedTargets / kPlannedRouters; }

  void RegisterTargets() {
    const int64_t heap = this->leader.thread.HeapBytes();
    const uint32_t targets = this->Targets();
    for (uint32_t i = 0; i < targets; ++i) {
      this->control_clients.Register(i % this->options.routers, SyntheticTarget(i));
    }
    const bool all_known = this->control_clients.WaitAll([targets](const ControlClient& control) {
      return control.Directory().Targets().size() == targets;
    });
    if (!all_known) this->Add("FAILED: targets not known", 1);
    this->Add("leader: heap per target, bytes",
              static_cast<double>(this->leader.thread.HeapBytes() - heap) / targets);
  }

  Usage MeasureIdle() {
    const Usage idle = this->RunPhase([] {}, false);
    const double routers = this->options.routers;
    this->Add("idle: syncs per router per second", idle.requests / idle.time / routers);
    this->Add("idle: leader CPU, % of a core", idle.leader / idle.time * 100);
    this->Add("idle: leader CPU per sync, us", idle.leader / idle.requests * kMillion);
    this->Add("idle: router CPU of the sync loop, % of a core",
              idle.routers / idle.time / routers * 100);
    const Usage bytes = this->RunPhase([] {}, true);
    this->Add("idle: bytes per router per second", bytes.bytes / bytes.time / routers);
    return idle;
  }

  // Registers targets with changing slot limits, which every router has to learn.
  void MeasureTargetChanges(const Usage& idle) {
    uint64_t sequence = 1;
    const auto change = [&] {
      ++sequence;
      const auto number = static_cast<uint32_t>(sequence * 7 % this->Targets());
      TargetRecord record = SyntheticTarget(number, sequence);
      record.slots = 6 + static_cast<uint32_t>(sequence % 10);
      this->control_clients.Register(number % this->options.routers, record);
    };
    const double changes = this->options.seconds * kChangesPerSecond;
    const Usage used = this->RunPhase(change, false);
    const double routers = this->options.routers;
    this->Add("10 changes/s: leader CPU, % of a core", used.leader / used.time * 100);
    this->Add("10 changes/s: leader CPU per change beyond idle, ms",
              (used.leader - idle.leader / idle.time * used.time) / changes * kThousand);
    this->Add("10 changes/s: router CPU of the control client, % of a core",
              used.routers / used.time / routers * 100);
    const Usage bytes = this->RunPhase(change, true);
    this->Add("10 changes/s: bytes per router per second", bytes.bytes / bytes.time / routers);
  }

  // Applies configurations from a separate client, as the command-line tool does.
  void MeasureConfigChanges() {
    EventThread thread;
    std::unique_ptr<ControlClient> config_client;
    thread.Run([&] {
      config_client = std::make_unique<ControlClient>(
          thread.Io(), ControlClientOptions{.self = {}, .controllers = this->group.Addresses()});
    });
    std::vector<double> seconds;
    const Usage start = this->CurrentUsage();
    for (uint32_t revision = 1; revision <= kRevisions; ++revision) {
      seconds.push_back(this->TimeConfigChange(thread, *config_client, revision));
    }
    const Usage used = this->UsageSince(start);
    std::sort(seconds.begin(), seconds.end());
    this->Add("configuration of 900 services: in force everywhere, median of 10, ms",
              seconds[kRevisions / 2] * kThousand);
    this->Add("configuration of 900 services: in force everywhere, longest of 10, ms",
              seconds.back() * kThousand);
    this->Add("configuration of 900 services: leader CPU per revision, ms",
              used.leader / kRevisions * kThousand);
    this->Add("configuration of 900 services: router CPU per revision, ms",
              used.routers / kRevisions / this->options.routers * kThousand);
    thread.Run([&] { config_client.reset(); });
  }

  // Returns the seconds from the acceptance of the revision until the leader reports it as in
  // force.
  double TimeConfigChange(EventThread& thread, ControlClient& config_client, uint32_t revision) {
    std::atomic<bool> answered{false};
    thread.Run([&] {
      wire::ApplyConfigT apply;
      apply.text = SyntheticConfig(revision, kPlannedServices);
      apply.author = "capacity";
      config_client.Command(ToCommand(std::move(apply)), SteadyNow() + Seconds(10),
                            [&](const Result<wire::CommandReplyT>& reply) {
                              if (!reply || reply->error >= 0) this->Add("FAILED: apply", revision);
                              answered = true;
                            });
    });
    while (!answered) Sleep(Duration(200));
    const Time accepted = SteadyNow();
    const Time limit = accepted + Seconds(30);
    for (bool in_force = false; !in_force && SteadyNow() < limit;) {
      answered = false;
      thread.Run([&] {
        config_client.Read(
            wire::ReadKind::InForce, revision, limit, [&](const Result<std::string>& json) {
              in_force = json && json->find("\"in_force\":true") != std::string::npos;
              answered = true;
            });
      });
      while (!answered) Sleep(Duration(200));
      if (!in_force) Sleep(kInForceInterval);
    }
    return ToMillis(SteadyNow() - accepted) / kThousand;
  }

  void MeasureRouterRestarts(const Usage& idle) {
    const Usage start = this->CurrentUsage();
    for (uint32_t i = 0; i < kRestarts; ++i) {
      this->control_clients.Restart(i);
      if (!this->AllKnowRouters(this->options.routers)) this->Add("FAILED: restart not seen", 1);
    }
    Sleep(Millis(500));
    const Usage used = this->UsageSince(start);
    this->Add("restart (leave and join): leader CPU beyond idle, ms",
              (used.leader - idle.leader / idle.time * used.time) / kRestarts * kThousand);
    this->Add("restart (leave and join): control CPU of each router beyond idle, ms",
              (used.routers - idle.routers / idle.time * used.time) / kRestarts /
                  this->options.routers * kThousand);
  }

  // Stops a sixth of the routers at the same time, and probes the leader's event loop meanwhile.
  void MeasureDataCentreLoss() {
    const uint32_t lost = this->options.routers / kDataCentres;
    std::atomic<bool> stop_probe{false};
    Duration longest_stall{};
    std::thread probe([&] {
      while (!stop_probe) {
        const Time sent = SteadyNow();
        this->leader.thread.Run([] {});
        longest_stall = std::max(longest_stall, SteadyNow() - sent);
        Sleep(Millis(1));
      }
    });
    const Usage start = this->CurrentUsage();
    for (uint32_t i = 0; i < lost; ++i) this->control_clients.Stop(this->options.routers - 1 - i);
    if (!this->AllKnowRouters(this->options.routers - lost)) this->Add("FAILED: loss not seen", 1);
    const Usage used = this->UsageSince(start);
    stop_probe = true;
    probe.join();
    this->Add("a sixth of the routers lost: time until the others know, s", used.time);
    this->Add("a sixth of the routers lost: leader CPU in that time, s", used.leader);
    this->Add("a sixth of the routers lost: longest stall of the leader's loop, ms",
              ToMillis(longest_stall));
  }

  LeaderOptions options;
  CapacityReport& report;
  ControllerGroup group;
  ControllerNode& leader;
  ControlClients control_clients;
};

}  // namespace

void MeasureLeader(const LeaderOptions& options, CapacityReport& report) {
  LeaderBenchmark(options, report).Run();
}

}  // namespace peridotgauge
