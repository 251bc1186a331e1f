// Tests the requests of a router for the health of targets. They guard against a target that turns
// cold and is not asked.
#include "io/target_health.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "io/clock.h"
#include "platform/route_format.h"
#include "raw_socket.h"

namespace peridotgauge {
namespace {

// Guards against a target that turns cold, becomes slow, and is therefore never asked because all
// its connections are in use.
TEST_CASE("a target without a free connection is asked for its health, too", "[target_health]") {
  boost::asio::io_context io;
  RawListener listener;
  TargetPool pool(io, {});
  const platform::RouteFormat codec;
  WarmupLimit warmup({.overage = 1.5, .slack = 5}, "r1");
  EventLog log(-1);
  TargetHealth health({pool, codec, warmup, log});
  const TargetRecord target{.target = "t",
                            .address = listener.AddressText(),
                            .service = "s",
                            .incarnation = 1,
                            .state = TargetState::kServing};
  warmup.SetServices({{"s", 10}});
  health.SetPaths({{"s", "/health"}});
  pool.SetConnectionLimit("s", 1);
  const Time now = SteadyNow();
  // Returns the connection on which a request for the path has arrived, which is then forgotten.
  const auto arrived = [&](const std::string& path) -> RawSocket& {
    RawSocket* found = nullptr;
    REQUIRE(RunUntil(io, [&] {
      listener.Accept();
      for (RawSocket& socket : listener.sockets) {
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
    pool.ClientFor(target).Send({.request = {.method = "GET", .path = "/p"},
                                 .deadline = now + Seconds(60),
                                 .done = [](const HttpResult&) {},
                                 .released = {},
                                 .echo = {},
                                 .identifying_header = {},
                                 .before_sending = {}});
    health.OnSend(at, target);
  };
  health.OnSend(now, target);
  arrived("/health").Send(answer("0"));
  REQUIRE(RunUntil(io, [&] { return pool.ConnectionsTo(target).used == 0; }));
  CHECK_FALSE(warmup.IsLimited(SteadyNow(), target));
  send(now);
  RawSocket& busy = arrived("/p");
  SECTION("not at once, as callers wait for the connection") {
    send(now + kMinHealthInterval);
    CHECK(pool.ConnectionsTo(target).waiting == 1);
  }
  SECTION("when it has not been asked for long") {
    send(now + kBusyHealthIntervals * kMinHealthInterval);
    CHECK(pool.ConnectionsTo(target).waiting == 2);
    busy.Send(answer("0"));
    arrived("/p").Send(answer("0"));
    arrived("/health").Send(answer("5000"));
    CHECK(RunUntil(io, [&] { return warmup.IsLimited(SteadyNow(), target); }));
  }
}

}  // namespace
}  // namespace peridotgauge
