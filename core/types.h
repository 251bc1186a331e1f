// Basic value types that every module shares: time, identifiers and addresses.
//
// Deciding functions never read a clock. They receive the present time as a `Time` argument, and
// only the I/O layer calls SteadyNow() and UnixMillis().
#ifndef PERIDOTGAUGE_CORE_TYPES_H_
#define PERIDOTGAUGE_CORE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace peridotgauge {

// Durations have microsecond resolution.
using Duration = std::chrono::microseconds;
// Monotonic time. The epoch is arbitrary and differs between processes.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

constexpr Duration Millis(int64_t n) { return std::chrono::milliseconds(n); }
constexpr Duration Seconds(int64_t n) { return std::chrono::seconds(n); }
constexpr double ToMillis(Duration d) { return static_cast<double>(d.count()) / 1000.0; }
// Without the fraction.
constexpr int64_t WholeMillis(Duration d) { return d / Millis(1); }
// Builds a time from milliseconds since an arbitrary epoch; tests use it.
constexpr Time TimeAt(int64_t millis) { return Time(Millis(millis)); }

// A shard of a service. Shards of a service are numbered from 0.
struct ShardId {
  std::string service;
  uint32_t shard = 0;
  auto operator<=>(const ShardId&) const = default;
};

// What one target holds: one shard of its service in one snapshot of the index, where the snapshot
// divides the service into `shards` shards.
struct Holding {
  uint64_t snapshot = 0;
  uint32_t shard = 0;
  uint32_t shards = 1;
  auto operator<=>(const Holding&) const = default;
};

// Addresses are text in the form "127.0.0.1:7001"; an IPv6 address is put in square brackets.
using Address = std::string;

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_TYPES_H_
