// Parsing of the deployment description, and sampling of service times.
#include "standin_options.h"

#include <algorithm>
#include <cmath>

#include "core/json_text.h"

namespace peridotgauge {
namespace {

constexpr uint64_t kMaxTargets = 5'000;
constexpr uint64_t kMaxCapacity = 100'000;
constexpr uint64_t kMaxPort = 65'535;
constexpr uint64_t kMaxMillis = 600'000;
constexpr double kMaxFactor = 1e6;

Result<uint64_t> ParseNumber(const std::string& raw) {
  const Result<JsonObject> object = JsonObject::Parse("{\"n\":" + raw + "}", "snapshots[]");
  return object.and_then([](const JsonObject& o) { return o.Unsigned("n", 0, UINT64_MAX); });
}

// Returns the integer member `name`, or `fallback` if the member is absent.
template <typename T>
T ReadOptional(JsonReader& reader, std::string_view name, T fallback, uint64_t min, uint64_t max) {
  return reader.Has(name) ? static_cast<T>(reader.Unsigned(name, min, max)) : fallback;
}

double ReadOptionalNumber(JsonReader& reader, std::string_view name, double fallback, double max) {
  return reader.Has(name) ? reader.Number(name, 0, max) : fallback;
}

Duration DurationFromMillis(double millis) {
  return Duration(static_cast<int64_t>(millis * 1'000));
}

// One member of "groups": the options common to its targets, and how shards, data centres and ports
// are assigned to them.
struct Group {
  StandinOptions common;
  std::string service;
  uint64_t services = 1;
  uint64_t targets = 1;
  uint32_t shards = 1;
  uint64_t first_port = 0;
  std::vector<std::string> data_centres;
  std::vector<uint64_t> snapshots;
};

Result<Group> ParseGroup(std::string_view text) {
  JsonReader reader(text, "groups[]");
  reader.RejectUnknownFields({"service", "services", "targets", "shards", "data_centres",
                              "first_port", "slots", "connections", "connect_ms", "median_ms",
                              "sigma", "heavy_percent", "heavy_factor", "snapshots"});
  Group group;
  group.service = reader.String("service", 1, 64);
  group.services = ReadOptional<uint64_t>(reader, "services", 1, 1, kMaxTargets);
  group.targets = ReadOptional<uint64_t>(reader, "targets", 1, 1, kMaxTargets);
  group.shards = ReadOptional<uint32_t>(reader, "shards", 1, 1, kMaxTargets);
  group.first_port = ReadOptional<uint64_t>(reader, "first_port", 0, 0, kMaxPort);
  group.data_centres = reader.Strings("data_centres", kMaxTargets, 64);
  group.snapshots = reader.Has("snapshots")
                        ? reader.ReadArray<uint64_t>("snapshots", kMaxTargets, ParseNumber)
                        : std::vector<uint64_t>{1};
  StandinOptions& common = group.common;
  common.record.slots = ReadOptional<uint32_t>(reader, "slots", 4, 1, kMaxCapacity);
  common.record.connections = ReadOptional<uint32_t>(reader, "connections", 40, 1, kMaxCapacity);
  common.connect_cost = DurationFromMillis(ReadOptionalNumber(reader, "connect_ms", 1, kMaxMillis));
  common.latency.median =
      DurationFromMillis(ReadOptionalNumber(reader, "median_ms", 5, kMaxMillis));
  common.latency.sigma = ReadOptionalNumber(reader, "sigma", 0.4, 10);
  common.latency.heavy_percent = ReadOptionalNumber(reader, "heavy_percent", 0, 100);
  common.latency.heavy_factor = ReadOptionalNumber(reader, "heavy_factor", 10, kMaxFactor);
  if (group.data_centres.empty()) group.data_centres = {"local"};
  return reader.Finish(group);
}

StandinOptions MakeTarget(const Group& group, const std::string& service, uint64_t index,
                          uint64_t port) {
  StandinOptions target = group.common;
  TargetRecord& record = target.record;
  record.target = service + "/" + std::to_string(index + 1);
  record.address = "127.0.0.1:" + std::to_string(port);
  record.service = service;
  record.data_centre = group.data_centres[index % group.data_centres.size()];
  for (const uint64_t snapshot : group.snapshots) {
    record.holds.push_back({snapshot, static_cast<uint32_t>(index % group.shards), group.shards});
  }
  return target;
}

}  // namespace

Duration LatencyModel::Sample(std::mt19937_64& random) const {
  std::lognormal_distribution<double> base(std::log(static_cast<double>(this->median.count()) + 1),
                                           this->sigma);
  const bool heavy = std::bernoulli_distribution(this->heavy_percent / 100)(random);
  const double micros = base(random) * (heavy ? this->heavy_factor : 1);
  return Duration(static_cast<int64_t>(std::min(micros, kMaxMillis * 1e3)));
}

Result<StandinDeployment> ParseStandinDeployment(std::string_view text) {
  JsonReader reader(text, "targets");
  reader.RejectUnknownFields({"routers", "groups"});
  StandinDeployment deployment;
  deployment.routers = reader.Strings("routers", kMaxTargets, 64);
  const Result<std::vector<Group>> groups =
      reader.Finish(reader.ReadArray<Group>("groups", kMaxTargets, ParseGroup));
  if (!groups) return tl::unexpected<Error>(groups.error());
  for (const Group& group : *groups) {
    uint64_t port = group.first_port;
    for (uint64_t s = 1; s <= group.services; ++s) {
      const std::string service =
          group.services == 1 ? group.service : group.service + "-" + std::to_string(s);
      for (uint64_t i = 0; i < group.targets; ++i) {
        deployment.targets.push_back(MakeTarget(group, service, i, port));
        if (port != 0) ++port;
      }
    }
  }
  if (deployment.targets.size() > kMaxTargets) {
    return Fail(ErrorCode::kBadRequest, "targets: more than " + std::to_string(kMaxTargets));
  }
  return deployment;
}

}  // namespace peridotgauge
