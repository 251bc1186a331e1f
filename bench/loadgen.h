// An open-loop caller: sends searches and orders at a fixed rate, whatever the answers do, and
// measures latency, coverage, extra load and errors.
//
// Use:
//   LoadGenerator load(io, options);
//   load.Start([] { ... });                    // called when the last answer is in
//   std::cout << load.Report().Table();
//
// Contract: arrivals are a Poisson process with a fixed seed. Latency runs from the scheduled
// arrival, so that a slow system cannot slow its own measurement. The addresses come from
// GET /v1/routers and are kept for their ttl. A request that certainly did not run is sent again to
// another address; an order is also sent again, with the same id, when its outcome is unknown.
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
  std::vector<Address> addresses;            // where to ask for /v1/routers
  std::vector<std::string> search_services;  // each search goes to a random one
  double search_rate = 0;                    // per second
  std::vector<std::string> order_services;
  double order_rate = 0;
  Duration warm_up = Seconds(1);    // sent, but not measured
  Duration length = Seconds(10);    // measured, after the warm-up
  Duration deadline = Duration(0);  // 0: that of the service
  Duration timeout = Seconds(2);    // for one attempt, as the caller sees it
  uint32_t attempts = 3;            // in total, for a request that may be sent again
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

  // Calls back once, when all requests have ended.
  void Start(std::function<void()> done);
  const LoadReport& Report() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_LOADGEN_H_
