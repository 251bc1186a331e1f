// Implements the write-ahead log. A record is a header and an encoded WalRecord. Header:
//   4 bytes payload length, 4 bytes header checksum, 8 bytes payload checksum (little endian).
// The header checksum covers the length, the payload checksum and the segment number, so that a
// corrupt length is not mistaken for a record that runs past the end of the file.
#include "io/wal.h"

#define XXH_INLINE_ALL
#include <dirent.h>
#include <fcntl.h>
#include <glog/logging.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <utility>
#include <vector>

namespace peridotgauge {
namespace {

constexpr size_t kHeaderBytes = 16;
constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderChecksumBytes = 4;
constexpr mode_t kFileMode = 0640;
constexpr mode_t kFolderMode = 0750;
constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::string_view kSegmentSuffix = ".wal";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kSnapshotSuffix = ".snap";
constexpr std::string_view kTemporarySuffix = ".tmp";

std::string ErrnoText(int error_number) {
  std::array<char, 128> buffer{};
  return strerror_r(error_number, buffer.data(), buffer.size());
}

uint32_t HeaderChecksum(uint32_t length, uint64_t payload_checksum, uint64_t seed) {
  std::array<char, kLengthBytes + sizeof payload_checksum> bytes{};
  std::memcpy(bytes.data(), &length, sizeof length);
  std::memcpy(bytes.data() + kLengthBytes, &payload_checksum, sizeof payload_checksum);
  return static_cast<uint32_t>(XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed));
}

// Returns header and payload. `seed`, the segment number or snapshot index, ties the record to its
// file.
std::string FrameRecord(std::string_view payload, uint64_t seed) {
  const auto length = static_cast<uint32_t>(payload.size());
  const uint64_t payload_checksum = XXH3_64bits(payload.data(), payload.size());
  const uint32_t header_checksum = HeaderChecksum(length, payload_checksum, seed);
  std::string out(kHeaderBytes, '\0');
  std::memcpy(out.data(), &length, sizeof length);
  std::memcpy(out.data() + kLengthBytes, &header_checksum, sizeof header_checksum);
  std::memcpy(out.data() + kLengthBytes + kHeaderChecksumBytes, &payload_checksum,
              sizeof payload_checksum);
  out += payload;
  return out;
}

// Returns the payload of the record at `offset`, or nothing if there is no valid record.
std::optional<std::string_view> ReadRecordAt(std::string_view bytes, size_t offset, uint64_t seed) {
  if (bytes.size() - offset < kHeaderBytes) return std::nullopt;
  uint32_t length = 0;
  uint32_t header_checksum = 0;
  uint64_t payload_checksum = 0;
  const char* header = bytes.data() + offset;
  std::memcpy(&length, header, sizeof length);
  std::memcpy(&header_checksum, header + kLengthBytes, sizeof header_checksum);
  std::memcpy(&payload_checksum, header + kLengthBytes + kHeaderChecksumBytes,
              sizeof payload_checksum);
  if (header_checksum != HeaderChecksum(length, payload_checksum, seed)) return std::nullopt;
  if (bytes.size() - offset - kHeaderBytes < length) return std::nullopt;
  const std::string_view payload = bytes.substr(offset + kHeaderBytes, length);
  if (XXH3_64bits(payload.data(), payload.size()) != payload_checksum) return std::nullopt;
  return payload;
}

// Returns true if a valid record starts anywhere after `offset`.
bool HasRecordAfter(std::string_view bytes, size_t offset, uint64_t seed) {
  for (size_t i = offset + 1; i + kHeaderBytes <= bytes.size(); ++i) {
    if (ReadRecordAt(bytes, i, seed)) return true;
  }
  return false;
}

tl::unexpected<Error> StorageError(const std::string& what, int error_number) {
  return Fail(ErrorCode::kStorageFailed, "cannot " + what + ": " + ErrnoText(error_number));
}

Result<std::string> ReadFile(const std::string& path) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return Fail(ErrorCode::kStorageFailed, path + ": " + ErrnoText(errno));
  std::string out;
  std::array<char, 1 << 16> buffer{};
  ssize_t count = 0;
  while ((count = read(fd, buffer.data(), buffer.size())) > 0) out.append(buffer.data(), count);
  const int error_number = errno;
  close(fd);
  if (count < 0) return Fail(ErrorCode::kStorageFailed, path + ": " + ErrnoText(error_number));
  return out;
}

