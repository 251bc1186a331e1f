// Tests of the open slots of workspaces. They guard against more routers with a slot than the limit
// allows, also when replies are lost and leaders change, and against slots that idle routers keep.
#include "state/open_slots.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace peridotgauge {
namespace {

const RouterId kR1 = {"r1", 1};
const RouterId kR2 = {"r2", 1};
const RouterId kR3 = {"r3", 1};

class TestSlots {
 public:
  TestSlots() { this->slots.Reset(TimeAt(0)); }
  // An ask of a router whose callers use workspace "w". Returns whether it has a slot afterwards.
  bool Ask(int64_t at, const RouterId& router, bool uses = true) {
    this->slots.Expire(TimeAt(at));
    if (uses) this->slots.Use(TimeAt(at), router, "w", this->limit);
    return this->slots.Renew(TimeAt(at), router, [this](std::string_view) { return this->limit; })
        .contains("w");
  }

  OpenSlots slots;
  size_t limit = 2;
};

TEST_CASE("open slots of a workspace", "[open_slots]") {
  TestSlots test;
  CHECK(!test.Ask(2'599, kR1));  // slots of an earlier leader may still be used
  CHECK(test.Ask(2'600, kR1));
  CHECK(test.Ask(2'700, kR2));
  CHECK(!test.Ask(2'800, kR3));
  SECTION("stay with the routers that ask, also between requests of the workspace") {
    for (int64_t at = 3'000; at < 60'000; at += 1'000) {
      CHECK(test.Ask(at, kR1, /*uses=*/false));
      CHECK(test.Ask(at, kR2, /*uses=*/false));
    }
  }
  SECTION("end if the router does not ask any more") {
    CHECK(test.Ask(5'100, kR2));
    CHECK(!test.Ask(5'199, kR3));
    CHECK(test.Ask(5'200, kR3));
    CHECK(!test.Ask(5'300, kR1));
  }
  SECTION("are not those of an earlier incarnation of the router") {
    CHECK(!test.Ask(3'000, {"r1", 2}));
  }
  SECTION("leave a router that is idle for one that is not") {
    for (int64_t at = 3'000; at <= 12'500; at += 500) {
      CHECK(test.Ask(at, kR1, /*uses=*/false));
      CHECK(test.Ask(at, kR2));
      CHECK(!test.Ask(at, kR3));
    }
    // The reply that withdraws the slot may be lost, so that it ends only after its time.
    CHECK(!test.Ask(12'600, kR3));
    CHECK(!test.Ask(12'700, kR1, /*uses=*/false));
    CHECK(!test.Ask(15'099, kR3));
    CHECK(test.Ask(15'100, kR3));
  }
  SECTION("are fewer at once if the limit falls") {
    test.limit = 1;
    CHECK(test.Ask(3'000, kR1));
    CHECK(!test.Ask(3'000, kR2));
    test.limit = 0;
    CHECK(!test.Ask(3'100, kR1));
  }
  SECTION("are removed") {
    CHECK(test.slots.Size() == 2);
    test.slots.Expire(TimeAt(5'300));
    CHECK(test.slots.Size() == 0);
  }
}

TEST_CASE("drawn histories of open slots", "[open_slots][property]") {
  CHECK(rc::check("at most the limit of routers have a slot", [] {
    TestSlots test;
    std::map<std::string, Time> used_until;  // by router and incarnation, as the routers know it
    int64_t at = 0;
    const int steps = *rc::gen::inRange(10, 200);
    for (int step = 0; step < steps; ++step) {
      at += *rc::gen::element(1, 50, 700, 2'500);
      if (*rc::gen::inRange(0, 40) == 0) test.slots.Reset(TimeAt(at));
      const RouterId router = {"r" + std::to_string(*rc::gen::inRange(0, 6)),
                               *rc::gen::inRange<uint64_t>(1, 3)};
      const std::string name = router.id + "/" + std::to_string(router.incarnation);
      const int64_t sent = at;
      at += *rc::gen::element(0, 20, 300);  // of the ask on its way to the leader
      const bool open = test.Ask(at, router, *rc::gen::arbitrary<bool>());
      if (*rc::gen::inRange(0, 4) == 0) continue;  // the reply is lost
      if (open) {
        used_until[name] = TimeAt(sent) + kOpenTime;
      } else {
        used_until.erase(name);
      }
      size_t holders = 0;
      for (const auto& [each, until] : used_until) {
        if (TimeAt(at) < until) ++holders;
      }
      RC_ASSERT(holders <= test.limit);
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
