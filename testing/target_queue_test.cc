// Tests of the owner's queue. They guard against more requests in flight than slots, dispatch that
// is not in deadline order, and requests that are lost or leave the queue twice.
#include "core/target_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(1'000'000);
constexpr Time kFar = TimeAt(2'000'000);

TEST_CASE("target queue", "[target_queue]") {
  TargetQueue queue(kStart, {.slots = 4, .connections = 40});
  for (uint64_t id = 1; id <= 6; ++id) CHECK(queue.Push(kStart, id, kFar));
  CHECK(queue.Poll(kStart).dispatch == std::vector<uint64_t>{1, 2, 3, 4});
  SECTION("cancel") {
    CHECK(queue.Cancel(5) == CancelResult::kRemoved);
    CHECK(queue.Cancel(5) == CancelResult::kUnknown);
    CHECK(queue.Cancel(1) == CancelResult::kRunning);
    CHECK(queue.Poll(kStart).dispatch.empty());
    queue.OnDone(kStart, 1, {.kind = ExchangeKind::kCancelled});
    CHECK(queue.Poll(kStart).dispatch == std::vector<uint64_t>{6});
  }
  SECTION("the queue is bounded") {
    for (uint64_t id = 7; queue.Queued() < size_t{4} * kQueuedPerSlot; ++id) {
      queue.Push(kStart, id, kFar);
    }
    CHECK(queue.Push(kStart, 9'999, kFar).error().code == ErrorCode::kOverloaded);
  }
  SECTION("an entry that cannot meet its deadline is dropped or refused as not run") {
    queue.OnDone(kStart, 1, {.service_time = Millis(50)});
    queue.Poll(kStart);
    CHECK(queue.Push(kStart, 10, kStart + Millis(49)).error().code == ErrorCode::kOverloaded);
    CHECK(queue.Push(kStart, 11, kStart + Millis(60)));
    const Time timer = *queue.NextTimer(kStart);
    CHECK(queue.Poll(timer - Duration(1)).drops.empty());
    const QueueWork work = queue.Poll(timer);
    REQUIRE(work.drops.size() == 1);
    CHECK(work.drops[0].id == 11);
    CHECK(work.drops[0].error.NotRun());
    // A slow period must not exclude the target for good.
    CHECK(queue.Push(kStart + 2 * kServiceTimePeriod, 12,
                     kStart + 2 * kServiceTimePeriod + Millis(1)));
  }
  SECTION("a draining target gets no more requests, and waiting entries are dropped") {
    queue.Drain();
    queue.OnDone(kStart, 1, {});
    const QueueWork work = queue.Poll(kStart);
    CHECK(work.dispatch.empty());
    CHECK(work.drops.size() == 2);
    CHECK(queue.Push(kStart, 9, kFar).error().NotRun());
    // A target that serves again without a restart must not stay excluded.
    queue.Resume();
    CHECK(queue.Push(kStart, 9, kFar));
    CHECK(queue.Poll(kStart).dispatch == std::vector<uint64_t>{9});
  }
  SECTION("entries keep waiting while the queue is paused") {
    queue.SetPaused(true);
    queue.OnDone(kStart, 1, {});
    CHECK(queue.Poll(kStart).dispatch.empty());
    queue.SetPaused(false);
    CHECK(queue.Poll(kStart).dispatch == std::vector<uint64_t>{5});
  }
  SECTION("shed requests decrease the limit once per overload, answers raise it up to the slots") {
    queue.OnDone(kStart, 1, {.kind = ExchangeKind::kShed});
    queue.OnDone(kStart, 2, {.kind = ExchangeKind::kShed});
    CHECK(queue.Limit(kStart) == 2);
    queue.Poll(kStart);
    for (uint64_t id = 100; id < 120; ++id) {
      queue.Push(kStart, id, kFar);
      const QueueWork work = queue.Poll(kStart);
      for (uint64_t running = 3; running < 120; ++running) {
        queue.OnDone(kStart, running, {.service_time = Millis(1)});
      }
    }
    CHECK(queue.Limit(kStart) == 4);
  }
}

TEST_CASE("cold targets and connections", "[target_queue]") {
  TargetQueue queue(kStart, {.slots = 4, .connections = 3, .cold = true});
  CHECK(queue.Limit(kStart) == 1);
  CHECK(queue.Limit(kStart + kWarmUpDuration / 2) == 2);
  // Every request in flight needs a connection.
  CHECK(queue.Limit(kStart + kWarmUpDuration) == 3);
  for (int i = 0; i < 3; ++i) {
    CHECK(queue.MayConnect());
    queue.OnConnecting();
  }
  CHECK_FALSE(queue.MayConnect());
  queue.OnDisconnected();
  CHECK(queue.MayConnect());
  queue.Restart(kStart + Seconds(100));
  CHECK(queue.Limit(kStart + Seconds(100)) == 1);
}

// The reference model keeps the waiting entries in a vector and sorts it for each dispatch.
TEST_CASE("the queue agrees with a sorted list", "[target_queue]") {
  CHECK(rc::check("on order and limit, and each entry leaves exactly once", [] {
    struct ModelEntry {
      Time deadline;
      uint64_t id;
    };
    const uint32_t slots = *rc::gen::inRange(1U, 7U);
    TargetQueue queue(kStart, {.slots = slots,
                               .connections = *rc::gen::inRange(1U, 10U),
                               .cold = *rc::gen::arbitrary<bool>()});
    std::vector<ModelEntry> waiting;
    std::vector<uint64_t> running;
    Time now = kStart;
    uint64_t next_id = 1;
    for (int i = *rc::gen::inRange(0, 150); i > 0; --i) {
      const int event = *rc::gen::inRange(0, 10);
      now += Millis(*rc::gen::inRange(0, 20));
      if (event < 6) {
        const Time deadline = now + Millis(*rc::gen::inRange(1, 200));
        if (queue.Push(now, next_id, deadline)) waiting.push_back({deadline, next_id});
        ++next_id;
      } else if (event < 9 && !running.empty()) {
        const size_t index = *rc::gen::inRange<size_t>(0, running.size());
        const auto kind = static_cast<ExchangeKind>(*rc::gen::inRange(0, 4));
        queue.OnDone(now, running[index], {kind, Millis(*rc::gen::inRange(1, 30))});
        running.erase(running.begin() + static_cast<ptrdiff_t>(index));
      } else if (!waiting.empty()) {
        RC_ASSERT(queue.Cancel(waiting.back().id) == CancelResult::kRemoved);
        waiting.pop_back();
      }
      const QueueWork work = queue.Poll(now);
      const auto remove = [&](uint64_t id) {
        const auto found = std::find_if(waiting.begin(), waiting.end(),
                                        [&](const ModelEntry& entry) { return entry.id == id; });
        RC_ASSERT(found != waiting.end());
        waiting.erase(found);
      };
      for (const QueueDrop& drop : work.drops) remove(drop.id);
      std::vector<ModelEntry> sorted = waiting;
      std::sort(sorted.begin(), sorted.end(), [](const ModelEntry& a, const ModelEntry& b) {
        return std::pair(a.deadline, a.id) < std::pair(b.deadline, b.id);
      });
      for (size_t n = 0; n < work.dispatch.size(); ++n) {
        RC_ASSERT(work.dispatch[n] == sorted[n].id);
        RC_ASSERT(sorted[n].deadline > now);
        remove(work.dispatch[n]);
        running.push_back(work.dispatch[n]);
      }
      RC_ASSERT(running.size() <= slots);
      RC_ASSERT(queue.InFlight() == running.size());
      RC_ASSERT(queue.Queued() == waiting.size());
      // No slot stays idle while an entry waits.
      RC_ASSERT(waiting.empty() || running.size() >= queue.Limit(now));
    }
  }));
}

}  // namespace
}  // namespace peridotgauge
