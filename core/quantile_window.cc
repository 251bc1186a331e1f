// Latency histograms based on Boost.Histogram, and the window of two generations.
#include "core/quantile_window.h"

#include <algorithm>
#include <cmath>

namespace peridotgauge {

LatencyHistogram::LatencyHistogram()
    : counts(Axis(kLatencyBins, static_cast<double>(kMinLatency.count()),
                  static_cast<double>(kMaxLatency.count()))) {}

void LatencyHistogram::Add(Duration sample) {
  this->counts(static_cast<double>(sample.count()));
  ++this->count;
  this->sum += sample;
}

void LatencyHistogram::Add(const LatencyHistogram& other) {
  this->counts += other.counts;
  this->count += other.count;
  this->sum += other.sum;
}

void LatencyHistogram::Clear() {
  this->counts.reset();
  this->count = 0;
  this->sum = Duration(0);
}

Duration LatencyHistogram::Quantile(double quantile) const {
  if (this->count == 0) return Duration(0);
  const double share = std::clamp(quantile, 0.0, 1.0) * static_cast<double>(this->count);
  const auto rank = std::max<uint64_t>(1, static_cast<uint64_t>(std::ceil(share)));
  // Bin -1 counts samples below the range.
  uint64_t below = this->counts.at(-1);
  if (below >= rank) return kMinLatency;
  for (int i = 0; i < kLatencyBins; ++i) {
    below += this->counts.at(i);
    if (below < rank) continue;
    return Duration(static_cast<int64_t>(std::ceil(this->counts.axis().bin(i).upper())));
  }
  return kMaxLatency;
}

void QuantileWindow::Add(Time now, Duration sample) {
  this->Rotate(now);
  if (!this->current_since) this->current_since = now;
  this->last_sample = now;
  this->current.Add(sample);
}

std::optional<Duration> QuantileWindow::Quantile(Time now, double quantile) {
  this->Rotate(now);
  if (this->Count() < this->min_samples || this->Count() == 0) return std::nullopt;
  if (this->previous.Count() == 0) return this->current.Quantile(quantile);
  LatencyHistogram both = this->previous;
  both.Add(this->current);
  return both.Quantile(quantile);
}

void QuantileWindow::Rotate(Time now) {
  if (!this->current_since) return;
  if (now - this->last_sample >= 2 * this->length) {
    this->current.Clear();
    this->previous.Clear();
    this->current_since.reset();
  } else if (now - *this->current_since >= this->length &&
             this->current.Count() >= this->min_samples) {
    std::swap(this->current, this->previous);
    this->current.Clear();
    this->current_since = now;
  }
}

}  // namespace peridotgauge
