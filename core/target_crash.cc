// Conversion of crashes from and to messages.
#include "core/target_crash.h"

namespace peridotgauge {

std::unique_ptr<wire::TargetCrashT> ToWire(const TargetCrash& crash) {
  auto out = std::make_unique<wire::TargetCrashT>();
  out->service = crash.service;
  out->target = crash.target;
  out->incarnation = crash.incarnation;
  return out;
}

std::vector<std::unique_ptr<wire::TargetCrashT>> ToWire(const std::vector<TargetCrash>& crashes) {
  std::vector<std::unique_ptr<wire::TargetCrashT>> out;
  out.reserve(crashes.size());
  for (const TargetCrash& crash : crashes) out.push_back(ToWire(crash));
  return out;
}

TargetCrash FromWire(const wire::TargetCrashT& crash) {
  return {.service = crash.service, .target = crash.target, .incarnation = crash.incarnation};
}

std::vector<TargetCrash> FromWire(const std::vector<std::unique_ptr<wire::TargetCrashT>>& crashes) {
  std::vector<TargetCrash> out;
  for (const auto& crash : crashes) {
    if (crash) out.push_back(FromWire(*crash));
  }
  return out;
}

}  // namespace peridotgauge
