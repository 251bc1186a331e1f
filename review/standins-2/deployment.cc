// Starts, disturbs and ends the processes of a small deployment.
#include "review/standins-2/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace peridotgauge::review {
namespace {

// The command of deploy/system.toml, with a settings file of its own for each process.
constexpr char kProgram[] = "target/peridotgauged";
constexpr int kFirstSecondNumber = 40;
constexpr int kSecondNumbers = 200;
constexpr int kThirdNumbers = 250;
constexpr int kFirstController = 1;
constexpr int kFirstRouter = 31;
constexpr int kFirstServer = 101;

bool IsController(const std::string& name) { return name.rfind("controller", 0) == 0; }
int NumberOf(const std::string& name) {
  return std::atoi(name.c_str() + static_cast<int64_t>(name.find('-')) + 1);
}
std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

// Returns a loopback network on which nothing listens.
std::string FreeNetwork() {
  int number = static_cast<int>(getpid());
  for (int i = 0; i < 1'000; ++i, ++number) {
    std::string network = "127." + std::to_string(kFirstSecondNumber + number % kSecondNumbers) +
                          "." + std::to_string(1 + number / kSecondNumbers % kThirdNumbers) + ".";
    const int fd =
        Listen(network + std::to_string(kFirstController) + ":" + std::to_string(kInternalPort));
    if (fd < 0) continue;
    close(fd);
    return network;
  }
  return "";
}

}  // namespace

Deployment::Deployment(const std::string& name, Record& record, DeploymentOptions options)
    : record(record), options(options), network(FreeNetwork()) {
  const std::filesystem::path parent = std::filesystem::temp_directory_path();
  std::string pattern = (parent / (name + "-XXXXXX")).string();
  const char* made = mkdtemp(pattern.data());
  this->folder = made == nullptr ? "" : made;
}

Deployment::~Deployment() {
  while (!this->processes.empty()) this->Kill(this->processes.begin()->first, false);
  std::error_code ignored;
  if (!this->folder.empty()) std::filesystem::remove_all(this->folder, ignored);
}

std::string Deployment::IpOf(const std::string& name) const {
  const int first = IsController(name) ? kFirstController : kFirstRouter;
  return this->network + std::to_string(first + NumberOf(name) - 1);
}

std::string Deployment::At(const std::string& name, int port) const {
  return this->IpOf(name) + ":" + std::to_string(port);
}

std::string Deployment::ZoneOf(const std::string& name) const {
  return std::string("perth-") +
         static_cast<char>('a' + (NumberOf(name) - 1) % this->options.zones);
}

std::string Deployment::ServerAddress(int number) const {
  return this->network + std::to_string(kFirstServer + number) + ":" + std::to_string(kServerPort);
}

std::vector<std::string> Deployment::Controllers() const {
  std::vector<std::string> names;
  for (int i = 1; i <= this->options.controllers; ++i) {
    names.push_back("controller-" + std::to_string(i));
  }
  return names;
}

std::vector<std::string> Deployment::Routers() const {
  std::vector<std::string> names;
  for (int i = 1; i <= this->options.routers; ++i) {
    names.push_back("router-" + std::to_string(i));
  }
  return names;
}

// As deploy/router.json and deploy/controller.json render it for the bounds of the site.
std::string Deployment::SettingsOf(const std::string& name) const {
  const auto at = [&](int port) { return Quoted(this->At(name, port)); };
  std::string seeds;
  for (int i = 1; i <= std::min(this->options.controllers, 3); ++i) {
    seeds +=
        (i == 1 ? "" : ",") + Quoted(this->At("controller-" + std::to_string(i), kControlPort));
  }
  const std::string common =
      R"({"id":)" + Quoted(this->IpOf(name)) + R"(,"data_centre":)" + Quoted(this->ZoneOf(name)) +
      R"(,"interface":"routes","peer_address":)" + at(kInternalPort) + R"(,"metrics_address":)" +
      at(kMetricsPort) + R"(,"grace_ms":6000,"heartbeat_ms":1200,"seeds":[)" + seeds + "]";
  if (IsController(name)) {
    return common + R"(,"roles":["controller"],"http_address":)" + at(kControlPort) +
           R"(,"directory_address":)" + at(kDirectoryPort) + R"(,"memory_mb":256,"data_folder":)" +
           Quoted(this->folder + "/data-" + name) + "}";
  }
  return common + R"(,"roles":["router"],"http_address":)" + at(kFrontPort) +
         R"(,"health_address":)" + at(kReadyPort) + R"(,"processor_share":0.12,"memory_mb":)" +
         std::to_string(this->options.router_memory_mb) +
         R"(,"overload_admission":true,"extra_ratio":0.2)" +
         R"(,"extra_slack":206,"extra_window_s":10})";
}

