// Replays loads of large fleets on the leader and counts its replies. Guards against work that
// grows with the product of routers and changes: the leader then answers too late, all routers time
// out and reconnect together, and configurations reach them seconds too late.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/packed_text.h"
#include "state/push_pacing.h"
#include "testing/control_cluster.h"

namespace peridotgauge {
namespace {

// Routers that send the next sync request with each reply, without connections.
class PollingFleet {
 public:
  PollingFleet(Cluster& cluster, bool compact) : cluster(cluster), compact(compact) {}

  void Start(const std::string& router) { this->Poll(router); }
  void Stop() { this->stopped = true; }
  // Returns true once every router holds the revision.
  bool AllHold(uint64_t revision) const {
    for (const auto& [id, copy] : this->copies) {
      if (copy.revision != revision) return false;
    }
    return true;
  }

  int replies = 0;
  size_t config_bytes = 0;
  size_t router_records = 0;

 private:
  struct Copy {
    uint64_t state_index = 0;
    uint64_t epoch = 0;
    uint64_t version = 0;
    uint64_t revision = 0;
    uint64_t digest = 0;
  };

  void Poll(const std::string& router) {
    const Copy& copy = this->copies[router];
    wire::SyncRequestT request;
    request.router = ToWire(RouterRecord{.id = router, .incarnation = 1});
    request.state_index = copy.state_index;
    request.directory_epoch = copy.epoch;
    request.directory_version = copy.version;
    request.full_registrations = copy.epoch == 0;
    request.wait_ms = 10'000;
    request.router_deltas = true;
    request.compact = this->compact;
    request.config_revision = copy.revision;
    request.config_digest = copy.digest;
    this->cluster.nodes[0]->controller->Handle(
        ToBody(std::move(request)),
        Controller::Responder{
            [this, router](const wire::BodyUnion& body) { this->OnReply(router, body); },
            [] { return true; }});
  }

  void OnReply(const std::string& router, const wire::BodyUnion& body) {
    const wire::SyncReplyT& reply = *body.AsSyncReply();
    if (reply.error >= 0 || this->stopped) return;
    ++this->replies;
    this->config_bytes += reply.config_text.size() + reply.config_package.size();
    this->router_records += reply.routers.size();
    Copy& copy = this->copies[router];
    copy.state_index = reply.state_index;
    copy.epoch = reply.directory_epoch;
    copy.version = reply.directory_version;
    copy.revision = reply.config_revision;
    if (!reply.config_package.empty()) copy.digest = reply.config_digest;
    asio::post(this->cluster.io, [this, router] {
      if (!this->stopped) this->Poll(router);
    });
  }

