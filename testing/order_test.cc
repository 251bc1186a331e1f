// Tests of the life cycle of one order. They guard against a second dispatch, a "not run" that is
// not true, an answer before its record, and an order without an answer.
#include "core/order.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "search_fakes.h"

namespace peridotgauge {
namespace {

// The only target that the service has.
const TargetRecord kTarget = MakeTarget("desk/1", "desk", {});
const std::vector<const TargetRecord*> kTargets = {&kTarget};
constexpr OrderLease kLease = {.valid = true, .generation = 3};
constexpr Time kStart = TimeAt(1'000);
constexpr Time kDeadline = TimeAt(1'200);

OrderParams Params(ClaimHolder holder = {"r1", 1, 1}, Time deadline = kDeadline) {
  return {.request_id = "order-1",
          .service = "desk",
          .issued_at_ms = 5,
          .body_digest = 9,
          .holder = std::move(holder),
          .deadline = deadline};
}

DispatchReply GoodReply() { return {.request_id = "order-1", .attempt = 1, .body = "\"cut\""}; }
DispatchReply FailedReply(ErrorCode code) { return {.error = Error{code, ""}}; }

// Events that the environment can bring, in any order.
struct Event {
  std::string name;
  std::function<OrderEffects(Order&, Time)> apply;
};

Event Claim(std::string name, const Result<ClaimResult>& answer, OrderLease lease = kLease,
            Candidates candidates = kTargets) {
  return {std::move(name), [=](Order& order, Time now) {
            return order.OnClaimAnswer(now, answer, lease, candidates);
          }};
}

Event Reply(std::string name, const DispatchReply& reply) {
  return {std::move(name),
          [=](Order& order, Time now) { return order.OnDispatchReply(now, reply); }};
}

Event Recorded(std::string name, const Result<void>& answer) {
  return {std::move(name),
          [=](Order& order, Time now) { return order.OnRecordAnswer(now, answer); }};
}

std::vector<Event> AllEvents() {
  const ClaimResult done{.state = ClaimState::kRecorded, .outcome = Outcome::kDone, .body = "1"};
  DispatchReply crossed = GoodReply();
  crossed.request_id = "order-2";
  return {Claim("granted", ClaimResult{}),
          Claim("granted, lease lapsed", ClaimResult{}, {.valid = false, .generation = 3}),
          Claim("granted, lease lapsed and came back", ClaimResult{}, {true, 4}),
          Claim("granted, no target", ClaimResult{}, kLease, {}),
          Claim("running", ClaimResult{.state = ClaimState::kRunning}),
          Claim("replay", done),
          Claim("in doubt", ClaimResult{.state = ClaimState::kInDoubt}),
          Claim("conflict", Fail(ErrorCode::kConflict)),
          Claim("ledger full", Fail(ErrorCode::kLedgerFull)),
          Claim("claim not sent", Fail(ErrorCode::kUnavailable)),
          Claim("claim lost", Fail(ErrorCode::kUnknownOutcome)),
          Reply("done", GoodReply()),
          Reply("crossed", crossed),
          Reply("failed", FailedReply(ErrorCode::kTargetFailed)),
          Reply("shed", FailedReply(ErrorCode::kShed)),
          Reply("not reached", FailedReply(ErrorCode::kUnavailable)),
          Reply("connection lost", FailedReply(ErrorCode::kConnectionLost)),
          Recorded("recorded", {}),
          Recorded("record refused", Fail(ErrorCode::kInDoubt)),
          Recorded("record lost", Fail(ErrorCode::kUnknownOutcome)),
          Recorded("record not sent", Fail(ErrorCode::kNotLeader))};
}

// An order with everything that was observed about it. Copied at each branch of the search.
struct Trace {
  Order order;
  Time now = kStart;
  Time timer = Time::max();
  std::string path;
  int dispatches = 0;
  int answers = 0;
  bool granted = false;
  bool not_executed = false;  // the target provably did not execute the dispatch
  std::optional<Outcome> sent_record;
  std::optional<Outcome> confirmed_record;

  // Returns false if the event was ignored.
  bool Take(const std::string& name, const OrderEffects& effects) {
    this->path += " > " + name;
    INFO(this->path);
    if (name.starts_with("granted") && this->order.State() != OrderState::kReceived) {
      this->granted = this->granted || effects.dispatch || effects.complete;
    }
    if (effects.dispatch) {
      ++this->dispatches;
      REQUIRE(name == "granted");
      REQUIRE(this->now < kDeadline);
      REQUIRE(this->answers == 0);
    }
    if (effects.complete) this->sent_record = effects.complete->outcome;
    if (effects.timer) {
      this->timer = *effects.timer;
      REQUIRE(this->timer > this->now);
    }
    if (effects.answer) this->CheckAnswer(*effects.answer);
    REQUIRE(this->dispatches <= 1);
    REQUIRE(this->answers <= 1);
    REQUIRE(this->order.Answered() == (this->answers == 1));
    return effects.dispatch || effects.complete || effects.timer || effects.answer;
  }

  void CheckAnswer(const OrderOutcome& answer) {
    ++this->answers;
    if (answer.not_run) {
      REQUIRE(answer.error);
      REQUIRE(answer.error->NotRun());
      REQUIRE((this->dispatches == 0 || this->not_executed));
      // A granted claim is released first.
      REQUIRE((!this->granted || this->confirmed_record == Outcome::kNotRun));
    }
    if (!answer.error && !answer.replayed) {
      REQUIRE(this->dispatches == 1);
      REQUIRE(this->confirmed_record == Outcome::kDone);
      REQUIRE(answer.body == GoodReply().body);
    }
  }
};

void FireTimer(Trace& trace) {
  trace.now = trace.timer;
  trace.timer = Time::max();
  trace.Take("timer", trace.order.OnTimer(trace.now));
}

// Without further events an order answers and ends by its own timers.
void Drain(Trace trace) {
  for (int i = 0; i < 100 && !trace.order.Finished(); ++i) {
    INFO(trace.path);
    REQUIRE(trace.timer != Time::max());
    FireTimer(trace);
  }
  INFO(trace.path);
  REQUIRE(trace.order.Finished());
  REQUIRE(trace.answers == 1);
}

void Explore(const Trace& trace, const std::vector<Event>& events, int depth,
             std::set<OrderState>& visited) {
  visited.insert(trace.order.State());
  Drain(trace);
  if (depth == 0) return;
  for (const Event& event : events) {
    Trace next = trace;
    const OrderState before = next.order.State();
    if (before == OrderState::kRecording && event.name == "recorded") {
      next.confirmed_record = next.sent_record;
    }
    if (before == OrderState::kDispatched &&
        (event.name == "shed" || event.name == "not reached")) {
      next.not_executed = true;
    }
    const bool effective = next.Take(event.name, event.apply(next.order, next.now));
    // An event that changes nothing need not be followed.
    if (effective || next.order.State() != before) Explore(next, events, depth - 1, visited);
  }
  if (trace.timer != Time::max()) {
    Trace next = trace;
    FireTimer(next);
    Explore(next, events, depth - 1, visited);
  }
}

TEST_CASE("all interleavings of an order's events", "[order]") {
  FakeChooser chooser;
  Trace trace{.order = Order(Params(), chooser)};
  trace.Take("start", trace.order.Start(kStart, kLease));
  std::set<OrderState> visited;
  Explore(trace, AllEvents(), 10, visited);
  // All but kReceived, which Start() leaves, and kClaimed, which ends within an event.
  CHECK(visited.size() == 9);
}

TEST_CASE("an order", "[order]") {
  FakeChooser chooser;
  Order order(Params(), chooser);

  SECTION("is refused without a lease") {
    const OrderEffects effects = order.Start(kStart, {});
    CHECK_FALSE(effects.claim);
    CHECK(effects.answer->error->code == ErrorCode::kNotSynchronized);
    // Another router may have executed an earlier send of this id.
    CHECK_FALSE(effects.answer->not_run);
  }
  SECTION("is refused after its deadline") {
    CHECK(order.Start(kDeadline, kLease).answer->error->code == ErrorCode::kOverloaded);
  }
  SECTION("claims its id first") {
    const OrderEffects started = order.Start(kStart, kLease);
    CHECK(started.claim->holder == ClaimHolder{"r1", 1, 1});
    CHECK(started.timer == kDeadline);
    SECTION("and a lost claim is answered at once, without saying that it was not run") {
      const OrderEffects lost =
          order.OnClaimAnswer(kStart, Fail(ErrorCode::kUnknownOutcome), kLease, kTargets);
      CHECK(lost.answer->error->code == ErrorCode::kUnavailable);
      CHECK_FALSE(lost.answer->not_run);
      CHECK(lost.complete->outcome == Outcome::kNotRun);
      CHECK_FALSE(order.OnClaimAnswer(kStart, ClaimResult{}, kLease, kTargets).dispatch);
    }
    SECTION("and a claim granted at the deadline is not dispatched") {
      const OrderEffects late = order.OnClaimAnswer(kDeadline, ClaimResult{}, kLease, kTargets);
      CHECK_FALSE(late.dispatch);
      CHECK(late.complete->outcome == Outcome::kNotRun);
    }
    SECTION("and is dispatched once it is granted") {
      CHECK(order.OnClaimAnswer(kStart, ClaimResult{}, kLease, kTargets).dispatch->target ==
            &kTarget);
      SECTION("and a reply after the deadline is still recorded, for a resend") {
        CHECK(order.OnTimer(kDeadline).answer->error->code == ErrorCode::kInDoubt);
        const OrderEffects late = order.OnDispatchReply(kDeadline + Millis(50), GoodReply());
        CHECK(late.complete->outcome == Outcome::kDone);
        CHECK_FALSE(order.OnRecordAnswer(kDeadline + Millis(60), {}).answer);
        CHECK(order.State() == OrderState::kDone);
      }
      SECTION("and the outcome is recorded before it is answered") {
        const OrderEffects done = order.OnDispatchReply(kStart, GoodReply());
        CHECK_FALSE(done.answer);
        CHECK(done.complete->body == GoodReply().body);
        CHECK(order.OnRecordAnswer(kStart, {}).answer->body == GoodReply().body);
      }
    }
  }
}

// --- Routers that are killed while the caller sends the order again ---

// Naive ledger: one holder or one final record for the only request id.
class NaiveLedger {
 public:
  Result<ClaimResult> Claim(const ClaimHolder& holder) {
    if (this->released.contains(holder.claim_id)) return Fail(ErrorCode::kCancelled);
    if (this->record) return ClaimResult{.state = ClaimState::kRecorded, .outcome = *this->record};
    if (this->in_doubt) return ClaimResult{.state = ClaimState::kInDoubt};
    if (this->holder && *this->holder != holder) return ClaimResult{.state = ClaimState::kRunning};
    this->holder = holder;
    return ClaimResult{.state = ClaimState::kGranted};
  }
  Result<void> Complete(const ClaimHolder& holder, Outcome outcome) {
    const bool holds = this->holder == holder;
    if (outcome == Outcome::kNotRun) {
      if (holds && (this->record || this->in_doubt)) return Fail(ErrorCode::kInDoubt);
      this->released.insert(holder.claim_id);
      if (holds) this->holder.reset();
      return {};
    }
    if (!holds) return Fail(ErrorCode::kConflict);
    if (outcome == Outcome::kInDoubt) {
      this->in_doubt = true;
    } else {
      this->record = outcome;
    }
    return {};
  }
  void RouterLeft(const std::string& router) {
    if (this->holder && this->holder->router == router && !this->record) this->in_doubt = true;
  }

 private:
  std::optional<ClaimHolder> holder;
  std::optional<Outcome> record;
  bool in_doubt = false;
  std::set<uint64_t> released;  // attempts, which are unique here
};

// One order machine of one router, with the messages that wait to be delivered.
struct Running {
  Order order;
  ClaimHolder holder;
  Time timer = Time::max();
  bool granted_dispatch = false;
  std::optional<ClaimRequest> claim;
  std::optional<Completion> complete;
  bool dispatch = false;
};

// True in one of n cases.
bool Chance(int n) { return *rc::gen::resize(100, rc::gen::inRange(0, n)) == 0; }

class World {
 public:
  // One random step: a resend, a message delivered, lost or repeated, a timer, or a killed router.
  void Step() {
    const int kind = *rc::gen::inRange(0, 12);
    if (this->running.empty() || kind == 0) return this->Resend();
    Running& one = *this->running[*rc::gen::inRange<size_t>(0, this->running.size())];
    if (kind == 1) return this->Kill(std::string(one.holder.router));
    if (kind == 2 && !this->sent.empty()) {
      // A copy of an old completion arrives late.
      const Completion& old = this->sent[*rc::gen::inRange<size_t>(0, this->sent.size())];
      (void)this->ledger.Complete(old.holder, old.outcome);
      return;
    }
    if (one.claim) return this->DeliverClaim(one);
    if (one.dispatch) return this->DeliverDispatch(one);
    if (one.complete) return this->DeliverCompletion(one);
    if (one.timer == Time::max()) return;
    this->now = std::max(this->now, one.timer);
    this->Take(one, one.order.OnTimer(this->now));
  }

  int executions = 0;
  int dispatches = 0;

 private:
  void Resend() {
    const ClaimHolder holder{"r" + std::to_string(*rc::gen::inRange(0, 3)), 1, ++this->attempts};
    auto one = std::make_unique<Running>(Running{
        .order = Order(Params(holder, this->now + Millis(200)), this->chooser), .holder = holder});
    const OrderEffects effects = one->order.Start(this->now, kLease);
    this->Take(*one, effects);
    this->running.push_back(std::move(one));
  }

  // Messages that the router has sent are lost, or arrive after its death.
  void Kill(const std::string& router) {
    for (const auto& one : this->running) {
      if (one->holder.router != router) continue;
      if (one->claim && Chance(2)) (void)this->ledger.Claim(one->holder);
      if (one->dispatch && Chance(2)) ++this->executions;
      if (one->complete && Chance(2)) {
        (void)this->ledger.Complete(one->holder, one->complete->outcome);
      }
    }
    std::erase_if(this->running, [&](const auto& one) { return one->holder.router == router; });
    // The session may expire only after many resends.
    if (Chance(2)) this->ledger.RouterLeft(router);
  }

  void DeliverClaim(Running& one) {
    one.claim.reset();
    const bool arrives = !Chance(4);
    const bool answered = !Chance(4);
    Result<ClaimResult> answer = Fail(ErrorCode::kUnknownOutcome);
    if (arrives) answer = this->ledger.Claim(one.holder);
    if (!answered) answer = Fail(ErrorCode::kUnknownOutcome);
    this->Take(one, one.order.OnClaimAnswer(this->now, answer, kLease, kTargets));
  }

  void DeliverDispatch(Running& one) {
    one.dispatch = false;
    const auto fate = *rc::gen::inRange(0, 4);
    if (fate == 0) {
      this->Take(one, one.order.OnDispatchReply(this->now, FailedReply(ErrorCode::kShed)));
      return;
    }
    ++this->executions;
    if (fate == 1) return;  // the reply is lost
    this->Take(one,
               one.order.OnDispatchReply(
                   this->now, fate == 2 ? GoodReply() : FailedReply(ErrorCode::kConnectionLost)));
  }

  void DeliverCompletion(Running& one) {
    const Completion completion = *std::exchange(one.complete, std::nullopt);
    this->sent.push_back(completion);
    Result<void> answer = Fail(ErrorCode::kUnknownOutcome);
    if (!Chance(4)) {
      answer = this->ledger.Complete(completion.holder, completion.outcome);
    }
    if (Chance(4)) answer = Fail(ErrorCode::kUnknownOutcome);
    this->Take(one, one.order.OnRecordAnswer(this->now, answer));
  }

  void Take(Running& one, const OrderEffects& effects) {
    if (effects.timer) one.timer = *effects.timer;
    if (effects.claim) one.claim = effects.claim;
    if (effects.complete) one.complete = effects.complete;
    if (effects.dispatch) {
      RC_ASSERT(!std::exchange(one.granted_dispatch, true));
      ++this->dispatches;
      one.dispatch = true;
    }
    if (!effects.answer) return;
    if (effects.answer->not_run) {
      // True of the request at this moment, whichever router it went through before.
      RC_ASSERT(this->executions == 0);
    }
    if (!effects.answer->error) RC_ASSERT(this->executions == 1);
  }

  FakeChooser chooser;
  NaiveLedger ledger;
  Time now = kStart;
  uint64_t attempts = 0;
  std::vector<std::unique_ptr<Running>> running;
  std::vector<Completion> sent;
};

TEST_CASE("routers killed at any step and resends never execute an order twice", "[order]") {
  int executed = 0;
  CHECK(rc::check([&] {
    World world;
    const int steps = *rc::gen::inRange(20, 120);
    for (int i = 0; i < steps; ++i) {
      world.Step();
      RC_ASSERT(world.executions <= 1);
    }
    executed += world.executions;
    RC_CLASSIFY(world.executions == 1, "executed");
    RC_CLASSIFY(world.dispatches > 1, "dispatched again after a refusal");
  }));
  CHECK(executed > 0);
}

}  // namespace
}  // namespace peridotgauge
