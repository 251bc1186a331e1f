// Implements the deployment with targets that crash.
#include "crashing_fleet.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <utility>

#include "io/clock.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

constexpr Duration kHeartbeat = Millis(600);
constexpr Duration kTimeout = Seconds(4);
constexpr Duration kCrashTime = Millis(20);  // from the arrival of a request to the crash
constexpr Duration kWorkTime = Millis(5);
constexpr Duration kSlowWorkTime = Millis(400);  // of paths that end with "slow"
constexpr std::array<const char*, 5> kServices = {"s", "u", "g0", "g1", "g2"};

std::string GatherRouteText() {
  return R"({"name":"g","host":"test.example","pathPrefix":"/g/","kind":"safe","timeoutMs":)" +
         std::to_string(WholeMillis(kTimeout)) +
         R"(,"targetLatencyMs":500,"priority":1,"gather":["g0","g1","g2"],"maxAttempts":2,)" +
         R"("topK":3,"minVersion":0.6})";
}

bool CrashesOn(const std::string& path, const std::string& service) {
  const size_t at = path.find("crash");
  if (at == std::string::npos) return false;
  const std::string rest = path.substr(at + 5);
  return rest.empty() || rest == "-" + service;
}

}  // namespace

CrashingFleet::CrashingFleet(CrashingFleetOptions options)
    : options(options),
      deployment({.controllers = options.controllers,
                  .routers = options.routers,
                  .grace = Seconds(1),
                  .heartbeat = kHeartbeat,
                  .extra_ratio = 1,
                  .extra_slack = 100}) {
  REQUIRE(this->deployment.Apply(
      ConfigText(1,
                 {RouteText("s", "/s/", "safe", WholeMillis(kTimeout), "s"),
                  RouteText("u", "/u/", "unsafe", WholeMillis(kTimeout), "u"), GatherRouteText()},
                 {kServices.begin(), kServices.end()})));
  int number = 0;
  for (const char* service : kServices) {
    for (size_t i = 0; i < options.targets; ++i) {
      this->targets.push_back(
          std::make_unique<Target>(Target{.service = service,
                                          .address = this->deployment.NewAddress(),
                                          .number = number++,
                                          .server = nullptr}));
    }
  }
  this->loop.Run([this] {
    for (const auto& target : this->targets) this->Listen(*target);
  });
  this->heartbeats = std::thread([this] {
    while (!this->stopping) {
      this->SendHeartbeats();
      std::this_thread::sleep_for(kHeartbeat / 3);
    }
  });
  REQUIRE(this->deployment.AwaitRoute("/s/ready"));
  REQUIRE(this->deployment.AwaitRoute("/u/ready"));
  REQUIRE(this->deployment.AwaitRoute("/g/ready"));
}

CrashingFleet::~CrashingFleet() {
  this->StopHarmless(Time::max());
  this->stopping = true;
  this->heartbeats.join();
  if (this->commit_watch.joinable()) this->commit_watch.join();
  this->loop.Run([this] { this->targets.clear(); });
}

void CrashingFleet::Listen(Target& target) {
  auto listening = HttpServer::Listen(
      this->loop.io, target.address,
      [this, &target](const HttpRequest& request, const HttpResponder& responder) {
        this->Handle(target, request, responder);
      });
  if (!listening) return;
  target.server = std::move(*listening);
  ++target.start;
  target.sequence = 0;
  target.running = true;
}

void CrashingFleet::Crash(Target& target) {
  if (!std::exchange(target.running, false)) return;
  target.server->Close();
  // The server is destroyed later, as this may run inside one of its callbacks.
  asio::post(this->loop.io, [server = std::shared_ptr<HttpServer>(std::move(target.server))] {});
  auto timer = std::make_shared<asio::steady_timer>(this->loop.io, this->options.restart_delay);
  timer->async_wait([this, timer, &target](boost::system::error_code error) {
    if (!error && !this->stopping) this->Listen(target);
  });
}

