// Tests the detection of pauses of an event loop. Guards against pauses that are missed, wrong
// causes, and a log that fills up on a host that pauses its processes all the time.
#include "core/loop_pauses.h"

#include <catch2/catch.hpp>
#include <thread>

#include "io/clock.h"
#include "io/thread_times.h"

namespace peridotgauge {
namespace {

// A loop that is checked as a daemon checks it.
struct CheckedLoop {
  LoopPauses pauses;
  LoopSample sample{.now = TimeAt(1'000), .cpu = Seconds(5), .queued = Seconds(7)};

  CheckedLoop() { CHECK_FALSE(this->pauses.Check(this->sample)); }
  // Checks again when the loop has paused for `pause`.
  std::optional<LoopPause> Pause(Duration pause) {
    this->sample.now += kLoopCheckInterval + pause;
    return this->pauses.Check(this->sample);
  }
  Duration Longest() const { return this->pauses.Longest(this->sample.now); }
};

TEST_CASE("a pause of the event loop", "[loop_pauses]") {
  CheckedLoop loop;
  SECTION("of ordinary length is not logged") {
    CHECK_FALSE(loop.Pause(Duration(0)));
    CHECK_FALSE(loop.Pause(kLongPause - Millis(1)));
    CHECK(loop.Longest() == kLongPause - Millis(1));
  }
  SECTION("is logged with the processor time and the wait for a processor within it") {
    loop.sample.cpu += Millis(20);
    loop.sample.queued = Seconds(7) + Millis(400);
    const auto pause = loop.Pause(Millis(410));
    REQUIRE(pause);
    CHECK(pause->length == Millis(410));
    CHECK(pause->cpu == Millis(20));
    CHECK(pause->queued == Millis(400));
    CHECK(pause->left_out == 0);
  }
  SECTION("is logged without the wait if the kernel does not tell it") {
    loop.sample.queued.reset();
    const auto pause = loop.Pause(Seconds(1));
    REQUIRE(pause);
    CHECK_FALSE(pause->queued);
  }
  SECTION("is not logged soon after another one unless it is much longer") {
    REQUIRE(loop.Pause(Millis(300)));
    CHECK_FALSE(loop.Pause(Millis(599)));
    CHECK_FALSE(loop.Pause(Millis(200)));
    const auto longer = loop.Pause(Millis(600));
    REQUIRE(longer);
    CHECK(longer->left_out == 2);
    CHECK(loop.Longest() == Millis(600));
  }
  SECTION("counts in the maximum for a limited time") {
    loop.Pause(Seconds(3));
    CHECK_FALSE(loop.Pause(Duration(0)));
    loop.sample.now += kPauseMemory - Seconds(1);
    CHECK(loop.Longest() == Seconds(3));
    loop.sample.now += Seconds(1);
    CHECK(loop.Longest() < Seconds(3));
  }
}

TEST_CASE("a loop that pauses all the time fills no log", "[loop_pauses]") {
  CheckedLoop loop;
  const Time end = loop.sample.now + Seconds(600);
  int lines = 0;
  while (loop.sample.now < end) {
    if (loop.Pause(Millis(250))) ++lines;
  }
  CHECK(lines >= 55);
  CHECK(lines <= 60);
}

// Guards against a process that is blocked being taken for one that computes, or that had no
// processor.
TEST_CASE("a blocked thread uses no processor time", "[loop_pauses]") {
  ThreadTimes times;
  const Time before = SteadyNow();
  const Duration cpu_before = ThreadTimes::Cpu();
  const std::optional<Duration> queued_before = times.Queued();
  std::this_thread::sleep_for(Millis(50));
  const Duration cpu = ThreadTimes::Cpu() - cpu_before;
  const std::optional<Duration> queued = times.Queued();
  CHECK(cpu + Millis(50) <= SteadyNow() - before + Millis(1));
  CHECK(queued.has_value() == queued_before.has_value());
  if (queued && queued_before) CHECK(*queued >= *queued_before);
  // The rest of the time is used, or waited for, in one of the two ways.
  const Time computing_since = SteadyNow();
  while (SteadyNow() < computing_since + Millis(20)) {
  }
  CHECK(ThreadTimes::Cpu() > cpu_before + cpu);
}

}  // namespace
}  // namespace peridotgauge
