// Tests requests that wait for a permit of their workspace while the configuration changes. They
// guard against requests that are handled according to the revision in force at their arrival: that
// run at a service which the route no longer names, without a route, or with a revoked key.
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/gateway.h"
#include "io/quota_gate.h"
#include "testing/control_cluster.h"
#include "testing/route_deployment.h"

namespace peridotgauge {
namespace {

constexpr Duration kTimeout = Seconds(4);
constexpr char kRequestId[] = "waits";

std::string Revision(uint64_t number, const std::string& route, const std::string& key) {
  std::string text = ConfigText(number, {route}, {"old", "new"});
  return text.insert(text.rfind('}'), R"(,"tenants":[{"name":"w","apiKeys":[")" + key +
                                          R"("],"ratePerS":1000,"burst":1000}])");
}

Settings RouterSettings() {
  const Result<Settings> settings = Settings::Parse(
      R"({"id":"127.0.0.1","data_centre":"z-a","interface":"routes","roles":["router"],)"
      R"("http_address":"127.0.0.1:7001","health_address":"127.0.0.1:7002",)"
      R"("peer_address":"127.0.0.1:7003","seeds":["127.0.0.2"]})",
      "router.json");
  if (!settings) FAIL(settings.error().ToString());
  return *settings;
}

// Answers every request with 200, with the headers that routers expect.
struct Target {
  explicit Target(asio::io_context& io)
      : server(*HttpServer::Listen(
            io, "127.0.0.1:0", [this](const HttpRequest& request, const HttpResponder& responder) {
              const std::string id(request.Header("Peridotgauge-Request-Id"));
              this->arrivals.push_back(id);
              responder.Send({.status = 200,
                              .headers = {{"Peridotgauge-Request-Id", id},
                                          {"Peridotgauge-Server-Stamp", "stamp-" + id}},
                              .body = "done"});
            })) {}

  Address Listening() const { return "127.0.0.1:" + std::to_string(this->server->Port()); }

  std::vector<std::string> arrivals;  // ids of requests
  std::unique_ptr<HttpServer> server;
};

