// Daemons in one process, each on its own event loop and thread, on a loopback network of their own
// and with a folder that is removed in the end. For the deployments of tests.
//
// Use:
//   DaemonProcesses processes("routes_test", &platform);
//   processes.Start("router-0", settings_text);
//   processes.Shutdown("router-0");                  // as SIGTERM does, without waiting
//   processes.End("router-0");                       // without a graceful shutdown
//
// Contract: all functions are called on the thread of the test. Names are "controller-N" and
// "router-N".
#ifndef PERIDOTGAUGE_TESTING_DAEMON_PROCESSES_H_
#define PERIDOTGAUGE_TESTING_DAEMON_PROCESSES_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "core/types.h"
#include "io/daemon.h"
#include "io/external_interface.h"

namespace peridotgauge {

constexpr Duration kDeploymentTimeout = Seconds(20);

// Calls `condition` until it returns true or kDeploymentTimeout has passed.
bool AwaitDeployment(const std::function<bool()>& condition);

// An event loop with a thread.
class LoopThread {
 public:
  LoopThread();
  // Stops the loop and waits for the thread.
  ~LoopThread();
  // Runs `function` on the loop and waits until it has returned.
  void Run(const std::function<void()>& function);
  // Runs `function` on the loop, without waiting.
  void Post(std::function<void()> function);
  bool Stopped() const { return this->stopped; }
  void Join();

  boost::asio::io_context io{1};

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::atomic<bool> stopped{false};
  std::thread thread;  // declared last, because it uses all other members
};

class DaemonProcesses {
 public:
  // `external`: see Daemon::Start(). The name of the folder begins with `prefix`.
  explicit DaemonProcesses(const std::string& prefix, const ExternalInterface* external = nullptr);
  ~DaemonProcesses();
  DaemonProcesses(const DaemonProcesses&) = delete;
  DaemonProcesses& operator=(const DaemonProcesses&) = delete;

  void Start(const std::string& name, const std::string& settings_text);
  // Ends a process without a graceful shutdown. Does nothing if it does not run.
  void End(const std::string& name);
  // Stops a process as SIGTERM does, without waiting.
  void Shutdown(const std::string& name);
  // Returns true if the event loop has ended.
  bool Stopped(const std::string& name) const;
  // Makes a process do nothing for `duration`, as a suspended one. Does not wait.
  void Freeze(const std::string& name, Duration duration);

  std::string IpOf(const std::string& name) const;
  // Returns an IP address that no process has.
  std::string NewIp();
  const std::string& Folder() const { return this->folder; }

 private:
  struct Process {
    std::unique_ptr<LoopThread> loop;
    std::unique_ptr<Daemon> daemon;
  };

  const ExternalInterface* external;
  std::string network;  // the first three numbers of all addresses
  std::string folder;
  int next_host = 100;
  std::map<std::string, Process> processes;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_DAEMON_PROCESSES_H_
