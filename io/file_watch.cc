// Compares the description of a file with the one before.
#include "io/file_watch.h"

#include <sys/stat.h>

#include <utility>

namespace peridotgauge {

FileWatch::FileWatch(std::string path) : path(std::move(path)), known(this->Look()) {}

bool FileWatch::Changed() {
  const std::optional<Version> now = this->Look();
  if (!now || now == this->known) return false;
  this->known = now;
  return true;
}

std::optional<FileWatch::Version> FileWatch::Look() const {
  struct stat found {};
  if (::stat(this->path.c_str(), &found) != 0) return std::nullopt;
  constexpr int64_t kNanosPerSecond = 1'000'000'000;
  return Version{.inode = found.st_ino,
                 .size = found.st_size,
                 .modified_ns = found.st_mtim.tv_sec * kNanosPerSecond + found.st_mtim.tv_nsec};
}

}  // namespace peridotgauge