void Deployment::Start(const std::string& name) {
  const std::string path = this->folder + "/" + name + ".json";
  std::ofstream(path) << this->SettingsOf(name);
  const std::string log = this->folder + "/" + name + ".log";
  const std::string flag = "--settings=" + path;
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this program, however that ends
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(kProgram, kProgram, flag.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  this->processes[name] = pid;
  this->record.Write("start " + name + " at " + this->IpOf(name));
}

void Deployment::Signal(const std::string& name, int signal) {
  kill(this->processes.at(name), signal);
  this->record.Write("signal " + std::to_string(signal) + " to " + name);
}

void Deployment::Kill(const std::string& name, bool wipe) {
  const pid_t pid = this->processes.at(name);
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  this->processes.erase(name);
  if (!wipe) return;
  std::error_code ignored;
  std::filesystem::remove_all(this->folder + "/data-" + name, ignored);
  this->record.Write("kill " + name + ", its disk is lost");
}

bool Deployment::Running(const std::string& name) {
  const auto found = this->processes.find(name);
  return found != this->processes.end() && waitpid(found->second, nullptr, WNOHANG) == 0;
}

double Deployment::MemoryMb(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(this->processes.at(name)) + "/status");
  for (std::string word; status >> word;) {
    if (word != "VmRSS:") continue;
    double kilobytes = 0;
    status >> kilobytes;
    return kilobytes / 1'024;
  }
  return 0;
}

bool Deployment::StartAll() {
  if (!this->Usable()) return false;
  for (const std::string& name : this->Controllers()) this->Start(name);
  for (const std::string& name : this->Routers()) this->Start(name);
  return Await(20'000, [this] {
    const Answer answer = Call(this->At("controller-1", kMetricsPort),
                               {.method = "GET", .path = "/v1/status"}, 1'000);
    return answer.status == 200;
  });
}

Answer Deployment::Operate(const Request& request, int64_t timeout_ms) {
  const std::vector<std::string> names = this->Controllers();
  const int64_t end = this->record.Elapsed() + timeout_ms;
  Answer answer;
  int64_t pause_ms = 50;
  while (this->record.Elapsed() < end) {
    const std::string& name = names[this->next_controller++ % names.size()];
    answer = Call(this->At(name, kControlPort), request, 1'000);
    const bool move_on =
        answer.status == 0 || answer.status >= 500 || answer.status == 408 || answer.status == 429;
    if (!move_on) return answer;
    SleepMs(pause_ms);
    pause_ms = std::min<int64_t>(2 * pause_ms, 400);
  }
  return answer;
}

std::vector<std::string> Deployment::Members() {
  std::vector<std::string> members;
  for (const std::string& name : this->Controllers()) {
    const Answer answer = Call(this->At(name, kMetricsPort), {.path = "/healthz"}, 1'000);
    const bool leader = answer.body.find(R"("role":"leader")") != std::string::npos;
    const bool follower = answer.body.find(R"("role":"follower")") != std::string::npos;
    if (leader) members.insert(members.begin(), name);
    if (follower) members.push_back(name);
  }
  return members;
}

bool Await(int64_t timeout_ms, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    SleepMs(50);
  }
  return true;
}

}  // namespace peridotgauge::review
