// Tests of the budget for kept bytes. They guard against a process that runs out of memory because
// many exchanges, each within its limit, exceed it together, and against ending the wrong ones.
#include "core/byte_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <list>
#include <memory>

namespace peridotgauge {
namespace {

using Order = ByteBudget::CutOrder;

// An account, and whether it was cut.
struct Exchange {
  Exchange(const std::shared_ptr<ByteBudget>& budget, const void* owner, Order order)
      : account(budget) {
    this->account.AllowCut(owner, order, [this] { ++this->cuts; });
  }
  ByteBudget::Account account;
  int cuts = 0;
};

TEST_CASE("a budget for kept bytes", "[byte_budget]") {
  const auto budget = std::make_shared<ByteBudget>(100);
  const int faulty = 0;
  const int sound = 0;
  Exchange first(budget, &faulty, Order::kFirst);
  Exchange second(budget, &faulty, Order::kFirst);
  Exchange other(budget, &sound, Order::kFirst);
  SECTION("cuts nothing up to its limit") {
    first.account.Set(50);
    second.account.Set(50);
    CHECK(budget->Fits(0));
    CHECK_FALSE(budget->Fits(1));
    CHECK(first.cuts + second.cuts == 0);
  }
  SECTION("cuts the largest account of the owner that holds the most, once") {
    first.account.Set(30);
    second.account.Set(20);
    other.account.Set(40);
    other.account.Set(51);
    CHECK(first.cuts == 0);
    CHECK(second.cuts == 0);
    CHECK(other.cuts == 1);
    SECTION("and counts it until it ends") {
      CHECK(budget->Used() == 101);
      other.account.Set(60);
      CHECK(other.cuts == 1);
      first.account.Set(90);
      CHECK(first.cuts == 1);
      CHECK(budget->Cuts() == 2);
    }
  }
  SECTION("cuts an owner's exchanges before a larger one of another owner") {
    first.account.Set(35);
    second.account.Set(30);
    other.account.Set(36);
    CHECK(first.cuts == 1);
    CHECK(other.cuts == 0);
  }
  SECTION("cuts what may grow without end before what has a known size") {
    Exchange known(budget, &sound, Order::kLast);
    known.account.Set(80);
    first.account.Set(25);
    CHECK(known.cuts == 0);
    CHECK(first.cuts == 1);
    SECTION("and that too if nothing else is left") {
      known.account.Set(101);
      CHECK(known.cuts == 1);
    }
  }
  // Guards against answers that were complete before their cut took effect, and then waited for
  // slow callers beyond the limit.
  SECTION("cuts again what has forbidden it after a cut") {
    first.account.Set(101);
    CHECK(first.cuts == 1);
    first.account.ForbidCut();
    CHECK_FALSE(budget->Fits(0));
    first.account.AllowCut(&faulty, Order::kLast, [&] { ++first.cuts; });
    CHECK(first.cuts == 2);
  }
  SECTION("never cuts what does not allow it") {
    first.account.ForbidCut();
    first.account.Set(200);
    CHECK(first.cuts == 0);
    CHECK_FALSE(budget->Fits(0));
    SECTION("but everything else") {
      second.account.Set(1);
      CHECK(second.cuts == 1);
    }
  }
}

TEST_CASE("whatever is not cut fits into the budget", "[byte_budget]") {
  CHECK(rc::check("in any order of events", [] {
    const auto budget = std::make_shared<ByteBudget>(1'000);
    std::list<Exchange> exchanges;
    const int owners[3] = {};
    for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
      const auto at = [&] {
        return std::next(exchanges.begin(), *rc::gen::inRange<int64_t>(0, std::ssize(exchanges)));
      };
      const int event = *rc::gen::inRange(0, 5);
      if (event == 0 || exchanges.empty()) {
        exchanges.emplace_back(budget, &owners[*rc::gen::inRange(0, 3)],
                               *rc::gen::element(Order::kFirst, Order::kLast));
      } else if (event == 1) {
        exchanges.erase(at());
      } else {
        at()->account.Set(*rc::gen::inRange<size_t>(0, 600));
      }
      size_t sum = 0;
      size_t all = 0;
      for (const Exchange& exchange : exchanges) {
        RC_ASSERT(exchange.cuts <= 1);
        all += exchange.account.Bytes();
        if (exchange.cuts == 0) sum += exchange.account.Bytes();
      }
      RC_ASSERT(sum <= budget->Limit());
      RC_ASSERT(all == budget->Used());
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
