// Detects that a file has been replaced or written.
//
// Use:
//   FileWatch watch(path);                  // the current version is the baseline
//   if (watch.Changed()) Reload();          // from a timer
//
// Contract: Changed() returns true once for each detected change. It compares the result of stat()
// and never reads the file. A file that is temporarily missing while it is being replaced does not
// count as a change.
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

  // Returns true if the file has changed since the last call or the constructor.
  bool Changed();

 private:
  struct Version {
    uint64_t inode = 0;
    int64_t size = 0;         // bytes
    int64_t modified_ns = 0;  // since the Unix epoch
    auto operator<=>(const Version&) const = default;
  };
  // Returns nothing if the file cannot be examined.
  std::optional<Version> ReadVersion() const;

  std::string path;
  std::optional<Version> last_version;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_FILE_WATCH_H_
