// Tests the write-ahead log: recovery after a crash, detection of corruption, and injected I/O
// faults.
#include "io/wal.h"

#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

namespace peridotgauge {
namespace {

namespace fs = std::filesystem;

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (fs::temp_directory_path() / "wal_test_XXXXXX").string();
    this->path = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { fs::remove_all(this->path); }
  std::string path;
};

constexpr int kNever = 1'000'000;

// Fails after a given number of successful calls. A failing write stores half of its bytes.
class FaultyFile : public WalFile {
 public:
  int Open(const std::string& path, int flags, int& fd) override {
    return this->opens-- > 0 ? WalFile::Open(path, flags, fd) : ENOSPC;
  }
  int Write(int fd, std::string_view bytes) override {
    if (this->writes-- > 0) return WalFile::Write(fd, bytes);
    WalFile::Write(fd, bytes.substr(0, bytes.size() / 2));
    return ENOSPC;
  }
  int Truncate(int fd, uint64_t size) override {
    return this->truncations-- > 0 ? WalFile::Truncate(fd, size) : EIO;
  }
  int Sync(int fd) override { return this->syncs-- > 0 ? WalFile::Sync(fd) : EIO; }
  void Mend() { this->opens = this->writes = this->truncations = this->syncs = kNever; }
  int opens = kNever;
  int writes = kNever;
  int truncations = kNever;
  int syncs = kNever;
};

RaftWrite EntriesWrite(uint64_t first, uint64_t last, uint64_t term) {
  RaftWrite write;
  write.hard_state = HardState{5, term, "a", 5, first - 1, true};
  for (uint64_t i = first; i <= last; ++i) {
    write.entries.push_back({i, term, EntryKind::kCommand, "entry " + std::to_string(i), {}});
  }
  return write;
}

RaftWrite SnapshotWrite(uint64_t index, uint64_t term, bool reset = false) {
  RaftWrite write;
  write.hard_state = HardState{5, term, "a", 5, index, true};
  write.snapshot =
      RaftSnapshot{index, term, {{"a", 5, "x"}}, std::make_shared<const std::string>("state")};
  write.reset = reset;
  return write;
}

struct Opened {
  Result<std::unique_ptr<Wal>> wal;
  RaftStoredState stored;
};

Opened OpenWal(const std::string& folder, WalOptions options = {}) {
  Opened opened{Fail(ErrorCode::kInternal), {}};
  opened.wal = Wal::Open(folder, std::move(options), opened.stored);
  return opened;
}

std::vector<fs::path> Files(const std::string& folder, const std::string& extension) {
  std::vector<fs::path> out;
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == extension) out.push_back(entry.path());
  }
  std::sort(out.begin(), out.end());
  return out;
}

void FlipByte(const fs::path& path, uint64_t offset) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(offset));
  const char old = static_cast<char>(file.get());
  file.seekp(static_cast<std::streamoff>(offset));
  file.put(static_cast<char>(old ^ 0x40));
}

TEST_CASE("written data is recovered", "[wal]") {
  TemporaryFolder folder;
  {
    Opened fresh = OpenWal(folder.path);
    REQUIRE(fresh.wal);
    CHECK(fresh.stored.hard_state.incarnation == 0);
    REQUIRE((*fresh.wal)->Write(EntriesWrite(1, 4, 1)));
    REQUIRE((*fresh.wal)->Write(EntriesWrite(3, 5, 2)));  // replaces entries 3 and 4
    CHECK(OpenWal(folder.path).wal.error().code == ErrorCode::kConflict);
  }
  SECTION("entries and hard state") {
    const Opened opened = OpenWal(folder.path);
    REQUIRE(opened.wal);
    REQUIRE(opened.stored.entries.size() == 5);
    CHECK(opened.stored.entries[1].term == 1);
    CHECK(opened.stored.entries[2].term == 2);
    CHECK(opened.stored.hard_state == HardState{5, 2, "a", 5, 2, true});
  }
  SECTION("a local snapshot keeps later entries and removes old segments") {
    {
      Opened opened = OpenWal(folder.path);
      REQUIRE((*opened.wal)->Write(SnapshotWrite(4, 2)));
      REQUIRE((*opened.wal)->Write(EntriesWrite(6, 9, 2)));
      REQUIRE((*opened.wal)->Write(SnapshotWrite(9, 2)));
    }
    CHECK(Files(folder.path, ".wal").size() == 1);
    CHECK(Files(folder.path, ".snap").size() == 1);
    const Opened opened = OpenWal(folder.path);
    REQUIRE(opened.wal);
    CHECK(opened.stored.entries.empty());
    CHECK(opened.stored.snapshot.index == 9);
    CHECK(*opened.stored.snapshot.data == "state");
    CHECK(opened.stored.snapshot.members == RaftMembers{{"a", 5, "x"}});
    CHECK(opened.stored.hard_state.term == 2);
  }
  SECTION("a received snapshot replaces the log") {
    {
      Opened opened = OpenWal(folder.path);
      REQUIRE((*opened.wal)->Write(SnapshotWrite(3, 7, true)));
      REQUIRE((*opened.wal)->Write(EntriesWrite(4, 4, 7)));
    }
    const Opened opened = OpenWal(folder.path);
    REQUIRE(opened.wal);
    REQUIRE(opened.stored.entries.size() == 1);
    CHECK(opened.stored.entries[0].term == 7);
  }
}

