// A backend that is full refuses requests, and sends some of these refusals a second time, late.
// Counts the requests that are not idempotent and run more than once, or run and are refused.
#include <memory>

#include "../common/harness.h"

namespace {

using review::Backend;
using review::Now;

constexpr int kRouters = 8;             // as many as the site has
constexpr int kSlots = 4;               // as `quote-archive` has
constexpr int kQueue = 2;               // "queues a few more"
constexpr int kConnections = 9;         // `maxConns`, one for each router
constexpr int64_t kTimeoutMs = 2'000;   // deadline of `quote-fetch`
constexpr int64_t kWorkMs = 4;          // about that of `stock-peek`
constexpr double kRepeatedShare = 0.2;  // of the refusals, which are a small part of the answers
constexpr double kMostExtra = 0.04;     // of all answers: `garble`, how = "extra late", x = 0.04
constexpr size_t kClients = 8;          // one at each router
constexpr double kLoadS = 40;

}  // namespace

int main(int, char** argv) {
  review::Record record("record.txt");
  review::Deployment deployment(record, argv[1], {.routers = kRouters});
  if (!deployment.Start()) return review::kCannotRun;
  Backend backend(
      record,
      review::BackendOptions{.id = "i-1",
                             .service = "quotes",
                             .address = deployment.NewAddress(),
                             .slots = kSlots,
                             .queue = kQueue,
                             .repeated_refusals = review::Trouble() ? kRepeatedShare : 0},
      [](const review::Request&) { return review::Work{.millis = kWorkMs}; });
  const review::Registrar registrar(record, backend, deployment.ControllerAddresses(), 1'200);
  const std::string config = review::ConfigJson(
      1, {review::RouteJson("quotes", "/quote/", "unsafe", kTimeoutMs, 2, "quotes")},
      {{"quotes", kConnections}});
  if (!deployment.Apply(config) || !deployment.AwaitReady()) return review::kCannotRun;
  review::SleepMillis(5'000);

  const double end = Now() + kLoadS;
  std::mutex mutex;
  std::map<std::string, int> statuses;  // by request id
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (size_t client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const std::string router = deployment.RouterAddress(static_cast<int>(client % kRouters) + 1);
      for (int i = 0; Now() < end; ++i) {
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
        const review::Reply reply =
            review::Call(router, "POST", "/quote/" + id, review::ClientHeaders(id, kTimeoutMs),
                         "{}", kTimeoutMs);
        record.Line("request " + id + " gets " +
                    (reply.status != 0 ? std::to_string(reply.status) : reply.failure));
        const std::lock_guard<std::mutex> lock(mutex);
        statuses[id] = reply.status;
      }
    });
  }
  for (std::thread& client : clients) client.join();
  review::SleepMillis(500);

  std::map<std::string, int> runs;  // by request id
  for (const std::string& id : backend.Ran()) ++runs[id];
  int twice = 0;
  int refused = 0;
  int answered = 0;
  for (const auto& [id, status] : statuses) {
    if (status == 200) ++answered;
    if (runs[id] > 1) {
      ++twice;
      record.Line("TWICE: request " + id + " ran " + std::to_string(runs[id]) +
                  " times; the client got " + std::to_string(status));
    }
    if (runs[id] > 0 && status == 503) {
      ++refused;
      record.Line("REFUSED: request " + id + " ran and was answered 503");
    }
  }
  const int extra = backend.ExtraAnswers();
  const auto answers = static_cast<double>(backend.Arrivals().size());
  record.Line("answered " + std::to_string(answered) + " of " + std::to_string(statuses.size()) +
              ", ran more than once " + std::to_string(twice) + ", ran and were refused " +
              std::to_string(refused) + "; " + std::to_string(extra) +
              " extra answers, a share of " + std::to_string(extra / answers));
  if (answered == 0 || extra > kMostExtra * answers) return review::kCannotRun;
  return twice > 0 || refused > 0 ? review::kRuleBroken : review::kRuleHeld;
}
