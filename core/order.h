// State machine of one non-idempotent request: claims it in the ledger, dispatches it at most once,
// records the outcome, and answers.
//
// Use:
//   Order order(params, chooser);
//   Apply(order.Start(now, lease));
//   Apply(order.OnClaimAnswer(now, answer, lease, planner.TargetsOf(service)->Serving()));
//   Apply(order.OnDispatchReply(now, std::move(reply)));
//   Apply(order.OnRecordAnswer(now, result));
//   Apply(order.OnTimer(now));                    // until Finished()
//
// Contract: emits exactly one answer and at most one dispatch. The dispatch is emitted only for a
// granted claim, while the lease that was valid at the start has not lapsed, and before the
// deadline. Events that do not match the state are ignored. After the answer the order may continue
// in order to record its outcome; a router that stops earlier leaves an open claim, whose outcome
// is then in doubt.
//
// Ledger: see ledger.h. Completions are idempotent, so a completion is sent again until its result
// is known. Releasing an attempt succeeds whether or not the attempt held the claim. A release
// therefore proves "not run" only if the claim is known to have been granted to this order.
//
// "Not run" is answered only if the ledger was asked: it had no room for an unknown id, or the
// claim was granted, its dispatch provably not executed, and the release is committed. An order
// that is refused before the claim may have run in an earlier send, so that refusal does not say
// "not run". Sending the same id again is always safe.
//
//   event                                              answer
//   the claim's result is lost or late                 kUnavailable, not_run false; then released
//   no reply to the dispatch before the deadline       kInDoubt; a reply soon after is recorded
//   the result of a completion is lost or late:
//     with outcome "not run"                           kUnknownOutcome
//     with any other outcome                           kInDoubt
//   a completion is refused                            kInDoubt
#ifndef PERIDOTGAUGE_CORE_ORDER_H_
#define PERIDOTGAUGE_CORE_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.h"
#include "core/search_policy.h"
#include "core/types.h"
#include "state/ledger.h"

namespace peridotgauge {

// Delay before a completion whose result was lost is sent again; an election takes about 1 s.
constexpr Duration kRecordRetryInterval = Millis(500);
constexpr uint32_t kMaxRecordAttempts = 20;
// Time after the deadline during which a late reply of the target is still recorded.
constexpr Duration kLateReplyWait = Seconds(2);
// Time after the deadline at which the order ends even if the ledger has not answered.
constexpr Duration kOrderAbandonDelay = Seconds(30);
// A dispatch is the first and only attempt.
constexpr uint32_t kOrderAttempt = 1;

enum class OrderState : uint8_t {
  kReceived,    // nothing was sent
  kClaiming,    // the claim was sent
  kReleasing,   // the claim's result was lost and the caller has its answer; a release was sent
  kClaimed,     // the claim was granted; nothing was dispatched
  kDispatched,  // the dispatch was sent
  kRecording,   // the outcome is known, but its record is not yet confirmed
  kDone,        // final: the target's result is recorded
  kFailed,      // final: the target's error is recorded
  kNotRun,      // final: the claim is released
  kInDoubt,     // final: the order may have been executed
  kRefused,     // final: the id was not claimed, or it is not known whether it was
};

// The router's configuration lease. `generation` increases whenever a lease begins after a lapse.
struct OrderLease {
  bool valid = false;
  uint64_t generation = 0;
  bool operator==(const OrderLease&) const = default;
};

struct OrderParams {
  std::string request_id;
  std::string service;
  int64_t issued_at_ms = 0;  // Unix time
  uint64_t body_digest = 0;
  ClaimHolder holder;  // this router, with an attempt number that it has never used before
  Time deadline;
};

struct OrderDispatch {
  const TargetRecord* target = nullptr;  // one of the candidates of OnClaimAnswer()
  uint32_t attempt = kOrderAttempt;
};

// The result of the dispatch. A success echoes the request id and the attempt.
struct DispatchReply {
  std::optional<Error> error;
  std::string request_id;
  uint32_t attempt = 0;
  std::string body;  // JSON text
};

// The answer to the caller: a body, or an error.
struct OrderOutcome {
  std::optional<Error> error;
  bool not_run = false;  // true only if the error table allows it for the error
  std::string body;
  bool replayed = false;  // the outcome was recorded by an earlier run
};

// Actions that the router must carry out. A new timer replaces the previous one.
struct OrderEffects {
  std::optional<ClaimRequest> claim;
  std::optional<OrderDispatch> dispatch;
  std::optional<Completion> complete;
  std::optional<OrderOutcome> answer;
  std::optional<Time> timer;
};

class Order {
 public:
  // `chooser` must outlive the order.
  Order(OrderParams params, ReplicaChooser& chooser);

  OrderEffects Start(Time now, OrderLease lease);
  // `candidates` are the current serving targets of the service.
  OrderEffects OnClaimAnswer(Time now, Result<ClaimResult> answer, OrderLease lease,
                             Candidates candidates);
  OrderEffects OnDispatchReply(Time now, DispatchReply reply);
  OrderEffects OnRecordAnswer(Time now, const Result<void>& answer);
  OrderEffects OnTimer(Time now);

  OrderState State() const { return this->state; }
  // Returns true if no further event can have an effect.
  bool Finished() const { return this->state >= OrderState::kDone; }
  bool Answered() const { return this->answered; }

 private:
  void OnGranted(Time now, OrderLease lease, Candidates candidates, OrderEffects& effects);
  void OnClaimError(Error error, OrderEffects& effects);
  void OnReplay(ClaimResult answer, OrderEffects& effects);
  void ReleaseUnknownClaim(OrderEffects& effects);
  void Record(Outcome outcome, OrderOutcome answer, OrderEffects& effects);
  void RecordNotRun(Error error, OrderEffects& effects);
  void RecordInDoubt(std::string detail, OrderEffects& effects);
  void SendRecord(OrderEffects& effects);
  void Answer(OrderOutcome answer, OrderEffects& effects);
  void End(OrderState final_state, OrderOutcome answer, OrderEffects& effects);
  void Abandon(OrderEffects& effects);
  // Returns the answer for the case that no further result arrives.
  OrderOutcome UnconfirmedAnswer() const;
  void AfterEvent(Time now, OrderEffects& effects);
  std::optional<Time> NextTimer() const;

  OrderParams params;
  ReplicaChooser& chooser;
  OrderState state = OrderState::kReceived;
  OrderLease lease;  // at the start
  bool answered = false;
  // In kRecording and kReleasing: the completion, and the answer once it is confirmed.
  Completion record;
  OrderOutcome pending_answer;
  uint32_t record_attempts = 0;
  std::optional<Time> record_retry_at;  // set while a completion waits to be sent again
  std::optional<Time> timer;            // the last timer emitted
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ORDER_H_
