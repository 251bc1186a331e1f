// One incarnation of a target that ended while it ran a request.
#ifndef PERIDOTGAUGE_CORE_TARGET_CRASH_H_
#define PERIDOTGAUGE_CORE_TARGET_CRASH_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "peer_generated.h"

namespace peridotgauge {

struct TargetCrash {
  std::string service;
  std::string target;
  uint64_t incarnation = 0;
  auto operator<=>(const TargetCrash&) const = default;
};

std::unique_ptr<wire::TargetCrashT> ToWire(const TargetCrash& crash);
std::vector<std::unique_ptr<wire::TargetCrashT>> ToWire(const std::vector<TargetCrash>& crashes);
TargetCrash FromWire(const wire::TargetCrashT& crash);
std::vector<TargetCrash> FromWire(const std::vector<std::unique_ptr<wire::TargetCrashT>>& crashes);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_TARGET_CRASH_H_
