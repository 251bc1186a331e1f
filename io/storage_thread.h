// Writes and syncs the write-ahead log on a separate thread, so that a slow disk does not delay the
// event loop.
//
// Use:
//   StorageThread storage(io, std::move(wal), [](Result<uint64_t> done) { ... });
//   storage.Submit(write);
//
// Contract: writes reach the log in the order of Submit(). The callback runs on the event loop with
// the sequence number of the last synced write; queued writes share one sync and one callback.
// A write that fails, for example on a full disk, is repeated every kStorageRetryInterval until it
// succeeds; later writes wait for it. The callback gets the error once for each cause of a row of
// failures; the next sequence number tells that the row has ended. The destructor waits for the
// write in progress; no callback runs after it.
#ifndef PERIDOTGAUGE_IO_STORAGE_THREAD_H_
#define PERIDOTGAUGE_IO_STORAGE_THREAD_H_

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "core/error.h"
#include "core/types.h"
#include "io/wal.h"

namespace peridotgauge {

constexpr Duration kStorageRetryInterval = Millis(100);

class StorageThread {
 public:
  using Callback = std::function<void(Result<uint64_t>)>;

  StorageThread(boost::asio::io_context& io, std::unique_ptr<Wal> wal, Callback callback);
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Submit(RaftWrite write);

 private:
  void Run();
  // Repeats the write until it succeeds. Returns false if the thread is stopped before.
  bool Store(const RaftWrite& write);
  // Removes from the queue the next writes that can share one record. Requires `mutex` to be held.
  RaftWrite TakeBatch();
  void PostResult(Result<uint64_t> done);

  boost::asio::io_context& io;
  std::unique_ptr<Wal> wal;            // accessed only by the thread
  std::shared_ptr<Callback> callback;  // invoked only on the event loop; reset by the destructor
  std::mutex mutex;
  std::condition_variable queue_changed;
  std::deque<RaftWrite> queue;  // guarded by `mutex`
  bool stopping = false;        // guarded by `mutex`
  std::thread thread;           // declared last, because it uses all other members
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_STORAGE_THREAD_H_
