// Measurements of a load run, as a table and as JSON.
//
// Use:
//   report.searches.latency.Add(latency);
//   ++report.searches.errors["overloaded"];
//   std::cout << report.Table();
//
// Contract: a quantile is the upper edge of its bin in a histogram with logarithmic bins, so it is
// too high by at most about 2%.
#ifndef PERIDOTGAUGE_BENCH_LOAD_REPORT_H_
#define PERIDOTGAUGE_BENCH_LOAD_REPORT_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "core/types.h"

namespace peridotgauge {

class LoadLatencyHistogram {
 public:
  LoadLatencyHistogram();

  void Add(Duration latency);
  uint64_t Count() const { return this->count; }
  // Returns a quantile in milliseconds, or 0 if the histogram is empty. `quantile` is in [0, 1].
  double Quantile(double quantile) const;
  // Returns the exact maximum in milliseconds.
  double MaxMillis() const { return ToMillis(this->max); }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> bins;
  uint64_t count = 0;
  Duration max = Duration(0);
};

// Counts of the searches or of the orders.
struct RequestCounts {
  uint64_t offered = 0;                    // scheduled arrivals after the warm-up
  uint64_t answered = 0;                   // requests that got a result
  uint64_t failed = 0;                     // requests whose last attempt failed
  uint64_t sent = 0;                       // HTTP requests including resends
  std::map<std::string, uint64_t> errors;  // failed attempts by error name
  LoadLatencyHistogram latency;            // of the answered requests
};

struct LoadReport {
  RequestCounts searches;
  uint64_t complete = 0;  // answers that cover every shard
  uint64_t covered_shards = 0;
  uint64_t missing_shards = 0;
  std::map<std::string, uint64_t> missing_causes;
  uint64_t needed = 0;        // sub-requests that the answers needed, one per shard
  uint64_t sub_requests = 0;  // sub-requests that the system sent for them
  uint64_t hedges = 0;
  uint64_t retries = 0;
  uint64_t wrong_answers = 0;  // answers that contain a result of another request
  RequestCounts orders;
  uint64_t replayed = 0;                 // answers with the recorded outcome of an earlier attempt
  uint64_t repeated_orders = 0;          // answers that do not report exactly one execution
  std::vector<std::string> done_orders;  // request ids with the outcome "done"
  double seconds = 0;                    // measured time

  // Returns the report as text for a terminal.
  std::string Table() const;
  // Returns the JSON object that scripts read.
  std::string Json() const;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_LOAD_REPORT_H_