// A router, a group of controllers that take requests for permits only with ReleasePermits(), and
// targets of two services.
class WaitingFleet {
 public:
  WaitingFleet() {
    this->cluster.intercept = [this](const wire::BodyUnion& body, const PeerRequest& request) {
      if (body.AsQuotaRequest() == nullptr || !this->holding) return false;
      this->held.emplace_back(body, request);
      return true;
    };
    this->control.emplace(this->cluster.io,
                          ControlClientOptions{.self = this->self,
                                               .controllers = this->cluster.controllers,
                                               .parse_config = this->platform.GetConfigParser()});
    this->gateway.emplace(this->cluster.io, this->settings, this->self, *this->control,
                          this->platform.Codec(), this->metrics, this->log,
                          std::make_shared<ByteBudget>(64 << 20));
    this->callers =
        *HttpServer::Listen(this->cluster.io, "127.0.0.1:0",
                            [this](const HttpRequest& request, const HttpResponder& responder) {
                              this->gateway->Handle(request, responder);
                            });
    this->gateway->Start();
    this->PutInForce(Revision(1, RouteText("r", "/p/", "unsafe", 4'000, "old"), "key"));
    this->Register("i-old", "old", this->old_target);
    this->Register("i-new", "new", this->new_target);
    REQUIRE(this->cluster.RunUntil([&] {
      return this->control->Directory().Find("i-old") != nullptr &&
             this->control->Directory().Find("i-new") != nullptr;
    }));
    // The leader's bucket of the workspace is empty at first.
    uint64_t sequence = 0;
    REQUIRE(this->cluster.RunUntil([&] { return this->LeaderGrants(++sequence); }));
    this->holding = true;
  }
  ~WaitingFleet() {
    if (this->answer.valid()) this->cluster.RunUntil([this] { return this->Answered(); });
  }

  // Sends a request and waits until the router has asked for a permit for it.
  void SendRequest() {
    HttpRequest request = CallerRequest(kRequestId, "POST", "/p/1", kTimeout);
    request.headers.push_back({"Peridotgauge-Key", "key"});
    const Address router = "127.0.0.1:" + std::to_string(this->callers->Port());
    this->answer =
        std::async(std::launch::async, [=] { return Call(router, request, 2 * kTimeout); });
    REQUIRE(this->cluster.RunUntil([&] { return !this->held.empty(); }));
  }
  // Applies a configuration and waits until it is in force at the router.
  void PutInForce(const std::string& text) {
    const auto applied = this->cluster.Apply(*this->operators, text);
    REQUIRE(applied);
    REQUIRE(applied->error < 0);
    REQUIRE(this->cluster.RunUntil(
        [&] { return this->control->CurrentConfig()->Revision() == applied->revision; }));
  }
  // Answers the requests for permits, and returns the status of the caller's answer.
  int ReleasePermits() {
    this->holding = false;
    for (auto& [body, request] : std::exchange(this->held, {})) {
      this->cluster.nodes[this->cluster.group.leader]->controller->Handle(std::move(body), request);
    }
    REQUIRE(this->cluster.RunUntil([this] { return this->Answered(); }));
    const auto response = this->answer.get();
    REQUIRE(response);
    return response->status;
  }

  const std::vector<std::string>& OldArrivals() const { return this->old_target.arrivals; }
  const std::vector<std::string>& NewArrivals() const { return this->new_target.arrivals; }

 private:
  bool Answered() {
    return this->answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
  }
  // Returns true if the leader grants a permit to another router.
  bool LeaderGrants(uint64_t sequence) {
    std::optional<Result<QuotaGrants>> grants;
    this->operators->AskForPermits({.sequence = sequence, .demands = {{"w", 1, 0}}},
                                   SteadyNow() + kAskTimeout,
                                   [&](Result<QuotaGrants> reply) { grants = std::move(reply); });
    REQUIRE(this->cluster.RunUntil([&] { return grants.has_value(); }));
    return *grants && !(*grants)->permits.empty();
  }
  void Register(const std::string& id, const std::string& service, const Target& target) {
    std::optional<Result<wire::CommandReplyT>> reply;
    this->operators->Heartbeat(
        {.target = id,
         .address = target.Listening(),
         .service = service,
         .data_centre = "z-a",
         .incarnation = 1,
         .sequence = 1,
         .state = TargetState::kServing,
         .slots = 4,
         .connections = 40},
        /*remove=*/false, [&](Result<wire::CommandReplyT> result) { reply = std::move(result); });
    REQUIRE(this->cluster.RunUntil([&] { return reply.has_value(); }));
    REQUIRE(*reply);
    INFO((*reply)->detail);
    REQUIRE((*reply)->error < 0);
  }

  platform::Platform platform;
  const Settings settings = RouterSettings();
  const RouterRecord self{.id = "r1", .incarnation = 1, .data_centre = "z-a"};
  Metrics metrics;
  EventLog log{-1};
  Cluster cluster{nullptr, this->platform.GetConfigParser()};
  Target old_target{this->cluster.io};
  Target new_target{this->cluster.io};
  bool holding = false;
  std::vector<std::pair<wire::BodyUnion, PeerRequest>> held;
  std::unique_ptr<ControlClient> operators = this->cluster.MakeRouter("operator");
  std::optional<ControlClient> control;
  std::optional<Gateway> gateway;
  std::unique_ptr<HttpServer> callers;
  std::future<std::optional<HttpResponse>> answer;
};

TEST_CASE("a request that waits for a permit is handled as the newest revision says",
          "[quota][quota_wait]") {
  const std::string old_route = RouteText("r", "/p/", "unsafe", 4'000, "old");
  std::string revision;
  int expected_status = 0;
  std::vector<std::string> expected_old;
  std::vector<std::string> expected_new;
  SECTION("that does not concern it") {
    revision = Revision(2, old_route, "key");
    expected_status = 200;
    expected_old = {kRequestId};
  }
  SECTION("that names another service for its route") {
    revision = Revision(2, RouteText("r", "/p/", "unsafe", 4'000, "new"), "key");
    expected_status = 200;
    expected_new = {kRequestId};
  }
  SECTION("that has another route for its path") {
    revision = Revision(2, RouteText("other", "/", "unsafe", 4'000, "new"), "key");
    expected_status = 200;
    expected_new = {kRequestId};
  }
  SECTION("that has no route for it") {
    revision = Revision(2, RouteText("r", "/q/", "unsafe", 4'000, "old"), "key");
    expected_status = 404;
  }
  SECTION("that revokes its key") {
    revision = Revision(2, old_route, "another");
    expected_status = 401;
  }
  // A request that has waited for as long as it may is refused. It says nothing of the revision, so
  // that another one is sent, to a router that knows nothing yet of the quota.
  constexpr int kMaxAttempts = 20;
  for (int attempt = 1;; ++attempt) {
    WaitingFleet fleet;
    fleet.SendRequest();
    fleet.PutInForce(revision);
    const int status = fleet.ReleasePermits();
    CAPTURE(attempt);
    REQUIRE((status != 429 || attempt < kMaxAttempts));
    if (status == 429) {
      CHECK(fleet.OldArrivals().empty());
      CHECK(fleet.NewArrivals().empty());
      continue;
    }
    CHECK(status == expected_status);
    CHECK(fleet.OldArrivals() == expected_old);
    CHECK(fleet.NewArrivals() == expected_new);
    return;
  }
}

}  // namespace
}  // namespace peridotgauge
