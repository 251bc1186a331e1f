// Tests controllers and control clients over real connections, with an in-memory replicated log
// that commits at once.
#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/control_cluster.h"

namespace peridotgauge {
namespace {

TEST_CASE("a configuration is accepted once and takes effect on all routers", "[control_plane]") {
  Cluster cluster;
  auto r1 = cluster.StartSyncedRouter("r1");
  auto r2 = cluster.StartSyncedRouter("r2");
  int changes = 0;
  r2->OnChange([&](const ControlChange& change) { changes += change.config ? 1 : 0; });
  CHECK(cluster.RunUntil([&] { return r1->Routers().size() == 2; }));
  CHECK(r1->CurrentConfig()->Revision() == 0);

  const auto accepted = cluster.Apply(*r1, MakeConfig(1));
  REQUIRE(accepted);
  REQUIRE(accepted->error < 0);
  CHECK(cluster.RunUntil([&] { return cluster.InForce(*r2, 1); }));
  CHECK(r2->CurrentConfig()->Revision() == 1);
  CHECK(changes == 1);

  SECTION("a conflicting apply reports the accepted text, a repeated one its original outcome") {
    const auto lost = cluster.Apply(*r2, MakeConfig(1, 300));
    CHECK(Refused(lost, ErrorCode::kConflict));
    CHECK(lost->digest == accepted->digest);
    // Texts that differ only in white space have the same digest.
    const auto again = cluster.Apply(*r2, " " + MakeConfig(1));
    CHECK(again->repeated);
    CHECK(again->index == accepted->index);
  }
  SECTION("an invalid configuration is refused before it reaches the log") {
    const uint64_t index = cluster.group.index;
    CHECK(Refused(cluster.Apply(*r1, "{}"), ErrorCode::kInvalidConfig));
    CHECK(cluster.group.index == index);
  }
  SECTION("a router that stops syncing delays it until its session has expired") {
    r2->StopSync();
    REQUIRE(cluster.Apply(*r1, MakeConfig(2))->error < 0);
    CHECK(cluster.RunUntil([&] { return r1->CurrentConfig()->Revision() == 2; }));
    CHECK_FALSE(cluster.InForce(*r1, 2));
    CHECK(cluster.RunUntil([&] { return cluster.InForce(*r1, 2); }));
    CHECK(cluster.RunUntil([&] { return r1->Routers().size() == 1; }));
  }
  SECTION("it survives a leader change") {
    cluster.Elect(2);
    CHECK(cluster.RunUntil([&] { return cluster.InForce(*r1, 1); }));
    CHECK(r1->Leader() == "c2");
    CHECK(cluster.Apply(*r1, MakeConfig(1))->repeated);
  }
  CHECK(cluster.Read(*r1, wire::ReadKind::Config).at("revision").as_int64() >= 1);
  CHECK(cluster.Read(*r1, wire::ReadKind::History).at("revisions").as_array().size() >= 1);
  CHECK(cluster.Read(*r1, wire::ReadKind::Status).at("config").is_object());
}

TEST_CASE("a router follows the leader", "[control_plane]") {
  Cluster cluster;
  cluster.group.leader = 1;
  SECTION("that another controller names") {
    auto r1 = cluster.StartSyncedRouter("r1");
    CHECK(r1->Leader() == "c1");
  }
  SECTION("through leader changes without losing its lease") {
    auto r1 = cluster.StartSyncedRouter("r1");
    bool reacquired = false;
    r1->OnChange(
        [&](const ControlChange& change) { reacquired = reacquired || change.lease_acquired; });
    for (const size_t leader : {0, 2, 1}) {
      cluster.Elect(leader);
      REQUIRE(cluster.RunUntil([&] { return r1->Leader() == "c" + std::to_string(leader); }));
    }
    CHECK(r1->Synchronized(SteadyNow()));
    CHECK_FALSE(reacquired);
  }
  SECTION("through a relay when the leader is unreachable") {
    const Address reachable = cluster.controllers[1].peer_address;
    cluster.controllers[1].peer_address = "127.0.0.1:1";
    auto r1 = cluster.StartSyncedRouter("r1");
    REQUIRE(cluster.Apply(*cluster.MakeRouter("operator"), MakeConfig(1)).has_value() == false);
    cluster.controllers[1].peer_address = reachable;
    auto operators = cluster.MakeRouter("operator");
    REQUIRE(cluster.Apply(*operators, MakeConfig(1))->error < 0);
    CHECK(cluster.RunUntil([&] { return r1->CurrentConfig()->Revision() == 1; }));
  }
  SECTION("and loses its lease when no quorum confirms the leader") {
    auto r1 = cluster.StartSyncedRouter("r1");
    int expired = 0;
    int acquired = 0;
    r1->OnChange([&](const ControlChange& change) {
      expired += change.lease_expired ? 1 : 0;
      acquired += change.lease_acquired ? 1 : 0;
    });
    cluster.group.quorum = false;
    CHECK(cluster.RunUntil([&] { return !r1->Synchronized(SteadyNow()); }));
    CHECK(cluster.RunUntil([&] { return expired == 1; }));
    CHECK(acquired == 0);
    cluster.group.quorum = true;
    CHECK(cluster.RunUntil([&] { return r1->Synchronized(SteadyNow()); }));
    CHECK(expired == 1);
    CHECK(acquired == 1);
  }
}

// Guards against a router that may not retry for a window because it joined before the first
// configuration, and against a new leader that takes grants it does not know for none.
TEST_CASE("a router learns what its predecessor has granted", "[control_plane]") {
  Cluster cluster;
  // Starts a router that has granted `granted` itself, and returns it once it has synchronized.
  const auto start = [&](const std::string& id, uint64_t incarnation, const ExtraDebts& granted) {
    auto router = cluster.MakeRouter(id, incarnation);
    ControlClient* const client = router.get();
    client->SetReport([client, granted](Time) {
      return RouterReport{.load = {},
                          .extra_debts = granted,
                          .extra_history = client->InheritedDebts().has_value(),
                          .extra_window = Seconds(10)};
    });
    client->Start();
    REQUIRE(cluster.RunUntil([&] { return client->Synchronized(SteadyNow()); }));
    return router;
  };
  const auto operators = cluster.MakeRouter("operator");
  const ExtraDebts debts = {{"s", 3}};

  SECTION("which is nothing before the first configuration") {
    auto r1 = start("r1", 1, {});
    CHECK(r1->InheritedDebts() == ExtraDebts{});
    SECTION("also in a later term") { cluster.Elect(1); }
    REQUIRE(cluster.Apply(*operators, MakeConfig(1))->error < 0);
    REQUIRE(cluster.RunUntil([&] { return r1->CurrentConfig()->Revision() == 1; }));
    r1.reset();
    CHECK(start("r1", 2, {})->InheritedDebts() == ExtraDebts{});
    CHECK(start("r1", 3, debts)->InheritedDebts() == ExtraDebts{});
    CHECK(start("r1", 4, {})->InheritedDebts() == debts);
  }
  SECTION("which a leader does not know that was elected after the first configuration") {
    REQUIRE(cluster.Apply(*operators, MakeConfig(1))->error < 0);
    CHECK(start("r1", 1, {})->InheritedDebts() == ExtraDebts{});
    cluster.Elect(1);
    CHECK(start("r1", 2, {})->InheritedDebts() == std::nullopt);
    CHECK(start("r2", 1, {})->InheritedDebts() == std::nullopt);
  }
}

TEST_CASE("concurrent polls share quorum rounds", "[control_plane]") {
  Cluster cluster;
  constexpr int kRouters = 40;
  int answers = 0;
  const Controller::Responder responder = {
      [&](const wire::BodyUnion& body) { answers += body.AsSyncReply()->error < 0 ? 1 : 0; },
      [] { return true; }};
  const auto sync_all = [&] {
    cluster.group.rounds = 0;
    answers = 0;
    for (int i = 0; i < kRouters; ++i) {
      wire::SyncRequestT request;
      request.router = ToWire(RouterRecord{.id = "r" + std::to_string(i), .incarnation = 1});
      cluster.nodes[0]->controller->Handle(ToBody(std::move(request)), responder);
    }
    return cluster.RunUntil([&] { return answers == kRouters; });
  };
  REQUIRE(sync_all());  // the routers join
  REQUIRE(sync_all());
  // One round that all requests share, and one that may have begun earlier.
  CHECK(cluster.group.rounds <= 2);
}

TEST_CASE("only idempotent commands are retried", "[control_plane]") {
  Cluster cluster;
  auto r1 = cluster.StartSyncedRouter("r1");
  const auto restore_replies_soon = [&] {
    auto timer = std::make_shared<asio::steady_timer>(cluster.io, Millis(100));
    timer->async_wait(
        [&, timer](boost::system::error_code) { cluster.group.lose_replies = false; });
  };
  cluster.group.lose_replies = true;
  SECTION("a configuration whose reply was lost is applied once") {
    restore_replies_soon();
    const auto reply = cluster.Apply(*r1, MakeConfig(1));
    REQUIRE(reply);
    CHECK(reply->repeated);
    CHECK(reply->revision == 1);
  }
  SECTION("a claim whose reply was lost is granted to the same claim id only") {
    restore_replies_soon();
    const auto reply = cluster.Claim(*r1, "r1", 1);
    REQUIRE(reply);
    CHECK(reply->claim == wire::ClaimState::Granted);
    CHECK(cluster.Claim(*r1, "r1", 2)->claim == wire::ClaimState::Running);
  }
  SECTION("a claim without a definite reply has an unknown outcome") {
    const auto reply = cluster.Claim(*r1, "r1", 1);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == ErrorCode::kUnknownOutcome);
  }
  SECTION("a membership change is not retried") {
    const auto reply = cluster.Run(*r1, ToCommand(wire::ChangeMembersT{}));
    CHECK(Refused(reply, ErrorCode::kUnknownOutcome));
    CHECK(cluster.group.member_changes == 1);
  }
  SECTION("a command is known not to have been sent if no controller listens") {
    for (const auto& node : cluster.nodes) node->server->Close();
    r1->StopSync();
    const auto reply = cluster.Claim(*cluster.MakeRouter("r9"), "r9", 1);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == ErrorCode::kUnavailable);
  }
}

