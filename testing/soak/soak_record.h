// What a soak has seen: violations, counts, and which requests have reached targets.
#ifndef PERIDOTGAUGE_TESTING_SOAK_SOAK_RECORD_H_
#define PERIDOTGAUGE_TESTING_SOAK_SOAK_RECORD_H_

#include <algorithm>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/types.h"

namespace peridotgauge {

// Time from the arrival of a request that crashes its target to the crash.
constexpr Duration kSoakCrashTime = Millis(20);
// A request may be sent kSoakLateSends times later than this after it has crashed the third target.
constexpr Duration kSoakContactTime = Seconds(4);
constexpr size_t kSoakLateSends = 3;

// What was seen, with the times at which requests reached targets.
class SoakRecord {
 public:
  void Violation(const std::string& kind, const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->violations[kind];
    if (this->violations[kind] <= 5) std::cout << kind << ": " << text << "\n" << std::flush;
  }
  void Count(const std::string& what) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counts[what];
  }
  void Arrived(const std::string& id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->arrivals[id];
  }
  // A request whose path says that it crashes its targets has reached one.
  void CrashArrived(const std::string& path, Time at) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->crash_arrivals[path].push_back(at);
  }
  // Returns how many of these came later than kContactTime after the third had crashed its target.
  size_t LateCrashArrivals(const std::string& path) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::vector<Time>& times = this->crash_arrivals[path];
    if (times.size() < 3) return 0;
    const Time from = times[2] + kSoakCrashTime + kSoakContactTime;
    return static_cast<size_t>(
        std::count_if(times.begin(), times.end(), [&](Time at) { return at > from; }));
  }
  size_t CrashArrivals(const std::string& path) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->crash_arrivals[path].size();
  }
  int Arrivals(const std::string& id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->arrivals.find(id);
    return found == this->arrivals.end() ? 0 : found->second;
  }
  // Prints the counts. Returns true if there was no violation.
  bool Report() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [what, count] : this->counts) std::cout << what << " " << count << "\n";
    for (const auto& [kind, count] : this->violations) {
      std::cout << "VIOLATION " << kind << " " << count << "\n";
    }
    return this->violations.empty();
  }

 private:
  std::mutex mutex;
  std::map<std::string, int> violations;
  std::map<std::string, int> counts;
  std::map<std::string, int> arrivals;
  std::map<std::string, std::vector<Time>> crash_arrivals;  // by path
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_SOAK_SOAK_RECORD_H_
