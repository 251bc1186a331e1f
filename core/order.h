// State machine of one non-idempotent request: claim it in the ledger, dispatch it at most once,
// record the outcome, answer.
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
// granted claim, while the lease that was valid at the start has not lapsed, before the deadline.
// Events that do not fit the state change nothing. After the answer the order can go on to record
// its outcome; a router that stops earlier leaves an open claim, which ends in doubt.
//
// Ledger: see ledger.h. A repeated completion is harmless, so it is sent until its answer is known.
// The release of an attempt succeeds whether or not that attempt held the claim. So a release
// proves "not run" only if the claim is known to have been granted to this order.
//
// "Not run" is answered only if the ledger was asked: it had no room for an unknown id, or the
// claim was granted, its dispatch provably not executed, and the release is committed. An order
// that is refused before that may have run when it was sent before, so the refusal does not say
// "not run". Sending the same id again is always safe.
//
//   event                                              answer
//   the claim's answer is lost, or late                kUnavailable, not_run false; then released
//   no reply to the dispatch before the deadline       kInDoubt; a reply soon after is recorded
//   the answer to a completion is lost or late:
//     that it was not run                              kUnknownOutcome
//     any other outcome                                kInDoubt
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

// Pause before a completion whose answer was lost is sent again; an election takes about 1 s.
constexpr Duration kRecordPause = Millis(500);
constexpr uint32_t kMaxRecordAttempts = 20;
// Time after the deadline in which a late reply of the target is still recorded.
constexpr Duration kLateReplyWait = Seconds(2);
// Time after the deadline at which the order ends even if the ledger never answers.
constexpr Duration kOrderGiveUp = Seconds(30);
// A dispatch is the first and only attempt.
constexpr uint32_t kOrderAttempt = 1;

enum class OrderState : uint8_t {
  kReceived,    // nothing was sent
  kClaiming,    // the claim was sent
  kReleasing,   // the claim's answer was lost and the caller was told; it is being released
  kClaimed,     // the claim is granted; nothing was dispatched
  kDispatched,  // the dispatch was sent
  kRecording,   // the outcome is known; its record is not yet confirmed
  kDone,        // final: the target's answer is recorded
  kFailed,      // final: the target's error is recorded
  kNotRun,      // final: the claim is released
  kInDoubt,     // final: it may have been executed
  kRefused,     // final: this order claimed nothing, or it is not known whether it did
};

// The router's configuration lease. `generation` grows whenever a lease begins after a lapse.
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
  ClaimHolder holder;  // this router; an attempt number that it has never used before
  Time deadline;
};

struct OrderDispatch {
  const TargetRecord* target = nullptr;  // one of the candidates of OnClaimAnswer()
  uint32_t attempt = kOrderAttempt;
};

// What became of the dispatch. A success echoes request id and attempt.
struct DispatchReply {
  std::optional<Error> error;
  std::string request_id;
  uint32_t attempt = 0;
  std::string body;  // JSON text
};

// The answer to the caller: a body, or an error.
struct OrderOutcome {
  std::optional<Error> error;
  bool not_run = false;  // never true if the error table says otherwise
  std::string body;
  bool replayed = false;  // recorded outcome of an earlier run
};

// What the router must do. A new timer replaces the earlier one.
struct OrderEffects {
  std::optional<ClaimRequest> claim;
  std::optional<OrderDispatch> dispatch;
  std::optional<Completion> complete;
  std::optional<OrderOutcome> answer;
  std::optional<Time> timer;
};

class Order {
 public:
  // `chooser` outlives the order.
  Order(OrderParams params, ReplicaChooser& chooser);

  OrderEffects Start(Time now, OrderLease lease);
  // `candidates` are the serving targets of the service at present.
  OrderEffects OnClaimAnswer(Time now, Result<ClaimResult> answer, OrderLease lease,
                             Candidates candidates);
  OrderEffects OnDispatchReply(Time now, DispatchReply reply);
  OrderEffects OnRecordAnswer(Time now, const Result<void>& answer);
  OrderEffects OnTimer(Time now);

  OrderState State() const { return this->state; }
  // True if no event can have an effect any more.
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
  void GiveUp(OrderEffects& effects);
  // The answer if nothing more becomes known.
  OrderOutcome UnconfirmedAnswer() const;
  void AfterEvent(Time now, OrderEffects& effects);
  std::optional<Time> NextTimer() const;

  OrderParams params;
  ReplicaChooser& chooser;
  OrderState state = OrderState::kReceived;
  OrderLease lease;  // at the start
  bool answered = false;
  // In kRecording and kReleasing: what is recorded, and the answer when that is confirmed.
  Completion record;
  OrderOutcome pending;
  uint32_t record_attempts = 0;
  std::optional<Time> record_again;  // set while a completion waits to be repeated
  std::optional<Time> timer;         // last one emitted
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ORDER_H_
