// The desired state grows and is changed some hundred times; then all controllers are killed at the
// same moment. The stand-in of the platform kills each process that uses more memory than its
// machine has, and starts each process again that has ended. Checks that the acknowledged state can
// be read back.
#include <algorithm>
#include <csignal>

#include "../common/harness.h"

namespace {

using review::Now;

constexpr int kControllers = 3;
constexpr double kMemoryMib = 256;       // `memoryMb` of the core machines
constexpr double kDiskMib = 128;         // their disk
constexpr double kDiskReserveMib = 0.7;  // the changes stop before the disk is full
constexpr int kSmallRoutes = 18;         // routes of the site's first desired state
constexpr int kGrowth = 350;             // routes that one `big_config` adds
constexpr int kGrowthSteps = 7;
constexpr int kMaxChanges = 600;
constexpr double kLastChangeS = 70;
constexpr double kChangeIntervalS = 0.06;  // `config_storm`, gap_s = 0.06
constexpr double kRestartDelayS = 0.8;     // `kill_all`, down_s = 0.8
constexpr double kReadForS = 25;           // above `recoveryS` and `contactMs`
constexpr int64_t kReadTimeoutMs = 1'000;

std::string Name(int number) { return "controller-" + std::to_string(number); }

std::string Config(uint64_t version, int count) {
  std::vector<std::string> routes;
  routes.reserve(count);
  for (int i = 0; i < count; ++i) {
    // The first route differs from version to version, as an idle change does.
    const std::string prefix =
        i == 0 ? "/idle" + std::to_string(version) + "/" : "/area" + std::to_string(i) + "/fonts/";
    routes.push_back(review::RouteJson("route-" + std::to_string(i), prefix, "safe", 5'000, 2,
                                       "archive-" + std::to_string(i % 10)));
  }
  std::vector<std::pair<std::string, int>> services;
  services.reserve(10);
  for (int i = 0; i < 10; ++i) services.emplace_back("archive-" + std::to_string(i), 110);
  return review::ConfigJson(version, routes, services);
}

// The part of the platform that watches the core machines.
class Platform {
 public:
  Platform(review::Record& record, review::Deployment& deployment)
      : record(record), deployment(deployment), thread([this] { this->Run(); }) {}
  ~Platform() {
    this->stopped = true;
    this->thread.join();
  }
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  void KillAll() { this->kill_all = true; }
  int MemoryKills() const { return this->memory_kills; }
  double Peak() const { return this->peak; }

 private:
  void Run() {
    while (!this->stopped) {
      const bool all = this->kill_all.exchange(false);
      for (int i = 1; i <= kControllers; ++i) this->Watch(Name(i), all);
      review::SleepMillis(5);
    }
  }

  void Watch(const std::string& name, bool kill) {
    const auto due = this->restarts.find(name);
    if (due != this->restarts.end()) {
      if (Now() < due->second) return;
      this->restarts.erase(due);
      this->deployment.Launch(name);
      return;
    }
    const double used = this->deployment.PeakMemoryMib(name);
    this->peak = std::max(this->peak.load(), used);
    const bool over = used > kMemoryMib;
    if (over) {
      ++this->memory_kills;
      this->record.Line(name + " uses " + std::to_string(used) + " MiB, more than its machine has");
    }
    if (over || kill) {
      this->deployment.Signal(name, SIGKILL);
      this->deployment.Wait(name);
    }
    if (!this->deployment.Running(name)) this->restarts[name] = Now() + kRestartDelayS;
  }

  review::Record& record;
  review::Deployment& deployment;
  std::map<std::string, double> restarts;  // used only by the thread
  std::atomic<bool> kill_all{false};
  std::atomic<bool> stopped{false};
  std::atomic<int> memory_kills{0};
  std::atomic<double> peak{0};
  std::thread thread;  // declared last, because it uses all other members
};

}  // namespace

int main(int, char** argv) {
  review::Record record("record.txt");
  review::Deployment deployment(record, argv[1], {.controllers = kControllers, .routers = 1});
  if (!deployment.Start()) return review::kCannotRun;
  Platform platform(record, deployment);
  uint64_t version = 1;
  int routes = kSmallRoutes;
  if (!deployment.Apply(Config(version, routes)) || !deployment.AwaitReady()) {
    return review::kCannotRun;
  }
  int changes = 0;
  while (changes < kMaxChanges && Now() < kLastChangeS &&
         deployment.DataFolderMib(Name(1)) < kDiskMib - kDiskReserveMib) {
    const double next = Now() + kChangeIntervalS;
    if (review::Trouble() && changes < kGrowthSteps) routes += kGrowth;
    ++changes;
    ++version;
    if (!deployment.Apply(Config(version, routes))) return review::kRuleBroken;
    review::SleepUntil(next);
  }
  const std::string newest = R"({"version":)" + std::to_string(version) + ",";
  record.Line("acknowledged " + std::to_string(changes) + " changes; newest version " +
              std::to_string(version) + " of " + std::to_string(Config(version, routes).size()) +
              " bytes; data folder " + std::to_string(deployment.DataFolderMib(Name(1))) +
              " MiB; most memory " + std::to_string(platform.Peak()) + " MiB");
  if (review::Trouble()) platform.KillAll();

  const double end = Now() + kReadForS;
  const std::vector<std::string> controllers = deployment.ControllerAddresses();
  bool read_back = false;
  for (size_t i = 0; Now() < end && (!read_back || Now() < end - kReadForS / 2); ++i) {
    const std::string& controller = controllers[i % controllers.size()];
    const review::Reply reply = review::Call(controller, "GET", "/config", {}, "", kReadTimeoutMs);
    read_back = reply.status == 200 && reply.body.starts_with(newest);
    record.Line("read of " + controller + ": " +
                (reply.status != 0 ? std::to_string(reply.status) : reply.failure) +
                (read_back ? ", the newest version" : ""));
    review::SleepMillis(500);
  }
  record.Line("killed for their memory: " + std::to_string(platform.MemoryKills()) +
              " times; most memory " + std::to_string(platform.Peak()) +
              " MiB; the newest version " + (read_back ? "came" : "did not come"));
  return read_back ? review::kRuleHeld : review::kRuleBroken;
}
