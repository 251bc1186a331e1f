// Streaming quantiles of recent durations.
//
// Use:
//   QuantileWindow window(Seconds(15), 100);
//   window.Add(now, latency);
//   std::optional<Duration> p95 = window.Quantile(now, 0.95);
//
// Contract: a quantile is the upper edge of the histogram bin that contains it, so it is at most
// kQuantileError above the exact value (between kMinLatency and kMaxLatency). Samples are kept in
// two generations. When the current one is old enough and has enough samples, it replaces the
// previous one, so a quantile covers between one and two generations.
#ifndef PERIDOTGAUGE_CORE_QUANTILE_WINDOW_H_
#define PERIDOTGAUGE_CORE_QUANTILE_WINDOW_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/types.h"

namespace peridotgauge {

constexpr Duration kMinLatency = Duration(10);
constexpr Duration kMaxLatency = Seconds(100);
constexpr int kLatencyBins = 320;
// Relative width of one bin: 10^7 to the power of 1 / 320.
constexpr double kQuantileError = 0.052;

// A histogram of durations with bins of equal relative width.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration sample);
  void Add(const LatencyHistogram& other);
  void Clear();

  uint64_t Count() const { return this->count; }
  Duration Sum() const { return this->sum; }
  // Returns the value that a share of `quantile` (0 to 1) of the samples does not exceed; 0 if
  // there are no samples.
  Duration Quantile(double quantile) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<uint64_t>>;

  Counts counts;
  uint64_t count = 0;
  Duration sum{0};
};

// Quantiles over one or two generations of samples.
class QuantileWindow {
 public:
  // A generation ends when it is at least `length` old and has at least `min_samples`. All samples
  // are discarded when none has been added for twice `length`.
  QuantileWindow(Duration length, uint64_t min_samples)
      : length(length), min_samples(min_samples) {}

  void Add(Time now, Duration sample);
  // Returns nullopt if there are fewer than `min_samples` samples.
  std::optional<Duration> Quantile(Time now, double quantile);
  uint64_t Count() const { return this->current.Count() + this->previous.Count(); }

 private:
  void Rotate(Time now);

  Duration length;
  uint64_t min_samples;
  std::optional<Time> current_since;  // set by the first sample
  Time last_sample{};
  LatencyHistogram current;
  LatencyHistogram previous;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_QUANTILE_WINDOW_H_
