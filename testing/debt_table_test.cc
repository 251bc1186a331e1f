// Tests what the leader remembers of the routers' debts. They guard against a restart after which a
// router grants extra attempts again that its predecessor has granted.
#include "state/debt_table.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>

#include "state/lease.h"

namespace peridotgauge {
namespace {

constexpr Duration kWindow = Seconds(10);
const ExtraDebts kDebts = {{"verstas", 5}, {"kassa", 2}};

DebtReport Complete(ExtraDebts debts) {
  return {.debts = std::move(debts), .complete = true, .window = kWindow};
}
const DebtReport kIncomplete = {.debts = {}, .complete = false, .window = kWindow};

TEST_CASE("debts of routers", "[debt_table]") {
  DebtTable table;
  Time now = TimeAt(1'000);
  table.Reset(now);
  table.DeclareNothingGranted();
  const RouterId router{"a", 1};
  const RouterId successor{"a", 2};
  table.Report(now, router, Complete(kDebts));

  SECTION("are inherited by the next incarnation") {
    now += Seconds(1);
    table.Report(now, successor, kIncomplete);
    CHECK(table.InheritedBy(now, successor) == kDebts);
    SECTION("for one window") {
      now += kWindow;
      table.Report(now, successor, Complete({}));
      CHECK(table.InheritedBy(now, successor) == ExtraDebts{});
    }
    SECTION("and by one after it that starts before the first has reported them") {
      table.Report(now, {"a", 3}, kIncomplete);
      CHECK(table.InheritedBy(now, {"a", 3}) == kDebts);
    }
    SECTION("and a late report of the earlier incarnation changes nothing") {
      table.Report(now, router, Complete({}));
      CHECK(table.InheritedBy(now, successor) == kDebts);
    }
  }
  SECTION("are not inherited after a long pause") {
    now += Seconds(60);
    table.Report(now, successor, kIncomplete);
    CHECK(table.InheritedBy(now, successor) == ExtraDebts{});
  }
  SECTION("are at least the mean of the others for a router") {
    table.Report(now, {"b", 1}, Complete({}));
    SECTION("without a predecessor") {
      table.Report(now, {"c", 1}, kIncomplete);
      CHECK(table.InheritedBy(now, {"c", 1}) == ExtraDebts{{"verstas", 2.5}, {"kassa", 1}});
      CHECK(table.InheritedBy(now, {"unknown", 1}) == std::nullopt);
    }
    SECTION("whose predecessor reported less") {
      table.Report(now, {"b", 2}, kIncomplete);
      CHECK(table.InheritedBy(now, {"b", 2}) == kDebts);
    }
  }
  SECTION("are forgotten") {
    table.Expire(now + Seconds(5));
    CHECK(table.Size() == 1);
    table.Expire(now + Seconds(60));
    CHECK(table.Size() == 0);
  }
}

// Guards against a new leader that takes debts it has not been told for none.
TEST_CASE("debts that a new leader does not know", "[debt_table]") {
  DebtTable table;
  Time now = TimeAt(1'000);
  table.Reset(now);
  SECTION("are those of a router whose predecessor has not reported") {
    table.Report(now, {"a", 2}, kIncomplete);
    CHECK(table.InheritedBy(now, {"a", 2}) == std::nullopt);
    SECTION("also if other routers have reported theirs") {
      table.Report(now, {"b", 1}, Complete(kDebts));
      CHECK(table.InheritedBy(now, {"a", 2}) == std::nullopt);
    }
    SECTION("and of its successor") {
      now += Seconds(1);
      table.Report(now, {"a", 3}, kIncomplete);
      CHECK(table.InheritedBy(now, {"a", 3}) == std::nullopt);
    }
    SECTION("until it knows its own for a whole window") {
      now += kWindow;
      table.Report(now, {"a", 2}, Complete(kDebts));
      table.Report(now, {"a", 3}, kIncomplete);
      CHECK(table.InheritedBy(now, {"a", 3}) == kDebts);
    }
  }
  SECTION("are none once every predecessor would have reported or counts no more") {
    now += kSessionLength + kWindow;
    table.Report(now, {"a", 2}, kIncomplete);
    CHECK(table.InheritedBy(now, {"a", 2}) == ExtraDebts{});
  }
  SECTION("are none for routers that reported before it knew that there is no configuration") {
    table.Report(now, {"a", 1}, kIncomplete);
    table.DeclareNothingGranted();
    CHECK(table.InheritedBy(now, {"a", 1}) == ExtraDebts{});
    table.Report(now, {"a", 2}, kIncomplete);
    CHECK(table.InheritedBy(now, {"a", 2}) == ExtraDebts{});
    SECTION("and their successors inherit what they report later") {
      table.Report(now, {"a", 2}, Complete(kDebts));
      table.Report(now, {"a", 3}, kIncomplete);
      CHECK(table.InheritedBy(now, {"a", 3}) == kDebts);
    }
    SECTION("of this leader") {
      table.Reset(now);
      table.Report(now, {"a", 2}, kIncomplete);
      CHECK(table.InheritedBy(now, {"a", 2}) == std::nullopt);
    }
  }
  SECTION("are none before the first configuration") {
    table.DeclareNothingGranted();
    table.Report(now, {"a", 2}, kIncomplete);
    CHECK(table.InheritedBy(now, {"a", 2}) == ExtraDebts{});
    SECTION("of this leader") {
      table.Reset(now);
      table.Report(now, {"a", 2}, kIncomplete);
      CHECK(table.InheritedBy(now, {"a", 2}) == std::nullopt);
    }
  }
}

}  // namespace
}  // namespace peridotgauge
