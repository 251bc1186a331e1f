// Table of signals, and the choice among targets that accept requests.
#include "core/target_signals.h"

#include <algorithm>
#include <iterator>

namespace peridotgauge {

TargetSignals::Signal* TargetSignals::SignalOf(Time now, const TargetRecord& target) {
  Signal& signal = this->signals[target.target];
  if (signal.incarnation > target.incarnation) return nullptr;
  if (signal.incarnation < target.incarnation) signal = {.incarnation = target.incarnation};
  signal.given = now;
  return &signal;
}

const TargetSignals::Signal* TargetSignals::Find(const TargetRecord& target) const {
  const auto found = this->signals.find(target.target);
  const bool known =
      found != this->signals.end() && found->second.incarnation == target.incarnation;
  return known ? &found->second : nullptr;
}

void TargetSignals::OnPause(Time now, const TargetRecord& target, Duration pause) {
  Signal* signal = this->SignalOf(now, target);
  if (signal == nullptr) return;
  signal->paused_until = std::max(signal->paused_until, now + std::min(pause, kMaxPause));
}

void TargetSignals::OnLeaving(Time now, const TargetRecord& target) {
  if (Signal* signal = this->SignalOf(now, target)) signal->leaving = true;
}

void TargetSignals::OnDirectory(Time now, const TargetRecord& target) {
  if (target.state == TargetState::kGone) {
    this->data_centres.erase(target.target);
  } else {
    this->data_centres[target.target] = target.data_centre;
  }
  const bool departed =
      target.state == TargetState::kDraining || target.state == TargetState::kGone;
  if (!departed && this->Find(target) == nullptr) return;
  if (Signal* signal = this->SignalOf(now, target)) signal->departed = departed;
}

void TargetSignals::Expire(Time now) {
  std::erase_if(this->signals,
                [&](const auto& item) { return now >= item.second.given + kForgetSignalAfter; });
}

bool TargetSignals::IsEvacuated(const TargetRecord& target) const {
  const auto listed = [&](const std::string& data_centre) {
    return std::find(this->evacuated.begin(), this->evacuated.end(), data_centre) !=
           this->evacuated.end();
  };
  if (this->evacuated.empty()) return false;
  if (listed(target.data_centre)) return true;
  const auto newest = this->data_centres.find(target.target);
  return newest != this->data_centres.end() && listed(newest->second);
}

bool TargetSignals::Accepts(Time now, const TargetRecord& target) const {
  if (this->IsEvacuated(target)) return false;
  const Signal* signal = this->Find(target);
  return signal == nullptr ||
         (!signal->leaving && !signal->departed && now >= signal->paused_until);
}

SignalStatus TargetSignals::StatusOf(Time now, const TargetRecord& target) const {
  SignalStatus status{.evacuated = this->IsEvacuated(target)};
  const Signal* signal = this->Find(target);
  if (signal == nullptr) return status;
  status.leaving = signal->leaving;
  status.departed = signal->departed;
  if (now < signal->paused_until) status.paused_for = signal->paused_until - now;
  return status;
}

std::optional<Time> TargetSignals::AcceptsAgain(Time now, Candidates targets) const {
  std::optional<Time> first;
  for (const TargetRecord* target : targets) {
    if (this->IsEvacuated(*target)) continue;
    const Signal* signal = this->Find(*target);
    if (signal != nullptr && (signal->leaving || signal->departed)) continue;
    if (signal == nullptr || now >= signal->paused_until) return std::nullopt;
    first = std::min(first.value_or(Time::max()), signal->paused_until);
  }
  return first;
}

const TargetRecord* SignalChooser::Choose(Time now, Candidates candidates, Candidates excluded) {
  if (this->signals.Empty()) return this->chooser.Choose(now, candidates, excluded);
  this->accepting.clear();
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(this->accepting),
      [&](const TargetRecord* target) { return (this->signals.*this->condition)(now, *target); });
  if (this->accepting.empty()) return nullptr;
  return this->chooser.Choose(now, this->accepting, excluded);
}

}  // namespace peridotgauge
