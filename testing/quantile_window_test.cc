// Tests of streaming quantiles. They guard against quantiles that differ from those of the sorted
// samples by more than a bin, and against old samples that are never discarded.
#include "core/quantile_window.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

namespace peridotgauge {
namespace {

constexpr Time kNow = TimeAt(1'000);

TEST_CASE("quantiles agree with the sorted samples", "[quantile_window]") {
  CHECK(rc::check("within one bin", [] {
    const auto samples = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int64_t>>(rc::gen::inRange<int64_t>(20, 50'000'000)));
    const double quantile = *rc::gen::inRange(0, 1'001) / 1'000.0;
    QuantileWindow window(Seconds(10), 1);
    for (const int64_t sample : samples) window.Add(kNow, Duration(sample));
    std::vector<int64_t> sorted = samples;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<size_t>(std::ceil(quantile * double(sorted.size())));
    const auto exact = double(sorted[std::max<size_t>(rank, 1) - 1]);
    const auto estimate = double(window.Quantile(kNow, quantile)->count());
    RC_ASSERT(estimate >= exact);
    RC_ASSERT(estimate <= exact * (1 + kQuantileError) + 1);
  }));
}

TEST_CASE("the window discards old samples", "[quantile_window]") {
  QuantileWindow window(Seconds(10), 3);
  CHECK_FALSE(window.Quantile(kNow, 0.5));
  for (int i = 0; i < 3; ++i) window.Add(kNow, Millis(100));
  CHECK(window.Quantile(kNow, 0.5));
  SECTION("after two full generations") {
    for (int second = 1; second <= 25; ++second) window.Add(kNow + Seconds(second), Millis(1));
    CHECK(*window.Quantile(kNow + Seconds(25), 1.0) < Millis(2));
  }
  SECTION("after twice its length without samples") {
    CHECK(window.Quantile(kNow + Seconds(19), 0.5));
    CHECK_FALSE(window.Quantile(kNow + Seconds(20), 0.5));
  }
}

TEST_CASE("samples outside the range are clamped to its ends", "[quantile_window]") {
  LatencyHistogram histogram;
  CHECK(histogram.Quantile(0.5) == Duration(0));
  histogram.Add(Duration(0));
  CHECK(histogram.Quantile(0.5) == kMinLatency);
  histogram.Add(Seconds(1'000));
  CHECK(histogram.Quantile(1) == kMaxLatency);
  CHECK(histogram.Sum() == Seconds(1'000));
}

}  // namespace
}  // namespace peridotgauge
