// Tests of the search state machine. They guard against merging a reply under the wrong shard,
// snapshot, request or attempt, coverage that differs from the merged replies, a search that never
// answers, losing targets to a request that crashes them, and extra load beyond the budget.
#include "core/search.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "search_fakes.h"

namespace peridotgauge {
namespace {

constexpr Time kStart = TimeAt(1'000);
constexpr Time kDeadline = TimeAt(1'200);
constexpr Time kSoftDeadline = TimeAt(1'080);
constexpr uint64_t kSnapshot = 12;

std::shared_ptr<const Config> TestConfig(const std::string& prefer) {
  Result<Config> config = Config::Parse(R"({"revision": 1, "fleets": {"desk": {}, "archive": {}},
    "services": {"a": {"fleet": "desk", "depends_on": ["x"], "deadline_ms": 200,
      "soft_deadline_ms": 80, "prefer": ")" +
                                        prefer + R"("}, "x": {"fleet": "archive"}}})");
  REQUIRE(config);
  return std::make_shared<const Config>(std::move(*config));
}

// Returns a planner whose services a and x have `shards` shards with `replicas` replicas each. Each
// target holds one shard.
Planner MakePlanner(uint32_t shards, uint32_t replicas, const std::string& prefer = "coverage",
                    uint64_t snapshot = kSnapshot) {
  Planner planner;
  planner.SetConfig(TestConfig(prefer));
  for (const std::string service : {"a", "x"}) {
    for (uint32_t i = 0; i < shards * replicas; ++i) {
      planner.Upsert(MakeTarget(service + "/" + std::to_string(snapshot) + "/" + std::to_string(i),
                                service, {{snapshot, i % shards, shards}}));
    }
  }
  return planner;
}

std::string BodyOf(uint32_t shard, uint32_t attempt) {
  return "\"body of shard " + std::to_string(shard) + " from attempt " + std::to_string(attempt) +
         "\"";
}

AttemptReply Good(const AttemptSend& send) {
  return {.sent_attempt = send.attempt,
          .request_id = "q",
          .attempt = send.attempt,
          .snapshot = kSnapshot,
          .body = BodyOf(send.shard, send.attempt)};
}

AttemptReply Failed(const AttemptSend& send, ErrorCode code, bool crashed = false) {
  return {.sent_attempt = send.attempt, .error = Error{code, ""}, .crashed = crashed};
}

// Drives a search and checks the invariants of every search.
class Run {
 public:
  Run(std::shared_ptr<const Plan> plan, SearchParams params, FakeChooser& chooser,
      FakeBudget& budget)
      : plan(std::move(plan)), search(this->plan, std::move(params), {chooser, budget}) {
    this->Take(this->search.Start(kStart));
  }

  void Reply(Time now, AttemptReply reply) {
    this->running.erase(reply.sent_attempt);
    this->Take(this->search.OnReply(now, std::move(reply)));
  }
  void FireTimer(Time now) { this->Take(this->search.OnTimer(now)); }

  std::shared_ptr<const Plan> plan;
  std::vector<AttemptSend> sends;
  std::set<uint32_t> running;  // attempts that were sent and neither answered nor cancelled
  std::optional<SearchOutcome> outcome;
  Time timer = Time::max();
  bool retried = false;  // a target that refused an attempt may get another one
  Search search;

 private:
  void Take(SearchEffects effects) {
    const bool any = !effects.sends.empty() || !effects.cancels.empty() || effects.timer;
    REQUIRE_FALSE((this->outcome && (any || effects.outcome)));
    for (uint32_t attempt : effects.cancels) REQUIRE(this->running.erase(attempt) == 1);
    for (const AttemptSend& send : effects.sends) {
      const Candidates candidates = this->plan->shards[send.shard].candidates;
      REQUIRE(std::count(candidates.begin(), candidates.end(), send.target) == 1);
      for (const AttemptSend& other : this->sends) {
        REQUIRE(other.attempt != send.attempt);
        const bool repeated = other.shard == send.shard && other.target == send.target;
        REQUIRE((!repeated || this->retried));
      }
      this->sends.push_back(send);
      this->running.insert(send.attempt);
    }
    if (effects.timer) this->timer = *effects.timer;
    if (effects.outcome) {
      REQUIRE(this->running.empty());
      this->outcome = std::move(effects.outcome);
      this->CheckOutcome();
    }
  }

  // Checks that every shard of the plan is in exactly one list and that the counts match the
  // effects.
  void CheckOutcome() {
    std::set<uint32_t> seen;
    for (const ShardBody& body : this->outcome->covered) REQUIRE(seen.insert(body.shard).second);
    for (const ShardMissing& lost : this->outcome->missing) REQUIRE(seen.insert(lost.shard).second);
    REQUIRE(seen.size() == this->plan->shards.size());
    const SearchCounts& counts = this->outcome->counts;
    REQUIRE(counts.needed == seen.size());
    REQUIRE(counts.sent == this->sends.size());
    REQUIRE(counts.sent <= counts.needed + counts.hedges + counts.retries);
  }
};

SearchParams Params(bool trusted = true, bool suspect = false) {
  return {.request_id = "q", .deadline = kDeadline, .trusted = trusted, .suspect = suspect};
}

// A reply and the time at which it is delivered.
struct Delivery {
  Time at;
  AttemptReply reply;
  bool valid = false;  // the reference gather would merge it
};

Delivery RandomDelivery(const AttemptSend& send, Time now) {
  Delivery out{now + Millis(*rc::gen::inRange(0, 120)), Good(send), false};
  switch (*rc::gen::inRange(0, 30)) {
    case 8:
      out.reply.request_id = "another request";
      break;
    case 1:
      ++out.reply.attempt;
      break;
    case 2:
      out.reply.snapshot = *rc::gen::element<uint64_t>(0, kSnapshot - 1, kSnapshot + 1);
      break;
    case 3:
      out.reply.body.clear();
      break;
    case 4:
      out.reply =
          Failed(send, *rc::gen::element(ErrorCode::kShed, ErrorCode::kUnavailable,
                                         ErrorCode::kConnectionLost, ErrorCode::kTargetFailed));
      break;
    case 5:
      out.reply = Failed(send, ErrorCode::kConnectionLost, true);
      break;
    case 6:
      out.reply.sent_attempt += *rc::gen::inRange(100, 200);  // never sent
      break;
    case 7:
      out.at = Time::max();  // lost
      break;
    default:
      out.valid = true;
  }
  return out;
}

TEST_CASE("a search merges the same replies as a reference gather", "[search]") {
  CHECK(rc::check([] {
    const auto shards = *rc::gen::inRange<uint32_t>(1, 8);
    const auto replicas = *rc::gen::inRange<uint32_t>(1, 4);
    const auto prefer = *rc::gen::element<std::string>("latency", "coverage");
    Planner planner = MakePlanner(shards, replicas, prefer);
    FakeChooser chooser(*rc::gen::inRange(1, 1000));
    FakeBudget budget;
    budget.tokens = *rc::gen::inRange<uint32_t>(0, 10);
    budget.overloaded = *rc::gen::arbitrary<bool>();
    const uint32_t tokens = budget.tokens;
    Run run(*planner.PlanFor("a"),
            Params(*rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 5) == 0), chooser, budget);

    std::map<uint32_t, std::string> merged;  // reference gather: first valid reply of each shard
    std::vector<Delivery> waiting;
    std::set<uint32_t> settled;
    uint32_t rejected = 0;
    size_t scheduled = 0;
    Time now = kStart;
    while (true) {
      for (; scheduled < run.sends.size(); ++scheduled) {
        waiting.push_back(RandomDelivery(run.sends[scheduled], now));
        // Some replies are delivered twice.
        if (*rc::gen::inRange(0, 5) == 0) waiting.push_back(waiting.back());
      }
      const auto next =
          std::min_element(waiting.begin(), waiting.end(),
                           [](const Delivery& a, const Delivery& b) { return a.at < b.at; });
      if (next == waiting.end() || next->at == Time::max()) {
        if (run.outcome) break;
      }
      if (!run.outcome && (next == waiting.end() || run.timer <= next->at)) {
        RC_ASSERT(run.timer != Time::max());
        now = std::max(now, run.timer);
        run.FireTimer(now);
        continue;
      }
      const Delivery delivery = *next;
      waiting.erase(next);
      now = std::max(now, delivery.at);
      const bool live = run.running.contains(delivery.reply.sent_attempt);
      if (live && delivery.valid) {
        const uint32_t shard = run.sends[delivery.reply.sent_attempt - 1].shard;
        merged.emplace(shard, delivery.reply.body);
      }
      if (!live) ++rejected;
      run.Reply(now, delivery.reply);
    }
    RC_ASSERT(now >= kStart);
    std::map<uint32_t, std::string> covered;
    for (const ShardBody& shard : run.outcome->covered) covered.emplace(shard.shard, shard.body);
    RC_ASSERT(covered == merged);
    const SearchCounts counts = run.search.Counts();
    RC_ASSERT(counts.late_replies + counts.unknown_replies == rejected);
    RC_ASSERT(budget.spent + budget.tokens == tokens);
    RC_ASSERT(counts.hedges <= budget.spent);
    RC_ASSERT(budget.overdraft_retries <= run.plan->shards.size() * kMaxOverdraftRetries);
    RC_CLASSIFY(run.outcome->Complete(), "complete");
    RC_CLASSIFY(counts.hedges > 0, "hedged");
    RC_CLASSIFY(counts.retries > 0, "retried");
    RC_CLASSIFY(budget.overdraft_retries > 0, "overdraft retry");
  }));
}

TEST_CASE("a request that crashes every target reaches at most two targets", "[search]") {
  CHECK(rc::check([] {
    Planner planner =
        MakePlanner(*rc::gen::inRange<uint32_t>(1, 30), *rc::gen::inRange<uint32_t>(1, 4));
    FakeChooser chooser(*rc::gen::inRange(1, 1000));
    FakeBudget budget;
    budget.tokens = 100;
    const bool suspect = *rc::gen::arbitrary<bool>();
    Run run(*planner.PlanFor("a"), Params(false, suspect), chooser, budget);
    std::set<const TargetRecord*> reached;
    size_t crashes = 0;
    for (size_t i = 0; i < run.sends.size() && !run.outcome; ++i) {
      const AttemptSend send = run.sends[i];
      const bool shed = *rc::gen::inRange(0, 3) == 0;
      if (shed) {
        run.Reply(kStart, Failed(send, ErrorCode::kShed));
        continue;
      }
      reached.insert(send.target);
      ++crashes;
      const auto lost_link = *rc::gen::inRange(0, 4) == 0;
      run.Reply(kStart, Failed(send, ErrorCode::kConnectionLost, !lost_link));
      if (lost_link) --crashes;
    }
    for (int i = 0; i < 100 && !run.outcome; ++i) run.FireTimer(run.timer);
    RC_ASSERT(run.outcome.has_value());
    RC_ASSERT(run.outcome->covered.empty());
    RC_ASSERT(reached.size() <= (suspect ? 1 : 2));
    RC_ASSERT(run.outcome->crashes == crashes);
    RC_ASSERT(run.outcome->canaries_crashed == (crashes > 0 && crashes == reached.size()));
    if (suspect) RC_ASSERT(run.outcome->counts.hedges + run.outcome->counts.retries == 0);
  }));
}

TEST_CASE("one search", "[search]") {
  FakeChooser chooser;
  FakeBudget budget;
  Planner coverage = MakePlanner(34, 2);
  Planner latency = MakePlanner(34, 2, "latency");
  const auto start = [&](Planner& planner, SearchParams params) {
    return Run(*planner.PlanFor("a"), std::move(params), chooser, budget);
  };
  const auto answer_all = [](Run& run, size_t from) {
    const size_t end = run.sends.size();
    for (size_t i = from; i < end; ++i) run.Reply(kStart, Good(run.sends[i]));
  };

  SECTION("sends to every shard and answers when all have replied") {
    Run run = start(coverage, Params());
    CHECK(run.sends.size() == 68);
    CHECK(budget.needed == 68);
    answer_all(run, 0);
    CHECK(run.outcome->Complete());
    CHECK(run.outcome->Succeeded());
    CHECK(run.outcome->covered[67].body == BodyOf(67, 68));
  }
  SECTION("keeps its plan while a new snapshot with other shards is published") {
    Run run = start(coverage, Params(false));
    const Planner repartitioned = MakePlanner(8, 2, "coverage", kSnapshot + 1);
    coverage = repartitioned;
    CHECK((*coverage.PlanFor("a"))->fleets[0].snapshot == kSnapshot + 1);
    run.Reply(kStart, Good(run.sends[0]));
    CHECK(run.sends.size() == 68);
    AttemptReply newer = Good(run.sends[1]);
    newer.snapshot = kSnapshot + 1;
    run.Reply(kStart, newer);
    CHECK(run.search.Counts().wrong_snapshots == 1);
    answer_all(run, 2);
    CHECK(run.outcome->Complete());
    CHECK(run.outcome->plan->fleets[0].snapshot == kSnapshot);
  }
  SECTION("moves the bodies of replies") {
    Run run = start(coverage, Params());
    AttemptReply reply = Good(run.sends[0]);
    const char* bytes = reply.body.data();
    run.Reply(kStart, std::move(reply));
    answer_all(run, 1);
    CHECK(static_cast<const void*>(run.outcome->covered[0].body.data()) == bytes);
  }
  SECTION("of a new request queries two shards first, on two targets of two services") {
    Run run = start(coverage, Params(false));
    REQUIRE(run.sends.size() == 2);
    CHECK(run.plan->ServiceOf(run.sends[0].shard).name == "a");
    CHECK(run.plan->ServiceOf(run.sends[1].shard).name == "x");
    SECTION("and the remaining shards after one has answered, even with an error") {
      run.Reply(kStart, Failed(run.sends[1], ErrorCode::kTargetFailed));
      CHECK(run.sends.size() >= 68);
    }
    SECTION("and the remaining shards after a crash and an answer, without hedges or retries") {
      budget.tokens = 100;
      run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost, true));
      run.Reply(kStart, Good(run.sends[1]));
      CHECK(run.sends.size() == 68);
      run.Reply(kStart, Failed(run.sends[2], ErrorCode::kShed));
      run.FireTimer(kStart + Millis(50));
      CHECK(run.sends.size() == 68);
    }
    SECTION("and no other shard if both crash, and answers without delay") {
      run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost, true));
      run.Reply(kStart, Failed(run.sends[1], ErrorCode::kConnectionLost, true));
      CHECK(run.sends.size() == 2);
      REQUIRE(run.outcome);
      CHECK(run.outcome->canaries_crashed);
      CHECK(run.outcome->missing[1].cause == ErrorCode::kCancelled);
    }
    SECTION("and answers at the deadline if no canary answers") {
      run.FireTimer(kDeadline);
      CHECK(run.outcome->missing.size() == 68);
      CHECK(run.outcome->missing[5].cause == ErrorCode::kDeadlineExceeded);
    }
  }
  SECTION("of a new request sends one canary if one target holds all shards") {
    coverage.SetTargets({MakeTarget("all", "a", {{kSnapshot, 0, 2}, {kSnapshot, 1, 2}})});
    Run run = start(coverage, Params(false));
    CHECK(run.sends.size() == 1);
    run.Reply(kStart, Good(run.sends[0]));
    CHECK(run.sends.size() == 2);
  }
  SECTION("retries one crash of a trusted request, but not a second") {
    budget.tokens = 100;
    Run run = start(coverage, Params());
    run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost, true));
    CHECK(run.sends.size() == 69);
    run.Reply(kStart, Failed(run.sends[1], ErrorCode::kConnectionLost, true));
    CHECK(run.sends.size() == 69);
    answer_all(run, 2);
    CHECK(run.outcome->missing ==
          std::vector<ShardMissing>{{.shard = 1, .cause = ErrorCode::kConnectionLost}});
    CHECK_FALSE(run.outcome->Succeeded());
  }
  SECTION("for latency answers at the soft deadline with the covered shards") {
    Run run = start(latency, Params());
    for (size_t i = 0; i < 67; ++i) run.Reply(kStart, Good(run.sends[i]));
    run.FireTimer(kSoftDeadline);
    CHECK(run.outcome->missing ==
          std::vector<ShardMissing>{{.shard = 67, .cause = ErrorCode::kDeadlineExceeded}});
  }
  SECTION("for latency answers earlier if the caller has already waited") {
    const auto ends_at = [&](Duration caller_wait) {
      SearchParams params = Params();
      params.caller_wait = caller_wait;
      Run run = start(latency, params);
      for (size_t i = 0; i < 67; ++i) run.Reply(kStart, Good(run.sends[i]));
      Time fired = kStart;
      while (!run.outcome) run.FireTimer(fired = run.timer);
      return fired - kStart;
    };
    CHECK(ends_at(Duration(0)) == Millis(80));
    CHECK(ends_at(Millis(18)) == Millis(62));
    CHECK(ends_at(Millis(60)) == Millis(40));
    CHECK(ends_at(Millis(80)) == Millis(80));
  }
  SECTION("hedges stragglers from the budget only") {
    budget.tokens = 1;
    Run run = start(latency, Params());
    for (size_t i = 0; i < 66; ++i) run.Reply(kStart, Good(run.sends[i]));
    run.FireTimer(run.timer);
    CHECK(run.sends.size() == 69);
    const AttemptSend hedge = run.sends[68];
    CHECK(hedge.target != run.sends[hedge.shard].target);
    SECTION("and the first reply cancels the other attempt, whose reply is not merged") {
      run.Reply(kStart + Millis(30), Good(hedge));
      CHECK(run.running.size() == 1);
      run.Reply(kStart + Millis(30), Good(run.sends[hedge.shard]));
      CHECK(run.search.Counts().late_replies == 1);
    }
  }
  // Guards against late hedges when each target pauses for 250 ms every 6 s: almost every search
  // of 36 shards meets a pause, and a delay computed over all attempts hedges the shard only after
  // the soft deadline.
  SECTION("hedges the last shards soon after the others have answered") {
    budget.tokens = 10;
    SearchParams params = Params();
    params.straggler_share = 0.1;
    Run run = start(latency, params);
    const Time covered = kStart + Millis(5);
    for (size_t i = 0; i < 61; ++i) run.Reply(covered, Good(run.sends[i]));
    CHECK(run.timer == kStart + Millis(20));  // the budget's hedge delay
    run.Reply(covered, Good(run.sends[61]));
    CHECK(run.timer == kStart + Millis(6));
    SECTION("once each, charged to the budget") {
      run.FireTimer(run.timer);
      CHECK(run.sends.size() == 68 + 6);
      CHECK(budget.tokens == 4);
      run.FireTimer(kStart + Millis(20));
      CHECK(run.sends.size() == 68 + 6);
    }
    SECTION("but not if they answer before that") {
      for (size_t i = 62; i < 68; ++i) run.Reply(kStart + Duration(5'500), Good(run.sends[i]));
      CHECK(run.outcome->Complete());
      CHECK(budget.tokens == 10);
    }
  }
  SECTION("for coverage gets an overdraft retry when the budget is empty") {
    Run run = start(coverage, Params());
    run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost));
    CHECK(run.sends.size() == 69);
    CHECK(budget.overdraft_retries == 1);
    SECTION("but only one per shard, even if an untried replica is left") {
      coverage = MakePlanner(2, 3);
      Run another = start(coverage, Params());
      another.Reply(kStart, Failed(another.sends[0], ErrorCode::kConnectionLost));
      another.Reply(kStart, Failed(another.sends[4], ErrorCode::kConnectionLost));
      CHECK(another.sends.size() == 5);
    }
    SECTION("but not in an overloaded fleet, where it asks the budget again later") {
      budget.overloaded = true;
      run.Reply(kStart, Failed(run.sends[1], ErrorCode::kConnectionLost));
      CHECK(run.sends.size() == 69);
      budget.overloaded = false;
      run.FireTimer(kStart + kBudgetRetryInterval);
      CHECK(run.sends.size() == 70);
    }
  }
  SECTION("for latency reports a failed shard as missing when the budget is empty") {
    Run run = start(latency, Params());
    run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost));
    answer_all(run, 1);
    CHECK(run.outcome->missing.size() == 1);
    CHECK(budget.overdraft_retries == 0);
  }
  SECTION("with a minimum number of shards") {
    SearchParams needs = Params();
    needs.min_covered = 4;
    needs.suspect_on_crash = false;
    SECTION("continues after the soft deadline until it has them, and then answers") {
      Run run(*MakePlanner(2, 3, "latency").PlanFor("a"), needs, chooser, budget);
      for (int i = 0; i < 3; ++i) run.Reply(kStart, Good(run.sends[i]));
      run.FireTimer(kSoftDeadline);
      CHECK_FALSE(run.outcome);
      run.Reply(kSoftDeadline + Millis(5), Good(run.sends[3]));
      REQUIRE(run.outcome);
      CHECK(run.outcome->covered.size() == 4);
    }
    SECTION("ends at once when it can no longer reach the minimum") {
      Run run(*MakePlanner(2, 3, "latency").PlanFor("a"), needs, chooser, budget);
      run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost));
      REQUIRE(run.outcome);
      CHECK(run.outcome->missing.size() == 4);
    }
    SECTION("sends nothing if too few shards have targets") {
      Planner planner = MakePlanner(2, 1, "latency");
      planner.Remove("a/12/0");
      Run run(*planner.PlanFor("a"), needs, chooser, budget);
      REQUIRE(run.outcome);
      CHECK(run.sends.empty());
    }
    SECTION("does not cancel an attempt that the same event was about to send") {
      // The retry of one shard is chosen before the failure of another one ends the search.
      needs.charge_refusals = true;
      needs.max_attempts = 2;
      budget.tokens = 1;
      Run run(*MakePlanner(2, 3, "latency").PlanFor("a"), needs, chooser, budget);
      run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost));
      budget.tokens = 100;
      run.Reply(kStart, Failed(run.sends[1], ErrorCode::kConnectionLost));
      const size_t sent = run.sends.size();
      run.Reply(kStart, Failed(run.sends[sent - 1], ErrorCode::kConnectionLost));
      REQUIRE(run.outcome);
    }
  }
  SECTION("sends at most max_attempts attempts for one shard") {
    SearchParams limited = Params();
    limited.max_attempts = 2;
    limited.suspect_on_crash = false;
    budget.tokens = 100;
    Run run(*MakePlanner(1, 3, "latency").PlanFor("a"), limited, chooser, budget);
    run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost));
    REQUIRE(run.sends.size() == 3);
    run.Reply(kStart, Failed(run.sends[2], ErrorCode::kConnectionLost));
    CHECK(run.sends.size() == 3);
  }
  SECTION("that is not idempotent") {
    SearchParams once = Params();
    once.idempotent = false;
    once.charge_refusals = true;
    budget.tokens = 100;
    Run run(*MakePlanner(1, 3, "latency").PlanFor("a"), once, chooser, budget);
    SECTION("is never hedged") {
      run.FireTimer(kStart + Millis(40));
      CHECK(run.sends.size() == 2);
    }
    SECTION("is retried after a refusal") {
      run.Reply(kStart, Failed(run.sends[0], ErrorCode::kShed));
      CHECK(run.sends.size() == 3);
    }
    SECTION("is not retried when it may have been executed") {
      run.Reply(kStart, Failed(run.sends[0], ErrorCode::kConnectionLost));
      CHECK(run.sends.size() == 2);
    }
  }
  // Covers the case that most targets of a fleet refuse a share of the requests for some seconds.
  SECTION("waits for the budget and retries a target that refused") {
    SearchParams charged = Params();
    charged.charge_refusals = true;
    budget.delay.reset();
    Run run(*MakePlanner(1, 1, "latency").PlanFor("a"), charged, chooser, budget);
    run.Reply(kStart, Failed(run.sends[0], ErrorCode::kShed));
    CHECK(run.sends.size() == 2);
    CHECK(run.timer == kStart + kBudgetRetryInterval);
    budget.tokens = 1;
    run.retried = true;
    run.FireTimer(run.timer);
    REQUIRE(run.sends.size() == 3);
    CHECK(run.sends[2].target == run.sends[0].target);
  }
  // Covers targets that still count the connections from before a power loss and reset new ones.
  SECTION("retries another target at once, without budget, if the first was not reached") {
    SearchParams charged = Params();
    charged.charge_refusals = true;
    Run run(*MakePlanner(1, 3, "latency").PlanFor("a"), charged, chooser, budget);
    run.Reply(kStart, Failed(run.sends[0], ErrorCode::kUnavailable));
    CHECK(run.sends.size() == 3);
  }
  // Guards against a trial that keeps its caller and other trials waiting for a retry that it never
  // gets.
  SECTION("of a suspect request fails at once if its target has not run it") {
    const ErrorCode cause = GENERATE(ErrorCode::kShed, ErrorCode::kUnavailable);
    SearchParams trial = Params(false, true);
    trial.charge_refusals = true;
    SECTION("with one shard") {
      Run run(*MakePlanner(1, 3, "latency").PlanFor("x"), trial, chooser, budget);
      run.Reply(kStart, Failed(run.sends[0], cause));
      REQUIRE(run.outcome);
      CHECK(run.outcome->missing[0].cause == cause);
    }
    SECTION("with several shards, which get their canaries in turn") {
      Run run(*MakePlanner(2, 3, "latency").PlanFor("a"), trial, chooser, budget);
      for (size_t i = 0; i < run.plan->shards.size(); ++i) {
        REQUIRE(run.sends.size() == i + 1);
        REQUIRE_FALSE(run.outcome);
        run.Reply(kStart, Failed(run.sends[i], cause));
      }
      CHECK(run.outcome);
    }
    CHECK(budget.spent == 0);
  }
  SECTION("cancels all attempts and emits no answer when aborted") {
    Run run = start(coverage, Params());
    CHECK(run.search.Abort().cancels.size() == 68);
    CHECK_FALSE(run.search.OnReply(kStart, Good(run.sends[0])).outcome);
    CHECK(run.search.OnTimer(kDeadline).sends.empty());
  }
}

}  // namespace
}  // namespace peridotgauge
