// The replicated state of the controllers: configuration history, ledger, router list, quarantine,
// departures of targets, evacuated data centres.
//
// Use:
//   ControlState state;
//   auto replica = Replica::Open(io, options, state);
//   std::string command = ControlState::Encode(now_ms, body);          // proposed by the leader
//   Result<wire::CommandReplyT> reply = ControlState::DecodeReply(applied.result);
//
// Contract: Apply() depends only on the command and earlier state. Its only clock is
// Command.now_ms, which is replaced by the previous command's time if it is earlier than that.
// Version() is the log index of the last change that is sent to routers (configuration, router
// list, quarantine, evacuated data centres); ledger commands and departures do not change it.
#ifndef PERIDOTGAUGE_STATE_CONTROL_STATE_H_
#define PERIDOTGAUGE_STATE_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "peer_generated.h"
#include "state/crash_table.h"
#include "state/departures.h"
#include "state/ledger.h"
#include "state/router_list.h"
#include "state/state_machine.h"

namespace peridotgauge {

// Limits of the state, except for those of the ledger.
constexpr size_t kMaxRouters = 1'024;
constexpr size_t kMaxQuarantined = 1'000;
constexpr int64_t kMaxQuarantineMs = 3'600'000;
constexpr size_t kMaxEvacuated = 64;
// Details (text, author, time) are stored for this many recent revisions and up to this total size;
// digests are stored for all revisions.
constexpr size_t kMaxRevisionDetails = 1'000;
constexpr size_t kMaxDetailBytes = 16 << 20;

// One accepted revision. Revisions are numbered from 1.
struct AcceptedRevision {
  uint64_t digest = 0;
  uint64_t index = 0;  // log index at which it was accepted
  auto operator<=>(const AcceptedRevision&) const = default;
};

// The details of a revision; stored only for recent ones.
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

  // Encodes a command for the log. `now_ms` is the log time (Unix time).
  static std::string Encode(int64_t now_ms, wire::CommandBodyUnion body);
  // Decodes the result of Apply(). Returns kBadRequest if it is malformed.
  static Result<wire::CommandReplyT> DecodeReply(const std::string& result);

  // Applies an encoded command and returns an encoded CommandReply.
  std::string Apply(uint64_t index, const std::string& command) override;
  std::string Snapshot() const override;
  // Replaces the state. On kCorrupt the state is unchanged.
  Result<void> Restore(uint64_t index, const std::string& snapshot) override;

  // Sets a callback that runs after Apply() has changed Version() or DeparturesIndex(), and after
  // each successful Restore().
  void SetObserver(std::function<void()> callback) { this->observer = std::move(callback); }

  uint64_t Version() const { return this->version; }
  uint64_t ConfigIndex() const { return this->config_index; }
  uint64_t ViewIndex() const { return this->view_index; }
  // Returns the largest log time so far (Unix time).
  int64_t LogTime() const { return this->log_time; }

  // Returns the number of the current revision, or 0 if there is none.
  uint64_t Revision() const {
    return this->highest_config ? this->highest_config->revision : this->revisions.size();
  }
  // Returns the text of the current revision, or an empty string if there is none.
  const std::string& ConfigText() const;
  // Return nullptr for an unknown revision; FindDetail() also for one whose details are no longer
  // stored.
  const AcceptedRevision* FindRevision(uint64_t revision) const;
  const RevisionDetail* FindDetail(uint64_t revision) const;
  const std::deque<RevisionDetail>& Details() const { return this->details; }

