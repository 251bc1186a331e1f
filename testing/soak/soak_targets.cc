#include "testing/soak/soak_targets.h"

#include <glog/logging.h>

#include <algorithm>
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
                         SoakRecord& record, SoakLimits& limits)
    : record(record), limits(limits), random(seed), work(asio::make_work_guard(this->io)) {
  for (const char* service : {"s", "u", "c"}) {
    for (int i = 0; i < count; ++i) {
      const int host = (*service == 's' ? 100 : *service == 'u' ? 120 : 140) + i;
      this->targets.push_back(std::make_unique<Target>(
          Target{.name = std::string(service) + "-" + std::to_string(i),
                 .service = service,
                 .address = network + std::to_string(host) + ":" + std::to_string(port),
                 .data_centre = std::string("z-") + static_cast<char>('a' + i),
                 .server = nullptr,
                 .limited_from = {},
                 .cold_arrivals = {}}));
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
    running.push_back({.id = IdOf(*target),
                       .service = target->service,
                       .address = target->address,
                       .data_centre = target->data_centre,
                       .born = kBornStep * target->start,
                       .warmup_left = std::max(target->cold_until - SteadyNow(), Duration(0))});
  }
  return running;
}

void SoakTargets::OnRegistered(const Registration& registration) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& target : this->targets) {
    if (IdOf(*target) != registration.id || registration.warmup_left == Duration(0)) continue;
    if (!target->limited_from) target->limited_from = SteadyNow() + kSoakColdKnown;
  }
}

SoakTargets::Target& SoakTargets::ColdTarget(size_t number) {
  for (const auto& target : this->targets) {
    if (target->name == "c-" + std::to_string(number)) return *target;
  }
  LOG(FATAL) << "no target c-" << number;
}

void SoakTargets::Cool(size_t number) {
  Target& target = this->ColdTarget(number);
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!target.server || target.cold_until > SteadyNow()) return;
  target.cold_until = SteadyNow() + kSoakColdTime;
  target.limited_from.reset();
  target.cold_arrivals.Clear();
}

void SoakTargets::Restart(size_t number) {
  asio::post(this->io, [this, number] { this->Crash(this->ColdTarget(number)); });
}

// The limit is that of the requirements: rate * 1.5 + 5 in any second.
void SoakTargets::CheckCold(Target& target, const std::string& id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Time now = SteadyNow();
  if (!target.limited_from || now < *target.limited_from || now >= target.cold_until) return;
  this->record.Count("arrivals at cold targets");
  const size_t count = target.cold_arrivals.Add(now, Seconds(1));
  if (static_cast<double>(count) <= kSoakWarmupPerS * 1.5 + 5) return;
  this->record.Violation("cold", IdOf(target) + " got " + std::to_string(count) +
                                     " requests in a second, last " + id + ", cold for " +
                                     std::to_string(WholeMillis(target.cold_until - now)) +
                                     " ms more");
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
  if (target.service != "c") return;
  // Routers learn of this start and that it is cold at once.
  target.cold_until = SteadyNow() + kSoakColdTime;
  target.limited_from = SteadyNow();
  target.cold_arrivals.Clear();
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
  // Routers that have not learned of this start yet still send to the start before.
  const std::string expected(request.Header("Peridotgauge-Expect-Instance"));
  if (!expected.empty() && expected != IdOf(target)) {
    this->record.Count("requests for an earlier start");
    this->limits.Reached(SteadyNow(), id, target.data_centre);
    response.status = 421;
    response.headers.push_back({"Peridotgauge-Not-Executed", "1"});
    return responder.Send(response);
  }
  if (!id.empty()) {
    this->record.Arrived(id);
    this->limits.Reached(SteadyNow(), id, target.data_centre);
    this->limits.Run(SteadyNow(), request);
    if (target.service == "c") this->CheckCold(target, id);
  }
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
