// Shared parts of the review's scripts: a small deployment of the project's own daemon, stand-ins
// for backends and clients, and the record of what was sent, answered and run.
//
// Use:
//   Record record("record.txt");
//   Deployment deployment(record, "../../target/peridotgauged", {.controllers = 3, .routers = 2});
//   deployment.Start();
//   Backend backend(record, {.id = "i-1", .service = "archive", .address =
//   deployment.NewAddress()},
//                   [](const Request&) { return Work{.millis = 200}; });
//   Registrar registrar(record, backend, deployment.ControllerAddresses());
//
// Contract: every socket is bound to a loopback address. All processes that were started end with
// this one, also if it is killed.
#ifndef PERIDOTGAUGE_REVIEW_COMMON_HARNESS_H_
#define PERIDOTGAUGE_REVIEW_COMMON_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the seconds since the start of the process on the steady clock.
double Now();
void SleepUntil(double seconds);
void SleepMillis(int64_t millis);

// Exit codes of a script.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCannotRun = 2;

// Returns false if the environment says TROUBLE=0: the script then runs without the disruption.
bool Trouble();

// Writes lines with the time since the start to a file. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Line(const std::string& text);

 private:
  std::mutex mutex;
  int file;
};

// --- HTTP ---

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  double arrived = 0;
  // The value of the header, or an empty string.
  std::string Header(std::string_view name) const;
};

struct Reply {
  int status = 0;  // 0: the connection ended or timed out without a complete answer
  Headers headers;
  std::string body;
  std::string failure;  // why there is no complete answer: "refused", "closed" or "timeout"
  bool sent = false;    // the whole request was written to an open connection
  std::string Header(std::string_view name) const;
};

// Sends one request on a new connection and waits for the whole answer.
Reply Call(const std::string& address, const std::string& method, const std::string& target,
           const Headers& headers, const std::string& body, int64_t timeout_ms);

// --- Backends ---

// What a backend does with one request.
struct Work {
  int64_t millis = 0;
  bool crash = false;  // the backend process ends as it begins to run the request
};

struct BackendOptions {
  std::string id;
  std::string service;
  std::string address;
  std::string zone = "z-a";
  int slots = 4;
  int queue = 1'000;  // requests that wait for a slot; a further one is refused as not executed
  // Share of the refusals that are sent a second time, late: when the next request has arrived on
  // the connection and its answer is expected.
  double repeated_refusals = 0;
};

struct Arrival {
  std::string request_id;
  double at = 0;
};

// A backend of the platform's pages: serves one request at a time on a connection, works on at most
// `slots` requests and queues the others, answers 421 if another instance is expected, and echoes
// the request id.
class Backend {
 public:
  using Decide = std::function<Work(const Request&)>;

  Backend(Record& record, BackendOptions options, Decide decide);
  // Calls Crash().
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  // Stops listening and ends all connections, as the end of the process does.
  void Crash();
  bool Alive() const { return this->alive; }
  const BackendOptions& Options() const { return this->options; }
  // The requests that were passed on to this backend, without status checks and 421 answers.
  std::vector<Arrival> Arrivals() const;
  // The number of answers that were sent a second time.
  int ExtraAnswers() const { return this->extra_answers; }
  // The ids of the requests that this backend began to run.
  std::vector<std::string> Ran() const;

 private:
  void Accept();
  void Serve(int connection);
  // Runs the request. Returns false if the connection must end without an answer. `extra` holds a
  // second copy of an answer that is still to be sent on the connection.
  bool Answer(int connection, const Request& request, std::string& extra);
  // Takes a place in the queue and then a slot. Returns false if the queue is full.
  bool TakeSlot(const std::string& id);

  Record& record;
  const BackendOptions options;
  Decide decide;
  std::atomic<bool> alive{true};
  std::atomic<int> extra_answers{0};
  int listener = -1;
  mutable std::mutex mutex;
  std::set<int> connections;        // guarded by `mutex`
  std::vector<Arrival> arrivals;    // guarded by `mutex`
  std::vector<std::string> ran;     // guarded by `mutex`
  int running = 0;                  // guarded by `mutex`
  int waiting = 0;                  // guarded by `mutex`
  double repeat_credit = 0;         // guarded by `mutex`
  std::vector<std::thread> served;  // guarded by `mutex`
  std::thread acceptor;
};

