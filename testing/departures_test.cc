// Tests the departures of targets. They guard against a departure that is forgotten too early, and
// against a list that grows without bound.
#include "state/departures.h"

#include <catch2/catch.hpp>

#include "peer_generated.h"
#include "state/control_state.h"

namespace peridotgauge {
namespace {

TargetRecord Heartbeat(uint64_t incarnation, uint64_t sequence) {
  return {.target = "t", .incarnation = incarnation, .sequence = sequence};
}

TEST_CASE("a departure", "[departures]") {
  DepartureTable departures;
  CHECK(departures.Record(1'000, {"t", 2, 5}));
  SECTION("supersedes what the target sent before") {
    CHECK(departures.Supersedes(Heartbeat(2, 4)));
    CHECK(departures.Supersedes(Heartbeat(1, 9)));
    CHECK_FALSE(departures.Supersedes(Heartbeat(2, 5)));
    CHECK_FALSE(departures.Supersedes(Heartbeat(3, 1)));
    CHECK_FALSE(departures.Supersedes({.target = "other", .incarnation = 1, .sequence = 1}));
  }
  SECTION("is replaced only by a newer one") {
    CHECK_FALSE(departures.Record(1'001, {"t", 2, 5}));
    CHECK_FALSE(departures.Record(1'001, {"t", 1, 9}));
    CHECK(departures.Record(1'001, {"t", 2, kRemovedSequence}));
    CHECK(departures.Supersedes(Heartbeat(2, 1'000'000)));
  }
  SECTION("is kept for the retention time") {
    departures.Record(1'000 + kDepartureRetentionMs - 1, {"u", 1, 1});
    CHECK(departures.Find("t") != nullptr);
    departures.Record(1'000 + kDepartureRetentionMs, {"v", 1, 1});
    CHECK(departures.Find("t") == nullptr);
  }
  SECTION("of an unknown target is counted for the retention time") {
    CHECK(departures.UnknownCount(0) == 0);
    departures.Record(0, {"u", 5, kUnknownRemovedSequence});
    CHECK(departures.UnknownCount(0) == 1);
    CHECK(departures.UnknownCount(kDepartureRetentionMs) == 0);
  }
  SECTION("is the first to go when there are too many") {
    for (size_t i = 0; i < kMaxDepartures; ++i) {
      departures.Record(1'001 + static_cast<int64_t>(i), {"n" + std::to_string(i), 1, 1});
    }
    CHECK(departures.All().size() == kMaxDepartures);
    CHECK(departures.Find("t") == nullptr);
    CHECK(departures.Find("n0") != nullptr);
  }
}

TEST_CASE("departures are replicated state", "[departures]") {
  ControlState state;
  int notified = 0;
  state.SetObserver([&] { ++notified; });
  const auto record = [&](uint64_t index, const std::string& target) {
    wire::RecordDeparturesT command;
    command.targets.push_back(std::make_unique<wire::TargetDepartureT>());
    command.targets[0]->target = target;
    command.targets[0]->incarnation = 1;
    command.targets[0]->sequence = kRemovedSequence;
    wire::CommandBodyUnion body;
    body.Set(std::move(command));
    return ControlState::DecodeReply(
               state.Apply(index, ControlState::Encode(static_cast<int64_t>(index), body)))
        ->error;
  };
  CHECK(record(1, "t") < 0);
  CHECK(notified == 1);
  CHECK(state.DeparturesIndex() == 1);
  CHECK(state.Version() == 0);
  SECTION("a repeated one changes nothing") {
    CHECK(record(2, "t") < 0);
    CHECK(state.DeparturesIndex() == 1);
  }
  SECTION("a snapshot has them") {
    ControlState restored;
    REQUIRE(restored.Restore(1, state.Snapshot()));
    CHECK(restored == state);
    CHECK(restored.Departures().Supersedes(Heartbeat(1, 9)));
  }
  SECTION("one without a name is rejected") {
    CHECK(record(2, "") == static_cast<int8_t>(ErrorCode::kBadRequest));
  }
}

}  // namespace
}  // namespace peridotgauge
