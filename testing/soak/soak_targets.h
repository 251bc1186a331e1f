// The targets of a soak, on one event loop. Some answers are slow, a few fail, and requests whose
// path contains "crash" end their target: its connections are closed, nothing is deregistered, and
// after kSoakRestartDelay the next incarnation listens on the same address under another id.
// Targets of the service "c" are cold after each start and after Cool().
#ifndef PERIDOTGAUGE_TESTING_SOAK_SOAK_TARGETS_H_
#define PERIDOTGAUGE_TESTING_SOAK_SOAK_TARGETS_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "core/types.h"
#include "io/http_server.h"
#include "testing/soak/soak_limits.h"
#include "testing/soak/soak_record.h"

namespace peridotgauge {

constexpr Duration kSoakRestartDelay = Seconds(2);
constexpr Duration kSoakColdTime = Seconds(5);
constexpr int kSoakWarmupPerS = 10;
// Routers learn within this time that a warm target has become cold: a router that has not heard of
// it by then has lost its lease. The limit does not cover the time before.
constexpr Duration kSoakColdKnown = Seconds(2);

class SoakTargets {
 public:
  // A target that runs, as it registers itself.
  struct Registration {
    std::string id;
    std::string service;
    Address address;
    std::string data_centre;
    uint64_t born = 0;
    Duration warmup_left{0};
  };

  // Starts `count` targets of each of the services "s", "u" and "c" on addresses of the network,
  // with the given port. Target i of each is in data centre i of "z-a", "z-b" and so on.
  SoakTargets(const std::string& network, int port, int count, uint64_t seed, SoakRecord& record,
              SoakLimits& limits);
  ~SoakTargets();
  SoakTargets(const SoakTargets&) = delete;
  SoakTargets& operator=(const SoakTargets&) = delete;

  // Returns the targets that run. May be called on any thread.
  std::vector<Registration> Running();
  // A controller has confirmed a registration. May be called on any thread.
  void OnRegistered(const Registration& registration);
  // Makes target `number` of the service "c" cold. May be called on any thread.
  void Cool(size_t number);
  // Ends this target as a crash does. May be called on any thread.
  void Restart(size_t number);

 private:
  struct Target {
    std::string name;
    std::string service;
    Address address;
    std::string data_centre;
    uint64_t start = 0;                  // number of starts so far
    std::unique_ptr<HttpServer> server;  // null while the target is down
    Time cold_until;
    std::optional<Time> limited_from;  // when all routers must know that it is cold
    ArrivalWindow cold_arrivals;
  };

  static std::string IdOf(const Target& target) {
    return target.name + "-" + std::to_string(target.start);
  }
  Target& ColdTarget(size_t number);
  void CheckCold(Target& target, const std::string& id);
  void Listen(Target& target);
  void Crash(Target& target);
  void Handle(Target& target, const HttpRequest& request, const HttpResponder& responder);

  SoakRecord& record;
  SoakLimits& limits;
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
