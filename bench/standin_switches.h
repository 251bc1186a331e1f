// Runtime switches of a stand-in target, which inject faults and change its behaviour. See
// standin_target.h for their meaning.
//
// Use:
//   Result<SwitchUpdate> update = ParseSwitches(body, switches, latency);
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

// Switches that stay in effect until they are changed.
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

// The effect of one POST /standin: the new values of the switches and the latency model, and the
// actions to perform once.
struct SwitchUpdate {
  StandinSwitches switches;
  LatencyModel latency;
  bool crash = false;
  std::optional<Duration> cold_start;
  std::optional<std::vector<uint64_t>> snapshots;
  std::optional<std::vector<Holding>> holds;
};

// Parses the JSON body of POST /standin. Members that are absent keep the values passed in.
// kBadRequest names the invalid member.
Result<SwitchUpdate> ParseSwitches(std::string_view text, const StandinSwitches& switches,
                                   const LatencyModel& latency);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_SWITCHES_H_
