// Measures commits, snapshots and restarts of the replicated log.
#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "bench/capacity_group.h"
#include "bench/capacity_model.h"
#include "bench/capacity_parts.h"
#include "core/config.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr double kMillion = 1e6;
constexpr double kThousand = 1e3;
constexpr size_t kOrderAnswerBytes = 100;
constexpr uint32_t kPipelineWindow = 64;        // commands in flight in a pipelined run
constexpr uint64_t kSnapshotIndex = 1'000'000;  // above the index of every command

wire::ClaimT SyntheticClaim(uint64_t number, int64_t now_ms) {
  wire::ClaimT claim;
  claim.request_id = "order-0123456789abcdef-" + std::to_string(number);
  claim.body_digest = number;
  claim.service = SyntheticServiceName(7);
  claim.issued_at_ms = now_ms;
  claim.router = SyntheticRouter(1).id;
  claim.router_incarnation = 1;
  claim.claim_id = number;
  return claim;
}

wire::CompleteT SyntheticComplete(uint64_t number) {
  wire::CompleteT complete;
  complete.request_id = "order-0123456789abcdef-" + std::to_string(number);
  complete.router = SyntheticRouter(1).id;
  complete.router_incarnation = 1;
  complete.claim_id = number;
  complete.status = 200;
  complete.body = std::string(kOrderAnswerBytes, 'x');
  return complete;
}

template <typename T>
std::string EncodeCommand(int64_t now_ms, T command) {
  wire::CommandBodyUnion body;
  body.Set(std::move(command));
  return ControlState::Encode(now_ms, std::move(body));
}

// Proposes `total` claims, numbered from `first`, on the node's thread with `window` in flight.
class ClaimLoop {
 public:
  ClaimLoop(ControllerNode& node, uint64_t first, uint32_t total, uint32_t window)
      : node(node), next(first), unsent(total), unanswered(total) {
    const double cpu = node.thread.CpuSeconds();
    node.thread.Run([&] {
      for (uint32_t i = 0; i < window; ++i) this->Propose();
    });
    while (!this->finished) std::this_thread::sleep_for(Millis(1));
    this->cpu = node.thread.CpuSeconds() - cpu;
    std::sort(this->latencies.begin(), this->latencies.end());
  }

  double cpu = 0;                 // CPU seconds of the node's event loop
  std::vector<double> latencies;  // ms, sorted
  uint32_t failed = 0;

 private:
  void Propose() {
    if (this->unsent == 0) return;
    --this->unsent;
    const Time start = SteadyNow();
    this->node.replica->Propose(
        EncodeCommand(UnixMillis(), SyntheticClaim(this->next++, UnixMillis())),
        start + Seconds(20), [this, start](const Result<Applied>& applied) {
          if (!applied) ++this->failed;
          this->latencies.push_back(ToMillis(SteadyNow() - start));
          if (--this->unanswered == 0) this->finished = true;
          this->Propose();
        });
  }

  ControllerNode& node;
  uint64_t next;
  uint32_t unsent;
  uint32_t unanswered;
  std::atomic<bool> finished{false};
};

