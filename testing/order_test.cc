// Tests of the life cycle of one order. They guard against a second dispatch, a wrong "not run", an
// answer before its record, and an order without an answer.
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

// An event that can occur in any state.
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
  DispatchReply mismatched = GoodReply();
  mismatched.request_id = "order-2";
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
          Reply("mismatched", mismatched),
          Reply("failed", FailedReply(ErrorCode::kTargetFailed)),
          Reply("shed", FailedReply(ErrorCode::kShed)),
          Reply("not reached", FailedReply(ErrorCode::kUnavailable)),
          Reply("connection lost", FailedReply(ErrorCode::kConnectionLost)),
          Recorded("recorded", {}),
          Recorded("record refused", Fail(ErrorCode::kInDoubt)),
          Recorded("record lost", Fail(ErrorCode::kUnknownOutcome)),
          Recorded("record not sent", Fail(ErrorCode::kNotLeader))};
}

// An order and the effects observed so far. Copied at each branch of the exploration.
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
      // A granted claim must have been released.
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

// Checks that without further events the order answers and ends by its own timers.
void CheckEndsByTimers(Trace trace) {
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
  CheckEndsByTimers(trace);
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
    // Events without any effect are not explored further.
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
  // All states except kReceived, which Start() leaves, and kClaimed, which ends within one event.
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
  SECTION("claims its id before anything else") {
    const OrderEffects started = order.Start(kStart, kLease);
    CHECK(started.claim->holder == ClaimHolder{"r1", 1, 1});
    CHECK(started.timer == kDeadline);
    SECTION("and a lost claim is answered at once, but not as not run") {
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
      SECTION("and a reply after the deadline is still recorded for a resend") {
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

// --- Routers that are killed while the caller resends the order ---

// Reference model of the ledger for a single request id: one holder or one final record.
class ReferenceLedger {
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
  std::set<uint64_t> released;  // claim ids, which are unique here
};

// An order on one router, with its undelivered messages.
struct RunningOrder {
  Order order;
  ClaimHolder holder;
  Time timer = Time::max();
  bool granted_dispatch = false;
  std::optional<ClaimRequest> claim;
  std::optional<Completion> complete;
  bool dispatch = false;
};

// Returns true with probability 1 / n.
bool Chance(int n) { return *rc::gen::resize(100, rc::gen::inRange(0, n)) == 0; }

class Simulation {
 public:
  // Executes one random step: a resend, a message that is delivered, lost or repeated, a timer, or
  // the death of a router.
  void Step() {
    const int kind = *rc::gen::inRange(0, 12);
    if (this->running.empty() || kind == 0) return this->Resend();
    RunningOrder& run = *this->running[*rc::gen::inRange<size_t>(0, this->running.size())];
    if (kind == 1) return this->Kill(std::string(run.holder.router));
    if (kind == 2 && !this->sent.empty()) {
      // A duplicate of an earlier completion arrives.
      const Completion& old = this->sent[*rc::gen::inRange<size_t>(0, this->sent.size())];
      (void)this->ledger.Complete(old.holder, old.outcome);
      return;
    }
    if (run.claim) return this->DeliverClaim(run);
    if (run.dispatch) return this->DeliverDispatch(run);
    if (run.complete) return this->DeliverCompletion(run);
    if (run.timer == Time::max()) return;
    this->now = std::max(this->now, run.timer);
    this->Take(run, run.order.OnTimer(this->now));
  }

  int executions = 0;
  int dispatches = 0;

 private:
  void Resend() {
    const ClaimHolder holder{"r" + std::to_string(*rc::gen::inRange(0, 3)), 1, ++this->attempts};
    auto run = std::make_unique<RunningOrder>(RunningOrder{
        .order = Order(Params(holder, this->now + Millis(200)), this->chooser), .holder = holder});
    const OrderEffects effects = run->order.Start(this->now, kLease);
    this->Take(*run, effects);
    this->running.push_back(std::move(run));
  }

  // Messages that the router has sent are lost or arrive after it was killed.
  void Kill(const std::string& router) {
    for (const auto& run : this->running) {
      if (run->holder.router != router) continue;
      if (run->claim && Chance(2)) (void)this->ledger.Claim(run->holder);
      if (run->dispatch && Chance(2)) ++this->executions;
      if (run->complete && Chance(2)) {
        (void)this->ledger.Complete(run->holder, run->complete->outcome);
      }
    }
    std::erase_if(this->running, [&](const auto& run) { return run->holder.router == router; });
    // The session may expire only after many resends.
    if (Chance(2)) this->ledger.RouterLeft(router);
  }

  void DeliverClaim(RunningOrder& run) {
    run.claim.reset();
    const bool arrives = !Chance(4);
    const bool answered = !Chance(4);
    Result<ClaimResult> answer = Fail(ErrorCode::kUnknownOutcome);
    if (arrives) answer = this->ledger.Claim(run.holder);
    if (!answered) answer = Fail(ErrorCode::kUnknownOutcome);
    this->Take(run, run.order.OnClaimAnswer(this->now, answer, kLease, kTargets));
  }

  void DeliverDispatch(RunningOrder& run) {
    run.dispatch = false;
    const auto result = *rc::gen::inRange(0, 4);
    if (result == 0) {
      this->Take(run, run.order.OnDispatchReply(this->now, FailedReply(ErrorCode::kShed)));
      return;
    }
    ++this->executions;
    if (result == 1) return;  // the reply is lost
    this->Take(run,
               run.order.OnDispatchReply(
                   this->now, result == 2 ? GoodReply() : FailedReply(ErrorCode::kConnectionLost)));
  }

  void DeliverCompletion(RunningOrder& run) {
    const Completion completion = *std::exchange(run.complete, std::nullopt);
    this->sent.push_back(completion);
    Result<void> answer = Fail(ErrorCode::kUnknownOutcome);
    if (!Chance(4)) {
      answer = this->ledger.Complete(completion.holder, completion.outcome);
    }
    if (Chance(4)) answer = Fail(ErrorCode::kUnknownOutcome);
    this->Take(run, run.order.OnRecordAnswer(this->now, answer));
  }

  void Take(RunningOrder& run, const OrderEffects& effects) {
    if (effects.timer) run.timer = *effects.timer;
    if (effects.claim) run.claim = effects.claim;
    if (effects.complete) run.complete = effects.complete;
    if (effects.dispatch) {
      RC_ASSERT(!std::exchange(run.granted_dispatch, true));
      ++this->dispatches;
      run.dispatch = true;
    }
    if (!effects.answer) return;
    if (effects.answer->not_run) {
      // This must hold for the request at this moment, whichever routers handled it before.
      RC_ASSERT(this->executions == 0);
    }
    if (!effects.answer->error) RC_ASSERT(this->executions == 1);
  }

  FakeChooser chooser;
  ReferenceLedger ledger;
  Time now = kStart;
  uint64_t attempts = 0;
  std::vector<std::unique_ptr<RunningOrder>> running;
  std::vector<Completion> sent;
};

TEST_CASE("routers killed at any step and resends never execute an order twice", "[order]") {
  int executed = 0;
  CHECK(rc::check([&] {
    Simulation simulation;
    const int steps = *rc::gen::inRange(20, 120);
    for (int i = 0; i < steps; ++i) {
      simulation.Step();
      RC_ASSERT(simulation.executions <= 1);
    }
    executed += simulation.executions;
    RC_CLASSIFY(simulation.executions == 1, "executed");
    RC_CLASSIFY(simulation.dispatches > 1, "dispatched again after a refusal");
  }));
  CHECK(executed > 0);
}

}  // namespace
}  // namespace peridotgauge
