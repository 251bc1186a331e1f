// Tests of the list of routers: guards against a router that misses a change, that keeps a router
// which is gone, or that gets the whole list when little has changed.
#include "state/router_list.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

// The leader's list, as the replicated state keeps it.
struct Leader {
  void Join(const std::string& id, uint64_t incarnation) {
    this->routers[id] = {.id = id, .incarnation = incarnation, .http_address = id + ":80"};
    this->changes.Note(++this->index, id);
  }
  void Leave(const std::string& id) {
    this->routers.erase(id);
    this->changes.Note(++this->index, id);
  }
  RouterDelta Since(uint64_t known) const {
    return DeltaSince(this->routers, this->changes, known);
  }

  RouterMap routers;
  RouterChanges changes;
  uint64_t index = 0;
};

TEST_CASE("a router gets what has changed", "[router_list]") {
  Leader leader;
  for (int i = 0; i < 93; ++i) leader.Join("r" + std::to_string(i), 1);
  RouterMap copy;
  REQUIRE(ApplyDelta(leader.Since(0), copy));
  CHECK(copy == leader.routers);
  const uint64_t known = leader.index;

  SECTION("nothing, if nothing has") {
    const RouterDelta delta = leader.Since(known);
    CHECK_FALSE(delta.full);
    CHECK(delta.routers.empty());
    CHECK(ApplyDelta(delta, copy));
  }
  SECTION("one restart and one departure, and no more") {
    leader.Join("r7", 2);
    leader.Leave("r9");
    const RouterDelta delta = leader.Since(known);
    CHECK(delta.routers.size() == 1);
    CHECK(delta.gone == std::vector<std::string>{"r9"});
    REQUIRE(ApplyDelta(delta, copy));
    CHECK(copy == leader.routers);
  }
  SECTION("everything, if the leader has forgotten what was changed") {
    for (uint64_t i = 0; i <= kRouterChangesKept; ++i) leader.Join("r1", 2 + i);
    CHECK(leader.Since(known).full);
    CHECK_FALSE(leader.Since(leader.index - 1).full);
  }
  SECTION("everything, if the leader has restarted from a snapshot") {
    leader.changes = RouterChanges(leader.index);
    leader.Join("r7", 2);
    CHECK(leader.Since(known - 1).full);
    const RouterDelta delta = leader.Since(known);
    CHECK_FALSE(delta.full);
    REQUIRE(ApplyDelta(delta, copy));
    CHECK(copy == leader.routers);
  }
  SECTION("a copy that differs finds out") {
    copy.erase("r3");
    leader.Join("r7", 2);
    CHECK_FALSE(ApplyDelta(leader.Since(known), copy));
    CHECK(ApplyDelta(leader.Since(0), copy));
    CHECK(copy == leader.routers);
  }
}

TEST_CASE("random changes, replies that are lost or overtaken", "[router_list]") {
  CHECK(rc::check("the copy follows the list, whichever replies arrive", [] {
    Leader leader;
    RouterMap copy;
    uint64_t known = 0;
    // Answers that are on their way: made for an index that the copy had when it asked.
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
          answers.emplace_back(leader.index, leader.Since(known));
          break;
        default:
          if (answers.empty()) break;
          const size_t at = *rc::gen::inRange<size_t>(0, answers.size());
          const auto [index, delta] = answers[at];
          answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(at));
          if (index < known) break;  // overtaken
          RC_ASSERT(ApplyDelta(delta, copy));
          known = index;
      }
    }
    RC_ASSERT(ApplyDelta(leader.Since(known), copy));
    RC_ASSERT(copy == leader.routers);
  }));
}

}  // namespace
}  // namespace peridotgauge
