// Writes spans to a file, one JSON line each.
//
// Use:
//   SpanWriter writer("spans.jsonl", kMaxBufferedSpans);
//   writer.Add(span);
//   Result<void> written = writer.Flush();     // from a timer, and at shutdown
//
// Contract: Add() never blocks and never fails; spans that do not fit into the buffer are counted
// as dropped. Flush() appends whole lines. After a failed write the unwritten spans stay in the
// buffer. When the file reaches kMaxSpanFileBytes it is renamed to "<path>.1", replacing the
// previous one, so disk use is bounded. Spans are diagnostic data and therefore not synced.
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
// Limit on the lines of one write, so that a flush does not block the event loop for long.
constexpr size_t kMaxSpansPerWrite = 1'000;

class SpanWriter {
 public:
  // If the path is empty, all spans are dropped without being counted. The first flush opens the
  // file.
  SpanWriter(std::string path, size_t capacity, uint64_t max_file_bytes = kMaxSpanFileBytes);
  ~SpanWriter();
  SpanWriter(const SpanWriter&) = delete;
  SpanWriter& operator=(const SpanWriter&) = delete;

  // Returns true if spans are written.
  bool Enabled() const { return !this->path.empty(); }
  void Add(const Span& span);
  // Writes at most kMaxSpansPerWrite spans. Returns kStorageFailed with the file and the cause.
  Result<void> Flush();

  size_t Buffered() const { return this->lines.size(); }
  uint64_t Dropped() const { return this->dropped; }

 private:
  Result<void> Open();
  Result<void> Rotate();
  Error IoError(const std::string& step, int error) const;

  std::string path;
  size_t capacity;
  uint64_t max_file_bytes;
  int file = -1;
  uint64_t file_bytes = 0;
  uint64_t dropped = 0;
  std::deque<std::string> lines;  // at most `capacity`
  std::string partial_write;      // rest of a short write, to be written before `lines`
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_SPAN_WRITER_H_