// Guards against a replica that cannot start after a power failure during a write, or that recovers
// a partial record.
TEST_CASE("a torn last record of any length is truncated", "[wal]") {
  TemporaryFolder folder;
  uint64_t complete = 0;
  {
    Opened opened = OpenWal(folder.path);
    REQUIRE((*opened.wal)->Write(EntriesWrite(1, 2, 1)));
    complete = (*opened.wal)->Bytes();
    REQUIRE((*opened.wal)->Write(EntriesWrite(3, 4, 1)));
  }
  const fs::path segment = Files(folder.path, ".wal").front();
  const uint64_t whole = fs::file_size(segment);
  std::ifstream stream(segment, std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(stream), {}};
  for (uint64_t length = complete; length < whole; ++length) {
    TemporaryFolder copy;
    const fs::path target = fs::path(copy.path) / segment.filename();
    fs::copy_file(segment, target);
    fs::resize_file(target, length);
    // After a crash a file system may have extended the file with zeros. If only zeros of the
    // record were lost, the record is complete again.
    const bool extended = length % 2 == 0;
    if (extended) fs::resize_file(target, whole + 7);
    const bool intact = extended && bytes.find_first_not_of('\0', length) == std::string::npos;
    {
      Opened opened = OpenWal(copy.path);
      REQUIRE(opened.wal);
      REQUIRE(opened.stored.entries.size() == (intact ? 4 : 2));
      REQUIRE((*opened.wal)->Write(EntriesWrite(3, 3, 2)));
    }
    const Opened again = OpenWal(copy.path);
    REQUIRE(again.wal);
    REQUIRE(again.stored.entries.size() == 3);
    REQUIRE(again.stored.entries[2].term == 2);
  }
}

// Guards against taking a corrupt record in the middle for a torn record at the end, which would
// silently drop acknowledged entries.
TEST_CASE("any other corruption is refused", "[wal]") {
  TemporaryFolder folder;
  {
    Opened opened = OpenWal(folder.path, {.segment_bytes = 600});
    for (uint64_t i = 1; i <= 12; ++i) REQUIRE((*opened.wal)->Write(EntriesWrite(i, i, 1)));
  }
  const std::vector<fs::path> segments = Files(folder.path, ".wal");
  REQUIRE(segments.size() >= 3);
  SECTION("every byte of a segment before the last") {
    for (uint64_t i = 0; i < fs::file_size(segments[0]); ++i) {
      FlipByte(segments[0], i);
      REQUIRE(OpenWal(folder.path).wal.error().code == ErrorCode::kCorrupt);
      FlipByte(segments[0], i);
    }
    CHECK(OpenWal(folder.path).wal);
  }
  SECTION("every byte of a record before the last in the last segment") {
    {
      Opened opened = OpenWal(folder.path);
      REQUIRE((*opened.wal)->Write(EntriesWrite(13, 13, 1)));
    }
    const uint64_t before = fs::file_size(segments.back());
    {
      Opened opened = OpenWal(folder.path);
      REQUIRE((*opened.wal)->Write(EntriesWrite(14, 14, 1)));
    }
    for (uint64_t i = 0; i < before; ++i) {
      FlipByte(segments.back(), i);
      REQUIRE(OpenWal(folder.path).wal.error().code == ErrorCode::kCorrupt);
      FlipByte(segments.back(), i);
    }
  }
  SECTION("a missing segment") {
    fs::remove(segments[1]);
    CHECK(OpenWal(folder.path).wal.error().code == ErrorCode::kCorrupt);
  }
  SECTION("the first segments without a snapshot") {
    fs::remove(segments[0]);
    CHECK(OpenWal(folder.path).wal.error().code == ErrorCode::kCorrupt);
  }
  SECTION("a corrupt snapshot, or a snapshot without segments") {
    {
      Opened opened = OpenWal(folder.path);
      REQUIRE((*opened.wal)->Write(SnapshotWrite(12, 1)));
    }
    const fs::path snapshot = Files(folder.path, ".snap").front();
    for (uint64_t i = 0; i < fs::file_size(snapshot); ++i) {
      FlipByte(snapshot, i);
      REQUIRE(OpenWal(folder.path).wal.error().code == ErrorCode::kCorrupt);
      FlipByte(snapshot, i);
    }
    REQUIRE(OpenWal(folder.path).wal);
    for (const fs::path& path : Files(folder.path, ".wal")) fs::remove(path);
    CHECK(OpenWal(folder.path).wal.error().code == ErrorCode::kCorrupt);
  }
}

