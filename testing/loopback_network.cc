// Claims loopback networks with locked files.
#include "testing/loopback_network.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <random>

namespace peridotgauge {
namespace {

// The networks 127.16.1.0 to 127.23.250.0, the same as in testing/cluster.sh.
constexpr int kNetworks = 2'000;
constexpr int kNetworksPerSecondNumber = 250;
constexpr int kFirstSecondNumber = 16;

}  // namespace

std::string ClaimLoopbackNetwork() {
  const std::string folder =
      (std::filesystem::temp_directory_path() / "peridotgauge_test_networks").string();
  // Other users can claim networks too; the mode does not depend on the umask.
  if (mkdir(folder.c_str(), 0700) == 0) chmod(folder.c_str(), 01777);
  std::random_device random;
  const int first = std::uniform_int_distribution<int>(0, kNetworks - 1)(random);
  for (int i = 0; i < kNetworks; ++i) {
    const int number = (first + i) % kNetworks;
    const std::string file = folder + "/" + std::to_string(number);
    const int descriptor = open(file.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (descriptor < 0) continue;
    // The descriptor stays open, and with it the lock is held, until the process ends.
    if (flock(descriptor, LOCK_EX | LOCK_NB) == 0) {
      return "127." + std::to_string(kFirstSecondNumber + number / kNetworksPerSecondNumber) + "." +
             std::to_string(1 + number % kNetworksPerSecondNumber) + ".";
    }
    close(descriptor);
  }
  LOG(FATAL) << "no loopback network is free; see the lock files in " << folder;
}

}  // namespace peridotgauge