void MeasureCommits(const std::string& folder, CapacityReport& report) {
  ControllerGroup group(3, folder, 100'000);
  ControllerNode& leader = group.Leader();
  uint64_t before = 0;
  leader.thread.Run([&] { before = leader.replica->Status().log_bytes; });
  constexpr uint32_t kCommands = 400;
  const char* const scale = "commands under way";
  uint64_t first = 1;
  for (const uint32_t window : {1U, 8U, kPipelineWindow}) {
    const uint32_t total = kCommands * (window == 1 ? 1 : 4);
    const ClaimLoop loop(leader, first, total, window);
    first += total;
    report.Add("commit of a claim, 3 controllers: median, ms", scale, window,
               loop.latencies[total / 2]);
    report.Add("commit of a claim, 3 controllers: 99th percentile, ms", scale, window,
               loop.latencies[total * 99 / 100]);
    report.Add("commit of a claim, 3 controllers: leader CPU, us", scale, window,
               loop.cpu * kMillion / total);
    if (loop.failed > 0) report.Add("FAILED commits", scale, window, loop.failed);
  }
  uint64_t after = 0;
  leader.thread.Run([&] { after = leader.replica->Status().log_bytes; });
  report.Add("log bytes of a claim", "claims", static_cast<double>(first - 1),
             static_cast<double>(after - before) / static_cast<double>(first - 1));
}

void MeasureSnapshot(const ControlState& state, const std::string& subject,
                     const std::string& scale, double x, CapacityReport& report) {
  const double start = ThreadCpuSeconds();
  const std::string snapshot = state.Snapshot();
  const double snapshot_end = ThreadCpuSeconds();
  report.Add(subject + ": size, MB", scale, x, static_cast<double>(snapshot.size()) / kMillion);
  report.Add(subject + ": CPU of taking it, ms", scale, x, (snapshot_end - start) * kThousand);
  ControlState restored;
  const Result<void> result = restored.Restore(kSnapshotIndex, snapshot);
  report.Add(subject + ": CPU of restoring it, ms", scale, x,
             (ThreadCpuSeconds() - snapshot_end) * kThousand);
  if (!result || !(restored == state)) report.Add("FAILED restores", scale, x, 1);
}

void MeasureLedger(uint32_t records, CapacityReport& report) {
  const char* const scale = "ledger records";
  const int64_t heap = LiveHeapBytes();
  const int64_t now_ms = UnixMillis();
  ControlState state;
  uint64_t index = 0;
  wire::JoinT join;
  join.router = ToWire(SyntheticRouter(1));
  state.Apply(++index, EncodeCommand(now_ms, std::move(join)));
  const double start = ThreadCpuSeconds();
  for (uint64_t i = 1; i <= records; ++i) {
    state.Apply(++index, EncodeCommand(now_ms, SyntheticClaim(i, now_ms)));
    state.Apply(++index, EncodeCommand(now_ms, SyntheticComplete(i)));
  }
  report.Add("ledger: CPU of encoding and applying claim and completion, us", scale, records,
             (ThreadCpuSeconds() - start) * kMillion / records);
  report.Add("ledger: heap, MB", scale, records,
             static_cast<double>(LiveHeapBytes() - heap) / kMillion);
  MeasureSnapshot(state, "snapshot of the ledger", scale, records, report);
}

void MeasureHistory(uint32_t revisions, CapacityReport& report) {
  const int64_t heap = LiveHeapBytes();
  ControlState state;
  for (uint32_t i = 1; i <= revisions; ++i) {
    wire::ApplyConfigT apply;
    apply.text = SyntheticConfig(i, kPlannedServices);
    apply.revision = i;
    apply.digest = Config::Parse(apply.text)->Digest();
    state.Apply(i, EncodeCommand(i, std::move(apply)));
  }
  const char* const scale = "revisions of 900 services";
  report.Add("history: heap, MB", scale, revisions,
             static_cast<double>(LiveHeapBytes() - heap) / kMillion);
  MeasureSnapshot(state, "snapshot of the history", scale, revisions, report);
}

void MeasureRestart(const std::string& folder, uint32_t entries, CapacityReport& report) {
  ControllerGroup group(1, folder, 1'000'000);
  const ClaimLoop loop(group.Leader(), 1, entries, kPipelineWindow);
  report.Add("restart: time of reading the log, ms", "log entries", entries,
             group.ReopenReplica() * kThousand);
}

}  // namespace

void MeasureRaft(const std::string& folder, CapacityReport& report) {
  MeasureCommits(folder, report);
  for (const uint32_t records : {10'000U, 50'000U, 100'000U, 200'000U}) {
    MeasureLedger(records, report);
  }
  for (const uint32_t revisions : {50U, 200U, 1'000U}) MeasureHistory(revisions, report);
  for (const uint32_t entries : {2'000U, 5'000U, 20'000U}) MeasureRestart(folder, entries, report);
}

}  // namespace peridotgauge