// Guards against reporting a write as stored although its write or sync failed, and against a log
// that stays unusable, or stores other writes, after the failure.
TEST_CASE("a write that failed at any step is reported and can be repeated", "[wal]") {
  struct Step {
    int FaultyFile::*calls;
    int count;  // in one write with a snapshot
  };
  const Step step = GENERATE(Step{&FaultyFile::opens, 2}, Step{&FaultyFile::writes, 2},
                             Step{&FaultyFile::syncs, 5});
  for (int k = 0; k <= step.count; ++k) {
    CAPTURE(k);
    TemporaryFolder folder;
    const auto file = std::make_shared<FaultyFile>();
    const bool repeats = GENERATE(true, false);
    CAPTURE(repeats);
    {
      Opened opened = OpenWal(folder.path, {.file = file});
      Wal& wal = **opened.wal;
      RaftWrite first = EntriesWrite(1, 3, 1);
      first.sequence = 1;
      REQUIRE(wal.Write(first));
      RaftWrite write = SnapshotWrite(2, 1);
      write.sequence = 2;
      write.entries = EntriesWrite(4, 4, 1).entries;
      RaftWrite other = EntriesWrite(5, 5, 1);
      other.sequence = 3;
      file.get()->*step.calls = k;
      const Result<void> written = wal.Write(write);
      REQUIRE(written.has_value() == (k == step.count));
      if (!written) {
        CHECK(written.error().code == ErrorCode::kStorageFailed);
        CHECK(wal.Write(write).error().code == ErrorCode::kStorageFailed);
        file->Mend();
        CHECK(wal.Write(other).error().code == ErrorCode::kInternal);
        file->truncations = 0;
        CHECK(wal.Write(write).error().code == ErrorCode::kStorageFailed);
        file->Mend();
        if (repeats) {
          REQUIRE(wal.Write(write));
          REQUIRE(wal.Write(other));
        }
      }
    }
    const Opened opened = OpenWal(folder.path);
    REQUIRE(opened.wal);
    REQUIRE(opened.stored.entries.size() >= 1);
    const uint64_t last = opened.stored.entries.back().index;
    const bool complete = repeats && k < step.count;
    CHECK(last >= (complete ? 5 : 3));
    CHECK(last <= 5);
    CHECK(opened.stored.snapshot.index ==
          (complete || k == step.count ? 2 : opened.stored.snapshot.index));
    for (const LogEntry& entry : opened.stored.entries) {
      CHECK(entry.data == "entry " + std::to_string(entry.index));
    }
  }
}

// Guards against a full disk that stays full because of what failed writes have left on it.
TEST_CASE("a failed write leaves nothing behind", "[wal]") {
  TemporaryFolder folder;
  const auto file = std::make_shared<FaultyFile>();
  Opened opened = OpenWal(folder.path, {.file = file});
  Wal& wal = **opened.wal;
  REQUIRE(wal.Write(EntriesWrite(1, 3, 1)));
  const auto folder_bytes = [&] {
    uint64_t sum = 0;
    for (const auto& entry : fs::directory_iterator(folder.path)) sum += entry.file_size();
    return sum;
  };
  const uint64_t before = folder_bytes();
  const bool snapshot = GENERATE(true, false);
  const RaftWrite write = snapshot ? SnapshotWrite(2, 1) : EntriesWrite(4, 9, 1);
  for (int k = 0; k < 10; ++k) {
    file->writes = 0;
    REQUIRE_FALSE(wal.Write(write));
  }
  // The half that the last attempt has written is truncated by the next one.
  CHECK(folder_bytes() <= before + 1'000);
  file->Mend();
  REQUIRE(wal.Write(write));
  REQUIRE(wal.Write(EntriesWrite(10, 10, 1)));
}

// Guards against unbounded growth of the data folder.
TEST_CASE("compaction bounds the size of the data folder", "[wal]") {
  TemporaryFolder folder;
  Opened opened = OpenWal(folder.path, {.segment_bytes = 2'000});
  uint64_t largest = 0;
  for (uint64_t i = 1; i <= 1'000; ++i) {
    REQUIRE((*opened.wal)->Write(EntriesWrite(i, i, 1)));
    if (i % 50 == 0) REQUIRE((*opened.wal)->Write(SnapshotWrite(i - 5, 1)));
    largest = std::max(largest, (*opened.wal)->Bytes());
  }
  CHECK(largest < 30'000);
  CHECK(Files(folder.path, ".wal").size() < 20);
}

}  // namespace
}  // namespace peridotgauge
