// Tests which connections are closed when the room for callers ends. Guards against a crowd that
// takes all of it, so that the next caller is kept waiting, and against the end of a connection
// that makes progress or whose request runs while another one is idle.
#include "core/caller_room.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotgauge {
namespace {

constexpr size_t kLarge = CallerRoom::kSmallBytes + 1;

struct Fixture {
  Fixture() { this->members.resize(8); }
  // Adds connection `i`, and returns true if there is room for it.
  bool Add(size_t i, Time now) {
    this->members[i] = std::make_unique<CallerRoom::Member>(this->room, now, [this, i] {
      this->closed.push_back(i);
      this->members[i] = nullptr;
    });
    return this->room->MakeRoom(*this->members[i]);
  }

  std::shared_ptr<CallerRoom> room =
      std::make_shared<CallerRoom>(CallerRoomLimits{.connections = 3, .bytes = 10 * kLarge});
  std::vector<std::unique_ptr<CallerRoom::Member>> members;
  std::vector<size_t> closed;
};

TEST_CASE("a new caller takes the place of the connection without progress", "[caller_room]") {
  Fixture fixture;
  const Time start{Seconds(100)};
  for (size_t i = 0; i < 3; ++i) REQUIRE(fixture.Add(i, start + i * Millis(10)));
  CHECK(fixture.closed.empty());
  SECTION("the one whose last progress is the oldest") {
    fixture.members[0]->OnProgress(start + Millis(50), CallerRoom::kProgressBytes);
    REQUIRE(fixture.Add(3, start + Millis(60)));
    CHECK(fixture.closed == std::vector<size_t>{1});
    REQUIRE(fixture.Add(4, start + Millis(60)));
    CHECK(fixture.closed == std::vector<size_t>{1, 2});
  }
  SECTION("single bytes are no progress") {
    for (int i = 0; i < 100; ++i) fixture.members[0]->OnProgress(start + Millis(50 + i), 1);
    REQUIRE(fixture.Add(3, start + Millis(200)));
    CHECK(fixture.closed == std::vector<size_t>{0});
  }
  SECTION("but not that of one whose request runs") {
    for (size_t i = 0; i < 2; ++i) fixture.members[i]->AllowClose(false);
    REQUIRE(fixture.Add(3, start + Millis(60)));
    CHECK(fixture.closed == std::vector<size_t>{2});
    fixture.members[3]->AllowClose(false);
    CHECK_FALSE(fixture.Add(4, start + Millis(60)));
    CHECK(fixture.closed == std::vector<size_t>{2});
    fixture.members[4] = nullptr;
    SECTION("until it has been answered") {
      fixture.members[1]->OnComplete(start + Millis(70));
      fixture.members[1]->AllowClose(true);
      REQUIRE(fixture.Add(5, start + Millis(80)));
      CHECK(fixture.closed == std::vector<size_t>{2, 1});
    }
  }
  fixture.members.clear();
  CHECK(fixture.room->Connections() == 0);
}

TEST_CASE("what callers make a process keep is bounded", "[caller_room]") {
  Fixture fixture;
  const Time start{Seconds(100)};
  for (size_t i = 0; i < 3; ++i) REQUIRE(fixture.Add(i, start));
  const Time later = start + CallerRoom::kStallTime;
  REQUIRE(fixture.members[0]->Keep(start, 6 * kLarge));
  SECTION("large requests that come together are refused, and do not close each other") {
    CHECK_FALSE(fixture.members[1]->Keep(start + Millis(1), 3 * kLarge));
    CHECK(fixture.members[1]->Bytes() == 0);
    CHECK(fixture.closed.empty());
    CHECK(fixture.room->Refused() == 1);
  }
  SECTION("one without progress is closed for the next") {
    CHECK(fixture.members[1]->Keep(later, 3 * kLarge));
    CHECK(fixture.closed == std::vector<size_t>{0});
    CHECK(fixture.room->UsedBytes() == 3 * kLarge);
  }
  SECTION("one with progress is not") {
    fixture.members[0]->OnProgress(later, CallerRoom::kProgressBytes);
    CHECK_FALSE(fixture.members[1]->Keep(later, 3 * kLarge));
  }
  SECTION("large ones leave room for small ones") {
    REQUIRE(fixture.members[1]->Keep(start, 2 * kLarge));
    CHECK_FALSE(fixture.members[2]->Keep(start, kLarge));
    CHECK(fixture.members[2]->Keep(start, CallerRoom::kSmallBytes));
    CHECK(fixture.closed.empty());
  }
  SECTION("and a small one gets room at once") {
    REQUIRE(fixture.members[0]->Keep(start, 8 * kLarge));
    REQUIRE(fixture.members[1]->Keep(start, CallerRoom::kSmallBytes));
    CHECK(fixture.members[2]->Keep(start, CallerRoom::kSmallBytes));
    fixture.members[1]->AllowClose(false);
    REQUIRE(fixture.Add(3, start + Millis(1)));
    CHECK(fixture.members[3]->Keep(start + Millis(1), CallerRoom::kSmallBytes));
    CHECK(fixture.closed == std::vector<size_t>{0});
  }
  CHECK(fixture.room->UsedBytes() <= fixture.room->Limits().bytes);
}

}  // namespace
}  // namespace peridotgauge
