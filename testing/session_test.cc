// Tests of router leases and of sessions at the leader.
#include "state/session.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace peridotgauge {
namespace {

using View = std::map<std::string, RouterRecord>;

View ViewOf(const std::vector<RouterId>& routers) {
  View view;
  for (const RouterId& router : routers) {
    view[router.id] = {.id = router.id, .incarnation = router.incarnation};
  }
  return view;
}

TEST_CASE("a lease starts when the request is sent", "[session]") {
  Lease lease;
  CHECK_FALSE(lease.Valid(TimeAt(0)));
  lease.Renew(TimeAt(100));
  CHECK(lease.Valid(TimeAt(2'099)));
  CHECK_FALSE(lease.Valid(TimeAt(2'100)));
  lease.Renew(TimeAt(50));  // an earlier request whose reply came late
  CHECK(lease.Valid(TimeAt(2'099)));
  lease.Invalidate();
  CHECK_FALSE(lease.Valid(TimeAt(100)));
}

TEST_CASE("a version is in force once sessions acknowledge it or expire", "[session]") {
  SessionTable sessions;
  const View view = ViewOf({{"r1", 1}, {"r2", 1}});
  sessions.Reset(TimeAt(0));
  // A new leader has no acknowledgements, so no version is in force before the routers report.
  CHECK_FALSE(sessions.InForce(TimeAt(0), 5, view));
  sessions.Tick(TimeAt(0), view);
  sessions.Renew(TimeAt(100), {"r1", 1}, 5);
  CHECK(sessions.PendingRouters(TimeAt(100), 5, view) == std::vector<std::string>{"r2"});

  SECTION("by acknowledgement") {
    sessions.Renew(TimeAt(200), {"r2", 1}, 4);
    CHECK_FALSE(sessions.InForce(TimeAt(200), 5, view));
    sessions.Renew(TimeAt(300), {"r2", 1}, 6);
    CHECK(sessions.InForce(TimeAt(300), 5, view));
    CHECK_FALSE(sessions.InForce(TimeAt(300), 6, view));
    // A router that joins later receives the version with its first lease.
    const View larger = ViewOf({{"r1", 1}, {"r2", 1}, {"r3", 1}});
    sessions.Tick(TimeAt(310), larger);
    CHECK(sessions.InForce(TimeAt(310), 5, larger));
  }
  SECTION("by the end of the session") {
    CHECK_FALSE(sessions.InForce(TimeAt(2'499), 5, view));
    CHECK(sessions.Expired(TimeAt(2'499)).empty());
    CHECK(sessions.InForce(TimeAt(2'500), 5, view));
    CHECK(sessions.Expired(TimeAt(2'500)) == std::vector<RouterId>{{"r2", 1}});
    sessions.SetRemovalPending({"r2", 1}, true);
    CHECK(sessions.IsRemovalPending({"r2", 1}));
    CHECK(sessions.Expired(TimeAt(2'500)).empty());
    sessions.Tick(TimeAt(2'500), ViewOf({{"r1", 1}}));
    CHECK(sessions.Sessions().size() == 1);
  }
  SECTION("a new incarnation starts without acknowledgements, an old one is ignored") {
    sessions.Renew(TimeAt(200), {"r1", 2}, 0);
    CHECK(sessions.Sessions().at("r1").acknowledged == 0);
    sessions.Renew(TimeAt(300), {"r1", 1}, 9);
    CHECK(sessions.Sessions().at("r1").acknowledged == 0);
  }
  SECTION("a stall of the leader does not expire sessions") {
    for (int64_t at = 0; at <= 1'000; at += 20) sessions.Tick(TimeAt(at), view);
    sessions.Tick(TimeAt(5'000), view);
    CHECK(sessions.Expired(TimeAt(5'000)).empty());
  }
  SECTION("a new leadership term resets what is in force") {
    sessions.Renew(TimeAt(200), {"r2", 1}, 5);
    REQUIRE(sessions.InForce(TimeAt(200), 5, view));
    sessions.Reset(TimeAt(300));
    sessions.Tick(TimeAt(300), view);
    CHECK_FALSE(sessions.InForce(TimeAt(300), 5, view));
  }
}

// Simulates a router and a succession of leaders over a network with random delays and losses.
// Property: while the router holds a lease, its session has not expired at any leader, and no
// version above the one that the router has applied is in force.
TEST_CASE("a session never ends before the lease", "[session]") {
  CHECK(rc::check([] {
    const View view = ViewOf({{"r1", 1}});
    SessionTable sessions;
    Lease lease;
    uint64_t version = 1;
    uint64_t applied = 0;
    struct Event {
      Time at;
      Time sent;
      bool reply;
      uint64_t version;  // acknowledged by a request, carried by a reply
    };
    std::vector<Event> events;
    sessions.Reset(TimeAt(0));
    sessions.Tick(TimeAt(0), view);
    const auto steps =
        *rc::gen::container<std::vector<uint32_t>>(400, rc::gen::inRange<uint32_t>(0, 1U << 30));
    Time now = TimeAt(0);
    for (const uint32_t step : steps) {
      now += Millis(step % 100);
      const Duration delay = Millis(step / 100 % 1'000);
      const uint32_t action = step / 100'000 % 16;
      if (action < 6) events.push_back({now + delay, now, false, applied});
      if (action == 6) ++version;
      if (action == 7 && step / 1'600'000 % 8 == 0) sessions.Reset(now);
      sessions.Tick(now, view);
      std::stable_sort(events.begin(), events.end(),
                       [](const Event& a, const Event& b) { return a.at < b.at; });
      while (!events.empty() && events.front().at <= now) {
        const Event event = events.front();
        events.erase(events.begin());
        const bool lost = step / 1'600'000 % 4 == 0;
        if (lost) continue;
        if (event.reply) {
          applied = std::max(applied, event.version);
          lease.Renew(event.sent);
        } else {
          sessions.Renew(now, {"r1", 1}, event.version);
          events.push_back({now + delay, event.sent, true, version});
        }
      }
      if (!lease.Valid(now)) continue;
      RC_ASSERT(sessions.Expired(now).empty());
      RC_ASSERT(!sessions.InForce(now, applied + 1, view));
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
