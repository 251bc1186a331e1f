// The thread that writes and syncs the write-ahead log, so that a slow disk does not delay the
// event loop.
//
// Use:
//   StorageThread storage(io, std::move(wal), [](Result<uint64_t> done) { ... });
//   storage.Submit(write);
//
// Contract: writes reach the log in the order of Submit(). The callback runs on the event loop with
// the sequence of the last write that is synced; writes that wait together share one sync and one
// callback. After an error the callback is called once with it, and all later writes are dropped.
// No callback runs after the destructor, which waits for the write under way.
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
#include "io/wal.h"

namespace peridotgauge {

class StorageThread {
 public:
  using Callback = std::function<void(Result<uint64_t>)>;

  StorageThread(boost::asio::io_context& io, std::unique_ptr<Wal> wal, Callback callback);
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Submit(RaftWrite write);

 private:
  void Loop();
  // Takes the next writes that can share one record. Called with the mutex held.
  RaftWrite TakeBatch();
  void Report(Result<uint64_t> done);

  boost::asio::io_context& io;
  std::unique_ptr<Wal> wal;            // used by the thread only
  std::shared_ptr<Callback> callback;  // used by the event loop only; reset by the destructor
  std::mutex mutex;
  std::condition_variable wake;
  std::deque<RaftWrite> queue;  // guarded by `mutex`
  bool stopping = false;        // guarded by `mutex`
  std::thread thread;           // last: it uses all of the above
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_STORAGE_THREAD_H_
