// Value types for members of the system, used by the core in place of the generated wire types.
//
// The generated object types hold pointers, so their comparison is not deep. The core uses these
// types; ToWire() and FromWire() convert at the edge.
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

#include "core/types.h"
#include "peer_generated.h"

namespace peridotgauge {

// Holdings of one target.
constexpr size_t kMaxHoldings = 4'096;

enum class TargetState : uint8_t { kStarting, kServing, kDraining, kGone };

// Names in messages and logs, by value.
constexpr std::array<std::string_view, 4> kTargetStateNames = {"starting", "serving", "draining",
                                                               "gone"};
// "unknown" for a value that another version of the protocol may have sent.
std::string_view NameOf(TargetState state);

// A target as its last registration described it.
struct TargetRecord {
  std::string target;  // unique name
  Address address;
  std::string service;
  std::string data_centre;
  uint64_t incarnation = 0;  // grows with every start of the target
  uint64_t sequence = 0;     // grows with every registration within one incarnation
  TargetState state = TargetState::kStarting;
  uint32_t slots = 0;        // concurrent requests that the target accepts
  uint32_t connections = 0;  // connections that the target accepts
  std::vector<Holding> holds;
  std::string registrar;  // id of the router that holds the registration lease
  bool operator==(const TargetRecord&) const = default;

  // True if this record replaces `other`, an older record of the same target.
  bool Supersedes(const TargetRecord& other) const {
    return std::pair(this->incarnation, this->sequence) >
           std::pair(other.incarnation, other.sequence);
  }
};

// A member of the router list.
struct RouterRecord {
  std::string id;
  uint64_t incarnation = 0;  // grows with every start of the router
  std::string data_centre;
  Address http_address;
  Address peer_address;
  bool draining = false;
  auto operator<=>(const RouterRecord&) const = default;
};

// The list of routers, by id.
using RouterMap = std::map<std::string, RouterRecord>;

// A blocked request fingerprint.
struct QuarantineRecord {
  uint64_t fingerprint = 0;
  int64_t until_ms = 0;  // Unix time
  auto operator<=>(const QuarantineRecord&) const = default;
};

std::unique_ptr<wire::TargetRecordT> ToWire(const TargetRecord& record);
std::unique_ptr<wire::RouterRecordT> ToWire(const RouterRecord& record);
std::unique_ptr<wire::QuarantineRecordT> ToWire(const QuarantineRecord& record);
TargetRecord FromWire(const wire::TargetRecordT& record);
RouterRecord FromWire(const wire::RouterRecordT& record);
QuarantineRecord FromWire(const wire::QuarantineRecordT& record);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_RECORDS_H_
