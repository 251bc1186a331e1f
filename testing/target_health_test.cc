// Tests the requests of a router for the health of targets. They guard against a target that turns
// cold and is not asked, and against a broken response that is believed.
#include "io/target_health.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "io/clock.h"
#include "platform/route_format.h"
#include "raw_socket.h"

namespace peridotgauge {
namespace {

// A router's part that asks one target for its health.
struct Fixture {
  Fixture() {
    this->warmup.SetServices({{"s", 10}});
    this->health.SetPaths({{"s", "/health"}});
    this->pool.SetConnectionLimit("s", 1);
  }
  bool Until(const std::function<bool()>& condition) {
    return RunUntil(this->io, [&] {
      this->listener.Accept();
      return condition();
    });
  }
  bool IsLimited() { return this->warmup.IsLimited(SteadyNow(), this->target); }

  boost::asio::io_context io;
  RawListener listener;
  TargetPool pool{this->io, {}};
  const platform::RouteFormat codec;
  WarmupLimit warmup{{.overage = 1.5, .slack = 5}, "r1"};
  EventLog log{-1};
  TargetHealth health{{this->pool, this->codec, this->warmup, this->log}};
  const TargetRecord target{.target = "t",
                            .address = this->listener.AddressText(),
                            .service = "s",
                            .incarnation = 1,
                            .state = TargetState::kServing};
};

// Guards against a target that turns cold, becomes slow, and is therefore never asked because all
// its connections are in use.
TEST_CASE("a target without a free connection is asked for its health, too", "[target_health]") {
  Fixture fixture;
  const Time now = SteadyNow();
  // Returns the connection on which a request for the path has arrived, which is then forgotten.
  const auto arrived = [&](const std::string& path) -> RawSocket& {
    RawSocket* found = nullptr;
    REQUIRE(fixture.Until([&] {
      for (RawSocket& socket : fixture.listener.sockets) {
        if (socket.Received("GET " + path + " ")) found = &socket;
      }
      return found != nullptr;
    }));
    found->Text().clear();
    return *found;
  };
  const auto answer = [](const std::string& warmup_ms) {
    return "HTTP/1.1 200 OK\r\nPeridotgauge-Warmup-Ms: " + warmup_ms +
           "\r\nContent-Length: 0\r\n\r\n";
  };
  // Sends a request of a caller.
  const auto send = [&](Time at) {
    fixture.pool.ClientFor(fixture.target)
        .Send({.request = {.method = "GET", .path = "/p"},
               .deadline = now + Seconds(60),
               .done = [](const HttpResult&) {},
               .released = {},
               .echo = {},
               .identifying_header = {},
               .before_sending = {}});
    fixture.health.OnSend(at, fixture.target);
  };
  fixture.health.OnSend(now, fixture.target);
  arrived("/health").Send(answer("0"));
  REQUIRE(fixture.Until([&] { return fixture.pool.ConnectionsTo(fixture.target).used == 0; }));
  CHECK_FALSE(fixture.IsLimited());
  send(now);
  RawSocket& busy = arrived("/p");
  SECTION("not at once, as callers wait for the connection") {
    send(now + kMinHealthInterval);
    CHECK(fixture.pool.ConnectionsTo(fixture.target).waiting == 1);
  }
  SECTION("when it has not been asked for long") {
    send(now + kBusyHealthIntervals * kMinHealthInterval);
    CHECK(fixture.pool.ConnectionsTo(fixture.target).waiting == 2);
    busy.Send(answer("0"));
    arrived("/p").Send(answer("0"));
    arrived("/health").Send(answer("5000"));
    CHECK(fixture.Until([&] { return fixture.IsLimited(); }));
  }
}

// Guards against a broken response to a health request that changes what is sent to the target.
TEST_CASE("a health response with a broken head is ignored", "[target_health]") {
  Fixture fixture;
  fixture.health.OnSend(SteadyNow(), fixture.target);
  REQUIRE(fixture.Until([&] {
    return !fixture.listener.sockets.empty() &&
           fixture.listener.sockets.front().Received("\r\n\r\n");
  }));
  RawSocket& socket = fixture.listener.sockets.front();
  // Sends a response that says that the target is cold, and waits until it has been read.
  const auto answer = [&](const std::string& status, const std::string& line) {
    socket.Send("HTTP/1.1 " + status + " Status\r\n" + line +
                "Peridotgauge-Warmup-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(fixture.Until([&] { return socket.Closed(); }));
  };
  SECTION("that is sound in other cases") {
    answer("200", "X-Name: 1\r\n");
    CHECK(fixture.IsLimited());
  }
  SECTION("because of its status") {
    answer(GENERATE("000", "100", "600"), "");
    CHECK_FALSE(fixture.IsLimited());
  }
  SECTION("because of the name of a field") {
    answer("200", GENERATE("X Name: 1\r\n", "X\x01Name: 1\r\n", "X-Name: 1\r\n X-Name: 1\r\n"));
    CHECK_FALSE(fixture.IsLimited());
  }
}

}  // namespace
}  // namespace peridotgauge
