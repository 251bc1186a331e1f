// Tests of one router's part of the request quotas. They guard against requests that are counted
// twice or never decided, permits used after their end, and waits without bound.
#include "core/workspace_quota.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

const Workspace kLarge = {.name = "a", .quota = {43, 43}};  // E is 45.8
const Workspace kSmall = {.name = "s", .quota = {0.5, 0.5}};

// The reply of a leader that says that both workspaces are near their limit.
QuotaGrants Permits(uint32_t count, double own_share = 0) {
  return {.permits = {{"a", count}},
          .valid = kPermitLifetime,
          .own_share = own_share,
          .near_limit = {"a", "s"}};
}

// Guards against a wait for the leader of workspaces that are far from their limit, and against
// requests that are admitted without being reported.
TEST_CASE("requests of a workspace that is not near its limit", "[workspace_quota]") {
  WorkspaceQuota quota({});
  quota.SetRouters(TimeAt(0), 64);
  CHECK(quota.Admit(TimeAt(0), kSmall, Millis(250)).result == QuotaResult::kWaiting);
  REQUIRE(quota.NextAsk(TimeAt(0)));
  quota.OnGrants(TimeAt(5), {.permits = {{"s", 1}},
                             .valid = kPermitLifetime,
                             .near_limit = {"a"},
                             .open_slots = {"a", "s"}});
  CHECK(quota.Admit(TimeAt(10), kSmall, Millis(250)).result == QuotaResult::kAdmitted);
  CHECK(quota.Admit(TimeAt(11), kLarge, Millis(0)).result == QuotaResult::kRefused);
  SECTION("are admitted again once they were reported") {
    CHECK(quota.Admit(TimeAt(12), kSmall, Millis(0)).result == QuotaResult::kRefused);
    const auto ask = quota.NextAsk(TimeAt(300));
    REQUIRE(ask);
    REQUIRE(ask->demands.size() == 1);
    CHECK(ask->demands[0].spent == 1);
    SECTION("by a reply") {
      quota.OnGrants(TimeAt(305), {.valid = kPermitLifetime, .open_slots = {"s"}});
      CHECK(quota.Admit(TimeAt(306), kSmall, Millis(0)).result == QuotaResult::kAdmitted);
    }
    SECTION("and reported again without one") {
      quota.OnNoReply(TimeAt(400));
      const auto again = quota.NextAsk(TimeAt(700));
      REQUIRE(again);
      CHECK(again->demands[0].spent == 1);
    }
  }
  SECTION("wait once the leader has said nothing for too long, or the lease is lost") {
    const bool lost = GENERATE(false, true);
    if (lost) quota.OnLost(TimeAt(20));
    const Time later = lost ? TimeAt(30) : TimeAt(20) + kOpenTime;
    CHECK(quota.Admit(later, kSmall, Millis(0)).result == QuotaResult::kRefused);
  }
}

