// Tests how calls to the controllers move away from a controller that does not reply. They guard
// against heartbeats of targets that are lost for as long as a leader hangs although another
// controller leads already: new targets then register late, and requests for their services are
// refused.
#include "io/control_channel.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/clock.h"
#include "io/control_client.h"
#include "io/peer.h"

namespace peridotgauge {
namespace {

// A controller that answers each request as the leader, or none.
struct StandInController {
  StandInController(boost::asio::io_context& io, std::string id, bool hangs)
      : id(std::move(id)),
        server(io, "127.0.0.1:0",
               [this, hangs](const wire::BodyUnion&, const PeerRequest& request) {
                 ++this->received;
                 if (hangs) {
                   this->held.push_back(request);
                 } else {
                   request.Reply(ToBody(wire::CommandReplyT{}));
                 }
               }) {}

  ControllerAddress Address() const {
    return {this->id, "127.0.0.1:" + std::to_string(this->server.Port())};
  }

  std::string id;
  int received = 0;
  std::vector<PeerRequest> held;
  PeerServer server;
};

TEST_CASE("heartbeats leave a controller that does not reply", "[control_channel]") {
  boost::asio::io_context io;
  StandInController hanging(io, "c0", /*hangs=*/true);
  StandInController leader(io, "c1", /*hangs=*/false);
  ControlClient client(io, {.self = {.id = "c2", .incarnation = 1},
                            .controllers = {hanging.Address(), leader.Address()}});
  const TargetRecord record{.target = "i-1",
                            .address = "127.0.0.1:1",
                            .service = "s",
                            .data_centre = "z",
                            .incarnation = 1,
                            .sequence = 1};
  // Returns true if the heartbeat was acknowledged.
  const auto beat = [&] {
    std::optional<bool> acknowledged;
    client.Heartbeat(record, /*remove=*/false, [&](const Result<wire::CommandReplyT>& reply) {
      acknowledged = reply.has_value();
    });
    const Time limit = SteadyNow() + Seconds(10);
    while (!acknowledged && SteadyNow() < limit) io.run_one_for(std::chrono::milliseconds(50));
    REQUIRE(acknowledged);
    return *acknowledged;
  };

  SECTION("after some that were lost one after the other") {
    // Each waits for less time than a controller may take for a reply.
    int lost = 0;
    while (!beat() && lost < 20) ++lost;
    CHECK(lost <= 3);
    CHECK(leader.received == 1);
    CHECK(beat());
    CHECK(hanging.received <= 3);
  }
  SECTION("at once if this process knows another leader") {
    client.SetLeaderSource([] { return std::string("c1"); });
    CHECK(beat());
    CHECK(hanging.received == 0);
  }
  SECTION("but not because of a source that names an unknown or no controller") {
    std::string named;
    client.SetLeaderSource([&] { return named; });
    CHECK_FALSE(beat());
    named = "c9";
    CHECK_FALSE(beat());
    CHECK(hanging.received == 2);
  }
}

// Guards against a leader that is avoided for seconds, and routers that sync through another
// controller meanwhile, because of single calls that were lost with replies to syncs between them.
TEST_CASE("replies to syncs show that a controller has not failed", "[control_channel]") {
  boost::asio::io_context io;
  StandInController busy(io, "c0", /*hangs=*/true);
  StandInController other(io, "c1", /*hangs=*/false);
  const auto channel = std::make_shared<ControlChannel>(
      io, std::vector<ControllerAddress>{busy.Address(), other.Address()});
  // Sends a call that gets no reply, and returns how long it took.
  const auto lose_call = [&] {
    const Time begin = SteadyNow();
    bool ended = false;
    channel->Exchange(ToBody(wire::CommandRequestT{}), begin + Millis(50), Resend::kNever,
                      [&](const Result<wire::BodyUnion>&) { ended = true; });
    while (!ended) io.run_one_for(std::chrono::milliseconds(20));
    return SteadyNow() - begin;
  };
  const Time first = SteadyNow();
  lose_call();
  while (SteadyNow() < first + kCommandAttemptTimeout) {
    io.run_one_for(std::chrono::milliseconds(20));
  }
  SECTION("to a later call") {
    // On a busy host a call may take as long as a controller may take for a reply.
    do {
      channel->RecordLeader("c0");  // as for the reply to a sync
    } while (lose_call() >= kCommandAttemptTimeout);
    CHECK_FALSE(channel->RecentlyUnreachable(SteadyNow(), "c0"));
    CHECK(channel->Leader() == "c0");
  }
  SECTION("and without them it has") {
    lose_call();
    CHECK(channel->RecentlyUnreachable(SteadyNow(), "c0"));
    CHECK(channel->Current() == "c1");
  }
  channel->Stop();
}

}  // namespace
}  // namespace peridotgauge
