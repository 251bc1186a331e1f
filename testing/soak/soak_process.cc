// Child processes of the soak.
#include "testing/soak/soak_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <iterator>
#include <string_view>
#include <thread>
#include <utility>

#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr Duration kPollInterval = Millis(5);
constexpr size_t kLastSigns = 8;

}  // namespace

SoakProcess::SoakProcess(std::string name, std::string ip, std::vector<std::string> command,
                         std::string log)
    : name(std::move(name)), ip(std::move(ip)), command(std::move(command)), log(std::move(log)) {}

SoakProcess::~SoakProcess() { this->Kill(); }

bool SoakProcess::Start() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Reap();
  if (this->pid > 0) return false;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0640);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // An inherited socket of a target would stay open when the target closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> arguments;
  for (std::string& word : this->command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const int error = posix_spawn(&this->pid, this->command.front().c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) this->pid = -1;
  this->last_disturbance = SteadyNow();
  return error == 0;
}

void SoakProcess::Signal(int signal) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Reap();
  if (this->pid <= 0) return;
  this->last_disturbance = SteadyNow();
  if (signal == SIGKILL || signal == SIGSTOP || signal == SIGCONT) {
    this->killed.push_back(this->last_disturbance);
  }
  kill(this->pid, signal);
}

bool SoakProcess::AwaitEnd(Duration limit) {
  const Time end = SteadyNow() + limit;
  while (true) {
    // Read first: the process may end in time while this thread is suspended between the calls.
    const Time now = SteadyNow();
    if (!this->Running()) return true;
    if (now >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
}

void SoakProcess::Kill() {
  this->Signal(SIGKILL);
  this->AwaitEnd(Seconds(10));
}

void SoakProcess::SetDiskFull(bool full) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Reap();
  if (this->pid <= 0) return;
  this->last_disturbance = SteadyNow();
  const rlimit limit{.rlim_cur = full ? 0 : RLIM_INFINITY, .rlim_max = RLIM_INFINITY};
  prlimit(this->pid, RLIMIT_FSIZE, &limit, nullptr);
}

bool SoakProcess::Running() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Reap();
  return this->pid > 0;
}

SoakProcessState SoakProcess::State() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  SoakProcessState out;
  if (this->pid <= 0) return out;
  const std::string folder = "/proc/" + std::to_string(this->pid);
  std::ifstream times(folder + "/schedstat");
  int64_t cpu_ns = 0;
  int64_t queued_ns = 0;
  if (times >> cpu_ns >> queued_ns) {
    out.cpu = std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(cpu_ns));
    out.queued = std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(queued_ns));
  }
  std::ifstream status(folder + "/status");
  for (std::string word; status >> word;) {
    if (word != "State:") continue;
    status >> out.state;
    break;
  }
  return out;
}

std::string SoakProcess::LastSigns() const {
  constexpr std::string_view kSigns[] = {R"("event":"start")", R"("event":"stop")",
                                         R"("event":"answer_running")", R"("event":"loop_paused")",
                                         "daemon:"};
  std::deque<std::string> lines;
  std::ifstream file(this->log);
  for (std::string line; std::getline(file, line);) {
    const bool sign = std::any_of(std::begin(kSigns), std::end(kSigns), [&](std::string_view text) {
      return line.find(text) != std::string::npos;
    });
    if (!sign) continue;
    lines.push_back(line);
    if (lines.size() > kLastSigns) lines.pop_front();
  }
  std::string out;
  for (const std::string& line : lines) out += "\n  " + line;
  return out;
}

void SoakProcess::Reap() {
  if (this->pid <= 0 || waitpid(this->pid, nullptr, WNOHANG) != this->pid) return;
  this->pid = -1;
  this->last_disturbance = SteadyNow();
}

Time SoakProcess::LastDisturbance() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->last_disturbance;
}

bool SoakProcess::WasKilled(Time from, Time to) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return std::any_of(this->killed.begin(), this->killed.end(),
                     [&](Time at) { return at >= from && at <= to; });
}

}  // namespace peridotgauge
