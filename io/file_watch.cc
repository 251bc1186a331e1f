// Detects changes of a file by its inode, size and modification time.
#include "io/file_watch.h"

#include <sys/stat.h>

#include <utility>

namespace peridotgauge {

FileWatch::FileWatch(std::string path) : path(std::move(path)), last_version(this->ReadVersion()) {}

bool FileWatch::Changed() {
  const std::optional<Version> now = this->ReadVersion();
  if (!now || now == this->last_version) return false;
  this->last_version = now;
  return true;
}

std::optional<FileWatch::Version> FileWatch::ReadVersion() const {
  struct stat found {};
  if (::stat(this->path.c_str(), &found) != 0) return std::nullopt;
  constexpr int64_t kNanosPerSecond = 1'000'000'000;
  return Version{.inode = found.st_ino,
                 .size = found.st_size,
                 .modified_ns = found.st_mtim.tv_sec * kNanosPerSecond + found.st_mtim.tv_nsec};
}

}  // namespace peridotgauge
