// A controller and a router as processes of their own, with one target, for tests of crowds of
// clients outside the limits.
//
// Use:
//   HostileDeployment deployment;
//   HostileCrowd crowd(deployment.At("router", kPeerPort), 20, {.repeat = frame});
//   crowd.Run(Seconds(2));
//   deployment.Check("router");
//
// Contract: the program of the daemon is in the environment variable PERIDOTGAUGED, or
// build/peridotgauged. All processes end with the deployment. Waiting functions return false after
// kAwaitTimeout.
#ifndef PERIDOTGAUGE_TESTING_HOSTILE_DEPLOYMENT_H_
#define PERIDOTGAUGE_TESTING_HOSTILE_DEPLOYMENT_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/route_deployment.h"

namespace peridotgauge {

constexpr int kHttpPort = 18'501;
constexpr int kHealthPort = 18'502;
constexpr int kDirectoryPort = 18'503;
constexpr int kMetricsPort = 18'504;
constexpr int kPeerPort = 18'505;
constexpr int kTargetPort = 18'510;

// The limits of each started process. A process must stay within its memory, and within its
// descriptors less an eighth, which remains for its targets, peers and controllers.
constexpr size_t kMemoryMb = 64;
constexpr size_t kDescriptors = 1'024;
constexpr size_t kScarceDescriptors = 256;

// An ordinary caller waits this long. It only ends tests that fail: the router allows requests 10 s
// to arrive, and a crowd must not keep a caller waiting for that.
constexpr Duration kCallTimeout = Seconds(8);
constexpr Duration kAwaitTimeout = Seconds(20);

bool Await(const std::function<bool()>& condition);

// The memory and descriptors of each started process.
struct HostSize {
  size_t memory_mb = kMemoryMb;
  size_t descriptors = kDescriptors;
};

// A started daemon process.
class HostProcess {
 public:
  HostProcess(const std::string& settings_file, const std::string& log, size_t descriptors);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  bool Running();
  // Returns the highest resident memory since the start, in bytes.
  size_t PeakMemory() const;
  size_t OpenDescriptors() const;

  const size_t descriptors;

 private:
  pid_t pid = -1;
  bool ended = false;
};

class HostileDeployment {
 public:
  explicit HostileDeployment(HostSize router_size = {}, HostSize controller_size = {});
  ~HostileDeployment();
  HostileDeployment(const HostileDeployment&) = delete;
  HostileDeployment& operator=(const HostileDeployment&) = delete;

  Address At(const std::string& name, int port) const;
  HostProcess& Process(const std::string& name);
  // Sends an ordinary request to the router. Returns true if it is answered with 200.
  bool Answers();
  // Asks the controller for the configuration, as operators do.
  bool ControllerAnswers() const;
  // Returns the address of a further target; `number` counts from 0.
  Address TargetAddress(size_t number) const;
  // Adds a route and its services, with the addresses of their targets, which must listen already.
  // Waits until the router sends requests for `path` to a target. Call it once.
  bool AddRoute(const std::string& route, const std::string& path,
                const std::map<std::string, std::vector<Address>>& services);
  // Checks both processes after a crowd.
  void Check(const std::string& attacked);

 private:
  std::unique_ptr<HostProcess> Start(const std::string& name, const HostSize& size) const;
  // Answers each request after a while, so that requests wait in the router. A path that ends with
  // "/large" gets kLargeAnswerBytes.
  void Listen();
  // Sends a document to the controller. Returns true if it is accepted.
  bool Put(const std::string& path, const std::string& body) const;
  bool Configure() const;

  const HostSize router_size;
  const HostSize controller_size;
  std::string network;  // the first three numbers of all addresses
  std::string folder;
  int requests = 0;
  std::unique_ptr<HostProcess> controller;
  std::unique_ptr<HostProcess> router;
  LoopThread target_loop;
  std::unique_ptr<HttpServer> target;
};

// Where a crowd sends to: a process, one of its ports, and a path.
struct Place {
  std::string process;
  int port = kHttpPort;
  std::string method;
  std::string path;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_HOSTILE_DEPLOYMENT_H_
