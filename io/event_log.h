// A structured log with one line of JSON per event, for standard output.
//
// Use:
//   EventLog log(STDOUT_FILENO);
//   log.Write(now, UnixMillis(), Event("request_end").Add("request", id).Add("status", 200));
//
// Contract: never blocks and never fails. Lines pass through a bounded buffer; lines that do not
// fit because the reader is slow are dropped. A token bucket limits the rate to kEventsPerSecond
// with bursts of kEventBurst; lines above it are dropped too. The next written line reports the
// number of dropped lines in the field `left_out`. The field names are listed in
// docs/OPERATIONS.md.
#ifndef PERIDOTGAUGE_IO_EVENT_LOG_H_
#define PERIDOTGAUGE_IO_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/types.h"
#include "io/clock.h"

namespace peridotgauge {

// At about 250 bytes a line this is at most 50 KB/s and 2% of the processor time of a small host.
constexpr double kEventsPerSecond = 200;
constexpr double kEventBurst = 1'000;
// Limit on the bytes that the reader has not consumed yet.
constexpr size_t kMaxEventBytes = 256 << 10;

// Builds one line.
class Event {
 public:
  explicit Event(std::string_view name);
  Event& Add(std::string_view key, std::string_view value);
  Event& Add(std::string_view key, const char* value) {
    return this->Add(key, std::string_view(value));
  }
  Event& Add(std::string_view key, bool value);
  template <std::integral Number>
  Event& Add(std::string_view key, Number value) {
    return this->AddRaw(key, std::to_string(value));
  }
  // Adds the number with three decimals.
  Event& Add(std::string_view key, double value);
  // Adds the duration in milliseconds with three decimals.
  Event& Add(std::string_view key, Duration value);

  const std::string& Text() const { return this->text; }

 private:
  Event& AddRaw(std::string_view key, std::string_view value);

  std::string text;  // the line without the opening brace, the time and the closing brace
};

class EventLog {
 public:
  // `descriptor` must stay open as long as the log exists. If it is -1, nothing is written.
  explicit EventLog(int descriptor) : descriptor(descriptor) {}

  // Writes one line. `now_ms` is Unix time.
  void Write(Time now, int64_t now_ms, const Event& event);
  uint64_t DroppedLines() const { return this->dropped_total; }

 private:
  void Flush();

  int descriptor;
  std::string buffer;  // at most kMaxEventBytes
  double tokens = kEventBurst;
  Time last_refill{};
  uint64_t dropped_since_last = 0;  // lines dropped since the last written one
  uint64_t dropped_total = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_EVENT_LOG_H_
