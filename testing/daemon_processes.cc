// Starts and ends the daemons of a test.
#include "testing/daemon_processes.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <utility>

#include "core/settings.h"
#include "io/clock.h"
#include "testing/loopback_network.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

constexpr Duration kPollInterval = Millis(50);

}  // namespace

bool AwaitDeployment(const std::function<bool()>& condition) {
  const Time end = SteadyNow() + kDeploymentTimeout;
  while (!condition()) {
    if (SteadyNow() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// --- LoopThread ---

LoopThread::LoopThread()
    : work(asio::make_work_guard(this->io)), thread([this] {
        this->io.run();
        this->stopped = true;
      }) {}

LoopThread::~LoopThread() {
  this->io.stop();
  this->Join();
}

void LoopThread::Join() {
  if (this->thread.joinable()) this->thread.join();
}

void LoopThread::Run(const std::function<void()>& function) {
  std::promise<void> done;
  asio::post(this->io, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void LoopThread::Post(std::function<void()> function) { asio::post(this->io, std::move(function)); }

// --- DaemonProcesses ---

// Tests that run at the same time, and deployments of one test, do not share addresses.
DaemonProcesses::DaemonProcesses(const std::string& prefix, const ExternalInterface* external)
    : external(external), network(ClaimLoopbackNetwork()) {
  std::string pattern = (std::filesystem::temp_directory_path() / (prefix + "_XXXXXX")).string();
  this->folder = mkdtemp(pattern.data());
}

DaemonProcesses::~DaemonProcesses() {
  while (!this->processes.empty()) this->End(this->processes.begin()->first);
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string DaemonProcesses::IpOf(const std::string& name) const {
  const int number = std::stoi(name.substr(name.find('-') + 1));
  return this->network + std::to_string(1 + number + (name.starts_with("router") ? 20 : 0));
}

std::string DaemonProcesses::NewIp() { return this->network + std::to_string(this->next_host++); }

void DaemonProcesses::Start(const std::string& name, const std::string& settings_text) {
  Process& process = this->processes[name];
  process.loop = std::make_unique<LoopThread>();
  const Result<Settings> settings = Settings::Parse(settings_text, name);
  const std::string invalid = settings ? "" : settings.error().ToString();
  REQUIRE(invalid == "");
  std::string failure;
  process.loop->Run([&] {
    auto daemon = Daemon::Start(process.loop->io, *settings, this->external);
    if (daemon) {
      process.daemon = std::move(*daemon);
    } else {
      failure = daemon.error().ToString();
    }
  });
  INFO(name);
  REQUIRE(failure == "");
}

// Destroys the process after its loop has ended, as its objects may only be used on the loop.
void DaemonProcesses::End(const std::string& name) {
  const auto found = this->processes.find(name);
  if (found == this->processes.end()) return;
  found->second.loop->io.stop();
  found->second.loop->Join();
  found->second.daemon.reset();
  this->processes.erase(found);
}

void DaemonProcesses::Shutdown(const std::string& name) {
  Process& process = this->processes.at(name);
  process.loop->Post([&process] { process.daemon->Shutdown(); });
}

bool DaemonProcesses::Stopped(const std::string& name) const {
  return this->processes.at(name).loop->Stopped();
}

void DaemonProcesses::Freeze(const std::string& name, Duration duration) {
  this->processes.at(name).loop->Post([duration] { std::this_thread::sleep_for(duration); });
}

}  // namespace peridotgauge
