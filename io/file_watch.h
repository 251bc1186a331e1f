// Notices that a file has been replaced or written.
//
// Use:
//   FileWatch watch(path);                  // what is there now counts as known
//   if (watch.Changed()) Reload();          // from a timer
//
// Contract: Changed() returns true once for each change that it sees. It asks for the file's
// description only and never reads it. A file that is missing for a moment, while it is replaced,
// is no change.
#ifndef PERIDOTGAUGE_IO_FILE_WATCH_H_
#define PERIDOTGAUGE_IO_FILE_WATCH_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotgauge {

class FileWatch {
 public:
  explicit FileWatch(std::string path);

  bool Changed();

 private:
  struct Version {
    uint64_t inode = 0;
    int64_t size = 0;         // bytes
    int64_t modified_ns = 0;  // since the Unix epoch; compared only
    auto operator<=>(const Version&) const = default;
  };
  std::optional<Version> Look() const;

  std::string path;
  std::optional<Version> known;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_FILE_WATCH_H_
