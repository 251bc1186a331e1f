// Tests what the leader remembers of the routers' debts. They guard against a restart after which a
// router grants extra attempts again that its predecessor has granted.
#include "state/debt_table.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

constexpr Duration kWindow = Seconds(10);
const ExtraDebts kDebts = {{"verstas", 5}, {"kassa", 2}};

TEST_CASE("debts of routers", "[debt_table]") {
  DebtTable table;
  Time now = TimeAt(1'000);
  const RouterId router{"a", 1};
  const RouterId successor{"a", 2};
  table.Report(now, router, kDebts, kWindow);

  SECTION("are inherited by the next incarnation") {
    now += Seconds(1);
    table.Report(now, successor, {}, kWindow);
    CHECK(table.InheritedBy(now, successor) == kDebts);
    SECTION("for one window") {
      now += kWindow;
      table.Report(now, successor, {}, kWindow);
      CHECK(table.InheritedBy(now, successor).empty());
    }
    SECTION("and by one after it that starts before the first has reported them") {
      table.Report(now, {"a", 3}, {}, kWindow);
      CHECK(table.InheritedBy(now, {"a", 3}) == kDebts);
    }
    SECTION("and a late report of the earlier incarnation changes nothing") {
      table.Report(now, router, {}, kWindow);
      CHECK(table.InheritedBy(now, successor) == kDebts);
    }
  }
  SECTION("are not inherited after a long pause") {
    now += Seconds(60);
    table.Report(now, successor, {}, kWindow);
    CHECK(table.InheritedBy(now, successor).empty());
  }
  SECTION("are at least the mean of the others for a router") {
    table.Report(now, {"b", 1}, {}, kWindow);
    SECTION("without a predecessor") {
      table.Report(now, {"c", 1}, {}, kWindow);
      CHECK(table.InheritedBy(now, {"c", 1}) == ExtraDebts{{"verstas", 2.5}, {"kassa", 1}});
      CHECK(table.InheritedBy(now, {"unknown", 1}).empty());
    }
    SECTION("whose predecessor reported less") {
      table.Report(now, {"b", 2}, {}, kWindow);
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

}  // namespace
}  // namespace peridotgauge
