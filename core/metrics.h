// Counters, gauges and latency histograms of one process, exported in the Prometheus text format.
//
// Use:
//   Counter& searches = metrics.CounterOf("peridotgauge_searches_total", {{"service", name}});
//   searches.Add();
//   metrics.LatencyOf("peridotgauge_search_seconds", {}).Add(latency);
//   std::string body = metrics.Text();         // for GET /metrics
//
// References to series are valid for the lifetime of the Metrics object. A series is identified by
// its name and its labels, whose order matters. Memory is bounded: after kMaxSeries series, new
// label sets of a name share one series without labels. A name has the kind of its first use; using
// it with another kind returns a series that is not exported. Not thread-safe.
#ifndef PERIDOTGAUGE_CORE_METRICS_H_
#define PERIDOTGAUGE_CORE_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/quantile_window.h"
#include "core/types.h"

namespace peridotgauge {

constexpr size_t kMaxSeries = 2'000;

// A monotonically increasing count.
class Counter {
 public:
  void Add(uint64_t n = 1) { this->value += n; }
  uint64_t Value() const { return this->value; }

 private:
  uint64_t value = 0;
};

// A value that can increase and decrease.
class Gauge {
 public:
  void Set(double v) { this->value = v; }
  double Value() const { return this->value; }

 private:
  double value = 0;
};

struct Label {
  std::string name;
  std::string value;
  auto operator<=>(const Label&) const = default;
};
using Labels = std::vector<Label>;

class Metrics {
 public:
  Counter& CounterOf(std::string_view name, const Labels& labels = {});
  Gauge& GaugeOf(std::string_view name, const Labels& labels = {});
  LatencyHistogram& LatencyOf(std::string_view name, const Labels& labels = {});
  // Sets the help line of a name.
  void Describe(std::string_view name, std::string_view help);

  // Returns all series in the Prometheus text exposition format. Latencies are summaries in seconds
  // with the quantiles 0.5, 0.9, 0.99 and 0.999.
  std::string Text() const;

 private:
  enum class Kind : uint8_t { kCounter, kGauge, kLatency };
  // Only the member of the family's kind is set.
  struct Series {
    std::unique_ptr<Counter> counter;
    std::unique_ptr<Gauge> gauge;
    std::unique_ptr<LatencyHistogram> latency;
  };
  struct Family {
    Kind kind = Kind::kCounter;
    std::map<std::string, Series> series;  // by formatted labels
  };

  Series& SeriesOf(Kind kind, std::string_view name, const Labels& labels);
  static void AppendLatency(const std::string& name, const std::string& labels,
                            const LatencyHistogram& latency, std::string& out);

  std::map<std::string, Family, std::less<>> families;
  std::map<std::string, std::string, std::less<>> help;
  std::map<std::string, Family, std::less<>> mismatched;  // names used with a second kind
  size_t series_count = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_METRICS_H_
