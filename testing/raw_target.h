// A target that answers each request with the bytes that a test chooses, for answers that no HTTP
// library writes.
//
// Use:
//   RawTarget target(deployment.NewAddress(), [](const HttpRequest& request) {
//     return "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n";
//   });
//
// Contract: `answer` is called on the target's thread, once for each complete request. Connections
// stay open after an answer. The destructor closes all of them.
#ifndef PERIDOTGAUGE_TESTING_RAW_TARGET_H_
#define PERIDOTGAUGE_TESTING_RAW_TARGET_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "core/http_message.h"
#include "core/types.h"
#include "testing/daemon_processes.h"

namespace peridotgauge {

class RawTarget {
 public:
  using Answer = std::function<std::string(const HttpRequest&)>;
  RawTarget(Address address, Answer answer);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  // Returns the number of requests that have arrived.
  size_t Requests() const { return this->requests; }

  const Address address;

 private:
  struct Connection;
  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);

  const Answer answer;
  std::atomic<size_t> requests{0};
  std::list<std::weak_ptr<Connection>> connections;  // used on the thread of `loop` only
  LoopThread loop;
  boost::asio::ip::tcp::acceptor acceptor;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_RAW_TARGET_H_
