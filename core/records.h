// Value types for targets, routers and quarantined requests.
//
// The core uses these types instead of the generated wire types, which hold pointers and therefore
// do not compare by value. ToWire() and FromWire() convert between the two.
#ifndef PERIDOTGAUGE_CORE_RECORDS_H_
#define PERIDOTGAUGE_CORE_RECORDS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/extra_debts.h"
#include "core/types.h"
#include "peer_generated.h"

namespace peridotgauge {

// Maximum number of shard replicas on one target.
constexpr size_t kMaxHoldings = 4'096;

enum class TargetState : uint8_t { kStarting, kServing, kDraining, kGone };

// Names in messages and logs, indexed by TargetState.
constexpr std::array<std::string_view, 4> kTargetStateNames = {"starting", "serving", "draining",
                                                               "gone"};
// Returns "unknown" for a value outside the enum, which a newer version of the protocol may send.
std::string_view NameOf(TargetState state);

// The last registration of a target.
struct TargetRecord {
  std::string target;  // unique name
  Address address;
  std::string service;
  std::string data_centre;
  uint64_t incarnation = 0;  // increases with every start of the target
  uint64_t sequence = 0;     // increases with every registration within one incarnation
  TargetState state = TargetState::kStarting;
  uint32_t slots = 0;        // concurrent requests that the target accepts
  uint32_t connections = 0;  // connections that the target accepts
  std::vector<Holding> holds;
  std::string registrar;  // id of the router that holds the registration lease
  // Time until the target is warm, counted from the registration; 0 if it is warm.
  Duration warmup{0};
  bool operator==(const TargetRecord&) const = default;

  // Returns true if this record is newer than `other`, a record of the same target.
  bool Supersedes(const TargetRecord& other) const {
    return std::pair(this->incarnation, this->sequence) >
           std::pair(other.incarnation, other.sequence);
  }
};

// An entry of the router list.
struct RouterRecord {
  std::string id;
  uint64_t incarnation = 0;  // increases with every start of the router
  std::string data_centre;
  Address http_address;
  Address peer_address;
  bool draining = false;
  auto operator<=>(const RouterRecord&) const = default;
};

// Routers by id.
using RouterMap = std::map<std::string, RouterRecord>;

// The fingerprint of a request that has crashed targets.
struct QuarantineRecord {
  uint64_t fingerprint = 0;
  int64_t until_ms = 0;  // when the record ends, Unix time
  bool suspect = false;  // may be sent in a trial, see crash_table.h; otherwise it is blocked
  // The services whose targets it has crashed; empty if unknown.
  std::vector<std::string> services;
  auto operator<=>(const QuarantineRecord&) const = default;
};

std::unique_ptr<wire::TargetRecordT> ToWire(const TargetRecord& record);
std::unique_ptr<wire::RouterRecordT> ToWire(const RouterRecord& record);
std::unique_ptr<wire::QuarantineRecordT> ToWire(const QuarantineRecord& record);
std::vector<std::unique_ptr<wire::ExtraDebtT>> ToWire(const ExtraDebts& debts);
TargetRecord FromWire(const wire::TargetRecordT& record);
RouterRecord FromWire(const wire::RouterRecordT& record);
QuarantineRecord FromWire(const wire::QuarantineRecordT& record);
// Amounts that are negative or not finite are left out.
ExtraDebts FromWire(const std::vector<std::unique_ptr<wire::ExtraDebtT>>& debts);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_RECORDS_H_
