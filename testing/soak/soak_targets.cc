#include "testing/soak/soak_targets.h"

#include <glog/logging.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "io/clock.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;

// Registrations of later starts have a later time of birth.
constexpr uint64_t kBornStep = 1'000;

}  // namespace

SoakTargets::SoakTargets(const std::string& network, int port, int count, uint64_t seed,
                         SoakRecord& record)
    : record(record), random(seed), work(asio::make_work_guard(this->io)) {
  for (const char* service : {"s", "u"}) {
    for (int i = 0; i < count; ++i) {
      const int host = (*service == 's' ? 100 : 120) + i;
      this->targets.push_back(std::make_unique<Target>(
          Target{.name = std::string(service) + "-" + std::to_string(i),
                 .service = service,
                 .address = network + std::to_string(host) + ":" + std::to_string(port),
                 .server = nullptr}));
      this->Listen(*this->targets.back());
      CHECK(this->targets.back()->server) << this->targets.back()->address;
    }
  }
  this->thread = std::thread([this] { this->io.run(); });
}

SoakTargets::~SoakTargets() {
  this->io.stop();
  this->thread.join();
  // Servers close connections and timers of the event loop, which is destroyed before `targets`.
  this->targets.clear();
  this->ended.clear();
}

std::vector<SoakTargets::Registration> SoakTargets::Running() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<Registration> running;
  for (const auto& target : this->targets) {
    if (!target->server) continue;
    running.push_back({.id = target->name + "-" + std::to_string(target->start),
                       .service = target->service,
                       .address = target->address,
                       .born = kBornStep * target->start});
  }
  return running;
}

void SoakTargets::Listen(Target& target) {
  auto server = HttpServer::Listen(
      this->io, target.address,
      [this, &target](const HttpRequest& request, const HttpResponder& responder) {
        this->Handle(target, request, responder);
      });
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!server) return;
  target.server = std::move(*server);
  ++target.start;
}

void SoakTargets::Crash(Target& target) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!target.server) return;
    target.server->Close();
    // Destroyed at the end, as this may run inside one of its callbacks.
    this->ended.push_back(std::move(target.server));
  }
  this->record.Count("crashes of targets");
  auto timer = std::make_shared<asio::steady_timer>(this->io, kSoakRestartDelay);
  timer->async_wait([this, timer, &target](boost::system::error_code error) {
    if (!error) this->Listen(target);
  });
}

void SoakTargets::Handle(Target& target, const HttpRequest& request,
                         const HttpResponder& responder) {
  const std::string id(request.Header("Peridotgauge-Request-Id"));
  HttpResponse response{
      .status = 200,
      .headers = {{"Peridotgauge-Request-Id", id}, {"Peridotgauge-Server-Stamp", "stamp-" + id}},
      .body = std::string(200, 'x')};
  if (!id.empty()) this->record.Arrived(id);
  const bool crash = request.path.find("crash") != std::string::npos;
  if (crash) this->record.CrashArrived(request.path, SteadyNow());
  const auto draw = std::uniform_int_distribution<int>(0, 999)(this->random);
  if (!id.empty() && draw < 20 && !request.path.starts_with("/u/")) response.status = 500;
  Duration time = id.empty() ? Duration(0) : Millis(draw < 50 ? 300 : 2 + draw % 40);
  if (crash) time = kSoakCrashTime;
  auto timer = std::make_shared<asio::steady_timer>(this->io, time);
  timer->async_wait(
      [this, timer, &target, crash, responder, response](boost::system::error_code error) {
        if (error) return;
        crash ? this->Crash(target) : responder.Send(response);
      });
}

}  // namespace peridotgauge
