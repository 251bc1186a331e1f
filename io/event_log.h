// Structured log of decisions: one line of JSON for each, on standard output.
//
// Use:
//   EventLog log(STDOUT_FILENO);
//   log.Write(now, UnixMillis(), Event("request_end").Add("request", id).Add("status", 200));
//
// Contract: never blocks and never fails. Lines go through a bounded buffer; what the reader does
// not take in time is dropped. More than kEventsPerSecond lines a second, beyond a burst, are
// dropped too. The next line that is written says how many were left out (`left_out`). The field
// names are listed in docs/OPERATIONS.md.
#ifndef PERIDOTGAUGE_IO_EVENT_LOG_H_
#define PERIDOTGAUGE_IO_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/types.h"
#include "io/clock.h"

namespace peridotgauge {

// About 250 bytes a line: 50 KB/s at most, and 2% of a small host's processor time.
constexpr double kEventsPerSecond = 200;
constexpr double kEventBurst = 1'000;
// Lines that the reader has not taken yet.
constexpr size_t kMaxEventBytes = 256 << 10;

// One line under construction.
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
  // In milliseconds, with three decimals.
  Event& Add(std::string_view key, Duration value);

  const std::string& Text() const { return this->text; }

 private:
  Event& AddRaw(std::string_view key, std::string_view value);

  std::string text;  // without the opening brace and the time, and without the closing brace
};

class EventLog {
 public:
  // `descriptor` stays open as long as the log. -1: nothing is written.
  explicit EventLog(int descriptor) : descriptor(descriptor) {}

  // `now_ms` is Unix time.
  void Write(Time now, int64_t now_ms, const Event& event);
  uint64_t DroppedLines() const { return this->dropped_total; }

 private:
  void Flush();

  int descriptor;
  std::string buffer;  // at most kMaxEventBytes
  double tokens = kEventBurst;
  Time refilled{};
  uint64_t dropped_since_last = 0;  // since the last line
  uint64_t dropped_total = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_EVENT_LOG_H_
