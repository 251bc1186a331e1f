// Tests of the leader's part of the request quotas. They guard against permits above the limit
// after lost, late and repeated messages and new terms, and against entries that are never removed.
#include "state/quota_table.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

const RouterId kR1 = {"r1", 1};
const RouterId kR2 = {"r2", 1};

WorkspaceTable Table(double rate, double burst) {
  return *WorkspaceTable::Make({{.name = "a", .quota = {rate, burst}}, {.name = "unlimited"}});
}

class TestTable {
 public:
  TestTable() {
    this->table.Reset(TimeAt(0), false);
    this->table.SetShares(TimeAt(0), 1, 1);
    this->Set(10, 10);  // E is 26; the capacity 17.8, the filling rate 10.52 per second
  }
  void Set(double rate, double burst, int64_t at = 0) {
    const WorkspaceTable workspaces = Table(rate, burst);
    this->table.SetWorkspaces(TimeAt(at), &workspaces);
  }
  // Returns the permits that are granted, or nothing if those held are not renewed.
  std::optional<uint32_t> Ask(int64_t at, const RouterId& router, uint32_t wanted, uint32_t held,
                              uint64_t number = 0) {
    this->sequence = number != 0 ? number : this->sequence + 1;
    const QuotaGrants grants =
        this->table.Grant(TimeAt(at), router, {this->sequence, {{"a", wanted, held}}});
    CHECK(grants.valid == kPermitLifetime);
    const auto found = grants.permits.find("a");
    return found == grants.permits.end() ? std::nullopt : std::optional(found->second);
  }

  QuotaTable table{QuotaTolerance{}};
  uint64_t sequence = 0;
};

