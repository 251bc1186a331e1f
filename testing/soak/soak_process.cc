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
#include <thread>
#include <utility>

#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr Duration kPollInterval = Millis(5);

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
  while (this->Running()) {
    if (SteadyNow() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
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
