// Starts the processes of a hostile deployment, and reads their memory and descriptors from /proc.
#include "testing/hostile/hostile_deployment.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

#include "io/clock.h"
#include "testing/loopback_network.h"

namespace peridotgauge {

bool Await(const std::function<bool()>& condition) {
  const Time end = SteadyNow() + kAwaitTimeout;
  while (!condition()) {
    if (SteadyNow() >= end) return false;
    std::this_thread::sleep_for(Millis(50));
  }
  return true;
}

HostProcess::HostProcess(const std::string& settings_file, const std::string& log,
                         size_t descriptors)
    : descriptors(descriptors) {
  const char* configured = std::getenv("PERIDOTGAUGED");
  const std::string program = configured != nullptr ? configured : "build/peridotgauged";
  const std::string argument = "--settings=" + settings_file;
  std::cout.flush();  // the child would write the buffered text a second time
  std::fflush(nullptr);
  this->pid = fork();
  if (this->pid != 0) return;
  const rlimit limit{.rlim_cur = descriptors, .rlim_max = descriptors};
  setrlimit(RLIMIT_NOFILE, &limit);
  if (freopen(log.c_str(), "a", stdout) == nullptr) _exit(126);
  dup2(STDOUT_FILENO, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
  _exit(127);
}
HostProcess::~HostProcess() {
  if (this->Running()) kill(this->pid, SIGKILL);
  if (!this->ended) waitpid(this->pid, nullptr, 0);
}

bool HostProcess::Running() {
  if (!this->ended) this->ended = waitpid(this->pid, nullptr, WNOHANG) != 0;
  return !this->ended;
}
size_t HostProcess::PeakMemory() const {
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  std::string word;
  size_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmHWM:") status >> kilobytes;
  }
  return kilobytes << 10;
}
size_t HostProcess::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->pid) + "/fd",
                                                    error);
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

