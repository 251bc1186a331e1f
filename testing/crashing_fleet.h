// A RouteDeployment whose targets crash on certain requests, and callers of harmless and of
// crashing requests. For tests of what a request that crashes its targets costs.
//
// Use:
//   CrashingFleet fleet({.routers = 3});
//   fleet.Resend("GET", "/s/crash", Seconds(6));   // again and again, at any router
//   CHECK(fleet.LateSends("/s/crash") <= 3);
//
// Contract: a target crashes when a request arrives whose path contains "crash": all its
// connections are closed, nothing is deregistered, and after the restart delay the next incarnation
// registers at the same address under another id. All functions are called on the thread of the
// test.
#ifndef PERIDOTGAUGE_TESTING_CRASHING_FLEET_H_
#define PERIDOTGAUGE_TESTING_CRASHING_FLEET_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "route_deployment.h"

namespace peridotgauge {

// Time from the crash of a target to the registration of its next incarnation.
constexpr Duration kRestartDelay = Millis(1'500);
// The sends to targets that are allowed later than kContactTime after the third crash.
constexpr size_t kAllowedLateSends = 3;
constexpr Duration kContactTime = Seconds(4);

struct CrashingFleetOptions {
  size_t controllers = 1;
  size_t routers = 3;
  size_t targets = 4;  // of each service
  Duration restart_delay = kRestartDelay;
};

constexpr Duration kCommitInterval = Millis(50);
constexpr Duration kPromptCommit = Millis(100);

// The end of a request that no target crashes on.
struct HarmlessEnd {
  Time sent;
  std::string path;
  int status = 0;  // 0: no answer
};

class CrashingFleet {
 public:
  explicit CrashingFleet(CrashingFleetOptions options);
  ~CrashingFleet();

  // Sends the request `count` times at the router and leaves each time before the target has
  // crashed.
  void SendAndLeave(size_t router, const std::string& method, const std::string& path, int count);
  // Sends the request every 200 to 500 ms to some router, for `length`. Calls `disturb` between two
  // sends, with the number of sends so far.
  void Resend(const std::string& method, const std::string& path, Duration length,
              const std::function<void(int)>& disturb = {});
  // Sends a request to the router and returns the answer, or nothing if there is none.
  std::optional<HttpResponse> Send(size_t router, const std::string& method,
                                   const std::string& path);
  // Starts threads that send harmless requests to all routers. Each path is sent every few
  // milliseconds.
  void StartHarmless();
  // Stops these threads and returns their requests that were sent after `since` and not answered
  // with 200.
  std::vector<HarmlessEnd> StopHarmless(Time since);
  // Returns the number of targets that have crashed on the path.
  size_t Crashes(const std::string& path);
  // Returns how many sends of the path have reached targets later than kContactTime after the third
  // crash.
  size_t LateSends(const std::string& path);
  // Returns how many of these have crashed their targets.
  size_t LateCrashes(const std::string& path);

  // Starts a thread that lets the controllers commit a command every kCommitInterval.
  void WatchCommits();
  // Returns true if all these commands since `since` were committed within kPromptCommit. A router
  // waits 300 ms for the commit of a trial, and refuses the request if the disk of the controllers
  // takes longer.
  bool CommitsWerePrompt(Time since);
  // Returns the sample of a metric of a router, or 0 if it has none.
  double Metric(size_t router, const std::string& sample);

  // Ends targets of the service as a loss of power of their rack does, and starts them again after
  // the restart delay.
  void CrashTargets(const std::string& service, size_t count);
  // Resets the connections of all targets that have a request in flight, which go on running.
  void ResetConnections();

  // Ends all processes at once and starts them again.
  void KillAll();

  // Returns the statuses of the answers to the resends.
  const std::vector<int>& Statuses() const { return this->statuses; }
  RouteDeployment& Deployment() { return this->deployment; }

 private:
  struct Target {
    std::string service;
    Address address;
    int number = 0;
    uint64_t start = 0;  // number of starts so far
    uint64_t sequence = 0;
    bool running = false;
    std::unique_ptr<HttpServer> server;
  };
  struct Arrival {
    std::string path;
    Time at;
    bool crash = false;
  };

  struct Commit {
    Time begun;
    Time ended = Time::max();  // while it runs
    bool committed = false;
  };

  void Listen(Target& target);
  void Crash(Target& target);
  void Handle(Target& target, const HttpRequest& request, const HttpResponder& responder);
  // Sends the heartbeats of all running targets once.
  void SendHeartbeats();
  std::vector<Arrival> ArrivalsOf(const std::string& path);
  // Returns the arrivals later than kContactTime after the third crash.
  std::vector<Arrival> LateArrivalsOf(const std::string& path);

  CrashingFleetOptions options;
  RouteDeployment deployment;
  std::mutex mutex;
  std::vector<Arrival> arrivals;                 // guarded by `mutex`
  std::vector<std::unique_ptr<Target>> targets;  // used on `loop`
  std::vector<int> statuses;
  std::vector<HarmlessEnd> harmless_ends;  // guarded by `mutex`
  std::vector<Commit> commits;             // guarded by `mutex`
  std::atomic<bool> harmless_stopping{false};
  std::vector<std::thread> harmless;
  std::mt19937_64 random{1};
  int next_request = 0;
  std::atomic<bool> stopping{false};
  std::thread heartbeats;
  std::thread commit_watch;
  LoopThread loop;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_CRASHING_FLEET_H_