TEST_CASE("permits of one bucket", "[quota_table]") {
  TestTable test;
  CHECK(test.Ask(1, kR1, 5, 0) == 0);  // a term begins without tokens
  CHECK(test.Ask(20'000, kR1, 100, 0) == 17);
  SECTION("unspent permits take the place of tokens") {
    CHECK(test.Ask(20'400, kR2, 100, 0) == 0);
    // 500 ms after they were granted, they have expired; the bucket fills from then on.
    CHECK(test.Ask(20'500, kR2, 100, 0) == 0);
    CHECK(test.Ask(20'800, kR2, 100, 0) == 3);
  }
  SECTION("spent permits make room") {
    CHECK(test.Ask(20'100, kR1, 100, 0) == 0);
    CHECK(test.Ask(20'400, kR1, 100, 0) == 3);
  }
  SECTION("held permits are renewed") {
    CHECK(test.Ask(20'400, kR1, 0, 17) == 0);
    CHECK(test.Ask(20'800, kR2, 10, 0) == 0);
  }
  SECTION("permits that are not known are not") {
    CHECK(test.Ask(20'100, kR2, 0, 3) == std::nullopt);
    CHECK(test.Ask(20'600, kR1, 0, 17) == std::nullopt);
  }
  SECTION("an ask that arrives late gets nothing and changes nothing") {
    CHECK(test.Ask(20'100, kR1, 0, 17, 7) == 0);
    CHECK(test.Ask(20'200, kR1, 10, 0, 6) == std::nullopt);
    CHECK(test.Ask(20'200, kR2, 10, 0, 8) == 0);
  }
  SECTION("a restarted router does not release those of its predecessor") {
    CHECK(test.Ask(20'100, {"r1", 2}, 10, 0) == 0);
  }
  SECTION("a lowered limit takes tokens away") {
    CHECK(test.Ask(20'100, kR1, 0, 0) == 0);
    test.Set(1, 0, 30'000);  // E is 20.5, the capacity 6.15
    CHECK(test.Ask(30'000, kR1, 100, 0) == 6);
  }
  SECTION("nothing is granted for removed workspaces and for those without a limit") {
    test.table.SetWorkspaces(TimeAt(30'000), nullptr);
    CHECK(test.table.Workspaces() == 0);
    CHECK(test.Ask(30'000, kR1, 5, 0) == std::nullopt);
    test.Set(10, 10, 30'000);
    CHECK(test.table.Workspaces() == 1);
    CHECK(test.Ask(30'000, kR1, 5, 0) == 0);
  }
  SECTION("memory is released") {
    CHECK(test.table.Entries() == 1);
    test.table.Expire(TimeAt(20'500));
    CHECK(test.table.Entries() == 0);
  }
}

TEST_CASE("the share of routers without contact is not granted", "[quota_table]") {
  TestTable test;
  test.table.SetShares(TimeAt(20'000), 0.5, 1);
  CHECK(test.Ask(20'000, kR1, 100, 0) == 8);  // half of 17.8
  CHECK(test.Ask(21'000, kR1, 100, 0) == 3);  // 500 ms of half of 10.52, and a rest
  test.table.SetShares(TimeAt(21'000), 0, 1);
  CHECK(test.Ask(30'000, kR1, 100, 0) == 0);
}

TEST_CASE("the first permits of a new leader", "[quota_table]") {
  TestTable test;
  SECTION("few, while those of its predecessor may be unspent") {
    CHECK(test.Ask(450, kR1, 100, 0) == 2);  // 0.1 x 26
  }
  SECTION("at once if there was no other change lately") {
    test.table.Reset(TimeAt(0), true);
    test.table.SetShares(TimeAt(0), 1, 1);
    test.Set(10, 10);
    CHECK(test.Ask(0, kR1, 100, 0) == 2);
  }
}

TEST_CASE("shares of routers without contact", "[quota_table]") {
  RouterContacts contacts;
  const std::set<std::string> all = {"r1", "r2", "r3", "r4"};
  const auto sync = [&](int64_t at, const std::set<std::string>& routers) {
    for (const std::string& id : routers) contacts.RecordContact(TimeAt(at), id);
  };
  contacts.Observe(TimeAt(100'000), all);
  CHECK(contacts.ServedShare(TimeAt(100'000)) == 0);  // none has had contact in this term
  sync(100'100, all);
  CHECK(contacts.ServedShare(TimeAt(100'100)) == 1);
  for (const std::string& id : all) {
    CHECK(contacts.AssignShare(TimeAt(100'100), id, 0) == Approx(0.25));
  }

  SECTION("a router without contact keeps its share for a time, also when it is not offered") {
    sync(102'000, {"r1", "r2", "r3"});
    contacts.Observe(TimeAt(102'600), {"r1", "r2", "r3"});
    CHECK(contacts.ServedShare(TimeAt(102'600)) == Approx(0.75));
    CHECK(contacts.AssignShare(TimeAt(102'600), "r1", 0.25) == Approx(0.25));
    sync(162'000, {"r1", "r2", "r3"});
    contacts.Observe(TimeAt(162'000), {"r1", "r2", "r3"});
    CHECK(contacts.ServedShare(TimeAt(162'000)) == Approx(0.75));
    contacts.Observe(TimeAt(163'000), {"r1", "r2", "r3"});
    CHECK(contacts.ServedShare(TimeAt(163'000)) == 1);
    CHECK(contacts.Size() == 3);
  }
  SECTION("a router that ends cleanly gives it back") {
    contacts.Forget("r4");
    contacts.Observe(TimeAt(101'000), {"r1", "r2", "r3"});
    CHECK(contacts.AssignShare(TimeAt(101'000), "r1", 0.25) == Approx(1.0 / 3));
  }
  SECTION("a new router gets a share only when the others have reported lower ones") {
    std::set<std::string> more = all;
    more.insert("r5");
    contacts.Observe(TimeAt(101'000), more);
    CHECK(contacts.AssignShare(TimeAt(101'000), "r5", 0) == 0);
    for (const std::string& id : all) {
      CHECK(contacts.AssignShare(TimeAt(101'000), id, 0.25) == Approx(0.2));
    }
    // The replies with the lower shares may have been lost.
    CHECK(contacts.AssignShare(TimeAt(101'000), "r5", 0) == Approx(0).margin(1e-9));
    for (const std::string& id : all) contacts.AssignShare(TimeAt(101'000), id, 0.2);
    CHECK(contacts.AssignShare(TimeAt(101'000), "r5", 0) == Approx(0.2));
  }
  SECTION("a router that is not offered gets none") {
    CHECK(contacts.AssignShare(TimeAt(101'000), "r9", 0) == 0);
  }
  // Guards against the share that a router reported in an earlier term of this controller, although
  // another leader has assigned it a larger one since: all shares were 1.17 together.
  SECTION("a controller that leads again counts lost routers with what others may have assigned") {
    contacts.EndTerm();
    contacts.Observe(TimeAt(102'500), {"r1", "r2"});  // r1 and r2 have half of the limit each
    contacts.Observe(TimeAt(110'000), {"r2"});
    contacts.Reset();
    sync(110'000, {"r2"});
    CHECK(contacts.ServedShare(TimeAt(110'000)) == 0);  // two have a quarter, and one a half
    CHECK(contacts.AssignShare(TimeAt(110'000), "r2", 0) == Approx(0).margin(1e-9));
  }
  SECTION("a controller that begins to lead counts lost routers with an equal share") {
    contacts.Observe(TimeAt(102'500), {"r1", "r2", "r3"});
    contacts.Reset();
    sync(103'000, {"r1", "r2", "r3"});
    CHECK(contacts.ServedShare(TimeAt(103'000)) == Approx(0.75));
  }
}

}  // namespace
}  // namespace peridotgauge