TEST_CASE("a router without contact to the leader yet", "[workspace_quota]") {
  WorkspaceQuota quota({});
  quota.SetRouters(TimeAt(0), 4);
  CHECK(quota.NextAction() == Time::max());
  const QuotaVerdict first = quota.Admit(TimeAt(0), kLarge, Millis(250));
  REQUIRE(first.result == QuotaResult::kWaiting);
  const auto ask = quota.NextAsk(TimeAt(0));
  REQUIRE(ask);
  CHECK(ask->demands == std::vector<QuotaDemand>{{"a", 1, 0}});
  CHECK_FALSE(quota.NextAsk(TimeAt(1)));  // one in flight

  SECTION("a permit admits the request that waits, and no other") {
    const auto decisions = quota.OnGrants(TimeAt(5), Permits(1));
    CHECK(decisions == std::vector<QuotaDecision>{{.ticket = first.ticket, .admitted = true}});
    CHECK(quota.Admit(TimeAt(6), kLarge, Millis(250)).result == QuotaResult::kWaiting);
    CHECK(quota.Waiting() == 1);
  }
  SECTION("permits end") {
    quota.OnGrants(TimeAt(5), Permits(3));
    CHECK(quota.Admit(TimeAt(399), kLarge, Millis(0)).result == QuotaResult::kAdmitted);
    CHECK(quota.Admit(TimeAt(400), kLarge, Millis(0)).result == QuotaResult::kRefused);
    CHECK(quota.PermitsExpired() == 1);
  }
  SECTION("a reply that comes after the end of its permits grants nothing") {
    const auto decisions = quota.OnGrants(TimeAt(401), Permits(3));
    REQUIRE(decisions.size() == 1);
    CHECK_FALSE(decisions[0].admitted);
  }
  SECTION("without permits, the request is refused, and further ones at once") {
    const auto decisions = quota.OnGrants(TimeAt(5), Permits(0));
    REQUIRE(decisions.size() == 1);
    CHECK_FALSE(decisions[0].admitted);
    CHECK(decisions[0].retry.earliest >= kMinRefusal);
    CHECK(quota.Admit(TimeAt(6), kLarge, Millis(250)).result == QuotaResult::kRefused);
    CHECK(quota.Admit(TimeAt(56), kLarge, Millis(250)).result == QuotaResult::kWaiting);
  }
  SECTION("a request that came after the ask waits for the next one") {
    CHECK(quota.Admit(TimeAt(2), kLarge, Millis(250)).result == QuotaResult::kWaiting);
    CHECK(quota.OnGrants(TimeAt(5), Permits(1)).size() == 1);
    CHECK(quota.Waiting() == 1);
    CHECK(quota.NextAsk(TimeAt(15))->demands[0].wanted == 1);
  }
  SECTION("without a reply, it is refused when its time is over") {
    CHECK(quota.OnNoReply(TimeAt(200)).empty());
    CHECK(quota.NextAsk(TimeAt(250)));
    CHECK(quota.NextAction() <= TimeAt(250));
    const auto decisions = quota.Expire(TimeAt(250));
    REQUIRE(decisions.size() == 1);
    CHECK_FALSE(decisions[0].admitted);
    CHECK(quota.Waiting() == 0);
  }
  SECTION("a caller that leaves takes no permit") {
    quota.Withdraw(first.ticket);
    CHECK(quota.OnGrants(TimeAt(5), Permits(1)).empty());
    CHECK(quota.Admit(TimeAt(6), kLarge, Millis(0)).result == QuotaResult::kAdmitted);
  }
}

// Has the leader give the router a share of the limit.
void GiveShare(WorkspaceQuota& quota, int64_t at, double share) {
  REQUIRE(quota.NextAsk(TimeAt(at)));
  quota.OnGrants(TimeAt(at), Permits(0, share));
}

