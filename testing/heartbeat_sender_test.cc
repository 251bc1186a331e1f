// Tests how controllers pass heartbeats of targets to the leader, and which controller targets
// call. They guard against a leader whose processor is taken by one message for each heartbeat:
// with 1,300 targets, routers lost their sessions and got revisions seconds late.
#include "io/heartbeat_sender.h"

#include <rapidcheck.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/heartbeat_address.h"
#include "io/clock.h"
#include "io/control_client.h"
#include "io/peer.h"
#include "testing/control_cluster.h"

namespace peridotgauge {
namespace {

TargetRecord RecordOf(int number, TargetState state = TargetState::kServing) {
  return {.target = "i-" + std::to_string(number),
          .address = "127.0.0.1:" + std::to_string(10'000 + number),
          .service = "s",
          .data_centre = "z",
          .incarnation = 1,
          .sequence = 1,
          .state = state,
          .slots = 5,
          .connections = 40};
}

// A leader that counts messages. One of an earlier version handles the first heartbeat only.
struct StandInLeader {
  StandInLeader(boost::asio::io_context& io, bool earlier_version)
      : server(io, "127.0.0.1:0",
               [this, earlier_version](const wire::BodyUnion& body, const PeerRequest& request) {
                 ++this->messages;
                 const auto* heartbeat = body.AsRegisterRequest();
                 wire::CommandReplyT reply;
                 ++this->handled[heartbeat->target->target];
                 if (!earlier_version) {
                   for (const auto& target : heartbeat->more) {
                     ++this->handled[target->target];
                     reply.more_errors.push_back(target->target == this->refused ? int8_t{1}
                                                                                 : int8_t{-1});
                   }
                   reply.registered_targets = 500;
                 }
                 request.Reply(ToBody(std::move(reply)));
               }) {}

  ControllerAddress Address() const {
    return {"c0", "127.0.0.1:" + std::to_string(this->server.Port())};
  }

  int messages = 0;
  std::map<std::string, int> handled;  // by target
  std::string refused;
  PeerServer server;
};

TEST_CASE("heartbeats that arrive together travel together", "[heartbeat_sender]") {
  constexpr int kHeartbeats = 100;
  boost::asio::io_context io;
  const bool earlier_version = GENERATE(false, true);
  StandInLeader leader(io, earlier_version);
  leader.refused = "i-50";
  ControlClient client(io,
                       {.self = {.id = "c1", .incarnation = 1}, .controllers = {leader.Address()}});
  std::map<std::string, std::vector<int>> errors;  // by target
  const auto send = [&](const TargetRecord& record) {
    client.Heartbeat(record, /*remove=*/false, [&, name = record.target](const auto& reply) {
      errors[name].push_back(reply ? reply->error : 99);
    });
  };
  const auto await = [&](size_t count) {
    const Time limit = SteadyNow() + Seconds(10);
    while (errors.size() < count && SteadyNow() < limit) {
      io.run_one_for(std::chrono::milliseconds(50));
    }
    REQUIRE(errors.size() == count);
  };

  SECTION("one alone is sent at once") {
    send(RecordOf(0));
    await(1);
    CHECK(leader.messages == 1);
  }
  SECTION("each gets its own answer exactly once") {
    for (int i = 0; i < kHeartbeats; ++i) send(RecordOf(i));
    await(kHeartbeats);
    for (int i = 0; i < kHeartbeats; ++i) {
      const std::string name = RecordOf(i).target;
      const bool refused = name == leader.refused && !earlier_version;
      CHECK(errors[name] == std::vector<int>{refused ? 1 : -1});
      CHECK(leader.handled[name] == 1);
    }
    if (earlier_version) {
      // One message with all of them, and one for each that it did not handle.
      CHECK(leader.messages <= kHeartbeats + 1);
    } else {
      CHECK(leader.messages <= 2);
      CHECK(client.RegisteredTargets() == 500);
    }
  }
  SECTION("a departure does not wait for others") {
    send(RecordOf(0));
    send(RecordOf(1));
    send(RecordOf(2, TargetState::kDraining));
    await(3);
    CHECK(leader.messages == 3);
  }
  SECTION("those that wait are answered when the client stops") {
    send(RecordOf(0));
    send(RecordOf(1));
    client.Stop();
    await(2);
    CHECK(errors["i-1"] == std::vector<int>{99});
  }
}

TEST_CASE("the leader handles each heartbeat of a message", "[heartbeat_sender]") {
  Cluster cluster;
  wire::RegisterRequestT request;
  request.target = ToWire(RecordOf(0));
  request.more.push_back(ToWire(RecordOf(1)));
  request.more.push_back(ToWire(RecordOf(2, TargetState::kDraining)));
  TargetRecord invalid = RecordOf(3);
  invalid.address.clear();
  request.more.push_back(ToWire(invalid));
  request.more.push_back(ToWire(RecordOf(4)));
  std::optional<wire::CommandReplyT> reply;
  cluster.nodes[0]->controller->Handle(
      ToBody(std::move(request)),
      Controller::Responder{[&](const wire::BodyUnion& body) { reply = *body.AsCommandReply(); },
                            [] { return true; }});
  REQUIRE(reply);
  CHECK(reply->error == -1);
  REQUIRE(reply->more_errors.size() == 4);
  CHECK(reply->more_errors[0] == -1);
  // A departure is acknowledged only once all routers know of it, so it must be sent alone.
  CHECK(reply->more_errors[1] == static_cast<int8_t>(ErrorCode::kBadRequest));
  CHECK(reply->more_errors[2] == static_cast<int8_t>(ErrorCode::kBadRequest));
  CHECK(reply->more_errors[3] == -1);
  CHECK(reply->registered_targets == 3);
}

TEST_CASE("targets are distributed over the controllers", "[heartbeat_sender]") {
  const std::vector<std::string> members = {"c1", "c2", "c3", "c4", "c5"};
  const auto choose = [&](int number, const std::string& self, size_t targets) {
    return HeartbeatController("i-" + std::to_string(number), self, "c1", members, targets);
  };

  SECTION("all call the leader if they are few, or their number is unknown") {
    for (int i = 0; i < 100; ++i) {
      CHECK(choose(i, "c2", 0) == "c1");
      CHECK(choose(i, "c2", kMaxLeaderTargets) == "c1");
    }
  }
  SECTION("of many, a bounded number stays with the leader") {
    constexpr int kTargets = 2'000;
    std::map<std::string, int> counts;
    for (int i = 0; i < kTargets; ++i) ++counts[choose(i, "c1", kTargets)];
    CHECK(counts["c1"] <= 1.2 * static_cast<double>(kMaxLeaderTargets));
    for (const char* other : {"c2", "c3", "c4", "c5"}) {
      CHECK(counts[other] >= kTargets / 10);
    }
  }
  SECTION("no target is sent back and forth") {
    CHECK(rc::check([&](uint16_t number, uint16_t targets) {
      const std::string next = choose(number, "c1", targets);
      RC_ASSERT(choose(number, next, targets) == next);
    }));
  }
  SECTION("nobody is named while no leader is known") {
    CHECK(HeartbeatController("i-1", "c2", "", members, 5'000).empty());
  }
}

}  // namespace
}  // namespace peridotgauge
