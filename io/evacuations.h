// The router's part of an evacuation: requests that are placed already leave the evacuated data
// centres.
//
// Use:
//   Evacuations evacuations({pool, signals, metrics, log});
//   evacuations.OnChange(now, control.Evacuated(), known_targets);
//
// Contract: runs on the thread of the io_context. Requests that wait for a connection to a target
// in an evacuated data centre fail as not run, so that they are placed anew. Those that wait for
// other targets go on waiting, also if these drain or pause: the router has decided on them when it
// learned of that.
#ifndef PERIDOTGAUGE_IO_EVACUATIONS_H_
#define PERIDOTGAUGE_IO_EVACUATIONS_H_

#include <map>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/records.h"
#include "core/target_signals.h"
#include "core/types.h"
#include "io/event_log.h"
#include "io/target_pool.h"

namespace peridotgauge {

class Evacuations {
 public:
  // All outlive this object.
  struct Context {
    TargetPool& pool;
    TargetSignals& signals;
    Metrics& metrics;
    EventLog& log;
  };
  explicit Evacuations(Context context) : context(context) {}

  // Takes the new list of evacuated data centres. `targets`: those of the directory.
  void OnChange(Time now, const std::vector<std::string>& data_centres,
                const std::map<std::string, TargetRecord>& targets);

 private:
  Context context;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_EVACUATIONS_H_
