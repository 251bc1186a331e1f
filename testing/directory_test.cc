// Tests of the target directory at the leader, its copies at routers, and the outbox of
// registrations.
#include "state/directory.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <vector>

#include "state/directory_copy.h"
#include "state/registration_outbox.h"

namespace peridotgauge {
namespace {

using View = std::map<std::string, RouterRecord>;

View BothRouters() { return {{"r1", {.id = "r1"}}, {"r2", {.id = "r2"}}}; }

TargetRecord RecordOf(const std::string& name, uint64_t incarnation, uint64_t sequence,
                      TargetState state = TargetState::kServing) {
  return {.target = name,
          .address = "127.0.0.1:" + std::to_string(9'000 + incarnation),
          .service = "verstas-1",
          .data_centre = "tre-a",
          .incarnation = incarnation,
          .sequence = sequence,
          .state = state,
          .slots = 5,
          .connections = 40,
          .holds = {{12, 0, 1}}};
}

// A directory after its collecting phase, with one copy.
struct Fixture {
  Directory directory;
  DirectoryCopy copy;
  Time now = TimeAt(0);

  Fixture() {
    this->directory.StartEpoch(this->now, 7);
    this->Advance(kCollectTime);
  }
  void Advance(Duration by, const View& view = BothRouters()) {
    this->now += by;
    this->directory.Tick(this->now, view);
  }
  bool Merge(const std::string& registrar, const TargetRecord& record, bool full = false) {
    return this->directory.Merge(this->now, registrar, {record}, full);
  }
  DirectoryDelta Sync() {
    DirectoryDelta delta = this->directory.DeltaSince(this->copy.Epoch(), this->copy.Version());
    this->copy.Apply(delta);
    return delta;
  }
  TargetState StateOf(const std::string& name) {
    const TargetRecord* record = this->copy.Find(name);
    return record == nullptr ? TargetState::kGone : record->state;
  }
};

TEST_CASE("the higher incarnation and sequence wins in any order", "[directory]") {
  Fixture f;
  REQUIRE(f.Merge("r1", RecordOf("a", 2, 5, TargetState::kDraining)));
  CHECK_FALSE(f.Merge("r2", RecordOf("a", 2, 4)));
  CHECK_FALSE(f.Merge("r2", RecordOf("a", 1, 9)));
  CHECK_FALSE(f.Merge("r2", RecordOf("a", 2, 5)));
  f.Sync();
  CHECK(f.StateOf("a") == TargetState::kDraining);

  SECTION("a gone target is not restored by an older record") {
    REQUIRE(f.Merge("r1", RecordOf("a", 2, 6, TargetState::kGone)));
    CHECK_FALSE(f.Merge("r2", RecordOf("a", 2, 5)));
    CHECK_FALSE(f.Merge("r2", RecordOf("a", 2, 6)));
    f.Sync();
    CHECK(f.StateOf("a") == TargetState::kGone);
    CHECK(f.Merge("r2", RecordOf("a", 3, 1)));
    f.Sync();
    CHECK(f.copy.Find("a")->registrar == "r2");
  }
  SECTION("an expired lease is reported under the sequence of the last registration") {
    CHECK_FALSE(f.Merge("r2", RecordOf("a", 2, 5, TargetState::kGone)));
    CHECK(f.Merge("r1", RecordOf("a", 2, 5, TargetState::kGone)));
  }
  SECTION("of two processes with the same name the newer incarnation wins") {
    CHECK(f.Merge("r2", RecordOf("a", 3, 1)));
    for (uint64_t sequence = 6; sequence < 20; ++sequence) {
      CHECK_FALSE(f.Merge("r1", RecordOf("a", 2, sequence)));
    }
    TargetRecord duplicate = RecordOf("a", 3, 2);
    duplicate.address = "127.0.0.1:9999";
    CHECK_FALSE(f.Merge("r1", duplicate));
    CHECK(f.directory.Counters().conflicts == 1);
    f.Sync();
    CHECK(f.copy.Find("a")->address == "127.0.0.1:9003");
  }
}

TEST_CASE("a delta contains each changed target once", "[directory]") {
  Fixture f;
  CHECK(f.Sync().full);
  // A flapping target adds one record to the next delta, regardless of the number of changes.
  for (uint64_t i = 1; i < 1'000; ++i) {
    f.Merge("r1", RecordOf("a", 1, i, i % 2 == 0 ? TargetState::kStarting : TargetState::kServing));
  }
  f.Merge("r1", RecordOf("b", 1, 1));
  DirectoryDelta delta = f.Sync();
  CHECK_FALSE(delta.full);
  CHECK(delta.targets.size() == 2);
  CHECK(f.Sync().targets.empty());
  CHECK(f.copy.Digest() == f.directory.Digest());

  SECTION("a digest mismatch leads to a full resend") {
    f.Merge("r1", RecordOf("c", 1, 1));
    delta = f.directory.DeltaSince(f.copy.Epoch(), f.copy.Version());
    delta.targets.clear();
    f.copy.Apply(delta);
    CHECK(f.copy.DigestMismatches() == 1);
    CHECK(f.copy.Version() == 0);
    CHECK(f.copy.Targets().size() == 2);
    CHECK(f.Sync().full);
    CHECK(f.copy.Targets().size() == 3);
  }
  SECTION("a late reply is ignored") {
    const DirectoryDelta late = f.directory.DeltaSince(f.copy.Epoch(), f.copy.Version());
    f.Merge("r1", RecordOf("a", 2, 1));
    f.Sync();
    CHECK_FALSE(f.copy.Apply(late));
    CHECK(f.copy.Find("a")->incarnation == 2);
  }
  SECTION("a copy that missed a pruned removal gets all records") {
    f.Merge("r1", RecordOf("a", 1, 5'000, TargetState::kGone));
    f.Advance(kTombstoneTime);
    CHECK(f.Sync().full);
    CHECK(f.copy.Find("a") == nullptr);
  }
  SECTION("further targets are rejected when the directory is full") {
    for (size_t i = 0; i < kMaxTargets; ++i) f.Merge("r1", RecordOf("t" + std::to_string(i), 1, 1));
    CHECK(f.directory.Targets().size() == kMaxTargets);
    CHECK(f.directory.Counters().refused == 2);
  }
  SECTION("records that would not fit into one frame are rejected") {
    TargetRecord large = RecordOf("x", 1, 1);
    large.holds.resize(kMaxHoldings);
    while (f.directory.Counters().refused == 0) {
      large.target += "x";
      f.Merge("r1", large);
    }
    const size_t large_targets = f.directory.Targets().size() - 2;
    CHECK(large_targets * kMaxHoldings * sizeof(wire::Holding) <= kMaxDirectoryBytes);
    CHECK(f.Merge("r1", RecordOf("a", 1, 5'000, TargetState::kDraining)));
  }
}

TEST_CASE("targets of a lost registrar are kept only if they register again", "[directory]") {
  Fixture f;
  f.Merge("r1", RecordOf("a", 1, 1));
  f.Merge("r1", RecordOf("b", 1, 1));
  SECTION("when the registrar has left the view") {
    const View view = {{"r2", {.id = "r2"}}};
    f.Advance(Millis(20), view);
    f.Advance(kCollectTime - Millis(1), view);
    f.Merge("r2", RecordOf("b", 1, 2));
    f.Advance(Millis(1), view);
  }
  SECTION("when the full list of the registrar lacks them") {
    f.Merge("r1", RecordOf("b", 1, 2), true);
    CHECK(f.directory.HasFullListFrom("r1"));
    f.Advance(kCollectTime);
  }
  f.Sync();
  CHECK(f.StateOf("a") == TargetState::kGone);
  CHECK(f.StateOf("b") == TargetState::kServing);
  // The registrar was stalled and still holds the same registration.
  CHECK(f.Merge("r1", RecordOf("a", 1, 1)));
}

TEST_CASE("a copy keeps its records while a new leader collects registrations", "[directory]") {
  Fixture f;
  f.Sync();
  f.Merge("r1", RecordOf("a", 1, 5, TargetState::kDraining));
  f.Merge("r1", RecordOf("b", 1, 1));
  f.Merge("r1", RecordOf("c", 1, 7, TargetState::kGone));
  f.Sync();
  f.directory.StartEpoch(f.now, 8);
  // A router that has missed the drain and the removal reports its older records.
  f.Merge("r2", RecordOf("a", 1, 4));
  f.Merge("r2", RecordOf("c", 1, 6));
  f.Merge("r2", RecordOf("d", 1, 1));
  f.Sync();
  CHECK(f.copy.HasUnconfirmedRecords());
  CHECK(f.StateOf("a") == TargetState::kDraining);
  CHECK(f.StateOf("b") == TargetState::kServing);
  CHECK(f.StateOf("c") == TargetState::kGone);
  CHECK(f.StateOf("d") == TargetState::kServing);
  f.Merge("r1", RecordOf("a", 1, 5, TargetState::kDraining), true);
  f.Advance(kCollectTime);
  CHECK(f.Sync().full);
  CHECK(f.copy.Targets().size() == 3);
  CHECK(f.StateOf("a") == TargetState::kDraining);
  CHECK(f.StateOf("b") == TargetState::kGone);
}

TEST_CASE("the outbox sends changes and repairs the directory", "[directory]") {
  Fixture f;
  RegistrationOutbox outbox("r1");
  const auto send = [&] {
    const std::vector<TargetRecord> pending = outbox.RecordsToSend(f.now, f.copy);
    outbox.MarkSent(f.now, pending);
    f.directory.Merge(f.now, "r1", pending, false);
    outbox.Acknowledge(pending);
    f.Sync();
    return pending.size();
  };
  outbox.Update(f.now, RecordOf("a", 1, 1));
  CHECK(send() == 1);
  outbox.Update(f.now, RecordOf("a", 1, 2));
  CHECK(send() == 0);  // a renewal is not sent
  SECTION("a change of state is sent") {
    outbox.Update(f.now, RecordOf("a", 1, 3, TargetState::kDraining));
    outbox.Update(f.now, RecordOf("a", 1, 2));
    CHECK(send() == 1);
    CHECK(f.StateOf("a") == TargetState::kDraining);
  }
  SECTION("a target that returns from another registrar is sent again, at most once a second") {
    f.Merge("r2", RecordOf("a", 1, 3));
    f.Sync();
    outbox.Update(f.now, RecordOf("a", 1, 4));
    CHECK(send() == 0);
    f.now += kRepairInterval;
    CHECK(send() == 1);
    CHECK(f.copy.Find("a")->registrar == "r1");
  }
  SECTION("a superseded registration is removed") {
    outbox.RemoveSuperseded({RecordOf("a", 1, 3, TargetState::kGone)});
    CHECK(outbox.Size() == 0);
  }
  SECTION("a removal is resent to new leaders for kTombstoneTime") {
    outbox.Update(f.now, RecordOf("a", 1, 2, TargetState::kGone));
    CHECK(send() == 1);
    CHECK(send() == 0);
    CHECK(outbox.All().size() == 1);
    outbox.Prune(f.now + kTombstoneTime);
    CHECK(outbox.Size() == 0);
  }
}

// Simulates targets, three routers and a succession of leaders over a network that loses, delays
// and reorders requests and replies. The reference model is a map of the last record that each
// target has sent.
class DirectorySimulation {
 public:
  explicit DirectorySimulation() { this->ElectLeader(); }

  void Step(uint32_t choice) {
    this->now += Millis(choice % 50);
    const uint32_t action = choice / 50 % 32;
    const uint32_t detail = choice / 1'600;
    if (action < 8) this->Register(detail % 4, detail / 4 % 3, detail / 12 % 16);
    if (action >= 8 && action < 20) this->Send(detail % 3);
    if (action >= 20 && action < 30) this->Deliver(detail);
    if (action == 30 && detail % 4 == 0) this->ElectLeader();
    this->Tick();
    this->CheckRecordOrder();
  }

  // Checks that all copies and the leader agree with the reference model once there are no more
  // losses.
  void CheckConvergence() {
    this->network.clear();
    for (int round = 0; round < 100; ++round) {
      this->now += Millis(100);
      for (auto& [name, record] : this->expected_records) {
        if (round % 10 == 0 && record.state != TargetState::kGone) this->Renew(name);
      }
      for (size_t router = 0; router < 3; ++router) this->Send(router);
      while (!this->network.empty()) this->DeliverAt(0);
      this->Tick();
      this->CheckRecordOrder();
    }
    std::map<std::string, TargetRecord> expected;
    for (auto [name, record] : this->expected_records) {
      record.sequence = 0;
      if (record.state != TargetState::kGone) expected.emplace(name, record);
    }
    for (const Router& router : this->routers) {
      std::map<std::string, TargetRecord> shown = router.copy.Targets();
      for (auto& [name, record] : shown) record.sequence = 0;
      RC_ASSERT(shown == expected);
      RC_ASSERT(router.copy.Digest() == this->leader.Digest());
    }
  }

 private:
  struct Router {
    RegistrationOutbox outbox;
    DirectoryCopy copy;
    bool full = true;
    std::map<std::string, std::pair<TargetRecord, Time>> leases;  // record and end
  };
  struct Message {
    size_t router = 0;
    uint64_t term = 0;  // of the leader that sends or receives the message
    bool reply = false;
    bool full = false;
    uint64_t version = 0;
    uint64_t epoch = 0;
    std::vector<TargetRecord> records;  // of the request
    DirectoryDelta delta;               // of the reply
    bool resend = false;
  };

  void ElectLeader() { this->leader.StartEpoch(this->now, ++this->term); }

  void Register(uint32_t target, size_t router, uint32_t kind) {
    const std::string name = "t" + std::to_string(target);
    TargetRecord record = this->expected_records.count(name) > 0 ? this->expected_records.at(name)
                                                                 : RecordOf(name, 0, 0);
    const bool restart = record.state == TargetState::kGone || kind == 0;
    if (restart || record.incarnation == 0) {
      record = RecordOf(name, record.incarnation + 1, 0);
    }
    ++record.sequence;
    if (kind == 1) record.state = TargetState::kDraining;
    if (kind == 2) record.state = TargetState::kGone;
    if (kind == 3) record.holds.push_back({record.sequence, 0, 1});
    record.registrar = "r" + std::to_string(router);
    this->expected_records[name] = record;
    this->Accept(record, router);
  }

  void Renew(const std::string& name) {
    TargetRecord& record = this->expected_records.at(name);
    ++record.sequence;
    this->Accept(record, static_cast<size_t>(record.registrar[1] - '0'));
  }

  void Accept(const TargetRecord& record, size_t at) {
    Router& router = this->routers[at];
    router.outbox.Update(this->now, record);
    router.leases.erase(record.target);
    if (record.state == TargetState::kGone) return;
    router.leases.emplace(record.target, std::pair(record, this->now + Seconds(3)));
  }

  void Send(size_t at) {
    Router& router = this->routers[at];
    Message message{.router = at,
                    .term = this->term,
                    .full = router.full,
                    .version = router.copy.Version(),
                    .epoch = router.copy.Epoch()};
    message.records =
        router.full ? router.outbox.All() : router.outbox.RecordsToSend(this->now, router.copy);
    router.outbox.MarkSent(this->now, message.records);
    this->network.push_back(std::move(message));
  }

  void Deliver(uint32_t detail) {
    if (this->network.empty()) return;
    const size_t at = detail % this->network.size();
    const bool lost = detail / 64 % 5 == 0;
    if (!lost) return this->DeliverAt(at);
    this->routers[this->network[at].router].full = true;
    this->network.erase(this->network.begin() + static_cast<ptrdiff_t>(at));
  }

  void DeliverAt(size_t at) {
    const Message message = this->network[at];
    this->network.erase(this->network.begin() + static_cast<ptrdiff_t>(at));
    if (message.reply) return this->OnReply(message);
    if (message.term != this->term) return;
    const std::string id = "r" + std::to_string(message.router);
    this->leader.Merge(this->now, id, message.records, message.full);
    Message reply = message;
    reply.reply = true;
    reply.delta = this->leader.DeltaSince(message.epoch, message.version);
    reply.resend = !this->leader.HasFullListFrom(id);
    this->network.push_back(std::move(reply));
  }

  void OnReply(const Message& message) {
    Router& router = this->routers[message.router];
    router.copy.Apply(message.delta);
    if (message.delta.epoch == router.copy.Epoch()) router.full = message.resend;
    router.outbox.Acknowledge(message.records);
    router.outbox.RemoveSuperseded(message.delta.targets);
  }

  void Tick() {
    this->leader.Tick(this->now, this->view);
    for (Router& router : this->routers) {
      for (auto it = router.leases.begin(); it != router.leases.end();) {
        if (this->now < it->second.second) {
          ++it;
          continue;
        }
        TargetRecord gone = it->second.first;
        gone.state = TargetState::kGone;
        router.outbox.Update(this->now, gone);
        it = router.leases.erase(it);
      }
      router.outbox.Prune(this->now);
    }
  }

  // Checks that the directory does not go back to an older record of a target within one leadership
  // term.
  void CheckRecordOrder() {
    for (const TargetRecord& record : this->leader.Targets()) {
      TargetRecord& newest = this->newest[{this->term, record.target}];
      RC_ASSERT(!newest.Supersedes(record));
      newest = record;
    }
  }

  const View view = {{"r0", {}}, {"r1", {}}, {"r2", {}}};
  Time now = TimeAt(0);
  uint64_t term = 0;
  Directory leader;
  std::vector<Router> routers = {
      {RegistrationOutbox("r0")}, {RegistrationOutbox("r1")}, {RegistrationOutbox("r2")}};
  std::deque<Message> network;
  std::map<std::string, TargetRecord> expected_records;
  std::map<std::pair<uint64_t, std::string>, TargetRecord> newest;
};

TEST_CASE("copies converge to the reference model after loss, reordering and leader changes",
          "[directory]") {
  CHECK(rc::check([] {
    DirectorySimulation simulation;
    const auto steps =
        *rc::gen::container<std::vector<uint32_t>>(300, rc::gen::inRange<uint32_t>(0, 1U << 30));
    for (const uint32_t step : steps) simulation.Step(step);
    simulation.CheckConvergence();
  }));
}

}  // namespace
}  // namespace peridotgauge
