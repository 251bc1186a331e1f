// A small deployment: processes of the system with the command of the deploy file and settings as
// its templates render them, on loopback addresses.
//
// Use:
//   Deployment deployment("case-6", record, {.controllers = 3, .routers = 2});
//   deployment.StartAll();
//   deployment.Signal("controller-1", SIGSTOP);
//   deployment.Kill("controller-2", /*wipe=*/true);
//   deployment.Start("controller-2");
//
// Contract: every process that was started is ended by the destructor.
#ifndef PERIDOTGAUGE_REVIEW_STANDINS_2_DEPLOYMENT_H_
#define PERIDOTGAUGE_REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "review/standins-2/http.h"
#include "review/standins-2/record.h"

namespace peridotgauge::review {

constexpr int kFrontPort = 8226;
constexpr int kReadyPort = 8227;
constexpr int kControlPort = 8224;
constexpr int kDirectoryPort = 8225;
constexpr int kInternalPort = 7740;
constexpr int kMetricsPort = 9100;
constexpr int kServerPort = 8080;

struct DeploymentOptions {
  int controllers = 3;
  int routers = 1;
  int zones = 3;
  int router_memory_mb = 160;
};

class Deployment {
 public:
  Deployment(const std::string& name, Record& record, DeploymentOptions options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Returns false if there is no free network or no temporary folder.
  bool Usable() const { return !this->network.empty() && !this->folder.empty(); }
  // Starts all processes. Returns false if the operator gets no answer from a controller in time.
  bool StartAll();
  void Start(const std::string& name);
  void Signal(const std::string& name, int signal);
  // Ends a process with SIGKILL. With `wipe` its disk is lost.
  void Kill(const std::string& name, bool wipe);
  // Returns true if the process has not ended.
  bool Running(const std::string& name);
  // Returns the memory that the process uses, 0 if it is not known.
  double MemoryMb(const std::string& name) const;

  std::vector<std::string> Controllers() const;
  std::vector<std::string> Routers() const;
  // Returns the address of a process, such as At("router-1", kFrontPort).
  std::string At(const std::string& name, int port) const;
  std::string ZoneOf(const std::string& name) const;
  // Returns an address for a server.
  std::string ServerAddress(int number) const;

  // Sends an order of the operator to one controller after the other, as PROTOCOL.md says, until
  // one gives a clear answer or the time is up.
  Answer Operate(const Request& request, int64_t timeout_ms);
  // Returns the names of the voting controllers, the leader first, for the choice of those to
  // disturb. Valid until a member has been removed for the first time.
  std::vector<std::string> Members();

 private:
  std::string SettingsOf(const std::string& name) const;
  std::string IpOf(const std::string& name) const;

  Record& record;
  const DeploymentOptions options;
  std::string network;  // such as "127.40.1."
  std::string folder;
  std::map<std::string, pid_t> processes;
  size_t next_controller = 0;
};

// Waits until the condition holds. Returns false after the timeout.
bool Await(int64_t timeout_ms, const std::function<bool()>& condition);

}  // namespace peridotgauge::review

#endif  // PERIDOTGAUGE_REVIEW_STANDINS_2_DEPLOYMENT_H_
