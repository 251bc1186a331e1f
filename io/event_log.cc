// Implements the rate limit and non-blocking writes of the event log.
#include "io/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>
#include <cstdio>

namespace peridotgauge {
namespace {

// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr size_t kMaxWriteBytes = PIPE_BUF;

void AppendQuoted(std::string_view value, std::string& out) {
  out.push_back('"');
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (byte < ' ' || byte >= 0x7f) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
      out.append(escaped.data());
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

}  // namespace

Event::Event(std::string_view name) { this->Add("event", name); }

Event& Event::Add(std::string_view key, std::string_view value) {
  std::string quoted;
  AppendQuoted(value, quoted);
  return this->AddRaw(key, quoted);
}

Event& Event::Add(std::string_view key, bool value) {
  return this->AddRaw(key, value ? "true" : "false");
}

Event& Event::Add(std::string_view key, double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", value);
  return this->AddRaw(key, text.data());
}

Event& Event::Add(std::string_view key, Duration value) { return this->Add(key, ToMillis(value)); }

Event& Event::AddRaw(std::string_view key, std::string_view value) {
  this->text.append(",\"").append(key).append("\":").append(value);
  return *this;
}

void EventLog::Write(Time now, int64_t now_ms, const Event& event) {
  if (this->descriptor < 0) return;
  const double seconds = std::chrono::duration<double>(now - this->last_refill).count();
  this->last_refill = now;
  this->tokens = std::min(kEventBurst, this->tokens + std::max(0.0, seconds) * kEventsPerSecond);
  if (this->tokens < 1 || this->buffer.size() + event.Text().size() > kMaxEventBytes) {
    ++this->dropped_since_last;
    ++this->dropped_total;
    return this->Flush();
  }
  this->tokens -= 1;
  this->buffer.append("{\"time_ms\":").append(std::to_string(now_ms)).append(event.Text());
  if (this->dropped_since_last > 0) {
    this->buffer.append(",\"left_out\":").append(std::to_string(this->dropped_since_last));
    this->dropped_since_last = 0;
  }
  this->buffer.append("}\n");
  this->Flush();
}

// Writes as much as possible without blocking; the rest stays in the buffer until the next event.
void EventLog::Flush() {
  while (!this->buffer.empty()) {
    pollfd ready{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return;
    const size_t size = std::min(this->buffer.size(), kMaxWriteBytes);
    const ssize_t written = ::write(this->descriptor, this->buffer.data(), size);
    if (written <= 0) return;
    this->buffer.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace peridotgauge
