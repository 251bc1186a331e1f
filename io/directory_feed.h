// The target directory as routers receive it: packages of records that the leader serializes and
// compresses once for all of them.
//
// Use, leader:
//   feed.Reset();                                  // when a term begins
//   feed.Publish(directory);                       // when a round of pushes begins
//   if (auto update = feed.UpdateFor(directory, known_epoch, known_version)) ...
// Use, router:
//   Result<std::vector<TargetRecord>> targets = OpenDirectoryPackage(packed);
//
// Contract: the records of an update, applied in order to a copy at the known epoch and version,
// bring it to the version of the update. A package holds the last state of all targets that changed
// between two published versions; it may be applied to a copy of any version in between. Copies
// that the packages do not cover get nothing here, and a delta of their own instead.
//
// Load pattern: 291 routers join at once, each of which needs the records of 1,300 targets, or as
// many targets register while all routers wait. Records that are serialized for each router take
// the leader's processor for seconds.
#ifndef PERIDOTGAUGE_IO_DIRECTORY_FEED_H_
#define PERIDOTGAUGE_IO_DIRECTORY_FEED_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/records.h"
#include "state/directory.h"

namespace peridotgauge {

// Routers hold the published version or one of the few before it, unless they were cut off.
constexpr size_t kMaxFeedPackages = 16;

// What a router gets. `version` and `digest` are those of its copy afterwards.
struct DirectoryUpdate {
  uint64_t version = 0;
  uint64_t digest = 0;
  bool full = false;  // the packages replace the copy
  std::vector<std::shared_ptr<const std::string>> packages;
};

class DirectoryFeed {
 public:
  // Forgets all packages.
  void Reset();
  // Publishes the changes since the last published version.
  void Publish(const Directory& directory);
  // Returns the last published version; 0 after Reset().
  uint64_t Version() const { return this->published; }
  // Returns the update for a copy with this epoch and version, or nothing if the packages do not
  // cover it.
  std::optional<DirectoryUpdate> UpdateFor(const Directory& directory, uint64_t copy_epoch,
                                           uint64_t copy_version);

 private:
  // The changes after version `from` up to version `to`.
  struct Package {
    uint64_t from = 0;
    uint64_t to = 0;
    uint64_t digest = 0;  // of the directory at `to`
    std::shared_ptr<const std::string> packed;
  };

  // Forgets all packages if the directory has begun another epoch or phase of it.
  void Follow(const Directory& directory);
  DirectoryUpdate All(const Directory& directory);
  // Adds the changes after `update.version`.
  void AddChanges(DirectoryUpdate& update) const;
  // Returns true if AddChanges() brings a copy of this version to the published version.
  bool Covers(uint64_t version) const;

  uint64_t epoch = 0;
  bool collecting = false;      // the directory collected registrations at the last call
  uint64_t published = 0;       // version
  std::deque<Package> changes;  // without gaps, oldest first; the last one ends at `published`
  std::optional<Package> all;   // all records at version `to`
};

// Returns the records of a package, or kCorrupt.
Result<std::vector<TargetRecord>> OpenDirectoryPackage(const std::string& packed);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_DIRECTORY_FEED_H_
