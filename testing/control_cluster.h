// A group of three controllers on real connections, with an in-memory replicated log that commits
// at once. For tests of controllers and control clients.
#ifndef PERIDOTGAUGE_TESTING_CONTROL_CLUSTER_H_
#define PERIDOTGAUGE_TESTING_CONTROL_CLUSTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/clock.h"
#include "io/control_client.h"
#include "io/controller.h"
#include "io/peer.h"
#include "io/replicated_log.h"
#include "state/control_state.h"
#include "testing/loopback_network.h"

namespace peridotgauge {

namespace asio = boost::asio;
namespace json = boost::json;

// The state shared by the logs of all controllers.
struct Group {
  size_t leader = 0;
  uint64_t term = 1;
  uint64_t index = 0;
  bool quorum = true;
  bool lose_replies = false;  // commands are committed, but reported as kUnknownOutcome
  bool hold = false;          // commands are queued in `held` instead of being committed
  std::vector<std::function<void()>> held;
  int rounds = 0;
  int member_changes = 0;
  std::vector<ControlState*> states;
};

class FakeLog final : public ReplicatedLog {
 public:
  FakeLog(asio::io_context& io, Group& group, size_t self) : io(io), group(group), self(self) {}

  void Propose(std::string command, Time, std::function<void(Result<Applied>)> callback) override {
    auto commit = [this, command = std::move(command), callback = std::move(callback)] {
      asio::post(this->io, [callback, result = this->Commit(command)] { callback(result); });
    };
    if (this->group.hold) return this->group.held.push_back(std::move(commit));
    commit();
  }
  void ConfirmRead(Time, std::function<void(Result<uint64_t>)> callback) override {
    ++this->group.rounds;
    auto timer = std::make_shared<asio::steady_timer>(this->io, Millis(5));
    timer->async_wait([this, timer, callback = std::move(callback)](boost::system::error_code) {
      if (!this->Leading()) return callback(Fail(ErrorCode::kNotLeader));
      if (!this->group.quorum) return callback(Fail(ErrorCode::kUnavailable));
      callback(this->group.index);
    });
  }
  void ChangeMember(const ControllerAddress&, uint64_t, bool, Time,
                    std::function<void(Result<Applied>)> callback) override {
    ++this->group.member_changes;
    asio::post(this->io,
               [callback = std::move(callback)] { callback(Fail(ErrorCode::kUnknownOutcome)); });
  }
  bool Leading() const override { return this->group.leader == this->self; }
  uint64_t Term() const override { return this->group.term; }
  std::string Leader() const override { return "c" + std::to_string(this->group.leader); }
  ReplicaStatus Status() const override { return {.id = "c" + std::to_string(this->self)}; }

 private:
  Result<Applied> Commit(const std::string& command) {
    if (!this->Leading()) return Fail(ErrorCode::kNotLeader);
    if (!this->group.quorum) return Fail(ErrorCode::kUnknownOutcome);
    const uint64_t index = ++this->group.index;
    std::string answer;
    for (size_t i = 0; i < this->group.states.size(); ++i) {
      const std::string own = this->group.states[i]->Apply(index, command);
      if (i == this->self) answer = own;
    }
    if (this->group.lose_replies) return Fail(ErrorCode::kUnknownOutcome);
    return Applied{index, answer};
  }

  asio::io_context& io;
  Group& group;
  size_t self;
};

struct Node {
  ControlState state;
  std::unique_ptr<FakeLog> log;
  std::unique_ptr<Controller> controller;
  std::unique_ptr<PeerServer> server;
};

inline std::string MakeConfig(int revision, int deadline_ms = 200) {
  return R"({"revision": )" + std::to_string(revision) +
         R"(, "fleets": {"f": {}}, "services": {"s": {"fleet": "f", "deadline_ms": )" +
         std::to_string(deadline_ms) + "}}}";
}

// Three controllers and any number of routers.
struct Cluster {
  asio::io_context io;
  Group group;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<ControllerAddress> controllers;
  // Keeps a request away from its controller if it returns true. May be empty.
  std::function<bool(const wire::BodyUnion&, const PeerRequest&)> intercept;