void CrashingFleet::Handle(Target& target, const HttpRequest& request,
                           const HttpResponder& responder) {
  const std::string id(request.Header("Peridotgauge-Request-Id"));
  const bool crash = CrashesOn(request.path, target.service);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->arrivals.push_back({request.path, SteadyNow(), crash});
  }
  const bool slow = request.path.ends_with("slow");
  auto timer = std::make_shared<asio::steady_timer>(
      this->loop.io, crash ? kCrashTime : (slow ? kSlowWorkTime : kWorkTime));
  timer->async_wait([this, timer, &target, crash, responder, id](boost::system::error_code error) {
    if (error || this->stopping) return;
    if (crash) return this->Crash(target);
    responder.Send(
        {.status = 200,
         .headers = {{"Peridotgauge-Request-Id", id}, {"Peridotgauge-Server-Stamp", "stamp-" + id}},
         .body = "ok"});
  });
}

void CrashingFleet::SendHeartbeats() {
  std::vector<std::pair<std::string, std::string>> messages;
  this->loop.Run([&] {
    for (const auto& target : this->targets) {
      if (!target->running) continue;
      messages.emplace_back(
          "i-" + std::to_string(target->number) + "-" + std::to_string(target->start),
          HeartbeatText(target->service, target->address, "ready", ++target->sequence,
                        1'000 * target->start));
    }
  });
  for (const auto& [id, text] : messages) {
    for (size_t i = 0; i < this->options.controllers; ++i) {
      const auto answer =
          Call(this->deployment.ControllerAddress(i),
               {.method = "PUT", .path = "/instances/" + id, .body = text}, Millis(500));
      if (answer && answer->status == 200) break;
    }
  }
}

void CrashingFleet::Resend(const std::string& method, const std::string& path, Duration length,
                           const std::function<void(int)>& disturb) {
  const Time end = SteadyNow() + length;
  for (int sent = 0; SteadyNow() < end; ++sent) {
    const size_t router = this->random() % this->options.routers;
    const auto answer = Call(
        this->deployment.RouterAddress(router),
        CallerRequest("resend-" + std::to_string(++this->next_request), method, path, kTimeout),
        2 * kTimeout);
    if (answer) this->statuses.push_back(answer->status);
    if (disturb) disturb(sent);
    std::this_thread::sleep_for(Millis(static_cast<int64_t>(200 + this->random() % 300)));
  }
}

void CrashingFleet::SendAndLeave(size_t router, const std::string& method, const std::string& path,
                                 int count) {
  for (int i = 0; i < count; ++i) {
    Call(this->deployment.RouterAddress(router),
         CallerRequest("impatient-" + std::to_string(++this->next_request), method, path, kTimeout),
         kCrashTime / 2);
    std::this_thread::sleep_for(Millis(150));
  }
}

std::optional<HttpResponse> CrashingFleet::Send(size_t router, const std::string& method,
                                                const std::string& path) {
  return Call(
      this->deployment.RouterAddress(router),
      CallerRequest("single-" + std::to_string(++this->next_request), method, path, kTimeout),
      2 * kTimeout);
}

void CrashingFleet::StartHarmless() {
  for (size_t i = 0; i < this->options.routers; ++i) {
    this->harmless.emplace_back([this, i] {
      const Address router = this->deployment.RouterAddress(i);
      static const std::array<std::pair<std::string, std::string>, 4> kRequests = {
          {{"GET", "/s/a"}, {"GET", "/s/b"}, {"POST", "/u/a"}, {"GET", "/g/a"}}};
      for (size_t n = 0; !this->harmless_stopping; ++n) {
        const auto& [method, path] = kRequests[n % kRequests.size()];
        const Time sent = SteadyNow();
        const std::string id = "harmless-" + std::to_string(i) + "-" + std::to_string(n);
        const auto answer = Call(router, CallerRequest(id, method, path, kTimeout), 2 * kTimeout);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->harmless_ends.push_back({sent, path, answer ? answer->status : 0});
      }
    });
  }
}

std::vector<HarmlessEnd> CrashingFleet::StopHarmless(Time since) {
  this->harmless_stopping = true;
  for (std::thread& thread : this->harmless) thread.join();
  this->harmless.clear();
  this->harmless_stopping = false;
  std::vector<HarmlessEnd> failed;
  std::copy_if(this->harmless_ends.begin(), this->harmless_ends.end(), std::back_inserter(failed),
               [&](const HarmlessEnd& end) { return end.sent > since && end.status != 200; });
  return failed;
}

void CrashingFleet::WatchCommits() {
  this->commit_watch = std::thread([this] {
    // A data centre without targets is evacuated and opened again: each is one command.
    for (size_t i = 0; !this->stopping; ++i) {
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->commits.push_back({.begun = SteadyNow()});
      }
      const auto answer =
          this->deployment.SetEvacuation(0, i % 2 == 0 ? "POST" : "DELETE", "z-empty");
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->commits.back().ended = SteadyNow();
        this->commits.back().committed = answer && answer->status == 200;
      }
      std::this_thread::sleep_for(kCommitInterval);
    }
  });
}

