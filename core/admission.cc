// Admission control of searches.
#include "core/admission.h"

namespace peridotgauge {

Result<void> Admission::Admit(Time now, std::string_view service, Time deadline) {
  if (this->in_progress >= kMaxSearches) {
    return Fail(ErrorCode::kOverloaded,
                "this router has " + std::to_string(kMaxSearches) + " searches in progress");
  }
  if (now >= deadline) return Fail(ErrorCode::kOverloaded, "the deadline passed before admission");
  const std::optional<Duration> expected = this->Estimate(now, service);
  const auto state = this->services.find(service);
  if (expected && now + *expected > deadline && state->second.last_admitted &&
      now - *state->second.last_admitted < kAdmissionProbeInterval) {
    return Fail(ErrorCode::kOverloaded, "answers take at least " +
                                            std::to_string(WholeMillis(*expected)) +
                                            " ms, more than the time left until the deadline");
  }
  if (state != this->services.end()) state->second.last_admitted = now;
  ++this->in_progress;
  return {};
}

void Admission::OnFinished(Time now, std::string_view service, Duration latency, bool complete) {
  if (this->in_progress > 0) --this->in_progress;
  if (!this->estimate || !complete) return;
  auto found = this->services.find(service);
  if (found == this->services.end()) {
    if (this->services.size() >= kMaxEstimates) return;
    found = this->services.try_emplace(std::string(service)).first;
  }
  found->second.latency.Add(now, latency);
}

std::optional<Duration> Admission::Estimate(Time now, std::string_view service) {
  const auto found = this->services.find(service);
  if (!this->estimate || found == this->services.end()) return std::nullopt;
  return found->second.latency.Quantile(now, kAdmissionQuantile);
}

}  // namespace peridotgauge
