// Writes spans to a file, one JSON line each.
//
// Use:
//   SpanWriter writer("spans.jsonl", kMaxBufferedSpans);
//   writer.Add(span);
//   Result<void> written = writer.Flush();     // from a timer, and at shutdown
//
// Contract: Add() never blocks and never fails; spans that do not fit into the buffer are counted
// as dropped. Flush() appends whole lines. After a failed write the unwritten spans stay in the
// buffer. When the file reaches kMaxSpanFileBytes it is renamed to "<path>.1", which replaces the
// older one, so disk use is bounded. Spans are not synced: they are diagnostic data.
#ifndef PERIDOTGAUGE_IO_SPAN_WRITER_H_
#define PERIDOTGAUGE_IO_SPAN_WRITER_H_

#include <cstdint>
#include <deque>
#include <string>

#include "core/error.h"
#include "core/span.h"

namespace peridotgauge {

constexpr size_t kMaxBufferedSpans = 10'000;
constexpr uint64_t kMaxSpanFileBytes = 256ULL << 20U;
// Lines in one write, so that a flush does not hold up the event loop for long.
constexpr size_t kMaxSpansPerWrite = 1'000;

class SpanWriter {
 public:
  // An empty path drops all spans without counting them. The file is opened by the first flush.
  SpanWriter(std::string path, size_t capacity, uint64_t max_file_bytes = kMaxSpanFileBytes);
  ~SpanWriter();
  SpanWriter(const SpanWriter&) = delete;
  SpanWriter& operator=(const SpanWriter&) = delete;

  // True if spans are written at all.
  bool Enabled() const { return !this->path.empty(); }
  void Add(const Span& span);
  // Writes at most kMaxSpansPerWrite spans; kStorageFailed names the file and the cause.
  Result<void> Flush();

  size_t Buffered() const { return this->lines.size(); }
  uint64_t Dropped() const { return this->dropped; }

 private:
  Result<void> Open();
  Result<void> Rotate();
  Error Failure(const std::string& step, int error) const;

  std::string path;
  size_t capacity;
  uint64_t max_file_bytes;
  int file = -1;
  uint64_t file_bytes = 0;
  uint64_t dropped = 0;
  std::deque<std::string> lines;  // at most `capacity`
  std::string partial;            // rest of a write that was cut short; goes out before `lines`
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_SPAN_WRITER_H_
