// Measures the data path of a router: the search core, and sub-requests as peer frames over
// loopback.
#include <memory>
#include <string>

#include "bench/capacity_model.h"
#include "bench/capacity_parts.h"
#include "core/config.h"
#include "core/hedge.h"
#include "core/plan.h"
#include "core/replica_choice.h"
#include "core/search.h"
#include "io/clock.h"
#include "io/peer.h"

namespace peridotgauge {
namespace {

constexpr double kMillion = 1e6;
constexpr size_t kReplyBytes = 200;

// Runs one search to completion. Every target answers immediately.
void RunSearch(const std::shared_ptr<const Plan>& plan, ReplicaChoice& replicas,
               HedgeBudget& hedges, Time now) {
  Search search(plan, {.request_id = "request", .deadline = now + Seconds(1), .trusted = true},
                {.chooser = replicas, .budget = hedges});
  const SearchEffects started = search.Start(now);
  for (const AttemptSend& send : started.sends) {
    const uint64_t number = replicas.OnSend(now, *send.target);
    replicas.OnReply(now, number, {.kind = ReplyKind::kAnswered, .load = 0.4F});
    hedges.OnReply(now, "fleet", {.latency = Millis(5)});
    std::ignore = search.OnReply(now, {.sent_attempt = send.attempt,
                                       .request_id = "request",
                                       .attempt = send.attempt,
                                       .snapshot = 12,
                                       .body = std::string(kReplyBytes, 'x')});
  }
}

void MeasureSearch(uint32_t shards, CapacityReport& report) {
  const uint32_t services = shards + 1;
  const auto config =
      std::make_shared<const Config>(*Config::Parse(SyntheticConfig(1, services, shards - 1)));
  Planner planner;
  planner.SetConfig(config);
  planner.SetTargets(SyntheticTargets(services * kReplicas));
  const auto plan = *planner.PlanFor(SyntheticServiceName(shards - 1));
  auto replicas = std::move(*ReplicaChoice::Make("", {.seed = 1}));
  HedgeBudget hedges;
  hedges.SetConfig(Time{}, *config);
  constexpr int kSearches = 2'000;
  const double start = ThreadCpuSeconds();
  for (int i = 0; i < kSearches; ++i) RunSearch(plan, *replicas, hedges, TimeAt(int64_t{5} * i));
  report.Add("search core: CPU of a search, us", "shards", static_cast<double>(plan->shards.size()),
             (ThreadCpuSeconds() - start) * kMillion / kSearches);
}

wire::BodyUnion SyntheticSubRequest(size_t body_bytes) {
  wire::SubRequestT request;
  request.request_id = "0123456789abcdef0123456789abcdef";
  request.attempt = 1;
  request.target = "service-123/1";
  request.service = "service-123";
  request.snapshot = 12;
  request.budget_us = 60'000;
  request.traceparent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01";
  request.body = std::string(body_bytes, 'q');
  return ToBody(std::move(request));
}

// Keeps kPlannedShards calls in flight until `total` calls have been answered.
class CallLoop {
 public:
  CallLoop(PeerClient& client, size_t body_bytes, uint32_t total, std::function<void()> done)
      : client(client),
        body_bytes(body_bytes),
        unsent(total),
        unanswered(total),
        done(std::move(done)) {
    for (uint32_t i = 0; i < kPlannedShards; ++i) this->SendNext();
  }

 private:
  void SendNext() {
    if (this->unsent == 0) return;
    --this->unsent;
    this->client.Call(SyntheticSubRequest(this->body_bytes), SteadyNow() + Seconds(10),
                      [this](const Result<wire::BodyUnion>&) {
                        if (--this->unanswered == 0) return this->done();
                        this->SendNext();
                      });
  }

  PeerClient& client;
  size_t body_bytes;
  uint32_t unsent;
  uint32_t unanswered;
  std::function<void()> done;
};

// Measures a sub-request between the sending router and the owner of the target. The owner answers
// immediately, without a queue and without a request to a target.
void MeasureRelay(size_t body_bytes, CapacityReport& report) {
  constexpr uint32_t kCalls = 20'000;
  EventThread owner;
  std::unique_ptr<PeerServer> server;
  owner.Run([&] {
    server = std::make_unique<PeerServer>(
        owner.Io(), "127.0.0.1:0", [](const wire::BodyUnion& body, const PeerRequest& request) {
          wire::SubReplyT reply;
          reply.request_id = body.AsSubRequest()->request_id;
          reply.attempt = 1;
          reply.snapshot = 12;
          reply.body = std::string(kReplyBytes, 'x');
          request.Reply(ToBody(std::move(reply)));
        });
  });
  const double owner_start = owner.CpuSeconds();
  const double start = ThreadCpuSeconds();
  boost::asio::io_context io;
  PeerClient client(io, "127.0.0.1:" + std::to_string(server->Port()));
  CallLoop loop(client, body_bytes, kCalls, [&io] { io.stop(); });
  io.run();
  const double cpu = ThreadCpuSeconds() - start;
  const char* const scale = "bytes of the query";
  const auto x = static_cast<double>(body_bytes);
  report.Add("relay: CPU of the sending router per sub-request, us", scale, x,
             cpu * kMillion / kCalls);
  report.Add("relay: CPU of the owner per sub-request (frames only), us", scale, x,
             (owner.CpuSeconds() - owner_start) * kMillion / kCalls);
  owner.Run([&] { server.reset(); });
}

}  // namespace

void MeasureDataPath(CapacityReport& report) {
  for (const uint32_t shards : {17U, 34U, kPlannedShards, 136U}) MeasureSearch(shards, report);
  for (const size_t bytes : {200U, 1'000U, 4'000U}) MeasureRelay(bytes, report);
}

}  // namespace peridotgauge
