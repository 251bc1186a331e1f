// Random fault schedules on the simulated cluster, each checked against the single-copy log.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "raft_cluster.h"

namespace peridotgauge {
namespace {

constexpr int kSteps = 120;

// One random schedule. Faults never exceed what the group tolerates: a disk is replaced only if a
// majority of the replicas stays admitted, as stored on their disks. Any number of disks may refuse
// writes.
class Schedule {
 public:
  Schedule(size_t size, uint64_t seed) : cluster(size, seed, 20), random(seed) {
    this->cluster.rates = {.loss = this->RandomBelow(3) * 0.05,
                           .duplication = this->RandomBelow(3) * 0.05,
                           .min_delay = Millis(0),
                           .max_delay = Millis(1 + static_cast<int64_t>(this->RandomBelow(3)) * 30),
                           .min_sync = Millis(0),
                           .max_sync = Millis(1 + static_cast<int64_t>(this->RandomBelow(3)) * 20)};
    this->steps_between_faults = this->RandomBelow(4);
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      if (this->RandomBelow(1 + this->steps_between_faults) == 0) this->InjectFault();
      for (size_t i = 0; i < this->cluster.Size(); ++i) {
        if (this->RandomBelow(2) == 0) this->cluster.Propose(i);
        if (this->RandomBelow(3) == 0) this->cluster.Read(i);
      }
      this->cluster.Run(Millis(static_cast<int64_t>(this->RandomBelow(150))));
    }
  }

  // Ends all faults. Returns true if the group commits again and every replica holds the whole log.
  bool Recovers() {
    this->cluster.Heal();
    this->cluster.rates = {};
    for (size_t i = 0; i < this->cluster.Size(); ++i) this->cluster.EmptyDisk(i);
    for (size_t i = 0; i < this->cluster.Size(); ++i) this->cluster.Start(i);
    const std::vector<std::string> before = this->cluster.reference_log;
    if (!this->cluster.CommitOne()) return false;
    if (!this->cluster.RunUntil([&] { return this->cluster.UnadmittedCount() == 0; })) return false;
    // Commands proposed before the faults ended may still be committed.
    this->cluster.Run(Seconds(3));
    for (size_t i = 0; i < this->cluster.Size(); ++i) {
      if (this->cluster.Node(i).state != this->cluster.reference_log) return false;
    }
    return std::equal(before.begin(), before.end(), this->cluster.reference_log.begin());
  }

  // Each command was proposed once, so a duplicate in the log was applied twice.
  bool AppliedOnce() const {
    std::vector<std::string> sorted = this->cluster.reference_log;
    std::sort(sorted.begin(), sorted.end());
    return std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end();
  }

  RaftCluster cluster;
  uint64_t replacements = 0;

 private:
  size_t RandomBelow(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(this->random);
  }

  void InjectFault() {
    const size_t i = this->RandomBelow(this->cluster.Size());
    switch (this->RandomBelow(16)) {
      case 0:
      case 1:
        this->cluster.Crash(i);
        break;
      case 2:
        this->MaybeReplaceDisk(i);
        break;
      case 3:
        this->cluster.Isolate(i);
        break;
      case 4:
      case 5:
        this->cluster.BlockLink(i, this->RandomBelow(this->cluster.Size()));
        break;
      case 6:
      case 7:
        this->cluster.Heal();
        break;
      case 8:
        if (this->cluster.Node(i).raft) {
          this->cluster.Node(i).raft->TransferLeadership(this->cluster.Now());
          this->cluster.ProcessReady(i);
        }
        break;
      case 9:
      case 10:
        this->cluster.FillDisk(i);
        break;
      case 11:
      case 12:
        for (size_t k = 0; k < this->cluster.Size(); ++k) this->cluster.EmptyDisk(k);
        break;
      default:
        for (size_t k = 0; k < this->cluster.Size(); ++k) this->cluster.Start(k);
        break;
    }
  }

  void MaybeReplaceDisk(size_t i) {
    size_t lost = 1;
    for (size_t k = 0; k < this->cluster.Size(); ++k) {
      if (k != i && !this->cluster.Node(k).disk.hard_state.admitted) ++lost;
    }
    if (lost > (this->cluster.Size() - 1) / 2) return;
    this->cluster.ReplaceDisk(i);
    ++this->replacements;
  }

  std::mt19937_64 random;
  size_t steps_between_faults = 0;  // mean number of steps without a fault after each fault
};

// Guards against lost, repeated or diverging committed commands, two leaders in a term, stale
// reads, and a group that does not recover.
TEST_CASE("random schedules agree with a single-copy log", "[raft][property]") {
  uint64_t replacements = 0;
  uint64_t commands = 0;
  const bool passed = rc::check("random schedules", [&](uint64_t seed) {
    Schedule schedule(seed % 2 == 0 ? 3 : 5, seed);
    schedule.Run();
    const bool recovered = schedule.Recovers();
    const std::vector<std::string>& violations = schedule.cluster.violations;
    if (!violations.empty()) RC_FAIL(violations.front());
    RC_ASSERT(recovered);
    RC_ASSERT(schedule.AppliedOnce());
    replacements += schedule.replacements;
    commands += schedule.cluster.reference_log.size();
  });
  CHECK(passed);
  // The test is meaningful only if the schedules replace disks and commit commands.
  CHECK(replacements > 100);
  CHECK(commands > 1'000);
}

}  // namespace
}  // namespace peridotgauge