TEST_CASE("registrations reach all routers", "[control_plane]") {
  Cluster cluster;
  auto r1 = cluster.StartSyncedRouter("r1");
  auto r2 = cluster.StartSyncedRouter("r2");
  const auto state_at_r2 = [&] {
    const TargetRecord* record = r2->Directory().Find("s/a");
    return record == nullptr ? TargetState::kGone : record->state;
  };
  r1->Register(MakeTarget(1));
  REQUIRE(cluster.RunUntil([&] { return state_at_r2() == TargetState::kServing; }));

  SECTION("with their draining and removal") {
    r1->Register(MakeTarget(2, TargetState::kDraining));
    CHECK(cluster.RunUntil([&] { return state_at_r2() == TargetState::kDraining; }));
    r1->Register(MakeTarget(2, TargetState::kGone));
    CHECK(cluster.RunUntil([&] { return r2->Directory().Find("s/a") == nullptr; }));
  }
  SECTION("and are kept across a leader change") {
    REQUIRE(cluster.RunUntil([&] { return !r2->Directory().HasUnconfirmedRecords(); }));
    cluster.Elect(1);
    REQUIRE(cluster.RunUntil([&] { return r2->Directory().Epoch() == 2; }));
    CHECK(state_at_r2() == TargetState::kServing);
    REQUIRE(cluster.RunUntil([&] { return !r2->Directory().HasUnconfirmedRecords(); }));
    CHECK(state_at_r2() == TargetState::kServing);
  }
  SECTION("a flapping target does not prevent its router from renewing the lease") {
    uint64_t sequence = 1;
    const Time end = SteadyNow() + kLeaseLength + Millis(500);
    while (SteadyNow() < end) {
      ++sequence;
      r1->Register(
          MakeTarget(sequence, sequence % 2 == 0 ? TargetState::kStarting : TargetState::kServing));
      cluster.io.run_for(std::chrono::milliseconds(1));
    }
    CHECK(r1->Synchronized(SteadyNow()));
    CHECK(r2->Synchronized(SteadyNow()));
  }
}

