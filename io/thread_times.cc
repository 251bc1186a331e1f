// Reads processor times from the kernel.
#include "io/thread_times.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <chrono>
#include <ctime>

namespace peridotgauge {
namespace {

Duration FromNanos(int64_t nanos) {
  return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(nanos));
}

}  // namespace

ThreadTimes::~ThreadTimes() {
  if (this->descriptor >= 0) close(this->descriptor);
}

Duration ThreadTimes::Cpu() {
  timespec spent{};
  if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent) != 0) return Duration(0);
  return Seconds(spent.tv_sec) + FromNanos(spent.tv_nsec);
}

std::optional<Duration> ThreadTimes::Queued() {
  if (!this->opened) {
    this->descriptor = open("/proc/thread-self/schedstat", O_RDONLY | O_CLOEXEC);
    this->opened = true;
  }
  // The file has three numbers: nanoseconds on a processor, nanoseconds in the queue, and turns.
  std::array<char, 128> text;
  const ssize_t size = pread(this->descriptor, text.data(), text.size(), 0);
  if (size <= 0) return std::nullopt;
  const char* const end = text.data() + size;
  uint64_t cpu = 0;
  int64_t queued = 0;
  const auto first = std::from_chars(text.data(), end, cpu);
  if (first.ec != std::errc() || first.ptr == end) return std::nullopt;
  if (std::from_chars(first.ptr + 1, end, queued).ec != std::errc()) return std::nullopt;
  return FromNanos(queued);
}

}  // namespace peridotgauge