  // Returns the router list, by id.
  const RouterMap& Routers() const { return this->routers; }
  // Returns the number of routers that are not draining.
  size_t ActiveRouters() const;
  // Returns the number of routers that callers are told about; 0: all.
  size_t OfferedRouterCount() const { return this->offered_routers; }
  // Returns the recent changes of the router list; changes before the last Restore() are not known.
  const RouterChangeLog& RecentRouterChanges() const { return this->router_changes; }
  // Returns true if this incarnation of the router is in the list.
  bool IsMember(const std::string& id, uint64_t incarnation) const;
  // Returns what routers learn of requests that crash targets.
  std::vector<QuarantineRecord> QuarantineList() const;
  // Returns the log index of the last change of QuarantineList(), or 0.
  uint64_t QuarantineIndex() const { return this->quarantine_index; }
  // Returns the fingerprints that routers have quarantined and the Unix times at which that ends.
  const std::map<uint64_t, int64_t>& Quarantined() const { return this->quarantine; }
  // Returns the data centres whose targets get no requests.
  const std::set<std::string>& Evacuated() const { return this->evacuated; }
  // Returns the log index of the last change of Evacuated(), or 0.
  uint64_t EvacuationsIndex() const { return this->evacuations_index; }
  const Ledger& RequestLedger() const { return this->ledger; }
  // Returns the targets that have said that they leave.
  const DepartureTable& Departures() const { return this->departures; }
  // Returns the log index of the last new departure since the last Restore(), or 0.
  uint64_t DeparturesIndex() const { return this->departures_index; }

  bool operator==(const ControlState& other) const;

 private:
  struct CommandContext {
    uint64_t index;
    int64_t now_ms;
  };
  wire::CommandReplyT Dispatch(const CommandContext& context, const wire::CommandBodyUnion& body);
  wire::CommandReplyT ApplyConfig(const CommandContext& context, const wire::ApplyConfigT& command);
  wire::CommandReplyT ApplyHighestRevision(const CommandContext& context,
                                           const wire::ApplyConfigT& command);
  wire::CommandReplyT ApplyClaim(const CommandContext& context, const wire::ClaimT& command);
  wire::CommandReplyT ApplyComplete(const CommandContext& context, const wire::CompleteT& command);
  wire::CommandReplyT ApplyJoin(const CommandContext& context, const wire::JoinT& command);
  wire::CommandReplyT ApplyLeave(const CommandContext& context, const wire::LeaveT& command);
  wire::CommandReplyT ApplyQuarantine(const CommandContext& context,
                                      const wire::QuarantineT& command);
  wire::CommandReplyT ApplyCrashes(const CommandContext& context,
                                   const wire::RecordCrashesT& command);
  wire::CommandReplyT ApplyBeginTrial(const CommandContext& context,
                                      const wire::BeginTrialT& command);
  wire::CommandReplyT ApplyEndTrial(const CommandContext& context, const wire::EndTrialT& command);
  void RecordQuarantineChange(const CommandContext& context, bool changed);
  wire::CommandReplyT ApplyEvacuation(const CommandContext& context,
                                      const wire::SetEvacuationT& command);
  wire::CommandReplyT ApplyOffer(const wire::OfferRoutersT& command);
  wire::CommandReplyT ApplyRecordDepartures(const CommandContext& context,
                                            const wire::RecordDeparturesT& command);
  void AcceptRevision(const CommandContext& context, const wire::ApplyConfigT& command);
  void RecordRouterChange(const CommandContext& context, const std::string& router);
  bool DetailsMatchRevisions() const;

  LedgerLimits limits;
  int64_t log_time = 0;
  uint64_t version = 0;
  uint64_t config_index = 0;  // log index of the last accepted revision
  uint64_t view_index = 0;    // log index of the last change of `routers`
  // Element i is revision i + 1. All are stored, so that a resend of any accepted text is
  // recognised.
  std::vector<AcceptedRevision> revisions;
  std::deque<RevisionDetail>
      details;              // the newest revisions, in order; not empty once a revision exists
  size_t detail_bytes = 0;  // sum of the text sizes of `details`
  // The current configuration if the highest revision is accepted; `revisions` is then empty.
  std::optional<RevisionDetail> highest_config;
  uint64_t highest_config_digest = 0;
  Ledger ledger;
  RouterMap routers;
  RouterChangeLog router_changes;          // not part of the state
  std::map<uint64_t, int64_t> quarantine;  // requests that routers have blocked themselves
  CrashTable crashes;
  uint64_t quarantine_index = 0;
  std::set<std::string> evacuated;
  uint64_t evacuations_index = 0;
  uint32_t offered_routers = 0;  // not covered by `version`: no router waits for it
  DepartureTable departures;
  uint64_t departures_index = 0;   // not part of the state
  std::function<void()> observer;  // not part of the state
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_CONTROL_STATE_H_
