// Tests of metrics. Guards against text that a scraper cannot parse and against unbounded memory
// use.
#include "core/metrics.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

TEST_CASE("text exposition", "[metrics]") {
  Metrics metrics;
  metrics.Describe("searches_total", "Searches received.");
  metrics.CounterOf("searches_total", {{"service", "a\"b\\c\nd"}}).Add(2);
  metrics.CounterOf("searches_total", {{"service", "a\"b\\c\nd"}}).Add();
  metrics.GaugeOf("queue").Set(1.5);
  metrics.LatencyOf("search_seconds", {{"service", "x"}}).Add(Millis(2'000));
  CHECK(metrics.Text() ==
        "# TYPE queue gauge\n"
        "queue 1.5\n"
        "# TYPE search_seconds summary\n"
        "search_seconds{service=\"x\",quantile=\"0.5\"} 2.068355\n"
        "search_seconds{service=\"x\",quantile=\"0.9\"} 2.068355\n"
        "search_seconds{service=\"x\",quantile=\"0.99\"} 2.068355\n"
        "search_seconds{service=\"x\",quantile=\"0.999\"} 2.068355\n"
        "search_seconds_sum{service=\"x\"} 2\n"
        "search_seconds_count{service=\"x\"} 1\n"
        "# HELP searches_total Searches received.\n"
        "# TYPE searches_total counter\n"
        "searches_total{service=\"a\\\"b\\\\c\\nd\"} 3\n");
}

TEST_CASE("a name keeps its kind", "[metrics]") {
  Metrics metrics;
  metrics.CounterOf("n").Add();
  metrics.GaugeOf("n").Set(7);
  CHECK(metrics.Text() == "# TYPE n counter\nn 1\n");
}

TEST_CASE("the number of series is bounded", "[metrics]") {
  Metrics metrics;
  for (size_t i = 0; i < kMaxSeries + 50; ++i) {
    metrics.CounterOf("n", {{"id", std::to_string(i)}}).Add();
  }
  const std::string text = metrics.Text();
  CHECK_THAT(text, Catch::Matchers::Contains("\nn 50\n"));
  CHECK(std::count(text.begin(), text.end(), '\n') == kMaxSeries + 2);
}

}  // namespace
}  // namespace peridotgauge
