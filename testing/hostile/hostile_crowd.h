// A crowd of clients that send what no ordinary client sends, on many connections at once. For
// tests of what such clients can make a process keep.
//
// Use:
//   HostileCrowd crowd("127.81.3.21:18201", 400, {.repeat = request, .read = false});
//   crowd.Run(Seconds(2));                  // sends from the calling thread
//   crowd.Start(); ...; crowd.Stop();       // sends from a thread of its own
//
// Contract: every connection sends `first` once and then `repeat` again and again, until the peer
// takes no more. A connection that the peer closes is opened again. The destructor closes all.
#ifndef PERIDOTGAUGE_TESTING_HOSTILE_CROWD_H_
#define PERIDOTGAUGE_TESTING_HOSTILE_CROWD_H_

#include <netinet/in.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "core/types.h"

namespace peridotgauge {

struct HostilePlan {
  std::string first;
  std::string repeat = {};
  size_t piece = 0;        // bytes in one write, one write in a round; 0: as many as possible
  bool read = false;       // reads and discards all that arrives
  size_t read_bytes = 0;   // if not 0, reads this many bytes in a round
  size_t reset_after = 0;  // if not 0, resets the connection after this many bytes were sent
};

class HostileCrowd {
 public:
  HostileCrowd(const Address& address, size_t connections, HostilePlan plan);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  // Sends for this time. The connections stay open afterwards.
  void Run(Duration length);
  void Start();
  void Stop();
  // Returns the bytes that the peer has taken.
  size_t SentBytes() const { return this->sent_bytes; }

 private:
  struct Connection {
    int fd = -1;
    size_t sent = 0;
  };
  void Round();
  void Open(Connection& connection) const;
  void Send(Connection& connection);
  void Receive(Connection& connection) const;
  static void Close(Connection& connection, bool reset);

  const sockaddr_in address;
  const HostilePlan plan;
  std::vector<Connection> connections;
  std::atomic<size_t> sent_bytes{0};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_HOSTILE_CROWD_H_
