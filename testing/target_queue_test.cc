// Tests of the owner's queue: guards against more requests at a target than it has slots, requests
// that are lost or dispatched twice, and dispatches after a drain.
#include "../target_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace peridotgauge {
namespace {

TargetQueue MakeQueue(uint32_t slots, bool cold = false) {
  return {TimeAt(0), {.slots = slots, .connections = 40, .cold = cold}};
}

// A naive queue: a list that is sorted for each dispatch.
struct NaiveQueue {
  struct Entry {
    Time deadline;
    uint64_t id;
  };
  std::vector<Entry> entries;

  std::vector<uint64_t> Take(size_t count) {
    std::stable_sort(this->entries.begin(), this->entries.end(),
                     [](const Entry& a, const Entry& b) { return a.deadline < b.deadline; });
    std::vector<uint64_t> ids;
    for (size_t i = 0; i < std::min(count, this->entries.size()); ++i) {
      ids.push_back(this->entries[i].id);
    }
    this->entries.erase(this->entries.begin(),
                        this->entries.begin() + static_cast<std::ptrdiff_t>(ids.size()));
    return ids;
  }
};

TEST_CASE("target queue dispatches in the order of a sorted list", "[target_queue]") {
  CHECK(rc::check("same order as a sort, never above the slots, each id once", [] {
    const auto slots = *rc::gen::inRange<uint32_t>(1, 6);
    TargetQueue queue = MakeQueue(slots);
    NaiveQueue naive;
    std::set<uint64_t> running;
    std::set<uint64_t> seen;
    uint64_t next = 1;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (int step : steps) {
      const Time now = TimeAt(1000);
      if (step < 60) {
        const Time deadline = TimeAt(10'000 + step);
        if (queue.Push(now, next, deadline)) naive.entries.push_back({deadline, next});
        ++next;
      } else if (step < 70 && !naive.entries.empty()) {
        RC_ASSERT(queue.Cancel(naive.entries.back().id) == CancelResult::kRemoved);
        naive.entries.pop_back();
      } else if (!running.empty()) {
        queue.OnDone(now, *running.begin(), {.service_time = Millis(1)});
        running.erase(running.begin());
      }
      const QueueWork work = queue.Poll(now);
      RC_ASSERT(work.drops.empty());
      RC_ASSERT(work.dispatch == naive.Take(slots - running.size()));
      for (uint64_t id : work.dispatch) {
        RC_ASSERT(seen.insert(id).second);
        running.insert(id);
      }
      RC_ASSERT(queue.InFlight() == running.size());
      RC_ASSERT(running.size() <= slots);
    }
  }));
}

TEST_CASE("target queue limits", "[target_queue]") {
  SECTION("the queue is bounded, and the refusal proves that nothing ran") {
    TargetQueue queue = MakeQueue(1);
    for (uint32_t i = 1; i <= kQueuedPerSlot; ++i) REQUIRE(queue.Push(TimeAt(0), i, TimeAt(900)));
    const auto refused = queue.Push(TimeAt(0), 1000, TimeAt(900));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().NotRun());
  }
  SECTION("shed requests lower the limit, answers raise it, never above the slots") {
    TargetQueue queue = MakeQueue(4);
    CHECK(queue.Limit(TimeAt(0)) == 4);
    REQUIRE(queue.Push(TimeAt(0), 1, TimeAt(900)));
    REQUIRE(queue.Poll(TimeAt(0)).dispatch.size() == 1);
    queue.OnDone(TimeAt(1), 1, {.kind = ExchangeKind::kShed});
    CHECK(queue.Limit(TimeAt(1)) == 2);
    for (uint64_t id = 2; id < 40; ++id) {
      REQUIRE(queue.Push(TimeAt(2), id, TimeAt(900)));
      queue.Poll(TimeAt(2));
      queue.OnDone(TimeAt(3), id, {.service_time = Millis(1)});
    }
    CHECK(queue.Limit(TimeAt(3)) == 4);
  }
  SECTION("a cold target warms up") {
    TargetQueue queue = MakeQueue(5, true);
    CHECK(queue.Limit(TimeAt(0)) == 1);
    CHECK(queue.Limit(TimeAt(1500)) == 3);
    CHECK(queue.Limit(TimeAt(3000)) == 5);
  }
}

TEST_CASE("target queue drops what cannot be met", "[target_queue]") {
  TargetQueue queue = MakeQueue(1);
  REQUIRE(queue.Push(TimeAt(0), 1, TimeAt(900)));
  REQUIRE(queue.Push(TimeAt(0), 2, TimeAt(100)));
  REQUIRE(queue.Poll(TimeAt(0)).dispatch == std::vector<uint64_t>{2});
  queue.OnDone(TimeAt(20), 2, {.service_time = Millis(20)});
  REQUIRE(queue.Push(TimeAt(20), 3, TimeAt(60)));
  queue.Pause(true);
  CHECK(queue.Poll(TimeAt(30)).drops.empty());
  const QueueWork late = queue.Poll(TimeAt(45));
  REQUIRE(late.drops.size() == 1);
  CHECK(late.drops[0].id == 3);
  CHECK(late.drops[0].error.NotRun());
  CHECK(late.dispatch.empty());

  SECTION("a paused queue keeps its entries and goes on later") {
    queue.Pause(false);
    CHECK(queue.Poll(TimeAt(50)).dispatch == std::vector<uint64_t>{1});
  }
  SECTION("a draining queue dispatches nothing any more") {
    queue.Pause(false);
    queue.Drain();
    const QueueWork work = queue.Poll(TimeAt(50));
    CHECK(work.dispatch.empty());
    REQUIRE(work.drops.size() == 1);
    CHECK(work.drops[0].error.code == ErrorCode::kNoTarget);
    CHECK_FALSE(queue.Push(TimeAt(50), 9, TimeAt(900)));
  }
}

}  // namespace
}  // namespace peridotgauge
