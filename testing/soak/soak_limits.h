// Checks on the requests that reach the targets of a soak: limits that all routers keep together,
// and what targets may see of workspaces.
//
// Use:
//   SoakLimits limits(record);
//   limits.Reached(SteadyNow(), id, "z-b");               // at a target, for every request
//   limits.Run(SteadyNow(), request);                     // for each that is not refused
//   limits.SetEvacuated("z-b", SteadyNow());              // acknowledged; nothing: being withdrawn
//   for (const LateArrival& late : limits.LateArrivals()) ...
//
// Contract: functions may be called from any thread. The id of a request is
// WORKSPACE-ANYTHING-router-NUMBER, with the router that its caller has sent it to.
#ifndef PERIDOTGAUGE_TESTING_SOAK_SOAK_LIMITS_H_
#define PERIDOTGAUGE_TESTING_SOAK_SOAK_LIMITS_H_

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/http_message.h"
#include "core/types.h"
#include "testing/soak/soak_record.h"

namespace peridotgauge {

// Every key of the soak begins with this.
constexpr char kSoakKeyPrefix[] = "secret-";
// Callers on routes that need no key use this in place of the name of a workspace.
constexpr char kSoakPublic[] = "public";
// An evacuation is in force at all routers in contact this long after its acknowledgement.
constexpr Duration kSoakEvacuateTime = Seconds(5);

struct SoakWorkspace {
  std::string name;
  double rate_per_s = 0;  // 0: no limit
  double burst = 0;
};

// The workspaces with a fixed key. Their callers send more than the limits allow.
const std::vector<SoakWorkspace>& SoakWorkspaces();

// The requests that have arrived within the last `window`.
class ArrivalWindow {
 public:
  // Returns the number of arrivals in the window that ends with this one.
  size_t Add(Time at, Duration window) {
    while (!this->times.empty() && this->times.front() + window <= at) this->times.pop_front();
    this->times.push_back(at);
    return this->times.size();
  }
  void Clear() { this->times.clear(); }

 private:
  std::deque<Time> times;
};

// A request that reached a data centre after its evacuation had to be in force.
struct LateArrival {
  Time at;
  std::string id;
  std::string data_centre;
  size_t router = 0;
  Duration since_acknowledged{0};
};

class SoakLimits {
 public:
  // `record` outlives this object.
  explicit SoakLimits(SoakRecord& record) : record(record) {}

  // A request has reached a target, which runs it or not.
  void Reached(Time at, const std::string& id, const std::string& data_centre);
  // A target runs a request. Called after SoakRecord::Arrived().
  void Run(Time at, const HttpRequest& request);
  // `acknowledged`: when the evacuation was; nothing if it is not in force.
  void SetEvacuated(const std::string& data_centre, std::optional<Time> acknowledged);
  std::vector<LateArrival> LateArrivals();
  size_t ArrivalsIn(const std::string& data_centre);

 private:
  void CheckHeaders(const HttpRequest& request, const std::string& id);

  SoakRecord& record;
  std::mutex mutex;  // guards all below
  std::map<std::string, ArrivalWindow> by_workspace;
  std::map<std::string, Time> evacuated;
  std::map<std::string, size_t> arrivals_in;
  std::vector<LateArrival> late;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_SOAK_SOAK_LIMITS_H_
