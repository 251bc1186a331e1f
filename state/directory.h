// The target directory of the leader. It is not persistent: a new leader merges it from the
// registrations of all routers.
//
// Use:
//   directory.StartEpoch(now, term);              // on gaining leadership
//   directory.Merge(now, router, records, full);  // on each sync request
//   directory.Tick(now, state.Routers());
//   DirectoryDelta delta = directory.DeltaSince(epoch, version);
//
// Contract: of two records of one target the one with the higher (incarnation, sequence) wins, in
// any order of arrival. A record with the state kGone is kept for kTombstoneTime, so that an older
// record that arrives late cannot restore the target. The epoch changes with each leadership term;
// versions count changes within one epoch. A record that a known departure supersedes is rejected
// in every epoch. While a new leader collects registrations, a delta only adds to the copy of a
// router; the first delta after that replaces the copy.
#ifndef PERIDOTGAUGE_STATE_DIRECTORY_H_
#define PERIDOTGAUGE_STATE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/records.h"
#include "core/types.h"
#include "state/departures.h"

namespace peridotgauge {

// Time for routers to resend their registrations to a new leader, and for a target whose registrar
// has left the view to register with another router.
constexpr Duration kCollectTime = Seconds(3);
// How long records of gone targets are kept. Far above the time for which a request can be delayed
// on its way to the leader.
constexpr Duration kTombstoneTime = Seconds(60);
// Limits: a full resend must fit into one frame together with the router list. Records beyond a
// limit are rejected.
constexpr size_t kMaxTargets = 10'000;
constexpr size_t kMaxDirectoryBytes = 5 << 19;  // 2.5 MiB

// Returns the digest of one record. The digest of a directory is the sum over its records that are
// not gone.
uint64_t DigestOf(const TargetRecord& record);

// Changes that a router applies to its copy.
struct DirectoryDelta {
  uint64_t epoch = 0;
  uint64_t version = 0;
  uint64_t digest = 0;
  bool full = false;  // `targets` replaces the copy
  // The copy may hold records that this leader has not received; `digest` is not checked.
  bool collecting = false;
  std::vector<TargetRecord> targets;  // a record with the state kGone removes the target
  bool operator==(const DirectoryDelta&) const = default;
};

// Counters for the status report.
struct DirectoryCounters {
  uint64_t stale = 0;      // records older than the stored one
  uint64_t conflicts = 0;  // another address, service or data centre in the same incarnation
  uint64_t refused = 0;    // records rejected because the directory was full
  bool operator==(const DirectoryCounters&) const = default;
};

class Directory {
 public:
  // Starts a leadership term with an empty directory. `epoch` must be above the previous one. For
  // `collect_time`, the copies of routers keep targets that have not registered again.
  void StartEpoch(Time now, uint64_t epoch, Duration collect_time = kCollectTime);

  // Sets a registrar that, unlike a router, is always considered to be in the view.
  void SetOwnRegistrar(const std::string& registrar) {
    this->own_registrar = registrar;
    this->fully_reported.insert(registrar);
  }

  // Sets the departures that are known to all leaders. `known` must outlive the directory; null:
  // none.
  void SetDepartures(const DepartureTable* known) { this->departures = known; }
  // Returns true if the target of the record has left since it was sent.
  bool HasDeparted(const TargetRecord& record) const;
  // Marks the targets of all departures as gone, unless they are registered with newer records, so
  // that routers learn of them. Called again when departures of an earlier term become known.
  // Returns true if the directory changed.
  bool ApplyDepartures(Time now);

  // Merges the records of one registrar. `full` means that `records` is the full list of the
  // registrar: its other targets are removed after kCollectTime unless they register again. Returns
  // true if the directory changed.
  bool Merge(Time now, const std::string& registrar, const std::vector<TargetRecord>& records,
             bool full);

  // Returns true if the registrar has sent its full list in this epoch. Otherwise it must be asked
  // for it.
  bool HasFullListFrom(const std::string& registrar) const {
    return this->fully_reported.count(registrar) > 0;
  }

  // Removes targets whose registrar has been absent from the view for kCollectTime, prunes
  // tombstones and ends the collecting phase. Returns true if the directory changed.
  bool Tick(Time now, const RouterMap& view);

  // Returns true if a copy of this epoch and version needs all records.
  bool NeedsAll(uint64_t copy_epoch, uint64_t copy_version) const;
  // Returns the changes after `version`, or all records if the copy needs them.
  DirectoryDelta DeltaSince(uint64_t epoch, uint64_t version) const;

  uint64_t Epoch() const { return this->epoch; }
  uint64_t Version() const { return this->version; }
  uint64_t Digest() const { return this->digest; }
  bool Collecting() const { return this->collecting; }
  const DirectoryCounters& Counters() const { return this->counters; }
  // Returns the record of a target, or nothing if it is unknown or gone.
  std::optional<TargetRecord> Find(const std::string& target) const;
  // Returns the last record of a target, also if it is gone, or nothing.
  std::optional<TargetRecord> LastRecord(const std::string& target) const;
  // Returns the departure that the target has reported, to this leader or to an earlier one.
  // Returns nothing if it has not said that it leaves.
  std::optional<Departure> LastDeparture(const std::string& target) const;
  // Returns the records that are not gone, sorted by target name.
  std::vector<TargetRecord> Targets() const;

 private:
  struct Entry {
    TargetRecord record;
    uint64_t version = 0;  // directory version of the last change
    // True if the directory removed the record and not the target itself; the same registration is
    // then accepted again with an equal sequence.
    bool removed_by_directory = false;
    std::optional<Time> orphaned_since;  // time since which no registrar holds the registration
    std::optional<Time> gone_since;      // time since which the record is gone
  };
  enum class Decision : uint8_t { kAccept, kSame, kStale, kConflict };
  // Returns true if the target itself has said that it leaves.
  static bool HasReportedDeparture(const Entry& entry);
  static Decision Classify(const Entry& entry, const TargetRecord& record);
  bool MergeRecord(Time now, const TargetRecord& record);
  bool FitsLimits(const Entry* known, const TargetRecord& record) const;
  void Store(Time now, Entry& entry, TargetRecord record);
  void Drop(Time now, Entry& entry);
  void Prune(Time now);

  const DepartureTable* departures = nullptr;
  std::string own_registrar;
  uint64_t epoch = 0;
  uint64_t version = 0;
  size_t bytes = 0;     // upper estimate of the encoded size of all entries
  uint64_t digest = 0;  // sum of DigestOf() over the entries that are not gone
  bool collecting = false;
  Time collect_until;
  uint64_t min_delta_version = 0;  // copies below this version get all records
  std::map<std::string, Entry> entries;
  std::map<uint64_t, std::string> by_version;  // exactly one element for each entry
  std::set<std::string> fully_reported;        // registrars that have sent their full list
  DirectoryCounters counters;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_DIRECTORY_H_
