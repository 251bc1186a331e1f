// A backend leaves with DELETE, which is acknowledged. Then the leading controller is restarted,
// and a heartbeat that the backend had sent before it left arrives late. Counts the requests that
// reach the backend later than the pages allow.
#include <algorithm>
#include <csignal>
#include <memory>

#include "../common/harness.h"

namespace {

using review::Backend;
using review::Now;

constexpr int kBackends = 3;
constexpr int64_t kTimeoutMs = 2'000;
constexpr int64_t kWorkMs = 90;         // mean work of `quote-fetch`
constexpr double kDrainS = 3;           // `drainMs`
constexpr double kContactS = 4;         // `contactMs`
constexpr double kHeldUpS = 6;          // how late the heartbeat arrives
constexpr double kServesAfterS = 9;     // how long the backend serves after the acknowledgement
constexpr size_t kClients = 8;          // half of them at each router
constexpr double kSendIntervalS = 0.1;  // of one client

}  // namespace

int main(int, char** argv) {
  review::Record record("record.txt");
  review::Deployment deployment(record, argv[1], {});
  if (!deployment.Start()) return review::kCannotRun;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<review::Registrar>> registrars;
  for (int i = 1; i <= kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(
        record,
        review::BackendOptions{.id = "i-" + std::to_string(i),
                               .service = "quotes",
                               .address = deployment.NewAddress()},
        [](const review::Request&) { return review::Work{.millis = kWorkMs}; }));
    registrars.push_back(std::make_unique<review::Registrar>(
        record, *backends.back(), deployment.ControllerAddresses(), 1'200));
  }
  const std::string config = review::ConfigJson(
      1, {review::RouteJson("quotes", "/quote/", "unsafe", kTimeoutMs, 2, "quotes")},
      {{"quotes", 44}});
  if (!deployment.Apply(config) || !deployment.AwaitReady()) return review::kCannotRun;
  review::SleepMillis(8'000);

  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::mutex mutex;
  std::map<std::string, double> sent;  // by request id
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (size_t client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const int router = static_cast<int>(client % 2) + 1;
      for (int i = 0; !stop; ++i) {
        const double next = Now() + kSendIntervalS;
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent[id] = Now();
        }
        const review::Reply reply =
            review::Call(deployment.RouterAddress(router), "POST", "/quote/" + id,
                         review::ClientHeaders(id, kTimeoutMs), "{}", kTimeoutMs);
        record.Line("request " + id + " gets " +
                    (reply.status != 0 ? std::to_string(reply.status) : reply.failure));
        if (reply.status == 200) ++answered;
        review::SleepUntil(next);
      }
    });
  }
  review::SleepMillis(1'000);

  Backend& leaving = *backends[0];
  const std::string held_up = registrars[0]->TakeHeartbeat();
  const double taken = Now();
  const double acknowledged = registrars[0]->Leave();
  double stable_from = acknowledged;
  if (review::Trouble()) {
    review::SleepUntil(acknowledged + 0.3);
    const std::string leader = deployment.Leader();
    if (leader.empty()) return review::kCannotRun;
    deployment.Signal(leader, SIGTERM);
    deployment.Wait(leader);
    deployment.Launch(leader);
    stable_from = Now() + kContactS;
  }
  review::SleepUntil(taken + kHeldUpS);
  registrars[0]->Deliver(held_up);
  review::SleepUntil(acknowledged + kServesAfterS);
  leaving.Crash();
  review::SleepMillis(1'000);
  stop = true;
  for (std::thread& client : clients) client.join();

  // Only requests that machines in touch have taken and sent on count.
  const double counted_from = std::max(acknowledged + kDrainS, stable_from);
  int late = 0;
  for (const review::Arrival& arrival : leaving.Arrivals()) {
    if (arrival.at <= counted_from || sent.at(arrival.request_id) <= counted_from) continue;
    ++late;
    record.Line("DRAIN: request " + arrival.request_id + " reached i-1 " +
                std::to_string(arrival.at - acknowledged) +
                " s after its departure was acknowledged");
  }
  record.Line("answered " + std::to_string(answered) + ", too late at i-1 " + std::to_string(late));
  if (answered == 0) return review::kCannotRun;
  return late > 0 ? review::kRuleBroken : review::kRuleHeld;
}
