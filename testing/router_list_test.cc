// Guards against a router that misses a change, that keeps a removed router in its list, or that
// receives the full list when little has changed.
#include "state/router_list.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

// The leader's list, updated as in the replicated state.
struct Leader {
  void Join(const std::string& id, uint64_t incarnation) {
    this->routers[id] = {.id = id, .incarnation = incarnation, .http_address = id + ":80"};
    this->changes.Add(++this->index, id);
  }
  void Leave(const std::string& id) {
    this->routers.erase(id);
    this->changes.Add(++this->index, id);
  }
  RouterDelta DeltaFrom(uint64_t known) const {
    return DeltaSince(this->routers, this->changes, known);
  }

  RouterMap routers;
  RouterChangeLog changes;
  uint64_t index = 0;
};

TEST_CASE("a delta contains only what has changed", "[router_list]") {
  Leader leader;
  for (int i = 0; i < 93; ++i) leader.Join("r" + std::to_string(i), 1);
  RouterMap copy;
  REQUIRE(ApplyDelta(leader.DeltaFrom(0), copy));
  CHECK(copy == leader.routers);
  const uint64_t known = leader.index;

  SECTION("nothing, if there was no change") {
    const RouterDelta delta = leader.DeltaFrom(known);
    CHECK_FALSE(delta.full);
    CHECK(delta.routers.empty());
    CHECK(ApplyDelta(delta, copy));
  }
  SECTION("exactly one restart and one departure") {
    leader.Join("r7", 2);
    leader.Leave("r9");
    const RouterDelta delta = leader.DeltaFrom(known);
    CHECK(delta.routers.size() == 1);
    CHECK(delta.gone == std::vector<std::string>{"r9"});
    REQUIRE(ApplyDelta(delta, copy));
    CHECK(copy == leader.routers);
  }
  SECTION("the full list, if the leader no longer has the changes") {
    for (uint64_t i = 0; i <= kMaxRouterChanges; ++i) leader.Join("r1", 2 + i);
    CHECK(leader.DeltaFrom(known).full);
    CHECK_FALSE(leader.DeltaFrom(leader.index - 1).full);
  }
  SECTION("the full list, if the leader has restarted from a snapshot") {
    leader.changes = RouterChangeLog(leader.index);
    leader.Join("r7", 2);
    CHECK(leader.DeltaFrom(known - 1).full);
    const RouterDelta delta = leader.DeltaFrom(known);
    CHECK_FALSE(delta.full);
    REQUIRE(ApplyDelta(delta, copy));
    CHECK(copy == leader.routers);
  }
  SECTION("the digest detects a copy that differs") {
    copy.erase("r3");
    leader.Join("r7", 2);
    CHECK_FALSE(ApplyDelta(leader.DeltaFrom(known), copy));
    CHECK(ApplyDelta(leader.DeltaFrom(0), copy));
    CHECK(copy == leader.routers);
  }
}

TEST_CASE("a copy follows random changes with lost and reordered replies", "[router_list]") {
  CHECK(rc::check("the copy matches the list, whichever replies arrive", [] {
    Leader leader;
    RouterMap copy;
    uint64_t known = 0;
    // Replies in flight, each created for the index that the copy had at the time of its request.
    std::vector<std::pair<uint64_t, RouterDelta>> answers;
    for (int step = *rc::gen::inRange(0, 200); step > 0; --step) {
      const std::string id = "r" + std::to_string(*rc::gen::inRange(0, 6));
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          leader.Join(id, leader.index + 1);
          break;
        case 1:
          leader.Leave(id);
          break;
        case 2:
          answers.emplace_back(leader.index, leader.DeltaFrom(known));
          break;
        default:
          if (answers.empty()) break;
          const size_t at = *rc::gen::inRange<size_t>(0, answers.size());
          const auto [index, delta] = answers[at];
          answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(at));
          if (index < known) break;  // overtaken by a newer reply
          RC_ASSERT(ApplyDelta(delta, copy));
          known = index;
      }
    }
    RC_ASSERT(ApplyDelta(leader.DeltaFrom(known), copy));
    RC_ASSERT(copy == leader.routers);
  }));
}

}  // namespace
}  // namespace peridotgauge