TEST_CASE("the base allowance of a router", "[workspace_quota]") {
  WorkspaceQuota quota({});
  quota.SetRouters(TimeAt(0), 4);
  const auto admitted = [&](int64_t at, const Workspace& workspace) {
    int count = 0;
    while (quota.Admit(TimeAt(at), workspace, Millis(0)).result == QuotaResult::kAdmitted) ++count;
    return count;
  };
  // What an earlier process of this router has used is not known.
  CHECK(admitted(0, kLarge) == 0);
  GiveShare(quota, 100, 0.25);
  CHECK(admitted(4'000, kLarge) == 0);
  CHECK(admitted(8'000, kLarge) == 0);
  CHECK(admitted(11'000, kLarge) == 4);  // 0.4 x 45.8 / 4
  CHECK(admitted(11'000, kSmall) == 2);
  CHECK(admitted(15'900, kLarge) == 0);
  CHECK(admitted(16'600, kLarge) == 4);
  SECTION("is smaller with more routers, and larger with fewer only after two windows") {
    quota.SetRouters(TimeAt(20'000), 12);
    CHECK(admitted(20'000, kSmall) == 0);
    CHECK(admitted(22'200, kLarge) == 1);
    quota.SetRouters(TimeAt(22'200), 4);
    CHECK(admitted(27'000, kSmall) == 0);
    CHECK(admitted(27'800, kLarge) == 1);
    CHECK(admitted(32'000, kSmall) == 0);
    CHECK(admitted(33'400, kLarge) == 4);
  }
  SECTION("begins again after a time without callers") { CHECK(admitted(30'000, kLarge) == 0); }
  // Guards against allowances that are more than their part of the excess together, as a router
  // without contact has a larger one than the present number of routers gives it.
  SECTION("is not larger than its share of the limit") {
    GiveShare(quota, 20'000, 0.12);
    CHECK(admitted(20'000, kSmall) == 0);
    CHECK(admitted(22'200, kLarge) == 2);  // 0.4 x 45.8 / 9
    GiveShare(quota, 23'000, 0.25);
    CHECK(admitted(27'000, kSmall) == 0);
    CHECK(admitted(27'800, kLarge) == 2);
    CHECK(admitted(32'000, kSmall) == 0);
    CHECK(admitted(33'400, kLarge) == 4);  // a larger share counts after two windows
  }
  SECTION("ends with the share of a router without contact") {
    quota.OnLost(TimeAt(17'000));
    CHECK(admitted(17'500, kSmall) == 2);
    for (int64_t at = 20'000; at < 77'000; at += 1'000) admitted(at, kSmall);
    CHECK(admitted(76'900, kLarge) > 0);
    for (int64_t at = 77'000; at < 100'000; at += 1'000) {
      CHECK(admitted(at, kSmall) == 0);
      CHECK(admitted(at, kLarge) == 0);
    }
  }
}

TEST_CASE("a router without a share of the limit has no base allowance", "[workspace_quota]") {
  WorkspaceQuota quota({});
  quota.SetRouters(TimeAt(0), 1);
  quota.Admit(TimeAt(0), kLarge, Millis(0));
  const bool replied = GENERATE(false, true);
  for (int64_t at = 1'000; at <= 30'000; at += 1'000) {
    CHECK(quota.Admit(TimeAt(at), kLarge, Millis(0)).result == QuotaResult::kRefused);
    if (replied) GiveShare(quota, at + 100, 0);
  }
}

TEST_CASE("a router that has lost its lease uses its share of the limit", "[workspace_quota]") {
  WorkspaceQuota quota({});
  quota.SetRouters(TimeAt(0), 4);
  quota.Admit(TimeAt(0), kLarge, Millis(250));
  REQUIRE(quota.NextAsk(TimeAt(0)));
  quota.OnGrants(TimeAt(5), Permits(1, 0.25));
  quota.OnLost(TimeAt(2'000));
  // The leader may not know yet that the router has lost contact.
  CHECK(quota.Admit(TimeAt(2'900), kLarge, Millis(250)).result == QuotaResult::kRefused);
  int count = 0;
  for (int64_t at = 3'000; at < 8'000; at += 5) {
    const bool admitted =
        quota.Admit(TimeAt(at), kLarge, Millis(0)).result == QuotaResult::kAdmitted;
    count += admitted ? 1 : 0;
  }
  // 5 s at a quarter of 43 per second and of the filling share of E.
  CHECK(count >= 53);
  CHECK(count <= 55);
  SECTION("for a limited time") {
    CHECK(quota.Admit(TimeAt(61'900), kLarge, Millis(0)).result == QuotaResult::kAdmitted);
    CHECK(quota.Admit(TimeAt(62'000), kLarge, Millis(0)).result == QuotaResult::kRefused);
  }
  SECTION("until it has the lease again") {
    quota.OnRegained();
    CHECK(quota.Admit(TimeAt(9'000), kLarge, Millis(0)).result == QuotaResult::kRefused);
  }
}

TEST_CASE("a router asks early and in one message", "[workspace_quota]") {
  WorkspaceQuota quota({});
  quota.SetRouters(TimeAt(0), 20);
  // 40 requests in a second, one each 25 ms, and a reply 5 ms after each ask.
  int64_t asks = 0;
  int waited = 0;
  Time reply_at = Time::max();
  uint32_t wanted = 0;
  for (int64_t at = 0; at < 3'000; at += 5) {
    const Time now = TimeAt(at);
    if (now >= reply_at) {
      quota.OnGrants(now, Permits(wanted));
      reply_at = Time::max();
    }
    if (at % 25 == 0 && quota.Admit(now, kLarge, Millis(250)).result == QuotaResult::kWaiting &&
        at > 1'000) {
      ++waited;
    }
    if (const auto ask = quota.NextAsk(now)) {
      CHECK(ask->demands.size() <= 1);
      ++asks;
      wanted = ask->demands.empty() ? 0 : ask->demands[0].wanted;
      reply_at = now + Millis(5);
    }
  }
  CHECK(waited == 0);
  CHECK(asks <= 60);
  CHECK(quota.PermitsExpired() == 0);
}

// Guards against a request that waits for an interval of the pace after a quiet time, because a
// request of another workspace has just used the interval, and against a burst that raises the mean
// pace of all routers together.
TEST_CASE("the pace of asks while requests wait", "[workspace_quota]") {
  WorkspaceQuota quota({});
  quota.SetRouters(TimeAt(0), 83);
  // A new workspace each time, as one that was just refused is refused again at once.
  auto wait = [&quota, count = 0](Time now) mutable {
    const Workspace workspace = {.name = std::to_string(++count), .quota = {0.5, 0.5}};
    return quota.Admit(now, workspace, kMaxQuotaWait).result == QuotaResult::kWaiting;
  };
  // Returns when the next ask is sent, by timer, and has it answered.
  const auto ask_time = [&quota](Time now) {
    if (!quota.NextAsk(now)) {
      now = quota.NextAction();
      REQUIRE(quota.NextAsk(now));
    }
    quota.OnGrants(now, Permits(0));
    return now;
  };
  REQUIRE(wait(TimeAt(0)));
  CHECK(ask_time(TimeAt(0)) == TimeAt(0));

  SECTION("two more asks after a quiet time are sent at once") {
    REQUIRE(wait(TimeAt(15)));
    CHECK(ask_time(TimeAt(15)) == TimeAt(15));
    REQUIRE(wait(TimeAt(40)));
    CHECK(ask_time(TimeAt(40)) == TimeAt(40));
    SECTION("and the next one when the pace allows it") {
      REQUIRE(wait(TimeAt(60)));
      CHECK(ask_time(TimeAt(60)) == TimeAt(83));
    }
    SECTION("and after another quiet time again") {
      for (const int64_t at : {400, 410, 420}) {
        REQUIRE(wait(TimeAt(at)));
        CHECK(ask_time(TimeAt(at)) == TimeAt(at));
      }
      REQUIRE(wait(TimeAt(430)));
      CHECK(ask_time(TimeAt(430)) == TimeAt(483));
    }
  }
  SECTION("two asks are never closer than the minimum interval") {
    REQUIRE(wait(TimeAt(1)));
    CHECK(ask_time(TimeAt(1)) == TimeAt(0) + kMinUrgentAskInterval);
  }
  SECTION("the mean pace of requests that always wait stays the same") {
    int asks = 1;
    Time last = TimeAt(0);
    for (int64_t at = 1; at <= 8'300; ++at) {
      wait(TimeAt(at));
      if (!quota.NextAsk(TimeAt(at))) continue;
      CHECK(TimeAt(at) - last >= kMinUrgentAskInterval);
      last = TimeAt(at);
      ++asks;
      quota.OnGrants(TimeAt(at), Permits(0));
    }
    CHECK(asks <= 8'300 / 83 + kUrgentAskBurst);
    CHECK(asks >= 8'300 / 83);
  }
  SECTION("an ask without a reply is followed by a pause") {
    REQUIRE(wait(TimeAt(15)));
    REQUIRE(quota.NextAsk(TimeAt(15)));
    quota.OnNoReply(TimeAt(20));
    CHECK_FALSE(quota.NextAsk(TimeAt(69)));
    CHECK(quota.NextAsk(TimeAt(70)));
  }
}

TEST_CASE("requests that wait are bounded", "[workspace_quota]") {
  WorkspaceQuota quota({});
  for (size_t i = 0; i < 2 * kMaxQuotaWaitingPerWorkspace; ++i) {
    quota.Admit(TimeAt(0), kLarge, Millis(250));
  }
  CHECK(quota.Waiting() == kMaxQuotaWaitingPerWorkspace);
  for (int i = 0; i < 1'000; ++i) {
    quota.Admit(TimeAt(0), {.name = std::to_string(i), .quota = {1, 1}}, Millis(250));
  }
  CHECK(quota.Waiting() == kMaxQuotaWaiting);
  CHECK(quota.Workspaces() == 1'001);
  quota.Expire(TimeAt(250));
  CHECK(quota.Waiting() == 0);
  quota.Expire(TimeAt(100'000));
  CHECK(quota.Workspaces() == 0);
}

}  // namespace
}  // namespace peridotgauge
