// Lookup of series by name and labels, and the Prometheus text exposition.
#include "core/metrics.h"

#include <array>
#include <cstdio>

namespace peridotgauge {
namespace {

// Formats a number with up to 9 significant digits.
std::string ToText(double value) {
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.9g", value);
  return {text.data(), static_cast<size_t>(size)};
}

double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

// Escapes a label value as the exposition format requires.
std::string Escaped(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') out += '\\';
    out += c;
  }
  return out;
}

// Formats labels without braces, for example `service="kassa-3",shard="0"`.
std::string ToText(const Labels& labels) {
  std::string out;
  for (const Label& label : labels) {
    if (!out.empty()) out += ',';
    out.append(label.name).append("=\"").append(Escaped(label.value)).append("\"");
  }
  return out;
}

void AppendLine(const std::string& name, const std::string& labels, const std::string& value,
                std::string& out) {
  out += name;
  if (!labels.empty()) out.append("{").append(labels).append("}");
  out.append(" ").append(value).append("\n");
}

}  // namespace

Metrics::Series& Metrics::SeriesOf(Kind kind, std::string_view name, const Labels& labels) {
  auto found = this->families.find(name);
  if (found == this->families.end()) {
    found = this->families.emplace(std::string(name), Family{.kind = kind}).first;
  }
  if (found->second.kind != kind) {
    std::string key(name);
    key += static_cast<char>('0' + static_cast<int>(kind));
    found = this->mismatched.emplace(std::move(key), Family{.kind = kind}).first;
  }
  std::map<std::string, Series>& series = found->second.series;
  std::string key = ToText(labels);
  const auto known = series.find(key);
  if (known != series.end()) return known->second;
  if (this->series_count >= kMaxSeries) key.clear();
  const auto [inserted, added] = series.try_emplace(std::move(key));
  Series& out = inserted->second;
  if (added) ++this->series_count;
  if (kind == Kind::kCounter && !out.counter) out.counter = std::make_unique<Counter>();
  if (kind == Kind::kGauge && !out.gauge) out.gauge = std::make_unique<Gauge>();
  if (kind == Kind::kLatency && !out.latency) out.latency = std::make_unique<LatencyHistogram>();
  return out;
}

Counter& Metrics::CounterOf(std::string_view name, const Labels& labels) {
  return *this->SeriesOf(Kind::kCounter, name, labels).counter;
}

Gauge& Metrics::GaugeOf(std::string_view name, const Labels& labels) {
  return *this->SeriesOf(Kind::kGauge, name, labels).gauge;
}

LatencyHistogram& Metrics::LatencyOf(std::string_view name, const Labels& labels) {
  return *this->SeriesOf(Kind::kLatency, name, labels).latency;
}

void Metrics::Describe(std::string_view name, std::string_view text) {
  this->help[std::string(name)] = std::string(text);
}

void Metrics::AppendLatency(const std::string& name, const std::string& labels,
                            const LatencyHistogram& latency, std::string& out) {
  struct Row {
    double quantile;
    const char* label;
  };
  constexpr std::array<Row, 4> kRows = {{{0.5, "quantile=\"0.5\""},
                                         {0.9, "quantile=\"0.9\""},
                                         {0.99, "quantile=\"0.99\""},
                                         {0.999, "quantile=\"0.999\""}}};
  for (const Row& row : kRows) {
    AppendLine(name, labels + (labels.empty() ? "" : ",") + row.label,
               ToText(ToSeconds(latency.Quantile(row.quantile))), out);
  }
  AppendLine(name + "_sum", labels, ToText(ToSeconds(latency.Sum())), out);
  AppendLine(name + "_count", labels, std::to_string(latency.Count()), out);
}

std::string Metrics::Text() const {
  std::string out;
  for (const auto& [name, family] : this->families) {
    constexpr std::array<const char*, 3> kKinds = {"counter", "gauge", "summary"};
    if (const auto found = this->help.find(name); found != this->help.end()) {
      out.append("# HELP ").append(name).append(" ").append(found->second).append("\n");
    }
    out.append("# TYPE ").append(name).append(" ");
    out.append(kKinds.at(static_cast<size_t>(family.kind))).append("\n");
    for (const auto& [labels, series] : family.series) {
      if (series.counter) {
        AppendLine(name, labels, std::to_string(series.counter->Value()), out);
      }
      if (series.gauge) AppendLine(name, labels, ToText(series.gauge->Value()), out);
      if (series.latency) AppendLatency(name, labels, *series.latency, out);
    }
  }
  return out;
}

}  // namespace peridotgauge
