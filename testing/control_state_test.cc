// Tests of the replicated control state: revisions, router list, quarantine, snapshots.
#include "state/control_state.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "core/config.h"
#include "core/digest_text.h"
#include "state/commands.h"

namespace peridotgauge {
namespace {

// Applies commands at increasing log indexes.
struct Machine {
  ControlState state;
  uint64_t index = 0;

  template <typename T>
  wire::CommandReplyT Run(int64_t now_ms, T command) {
    wire::CommandBodyUnion body;
    body.Set(std::move(command));
    const std::string bytes = ControlState::Encode(now_ms, std::move(body));
    return *ControlState::DecodeReply(this->state.Apply(++this->index, bytes));
  }
  wire::CommandReplyT ApplyText(uint64_t revision, const std::string& text) {
    wire::ApplyConfigT command;
    command.revision = revision;
    command.text = text;
    command.digest = std::hash<std::string>()(text);
    command.author = "petra";
    return this->Run(0, std::move(command));
  }
  wire::CommandReplyT Join(const std::string& id, uint64_t incarnation) {
    wire::JoinT command;
    command.router = ToWire(RouterRecord{.id = id, .incarnation = incarnation});
    return this->Run(0, std::move(command));
  }
  wire::CommandReplyT Leave(const std::string& id, uint64_t incarnation, bool clean) {
    wire::LeaveT command;
    command.id = id;
    command.incarnation = incarnation;
    command.clean = clean;
    return this->Run(0, std::move(command));
  }
  wire::CommandReplyT Claim(const std::string& id, const std::string& router,
                            uint64_t incarnation) {
    wire::ClaimT command;
    command.request_id = id;
    command.router = router;
    command.router_incarnation = incarnation;
    command.claim_id = this->index + 1;
    return this->Run(0, std::move(command));
  }
  wire::CommandReplyT Quarantine(int64_t now_ms, uint64_t fingerprint, int64_t duration_ms) {
    wire::QuarantineT command;
    command.fingerprint = fingerprint;
    command.duration_ms = duration_ms;
    return this->Run(now_ms, command);
  }
  wire::CommandReplyT SetEvacuation(const std::string& data_centre, bool evacuated) {
    wire::SetEvacuationT command;
    command.data_centre = data_centre;
    command.evacuated = evacuated;
    return this->Run(0, std::move(command));
  }
  void RestoreFromSnapshot() {
    ControlState restored;
    REQUIRE(restored.Restore(this->index, this->state.Snapshot()));
    REQUIRE(restored == this->state);
    this->state = std::move(restored);
  }
};

bool HasError(const wire::CommandReplyT& reply, ErrorCode code) {
  return reply.error == static_cast<int8_t>(code);
}

TEST_CASE("of two texts with the same revision exactly one is accepted", "[control_state]") {
  Machine machine;
  const auto first = machine.ApplyText(1, "one");
  REQUIRE(first.error < 0);
  const auto second = machine.ApplyText(1, "other");
  CHECK(HasError(second, ErrorCode::kConflict));
  CHECK(second.revision == 1);
  CHECK(second.digest == first.digest);
  CHECK_THAT(second.detail, Catch::Contains(DigestToHex(first.digest)));
  CHECK(machine.state.ConfigText() == "one");

  SECTION("a skipped revision is rejected, and the error names the current one") {
    const auto skipped = machine.ApplyText(3, "three");
    CHECK(HasError(skipped, ErrorCode::kConflict));
    CHECK(skipped.revision == 1);
    CHECK_THAT(skipped.detail, Catch::Contains("needs revision 2"));
  }
  SECTION("a resent text gets its original result and does not become current again") {
    const auto again = machine.ApplyText(1, "one");
    CHECK(again.repeated);
    CHECK(again.index == first.index);
    for (uint64_t revision = 2; revision <= 301; ++revision) {
      REQUIRE(machine.ApplyText(revision, "text " + std::to_string(revision)).error < 0);
    }
    const uint64_t version = machine.state.Version();
    for (int round = 0; round < 2; ++round) {
      const auto late = machine.ApplyText(1, "one");
      CHECK(late.error < 0);
      CHECK(late.repeated);
      CHECK(late.index == first.index);
      CHECK(late.revision == 1);
      CHECK(HasError(machine.ApplyText(1, "other"), ErrorCode::kConflict));
      CHECK(machine.state.ConfigText() == "text 301");
      CHECK(machine.state.Version() == version);
      machine.RestoreFromSnapshot();
    }
  }
}

TEST_CASE("digests of all revisions are stored, also without their texts", "[control_state]") {
  Machine machine;
  const std::string large(kMaxConfigBytes - 10, 'x');
  for (uint64_t revision = 1; revision <= 20; ++revision) {
    REQUIRE(machine.ApplyText(revision, std::to_string(revision) + large).error < 0);
  }
  CHECK(machine.state.FindDetail(1) == nullptr);
  CHECK(machine.state.FindDetail(20)->author == "petra");
  CHECK(machine.state.FindDetail(21) == nullptr);
  CHECK(machine.ApplyText(1, "1" + large).repeated);
  CHECK(
      HasError(machine.ApplyText(21, std::string(kMaxConfigBytes + 1, 'x')), ErrorCode::kTooLarge));
  machine.RestoreFromSnapshot();
  CHECK(machine.ApplyText(1, "1" + large).repeated);
}

TEST_CASE("the router list is a sequence of views", "[control_state]") {
  Machine machine;
  REQUIRE(machine.Join("r1", 5).error < 0);
  const uint64_t view = machine.state.ViewIndex();
  REQUIRE(machine.Join("r1", 5).error < 0);
  CHECK(machine.state.ViewIndex() == view);
  CHECK(HasError(machine.Join("r1", 4), ErrorCode::kConflict));

  SECTION("a draining router stays in the view and keeps claiming") {
    REQUIRE(machine.Leave("r1", 5, false).error < 0);
    CHECK(machine.state.Routers().at("r1").draining);
    CHECK(machine.state.ViewIndex() > view);
    CHECK(machine.Claim("a", "r1", 5).error < 0);
  }
  SECTION("claims of a router that has left or restarted are in doubt") {
    REQUIRE(machine.Claim("a", "r1", 5).claim == wire::ClaimState::Granted);
    REQUIRE(machine.Join("r2", 1).error < 0);
    const bool restart = GENERATE(false, true);
    if (restart) {
      REQUIRE(machine.Join("r1", 6).error < 0);
    } else {
      REQUIRE(machine.Leave("r1", 5, true).error < 0);
    }
    CHECK(machine.Claim("a", "r2", 1).claim == wire::ClaimState::InDoubt);
    // Guards against a grant to a router that has left: no later departure would put that claim in
    // doubt.
    CHECK(HasError(machine.Claim("b", "r1", 5), ErrorCode::kNotSynchronized));
  }
  SECTION("a late departure does not remove the next incarnation") {
    REQUIRE(machine.Join("r1", 6).error < 0);
    REQUIRE(machine.Leave("r1", 5, true).error < 0);
    CHECK(machine.state.IsMember("r1", 6));
  }
  SECTION("ledger commands do not change the version") {
    const uint64_t version = machine.state.Version();
    REQUIRE(machine.Claim("a", "r1", 5).error < 0);
    CHECK(machine.state.Version() == version);
  }
}

TEST_CASE("quarantine is bounded and uses the log time", "[control_state]") {
  Machine machine;
  REQUIRE(machine.Quarantine(1'000, 7, 500).error < 0);
  REQUIRE(machine.Quarantine(1'000, 7, 100).error < 0);
  CHECK(machine.state.Quarantined().at(7) == 1'500);
  // A new leader with a clock that is behind does not move the log time back.
  REQUIRE(machine.Quarantine(0, 8, 1'000).error < 0);
  CHECK(machine.state.Quarantined().at(8) == 2'000);
  for (uint64_t i = 10; machine.state.Quarantined().size() < kMaxQuarantined; ++i) {
    REQUIRE(machine.Quarantine(1'000, i, 1'000).error < 0);
  }
  CHECK(HasError(machine.Quarantine(1'000, 5, 100), ErrorCode::kOverloaded));
  CHECK(machine.Quarantine(1'500, 5, 100).error < 0);
  CHECK(HasError(machine.Quarantine(0, 5, 0), ErrorCode::kBadRequest));
}

TEST_CASE("crashes of requests are part of the state", "[control_state]") {
  Machine machine;
  const auto record = [&](int64_t now_ms, const std::string& target) {
    wire::RecordCrashesT command;
    auto entry = std::make_unique<wire::RequestCrashT>();
    entry->fingerprint = 7;
    entry->crash = ToWire(TargetCrash{.service = "s", .target = target, .incarnation = 1});
    command.crashes.push_back(std::move(entry));
    return machine.Run(now_ms, std::move(command));
  };
  const auto begin = [&](uint64_t trial, const std::vector<TargetCrash>& crashes = {}) {
    wire::BeginTrialT command;
    command.fingerprint = 7;
    command.trial = trial;
    command.hold_ms = 1'000;
    command.crashes = ToWire(crashes);
    return machine.Run(2'000, std::move(command));
  };
  const auto end = [&](uint64_t trial, const std::vector<std::string>& answered,
                       const std::vector<TargetCrash>& crashes) {
    wire::EndTrialT command;
    command.fingerprint = 7;
    command.trial = trial;
    command.answered = answered;
    command.crashes = ToWire(crashes);
    return machine.Run(2'000, std::move(command));
  };
  REQUIRE(record(1'000, "a").error < 0);
  SECTION("one crash is not sent to routers") {
    CHECK(machine.state.Version() == 0);
    CHECK(machine.state.QuarantineIndex() == 0);
    machine.RestoreFromSnapshot();
    SECTION("but counts after a restart") {
      REQUIRE(record(1'000, "b").error < 0);
      CHECK(machine.state.QuarantineList().size() == 1);
    }
  }
  SECTION("a trial is granted only after the crashes that the router knows") {
    CHECK(begin(1, {{.service = "s", .target = "b", .incarnation = 1}}).error < 0);
    CHECK(HasError(begin(2), ErrorCode::kSuspect));
  }
  SECTION("two are, as is the end of the suspicion, over restarts") {
    REQUIRE(record(1'500, "b").error < 0);
    CHECK(machine.state.Version() == machine.index);
    CHECK(machine.state.QuarantineIndex() == machine.index);
    machine.RestoreFromSnapshot();
    REQUIRE(begin(1).error < 0);
    CHECK(machine.state.QuarantineIndex() == machine.index - 1);
    machine.RestoreFromSnapshot();
    CHECK(HasError(begin(2), ErrorCode::kSuspect));
    REQUIRE(end(1, {"s"}, {}).error < 0);
    CHECK(machine.state.QuarantineIndex() == machine.index);
    CHECK(machine.state.QuarantineList().empty());
  }
  SECTION("a request without trials left is blocked over restarts") {
    REQUIRE(record(1'500, "b").error < 0);
    for (uint64_t trial = 1; trial <= kMaxTrials; ++trial) {
      REQUIRE(begin(trial).error < 0);
      const std::string target = "c" + std::to_string(trial);
      end(trial, {}, {{.service = "s", .target = target, .incarnation = 1}});
      machine.RestoreFromSnapshot();
    }
    CHECK(HasError(begin(9), ErrorCode::kQuarantined));
    REQUIRE(machine.state.QuarantineList().size() == 1);
    CHECK_FALSE(machine.state.QuarantineList().front().suspect);
  }
  SECTION("incomplete commands are rejected") {
    wire::RecordCrashesT command;
    command.crashes.push_back(std::make_unique<wire::RequestCrashT>());
    const wire::CommandReplyT reply = machine.Run(0, std::move(command));
    CHECK(HasError(reply, ErrorCode::kBadRequest));
    CHECK(HasError(begin(0), ErrorCode::kBadRequest));
  }
}

TEST_CASE("malformed input is rejected", "[control_state]") {
  Machine machine;
  machine.ApplyText(1, "one");
  const ControlState before = machine.state;
  const auto reply = ControlState::DecodeReply(machine.state.Apply(9, "garbage"));
  CHECK(HasError(*reply, ErrorCode::kBadRequest));
  CHECK(machine.state == before);
  const std::string snapshot = machine.state.Snapshot();
  CHECK(machine.state.Restore(9, "garbage").error().code == ErrorCode::kCorrupt);
  CHECK(machine.state.Restore(9, snapshot.substr(0, snapshot.size() / 2)).error().code ==
        ErrorCode::kCorrupt);
  // A snapshot whose version is above its log index.
  CHECK(machine.state.Restore(0, snapshot).error().code == ErrorCode::kCorrupt);
  CHECK(machine.state == before);
  CHECK_FALSE(ControlState::DecodeReply("garbage"));
}

// Compares the configuration history with a reference model: a list of all texts.
TEST_CASE("concurrent and resent revisions agree with the reference model", "[control_state]") {
  CHECK(rc::check([] {
    Machine machine;
    std::vector<std::string> accepted;
    const auto steps =
        *rc::gen::container<std::vector<uint32_t>>(120, rc::gen::inRange<uint32_t>(0, 1U << 30));
    for (const uint32_t step : steps) {
      if (step % 10 == 0) machine.RestoreFromSnapshot();
      const uint64_t revision = 1 + step / 10 % (accepted.size() + 2);
      const std::string text = std::to_string(revision) + (step / 10'000 % 2 == 0 ? "a" : "b");
      const bool next = revision == accepted.size() + 1;
      const bool same = revision <= accepted.size() && accepted[revision - 1] == text;
      const auto reply = machine.ApplyText(revision, text);
      RC_ASSERT((reply.error < 0) == (next || same));
      RC_ASSERT(reply.repeated == same);
      if (next) accepted.push_back(text);
      RC_ASSERT(machine.state.ConfigText() == (accepted.empty() ? "" : accepted.back()));
      RC_ASSERT(machine.state.Revision() == accepted.size());
    }
  }));
}

TEST_CASE("the highest revision is accepted", "[control_state]") {
  Machine machine;
  const auto apply = [&](uint64_t revision, const std::string& text) {
    wire::ApplyConfigT command;
    command.revision = revision;
    command.text = text;
    command.digest = std::hash<std::string>()(text);
    command.highest = true;
    return machine.Run(0, std::move(command));
  };
  CHECK(apply(7, "seven").error < 0);
  CHECK(apply(40, "forty").error < 0);
  const uint64_t version = machine.state.Version();
  SECTION("an older or equal revision is acknowledged and changes nothing") {
    for (const uint64_t revision : {1, 7, 39, 40}) {
      const wire::CommandReplyT reply = apply(revision, "other");
      CHECK(reply.error < 0);
      CHECK(reply.repeated);
    }
    CHECK(machine.state.ConfigText() == "forty");
    CHECK(machine.state.Version() == version);
  }
  SECTION("it is restored from a snapshot") {
    ControlState restored;
    REQUIRE(restored.Restore(machine.index, machine.state.Snapshot()));
    CHECK(restored == machine.state);
    CHECK(restored.Revision() == 40);
    CHECK(restored.ConfigText() == "forty");
  }
  SECTION("the two acceptance rules cannot be mixed") {
    CHECK(machine.ApplyText(41, "next").error == static_cast<int8_t>(ErrorCode::kInvalidConfig));
  }
}

// Guards against a resent command that is taken for a change, and against an unbounded list.
TEST_CASE("data centres are evacuated", "[control_state][evacuation]") {
  Machine machine;
  REQUIRE(machine.SetEvacuation("dc-b", true).error < 0);
  const uint64_t first = machine.index;
  CHECK(machine.state.Evacuated() == std::set<std::string>{"dc-b"});
  CHECK(machine.state.EvacuationsIndex() == first);
  CHECK(machine.state.Version() == first);

  SECTION("a resent command changes nothing") {
    CHECK(machine.SetEvacuation("dc-b", true).error < 0);
    CHECK(machine.SetEvacuation("dc-c", false).error < 0);
    CHECK(machine.state.EvacuationsIndex() == first);
    CHECK(machine.state.Version() == first);
  }
  SECTION("until it ends") {
    CHECK(machine.SetEvacuation("dc-b", false).error < 0);
    CHECK(machine.state.Evacuated().empty());
    CHECK(machine.state.EvacuationsIndex() == machine.index);
    machine.RestoreFromSnapshot();
    CHECK(machine.state.EvacuationsIndex() == machine.index);
  }
  SECTION("names have a length limit") {
    CHECK(HasError(machine.SetEvacuation("", true), ErrorCode::kBadRequest));
    const std::string longest(kMaxDataCentreBytes, 'x');
    CHECK(HasError(machine.SetEvacuation(longest + "x", true), ErrorCode::kBadRequest));
    CHECK(machine.state.EvacuationsIndex() == first);
    CHECK(machine.SetEvacuation(longest, true).error < 0);
    machine.RestoreFromSnapshot();
    CHECK(machine.state.Evacuated().contains(longest));
  }
  SECTION("their number has a limit, at which known ones are still confirmed") {
    for (size_t i = 1; i < kMaxEvacuated; ++i) {
      REQUIRE(machine.SetEvacuation("x" + std::to_string(i), true).error < 0);
    }
    CHECK(HasError(machine.SetEvacuation("other", true), ErrorCode::kOverloaded));
    CHECK(machine.SetEvacuation("dc-b", true).error < 0);
    CHECK(machine.SetEvacuation("dc-b", false).error < 0);
    CHECK(machine.SetEvacuation("other", true).error < 0);
  }
}

// Guards against a list that differs between a controller that applied the log and one that was
// restored from a snapshot, and against a change without a new index, which routers would not get.
TEST_CASE("evacuations follow the last command for each data centre",
          "[control_state][evacuation][property]") {
  REQUIRE(rc::check([] {
    Machine machine;
    Machine restored;
    std::set<std::string> expected;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const std::string name = "dc-" + std::to_string(*rc::gen::inRange(0, 4));
      const bool evacuated = *rc::gen::arbitrary<bool>();
      const bool changes = evacuated ? expected.insert(name).second : expected.erase(name) > 0;
      const uint64_t index = machine.state.EvacuationsIndex();
      const uint64_t version = machine.state.Version();
      RC_ASSERT(machine.SetEvacuation(name, evacuated).error < 0);
      RC_ASSERT(restored.SetEvacuation(name, evacuated).error < 0);
      RC_ASSERT(machine.state.Evacuated() == expected);
      RC_ASSERT(machine.state.EvacuationsIndex() == (changes ? machine.index : index));
      RC_ASSERT(machine.state.Version() == (changes ? machine.index : version));
      if (*rc::gen::inRange(0, 4) == 0) restored.RestoreFromSnapshot();
      RC_ASSERT(restored.state == machine.state);
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
