// Targets that have said that they leave. Part of the replicated state, so that no later leader
// takes a heartbeat that was sent before for a sign of life.
//
// Use:
//   departures.Record(log_time_ms, {.target = "s/a", .incarnation = 1, .sequence = 7});
//   if (departures.Supersedes(heartbeat)) Ignore(heartbeat);
//
// Contract: of two departures of one target the newer one is kept. A departure is removed when one
// is recorded kDepartureRetentionMs later, or if kMaxDepartures newer ones are known.
#ifndef PERIDOTGAUGE_STATE_DEPARTURES_H_
#define PERIDOTGAUGE_STATE_DEPARTURES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/records.h"

namespace peridotgauge {

// Far above the time for which a heartbeat can be delayed on its way to the leader.
constexpr int64_t kDepartureRetentionMs = 60'000;
constexpr size_t kMaxDepartures = 2'000;
// Sequence number of a removal; far above those that heartbeats reach, so that a removal supersedes
// every heartbeat of its incarnation.
constexpr uint64_t kRemovedSequence = uint64_t{1} << 62U;
// Sequence number of the removal of a target that the leader does not know. Its incarnation is then
// the highest that the removal can refer to.
constexpr uint64_t kUnknownRemovedSequence = kRemovedSequence - 1;
// Removals of targets that no leader knows, which may never have existed, are refused beyond this
// number, so that they leave room for the others.
constexpr size_t kMaxUnknownDepartures = 500;

struct Departure {
  std::string target;
  uint64_t incarnation = 0;
  // Sequence of the registration in which the target said that it leaves, or kRemovedSequence.
  uint64_t sequence = 0;
  int64_t recorded_ms = 0;  // log time
  auto operator<=>(const Departure&) const = default;

  std::pair<uint64_t, uint64_t> Key() const { return {this->incarnation, this->sequence}; }
};

class DepartureTable {
 public:
  // Returns true if the departure is new, or newer than the known one of its target.
  bool Record(int64_t now_ms, Departure departure);
  // Adds a departure of a snapshot.
  void Restore(Departure departure) { this->Insert(std::move(departure)); }

  // Returns nullptr if no departure of the target is known.
  const Departure* Find(const std::string& target) const;
  // Returns true if the target sent this record before it said that it leaves.
  bool Supersedes(const TargetRecord& record) const;
  // Returns true if this departure, or a newer one of the target, is known.
  bool Covers(const Departure& departure) const;

  // Returns the number of removals of unknown targets that are kept.
  size_t UnknownCount(int64_t now_ms) const;
  // Returns the departures by target.
  const std::map<std::string, Departure>& All() const { return this->departures; }
  bool operator==(const DepartureTable&) const = default;

 private:
  void Insert(Departure departure);
  void Prune(int64_t now_ms);

  std::map<std::string, Departure> departures;  // at most kMaxDepartures
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_DEPARTURES_H_
