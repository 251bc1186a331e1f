// Tests of replica selection. They guard against slow targets that keep their traffic, ejection of
// more than half of a shard's replicas, and targets that never get traffic again.
#include "core/replica_choice.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(1'000'000);

std::vector<TargetRecord> Targets(size_t count) {
  std::vector<TargetRecord> out(count);
  for (size_t i = 0; i < count; ++i) out[i].target = "t" + std::to_string(i);
  return out;
}

std::vector<const TargetRecord*> Pointers(const std::vector<TargetRecord>& targets) {
  std::vector<const TargetRecord*> out;
  out.reserve(targets.size());
  for (const TargetRecord& target : targets) out.push_back(&target);
  return out;
}

std::unique_ptr<ReplicaChoice> Make(std::string_view name) {
  return std::move(*ReplicaChoice::Make(name, {.seed = 1}));
}

// Sends one request every 2 ms to three targets and counts the requests for each.
class Traffic {
 public:
  explicit Traffic(std::string_view strategy) : choice(Make(strategy)) {}

  std::map<std::string, int> Run(Duration length) {
    std::map<std::string, int> sent;
    for (const Time end = this->now + length; this->now < end; this->now += Millis(2)) {
      while (!this->replies.empty() && this->replies.begin()->first <= this->now) {
        const auto [time, reply] = *this->replies.begin();
        this->replies.erase(this->replies.begin());
        this->choice->OnReply(time, reply.first, {.kind = reply.second, .load = this->load});
      }
      const TargetRecord* target = this->choice->Choose(this->now, this->pointers, {});
      ++sent[target->target];
      const uint64_t send = this->choice->OnSend(this->now, *target);
      const Duration latency = this->latencies[target->target];
      const bool cancelled = latency > this->cancel_after;
      this->replies.emplace(
          this->now + (cancelled ? this->cancel_after : latency),
          std::pair(send, cancelled ? ReplyKind::kCancelled : ReplyKind::kAnswered));
    }
    return sent;
  }

  std::map<std::string, Duration> latencies = {
      {"t0", Millis(50)}, {"t1", Millis(5)}, {"t2", Millis(5)}};
  Duration cancel_after = Seconds(100);
  float load = 0;

 private:
  std::unique_ptr<ReplicaChoice> choice;
  std::vector<TargetRecord> targets = Targets(3);
  std::vector<const TargetRecord*> pointers = Pointers(this->targets);
  std::multimap<Time, std::pair<uint64_t, ReplyKind>> replies;
  Time now = kStart;
};

TEST_CASE("strategies", "[replica_choice]") {
  CHECK(ReplicaChoice::Make("", {}));
  const auto unknown = ReplicaChoice::Make("best", {});
  REQUIRE_FALSE(unknown);
  CHECK(unknown.error().detail ==
        "replica_choice: \"best\"; allowed are random, two_choices, probing, least");
}

