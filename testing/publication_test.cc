// Tests of the wait for routers: guards against an acknowledgement before every live router knows,
// and one that never comes.
#include "state/publication.h"

#include <catch2/catch.hpp>
#include <optional>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(10'000);

TEST_CASE("a change is published", "[publication]") {
  Publication publication;
  std::map<std::string, Session> sessions = {{"r1", {.last_arrival = kStart}},
                                             {"r2", {.last_arrival = kStart}}};
  publication.Note("r1", 7);
  std::optional<bool> answer;
  publication.Await(7, kStart + Millis(600), [&](bool published) { answer = published; });
  SECTION("not while a router holds an older version") {
    publication.Note("r2", 6);
    CHECK(publication.UpTo(kStart, 7, sessions) == 6);
    publication.Answer(kStart, 6);
    CHECK_FALSE(answer);
    SECTION("but when it has caught up") {
      publication.Note("r2", 7);
      publication.Answer(kStart, publication.UpTo(kStart, 7, sessions));
      CHECK(answer == true);
      CHECK_FALSE(publication.Awaited());
    }
    SECTION("and when its session has ended") {
      sessions["r1"].last_arrival = kStart + kSessionLength;
      CHECK(publication.UpTo(kStart + kSessionLength, 7, sessions) == 7);
    }
  }
  SECTION("not while a router has said nothing") {
    CHECK(publication.UpTo(kStart, 7, sessions) == 0);
  }
  SECTION("at the limit in any case") {
    publication.Answer(kStart + Millis(600), 0);
    CHECK(answer == true);
  }
  SECTION("not by a leader that stops leading") {
    publication.FailAll();
    CHECK(answer == false);
  }
}

}  // namespace
}  // namespace peridotgauge
