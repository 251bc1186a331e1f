// State machine of one non-idempotent request: claim it in the ledger, dispatch it at most once,
// record the outcome, answer.
//
// Use:
//   Order order(params, chooser);
//   Apply(order.Start(now, lease));
//   Apply(order.OnClaimAnswer(now, answer, lease, planner.TargetsOf(service)->Serving()));
//   Apply(order.OnDispatchReply(now, std::move(reply)));
//   Apply(order.OnRecordAnswer(now, error));
//   Apply(order.OnTimer(now));                    // until Finished()
//
// Contract: emits exactly one answer and at most one dispatch. The dispatch is emitted only for a
// granted claim, while the lease that was valid at the start has not lapsed, before the deadline.
// Events that do not fit the state change nothing. After the answer the order can go on to record
// its outcome; a router that stops earlier leaves an open claim, which ends in doubt.
//
// Ledger: a claim is identified by (router, router incarnation, claim_id). The ledger must apply a
// CompleteCommand only to the claim with the same three values. A repeated or delayed release could
// otherwise free a later claim of the same router while that one is being executed. Completions can
// therefore be repeated until their answer is known. Answers to a completion: none (recorded, now
// or before), kNotFound (no record of this request), other errors as in the table below.
//
// "Not run" is answered only if the request was refused before a claim could be committed, or if
// the claim was granted, its dispatch provably not executed, and the release is committed.
//
//   state at the deadline, or when the ledger's answer stays unknown    answer
//   claim sent, or release of a claim whose answer was lost             kUnavailable, not_run false
//   dispatched                                                          kInDoubt
//   recording that it was not run                                       kUnknownOutcome
//   recording any other outcome                                         kInDoubt
//
//   answer to a completion                                              effect
//   recorded                                                            the outcome is answered
//   kNotFound, release of a granted claim                               as recorded: it was
//   released kNotFound, release of a claim whose answer was lost                 repeated: the
//   claim may come kUnavailable, kNotLeader, or lost                                   repeated
//   another error: the ledger has another outcome                       kInDoubt
#ifndef PERIDOTGAUGE_ORDER_H_
#define PERIDOTGAUGE_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "error.h"
#include "peer_generated.h"
#include "search_policy.h"
#include "types.h"

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
  kReleasing,   // the claim's answer was lost; it is being released
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
  uint64_t claim_id = 0;  // unique among the orders of this router incarnation
  Time deadline;
};

// The router adds its id and incarnation to both commands.
struct ClaimCommand {
  std::string request_id;
  std::string service;
  uint64_t body_digest = 0;
  int64_t issued_at_ms = 0;
  uint64_t claim_id = 0;
};

struct CompleteCommand {
  std::string request_id;
  uint64_t claim_id = 0;
  wire::Outcome outcome = wire::Outcome::InDoubt;
  uint16_t status = 0;
  std::string body;
};

struct OrderDispatch {
  const TargetRecord* target = nullptr;  // one of the candidates of OnClaimAnswer()
  uint32_t attempt = kOrderAttempt;
};

// The ledger's answer to the claim. `state` counts only without an error.
struct ClaimAnswer {
  std::optional<Error> error;
  wire::ClaimState state = wire::ClaimState::InDoubt;
  wire::Outcome outcome = wire::Outcome::InDoubt;  // in state Recorded
  std::string body;                                // in state Recorded
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
  std::optional<ClaimCommand> claim;
  std::optional<OrderDispatch> dispatch;
  std::optional<CompleteCommand> complete;
  std::optional<OrderOutcome> answer;
  std::optional<Time> timer;
};

class Order {
 public:
  // `chooser` outlives the order.
  Order(OrderParams params, ReplicaChooser& chooser);

  OrderEffects Start(Time now, OrderLease lease);
  // `candidates` are the serving targets of the service at present.
  OrderEffects OnClaimAnswer(Time now, ClaimAnswer answer, OrderLease lease, Candidates candidates);
  OrderEffects OnDispatchReply(Time now, DispatchReply reply);
  OrderEffects OnRecordAnswer(Time now, const std::optional<Error>& error);
  OrderEffects OnTimer(Time now);

  OrderState State() const { return this->state; }
  // True if no event can have an effect any more.
  bool Finished() const { return this->state >= OrderState::kDone; }
  bool Answered() const { return this->answered; }

 private:
  void OnGranted(Time now, OrderLease lease, Candidates candidates, OrderEffects& effects);
  void OnRecorded(ClaimAnswer answer, OrderEffects& effects);
  void ReleaseUnknownClaim(OrderEffects& effects);
  void Record(wire::Outcome outcome, OrderOutcome answer, OrderEffects& effects);
  void RecordNotRun(Error error, OrderEffects& effects);
  void RecordInDoubt(std::string detail, OrderEffects& effects);
  void SendRecord(OrderEffects& effects);
  void OnRecordConfirmed(OrderEffects& effects);
  void Answer(OrderOutcome answer, OrderEffects& effects);
  void End(OrderState final_state, OrderOutcome answer, OrderEffects& effects);
  OrderOutcome UnconfirmedAnswer() const;
  void AfterEvent(Time now, OrderEffects& effects);
  std::optional<Time> NextTimer() const;

  OrderParams params;
  ReplicaChooser& chooser;
  OrderState state = OrderState::kReceived;
  OrderLease lease;  // at the start
  bool answered = false;
  // In kRecording and kReleasing: what is recorded, and the answer when that is confirmed.
  CompleteCommand record;
  OrderOutcome pending;
  uint32_t record_attempts = 0;
  std::optional<Time> record_again;  // set while a completion waits to be repeated
  std::optional<Time> timer;         // last one emitted
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_ORDER_H_