TEST_CASE("a target that is ten times slower gets little more than probes", "[replica_choice]") {
  SECTION("but not from the random baseline") {
    Traffic traffic("random");
    CHECK(traffic.Run(Seconds(40))["t0"] > 6'000);
  }
  SECTION("because of its latency") {
    Traffic traffic("probing");
    traffic.Run(Seconds(20));
    CHECK(traffic.Run(Seconds(40))["t0"] < 100);
  }
  SECTION("even if it reports no load") {
    Traffic traffic("probing");
    traffic.load = 0;
    CHECK(traffic.Run(Seconds(40))["t0"] < 400);
  }
  SECTION("even if its attempts are cancelled before they finish") {
    Traffic traffic("probing");
    traffic.cancel_after = Millis(8);
    traffic.Run(Seconds(20));
    CHECK(traffic.Run(Seconds(40))["t0"] < 1'000);
  }
  SECTION("until it is fast again") {
    Traffic traffic("probing");
    traffic.Run(Seconds(20));
    traffic.latencies["t0"] = Millis(5);
    traffic.Run(Seconds(40));
    CHECK(traffic.Run(Seconds(20))["t0"] > 2'000);
  }
}

// Covers a shard of which two of three replicas are ten times slower for some seconds.
TEST_CASE("two of three replicas are slow", "[replica_choice]") {
  const auto slow_share = [](std::string_view strategy) {
    Traffic traffic(strategy);
    traffic.latencies = {{"t0", Millis(50)}, {"t1", Millis(50)}, {"t2", Millis(5)}};
    traffic.Run(Seconds(5));
    std::map<std::string, int> sent = traffic.Run(Seconds(20));
    return static_cast<double>(sent["t0"] + sent["t1"]) /
           static_cast<double>(sent["t0"] + sent["t1"] + sent["t2"]);
  };
  // A random pair does not contain the fast replica in a third of the cases.
  CHECK(slow_share("probing") > 0.3);
  CHECK(slow_share("least") < 0.1);
}

// Guards against preferring a replica that looks fast because it refuses 60% of its requests at
// once.
TEST_CASE("a replica that refuses many requests is avoided", "[replica_choice]") {
  const std::vector<TargetRecord> targets = Targets(3);
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  const std::unique_ptr<ReplicaChoice> choice = Make("least");
  std::map<std::string, int> sent;
  Time now = kStart;
  for (int i = 0; i < 3'000; ++i) {
    now += Millis(30);  // longer than kRefusedBackoff
    const TargetRecord* target = choice->Choose(now, pointers, {});
    ++sent[target->target];
    const bool refused = target->target == "t0" && i % 5 < 3;
    choice->OnReply(now + Millis(refused ? 1 : 5), choice->OnSend(now, *target),
                    {.kind = refused ? ReplyKind::kRefused : ReplyKind::kAnswered});
  }
  CHECK(sent["t0"] < 600);
}

// Covers targets that after a power loss still count their previous connections and reset new ones.
TEST_CASE("a replica that could not be reached is avoided for a while", "[replica_choice]") {
  const std::vector<TargetRecord> targets = Targets(3);
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  const std::unique_ptr<ReplicaChoice> choice = Make("least");
  const auto unreached = [&](size_t i) {
    choice->OnReply(kStart, choice->OnSend(kStart, targets[i]), {.kind = ReplyKind::kUnreachable});
  };
  const Time soon = kStart + kUnreachableBackoff - Millis(1);
  unreached(0);
  for (int i = 0; i < 100; ++i) CHECK(choice->Choose(soon, pointers, {})->target != "t0");
  SECTION("unless no other replica is left") {
    unreached(1);
    unreached(2);
    CHECK(choice->Choose(soon, pointers, {}) != nullptr);
  }
}

TEST_CASE("a replica in the local data centre is preferred until it is busy", "[replica_choice]") {
  std::vector<TargetRecord> targets = Targets(2);
  targets[0].data_centre = "a";
  targets[1].data_centre = "b";
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  const auto choice = *ReplicaChoice::Make("least", {.seed = 1, .data_centre = "b"});
  // Targets whose score is worse only because of their distance must not be probed.
  for (int i = 0; i < 300; ++i) CHECK(choice->Choose(kStart, pointers, {})->target == "t1");
  choice->OnSend(kStart, targets[1]);
  CHECK(choice->Choose(kStart, pointers, {})->target == "t1");
  choice->OnSend(kStart, targets[1]);
  CHECK(choice->Choose(kStart, pointers, {})->target == "t0");
}

// Covers 63 routers and targets that accept 64 connections; see replica_choice.h.
TEST_CASE("with scarce connections each router avoids one replica", "[replica_choice]") {
  std::vector<TargetRecord> targets = Targets(3);
  targets[0].data_centre = "a";
  targets[1].data_centre = "b";
  targets[2].data_centre = "c";
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  std::map<std::string, int> avoided_by;
  for (int router = 0; router < 60; ++router) {
    const auto choice = *ReplicaChoice::Make(
        "least", {.seed = 1, .data_centre = "a", .router = "r" + std::to_string(router)});
    choice->AvoidOneReplica(true);
    std::map<std::string, int> sent;
    Time now = kStart;
    for (int i = 0; i < 60; ++i) {
      now += Millis(100);
      // Three concurrent requests, so that the nearest replica alone is not enough.
      std::vector<uint64_t> sends;
      for (int request = 0; request < 3; ++request) {
        const TargetRecord* target = choice->Choose(now, pointers, {});
        sends.push_back(choice->OnSend(now, *target));
        ++sent[target->target];
      }
      for (const uint64_t send : sends) choice->OnReply(now + Millis(5), send, {});
    }
    CHECK(sent.size() == 2);
    for (const TargetRecord& target : targets) {
      if (!sent.contains(target.target)) ++avoided_by[target.target];
    }
  }
  CHECK(avoided_by["t0"] == 0);  // the replica in the local data centre
  CHECK(avoided_by["t1"] > 15);
  CHECK(avoided_by["t2"] > 15);
}

// Covers two routes that share targets, one with requests that take three times as long.
TEST_CASE("latencies of different kinds of requests are comparable", "[replica_choice]") {
  const std::vector<TargetRecord> targets = Targets(2);
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  const std::unique_ptr<ReplicaChoice> choice = Make("least");
  const auto send_request = [&](size_t i, Time now, Duration typical, Duration took) {
    choice->OnReply(now + took, choice->OnSend(now, targets[i], typical), {});
  };
  Time now = kStart;
  for (int i = 0; i < 20; ++i, now += Millis(500)) {
    send_request(0, now, Millis(9), Millis(18));   // twice as slow as usual
    send_request(1, now, Millis(28), Millis(28));  // as usual
  }
  CHECK(choice->Latency(now, "t0") > 1.9 * choice->Latency(now, "t1"));
  CHECK(choice->Choose(now, pointers, {})->target == "t1");
  SECTION("also for a request that is still running") {
    choice->OnSend(now, targets[1], Millis(28));
    CHECK(choice->Latency(now + Millis(28), "t1") < choice->Latency(now, "t0"));
  }
}

// Covers 78 routers that share the queries, so that each router sends two per second to 36 shards,
// with one slow replica in each shard.
TEST_CASE("a query does not probe many slow targets at once", "[replica_choice]") {
  constexpr size_t kShards = 36;
  constexpr size_t kReplicas = 3;
  const std::vector<TargetRecord> targets = Targets(kShards * kReplicas);
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  const std::unique_ptr<ReplicaChoice> choice = Make("least");
  const auto slow = [&](const TargetRecord* target) {
    return static_cast<size_t>(target - targets.data()) % kReplicas == 0;
  };
  int probes = 0;
  for (int query = 0; query < 60; ++query) {
    const Time now = kStart + query * Millis(500);
    int slow_parts = 0;
    for (size_t shard = 0; shard < kShards; ++shard) {
      const Candidates replicas = Candidates(pointers).subspan(shard * kReplicas, kReplicas);
      const TargetRecord* target = choice->Choose(now, replicas, {});
      if (slow(target)) ++slow_parts;
      const Duration took = slow(target) ? Millis(250) : Millis(25);
      choice->OnReply(now + took, choice->OnSend(now, *target, Millis(25)), {});
    }
    if (query < 10) continue;  // each replica must first be measured once
    CHECK(slow_parts <= 1);
    probes += slow_parts;
  }
  CHECK(probes > 5);
}

// Covers fleets in which 61 out of 100 targets lose a quarter of their answers, and a router sends
// each target one or two requests per second.
TEST_CASE("a failure affects the score for seconds if samples are rare", "[replica_choice]") {
  const std::vector<TargetRecord> targets = Targets(2);
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  const std::unique_ptr<ReplicaChoice> choice = Make("least");
  Time now = kStart;
  for (int i = 0; i < 20; ++i, now += Millis(1300)) {
    for (const TargetRecord& target : targets) {
      choice->OnReply(now + Millis(target.target == "t0" ? 10 : 15), choice->OnSend(now, target),
                      {});
    }
  }
  CHECK(choice->Choose(now, pointers, {})->target == "t0");
  choice->OnReply(now, choice->OnSend(now, targets[0]), {.kind = ReplyKind::kFailed});
  CHECK(choice->Choose(now + Seconds(2), pointers, {})->target == "t1");
  CHECK(choice->Choose(now + Seconds(10), pointers, {})->target == "t0");
}

// Covers a target that leaves the directory because of late heartbeats and returns while a request
// is running.
TEST_CASE("a reply to a request from before a target's removal is ignored", "[replica_choice]") {
  const std::vector<TargetRecord> targets = Targets(2);
  const std::unique_ptr<ReplicaChoice> choice = Make("least");
  const uint64_t before = choice->OnSend(kStart, targets[0]);
  choice->Remove("t0");
  const uint64_t after = choice->OnSend(kStart, targets[0]);
  choice->OnReply(kStart + Millis(5), before, {.kind = ReplyKind::kFailed});
  CHECK(choice->InFlight("t0") == 1);
  choice->OnReply(kStart + Millis(5), after, {});
  CHECK(choice->InFlight("t0") == 0);
}

TEST_CASE("failures eject a target and a success restores it", "[replica_choice]") {
  const std::vector<TargetRecord> targets = Targets(3);
  const std::vector<const TargetRecord*> pointers = Pointers(targets);
  const std::unique_ptr<ReplicaChoice> choice = Make("probing");
  const auto fail = [&](size_t i, Time now) {
    choice->OnReply(now, choice->OnSend(now, targets[i]), {.kind = ReplyKind::kFailed});
  };
  for (uint32_t i = 0; i < kFailuresToEject; ++i) fail(0, kStart);
  CHECK(choice->Ejected(kStart, "t0"));
  for (int i = 0; i < 100; ++i) CHECK(choice->Choose(kStart, pointers, {})->target != "t0");
  SECTION("it is used if the other replicas were already tried") {
    const std::vector<const TargetRecord*> tried = {pointers[1], pointers[2]};
    CHECK(choice->Choose(kStart, pointers, tried) == pointers[0]);
    CHECK(choice->Choose(kStart, pointers, pointers) == nullptr);
  }
  const Time later = kStart + kMinEjection;
  SECTION("afterwards it gets one request at a time, and the next ejection is longer") {
    CHECK_FALSE(choice->Ejected(later, "t0"));
    const uint64_t send = choice->OnSend(later, targets[0]);
    CHECK(choice->Ejected(later, "t0"));
    choice->OnReply(later, send, {.kind = ReplyKind::kTimedOut});
    CHECK(choice->Ejected(later + 2 * kMinEjection - Duration(1), "t0"));
  }
  SECTION("a success ends the ejection") {
    choice->OnReply(later, choice->OnSend(later, targets[0]), {});
    fail(0, later);
    CHECK_FALSE(choice->Ejected(later, "t0"));
  }
  SECTION("a new incarnation starts without a history") {
    std::vector<TargetRecord> restarted = targets;
    restarted[0].incarnation = 1;
    choice->Choose(kStart, Pointers(restarted), {});
    CHECK_FALSE(choice->Ejected(kStart, "t0"));
  }
}

TEST_CASE("random failures", "[replica_choice]") {
  CHECK(rc::check("half of the replicas remain in use, and excluded ones are never chosen", [] {
    const std::vector<TargetRecord> targets = Targets(*rc::gen::inRange<size_t>(1, 8));
    const std::vector<const TargetRecord*> pointers = Pointers(targets);
    const std::unique_ptr<ReplicaChoice> choice = Make("random");
    std::map<std::string, uint32_t> in_flight;
    std::vector<std::pair<uint64_t, std::string>> open;
    Time now = kStart;
    for (int i = *rc::gen::inRange(0, 100); i > 0; --i) {
      now += Millis(*rc::gen::inRange(0, 200));
      const TargetRecord& target = targets[*rc::gen::inRange<size_t>(0, targets.size())];
      open.emplace_back(choice->OnSend(now, target), target.target);
      ++in_flight[target.target];
      if (*rc::gen::inRange(0, 4) == 0) continue;
      const auto [send, name] = open.back();
      open.pop_back();
      --in_flight[name];
      const bool failed = *rc::gen::inRange(0, 8) != 0;
      choice->OnReply(now, send, {.kind = failed ? ReplyKind::kFailed : ReplyKind::kAnswered});
    }
    for (const auto& [name, count] : in_flight) {
      RC_ASSERT(choice->InFlight(name) == count);
    }
    std::set<std::string> used;
    for (int i = 0; i < 300; ++i) used.insert(choice->Choose(now, pointers, {})->target);
    RC_ASSERT(used.size() >= targets.size() - targets.size() / 2);
    std::vector<const TargetRecord*> excluded;
    while (excluded.size() < pointers.size()) {
      const TargetRecord* target = choice->Choose(now, pointers, excluded);
      RC_ASSERT(target != nullptr);
      RC_ASSERT(std::find(excluded.begin(), excluded.end(), target) == excluded.end());
      excluded.push_back(target);
    }
    RC_ASSERT(choice->Choose(now, pointers, excluded) == nullptr);
  }));
}

}  // namespace
}  // namespace peridotgauge
