// The replicated state of the controllers: configuration history, ledger, router list, quarantine.
//
// Use:
//   ControlState state;
//   auto replica = Replica::Open(io, options, state);
//   std::string command = ControlState::Encode(now_ms, body);          // proposed by the leader
//   Result<wire::CommandReplyT> reply = ControlState::DecodeReply(applied.result);
//
// Contract: Apply uses nothing but the command and earlier state; its only clock is
// Command.now_ms, and an earlier time than the last one counts as the last one. Version() is the
// log index of the last change that routers have to learn of (configuration, router list,
// quarantine); ledger commands do not change it.
#ifndef PERIDOTGAUGE_STATE_CONTROL_STATE_H_
#define PERIDOTGAUGE_STATE_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "peer_generated.h"
#include "state/ledger.h"
#include "state/router_list.h"
#include "state/state_machine.h"

namespace peridotgauge {

// Limits of the state, apart from the ledger's.
constexpr size_t kMaxRouters = 1'024;
constexpr size_t kMaxQuarantined = 1'000;
constexpr int64_t kMaxQuarantineMs = 3'600'000;
// Texts and authors are kept for this many recent revisions and up to this total size; digests are
// kept for all.
constexpr size_t kMaxRevisionDetails = 1'000;
constexpr size_t kMaxDetailBytes = 16 << 20;

// A digest as operators see it: 16 hexadecimal digits.
std::string DigestText(uint64_t digest);

// One accepted revision. The first has number 1.
struct AcceptedRevision {
  uint64_t digest = 0;
  uint64_t index = 0;  // log index at which it was accepted
  auto operator<=>(const AcceptedRevision&) const = default;
};

// What is kept for recent revisions only.
struct RevisionDetail {
  uint64_t revision = 0;
  std::string author;
  int64_t accepted_at_ms = 0;  // Unix time
  std::string text;
  bool operator==(const RevisionDetail&) const = default;
};

class ControlState : public StateMachine {
 public:
  explicit ControlState(LedgerLimits limits = {}) : limits(limits), ledger(limits) {}

  // Encodes a command for the log. The log time is `now_ms`, in Unix time.
  static std::string Encode(int64_t now_ms, wire::CommandBodyUnion body);
  // Decodes the result of Apply. kBadRequest if it is malformed.
  static Result<wire::CommandReplyT> DecodeReply(const std::string& result);

  // Applies an encoded command and returns an encoded CommandReply.
  std::string Apply(uint64_t index, const std::string& command) override;
  std::string Snapshot() const override;
  // Replaces the state; on kCorrupt the state is unchanged.
  Result<void> Restore(uint64_t index, const std::string& snapshot) override;

  // Called after Apply or Restore has changed Version().
  void SetObserver(std::function<void()> callback) { this->observer = std::move(callback); }

  uint64_t Version() const { return this->version; }
  uint64_t ConfigIndex() const { return this->config_index; }
  uint64_t ViewIndex() const { return this->view_index; }
  // Largest log time so far, in Unix time.
  int64_t LogTime() const { return this->log_time; }

  // Number of the current revision; 0 before the first.
  uint64_t Revision() const {
    return this->document ? this->document->revision : this->revisions.size();
  }
  // Text of the current revision; empty before the first.
  const std::string& ConfigText() const;
  // Return nullptr for an unknown revision, or one whose details are no longer kept.
  const AcceptedRevision* FindRevision(uint64_t revision) const;
  const RevisionDetail* FindDetail(uint64_t revision) const;
  const std::deque<RevisionDetail>& Details() const { return this->details; }

  // The router list, by id.
  const RouterMap& Routers() const { return this->routers; }
  // Changes of the list; those before the last Restore() are not known.
  const RouterChanges& RecentRouterChanges() const { return this->router_changes; }
  // True if this incarnation of the router is in the list.
  bool IsMember(const std::string& id, uint64_t incarnation) const;
  // Blocked fingerprints and the Unix times until which they are blocked.
  const std::map<uint64_t, int64_t>& Quarantined() const { return this->quarantine; }
  const Ledger& Requests() const { return this->ledger; }

  bool operator==(const ControlState& other) const;

 private:
  struct Context {
    uint64_t index;
    int64_t now_ms;
  };
  wire::CommandReplyT Dispatch(const Context& at, const wire::CommandBodyUnion& body);
  wire::CommandReplyT ApplyConfig(const Context& at, const wire::ApplyConfigT& command);
  wire::CommandReplyT ApplyHighest(const Context& at, const wire::ApplyConfigT& command);
  wire::CommandReplyT ApplyClaim(const Context& at, const wire::ClaimT& command);
  wire::CommandReplyT ApplyComplete(const Context& at, const wire::CompleteT& command);
  wire::CommandReplyT ApplyJoin(const Context& at, const wire::JoinT& command);
  wire::CommandReplyT ApplyLeave(const Context& at, const wire::LeaveT& command);
  wire::CommandReplyT ApplyQuarantine(const Context& at, const wire::QuarantineT& command);
  void AcceptRevision(const Context& at, const wire::ApplyConfigT& command);
  void ChangeView(const Context& at, const std::string& router);
  bool DetailsMatchRevisions() const;

  LedgerLimits limits;
  int64_t log_time = 0;
  uint64_t version = 0;
  uint64_t config_index = 0;  // log index of the last accepted revision
  uint64_t view_index = 0;    // log index of the last change of `routers`
  // Element i is revision i + 1. All are kept, so that a resend of any accepted text is recognised.
  std::vector<AcceptedRevision> revisions;
  std::deque<RevisionDetail>
      details;              // the newest revisions, in order; never empty once one exists
  size_t detail_bytes = 0;  // sum of the text sizes of `details`
  // The configuration in effect where the highest revision counts. Not set together with the
  // revisions above.
  std::optional<RevisionDetail> document;
  uint64_t document_digest = 0;
  Ledger ledger;
  RouterMap routers;
  RouterChanges router_changes;  // not part of the state
  std::map<uint64_t, int64_t> quarantine;
  std::function<void()> observer;  // not part of the state
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_CONTROL_STATE_H_
