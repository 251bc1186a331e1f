// Basic value types that all modules share: time, identifiers and addresses.
//
// The code in core/ and state/ never reads a clock. It receives the current time as a `Time`
// argument; only the I/O layer calls SteadyNow() and UnixMillis().
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
// Returns the duration in milliseconds, rounded toward zero.
constexpr int64_t WholeMillis(Duration d) { return d / Millis(1); }
// Returns the time `millis` after the epoch of `Time`. Used by tests.
constexpr Time TimeAt(int64_t millis) { return Time(Millis(millis)); }

// Identifies a shard of a service. The shards of a service are numbered from 0.
struct ShardId {
  std::string service;
  uint32_t shard = 0;
  auto operator<=>(const ShardId&) const = default;
};

// A replica of a shard on one target: shard `shard` of the target's service in one snapshot of the
// index, which divides the service into `shards` shards.
struct Holding {
  uint64_t snapshot = 0;
  uint32_t shard = 0;
  uint32_t shards = 1;
  auto operator<=>(const Holding&) const = default;
};

// An address as text, "127.0.0.1:7001" or "[::1]:7001". See address.h for parsing.
using Address = std::string;

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_TYPES_H_