  explicit Cluster(EventLog* events = nullptr, const ConfigParser& parse_config = &Config::Parse) {
    // No other test listens on the address of a controller that a test has closed.
    static const std::string kNetwork = ClaimLoopbackNetwork();
    for (size_t i = 0; i < 3; ++i) {
      auto node = std::make_unique<Node>();
      node->log = std::make_unique<FakeLog>(this->io, this->group, i);
      this->group.states.push_back(&node->state);
      node->server = std::make_unique<PeerServer>(
          this->io, kNetwork + "1:0",
          [this, raw = node.get()](wire::BodyUnion body, const PeerRequest& request) {
            if (this->intercept && this->intercept(body, request)) return;
            raw->controller->Handle(std::move(body), request);
          });
      this->controllers.push_back(
          {"c" + std::to_string(i), kNetwork + "1:" + std::to_string(node->server->Port())});
      this->nodes.push_back(std::move(node));
    }
    for (size_t i = 0; i < 3; ++i) {
      Node& node = *this->nodes[i];
      node.controller =
          std::make_unique<Controller>(this->io,
                                       ControllerOptions{.id = this->controllers[i].id,
                                                         .controllers = this->controllers,
                                                         .parse_config = parse_config,
                                                         .events = events},
                                       *node.log, node.state);
    }
  }

  std::unique_ptr<ControlClient> MakeRouter(const std::string& id, uint64_t incarnation = 1,
                                            bool compact = false) {
    return std::make_unique<ControlClient>(
        this->io, ControlClientOptions{.self = {.id = id, .incarnation = incarnation},
                                       .controllers = this->controllers,
                                       .compact = compact});
  }
  std::unique_ptr<ControlClient> StartSyncedRouter(const std::string& id, uint64_t incarnation = 1,
                                                   bool compact = false) {
    auto client = this->MakeRouter(id, incarnation, compact);
    client->Start();
    REQUIRE(this->RunUntil([&] { return client->Synchronized(SteadyNow()); }));
    return client;
  }
  void Elect(size_t leader) {
    this->group.leader = leader;
    ++this->group.term;
    for (const auto& node : this->nodes) node->controller->CheckLeadership();
  }
  // Runs the event loop until the condition holds. Returns false after `time_limit`.
  template <typename Condition>
  bool RunUntil(Condition condition, Duration time_limit = Seconds(15)) {
    const Time limit = SteadyNow() + time_limit;
    while (!condition() && SteadyNow() < limit) this->io.run_one_for(std::chrono::milliseconds(20));
    return condition();
  }
  Result<wire::CommandReplyT> Run(ControlClient& client, wire::CommandBodyUnion body) {
    std::optional<Result<wire::CommandReplyT>> answer;
    client.Command(std::move(body), SteadyNow() + Seconds(3),
                   [&](Result<wire::CommandReplyT> reply) { answer = std::move(reply); });
    REQUIRE(this->RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }
  Result<wire::CommandReplyT> Apply(ControlClient& client, const std::string& text) {
    wire::ApplyConfigT command;
    command.text = text;
    return this->Run(client, ToCommand(std::move(command)));
  }
  Result<wire::CommandReplyT> Claim(ControlClient& client, const std::string& router,
                                    uint64_t claim_id) {
    wire::ClaimT command;
    command.request_id = "order-1";
    command.issued_at_ms = UnixMillis();
    command.router = router;
    command.router_incarnation = 1;
    command.claim_id = claim_id;
    return this->Run(client, ToCommand(std::move(command)));
  }
  json::object Read(ControlClient& client, wire::ReadKind kind, uint64_t revision = 0) {
    std::optional<Result<std::string>> answer;
    client.Read(kind, revision, SteadyNow() + Seconds(3),
                [&](Result<std::string> reply) { answer = std::move(reply); });
    REQUIRE(this->RunUntil([&] { return answer.has_value(); }));
    REQUIRE(*answer);
    return json::parse(**answer).as_object();
  }
  bool InForce(ControlClient& client, uint64_t revision) {
    return this->Read(client, wire::ReadKind::InForce, revision)["in_force"].as_bool();
  }
};

inline TargetRecord MakeTarget(uint64_t sequence, TargetState state = TargetState::kServing) {
  return {.target = "s/a",
          .address = "127.0.0.1:9001",
          .service = "s",
          .incarnation = 1,
          .sequence = sequence,
          .state = state,
          .slots = 5};
}

inline bool Refused(const Result<wire::CommandReplyT>& reply, ErrorCode code) {
  return reply && reply->error == static_cast<int8_t>(code);
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_CONTROL_CLUSTER_H_
