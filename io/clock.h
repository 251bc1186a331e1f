// The clocks of the host. Decision logic gets the current time as an argument; only the I/O code
// that calls it reads a clock.
#ifndef PERIDOTGAUGE_IO_CLOCK_H_
#define PERIDOTGAUGE_IO_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "core/types.h"

namespace peridotgauge {

// Returns the time of the monotonic clock.
inline Time SteadyNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Returns the time of the wall clock in milliseconds since the Unix epoch.
inline int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CLOCK_H_
