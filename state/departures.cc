// Departures of targets.
#include "state/departures.h"

#include <algorithm>

namespace peridotgauge {

bool DepartureTable::Record(int64_t now_ms, Departure departure) {
  this->Prune(now_ms);
  if (this->Covers(departure)) return false;
  departure.recorded_ms = now_ms;
  this->Insert(std::move(departure));
  if (this->departures.size() > kMaxDepartures) {
    this->departures.erase(std::min_element(
        this->departures.begin(), this->departures.end(),
        [](const auto& a, const auto& b) { return a.second.recorded_ms < b.second.recorded_ms; }));
  }
  return true;
}

void DepartureTable::Insert(Departure departure) {
  std::string target = departure.target;
  this->departures.insert_or_assign(std::move(target), std::move(departure));
}

const Departure* DepartureTable::Find(const std::string& target) const {
  const auto found = this->departures.find(target);
  return found == this->departures.end() ? nullptr : &found->second;
}

bool DepartureTable::Supersedes(const TargetRecord& record) const {
  const Departure* known = this->Find(record.target);
  return known != nullptr && std::pair(record.incarnation, record.sequence) < known->Key();
}

bool DepartureTable::Covers(const Departure& departure) const {
  const Departure* known = this->Find(departure.target);
  return known != nullptr && departure.Key() <= known->Key();
}

size_t DepartureTable::UnknownCount(int64_t now_ms) const {
  return static_cast<size_t>(
      std::count_if(this->departures.begin(), this->departures.end(), [now_ms](const auto& item) {
        return item.second.sequence == kUnknownRemovedSequence &&
               now_ms - item.second.recorded_ms < kDepartureRetentionMs;
      }));
}

void DepartureTable::Prune(int64_t now_ms) {
  std::erase_if(this->departures, [now_ms](const auto& item) {
    return now_ms - item.second.recorded_ms >= kDepartureRetentionMs;
  });
}

}  // namespace peridotgauge
