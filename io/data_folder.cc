// Checks the data folder. Separate from the validation of the settings because it accesses the
// disk.
#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <iterator>
#include <system_error>

#include "core/settings.h"

namespace peridotgauge {
namespace {

// Errors that pass without a change of the settings: a full disk, or one that fails for a time.
constexpr int kTemporaryErrors[] = {ENOSPC, EDQUOT, EFBIG, EIO};

constexpr char kProbeFileName[] = "write_check.tmp";

// Closes a file descriptor at the end of its scope.
class ScopedFd {
 public:
  explicit ScopedFd(int value) : value(value) {}
  ~ScopedFd() {
    if (this->value >= 0) close(this->value);
  }
  ScopedFd(const ScopedFd&) = delete;
  ScopedFd& operator=(const ScopedFd&) = delete;
  int Get() const { return this->value; }

 private:
  int value;
};

// Returns the error of a step of the check. An error that passes by itself is only logged: the
// process waits for its disk before it starts the daemon.
Result<void> FolderError(const std::string& folder, std::string_view step, int error) {
  if (std::find(std::begin(kTemporaryErrors), std::end(kTemporaryErrors), error) !=
      std::end(kTemporaryErrors)) {
    LOG(WARNING) << "data folder \"" << folder << "\": cannot " << step
                 << " at present: " << std::generic_category().message(error);
    return {};
  }
  return Fail(ErrorCode::kStorageFailed,
              "data folder \"" + folder + "\": cannot " + std::string(step) + ": " +
                  std::generic_category().message(error) +
                  "; this process must be able to create, write and sync files in the folder");
}

// Creates a probe file and writes and syncs one byte.
Result<void> WriteProbe(const std::string& folder, const std::string& path) {
  const ScopedFd file(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (file.Get() < 0) return FolderError(folder, "create a file", errno);
  if (write(file.Get(), "x", 1) != 1) return FolderError(folder, "write a file", errno);
  if (fsync(file.Get()) != 0) return FolderError(folder, "sync a file", errno);
  return {};
}

}  // namespace

Result<void> CheckDataFolder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) return FolderError(folder, "create the folder", error.value());
  const std::string path = (std::filesystem::path(folder) / kProbeFileName).string();
  Result<void> written = WriteProbe(folder, path);
  unlink(path.c_str());
  if (!written) return written;
  const ScopedFd directory(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (directory.Get() < 0) return FolderError(folder, "open the folder", errno);
  if (fsync(directory.Get()) != 0) return FolderError(folder, "sync the folder", errno);
  return {};
}

}  // namespace peridotgauge
