// What a load run measured, as a table and as JSON.
//
// Use:
//   report.searches.latency.Add(latency);
//   ++report.searches.errors["overloaded"];
//   std::cout << report.Table();
//
// Contract: quantiles come from a Boost.Histogram with logarithmic bins and are the upper edge of
// their bin, so they are high by at most about 2%.
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

class LatencyRecord {
 public:
  LatencyRecord();

  void Add(Duration latency);
  uint64_t Count() const { return this->count; }
  // In milliseconds; 0 without any record. `share` is 0..1.
  double Quantile(double share) const;
  double MaxMillis() const { return ToMillis(this->max); }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> bins;
  uint64_t count = 0;
  Duration max = Duration(0);
};

// Counts of one kind of request.
struct LoadCounts {
  uint64_t offered = 0;                    // scheduled arrivals
  uint64_t answered = 0;                   // with a result
  uint64_t failed = 0;                     // ended with an error
  uint64_t sent = 0;                       // HTTP requests, resends included
  std::map<std::string, uint64_t> errors;  // by name, of every attempt
  LatencyRecord latency;                   // of the answered
};

struct LoadReport {
  LoadCounts searches;
  uint64_t complete = 0;  // answers that cover every shard
  uint64_t covered_shards = 0;
  uint64_t missing_shards = 0;
  std::map<std::string, uint64_t> missing_causes;
  uint64_t needed = 0;        // sub-requests that the answers needed
  uint64_t sub_requests = 0;  // sub-requests that the system sent for them
  uint64_t hedges = 0;
  uint64_t retries = 0;
  uint64_t wrong_answers = 0;  // with a result that belongs to another request
  LoadCounts orders;
  uint64_t replayed = 0;
  uint64_t repeated_orders = 0;          // answers that report more than one execution
  std::vector<std::string> done_orders;  // ids with the outcome "done"
  double seconds = 0;

  std::string Table() const;
  std::string Json() const;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_LOAD_REPORT_H_
