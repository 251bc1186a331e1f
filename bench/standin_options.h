// Configuration of the stand-in targets that one process hosts.
//
// Use:
//   Result<StandinDeployment> deployment = ParseStandinDeployment(text);
//
// The text is JSON:
//   {"routers": ["127.0.0.1:7001"],
//    "groups": [{"service": "spoons", "targets": 8, "shards": 4, "data_centres": ["tre-a"],
//                "first_port": 9001, "slots": 5, "connections": 40, "connect_ms": 6,
//                "median_ms": 5, "sigma": 0.4, "heavy_percent": 1, "heavy_factor": 10,
//                "snapshots": [1], "services": 1}]}
// Target i of a group holds shard i modulo `shards` and is in data centre i modulo their number.
// If `services` is above 1, the group is repeated as "<service>-1", "<service>-2" and so on.
// Without `first_port` each target binds any free port.
#ifndef PERIDOTGAUGE_BENCH_STANDIN_OPTIONS_H_
#define PERIDOTGAUGE_BENCH_STANDIN_OPTIONS_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// Distribution of service times: lognormal, with `heavy_percent` percent of the requests taking
// `heavy_factor` times as long.
struct LatencyModel {
  Duration median = Millis(5);
  double sigma = 0.4;  // standard deviation of the logarithm
  double heavy_percent = 0;
  double heavy_factor = 10;

  // Returns a random service time, at most 10 minutes.
  Duration Sample(std::mt19937_64& random) const;
};

struct StandinOptions {
  TargetRecord record;                  // identity, limits and holdings; port 0 binds any free port
  Duration connect_cost = Duration(0);  // minimum time from accept to a reply
  LatencyModel latency;
};

struct StandinDeployment {
  std::vector<Address> routers;
  std::vector<StandinOptions> targets;
};

// Returns the deployment described by the JSON text. kBadRequest names the invalid member.
Result<StandinDeployment> ParseStandinDeployment(std::string_view text);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_OPTIONS_H_
