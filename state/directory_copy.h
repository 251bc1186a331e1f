// A router's copy of the target directory.
//
// Use:
//   copy.Apply(delta);                    // from each SyncReply
//   request.directory_epoch = copy.Epoch(); request.directory_version = copy.Version();
//   const TargetRecord* record = copy.Find("verstas-1/a");
//
// Contract: the copy follows one epoch at a time and never goes back to an older epoch or version.
// After a digest mismatch it reports version 0, so that the leader sends everything; until then it
// keeps what it has.
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
  // Applies a delta that was requested with Epoch() and Version() of this copy or an earlier state
  // of it. Returns true if the set of targets changed.
  bool Apply(const DirectoryDelta& delta);

  uint64_t Epoch() const { return this->epoch; }
  // 0 means that the copy needs everything.
  uint64_t Version() const { return this->version; }
  uint64_t Digest() const { return this->digest; }
  // True while the copy holds records that the present leader has not confirmed.
  bool Provisional() const { return this->provisional; }
  // How often a delta led to another digest than the leader's.
  uint64_t Mismatches() const { return this->mismatches; }

  // The targets that are not gone, by name.
  const std::map<std::string, TargetRecord>& Targets() const { return this->targets; }
  const TargetRecord* Find(const std::string& target) const;

 private:
  bool Replace(const DirectoryDelta& delta);
  bool Update(const DirectoryDelta& delta);
  bool Set(const TargetRecord& record);
  bool Outdated(const TargetRecord& record) const;
  void Remember(const TargetRecord& removed_record);
  void CheckDigest(uint64_t expected);

  uint64_t epoch = 0;
  uint64_t version = 0;
  uint64_t digest = 0;  // sum of DigestOf() over `targets`
  bool provisional = false;
  uint64_t mismatches = 0;
  std::map<std::string, TargetRecord> targets;
  // Last record of each target that was removed. While a new leader collects, a router that has
  // missed the removal may still report an older record.
  std::map<std::string, TargetRecord> removed;
};

// Brings `known`, an earlier state of `targets`, up to date: calls `set` with each new or changed
// record and `gone` with each record that is no longer there.
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