TEST_CASE("a router leaves", "[control_plane]") {
  Cluster cluster;
  auto r1 = cluster.StartSyncedRouter("r1");
  auto r2 = cluster.StartSyncedRouter("r2");
  REQUIRE(cluster.Claim(*r1, "r1", 1)->claim == wire::ClaimState::Granted);
  wire::LeaveT leave;
  leave.id = "r1";
  leave.incarnation = 1;
  SECTION("a draining router stays in the view") {
    REQUIRE(cluster.Run(*r1, ToCommand(leave))->error < 0);
    CHECK(cluster.RunUntil([&] { return r2->Routers().at("r1").draining; }));
    CHECK(r1->Synchronized(SteadyNow()));
  }
  SECTION("after a clean leave it is removed at once and cannot join again") {
    r1->StopSync();
    leave.clean = true;
    REQUIRE(cluster.Run(*r1, ToCommand(leave))->error < 0);
    CHECK(cluster.RunUntil([&] { return r2->Routers().size() == 1; }));
    r1->Start();
    const auto synchronized = [&] { return r1->Synchronized(SteadyNow()); };
    CHECK_FALSE(cluster.RunUntil(synchronized, kSessionLength));
  }
  SECTION("when its session expires it is removed and its open claims are in doubt") {
    r1->StopSync();
    CHECK(cluster.RunUntil([&] { return r2->Routers().size() == 1; }));
    CHECK(cluster.Claim(*r2, "r2", 1)->claim == wire::ClaimState::InDoubt);
    r1->Start();
    CHECK(cluster.RunUntil([&] { return r1->Synchronized(SteadyNow()); }));
  }
  SECTION("after its session expired it gets no lease while its removal is being committed") {
    r1->StopSync();
    cluster.group.hold = true;
    REQUIRE(cluster.RunUntil([&] { return !cluster.group.held.empty(); }));
    // Guards against granting a lease to a router whose removal may still be committed.
    r1->Start();
    const auto synchronized = [&] { return r1->Synchronized(SteadyNow()); };
    CHECK_FALSE(cluster.RunUntil(synchronized, Seconds(1)));
    cluster.group.hold = false;
    const uint64_t view = r2->ViewIndex();
    for (const auto& commit : cluster.group.held) commit();
    CHECK(cluster.RunUntil(synchronized));
    CHECK(cluster.RunUntil([&] { return r2->ViewIndex() > view; }));
    CHECK(cluster.RunUntil([&] { return r2->Routers().size() == 2; }));
  }
  SECTION("its next incarnation replaces it") {
    auto next = cluster.StartSyncedRouter("r1", 2);
    CHECK(cluster.RunUntil([&] { return !r1->Synchronized(SteadyNow()); }));
    CHECK(cluster.Claim(*r2, "r2", 1)->claim == wire::ClaimState::InDoubt);
  }
}

