// Open-loop load generator: sends searches and orders at a fixed rate, independently of the
// answers, and measures latency, coverage, extra load and errors.
//
// Use:
//   LoadGenerator load(io, options);
//   load.Start([] { ... });                    // called after the last request
//   std::cout << load.Report().Table();
//
// Contract: arrivals are a Poisson process with a fixed seed. Latency is measured from the
// scheduled arrival, which avoids coordinated omission: a slow system does not delay the requests
// that measure it. Router addresses come from GET /v1/routers and are cached for their ttl. A
// request that is known not to have run is sent again to another router. An order is also sent
// again, with the same id, if its outcome is unknown. Requests refused because of overload are not
// sent again.
#ifndef PERIDOTGAUGE_BENCH_LOADGEN_H_
#define PERIDOTGAUGE_BENCH_LOADGEN_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/load_report.h"
#include "core/types.h"

namespace peridotgauge {

struct LoadOptions {
  std::vector<Address> addresses;            // routers that are asked for GET /v1/routers
  std::vector<std::string> search_services;  // each search picks one at random
  double search_rate = 0;                    // per second
  std::vector<std::string> order_services;
  double order_rate = 0;            // per second
  Duration warm_up = Seconds(1);    // requests of this time are sent but not measured
  Duration duration = Seconds(10);  // measured time after the warm-up
  Duration deadline = Duration(0);  // of each request; 0 uses the deadline of the service
  Duration timeout = Seconds(2);    // of one attempt, applied by the caller
  uint32_t max_attempts = 3;        // including the first one
  size_t connections = 256;         // per router
  uint64_t distinct_queries = 100;
  uint64_t seed = 1;
};

class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& io, LoadOptions options);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Starts the load. Calls `done` once, after the last request has finished.
  void Start(std::function<void()> done);
  const LoadReport& Report() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_LOADGEN_H_
