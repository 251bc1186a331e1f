// Which targets get no requests: those that have asked for none in their answers or through the
// directory, for some time or because they leave, and those in evacuated data centres.
//
// Use:
//   signals.OnPause(now, record, Seconds(2));   // the target has refused a request for so long
//   signals.OnLeaving(now, record);             // it has said so in an answer
//   signals.OnDirectory(now, record);           // on every change of its record
//   signals.SetEvacuated({"dc-b"});             // the operators evacuate a data centre
//   if (signals.Accepts(now, record)) ...
//   SignalChooser chooser(replica_choice, signals);   // chooses among targets that accept requests
//
// Contract: a signal belongs to the incarnation of a target that gave it; a new incarnation is not
// bound by it. What a target says in an answer outlives changes of the directory, so that no late
// registration brings back a target that leaves. What the directory says counts for requests whose
// plan is older, its data centre included: a target is evacuated with the data centre of its record
// and with that of its newest one. Evacuated data centres are kept until the list is set again. A
// pause is at most
// kMaxPause. Signals are forgotten after kForgetSignalAfter.
#ifndef PERIDOTGAUGE_CORE_TARGET_SIGNALS_H_
#define PERIDOTGAUGE_CORE_TARGET_SIGNALS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/records.h"
#include "core/search_policy.h"
#include "core/types.h"

namespace peridotgauge {

constexpr Duration kMaxPause = Seconds(300);
constexpr Duration kForgetSignalAfter = Seconds(600);

// Why a target gets no requests.
struct SignalStatus {
  bool evacuated = false;
  bool leaving = false;   // it has said so in an answer
  bool departed = false;  // according to the directory
  std::optional<Duration> paused_for;
  bool operator==(const SignalStatus&) const = default;
};

class TargetSignals {
 public:
  // The target wants no requests for `pause`, or for kMaxPause if that is shorter.
  void OnPause(Time now, const TargetRecord& target, Duration pause);
  void OnLeaving(Time now, const TargetRecord& target);
  void OnDirectory(Time now, const TargetRecord& target);
  // Sets the data centres whose targets get no requests.
  void SetEvacuated(std::vector<std::string> data_centres) {
    this->evacuated = std::move(data_centres);
  }
  // Forgets old signals.
  void Expire(Time now);

  // Returns true if all targets accept requests.
  bool Empty() const { return this->signals.empty() && this->evacuated.empty(); }
  bool Accepts(Time now, const TargetRecord& target) const;
  // Returns true if the target's data centre is evacuated, whatever else the target has signalled.
  bool IsEvacuated(const TargetRecord& target) const;
  // The opposite, as a condition of SignalChooser.
  bool IsNotEvacuated(Time /*now*/, const TargetRecord& target) const {
    return !this->IsEvacuated(target);
  }
  SignalStatus StatusOf(Time now, const TargetRecord& target) const;
  // Returns when the first of the targets accepts requests again, or nothing if one does or none
  // will.
  std::optional<Time> AcceptsAgain(Time now, Candidates targets) const;

 private:
  struct Signal {
    uint64_t incarnation = 0;
    Time paused_until;
    bool leaving = false;   // it has said so in an answer
    bool departed = false;  // according to the directory
    Time given;
  };
  // Returns the signal of this incarnation, which is added if there is none, or null if a later
  // incarnation has given one.
  Signal* SignalOf(Time now, const TargetRecord& target);
  // Returns null if this incarnation has given no signal.
  const Signal* Find(const TargetRecord& target) const;

  std::unordered_map<std::string, Signal> signals;  // by target
  std::vector<std::string> evacuated;               // data centres
  // The data centres of the targets in the directory, by target.
  std::unordered_map<std::string, std::string> data_centres;
};

// Leaves out the targets that do not accept requests, or do not meet another condition.
class SignalChooser : public ReplicaChooser {
 public:
  using Condition = bool (TargetSignals::*)(Time, const TargetRecord&) const;
  // Both outlive this object.
  SignalChooser(ReplicaChooser& chooser, const TargetSignals& signals,
                Condition condition = &TargetSignals::Accepts)
      : chooser(chooser), signals(signals), condition(condition) {}

  const TargetRecord* Choose(Time now, Candidates candidates, Candidates excluded) override;

 private:
  ReplicaChooser& chooser;
  const TargetSignals& signals;
  Condition condition;
  std::vector<const TargetRecord*> accepting;  // scratch space of Choose()
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_TARGET_SIGNALS_H_
