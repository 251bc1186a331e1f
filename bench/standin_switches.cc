// Parsing of the body of POST /standin.
#include "standin_switches.h"

#include "core/json_text.h"

namespace peridotgauge {
namespace {

constexpr double kMaxFactor = 1e6;
constexpr uint64_t kMaxMillis = 600'000;
constexpr size_t kMaxHolds = 10'000;
constexpr size_t kMaxText = 1'000;

Duration DurationFromMillis(double millis) {
  return Duration(static_cast<int64_t>(millis * 1'000));
}

void ReadOptional(JsonReader& reader, std::string_view name, bool& out) {
  if (reader.Has(name)) out = reader.Bool(name);
}

void ReadOptional(JsonReader& reader, std::string_view name, double& out) {
  if (reader.Has(name)) out = reader.Number(name, 0, kMaxFactor);
}

void ReadOptional(JsonReader& reader, std::string_view name, uint64_t& out) {
  if (reader.Has(name)) out = reader.Unsigned(name, 0, UINT64_MAX);
}

void ReadOptionalMillis(JsonReader& reader, std::string_view name, Duration& out) {
  if (reader.Has(name)) out = DurationFromMillis(reader.Number(name, 0, kMaxMillis));
}

Result<Holding> ParseHold(std::string_view text) {
  JsonReader reader(text, "holds[]");
  Holding holding;
  holding.snapshot = reader.Unsigned("snapshot", 0, UINT64_MAX);
  holding.shard = static_cast<uint32_t>(reader.Unsigned("shard", 0, UINT32_MAX));
  holding.shards = static_cast<uint32_t>(reader.Unsigned("shards", 1, UINT32_MAX));
  return reader.Finish(holding);
}

Result<uint64_t> ParseSnapshot(const std::string& raw) {
  return JsonObject::Parse("{\"n\":" + raw + "}", "snapshots[]")
      .and_then([](const JsonObject& object) { return object.Unsigned("n", 0, UINT64_MAX); });
}

Result<LatencyModel> ParseLatency(std::string_view text, LatencyModel latency) {
  JsonReader reader(text, "latency");
  reader.RejectUnknownFields({"median_ms", "sigma", "heavy_percent", "heavy_factor"});
  ReadOptionalMillis(reader, "median_ms", latency.median);
  ReadOptional(reader, "sigma", latency.sigma);
  ReadOptional(reader, "heavy_percent", latency.heavy_percent);
  ReadOptional(reader, "heavy_factor", latency.heavy_factor);
  return reader.Finish(latency);
}

}  // namespace

Result<SwitchUpdate> ParseSwitches(std::string_view text, const StandinSwitches& switches,
                                   const LatencyModel& latency) {
  JsonReader reader(text, "standin");
  reader.RejectUnknownFields({"target", "slow_factor", "shed", "drain", "gone", "register",
                              "crash_text", "restart_ms", "crash", "load", "cold_start_ms",
                              "cold_factor", "snapshots", "holds", "close_without_reply",
                              "wrong_echo", "latency"});
  SwitchUpdate update{.switches = switches, .latency = latency};
  StandinSwitches& next = update.switches;
  ReadOptional(reader, "slow_factor", next.slow_factor);
  ReadOptional(reader, "shed", next.shed);
  ReadOptional(reader, "drain", next.drain);
  ReadOptional(reader, "gone", next.gone);
  ReadOptional(reader, "register", next.registering);
  if (reader.Has("crash_text")) next.crash_text = reader.String("crash_text", 0, kMaxText);
  ReadOptionalMillis(reader, "restart_ms", next.restart_time);
  ReadOptional(reader, "crash", update.crash);
  ReadOptional(reader, "cold_factor", next.cold_factor);
  ReadOptional(reader, "close_without_reply", next.close_without_reply);
  ReadOptional(reader, "wrong_echo", next.wrong_echo);
  if (reader.Has("load")) {
    next.load = std::nullopt;
    if (reader.Raw("load") != "null") next.load = reader.Number("load", 0, 1);
  }
  if (reader.Has("cold_start_ms")) {
    ReadOptionalMillis(reader, "cold_start_ms", update.cold_start.emplace());
  }
  if (reader.Has("snapshots")) {
    update.snapshots = reader.ReadArray<uint64_t>("snapshots", kMaxHolds, ParseSnapshot);
  }
  if (reader.Has("holds")) update.holds = reader.ReadArray<Holding>("holds", kMaxHolds, ParseHold);
  if (reader.Has("latency")) {
    update.latency = reader.Unwrap(ParseLatency(reader.Raw("latency"), latency));
  }
  return reader.Finish(update);
}

}  // namespace peridotgauge
