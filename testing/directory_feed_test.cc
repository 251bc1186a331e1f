// Tests of the packages in which routers receive the directory. They guard against two faults: work
// at the leader for each router, which made it answer seconds late when 291 routers joined at once,
// and packages that leave a copy in another state than the directory.
#include "io/directory_feed.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/directory_copy.h"

namespace peridotgauge {
namespace {

constexpr const char* kRegistrar = "c0";

TargetRecord RecordOf(int number, uint64_t incarnation, uint64_t sequence,
                      TargetState state = TargetState::kServing) {
  return {.target = "t-" + std::to_string(number),
          .address = "127.0.0.1:" + std::to_string(9'000 + incarnation),
          .service = "verstas-1",
          .data_centre = "tre-a",
          .incarnation = incarnation,
          .sequence = sequence,
          .state = state};
}

// What a router gets for a copy: packages, or a delta of its own.
DirectoryDelta Receive(const Directory& directory, DirectoryFeed& feed, const DirectoryCopy& copy) {
  const auto update = feed.UpdateFor(directory, copy.Epoch(), copy.Version());
  if (!update) return directory.DeltaSince(copy.Epoch(), copy.Version());
  DirectoryDelta delta{.epoch = directory.Epoch(),
                       .version = update->version,
                       .digest = update->digest,
                       .full = update->full,
                       .collecting = directory.Collecting()};
  for (const auto& package : update->packages) {
    const Result<std::vector<TargetRecord>> targets = OpenDirectoryPackage(*package);
    REQUIRE(targets);
    delta.targets.insert(delta.targets.end(), targets->begin(), targets->end());
  }
  return delta;
}

std::map<std::string, TargetRecord> TargetsOf(const Directory& directory) {
  std::map<std::string, TargetRecord> targets;
  for (const TargetRecord& record : directory.Targets()) targets.emplace(record.target, record);
  return targets;
}

TEST_CASE("routers that join at once share one package", "[directory_feed]") {
  constexpr int kTargets = 1'300;
  Directory directory;
  DirectoryFeed feed;
  Time now = TimeAt(0);
  directory.StartEpoch(now, 1);
  directory.SetOwnRegistrar(kRegistrar);
  std::vector<TargetRecord> records;
  records.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) records.push_back(RecordOf(i, 1, 1));
  directory.Merge(now, kRegistrar, records, /*full=*/false);
  now += kCollectTime;
  directory.Tick(now, {});
  REQUIRE_FALSE(directory.Collecting());
  feed.Publish(directory);

  const auto first = feed.UpdateFor(directory, 0, 0);
  REQUIRE(first);
  REQUIRE(first->packages.size() == 1);
  CHECK(first->full);
  const auto second = feed.UpdateFor(directory, 0, 0);
  CHECK(second->packages.front() == first->packages.front());

  SECTION("also if a target changes meanwhile, which adds a package of one record") {
    directory.Merge(now, kRegistrar, {RecordOf(7, 1, 2, TargetState::kDraining)}, /*full=*/false);
    feed.Publish(directory);
    const auto third = feed.UpdateFor(directory, 0, 0);
    REQUIRE(third->packages.size() == 2);
    CHECK(third->packages.front() == first->packages.front());
    CHECK(OpenDirectoryPackage(*third->packages.back())->size() == 1);
    CHECK(third->version == directory.Version());
    CHECK(third->digest == directory.Digest());
  }
  SECTION("and routers with a copy share the package of the changes") {
    const uint64_t known = directory.Version();
    directory.Merge(now, kRegistrar, {RecordOf(7, 1, 2, TargetState::kDraining)}, /*full=*/false);
    CHECK_FALSE(feed.UpdateFor(directory, 1, known));  // not published yet
    feed.Publish(directory);
    const auto changes = feed.UpdateFor(directory, 1, known);
    REQUIRE(changes);
    CHECK_FALSE(changes->full);
    CHECK(changes->packages == feed.UpdateFor(directory, 1, known)->packages);
  }
  SECTION("a damaged package is rejected") {
    std::string damaged = *first->packages.front();
    damaged.resize(damaged.size() / 2);
    CHECK(OpenDirectoryPackage(damaged).error().code == ErrorCode::kCorrupt);
  }
}

// A directory with random changes, and copies that ask at random times. Replies may be late.
class Simulation {
 public:
  static constexpr size_t kCopies = 4;
  static constexpr int kTargets = 6;

  Simulation() {
    this->directory.SetOwnRegistrar(kRegistrar);
    this->StartTerm();
  }

  void Step(uint32_t choice) {
    this->now += Millis(100);
    DirectoryCopy& copy = this->copies[choice / 8 % kCopies];
    std::vector<DirectoryDelta>& replies = this->replies[choice / 8 % kCopies];
    switch (choice % 8) {
      case 0:
      case 1:
        return this->Register(choice / 8);
      case 2:
        return this->feed.Publish(this->directory);
      case 3:
      case 4:
        replies.push_back(Receive(this->directory, this->feed, copy));
        return;
      case 5:
        if (replies.empty()) return;
        copy.Apply(replies.back());  // the last one first
        replies.pop_back();
        return;
      case 6:
        this->directory.Tick(this->now, {});
        return;
      case 7:
        if (choice / 8 % 10 == 0) copy = DirectoryCopy();
        if (choice / 8 % 50 == 1) this->StartTerm();
        if (choice / 8 % 10 == 2) this->now += kTombstoneTime;
        return;
    }
  }

  void CheckConvergence() {
    this->now += 2 * kCollectTime;
    this->directory.Tick(this->now, {});
    this->feed.Publish(this->directory);
    for (DirectoryCopy& copy : this->copies) {
      // A copy without a valid base asks for all records with its next request.
      for (int i = 0; i < 2; ++i) copy.Apply(Receive(this->directory, this->feed, copy));
      RC_ASSERT(copy.Targets() == TargetsOf(this->directory));
      RC_ASSERT(copy.DigestMismatches() == 0U);
    }
  }

 private:
  void StartTerm() {
    this->directory.StartEpoch(this->now, ++this->term);
    this->feed.Reset();
  }

  void Register(uint32_t choice) {
    constexpr TargetState kStates[] = {TargetState::kServing, TargetState::kDraining,
                                       TargetState::kGone};
    const TargetState state = kStates[choice / kTargets % 3];
    this->directory.Merge(
        this->now, kRegistrar,
        {RecordOf(static_cast<int>(choice % kTargets), 1, ++this->sequence, state)},
        /*full=*/false);
  }

  Time now = TimeAt(0);
  uint64_t term = 0;
  uint64_t sequence = 0;
  Directory directory;
  DirectoryFeed feed;
  DirectoryCopy copies[kCopies];
  std::vector<DirectoryDelta> replies[kCopies];
};

TEST_CASE("packages lead every copy to the state of the directory", "[directory_feed]") {
  CHECK(rc::check([] {
    Simulation simulation;
    const auto steps =
        *rc::gen::container<std::vector<uint32_t>>(200, rc::gen::inRange<uint32_t>(0, 1U << 30));
    for (const uint32_t step : steps) simulation.Step(step);
    simulation.CheckConvergence();
  }));
}

}  // namespace
}  // namespace peridotgauge
