// Latency histogram, and the load report as a table and as JSON.
#include "load_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <utility>

namespace peridotgauge {
namespace {

namespace json = boost::json;

// 1,000 logarithmic bins over six decades make each bin 1.4% wide.
constexpr unsigned kBins = 1'000;
constexpr double kMinMillis = 0.05;
constexpr double kMaxMillis = 50'000;

constexpr std::pair<const char*, double> kQuantiles[] = {
    {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}};

double Ratio(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string FormatRow(const char* name, const std::string& value) {
  char buffer[200];
  std::snprintf(buffer, sizeof(buffer), "  %-22s %s\n", name, value.c_str());
  return buffer;
}

std::string FormatFixed(double value, int digits) {
  char buffer[64];
  std::snprintf(buffer, sizeof(buffer), "%.*f", digits, value);
  return buffer;
}

std::string FormatFraction(uint64_t part, uint64_t whole) {
  return std::to_string(part) + " of " + std::to_string(whole) + " (" +
         FormatFixed(100 * Ratio(part, whole), 3) + "%)";
}

std::string FormatCounts(const std::map<std::string, uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) text += name + "=" + std::to_string(count) + " ";
  return text.empty() ? "none" : text;
}

std::string FormatRequestCounts(const char* kind, const RequestCounts& counts, double seconds) {
  std::string text = std::string(kind) + "\n";
  text += FormatRow("answered", FormatFraction(counts.answered, counts.offered));
  text += FormatRow("rate",
                    FormatFixed(static_cast<double>(counts.answered) / std::max(seconds, 1e-9), 1) +
                        " answers/s");
  std::string latency;
  for (const auto& [name, quantile] : kQuantiles) {
    latency += std::string(name) + " " + FormatFixed(counts.latency.Quantile(quantile), 2) + "  ";
  }
  text += FormatRow("latency ms", latency + "max " + FormatFixed(counts.latency.MaxMillis(), 2));
  text += FormatRow("requests sent", std::to_string(counts.sent));
  return text + FormatRow("errors", FormatCounts(counts.errors));
}

json::object CountsToJson(const std::map<std::string, uint64_t>& counts) {
  json::object object;
  for (const auto& [name, count] : counts) object[name] = count;
  return object;
}

json::object RequestCountsToJson(const RequestCounts& counts) {
  json::object latency;
  for (const auto& [name, quantile] : kQuantiles) latency[name] = counts.latency.Quantile(quantile);
  latency["max"] = counts.latency.MaxMillis();
  return {{"offered", counts.offered}, {"answered", counts.answered},
          {"failed", counts.failed},   {"sent", counts.sent},
          {"latency_ms", latency},     {"errors", CountsToJson(counts.errors)}};
}

}  // namespace

LoadLatencyHistogram::LoadLatencyHistogram()
    : bins(boost::histogram::make_histogram(Axis(kBins, kMinMillis, kMaxMillis))) {}

void LoadLatencyHistogram::Add(Duration latency) {
  this->bins(std::clamp(ToMillis(latency), kMinMillis, kMaxMillis * (1 - 1e-9)));
  ++this->count;
  this->max = std::max(this->max, latency);
}

double LoadLatencyHistogram::Quantile(double quantile) const {
  if (this->count == 0) return 0;
  const double rank = quantile * static_cast<double>(this->count);
  double cumulative = 0;
  for (const auto& bin : boost::histogram::indexed(this->bins)) {
    cumulative += static_cast<double>(*bin);
    if (cumulative >= rank && cumulative > 0) return bin.bin().upper();
  }
  return this->MaxMillis();
}

std::string LoadReport::Table() const {
  std::string text = FormatRequestCounts("searches", this->searches, this->seconds);
  text += FormatRow("complete", FormatFraction(this->complete, this->searches.answered));
  text += FormatRow("shards covered", FormatFraction(this->covered_shards,
                                                     this->covered_shards + this->missing_shards));
  text += FormatRow("missing because of", FormatCounts(this->missing_causes));
  text += FormatRow("sub-requests", std::to_string(this->sub_requests) + " sent for " +
                                        std::to_string(this->needed) + " needed (x" +
                                        FormatFixed(Ratio(this->sub_requests, this->needed), 4) +
                                        "; " + std::to_string(this->hedges) + " hedges, " +
                                        std::to_string(this->retries) + " retries)");
  text += FormatRow("wrong answers", std::to_string(this->wrong_answers));
  if (this->orders.offered == 0) return text;
  text += FormatRequestCounts("orders", this->orders, this->seconds);
  text += FormatRow("replayed", std::to_string(this->replayed));
  return text + FormatRow("executed twice", std::to_string(this->repeated_orders));
}

std::string LoadReport::Json() const {
  json::object searches = RequestCountsToJson(this->searches);
  searches["complete"] = this->complete;
  searches["complete_share"] = Ratio(this->complete, this->searches.answered);
  searches["covered_shards"] = this->covered_shards;
  searches["missing_shards"] = this->missing_shards;
  searches["missing_causes"] = CountsToJson(this->missing_causes);
  searches["needed"] = this->needed;
  searches["sub_requests"] = this->sub_requests;
  searches["extra_load"] = Ratio(this->sub_requests, this->needed);
  searches["hedges"] = this->hedges;
  searches["retries"] = this->retries;
  searches["wrong_answers"] = this->wrong_answers;
  json::object orders = RequestCountsToJson(this->orders);
  orders["replayed"] = this->replayed;
  orders["executed_twice"] = this->repeated_orders;
  json::array done;
  for (const std::string& id : this->done_orders) done.emplace_back(id);
  orders["done"] = std::move(done);
  return json::serialize(json::object{{"seconds", this->seconds},
                                      {"searches", std::move(searches)},
                                      {"orders", std::move(orders)}});
}

}  // namespace peridotgauge