// Guards against acknowledging a target's departure while a router still sends requests to it.
TEST_CASE("targets that register with controllers", "[control_plane]") {
  Cluster cluster;
  const auto router = cluster.StartSyncedRouter("r1");
  // Calls any controller, as the HTTP handler of heartbeats does.
  const auto heartbeat_sender = cluster.MakeRouter("edge");
  const auto send_heartbeat = [&](const TargetRecord& record, bool remove = false) {
    std::optional<Result<wire::CommandReplyT>> answer;
    heartbeat_sender->Heartbeat(
        record, remove, [&](Result<wire::CommandReplyT> reply) { answer = std::move(reply); });
    REQUIRE(cluster.RunUntil([&] { return answer.has_value(); }));
    return *answer;
  };
  const auto state_at_router = [&] {
    const TargetRecord* record = router->Directory().Find("s/a");
    return record == nullptr ? TargetState::kGone : record->state;
  };
  TargetRecord record = MakeTarget(1);
  record.data_centre = "a";
  record.connections = 1;
  const auto accepted = [](const Result<wire::CommandReplyT>& reply) {
    return reply && reply->error < 0;
  };
  REQUIRE(accepted(send_heartbeat(record)));
  REQUIRE(cluster.RunUntil([&] { return state_at_router() == TargetState::kServing; }));
  SECTION("a renewal does not change the directory of the routers") {
    const uint64_t version = router->Directory().Version();
    for (uint64_t sequence = 2; sequence < 6; ++sequence) {
      record.sequence = sequence;
      REQUIRE(accepted(send_heartbeat(record)));
    }
    cluster.RunUntil([] { return false; }, Millis(600));
    CHECK(router->Directory().Version() == version);
  }
  SECTION("a departure is acknowledged after the routers have received it") {
    const bool removes = GENERATE(false, true);
    record.sequence = 2;
    record.state = TargetState::kDraining;
    REQUIRE(accepted(send_heartbeat(record, removes)));
    CHECK(state_at_router() != TargetState::kServing);
    SECTION("and a delayed heartbeat does not restore the target") {
      record.sequence = removes ? 3 : 1;
      record.state = TargetState::kServing;
      REQUIRE(accepted(send_heartbeat(record)));
      cluster.RunUntil([] { return false; }, Millis(600));
      CHECK(state_at_router() != TargetState::kServing);
    }
    SECTION("but a heartbeat of its next incarnation does") {
      record.incarnation = 2;
      record.sequence = 1;
      record.state = TargetState::kServing;
      REQUIRE(accepted(send_heartbeat(record)));
      CHECK(cluster.RunUntil([&] { return state_at_router() == TargetState::kServing; }));
    }
  }
  SECTION("a departure is not acknowledged while a router has not received it") {
    // Keeps its session without taking the directory, as a router does whose replies are late.
    const auto lagging = [&] {
      wire::SyncRequestT request;
      request.router = ToWire(RouterRecord{.id = "r2", .incarnation = 1});
      request.directory_epoch = 1;
      request.directory_version = 1;
      cluster.nodes[0]->controller->Handle(
          ToBody(std::move(request)),
          Controller::Responder{[](const wire::BodyUnion&) {}, [] { return true; }});
    };
    const bool removes = GENERATE(false, true);
    lagging();
    record.sequence = 2;
    record.state = TargetState::kDraining;
    const Time reported = SteadyNow();
    CHECK(Refused(send_heartbeat(record, removes), ErrorCode::kDeadlineExceeded));
    SECTION("nor when the target reports it again") {
      lagging();
      ++record.sequence;
      CHECK_FALSE(accepted(send_heartbeat(record, removes)));
    }
    SECTION("but once the session of that router has ended") {
      bool acknowledged = false;
      while (!acknowledged && SteadyNow() < reported + kSessionLength + Seconds(5)) {
        ++record.sequence;
        acknowledged = accepted(send_heartbeat(record, removes));
      }
      CHECK(acknowledged);
      CHECK(SteadyNow() >= reported + kSessionLength);
    }
  }
  // The target can then try another controller, which may be on the side of a partition that has a
  // leader.
  SECTION("without a leader a heartbeat fails well before the target's timeout") {
    cluster.group.leader = 99;
    for (const auto& node : cluster.nodes) node->controller->CheckLeadership();
    std::vector<std::string> order;
    heartbeat_sender->Command(
        LeaveCommand("r9", 1, true), SteadyNow() + Millis(900),
        [&](const Result<wire::CommandReplyT>&) { order.emplace_back("command"); });
    std::optional<ErrorCode> refused;
    record.sequence = 2;
    heartbeat_sender->Heartbeat(record, false, [&](const Result<wire::CommandReplyT>& reply) {
      if (!reply) refused = reply.error().code;
      order.emplace_back("heartbeat");
    });
    REQUIRE(cluster.RunUntil([&] { return order.size() == 2; }));
    CHECK(order.front() == "heartbeat");
    CHECK(refused == ErrorCode::kUnavailable);
  }
  SECTION("a departure that the new leader cannot verify is not acknowledged") {
    cluster.Elect(1);
    SECTION("if the removal does not tell which incarnations it can refer to") {
      CHECK_FALSE(accepted(send_heartbeat({.target = record.target}, true)));
    }
    SECTION("otherwise the routers hear of it, and an older heartbeat is ignored") {
      CHECK(accepted(send_heartbeat(record, true)));
      CHECK(cluster.RunUntil([&] { return state_at_router() == TargetState::kGone; }));
      ++record.sequence;
      CHECK(accepted(send_heartbeat(record)));
      const Time end = SteadyNow() + Millis(300);
      cluster.RunUntil([&] { return SteadyNow() >= end; });
      CHECK(state_at_router() == TargetState::kGone);
      ++record.incarnation;
      record.sequence = 1;
      CHECK(accepted(send_heartbeat(record)));
      CHECK(cluster.RunUntil([&] { return state_at_router() == TargetState::kServing; }));
    }
  }
  router->Stop();
  heartbeat_sender->Stop();
}

