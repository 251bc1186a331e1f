// Appends spans to a file in batches.
#include "io/span_writer.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <system_error>

namespace peridotgauge {

SpanWriter::SpanWriter(std::string path, size_t capacity, uint64_t max_file_bytes)
    : path(std::move(path)), capacity(capacity), max_file_bytes(max_file_bytes) {}

SpanWriter::~SpanWriter() {
  if (this->file >= 0) close(this->file);
}

void SpanWriter::Add(const Span& span) {
  if (!this->Enabled()) return;
  if (this->lines.size() >= this->capacity) {
    ++this->dropped;
    return;
  }
  this->lines.push_back(ToJsonLine(span));
}

Result<void> SpanWriter::Flush() {
  if (!this->Enabled() || (this->lines.empty() && this->partial_write.empty())) return {};
  if (Result<void> opened = this->Open(); !opened) return opened;
  if (this->partial_write.empty() && this->file_bytes >= this->max_file_bytes) {
    if (Result<void> rotated = this->Rotate(); !rotated) return rotated;
  }
  const size_t count = std::min(this->lines.size(), kMaxSpansPerWrite);
  std::string text = this->partial_write;
  for (size_t i = 0; i < count; ++i) text.append(this->lines[i]).append("\n");
  const ssize_t written = write(this->file, text.data(), text.size());
  if (written < 0) return tl::unexpected(this->IoError("write", errno));
  this->lines.erase(this->lines.begin(), this->lines.begin() + static_cast<ptrdiff_t>(count));
  this->partial_write = text.substr(static_cast<size_t>(written));
  this->file_bytes += static_cast<uint64_t>(written);
  return {};
}

Result<void> SpanWriter::Open() {
  if (this->file >= 0) return {};
  this->file = open(this->path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (this->file < 0) return tl::unexpected(this->IoError("open", errno));
  struct stat status {};
  if (fstat(this->file, &status) != 0) return tl::unexpected(this->IoError("examine", errno));
  this->file_bytes = static_cast<uint64_t>(status.st_size);
  return {};
}

Result<void> SpanWriter::Rotate() {
  if (std::rename(this->path.c_str(), (this->path + ".1").c_str()) != 0) {
    return tl::unexpected(this->IoError("rename", errno));
  }
  close(this->file);
  this->file = -1;
  return this->Open();
}

Error SpanWriter::IoError(const std::string& step, int error) const {
  return {ErrorCode::kStorageFailed, "cannot " + step + " span file \"" + this->path +
                                         "\": " + std::generic_category().message(error)};
}

}  // namespace peridotgauge
