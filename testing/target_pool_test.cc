// Tests the connection pools of a router for its targets. They guard against calls that end without
// a result because requests to another start of their target are sent at the same time.
#include "io/target_pool.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "io/clock.h"
#include "raw_socket.h"

namespace peridotgauge {
namespace {

constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// Guards against callers that wait until their deadline for answers that the router has discarded:
// requests that were planned before a target started again are sent, or answered, after requests to
// its next start.
TEST_CASE("calls to two starts of a target do not end each other", "[target_pool]") {
  boost::asio::io_context io;
  RawListener first_listener;
  RawListener second_listener;
  TargetPool pool(io, {});
  pool.SetConnectionLimit("s", 1);
  const TargetRecord first{.target = "t",
                           .address = first_listener.AddressText(),
                           .service = "s",
                           .incarnation = 1,
                           .state = TargetState::kServing};
  TargetRecord second = first;
  second.incarnation = 2;
  second.address = second_listener.AddressText();
  std::vector<std::string> results;
  const auto send = [&](const TargetRecord& record, const std::string& name) {
    return pool.ClientFor(record).Send(
        {.request = {.method = "GET", .path = "/" + name},
         .deadline = SteadyNow() + Seconds(60),
         .done =
             [&results, name](const HttpResult& result) {
               results.push_back(name + (result ? " answered" : " " + result.error().error.detail));
             },
         .released = {},
         .echo = {},
         .identifying_header = {},
         .before_sending = {}});
  };
  // Returns the connection on which the request has arrived.
  const auto arrived = [&](RawListener& listener, const std::string& name) -> RawSocket& {
    RawSocket* found = nullptr;
    REQUIRE(RunUntil(io, [&] {
      listener.Accept();
      for (RawSocket& socket : listener.sockets) {
        if (socket.Received("GET /" + name + " ")) found = &socket;
      }
      return found != nullptr;
    }));
    return *found;
  };
  const auto expect = [&](const std::vector<std::string>& expected) {
    RunUntil(io, [&] { return results.size() >= expected.size(); });
    CHECK(results == expected);
  };
  SECTION("if one to the earlier start is sent later") {
    send(second, "new");
    RawSocket& connection = arrived(second_listener, "new");
    send(first, "old");
    RawSocket& old_connection = arrived(first_listener, "old");
    connection.Send(kAnswer);
    expect({"new answered"});
    old_connection.Send(kAnswer);
    expect({"new answered", "old answered"});
  }
  SECTION("if one to the earlier start runs when the next one is known") {
    const uint64_t call = send(first, "old");
    RawSocket& connection = arrived(first_listener, "old");
    send(first, "waiting");
    send(second, "new");
    // Nothing was sent of it, so that it can be placed anew.
    expect({"waiting the target has started again"});
    SECTION("and is answered") {
      connection.Send(kAnswer);
      expect({"waiting the target has started again", "old answered"});
    }
    SECTION("and can still be cancelled") {
      pool.Cancel(first, call);
      CHECK(RunUntil(io, [&] { return connection.Closed(); }));
    }
    CHECK(pool.ConnectionsTo(second).used == 1);
  }
  SECTION("and those at one address share the connection limit") {
    second.address = first.address;
    send(second, "new");
    RawSocket& connection = arrived(first_listener, "new");
    send(first, "old");
    CHECK(pool.ConnectionsTo(second).waiting == 1);
    connection.Send(kAnswer);
    arrived(first_listener, "old").Send(kAnswer);
    expect({"new answered", "old answered"});
    CHECK(pool.ConnectionsTo(second).used == 1);
  }
  SECTION("and a start without calls keeps no connections once the next one is known") {
    send(first, "old");
    RawSocket& connection = arrived(first_listener, "old");
    connection.Send(kAnswer);
    expect({"old answered"});
    CHECK(pool.ConnectionsTo(first).used == 1);
    send(second, "new");
    CHECK(pool.ConnectionsTo(first).used == 0);
    CHECK(RunUntil(io, [&] { return connection.Closed(); }));
  }
}

}  // namespace
}  // namespace peridotgauge
