// Loopback networks for tests that run at the same time, also those of different checkouts.
//
// Use:
//   const std::string network = ClaimLoopbackNetwork();  // such as "127.16.1."
//   const Address router = network + "21:18201";
//
// A network is claimed with a lock on a file in the folder for temporary files. The kernel releases
// the lock when the process ends, however it ends. testing/cluster.sh claims networks in the same
// way.
#ifndef PERIDOTGAUGE_TESTING_LOOPBACK_NETWORK_H_
#define PERIDOTGAUGE_TESTING_LOOPBACK_NETWORK_H_

#include <string>

namespace peridotgauge {

// Returns the first three numbers of the addresses of a network, with a dot after each. No other
// call returns the same network until this process has ended. Ends the process if none is free.
std::string ClaimLoopbackNetwork();

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_LOOPBACK_NETWORK_H_