bool CrashingFleet::CommitsWerePrompt(Time since) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Time now = SteadyNow();
  return std::all_of(this->commits.begin(), this->commits.end(), [&](const Commit& commit) {
    if (commit.ended < since) return true;
    const bool running = commit.ended == Time::max();
    return (running || commit.committed) &&
           std::min(commit.ended, now) - commit.begun <= kPromptCommit;
  });
}

double CrashingFleet::Metric(size_t router, const std::string& sample) {
  const auto answer = Call(this->deployment.MetricsAddress(router),
                           {.method = "GET", .path = "/metrics"}, kTimeout);
  REQUIRE(answer);
  std::istringstream lines(answer->body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(sample + " ")) return std::stod(line.substr(sample.size() + 1));
  }
  return 0;
}

void CrashingFleet::KillAll() {
  for (size_t i = 0; i < this->options.controllers; ++i) this->deployment.KillController(i);
  for (size_t i = 0; i < this->options.routers; ++i) this->deployment.KillRouter(i);
  for (size_t i = 0; i < this->options.controllers; ++i) this->deployment.StartController(i);
  for (size_t i = 0; i < this->options.routers; ++i) {
    REQUIRE(this->deployment.RestartRouter(i, "/s/ready"));
  }
}

std::vector<CrashingFleet::Arrival> CrashingFleet::ArrivalsOf(const std::string& path) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<Arrival> found;
  std::copy_if(this->arrivals.begin(), this->arrivals.end(), std::back_inserter(found),
               [&](const Arrival& arrival) { return arrival.path == path; });
  return found;
}

size_t CrashingFleet::Crashes(const std::string& path) {
  const auto found = this->ArrivalsOf(path);
  return static_cast<size_t>(
      std::count_if(found.begin(), found.end(), [](const Arrival& a) { return a.crash; }));
}

std::vector<CrashingFleet::Arrival> CrashingFleet::LateArrivalsOf(const std::string& path) {
  std::vector<Arrival> late;
  std::optional<Time> from;
  int crashes = 0;
  for (const Arrival& arrival : this->ArrivalsOf(path)) {
    if (from && arrival.at > *from) late.push_back(arrival);
    if (arrival.crash && ++crashes == 3) from = arrival.at + kCrashTime + kContactTime;
  }
  return late;
}

size_t CrashingFleet::LateSends(const std::string& path) {
  return this->LateArrivalsOf(path).size();
}

size_t CrashingFleet::LateCrashes(const std::string& path) {
  const auto late = this->LateArrivalsOf(path);
  return static_cast<size_t>(
      std::count_if(late.begin(), late.end(), [](const Arrival& a) { return a.crash; }));
}

void CrashingFleet::CrashTargets(const std::string& service, size_t count) {
  this->loop.Run([&] {
    for (const auto& target : this->targets) {
      if (count == 0) return;
      if (target->service != service || !target->running) continue;
      this->Crash(*target);
      --count;
    }
  });
}

void CrashingFleet::ResetConnections() {
  this->loop.Run([this] {
    for (const auto& target : this->targets) {
      if (!target->running) continue;
      target->server->Close();
      asio::post(this->loop.io,
                 [server = std::shared_ptr<HttpServer>(std::move(target->server))] {});
      target->running = false;
      this->Listen(*target);
      --target->start;
    }
  });
}

}  // namespace peridotgauge
