// A deployment with the native interface, in one process: one controller or more, routers and
// targets, each on its own event loop and thread, on loopback addresses.
//
// Use:
//   NativeDeployment deployment({.controllers = 1, .routers = 2});
//   deployment.Apply(text);
//   NativeTarget target(deployment, {.name = "s/a", .service = "s"});
//   REQUIRE(deployment.AwaitSearch("s", key));
//
// Contract: all functions are called on the thread of the test. Waiting functions return false
// after kDeploymentTimeout. Targets end before their deployment.
#ifndef PERIDOTGAUGE_TESTING_NATIVE_DEPLOYMENT_H_
#define PERIDOTGAUGE_TESTING_NATIVE_DEPLOYMENT_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/http_message.h"
#include "core/types.h"
#include "io/daemon.h"
#include "io/http_server.h"
#include "testing/daemon_processes.h"
#include "testing/route_deployment.h"

namespace peridotgauge {

struct NativeDeploymentOptions {
  size_t controllers = 1;
  size_t routers = 1;
  std::vector<std::string> data_centres = {"dc-a"};  // of the routers, in turn
};

class NativeDeployment {
 public:
  explicit NativeDeployment(NativeDeploymentOptions options);

  // Sends a configuration until it is accepted.
  bool Apply(const std::string& text);
  // Sends a configuration once.
  std::optional<HttpResponse> TryApply(const std::string& text);
  void KillRouter(size_t number) { this->processes.End("router-" + std::to_string(number)); }
  void StartRouter(size_t number) { this->Start("router-" + std::to_string(number)); }
  // Makes a router do nothing for `duration`, as a suspended process. Does not wait.
  void FreezeRouter(size_t number, Duration duration);

  // Send a request of a caller; `key` may be empty.
  std::optional<HttpResponse> Search(size_t router, const std::string& service,
                                     const std::string& key, Duration timeout = Seconds(5));
  std::optional<HttpResponse> Order(size_t router, const std::string& service,
                                    const std::string& id, const std::string& key,
                                    Duration timeout = Seconds(5));
  // Evacuates a data centre at a router with `method` POST, or ends that with DELETE, and waits
  // until all routers know of `count` evacuated data centres.
  bool SetEvacuation(size_t router, const std::string& method, const std::string& data_centre,
                     size_t count);
  // Waits until every router answers a search completely.
  bool AwaitSearch(const std::string& service, const std::string& key);

  Address ControllerAddress(size_t number) const;
  Address RouterAddress(size_t number) const;
  Address NewAddress();
  size_t RouterCount() const { return this->options.routers; }
  // Returns what the processes have written to their span files.
  std::string Spans() const;

 private:
  void Start(const std::string& name) { this->processes.Start(name, this->SettingsText(name)); }
  std::string SettingsText(const std::string& name) const;

  NativeDeploymentOptions options;
  DaemonProcesses processes{"native_test"};
};

struct NativeTargetOptions {
  std::string name;
  std::string service;
  std::string data_centre = "dc-a";
  uint32_t slots = 8;
  uint32_t shard = 0;
  uint32_t shards = 1;
  // Where another target listens, which this one only registers; empty: this one listens.
  Address address = {};
};

// A target that registers with all routers in turn and records the requests that it gets.
class NativeTarget {
 public:
  NativeTarget(NativeDeployment& deployment, NativeTargetOptions options);
  ~NativeTarget();
  NativeTarget(const NativeTarget&) = delete;
  NativeTarget& operator=(const NativeTarget&) = delete;

  std::vector<HttpRequest> Requests();
  size_t RequestCount() { return this->Requests().size(); }
  void Clear();
  // Time after which it answers a request.
  void SetWorkTime(Duration time) { this->work_us = time.count(); }

 private:
  void Handle(const HttpRequest& request, const HttpResponder& responder);
  void Register();

  NativeDeployment& deployment;
  NativeTargetOptions options;
  std::atomic<int64_t> work_us = 1'000;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::vector<HttpRequest> requests;  // guarded by `mutex`
  std::unique_ptr<HttpServer> server;
  LoopThread loop;
  std::thread registrar;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_NATIVE_DEPLOYMENT_H_
