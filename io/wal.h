// The write-ahead log of a controller: stores hard state, log entries and snapshots in its data
// folder.
//
// Use:
//   RaftStoredState stored;
//   auto wal = Wal::Open(folder, options, stored);
//   wal->Write(ready_write);   // returns after the data is synced
//
// Contract: Write() returns success only after files and folder are synced. Each Write() is one
// checksummed record (XXH3), so a crash leaves at most one partial record at the end of the last
// segment; Open() truncates it. Any other bad record, missing segment or bad snapshot is kCorrupt.
// After a failed Write() nothing is known of the bytes behind the last synced record, since the
// kernel may have dropped the dirty pages of a failed sync. The caller must repeat the failed write
// before any other; the next Write() first truncates the last segment to its synced records and
// syncs it. A Wal must be used by one thread at a time.
//
// Files: `segment-<number>.wal` (records), `snapshot-<index>.snap`, `lock` (held while open).
// Segments whose entries are covered by a snapshot are removed, so the folder size is bounded by
// two snapshots and the log between them, see ReplicaOptions.
#ifndef PERIDOTGAUGE_IO_WAL_H_
#define PERIDOTGAUGE_IO_WAL_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "state/raft.h"

namespace peridotgauge {

// File operations that can fail. Tests override them to inject faults. All return 0 or an errno.
class WalFile {
 public:
  virtual ~WalFile() = default;
  // Opens a file to append to it, with the given additional flags.
  virtual int Open(const std::string& path, int flags, int& fd);
  // Appends all bytes to the file. On an error a prefix may have been written.
  virtual int Write(int fd, std::string_view bytes);
  virtual int Truncate(int fd, uint64_t size);
  virtual int Sync(int fd);
};

struct WalOptions {
  uint64_t segment_bytes =
      4 << 20;  // a new segment is created once the last one has reached this size
  std::shared_ptr<WalFile> file = std::make_shared<WalFile>();
};

class Wal {
 public:
  // Opens or creates the folder and fills `stored` with its content; the incarnation is 0 if the
  // folder was empty. Returns kCorrupt, kStorageFailed, or kConflict if another process has the
  // folder open.
  static Result<std::unique_ptr<Wal>> Open(const std::string& folder, WalOptions options,
                                           RaftStoredState& stored);
  ~Wal();
  Wal(const Wal&) = delete;
  Wal& operator=(const Wal&) = delete;

  // Stores and syncs one write. Returns kStorageFailed on any error, and kInternal if the write has
  // another sequence number than the one that failed before and is to be repeated.
  Result<void> Write(const RaftWrite& write);
  // Returns the total size of segments and snapshot in bytes.
  uint64_t Bytes() const;

 private:
  struct Segment {
    uint64_t number = 0;
    uint64_t max_index = 0;  // highest entry index in the segment; 0 if none
    uint64_t bytes = 0;      // of synced records
  };

  Wal(std::string folder, WalOptions options);
  Result<void> WriteOnce(const RaftWrite& write);
  // Removes what a failed write has left behind the last synced record.
  Result<void> RemoveUnsynced();
  Result<void> Recover(RaftStoredState& stored);
  Result<void> LoadSnapshot(RaftStoredState& stored);
  Result<void> LoadSegment(uint64_t number, bool last, RaftStoredState& stored);
  Result<void> CreateSegment();
  Result<void> AppendRecord(const WalRecord& record, const std::vector<LogEntry>& entries);
  Result<void> SaveSnapshot(const RaftSnapshot& snapshot);
  Result<void> RemoveObsolete();
  Result<void> SyncFolder();
  std::string SegmentPath(uint64_t number) const;
  std::string SnapshotPath(uint64_t index) const;

  std::string folder;
  WalOptions options;
  int folder_fd = -1;
  int lock_fd = -1;
  int segment_fd = -1;
  std::deque<Segment> segments;  // in ascending order; the last one is open for writing
  HardState hard_state;          // repeated at the start of every segment
  bool has_snapshot = false;
  uint64_t snapshot_index = 0;
  uint64_t snapshot_bytes = 0;
  // Sequence number of the last write if it failed.
  std::optional<uint64_t> failed_sequence;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_WAL_H_
