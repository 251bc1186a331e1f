// The target directory of the leader: soft state, merged from the registrations of all routers.
//
// Use:
//   directory.StartEpoch(now, term);                        // on gaining leadership
//   directory.Merge(now, router, records, full);       // on each sync request
//   directory.Tick(now, state.Routers());
//   DirectoryDelta delta = directory.DeltaSince(epoch, version);
//
// Contract: of two records of one target the one with the larger (incarnation, sequence) wins,
// whatever the order of arrival. A record that is gone is kept for kTombstoneTime, so that an older
// record that arrives late cannot bring it back. The epoch changes with each leadership; versions
// count changes within one epoch. While a new leader collects registrations, a delta only adds to
// the copy that a router has; the first delta after that replaces it.
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

namespace peridotgauge {

// Time in which routers resend their registrations to a new leader, and in which a target whose
// registrar has left the view has to register with another router.
constexpr Duration kCollectTime = Seconds(3);
// Far above the time for which a request can be delayed on its way to the leader.
constexpr Duration kTombstoneTime = Seconds(60);
// A full resend must fit into one frame, next to the router list. Records beyond are refused.
constexpr size_t kMaxTargets = 10'000;
constexpr size_t kMaxDirectoryBytes = 5 << 19;  // 2.5 MiB

// Digest of one record. The digest of a directory is the sum over its records that are not gone.
uint64_t DigestOf(const TargetRecord& record);

// What a router has to apply to its copy.
struct DirectoryDelta {
  uint64_t epoch = 0;
  uint64_t version = 0;
  uint64_t digest = 0;
  bool full = false;  // `targets` replaces the copy
  bool collecting =
      false;  // the copy may hold more than this leader knows; the digest is not checked
  std::vector<TargetRecord> targets;  // a gone record removes the target
  bool operator==(const DirectoryDelta&) const = default;
};

// Counters for the status page.
struct DirectoryCounters {
  uint64_t stale = 0;      // records older than the known one
  uint64_t conflicts = 0;  // another address or service under the name and incarnation of a target
  uint64_t refused = 0;    // the directory was full
  bool operator==(const DirectoryCounters&) const = default;
};

class Directory {
 public:
  // Starts a new leadership with an empty directory. `epoch` must be above the previous one. For
  // `collect_time` the copies of routers keep targets that have not registered again.
  void StartEpoch(Time now, uint64_t epoch, Duration collect_time = kCollectTime);

  // A registrar that is always in the view, besides the routers.
  void SetOwnRegistrar(const std::string& registrar) {
    this->own_registrar = registrar;
    this->complete.insert(registrar);
  }

  // Merges the records of one registrar. `full` means that `records` is all that the registrar
  // holds: other targets of it are dropped after kCollectTime unless they register again.
  // Returns true if something changed.
  bool Merge(Time now, const std::string& registrar, const std::vector<TargetRecord>& records,
             bool full);

  // True if the registrar has named all that it holds in this epoch; otherwise it must do so.
  bool HasFullList(const std::string& registrar) const {
    return this->complete.count(registrar) > 0;
  }

  // Drops targets whose registrar has been away from the view for kCollectTime, prunes tombstones
  // and ends the collecting phase. Returns true if something changed.
  bool Tick(Time now, const RouterMap& view);

  // The changes after `version`, or everything if the epoch differs or the version is too old.
  DirectoryDelta DeltaSince(uint64_t epoch, uint64_t version) const;

  uint64_t Epoch() const { return this->epoch; }
  uint64_t Version() const { return this->version; }
  uint64_t Digest() const { return this->digest; }
  bool Collecting() const { return this->collecting; }
  const DirectoryCounters& Counters() const { return this->counters; }
  // The last record of a target that is not gone.
  std::optional<TargetRecord> Find(const std::string& target) const;
  // The records that are not gone, in the order of their names.
  std::vector<TargetRecord> Targets() const;

 private:
  struct Entry {
    TargetRecord record;
    uint64_t version = 0;  // of its last change
    // Set when the record was dropped here and not by its target; the same registration may then
    // come back with an equal sequence.
    bool dropped = false;
    std::optional<Time> orphaned;  // since when no router holds the registration
    std::optional<Time> gone;      // since when the record is gone
  };
  enum class Verdict : uint8_t { kAccept, kSame, kStale, kConflict };
  static Verdict Judge(const Entry& entry, const TargetRecord& record);
  bool MergeOne(Time now, const TargetRecord& record);
  bool HasRoom(const Entry* known, const TargetRecord& record) const;
  void Store(Time now, Entry& entry, TargetRecord record);
  void Drop(Time now, Entry& entry);
  void Prune(Time now);

  std::string own_registrar;
  uint64_t epoch = 0;
  uint64_t version = 0;
  size_t bytes = 0;     // encoded size of all entries, an upper estimate
  uint64_t digest = 0;  // sum of DigestOf() over the entries that are not gone
  bool collecting = false;
  Time collect_until;
  uint64_t full_before = 0;  // copies below this version get everything
  std::map<std::string, Entry> entries;
  std::map<uint64_t, std::string> by_version;  // exactly one element for each entry
  std::set<std::string> complete;              // registrars that have sent a full list
  DirectoryCounters counters;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_DIRECTORY_H_
