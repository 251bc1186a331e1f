// Implements the thread that writes and syncs the write-ahead log.
#include "io/storage_thread.h"

#include <boost/asio/post.hpp>
#include <iterator>
#include <optional>
#include <utility>

namespace peridotgauge {
namespace {

// Limits of a batch, which bound the time of one sync and the size of one record. A single larger
// write is still taken.
constexpr size_t kMaxBatchEntries = 1'000;
constexpr size_t kMaxBatchBytes = 4 << 20;

size_t DataBytes(const RaftWrite& write) {
  size_t bytes = 0;
  for (const LogEntry& entry : write.entries) bytes += entry.data.size();
  return bytes;
}

}  // namespace

StorageThread::StorageThread(boost::asio::io_context& io, std::unique_ptr<Wal> wal,
                             Callback callback)
    : io(io),
      wal(std::move(wal)),
      callback(std::make_shared<Callback>(std::move(callback))),
      thread([this] { this->Run(); }) {}

StorageThread::~StorageThread() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->queue_changed.notify_one();
  this->thread.join();
}

void StorageThread::Submit(RaftWrite write) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->queue.push_back(std::move(write));
  }
  this->queue_changed.notify_one();
}

void StorageThread::Run() {
  while (true) {
    RaftWrite write;
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      this->queue_changed.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
      if (this->stopping) return;
      write = this->TakeBatch();
    }
    if (!this->Store(write)) return;
    this->PostResult(write.sequence);
  }
}

bool StorageThread::Store(const RaftWrite& write) {
  std::optional<Error> reported;
  while (true) {
    const Result<void> written = this->wal->Write(write);
    if (written) return true;
    if (reported != written.error()) {
      reported = written.error();
      this->PostResult(tl::unexpected<Error>(*reported));
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    const bool stopped = this->queue_changed.wait_for(lock, kStorageRetryInterval,
                                                      [this] { return this->stopping; });
    if (stopped) return false;
  }
}

// A write with a snapshot is not batched with earlier ones. Within a batch, later entries replace
// earlier ones with the same index in the same way as across records.
RaftWrite StorageThread::TakeBatch() {
  RaftWrite batch = std::move(this->queue.front());
  this->queue.pop_front();
  size_t bytes = DataBytes(batch);
  while (!this->queue.empty() && !this->queue.front().snapshot &&
         batch.entries.size() < kMaxBatchEntries) {
    RaftWrite& next = this->queue.front();
    bytes += DataBytes(next);
    if (bytes > kMaxBatchBytes) break;
    batch.sequence = next.sequence;
    if (next.hard_state) batch.hard_state = std::move(next.hard_state);
    batch.entries.insert(batch.entries.end(), std::make_move_iterator(next.entries.begin()),
                         std::make_move_iterator(next.entries.end()));
    this->queue.pop_front();
  }
  return batch;
}

void StorageThread::PostResult(Result<uint64_t> done) {
  boost::asio::post(this->io,
                    [weak = std::weak_ptr<Callback>(this->callback), done = std::move(done)] {
                      if (const auto callback = weak.lock()) (*callback)(done);
                    });
}

}  // namespace peridotgauge
