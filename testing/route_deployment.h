// A deployment with the interface of the platform, in one process: controllers, routers and
// targets, each on its own event loop and thread, on loopback addresses. For tests of what callers,
// targets and operators see.
//
// Use:
//   RouteDeployment deployment({.controllers = 1, .routers = 1});
//   deployment.Apply(ConfigText(1, {RouteText("r", "/p/", "safe", 2'000, "s")}, {"s"}));
//   RouteTarget target(deployment.NewAddress(), [](const HttpRequest&) { return Millis(10); });
//   deployment.Heartbeat(0, "i-1", HeartbeatText("s", target.address, "ready", 1));
//   REQUIRE(deployment.AwaitRoute("/p/ready"));
//   std::optional<HttpResponse> answer = Call(deployment.RouterAddress(0), CallerRequest("r1",
//   ...));
//
// Contract: all functions are called on the thread of the test. Waiting functions return false
// after kDeploymentTimeout.
#ifndef PERIDOTGAUGE_TESTING_ROUTE_DEPLOYMENT_H_
#define PERIDOTGAUGE_TESTING_ROUTE_DEPLOYMENT_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/http_message.h"
#include "core/types.h"
#include "io/daemon.h"
#include "io/http_server.h"
#include "platform/platform.h"
#include "testing/daemon_processes.h"

namespace peridotgauge {

// Sends a request on a new connection. Returns nothing if the connection cannot be opened, or ends
// without a complete response within `timeout`.
std::optional<HttpResponse> Call(const Address& address, const HttpRequest& request,
                                 Duration timeout);

// Returns a caller's request for a path of the host of RouteText().
HttpRequest CallerRequest(const std::string& id, const std::string& method, const std::string& path,
                          Duration timeout);

// Texts of the platform's documents.
std::string RouteText(const std::string& name, const std::string& prefix, const std::string& kind,
                      int64_t timeout_ms, const std::string& service);
std::string ConfigText(uint64_t version, const std::vector<std::string>& routes,
                       const std::vector<std::string>& services);
std::string HeartbeatText(const std::string& service, const Address& address,
                          const std::string& state, uint64_t sequence, uint64_t born = 1'000,
                          const std::string& data_centre = "z-a");

constexpr size_t kLargeAnswerBytes = 3 << 20;

// A target that answers every request after the time that a test chooses: with status 500 if the
// path ends with "/fail", with 200 otherwise. The answer to a path that ends with "/large" has
// kLargeAnswerBytes.
class RouteTarget {
 public:
  using WorkTime = std::function<Duration(const HttpRequest&)>;
  // Changes an answer before it is sent. Called on the target's thread.
  using Edit = std::function<void(HttpResponse&)>;
  RouteTarget(Address address, WorkTime work_time, Edit edit = {});
  ~RouteTarget();

  // Returns the ids of the requests that have arrived.
  std::vector<std::string> Arrivals();
  // Returns when they have arrived.
  std::vector<Time> ArrivalTimes();
  // Returns the number of open connections.
  size_t Connections();

  const Address address;

 private:
  void Handle(const HttpRequest& request, const HttpResponder& responder);

  WorkTime work_time;
  Edit edit;
  std::mutex mutex;
  std::vector<std::string> arrivals;  // guarded by `mutex`
  std::vector<Time> arrival_times;    // guarded by `mutex`
  std::unique_ptr<HttpServer> server;
  LoopThread loop;
};

struct RouteDeploymentOptions {
  size_t controllers = 1;
  size_t routers = 1;
  Duration grace = Seconds(6);       // from the stop signal to the end of the process
  Duration heartbeat = Seconds(60);  // interval at which targets are expected to register
  // Limit on extra attempts of a service in ten seconds, see Settings.
  double extra_ratio = 0.2;
  double extra_slack = 10;
};

class RouteDeployment {
 public:
  explicit RouteDeployment(RouteDeploymentOptions options);

  void StartController(size_t number);
  // Stops a controller as SIGTERM does, and waits until it has ended.
  bool StopController(size_t number);
  // Ends a controller without a graceful shutdown.
  void KillController(size_t number);
  // Makes a controller do nothing for `duration`, as a suspended process. Does not wait.
  void FreezeController(size_t number, Duration duration);
  std::optional<size_t> Leader();
  // Stops a router as SIGTERM does, without waiting.
  void BeginStopRouter(size_t number);
  bool RouterStopped(size_t number);
  // Starts a router again that was stopped or killed, and waits until it serves the path.
  bool RestartRouter(size_t number, const std::string& path);
  // Ends a router without a graceful shutdown.
  void KillRouter(size_t number) { this->processes.End("router-" + std::to_string(number)); }

  // Sends a configuration until it is accepted.
  bool Apply(const std::string& text);
  std::optional<HttpResponse> Heartbeat(size_t controller, const std::string& id,
                                        const std::string& body);
  std::optional<HttpResponse> Deregister(size_t controller, const std::string& id);
  // Evacuates a data centre with `method` POST, or ends that with DELETE.
  std::optional<HttpResponse> SetEvacuation(size_t controller, const std::string& method,
                                            const std::string& data_centre);
  // Waits until every router has answered a request for the path with 200.
  bool AwaitRoute(const std::string& path);
  bool AwaitRouter(size_t number, const std::string& path);

  Address ControllerAddress(size_t number) const;
  Address ControllerMetricsAddress(size_t number) const;
  // Where a controller tells callers which routers to use.
  Address ControllerDirectoryAddress(size_t number) const;
  Address RouterAddress(size_t number) const;
  // The metrics address of a router, where operators ask it.
  Address MetricsAddress(size_t number) const;
  Address NewAddress();

 private:
  void Start(const std::string& name) { this->processes.Start(name, this->SettingsText(name)); }
  std::string SettingsText(const std::string& name) const;

  RouteDeploymentOptions options;
  int next_request = 0;
  platform::Platform platform;
  DaemonProcesses processes{"routes_test", &this->platform};
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_ROUTE_DEPLOYMENT_H_
