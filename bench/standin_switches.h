// The switches of a stand-in target, as StandinTarget describes them.
//
// Use:
//   Result<SwitchRequest> request = ParseSwitches(body, switches);
#ifndef PERIDOTGAUGE_BENCH_STANDIN_SWITCHES_H_
#define PERIDOTGAUGE_BENCH_STANDIN_SWITCHES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bench/standin_options.h"
#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

// What stays until it is changed again.
struct StandinSwitches {
  double slow_factor = 1;
  bool shed = false;
  bool drain = false;
  bool gone = false;
  bool registering = true;
  std::string crash_text;
  Duration restart_time = Seconds(1);
  std::optional<double> load;
  double cold_factor = 5;
  uint64_t close_without_reply = 0;
  uint64_t wrong_echo = 0;
};

// One request: the new switches, and what happens once.
struct SwitchRequest {
  StandinSwitches switches;
  LatencyModel latency;
  bool crash = false;
  std::optional<Duration> cold_start;
  std::optional<std::vector<uint64_t>> snapshots;
  std::optional<std::vector<Holding>> holds;
};

// Members that the text does not name keep the given values. kBadRequest names a wrong member.
Result<SwitchRequest> ParseSwitches(std::string_view text, const StandinSwitches& switches,
                                    const LatencyModel& latency);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_SWITCHES_H_
