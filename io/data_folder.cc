// The check of the data folder, apart from the settings because it touches the disk.
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>

#include "core/settings.h"

namespace peridotgauge {
namespace {

constexpr char kProbeName[] = "write_check.tmp";

// Closes a file descriptor at the end of its scope.
class Descriptor {
 public:
  explicit Descriptor(int value) : value(value) {}
  ~Descriptor() {
    if (this->value >= 0) close(this->value);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int Get() const { return this->value; }

 private:
  int value;
};

tl::unexpected<Error> FailWith(const std::string& folder, std::string_view step, int error) {
  return Fail(ErrorCode::kStorageFailed,
              "data folder \"" + folder + "\": cannot " + std::string(step) + ": " +
                  std::generic_category().message(error) +
                  "; required is a folder in which this process can write and sync files");
}

// Writes and syncs one byte in a probe file.
Result<void> WriteProbe(const std::string& folder, const std::string& path) {
  const Descriptor file(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (file.Get() < 0) return FailWith(folder, "create a file", errno);
  if (write(file.Get(), "x", 1) != 1) return FailWith(folder, "write a file", errno);
  if (fsync(file.Get()) != 0) return FailWith(folder, "sync a file", errno);
  return {};
}

}  // namespace

Result<void> CheckDataFolder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) return FailWith(folder, "create the folder", error.value());
  const std::string path = (std::filesystem::path(folder) / kProbeName).string();
  Result<void> written = WriteProbe(folder, path);
  unlink(path.c_str());
  if (!written) return written;
  const Descriptor directory(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (directory.Get() < 0) return FailWith(folder, "open the folder", errno);
  if (fsync(directory.Get()) != 0) return FailWith(folder, "sync the folder", errno);
  return {};
}

}  // namespace peridotgauge
