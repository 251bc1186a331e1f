// Synthetic configurations, targets and routers.
#include "bench/capacity_model.h"

namespace peridotgauge {
namespace {

constexpr uint32_t kFirstPort = 20'000;

// Returns an address of typical length. Nothing connects to it.
Address SyntheticAddress(uint32_t number) {
  return "10.20." + std::to_string(100 + number % 100) +
         ".17:" + std::to_string(kFirstPort + number);
}

std::string DataCentre(uint32_t number) {
  return "region-" + std::to_string(number % kDataCentres);
}

}  // namespace

std::string SyntheticServiceName(uint32_t number) { return "service-" + std::to_string(number); }

std::string SyntheticConfig(uint64_t revision, uint32_t services, uint32_t chain) {
  std::string text =
      R"({"revision": )" + std::to_string(revision) +
      R"(, "fleets": {"fleet": {"slots": 5, "connections": 40, "connect_ms": 6}}, "services": {)";
  for (uint32_t i = 0; i < services; ++i) {
    if (i > 0) text += ",\n";
    text +=
        "\"" + SyntheticServiceName(i) + R"(": {"fleet": "fleet", "shards": 1, "deadline_ms": 200)";
    const bool last = i + 1 == chain;
    if (!last) {
      const std::string next = SyntheticServiceName(i < chain ? i + 1 : 0);
      text += R"(, "depends_on": [")" + next + "\"]";
    }
    text += "}";
  }
  return text + "}}";
}

TargetRecord SyntheticTarget(uint32_t number, uint64_t sequence) {
  return {
      .target = SyntheticServiceName(number / kReplicas) + "/" + std::to_string(number % kReplicas),
      .address = SyntheticAddress(number),
      .service = SyntheticServiceName(number / kReplicas),
      .data_centre = DataCentre(number),
      .incarnation = 1,
      .sequence = sequence,
      .state = TargetState::kServing,
      .slots = 5,
      .connections = 40,
      .holds = {{.snapshot = 12, .shard = 0, .shards = 1}}};
}

std::vector<TargetRecord> SyntheticTargets(uint32_t count) {
  std::vector<TargetRecord> targets;
  for (uint32_t i = 0; i < count; ++i) targets.push_back(SyntheticTarget(i));
  return targets;
}

RouterRecord SyntheticRouter(uint32_t number, uint64_t incarnation) {
  return {.id = "router-" + std::to_string(1'000 + number),
          .incarnation = incarnation,
          .data_centre = DataCentre(number),
          .http_address = SyntheticAddress(number),
          .peer_address = SyntheticAddress(number + kPlannedRouters)};
}

std::vector<RouterRecord> SyntheticRouters(uint32_t count) {
  std::vector<RouterRecord> routers;
  for (uint32_t i = 0; i < count; ++i) routers.push_back(SyntheticRouter(i));
  return routers;
}

}  // namespace peridotgauge
