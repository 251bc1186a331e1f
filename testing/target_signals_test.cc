// Tests what targets ask of a router in their answers, and what happens to requests that wait for a
// target that leaves. They guard against requests to targets that have asked for none.

#include "core/target_signals.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "io/clock.h"
#include "io/evacuations.h"
#include "io/event_log.h"
#include "io/target_pool.h"
#include "raw_socket.h"
#include "route_deployment.h"
#include "search_fakes.h"

namespace peridotgauge {
namespace {

constexpr Duration kTimeout = Seconds(4);

// A deployment with one route and service.
struct Fixture {
  Fixture() {
    REQUIRE(this->deployment.Apply(
        ConfigText(1, {RouteText("r", "/p/", "safe", WholeMillis(kTimeout), "s")}, {"s"})));
  }
  void Register(const std::string& id, const RouteTarget& target, uint64_t sequence = 1,
                uint64_t born = 1'000, const std::string& state = "ready") {
    const auto answer = this->deployment.Heartbeat(
        0, id, HeartbeatText("s", target.address, state, sequence, born));
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
  }
  std::optional<HttpResponse> Send() {
    return Call(this->deployment.RouterAddress(0),
                CallerRequest("c-" + std::to_string(++this->sent), "GET", "/p/x", kTimeout),
                2 * kTimeout);
  }