HostileDeployment::HostileDeployment(HostSize router_size, HostSize controller_size)
    : router_size(router_size), controller_size(controller_size) {
  this->network = ClaimLoopbackNetwork();
  std::string pattern = (std::filesystem::temp_directory_path() / "hostile_test_XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  this->controller = this->Start("controller", controller_size);
  this->router = this->Start("router", router_size);
  this->target_loop.Run([this] { this->Listen(); });
  REQUIRE(this->target);
  REQUIRE(Await([this] { return this->Configure(); }));
  REQUIRE(Await([this] { return this->Answers(); }));
}
HostileDeployment::~HostileDeployment() {
  this->target_loop.Run([this] { this->target.reset(); });
  this->router.reset();
  this->controller.reset();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

Address HostileDeployment::At(const std::string& name, int port) const {
  return this->network + (name == "router" ? "21" : "1") + ":" + std::to_string(port);
}
HostProcess& HostileDeployment::Process(const std::string& name) {
  return name == "router" ? *this->router : *this->controller;
}
bool HostileDeployment::Answers() {
  const std::string id = "ordinary-" + std::to_string(++this->requests);
  const auto answer = Call(this->At("router", kHttpPort),
                           CallerRequest(id, "GET", "/s/ordinary", kCallTimeout), kCallTimeout);
  return answer && answer->status == 200;
}
bool HostileDeployment::ControllerAnswers() const {
  const auto answer =
      Call(this->At("controller", kHttpPort), {.method = "GET", .path = "/config"}, kCallTimeout);
  return answer && answer->status == 200;
}
Address HostileDeployment::TargetAddress(size_t number) const {
  return this->network + std::to_string(101 + number) + ":" + std::to_string(kTargetPort);
}
bool HostileDeployment::AddRoute(const std::string& route, const std::string& path,
                                 const std::map<std::string, std::vector<Address>>& services) {
  std::vector<std::string> names{"s"};
  for (const auto& [service, targets] : services) names.push_back(service);
  const std::string text = ConfigText(2, {RouteText("s", "/s/", "safe", 4'000, "s"), route}, names);
  if (!Await([&] { return this->Put("/config", text); })) return false;
  for (const auto& [service, targets] : services) {
    for (size_t i = 0; i < targets.size(); ++i) {
      const Address& target = targets[i];
      if (!this->Put("/instances/i-" + service + "-" + std::to_string(i),
                     HeartbeatText(service, target, "ready", 1))) {
        return false;
      }
    }
  }
  return Await([&] {
    const std::string id = "ready-" + std::to_string(++this->requests);
    const auto answer = Call(this->At("router", kHttpPort),
                             CallerRequest(id, "GET", path, Millis(500)), Seconds(1));
    return !answer || (answer->status != 404 && answer->status != 503);
  });
}
void HostileDeployment::Check(const std::string& attacked) {
  for (const std::string name : {"controller", "router"}) {
    CAPTURE(name);
    HostProcess& process = this->Process(name);
    REQUIRE(process.Running());
    if (name == attacked) {
      std::cout << "  " << name << ": " << (process.PeakMemory() >> 10) << " KiB at most, "
                << process.OpenDescriptors() << " descriptors\n";
    }
    const HostSize& size = name == "router" ? this->router_size : this->controller_size;
    CHECK(process.PeakMemory() <= size.memory_mb << 20);
    CHECK(process.OpenDescriptors() <= process.descriptors - process.descriptors / 8);
  }
  CHECK(Await([this] { return this->Answers(); }));
  CHECK(Await([this] { return this->ControllerAnswers(); }));
}

std::unique_ptr<HostProcess> HostileDeployment::Start(const std::string& name,
                                                      const HostSize& size) const {
  const auto at = [&](int port) { return "\"" + this->At(name, port) + "\""; };
  const std::string ip = this->At(name, 0).substr(0, this->At(name, 0).size() - 2);
  const std::string seed = this->At("controller", kHttpPort);
  const std::string file = this->folder + "/" + name + ".json";
  std::ofstream(file) << R"({"id":")" << ip
                      << R"(","data_centre":"z-a","interface":"routes","roles":[")" << name
                      << R"("],"http_address":)" << at(kHttpPort) << R"(,"metrics_address":)"
                      << at(kMetricsPort) << R"(,"peer_address":)" << at(kPeerPort)
                      << (name == "controller"
                              ? R"(,"directory_address":)" + at(kDirectoryPort) +
                                    R"(,"data_folder":")" + this->folder + R"(/data")"
                              : R"(,"health_address":)" + at(kHealthPort))
                      << R"(,"heartbeat_ms":60000,"memory_mb":)" << size.memory_mb
                      << R"(,"extra_slack":10,"seeds":[")" << seed << R"("]})";
  return std::make_unique<HostProcess>(file, this->folder + "/" + name + ".log", size.descriptors);
}
void HostileDeployment::Listen() {
  HttpServerLimits limits;
  limits.max_header_bytes = 256 << 10;
  auto listening = HttpServer::Listen(
      this->target_loop.io, this->network + "100:" + std::to_string(kTargetPort),
      [this](const HttpRequest& request, const HttpResponder& responder) {
        HttpResponse response{.status = 200, .headers = {}, .body = "ok"};
        response.headers.push_back(
            {"Peridotgauge-Request-Id", std::string(request.Header("Peridotgauge-Request-Id"))});
        response.headers.push_back({"Peridotgauge-Server-Stamp", "stamp"});
        if (request.path.ends_with("/large")) response.body.resize(kLargeAnswerBytes, '.');
        auto timer = std::make_shared<boost::asio::steady_timer>(this->target_loop.io, Millis(100));
        timer->async_wait([timer, responder, response](boost::system::error_code error) {
          if (!error) responder.Send(response);
        });
      },
      limits);
  if (listening) this->target = std::move(*listening);
}
bool HostileDeployment::Put(const std::string& path, const std::string& body) const {
  const auto answer = Call(this->At("controller", kHttpPort),
                           {.method = "PUT", .path = path, .body = body}, kCallTimeout);
  return answer && answer->status == 200;
}
bool HostileDeployment::Configure() const {
  return this->Put("/config", ConfigText(1, {RouteText("s", "/s/", "safe", 4'000, "s")}, {"s"})) &&
         this->Put(
             "/instances/i-1",
             HeartbeatText("s", this->network + "100:" + std::to_string(kTargetPort), "ready", 1));
}

}  // namespace peridotgauge