// Returns the number in a file name like "segment-00000000000000000012.wal", or nothing.
std::optional<uint64_t> ParseNumberedName(std::string_view name, std::string_view prefix,
                                          std::string_view suffix) {
  if (!name.starts_with(prefix) || !name.ends_with(suffix)) return std::nullopt;
  const std::string digits(name.substr(prefix.size(), name.size() - prefix.size() - suffix.size()));
  if (digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::strtoull(digits.c_str(), nullptr, 10);
}

std::string NumberedName(std::string_view prefix, uint64_t number, std::string_view suffix) {
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%020" PRIu64, number);
  return std::string(prefix) + digits.data() + std::string(suffix);
}

Result<std::vector<std::string>> ListFolder(const std::string& folder) {
  DIR* dir = opendir(folder.c_str());
  if (dir == nullptr) return Fail(ErrorCode::kStorageFailed, folder + ": " + ErrnoText(errno));
  std::vector<std::string> names;
  while (const dirent* entry = readdir(dir)) names.emplace_back(entry->d_name);
  closedir(dir);
  return names;
}

// Applies one record to the state recovered so far. Returns false if log entries are missing.
bool ReplayRecord(WalRecord record, RaftStoredState& stored) {
  if (record.hard_state) stored.hard_state = std::move(*record.hard_state);
  if (record.reset_index) stored.entries.clear();
  for (LogEntry& entry : record.entries) {
    while (!stored.entries.empty() && stored.entries.back().index >= entry.index) {
      stored.entries.pop_back();
    }
    const bool gap = !stored.entries.empty() && stored.entries.back().index + 1 != entry.index;
    // Entries covered by the snapshot may be missing before the first retained one.
    if (gap && entry.index > stored.snapshot.index + 1) return false;
    if (gap) stored.entries.clear();
    stored.entries.push_back(std::move(entry));
  }
  return true;
}

// Drops entries that the snapshot covers, and all entries if they conflict with it. Conflicting
// entries remain if the replica stopped between storing a received snapshot and resetting the log.
void TrimToSnapshot(RaftStoredState& stored) {
  const RaftSnapshot& snapshot = stored.snapshot;
  const auto snapshot_entry =
      std::find_if(stored.entries.begin(), stored.entries.end(),
                   [&](const LogEntry& e) { return e.index == snapshot.index; });
  const bool conflict =
      snapshot_entry != stored.entries.end() && snapshot_entry->term != snapshot.term;
  if (conflict) stored.entries.clear();
  std::erase_if(stored.entries, [&](const LogEntry& e) { return e.index <= snapshot.index; });
}

}  // namespace

int WalFile::Open(const std::string& path, int flags, int& fd) {
  fd = open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | flags, kFileMode);
  return fd >= 0 ? 0 : errno;
}

