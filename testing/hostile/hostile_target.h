// A target that answers what no sound target answers, on any number of connections. For tests of
// what such targets can make a router keep.
//
// Use:
//   HostileTarget target("127.81.3.101:18510", {.first = head, .repeat = std::string(4'096, 'x')});
//   ...
//   CHECK(target.Requests() > 0);
//
// Contract: each request gets `first`, and after it `repeat` again and again. Without `repeat`, the
// connection stays open and the next request gets `first` again. Requests must have no body. The
// destructor closes all connections.
#ifndef PERIDOTGAUGE_TESTING_HOSTILE_TARGET_H_
#define PERIDOTGAUGE_TESTING_HOSTILE_TARGET_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/types.h"
#include "testing/route_deployment.h"

namespace peridotgauge {

struct TargetPlan {
  std::string first;
  std::string repeat = {};
  size_t piece = 0;              // bytes in one write of `first`; 0: as many as possible
  Duration pause = Duration(0);  // between two writes
};

class HostileTarget {
 public:
  HostileTarget(Address address, TargetPlan plan);
  ~HostileTarget();
  HostileTarget(const HostileTarget&) = delete;
  HostileTarget& operator=(const HostileTarget&) = delete;

  size_t Requests() const { return this->requests; }
  size_t SentBytes() const { return this->sent_bytes; }

  const Address address;

 private:
  struct Connection;
  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  // Sends the rest of `text`, and then what follows it.
  void Send(const std::shared_ptr<Connection>& connection, const std::string& text, size_t sent);
  void SendNext(const std::shared_ptr<Connection>& connection, const std::string& text,
                size_t sent);

  const TargetPlan plan;
  std::atomic<size_t> requests{0};
  std::atomic<size_t> sent_bytes{0};
  std::vector<std::weak_ptr<Connection>> connections;  // used on the thread of `loop` only
  LoopThread loop;
  boost::asio::ip::tcp::acceptor acceptor;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_HOSTILE_TARGET_H_
