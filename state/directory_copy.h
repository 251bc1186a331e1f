// A router's copy of the target directory.
//
// Use:
//   copy.Apply(delta);                    // from each SyncReply
//   request.directory_epoch = copy.Epoch(); request.directory_version = copy.Version();
//   const TargetRecord* record = copy.Find("verstas-1/a");
//
// Contract: the copy never goes back to an older epoch, nor to an older version within an epoch.
// After a digest mismatch it reports version 0, so that the leader sends all records; until they
// arrive, the copy keeps its records.
#ifndef PERIDOTGAUGE_STATE_DIRECTORY_COPY_H_
#define PERIDOTGAUGE_STATE_DIRECTORY_COPY_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/records.h"
#include "state/directory.h"

namespace peridotgauge {

class DirectoryCopy {
 public:
  // Applies a delta that was requested with the Epoch() and Version() of this copy or of an earlier
  // state of it. Returns true if the set of targets changed.
  bool Apply(const DirectoryDelta& delta);

  // Makes the next request ask for all records, because a delta could not be read.
  void RequestAll() { this->version = 0; }

  uint64_t Epoch() const { return this->epoch; }
  // Returns the version, or 0 if the copy needs all records.
  uint64_t Version() const { return this->version; }
  uint64_t Digest() const { return this->digest; }
  // Returns true while the copy holds records that the current leader has not confirmed.
  bool HasUnconfirmedRecords() const { return this->has_unconfirmed_records; }
  // Returns how often the digest after a delta differed from the leader's.
  uint64_t DigestMismatches() const { return this->mismatches; }

  // Returns the targets that are not gone, by name.
  const std::map<std::string, TargetRecord>& Targets() const { return this->targets; }
  const TargetRecord* Find(const std::string& target) const;

 private:
  bool Replace(const DirectoryDelta& delta);
  bool Update(const DirectoryDelta& delta);
  bool Set(const TargetRecord& record);
  bool IsOutdated(const TargetRecord& record) const;
  void RecordRemoval(const TargetRecord& removed_record);
  void CheckDigest(uint64_t expected);

  uint64_t epoch = 0;
  uint64_t version = 0;
  uint64_t digest = 0;  // sum of DigestOf() over `targets`
  bool has_unconfirmed_records = false;
  uint64_t mismatches = 0;
  std::map<std::string, TargetRecord> targets;
  // Last record of each removed target. While a new leader collects registrations, a router that
  // has missed the removal may still report an older record.
  std::map<std::string, TargetRecord> removed;
};

// Updates `known`, an earlier state of `targets`, to `targets`. Calls `set` with each new or
// changed record and `gone` with each removed record.
template <typename Set, typename Gone>
void UpdateKnownTargets(const std::map<std::string, TargetRecord>& targets,
                        std::map<std::string, TargetRecord>& known, Set set, Gone gone) {
  for (const auto& [name, record] : targets) {
    const auto found = known.find(name);
    if (found != known.end() && found->second == record) continue;
    known[name] = record;
    set(record);
  }
  std::erase_if(known, [&](const auto& item) {
    if (targets.contains(item.first)) return false;
    gone(item.second);
    return true;
  });
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_DIRECTORY_COPY_H_