int WalFile::Write(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = write(fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno;
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return 0;
}

int WalFile::Truncate(int fd, uint64_t size) {
  return ftruncate(fd, static_cast<off_t>(size)) == 0 ? 0 : errno;
}

int WalFile::Sync(int fd) { return fsync(fd) == 0 ? 0 : errno; }

Wal::Wal(std::string folder, WalOptions options)
    : folder(std::move(folder)), options(std::move(options)) {}

Wal::~Wal() {
  for (int fd : {this->segment_fd, this->lock_fd, this->folder_fd}) {
    if (fd >= 0) close(fd);
  }
}

Result<std::unique_ptr<Wal>> Wal::Open(const std::string& folder, WalOptions options,
                                       RaftStoredState& stored) {
  std::unique_ptr<Wal> wal(new Wal(folder, std::move(options)));
  if (mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return StorageError("create " + folder, errno);
  }
  wal->folder_fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (wal->folder_fd < 0) return StorageError("open " + folder, errno);
  const std::string lock = folder + "/lock";
  wal->lock_fd = open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (wal->lock_fd < 0) return StorageError("open " + lock, errno);
  if (flock(wal->lock_fd, LOCK_EX | LOCK_NB) != 0) {
    return Fail(ErrorCode::kConflict, folder + ": the data folder is in use by another process");
  }
  if (Result<void> loaded = wal->Recover(stored); !loaded) {
    return tl::unexpected<Error>(loaded.error());
  }
  return wal;
}

Result<void> Wal::Recover(RaftStoredState& stored) {
  const Result<std::vector<std::string>> names = ListFolder(this->folder);
  if (!names) return tl::unexpected<Error>(names.error());
  std::vector<uint64_t> numbers;
  for (const std::string& name : *names) {
    if (name.ends_with(kTemporarySuffix)) unlink((this->folder + "/" + name).c_str());
    if (const auto index = ParseNumberedName(name, kSnapshotPrefix, kSnapshotSuffix)) {
      this->snapshot_index = std::max(this->snapshot_index, *index);
      this->has_snapshot = true;
    }
    if (const auto number = ParseNumberedName(name, kSegmentPrefix, kSegmentSuffix)) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  if (this->has_snapshot) {
    if (Result<void> loaded = this->LoadSnapshot(stored); !loaded) return loaded;
  }
  const bool contiguous = numbers.empty() || numbers.back() - numbers.front() + 1 == numbers.size();
  const bool from_start = !numbers.empty() && numbers.front() == 1;
  if (!contiguous || (this->has_snapshot ? numbers.empty() : !numbers.empty() && !from_start)) {
    return Fail(ErrorCode::kCorrupt, this->folder + ": a log segment is missing");
  }
  for (const uint64_t number : numbers) {
    Result<void> loaded = this->LoadSegment(number, number == numbers.back(), stored);
    if (!loaded) return loaded;
  }
  TrimToSnapshot(stored);
  if (!stored.entries.empty() && stored.entries.front().index != stored.snapshot.index + 1) {
    return Fail(ErrorCode::kCorrupt, this->folder + ": log entries after the snapshot are missing");
  }
  if (this->has_snapshot && stored.hard_state.incarnation == 0) {
    return Fail(ErrorCode::kCorrupt, this->folder + ": the hard state is missing");
  }
  this->hard_state = stored.hard_state;
  return {};
}

Result<void> Wal::LoadSnapshot(RaftStoredState& stored) {
  const std::string path = this->SnapshotPath(this->snapshot_index);
  const Result<std::string> bytes = ReadFile(path);
  if (!bytes) return tl::unexpected<Error>(bytes.error());
  const auto payload = ReadRecordAt(*bytes, 0, this->snapshot_index);
  if (!payload || payload->size() + kHeaderBytes != bytes->size()) {
    return Fail(ErrorCode::kCorrupt, path + ": the snapshot has a bad checksum");
  }
  Result<RaftSnapshot> snapshot = DecodeSnapshot(*payload);
  if (!snapshot) return tl::unexpected<Error>(snapshot.error());
  stored.snapshot = std::move(*snapshot);
  this->snapshot_bytes = bytes->size();
  return {};
}

Result<void> Wal::LoadSegment(uint64_t number, bool last, RaftStoredState& stored) {
  const std::string path = this->SegmentPath(number);
  const Result<std::string> bytes = ReadFile(path);
  if (!bytes) return tl::unexpected<Error>(bytes.error());
  Segment segment{.number = number};
  while (segment.bytes < bytes->size()) {
    const auto payload = ReadRecordAt(*bytes, segment.bytes, number);
    if (!payload) {
      if (last && !HasRecordAfter(*bytes, segment.bytes, number)) break;
      return Fail(ErrorCode::kCorrupt,
                  path + ": invalid record at byte " + std::to_string(segment.bytes));
    }
    Result<WalRecord> record = DecodeRecord(*payload);
    if (!record) return tl::unexpected<Error>(record.error());
    for (const LogEntry& entry : record->entries) {
      segment.max_index = std::max(segment.max_index, entry.index);
    }
    if (!ReplayRecord(std::move(*record), stored)) {
      return Fail(ErrorCode::kCorrupt, path + ": gap between log entries");
    }
    segment.bytes += kHeaderBytes + payload->size();
  }
  this->segments.push_back(segment);
  if (!last) return {};
  const int error_number = this->options.file->Open(path, 0, this->segment_fd);
  if (error_number != 0) return StorageError("open " + path, error_number);
  if (segment.bytes == bytes->size()) return {};
  LOG(WARNING) << "wal: " << path << ": truncating an incomplete record at byte " << segment.bytes;
  return this->RemoveUnsynced();
}

Result<void> Wal::RemoveUnsynced() {
  if (this->segment_fd >= 0) {
    const Segment& segment = this->segments.back();
    int error_number = this->options.file->Truncate(this->segment_fd, segment.bytes);
    if (error_number == 0) error_number = this->options.file->Sync(this->segment_fd);
    if (error_number != 0) {
      return StorageError("truncate " + this->SegmentPath(segment.number), error_number);
    }
  }
  return this->SyncFolder();
}

Result<void> Wal::Write(const RaftWrite& write) {
  if (this->failed_sequence) {
    if (*this->failed_sequence != write.sequence) {
      return Fail(ErrorCode::kInternal, "an earlier write failed and was not repeated");
    }
    if (Result<void> removed = this->RemoveUnsynced(); !removed) return removed;
    this->failed_sequence.reset();
  }
  Result<void> written = this->WriteOnce(write);
  if (!written) this->failed_sequence = write.sequence;
  return written;
}

// Every step may be repeated after a failure of a later one.
Result<void> Wal::WriteOnce(const RaftWrite& write) {
  if (write.hard_state) this->hard_state = *write.hard_state;
  if (write.snapshot) {
    if (Result<void> saved = this->SaveSnapshot(*write.snapshot); !saved) return saved;
  }
  const bool full =
      !this->segments.empty() && this->segments.back().bytes >= this->options.segment_bytes;
  if (this->segments.empty() || full || write.snapshot) {
    if (Result<void> created = this->CreateSegment(); !created) return created;
  }
  WalRecord record{.segment = this->segments.back().number,
                   .hard_state = write.hard_state,
                   .reset_index = {},
                   .entries = {}};
  if (this->segments.back().bytes == 0) record.hard_state = this->hard_state;
  if (write.reset) record.reset_index = write.snapshot->index;
  if (Result<void> appended = this->AppendRecord(record, write.entries); !appended) {
    return appended;
  }
  return write.snapshot ? this->RemoveObsolete() : Result<void>{};
}

uint64_t Wal::Bytes() const {
  uint64_t sum = this->snapshot_bytes;
  for (const Segment& segment : this->segments) sum += segment.bytes;
  return sum;
}

Result<void> Wal::CreateSegment() {
  const uint64_t number = this->segments.empty() ? 1 : this->segments.back().number + 1;
  const std::string path = this->SegmentPath(number);
  int fd = -1;
  const int error_number = this->options.file->Open(path, O_CREAT | O_EXCL, fd);
  if (error_number != 0) return StorageError("create " + path, error_number);
  if (this->segment_fd >= 0) close(this->segment_fd);
  this->segment_fd = fd;
  this->segments.push_back({.number = number});
  return this->SyncFolder();
}

Result<void> Wal::AppendRecord(const WalRecord& record, const std::vector<LogEntry>& entries) {
  Segment& segment = this->segments.back();
  const std::string bytes = FrameRecord(EncodeRecord(record, entries), segment.number);
  int error_number = this->options.file->Write(this->segment_fd, bytes);
  if (error_number != 0) return StorageError("write to the log", error_number);
  error_number = this->options.file->Sync(this->segment_fd);
  if (error_number != 0) return StorageError("sync the log", error_number);
  segment.bytes += bytes.size();
  for (const LogEntry& entry : entries) {
    segment.max_index = std::max(segment.max_index, entry.index);
  }
  return {};
}

// Writes a temporary file and renames it, so that a crash leaves either the old or the new
// snapshot.
Result<void> Wal::SaveSnapshot(const RaftSnapshot& snapshot) {
  const std::string path = this->SnapshotPath(snapshot.index);
  const std::string temporary = path + std::string(kTemporarySuffix);
  int fd = -1;
  int error_number = this->options.file->Open(temporary, O_CREAT | O_TRUNC, fd);
  if (error_number != 0) return StorageError("create " + temporary, error_number);
  const std::string bytes = FrameRecord(EncodeSnapshot(snapshot), snapshot.index);
  error_number = this->options.file->Write(fd, bytes);
  if (error_number == 0) error_number = this->options.file->Sync(fd);
  close(fd);
  if (error_number != 0) {
    unlink(temporary.c_str());  // a partial file would keep a full disk full
    return StorageError("write " + temporary, error_number);
  }
  if (rename(temporary.c_str(), path.c_str()) != 0) return StorageError("rename " + path, errno);
  if (Result<void> synced = this->SyncFolder(); !synced) return synced;
  this->has_snapshot = true;
  this->snapshot_index = snapshot.index;
  this->snapshot_bytes = bytes.size();
  return {};
}

// Removes older snapshots and, starting from the oldest, the segments covered by the snapshot.
Result<void> Wal::RemoveObsolete() {
  const Result<std::vector<std::string>> names = ListFolder(this->folder);
  if (!names) return tl::unexpected<Error>(names.error());
  for (const std::string& name : *names) {
    const auto index = ParseNumberedName(name, kSnapshotPrefix, kSnapshotSuffix);
    if (index && *index != this->snapshot_index) unlink((this->folder + "/" + name).c_str());
  }
  // Recovery uses only entries after the snapshot, so entries retained in memory for lagging
  // followers need no segment.
  while (this->segments.size() > 1 && this->segments.front().max_index <= this->snapshot_index) {
    const std::string path = this->SegmentPath(this->segments.front().number);
    // Stops at the first failure: removing the next segment would leave a gap, which recovery takes
    // for a missing segment.
    if (unlink(path.c_str()) != 0) return StorageError("remove " + path, errno);
    this->segments.pop_front();
  }
  return this->SyncFolder();
}

Result<void> Wal::SyncFolder() {
  const int error_number = this->options.file->Sync(this->folder_fd);
  if (error_number != 0) return StorageError("sync " + this->folder, error_number);
  return {};
}

std::string Wal::SegmentPath(uint64_t number) const {
  return this->folder + "/" + NumberedName(kSegmentPrefix, number, kSegmentSuffix);
}

std::string Wal::SnapshotPath(uint64_t index) const {
  return this->folder + "/" + NumberedName(kSnapshotPrefix, index, kSnapshotSuffix);
}

}  // namespace peridotgauge