  RouteDeployment deployment{{}};
  std::atomic<int> sent = 0;
};

size_t CountIn(const std::vector<Time>& times, Time begin, Time end) {
  return static_cast<size_t>(
      std::count_if(times.begin(), times.end(), [&](Time t) { return t >= begin && t < end; }));
}

double RetryAfter(const HttpResponse& response) {
  const std::string text(response.Header("Retry-After"));
  return text.empty() ? 0 : std::stod(text);
}

TEST_CASE("targets in evacuated data centres accept nothing", "[target_signals][evacuation]") {
  TargetSignals signals;
  const Time now = TimeAt(100'000);
  const TargetRecord a{.target = "a", .data_centre = "dc-a", .incarnation = 1};
  const TargetRecord b{.target = "b", .data_centre = "dc-b", .incarnation = 1};
  const TargetRecord successor{.target = "b", .data_centre = "dc-b", .incarnation = 2};
  signals.SetEvacuated({"dc-b", "dc-c"});
  CHECK_FALSE(signals.Empty());
  CHECK(signals.Accepts(now, a));
  CHECK_FALSE(signals.Accepts(now, b));
  CHECK_FALSE(signals.Accepts(now, successor));
  // Signals are forgotten after some time; evacuations are not.
  signals.Expire(now + 2 * kForgetSignalAfter);
  CHECK_FALSE(signals.Accepts(now + 2 * kForgetSignalAfter, b));
  // The end of a pause of an evacuated target is no time at which requests are accepted again.
  signals.OnPause(now, b, Seconds(1));
  const std::vector<const TargetRecord*> only_b = {&b};
  CHECK(signals.AcceptsAgain(now, only_b) == std::nullopt);
  signals.OnPause(now, a, Seconds(2));
  const std::vector<const TargetRecord*> both = {&a, &b};
  CHECK(signals.AcceptsAgain(now, both) == now + Seconds(2));
  signals.SetEvacuated({});
  CHECK(signals.Accepts(now, successor));
  CHECK(signals.AcceptsAgain(now, both) == now + Seconds(1));
}

TEST_CASE("signals of targets", "[target_signals]") {
  TargetSignals signals;
  const Time now = TimeAt(100'000);
  const TargetRecord target{.target = "t", .incarnation = 1, .state = TargetState::kServing};
  const TargetRecord other{.target = "u", .incarnation = 1, .state = TargetState::kServing};
  const TargetRecord successor{.target = "t", .incarnation = 2, .state = TargetState::kServing};
  const TargetRecord* const both[] = {&target, &other};
  SECTION("a pause ends") {
    signals.OnPause(now, target, Seconds(2));
    CHECK_FALSE(signals.Accepts(now + Millis(1'999), target));
    CHECK(signals.Accepts(now + Seconds(2), target));
    SECTION("not earlier if a shorter one is named") {
      signals.OnPause(now + Millis(100), target, Seconds(1));
      CHECK_FALSE(signals.Accepts(now + Millis(1'999), target));
    }
    SECTION("and is not ended by an earlier incarnation that still answers") {
      signals.OnPause(now, successor, Seconds(2));
      signals.OnLeaving(now, target);
      CHECK_FALSE(signals.Accepts(now, successor));
    }
    SECTION("and binds its incarnation only") {
      CHECK(signals.Accepts(now, successor));
      CHECK(signals.Accepts(now, other));
    }
    SECTION("and callers are told of the first end if no target accepts requests") {
      CHECK_FALSE(signals.AcceptsAgain(now, both));
      signals.OnPause(now, other, Seconds(1));
      CHECK(signals.AcceptsAgain(now, both) == now + Seconds(1));
      signals.OnLeaving(now, other);
      CHECK(signals.AcceptsAgain(now, both) == now + Seconds(2));
      CHECK_FALSE(signals.AcceptsAgain(now + Seconds(2), both));
    }
  }
  SECTION("a pause has an upper bound") {
    signals.OnPause(now, target, Seconds(86'400));
    CHECK(signals.Accepts(now + kMaxPause, target));
  }
  SECTION("a target that leaves is not brought back by the directory") {
    signals.OnLeaving(now, target);
    signals.OnDirectory(now, target);
    CHECK_FALSE(signals.Accepts(now + Seconds(60), target));
    CHECK(signals.Accepts(now, successor));
  }
  SECTION("a target that drains accepts requests again if the directory says so") {
    TargetRecord draining = target;
    draining.state = TargetState::kDraining;
    signals.OnDirectory(now, draining);
    CHECK_FALSE(signals.Accepts(now, target));
    signals.OnDirectory(now, target);
    CHECK(signals.Accepts(now, target));
  }
  SECTION("a serving target leaves no record, and old ones are forgotten") {
    signals.OnDirectory(now, target);
    CHECK(signals.Empty());
    signals.OnLeaving(now, target);
    signals.Expire(now + kForgetSignalAfter);
    CHECK(signals.Empty());
  }
}

// Guards against requests that fail with "the data centre is evacuated" although their target is in
// another one.
TEST_CASE("an evacuation fails only what waits for evacuated targets",
          "[target_signals][evacuation]") {
  boost::asio::io_context io;
  RawListener listener;
  TargetPool pool(io, {});
  TargetSignals signals;
  Metrics metrics;
  EventLog log(-1);
  Evacuations evacuations({pool, signals, metrics, log});
  const Time now = SteadyNow();
  TargetRecord target{.target = "t",
                      .address = listener.AddressText(),
                      .service = "s",
                      .data_centre = "dc-a",
                      .incarnation = 1,
                      .state = TargetState::kServing};
  std::vector<std::string> failures;
  const auto send = [&] {
    pool.ClientFor(target).Send({.request = {.method = "GET", .path = "/"},
                                 .deadline = now + Seconds(60),
                                 .done =
                                     [&](const HttpResult& result) {
                                       if (!result) failures.push_back(result.error().error.detail);
                                     },
                                 .released = {},
                                 .echo = {},
                                 .identifying_header = {},
                                 .before_sending = {}});
  };
  pool.SetConnectionLimit("s", 1);
  send();  // runs without an end
  REQUIRE(RunUntil(io, [&] { return listener.Accept(); }));
  RawSocket& connection = listener.sockets.front();
  REQUIRE(RunUntil(io, [&] { return connection.Received("\r\n\r\n"); }));
  send();  // waits for the only connection
  const auto evacuate = [&](const std::vector<std::string>& data_centres) {
    evacuations.OnChange(now, data_centres, {{target.target, target}});
    io.restart();
    io.poll();
  };
  SECTION("of a target that pauses") {
    signals.OnPause(now, target, Seconds(60));
    evacuate({"dc-b"});
    CHECK(failures.empty());
    CHECK(pool.ConnectionsTo(target).waiting == 1);
  }
  SECTION("of a target that drains") {
    target.state = TargetState::kDraining;
    signals.OnDirectory(now, target);
    evacuate({"dc-b"});
    CHECK(failures.empty());
    evacuate({});
    CHECK(failures.empty());
  }
  SECTION("in its own data centre") {
    evacuate({"dc-a"});
    CHECK(failures == std::vector<std::string>{"the data centre is evacuated"});
  }
  SECTION("in the data centre in which it has started again") {
    target.incarnation = 2;
    target.data_centre = "dc-b";
    evacuate({"dc-b"});
    CHECK(failures == std::vector<std::string>{"the data centre is evacuated"});
  }
}

// Guards against retries and new requests that press a target that has named a pause.
TEST_CASE("a target that refuses with Retry-After gets nothing for that time", "[target_signals]") {
  constexpr Duration kPause = Seconds(2);
  std::atomic<bool> refuses = false;
  Fixture fixture;
  RouteTarget target(
      fixture.deployment.NewAddress(), [](const HttpRequest&) { return Duration(0); },
      [&](HttpResponse& response) {
        if (!refuses) return;
        response.status = 503;
        response.headers.push_back({"Peridotgauge-Not-Executed", "1"});
        response.headers.push_back({"Retry-After", "2"});
      });
  fixture.Register("i-0", target);
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
  refuses = true;
  const Time begin = SteadyNow();
  std::atomic<int> not_refused = 0;
  std::atomic<int> slow = 0;
  std::atomic<int> too_early = 0;
  std::vector<std::thread> callers;
  while (SteadyNow() < begin + kPause - Millis(200)) {
    callers.emplace_back([&] {
      const Time sent = SteadyNow();
      const auto answer = fixture.Send();
      if (!answer || answer->status != 503) ++not_refused;
      if (!answer || sent < begin + Millis(500)) return;
      if (SteadyNow() - sent > kTimeout / 4) ++slow;
      // The caller is told when the target wants requests again.
      if (ToMillis(SteadyNow() - begin) / 1'000 + RetryAfter(*answer) < 2.0) ++too_early;
    });
    std::this_thread::sleep_for(Millis(20));
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(not_refused == 0);
  CHECK(slow == 0);
  CHECK(too_early == 0);
  CHECK(CountIn(target.ArrivalTimes(), begin + Millis(500), begin + kPause) <= 2);
  refuses = false;
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
}

// Guards against a router that goes on sending to a target that has said in an answer that it
// leaves, before the directory knows.
TEST_CASE("a target that says in an answer that it leaves gets nothing more", "[target_signals]") {
  std::atomic<bool> leaves = false;
  Fixture fixture;
  const auto at_once = [](const HttpRequest&) { return Duration(0); };
  RouteTarget leaving(fixture.deployment.NewAddress(), at_once, [&](HttpResponse& response) {
    if (!leaves) return;
    response.headers.push_back({"Server-Leaving", "1"});
    response.body = "leaving";
  });
  // Until the first one has said that it leaves, the other target is slower than the first hedge,
  // so that the router does not use that one alone.
  std::atomic<bool> other_slow = true;
  RouteTarget other(fixture.deployment.NewAddress(),
                    [&](const HttpRequest&) { return other_slow ? Millis(100) : Duration(0); });
  // The router must know the other target when the first one says that it leaves.
  fixture.Register("i-1", other);
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
  fixture.Register("i-0", leaving);
  const auto send = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const auto answer = fixture.Send();
      REQUIRE(answer);
      CHECK(answer->status == 200);
    }
  };
  leaves = true;
  // An arrival alone does not show that the router has read the answer, as another may come first.
  bool answered = false;
  for (const Time end = SteadyNow() + kDeploymentTimeout; !answered && SteadyNow() < end;) {
    const auto answer = fixture.Send();
    REQUIRE(answer);
    CHECK(answer->status == 200);
    answered = answer->body == "leaving";
  }
  REQUIRE(answered);
  const size_t told = leaving.Arrivals().size();
  other_slow = false;
  send(50);
  CHECK(leaving.Arrivals().size() == told);
  SECTION("also after a late heartbeat that says that it serves") {
    fixture.Register("i-0", leaving, 2);
    send(50);
    CHECK(leaving.Arrivals().size() == told);
  }
  SECTION("until it starts again") {
    leaves = false;
    fixture.Register("i-0", leaving, 1, 2'000);
    fixture.Register("i-1", other, 2, 1'000, "draining");
    send(20);
    CHECK(leaving.Arrivals().size() == told + 20);
  }
}

// Guards against requests that wait for a connection to a target and are sent to it after it has
// begun to drain.
TEST_CASE("requests that wait for a target that begins to drain are placed anew",
          "[target_signals]") {
  constexpr size_t kCallers = 60;  // more than connections to a target
  constexpr Duration kWork = Millis(1'500);
  Fixture fixture;
  RouteTarget draining(fixture.deployment.NewAddress(), [&](const HttpRequest& request) {
    return request.path.ends_with("/ready") ? Duration(0) : kWork;
  });
  fixture.Register("i-0", draining);
  REQUIRE(fixture.deployment.AwaitRoute("/p/ready"));
  std::atomic<size_t> served = 0;
  std::atomic<size_t> refused = 0;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      const auto answer = fixture.Send();
      if (answer && answer->status == 200) ++served;
      if (answer && answer->status == 503) ++refused;
    });
  }
  std::this_thread::sleep_for(Millis(300));
  fixture.Register("i-0", draining, 2, 1'000, "draining");
  const Time acknowledged = SteadyNow();
  for (std::thread& caller : callers) caller.join();
  CHECK(CountIn(draining.ArrivalTimes(), acknowledged + Millis(100), acknowledged + Seconds(60)) ==
        0);
  CHECK(served + refused == kCallers);
  CHECK(refused > 0);
}

// Guards against a hedge or retry of an older plan that goes to an evacuated data centre, and
// against other signals that change the choice of the native interface.
TEST_CASE("a chooser leaves out evacuated targets alone", "[target_signals]") {
  TargetRecord a = MakeTarget("a", "s", {});
  a.data_centre = "dc-a";
  TargetRecord b = MakeTarget("b", "s", {});
  b.data_centre = "dc-b";
  const std::vector<const TargetRecord*> both = {&a, &b};
  const std::vector<const TargetRecord*> tried_b = {&b};
  TargetSignals signals;
  FakeChooser random;
  SignalChooser chooser(random, signals, &TargetSignals::IsNotEvacuated);
  const Time now = TimeAt(1'000);
  signals.OnPause(now, a, Seconds(5));
  CHECK(chooser.Choose(now, both, tried_b) == &a);
  signals.SetEvacuated({"dc-a"});
  for (int i = 0; i < 20; ++i) CHECK(chooser.Choose(now, both, {}) == &b);
  CHECK(chooser.Choose(now, both, tried_b) == nullptr);
  // The plan is older than the registration of b in the evacuated data centre.
  TargetRecord moved = b;
  moved.data_centre = "dc-a";
  signals.OnDirectory(now, moved);
  CHECK(chooser.Choose(now, both, {}) == nullptr);
  signals.SetEvacuated({});
  CHECK(chooser.Choose(now, both, tried_b) == &a);
}

}  // namespace
}  // namespace peridotgauge
