// Admission of searches.
#include "admission.h"

namespace peridotgauge {

Result<void> Admission::Admit(Time now, std::string_view service, Time deadline) {
  if (this->in_progress >= kMaxSearches) {
    return Fail(ErrorCode::kOverloaded, "too many searches are in progress");
  }
  if (deadline <= now) return Fail(ErrorCode::kOverloaded, "the deadline has passed");
  const std::optional<Duration> estimate = this->Estimate(now, service);
  auto known = this->services.find(service);
  if (estimate && now + *estimate > deadline) {
    ServiceState& state = known->second;
    const bool probe =
        !state.last_admitted || now - *state.last_admitted >= kAdmissionProbeInterval;
    if (!probe) {
      return Fail(ErrorCode::kOverloaded, "the deadline cannot be met: recent answers took " +
                                              std::to_string(estimate->count()) + " us");
    }
  }
  if (known != this->services.end()) known->second.last_admitted = now;
  ++this->in_progress;
  return {};
}

void Admission::OnFinished(Time now, std::string_view service, Duration latency, bool complete) {
  --this->in_progress;
  if (!this->estimate || !complete) return;
  auto known = this->services.find(service);
  if (known == this->services.end()) {
    if (this->services.size() >= kMaxEstimates) return;
    known = this->services.emplace(std::string(service), ServiceState{}).first;
  }
  known->second.latency.Add(now, latency);
}

std::optional<Duration> Admission::Estimate(Time now, std::string_view service) {
  if (!this->estimate) return std::nullopt;
  auto known = this->services.find(service);
  if (known == this->services.end()) return std::nullopt;
  return known->second.latency.Quantile(now, kAdmissionQuantile);
}

}  // namespace peridotgauge
