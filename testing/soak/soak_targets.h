// The targets of a soak, on one event loop. Some answers are slow, a few fail, and requests whose
// path contains "crash" end their target: its connections are closed, nothing is deregistered, and
// after kSoakRestartDelay the next incarnation listens on the same address under another id.
#ifndef PERIDOTGAUGE_TESTING_SOAK_SOAK_TARGETS_H_
#define PERIDOTGAUGE_TESTING_SOAK_SOAK_TARGETS_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "core/types.h"
#include "io/http_server.h"
#include "testing/soak/soak_record.h"

namespace peridotgauge {

constexpr Duration kSoakRestartDelay = Seconds(2);

class SoakTargets {
 public:
  // A target that runs, as it registers itself.
  struct Registration {
    std::string id;
    std::string service;
    Address address;
    uint64_t born = 0;
  };

  // Starts `count` targets of each of the services "s" and "u" on addresses of the network, with
  // the given port.
  SoakTargets(const std::string& network, int port, int count, uint64_t seed, SoakRecord& record);
  ~SoakTargets();
  SoakTargets(const SoakTargets&) = delete;
  SoakTargets& operator=(const SoakTargets&) = delete;

  // Returns the targets that run. May be called on any thread.
  std::vector<Registration> Running();

 private:
  struct Target {
    std::string name;
    std::string service;
    Address address;
    uint64_t start = 0;                  // number of starts so far
    std::unique_ptr<HttpServer> server;  // null while the target is down
  };

  void Listen(Target& target);
  void Crash(Target& target);
  void Handle(Target& target, const HttpRequest& request, const HttpResponder& responder);

  SoakRecord& record;
  std::mt19937_64 random;  // used on the event loop only
  std::mutex mutex;        // guards the members of `targets`
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<HttpServer>> ended;  // closed, used on the event loop only
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_SOAK_SOAK_TARGETS_H_