// Sends the heartbeats of one backend.
class Registrar {
 public:
  Registrar(Record& record, const Backend& backend, std::vector<std::string> controllers,
            int64_t heartbeat_ms);
  ~Registrar();
  Registrar(const Registrar&) = delete;
  Registrar& operator=(const Registrar&) = delete;

  // Reports `draining` until it is acknowledged; returns the time of the acknowledgement.
  double Drain();
  // Sends DELETE until it is acknowledged, and no heartbeat afterwards; returns the time of the
  // acknowledgement.
  double Leave();
  // Sends no heartbeat from now on, as after a crash.
  void Silence();
  // Takes a heartbeat that was sent now but not delivered.
  std::string TakeHeartbeat();
  // Delivers a heartbeat taken earlier. Returns the status of the answer.
  int Deliver(const std::string& heartbeat);

 private:
  void Run();
  std::string Body();
  // Sends the call to one controller after the other until one acknowledges it.
  double SendUntilAcknowledged(const std::string& method, const std::string& what);

  Record& record;
  const Backend& backend;
  const std::vector<std::string> controllers;
  const int64_t heartbeat_ms;
  const int64_t born_ms;
  std::mutex mutex;
  std::string state = "ready";  // guarded by `mutex`
  uint64_t sequence = 0;        // guarded by `mutex`
  std::atomic<bool> silent{false};
  std::atomic<bool> stopped{false};
  std::thread thread;
};

// --- The deployment ---

struct DeploymentOptions {
  int controllers = 3;
  int routers = 2;
  int grace_s = 6;
  int64_t heartbeat_ms = 1'200;
};

class Deployment {
 public:
  // `daemon` is the path of the program that the deploy file names.
  Deployment(Record& record, std::string daemon, DeploymentOptions options);
  // Ends all processes and removes the temporary folder.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts all processes and waits until a controller leads. Returns false if that fails.
  bool Start();
  // Sends the configuration until it is acknowledged. Returns false after 15 s.
  bool Apply(const std::string& config);
  // Waits until both routers count as ready.
  bool AwaitReady();

  void Launch(const std::string& name);
  void Signal(const std::string& name, int signal);
  // Waits until the process has ended.
  void Wait(const std::string& name);
  bool Running(const std::string& name);
  // Returns the highest resident memory of the process since its start, in MiB; 0 if it has ended.
  double PeakMemoryMib(const std::string& name);
  // Returns the size of the data folder of a controller, in MiB.
  double DataFolderMib(const std::string& name) const;
  // Returns the name of the leading controller, or an empty string.
  std::string Leader();

  std::vector<std::string> ControllerAddresses() const;
  std::string RouterAddress(int number) const;
  // Returns a free address for a stand-in.
  std::string NewAddress();

 private:
  std::string IpOf(const std::string& name) const;
  std::string Settings(const std::string& name) const;

  Record& record;
  const std::string daemon;
  const DeploymentOptions options;
  std::string folder;
  std::string network;  // the first three numbers of all addresses
  int next_host = 100;
  std::map<std::string, pid_t> processes;
};

// Returns a route of a configuration text for one service.
std::string RouteJson(const std::string& name, const std::string& prefix, const std::string& kind,
                      int64_t timeout_ms, int max_attempts, const std::string& service);
// Returns a configuration text.
std::string ConfigJson(uint64_t version, const std::vector<std::string>& routes,
                       const std::vector<std::pair<std::string, int>>& services);

// The host name of all routes.
constexpr std::string_view kHost = "review.example";

// Returns the headers of a client's request.
Headers ClientHeaders(const std::string& request_id, int64_t deadline_ms);

}  // namespace review

#endif  // PERIDOTGAUGE_REVIEW_COMMON_HARNESS_H_