  Cluster& cluster;
  bool compact;
  bool stopped = false;
  std::map<std::string, Copy> copies;
};

std::string LargeConfig(int revision) {
  std::string services;
  for (int i = 0; i < 1'000; ++i) {
    services += (i == 0 ? "" : ", ") + ("\"s" + std::to_string(i)) + R"(": {"fleet": "f"})";
  }
  return R"({"revision": )" + std::to_string(revision) + R"(, "fleets": {"f": {}}, "services": {)" +
         services + "}}";
}

// The most replies that the leader sends to a fleet in this time, with and without changes.
int MaxReplies(int routers, Duration elapsed) {
  const auto count = [&](Duration interval) {
    return static_cast<int>(elapsed / interval + 2) * routers;
  };
  return count(PushInterval(routers)) + count(MaxPollHold(routers));
}

TEST_CASE("a fleet of routers joins one after the other", "[control_fleet]") {
  constexpr int kRouters = 150;
  Cluster cluster;
  const auto join_all = [&](bool compact) {
    auto fleet = std::make_unique<PollingFleet>(cluster, compact);
    const Time start = SteadyNow();
    for (int i = 0; i < kRouters; ++i) {
      fleet->Start("r" + std::to_string(i));
      const size_t expected = static_cast<size_t>(i) + 1;
      REQUIRE(
          cluster.RunUntil([&] { return cluster.nodes[0]->state.Routers().size() >= expected; }));
    }
    cluster.RunUntil([] { return false; }, Millis(100));
    fleet->Stop();
    const int limit = MaxReplies(kRouters, SteadyNow() - start);
    return std::make_pair(std::move(fleet), limit);
  };
  SECTION("a compact router does not hear of the others") {
    const auto [fleet, limit] = join_all(true);
    CHECK(fleet->replies <= limit);
    CHECK(fleet->router_records == 0);
  }
  // The naive twin: every router learns of every join.
  SECTION("a router with the whole list gets a reply for each join") {
    const auto [fleet, limit] = join_all(false);
    CHECK(fleet->router_records >= static_cast<size_t>(kRouters * kRouters) / 4);
  }
}

TEST_CASE("a storm of large configurations", "[control_fleet]") {
  constexpr int kRouters = 60;
  constexpr int kRevisions = 30;
  Cluster cluster;
  PollingFleet fleet(cluster, /*compact=*/true);
  for (int i = 0; i < kRouters; ++i) fleet.Start("r" + std::to_string(i));
  REQUIRE(cluster.RunUntil([&] { return fleet.replies >= kRouters; }));
  auto operators = cluster.MakeRouter("operator");
  REQUIRE(cluster.Apply(*operators, LargeConfig(1))->error < 0);
  REQUIRE(cluster.RunUntil([&] { return fleet.AllHold(1); }));
  const size_t whole_text_each = kRouters * LargeConfig(1).size();
  CHECK(fleet.config_bytes < whole_text_each / 3);

  fleet.replies = 0;
  fleet.config_bytes = 0;
  const Time start = SteadyNow();
  for (int revision = 2; revision <= kRevisions; ++revision) {
    REQUIRE(cluster.Apply(*operators, LargeConfig(revision))->error < 0);
  }
  REQUIRE(cluster.RunUntil([&] { return fleet.AllHold(kRevisions); }));
  CHECK(fleet.replies <= MaxReplies(kRouters, SteadyNow() - start));
  // Less than one whole text for each router, although each has received many revisions.
  CHECK(fleet.config_bytes < whole_text_each / 3);
  fleet.Stop();
  operators->Stop();
}

// Guards against a reply with an older state than the router has, after a change of leader.
TEST_CASE("a router knows more than the leader has published", "[control_fleet]") {
  Cluster cluster;
  auto operators = cluster.MakeRouter("operator");
  const auto poll = [&](uint64_t state_index) {
    wire::SyncRequestT request;
    request.router = ToWire(RouterRecord{.id = "r1", .incarnation = 1});
    request.state_index = state_index;
    request.full_registrations = true;
    request.compact = true;
    std::optional<uint64_t> answered;
    cluster.nodes[0]->controller->Handle(
        ToBody(std::move(request)),
        Controller::Responder{
            [&](const wire::BodyUnion& body) { answered = body.AsSyncReply()->state_index; },
            [] { return true; }});
    REQUIRE(cluster.RunUntil([&] { return answered.has_value(); }));
    return *answered;
  };
  poll(0);
  // The second revision follows within the interval between two rounds.
  REQUIRE(cluster.Apply(*operators, MakeConfig(1))->error < 0);
  REQUIRE(cluster.Apply(*operators, MakeConfig(2))->error < 0);
  const uint64_t known = cluster.nodes[0]->state.Version();
  CHECK(poll(known) >= known);
  operators->Stop();
}

TEST_CASE("a compact router", "[control_fleet]") {
  Cluster cluster;
  auto router = cluster.StartSyncedRouter("r1", 1, /*compact=*/true);
  auto other = cluster.StartSyncedRouter("r2", 1, /*compact=*/true);
  CHECK(cluster.RunUntil([&] { return router->ActiveRouters() == 2; }));
  CHECK(router->Routers().empty());
  const auto in_use = [&](const ControlClient& client, uint64_t revision) {
    return cluster.RunUntil([&] { return client.CurrentConfig()->Revision() == revision; });
  };
  for (int revision = 1; revision <= 3; ++revision) {
    REQUIRE(cluster.Apply(*other, MakeConfig(revision))->error < 0);
    CHECK(in_use(*router, static_cast<uint64_t>(revision)));
  }
  CHECK(cluster.RunUntil([&] { return cluster.InForce(*router, 3); }));
  SECTION("follows a leader that has published other revisions") {
    cluster.Elect(1);
    CHECK(cluster.RunUntil([&] { return router->Leader() == "c1"; }));
    REQUIRE(cluster.Apply(*other, MakeConfig(4))->error < 0);
    CHECK(in_use(*router, 4));
  }
  SECTION("gets the newest of many revisions that it has missed") {
    router->StopSync();
    for (int revision = 4; revision <= 12; ++revision) {
      REQUIRE(cluster.Apply(*other, MakeConfig(revision))->error < 0);
    }
    router->Start();
    CHECK(in_use(*router, 12));
  }
  SECTION("learns how many routers carry the load, as every controller does") {
    CHECK(router->OfferedRouterCount() == 2);
    wire::OfferRoutersT offer;
    offer.count = 1;
    REQUIRE(cluster.Run(*other, ToCommand(offer))->error < 0);
    CHECK(cluster.RunUntil([&] { return router->OfferedRouterCount() == 1; }));
    for (const auto& node : cluster.nodes) CHECK(node->state.OfferedRouterCount() == 1);
    ControlState restored;
    REQUIRE(restored.Restore(cluster.group.index, cluster.nodes[1]->state.Snapshot()));
    CHECK(restored.OfferedRouterCount() == 1);
  }
  SECTION("learns which requests crash targets, also from the next leader") {
    const auto crash = [&](const std::string& target) {
      wire::RecordCrashesT command;
      auto entry = std::make_unique<wire::RequestCrashT>();
      entry->fingerprint = 7;
      entry->crash = ToWire(TargetCrash{.service = "s", .target = target, .incarnation = 1});
      command.crashes.push_back(std::move(entry));
      return cluster.Run(*other, ToCommand(std::move(command)))->error < 0;
    };
    REQUIRE(crash("a"));
    REQUIRE(crash("b"));
    CHECK(cluster.RunUntil([&] { return router->QuarantineList().size() == 1; }));
    cluster.Elect(1);
    CHECK(cluster.RunUntil([&] { return router->Leader() == "c1"; }));
    REQUIRE(crash("c"));
    auto newcomer = cluster.StartSyncedRouter("r3", 1, /*compact=*/true);
    CHECK(cluster.RunUntil([&] { return newcomer->QuarantineList().size() == 1; }));
    newcomer->Stop();
  }
  SECTION("counts the routers that are left") {
    REQUIRE(cluster.Run(*other, LeaveCommand("r2", 1, /*clean=*/false))->error < 0);
    CHECK(cluster.RunUntil([&] { return router->ActiveRouters() == 1; }));
  }
  router->Stop();
  other->Stop();
}

}  // namespace
}  // namespace peridotgauge
