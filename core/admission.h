// Admission control of searches: limits their number and refuses those that would miss their
// deadline.
//
// Use:
//   if (Result<void> admitted = admission.Admit(now, "verstas-1", deadline); !admitted) Refuse();
//   ...
//   admission.OnFinished(now, "verstas-1", latency, outcome.Complete());
//
// Contract: InProgress() <= kMaxSearches. Every successful Admit() is followed by one OnFinished().
// A refusal is kOverloaded and means that nothing was sent. A request is refused because of its
// deadline only if recent complete answers of the service took longer. Partial answers are not
// counted, because a missing shard delays them until their deadline. One request in each
// kAdmissionProbeInterval is admitted regardless, to detect that a service has become faster.
#ifndef PERIDOTGAUGE_CORE_ADMISSION_H_
#define PERIDOTGAUGE_CORE_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/quantile_window.h"
#include "core/types.h"

namespace peridotgauge {

constexpr uint32_t kMaxSearches = 4'096;
// Nine out of ten recent complete answers took longer than this quantile.
constexpr double kAdmissionQuantile = 0.1;
constexpr Duration kAdmissionWindow = Seconds(5);
constexpr uint64_t kAdmissionMinSamples = 20;
constexpr Duration kAdmissionProbeInterval = Millis(500);
// Maximum number of services with an estimate. Requests of further services skip the deadline
// check.
constexpr size_t kMaxEstimates = 1'000;

class Admission {
 public:
  // If `estimate` is false the deadline is not checked; the limit on the number always applies.
  explicit Admission(bool estimate) : estimate(estimate) {}

  Result<void> Admit(Time now, std::string_view service, Time deadline);
  void OnFinished(Time now, std::string_view service, Duration latency, bool complete);

  uint32_t InProgress() const { return this->in_progress; }
  // Returns the shortest time in which an answer is expected, or nullopt if it is not known.
  std::optional<Duration> Estimate(Time now, std::string_view service);

 private:
  struct ServiceState {
    QuantileWindow latency{kAdmissionWindow, kAdmissionMinSamples};
    std::optional<Time> last_admitted;
  };

  bool estimate;
  uint32_t in_progress = 0;
  std::map<std::string, ServiceState, std::less<>> services;  // at most kMaxEstimates
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ADMISSION_H_
