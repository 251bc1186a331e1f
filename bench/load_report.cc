// Histogram bins, table and JSON of a load run.
#include "load_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <utility>

namespace peridotgauge {
namespace {

namespace json = boost::json;

// 1,000 bins over six decades make each bin 1.4% wide.
constexpr unsigned kBins = 1'000;
constexpr double kLowestMillis = 0.05;
constexpr double kHighestMillis = 50'000;

constexpr std::pair<const char*, double> kQuantiles[] = {
    {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}};

double Share(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string Line(const char* name, const std::string& value) {
  char buffer[200];
  std::snprintf(buffer, sizeof(buffer), "  %-22s %s\n", name, value.c_str());
  return buffer;
}

std::string Fixed(double value, int digits) {
  char buffer[64];
  std::snprintf(buffer, sizeof(buffer), "%.*f", digits, value);
  return buffer;
}

std::string Counted(uint64_t part, uint64_t whole) {
  return std::to_string(part) + " of " + std::to_string(whole) + " (" +
         Fixed(100 * Share(part, whole), 3) + "%)";
}

std::string NameCounts(const std::map<std::string, uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) text += name + "=" + std::to_string(count) + " ";
  return text.empty() ? "none" : text;
}

std::string CountsTable(const char* kind, const LoadCounts& counts, double seconds) {
  std::string text = std::string(kind) + "\n";
  text += Line("answered", Counted(counts.answered, counts.offered));
  text += Line("rate", Fixed(static_cast<double>(counts.answered) / std::max(seconds, 1e-9), 1) +
                           " answers/s");
  std::string latency;
  for (const auto& [name, share] : kQuantiles) {
    latency += std::string(name) + " " + Fixed(counts.latency.Quantile(share), 2) + "  ";
  }
  text += Line("latency ms", latency + "max " + Fixed(counts.latency.MaxMillis(), 2));
  text += Line("requests sent", std::to_string(counts.sent));
  return text + Line("errors", NameCounts(counts.errors));
}

json::object CountsObject(const std::map<std::string, uint64_t>& counts) {
  json::object object;
  for (const auto& [name, count] : counts) object[name] = count;
  return object;
}

json::object CountsJson(const LoadCounts& counts) {
  json::object latency;
  for (const auto& [name, share] : kQuantiles) latency[name] = counts.latency.Quantile(share);
  latency["max"] = counts.latency.MaxMillis();
  return {{"offered", counts.offered}, {"answered", counts.answered},
          {"failed", counts.failed},   {"sent", counts.sent},
          {"latency_ms", latency},     {"errors", CountsObject(counts.errors)}};
}

}  // namespace

LatencyRecord::LatencyRecord()
    : bins(boost::histogram::make_histogram(Axis(kBins, kLowestMillis, kHighestMillis))) {}

void LatencyRecord::Add(Duration latency) {
  this->bins(std::clamp(ToMillis(latency), kLowestMillis, kHighestMillis * (1 - 1e-9)));
  ++this->count;
  this->max = std::max(this->max, latency);
}

double LatencyRecord::Quantile(double share) const {
  if (this->count == 0) return 0;
  const double wanted = share * static_cast<double>(this->count);
  double seen = 0;
  for (const auto& bin : boost::histogram::indexed(this->bins)) {
    seen += static_cast<double>(*bin);
    if (seen >= wanted && seen > 0) return bin.bin().upper();
  }
  return this->MaxMillis();
}

std::string LoadReport::Table() const {
  std::string text = CountsTable("searches", this->searches, this->seconds);
  text += Line("complete", Counted(this->complete, this->searches.answered));
  text += Line("shards covered",
               Counted(this->covered_shards, this->covered_shards + this->missing_shards));
  text += Line("missing because of", NameCounts(this->missing_causes));
  text += Line("sub-requests", std::to_string(this->sub_requests) + " sent for " +
                                   std::to_string(this->needed) + " needed (x" +
                                   Fixed(Share(this->sub_requests, this->needed), 4) + "; " +
                                   std::to_string(this->hedges) + " hedges, " +
                                   std::to_string(this->retries) + " retries)");
  text += Line("wrong answers", std::to_string(this->wrong_answers));
  if (this->orders.offered == 0) return text;
  text += CountsTable("orders", this->orders, this->seconds);
  text += Line("replayed", std::to_string(this->replayed));
  return text + Line("executed twice", std::to_string(this->repeated_orders));
}

std::string LoadReport::Json() const {
  json::object searches = CountsJson(this->searches);
  searches["complete"] = this->complete;
  searches["complete_share"] = Share(this->complete, this->searches.answered);
  searches["covered_shards"] = this->covered_shards;
  searches["missing_shards"] = this->missing_shards;
  searches["missing_causes"] = CountsObject(this->missing_causes);
  searches["needed"] = this->needed;
  searches["sub_requests"] = this->sub_requests;
  searches["extra_load"] = Share(this->sub_requests, this->needed);
  searches["hedges"] = this->hedges;
  searches["retries"] = this->retries;
  searches["wrong_answers"] = this->wrong_answers;
  json::object orders = CountsJson(this->orders);
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