// Guards against decisions of the controllers that leave no trace for operators in the event log.
TEST_CASE("controllers log what they decide", "[control_plane]") {
  int ends[2];
  REQUIRE(pipe2(ends, O_NONBLOCK) == 0);
  EventLog log(ends[1]);
  Cluster cluster(&log);
  std::string text;
  const auto logged = [&](const std::string& part) {
    return cluster.RunUntil([&] {
      char bytes[4'096];
      const ssize_t got = read(ends[0], bytes, sizeof(bytes));
      if (got > 0) text.append(bytes, static_cast<size_t>(got));
      return text.find(part) != std::string::npos;
    });
  };
  const auto router = cluster.StartSyncedRouter("r1");
  CHECK(logged(R"("event":"leadership","leading":true,"term":1)"));
  CHECK(logged(R"("event":"router_joins","router":"r1","incarnation":1)"));
  SECTION("an invalid and an accepted configuration") {
    cluster.Apply(*router, "{}");
    CHECK(logged(R"("event":"config_refused","error":)"));
    cluster.Apply(*router, MakeConfig(1));
    CHECK(logged(R"("event":"config_decided","revision":1,"accepted":true)"));
  }
  SECTION("a target that registers, has a heartbeat refused and is removed") {
    const auto send_heartbeat = [&](const TargetRecord& record, bool remove) {
      bool answered = false;
      router->Heartbeat(record, remove,
                        [&](const Result<wire::CommandReplyT>&) { answered = true; });
      REQUIRE(cluster.RunUntil([&] { return answered; }));
    };
    TargetRecord record = MakeTarget(1);
    record.data_centre = "a";
    record.connections = 1;
    send_heartbeat(record, false);
    CHECK(logged(R"("event":"target_registered","target":"s/a","service":"s")"));
    record.address = "127.0.0.1:9002";
    send_heartbeat(record, false);
    CHECK(logged(R"("event":"heartbeat_refused","target":"s/a","sequence":1,"error":"conflict)"));
    send_heartbeat(record, true);
    CHECK(logged(R"("event":"target_removed","target":"s/a")"));
  }
  SECTION("a lost leadership") {
    cluster.Elect(1);
    CHECK(logged(R"("event":"leadership","leading":false,"term":2)"));
  }
  router->Stop();
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace peridotgauge
