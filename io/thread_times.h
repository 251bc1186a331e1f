// Processor times of a thread.
//
// Use:
//   ThreadTimes times;
//   Duration cpu = times.Cpu();  std::optional<Duration> queued = times.Queued();
//
// Contract: all functions are called on the same thread, whose times they return. The kernel's file
// is opened by the first call of Queued().
#ifndef PERIDOTGAUGE_IO_THREAD_TIMES_H_
#define PERIDOTGAUGE_IO_THREAD_TIMES_H_

#include <optional>

#include "core/types.h"

namespace peridotgauge {

class ThreadTimes {
 public:
  ThreadTimes() = default;
  ~ThreadTimes();
  ThreadTimes(const ThreadTimes&) = delete;
  ThreadTimes& operator=(const ThreadTimes&) = delete;

  // Returns for how long the thread has run on a processor.
  static Duration Cpu();
  // Returns for how long the thread has been ready to run without a processor. Returns nothing if
  // the kernel does not tell.
  std::optional<Duration> Queued();

 private:
  bool opened = false;
  int descriptor = -1;  // of /proc/thread-self/schedstat
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_THREAD_TIMES_H_
