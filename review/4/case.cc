// A backend turns slow and drains while requests wait in a router for one of its connections.
// Counts the requests that reach the backend later than the pages allow.
#include <memory>

#include "../common/harness.h"

namespace {

using review::Backend;

constexpr int kBackends = 2;
constexpr int kConnections = 6;        // `maxConns`; each of two routers uses 2 of them
constexpr int64_t kTimeoutMs = 5'000;  // deadline of `font-archive`
constexpr int64_t kWorkMs = 300;       // within the work of `font-archive` (mean 220, most 1,300)
constexpr int64_t kSlowFactor = 12;    // `srv_slow`, x = 12
constexpr double kDrainS = 3;          // `drainMs`
constexpr double kServesAfterS = 4;    // how long the backend serves after the acknowledgement
constexpr int kBurst = 8;              // requests at the same moment at one router

}  // namespace

int main(int, char** argv) {
  review::Record record("record.txt");
  review::Deployment deployment(record, argv[1], {});
  if (!deployment.Start()) return review::kCannotRun;
  std::atomic<bool> slow{false};
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<review::Registrar>> registrars;
  for (int i = 1; i <= kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(
        record,
        review::BackendOptions{.id = "i-" + std::to_string(i),
                               .service = "archive",
                               .address = deployment.NewAddress(),
                               .slots = 4},
        [i, &slow](const review::Request&) {
          return review::Work{.millis = i == 1 && slow ? kSlowFactor * kWorkMs : kWorkMs};
        }));
    registrars.push_back(std::make_unique<review::Registrar>(
        record, *backends.back(), deployment.ControllerAddresses(), 1'200));
  }
  const std::string config = review::ConfigJson(
      1, {review::RouteJson("archive", "/font/", "unsafe", kTimeoutMs, 2, "archive")},
      {{"archive", kConnections}});
  if (!deployment.Apply(config) || !deployment.AwaitReady()) return review::kCannotRun;
  review::SleepMillis(8'000);

  std::atomic<int> answered{0};
  const auto send = [&](const std::string& id) {
    record.Line("request " + id + " is sent to router-1");
    const review::Reply reply =
        review::Call(deployment.RouterAddress(1), "POST", "/font/" + id,
                     review::ClientHeaders(id, kTimeoutMs), "{}", kTimeoutMs);
    record.Line("request " + id + " gets " +
                (reply.status != 0 ? std::to_string(reply.status) : reply.failure));
    if (reply.status == 200) ++answered;
  };
  // Lets the router measure both backends.
  for (int i = 0; i < 6; ++i) send("first-" + std::to_string(i));
  review::SleepMillis(4'000);

  slow = review::Trouble();
  std::vector<std::thread> clients;
  clients.reserve(kBurst);
  for (int i = 0; i < kBurst; ++i) {
    clients.emplace_back([&send, i] { send("burst-" + std::to_string(i)); });
  }
  review::SleepMillis(100);
  const double acknowledged = registrars[0]->Drain();
  review::SleepUntil(acknowledged + kServesAfterS);
  backends[0]->Crash();
  registrars[0]->Silence();
  for (std::thread& client : clients) client.join();

  int late = 0;
  for (const review::Arrival& arrival : backends[0]->Arrivals()) {
    if (arrival.at <= acknowledged + kDrainS) continue;
    ++late;
    record.Line("DRAIN: request " + arrival.request_id + " reached i-1 " +
                std::to_string(arrival.at - acknowledged) + " s after its drain was acknowledged");
  }
  record.Line("answered " + std::to_string(answered) + ", too late at i-1 " + std::to_string(late));
  if (answered == 0) return review::kCannotRun;
  return late > 0 ? review::kRuleBroken : review::kRuleHeld;
}
