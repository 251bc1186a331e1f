// A router is stopped with SIGTERM. Clients that hold a router list from just before go on sending
// it requests. Counts the requests that the router passed on to a backend and then ended without an
// answer.
#include <csignal>
#include <memory>

#include "../common/harness.h"

namespace {

using review::Backend;
using review::Now;

constexpr int kBackends = 3;
constexpr int kGraceS = 6;
constexpr int64_t kWorkMs = 1'300;     // the longest work of `font-archive`
constexpr int64_t kTimeoutMs = 5'000;  // its deadline
// Requests sent up to 3 s after the SIGTERM may be cut in the last sixth of the grace period.
constexpr double kFirstSendS = 3.1;
constexpr double kLastSendS = 4.5;
constexpr double kSendIntervalS = 0.05;

struct Sent {
  std::string id;
  double at = 0;
  review::Reply reply;
};

bool Reached(const std::vector<std::unique_ptr<Backend>>& backends, const std::string& id) {
  for (const auto& backend : backends) {
    for (const review::Arrival& arrival : backend->Arrivals()) {
      if (arrival.request_id == id) return true;
    }
  }
  return false;
}

}  // namespace

int main(int, char** argv) {
  review::Record record("record.txt");
  review::Deployment deployment(record, argv[1], {.grace_s = kGraceS});
  if (!deployment.Start()) return review::kCannotRun;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<review::Registrar>> registrars;
  for (int i = 1; i <= kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(
        record,
        review::BackendOptions{.id = "i-" + std::to_string(i),
                               .service = "archive",
                               .address = deployment.NewAddress(),
                               .slots = 16},
        [](const review::Request&) { return review::Work{.millis = kWorkMs}; }));
    registrars.push_back(std::make_unique<review::Registrar>(
        record, *backends.back(), deployment.ControllerAddresses(), 1'200));
  }
  const std::string config = review::ConfigJson(
      1, {review::RouteJson("archive", "/font/", "safe", kTimeoutMs, 2, "archive")},
      {{"archive", 110}});
  if (!deployment.Apply(config) || !deployment.AwaitReady()) return review::kCannotRun;
  review::SleepMillis(8'000);

  const std::string router = deployment.RouterAddress(1);
  const double start = Now();
  if (review::Trouble()) deployment.Signal("router-1", SIGTERM);
  std::vector<Sent> sent(static_cast<size_t>((kLastSendS - kFirstSendS) / kSendIntervalS) + 1);
  std::vector<std::thread> clients;
  clients.reserve(sent.size());
  for (size_t i = 0; i < sent.size(); ++i) {
    review::SleepUntil(start + kFirstSendS + static_cast<double>(i) * kSendIntervalS);
    Sent& one = sent[i];
    one.id = "late-" + std::to_string(i);
    one.at = Now() - start;
    record.Line("request " + one.id + " is sent to router-1");
    clients.emplace_back([&record, &one, router] {
      one.reply = review::Call(router, "GET", "/font/" + one.id,
                               review::ClientHeaders(one.id, kTimeoutMs), "", kTimeoutMs);
      record.Line("request " + one.id + " gets " +
                  (one.reply.status != 0 ? std::to_string(one.reply.status) : one.reply.failure));
    });
  }
  for (std::thread& client : clients) client.join();

  int answered = 0;
  int lost = 0;
  for (const Sent& one : sent) {
    if (one.reply.status != 0) ++answered;
    if (one.reply.failure != "closed" || !Reached(backends, one.id)) continue;
    ++lost;
    record.Line("LOST: request " + one.id + ", sent " + std::to_string(one.at) +
                " s after the SIGTERM, was passed on and ended without an answer");
  }
  record.Line("answered " + std::to_string(answered) + " of " + std::to_string(sent.size()) +
              ", passed on and cut " + std::to_string(lost));
  if (answered == 0) return review::kCannotRun;
  return lost > 0 ? review::kRuleBroken : review::kRuleHeld;
}
