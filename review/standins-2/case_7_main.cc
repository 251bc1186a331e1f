// Case 7: nine controllers, of which two may lose their disks at once. Five are frozen for some
// seconds. A change is acknowledged meanwhile, and two of the four others lose their disks. Reads
// the acknowledged desired state after all are back.
//
// Usage: case_7_main FOLDER    (in the root of the repository; TROUBLE=0 leaves out the disruption)
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "review/standins-2/deployment.h"
#include "review/standins-2/record.h"

namespace peridotgauge::review {
namespace {

enum ExitStatus { kHeld = 0, kBroken = 1, kCannotRun = 2 };

constexpr int kControllers = 9;
constexpr size_t kVoters = 5;
constexpr int64_t kAckMs = 6'000;
constexpr int64_t kFreezeMs = 6'000;
constexpr int64_t kChangeAtMs = 4'300;   // after the freeze
constexpr int64_t kDownMs = 1'000;       // of the machines that lose their disks
constexpr int64_t kRecoveryMs = 15'000;  // recoveryS
constexpr int64_t kReadMs = 12'000;      // reads at the end, longer than contactMs

std::string ConfigText(int version, const std::string& service) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-quote","host":"quotes.example","pathPrefix":"/quote/",)" +
         R"("kind":"safe","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":")" +
         service + R"(","maxAttempts":2}],"services":[{"name":")" + service +
         R"(","healthPath":"/health","maxConns":89,"protocol":"h1","tls":false}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)" +
         R"("idleTimeoutMs":15000}})";
}

// Sends a desired state until it is acknowledged.
bool Apply(Deployment& deployment, Record& record, const std::string& text, int64_t timeout_ms) {
  const Answer answer =
      deployment.Operate({.method = "PUT", .path = "/config", .body = text}, timeout_ms);
  record.Write("PUT /config " + text.substr(0, 12) + " -> " + std::to_string(answer.status));
  return answer.status == 200;
}

// Asks all controllers in turn for the desired state until one answers.
Answer Read(Deployment& deployment, Record& record, int64_t timeout_ms) {
  int asked = 0;
  Answer last;
  const std::vector<std::string> names = deployment.Controllers();
  const bool read = Await(timeout_ms, [&] {
    const std::string& name = names[static_cast<size_t>(asked++) % names.size()];
    last = Call(deployment.At(name, kControlPort), {.path = "/config"}, 1'000);
    if (last.status != 200) {
      record.Write("GET /config at " + name + " -> " +
                   (last.status == 0 ? last.error : std::to_string(last.status) + " " + last.body));
    }
    return last.status == 200;
  });
  if (read) record.Write("GET /config -> 200 " + last.body.substr(0, 12));
  return last;
}

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  record.Write(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment("case-7", record, {.controllers = kControllers, .routers = 1});
  if (!deployment.StartAll()) return kCannotRun;
  const bool grown = Await(20'000, [&] { return deployment.Members().size() == kVoters; });
  if (!grown || !Apply(deployment, record, ConfigText(1, "archive-1"), 10'000)) return kCannotRun;
  SleepMs(2'000);

  const std::vector<std::string> voters = deployment.Members();
  if (voters.size() != kVoters) return kCannotRun;
  const std::string text = ConfigText(2, "archive-2");
  if (!trouble) {
    if (!Apply(deployment, record, text, kAckMs)) return kCannotRun;
  } else {
    // The last two voters and three of the others are frozen. One other controller stays.
    std::vector<std::string> frozen = {voters[3], voters[4]};
    for (const std::string& name : deployment.Controllers()) {
      const bool voter = std::find(voters.begin(), voters.end(), name) != voters.end();
      if (!voter && frozen.size() < 5) frozen.push_back(name);
    }
    for (const std::string& name : frozen) deployment.Signal(name, SIGSTOP);
    const int64_t thaw = record.Elapsed() + kFreezeMs;
    SleepMs(kChangeAtMs);
    const bool acknowledged = Apply(deployment, record, text, 1'500);
    if (acknowledged) {
      deployment.Signal(voters[0], SIGKILL);
      deployment.Signal(voters[1], SIGKILL);
      deployment.Kill(voters[0], /*wipe=*/true);
      deployment.Kill(voters[1], /*wipe=*/true);
      SleepMs(kDownMs);
      deployment.Start(voters[0]);
      deployment.Start(voters[1]);
    }
    SleepMs(std::max<int64_t>(thaw - record.Elapsed(), 0));
    for (const std::string& name : frozen) deployment.Signal(name, SIGCONT);
    // A change that is not acknowledged may get lost; service may be suspended.
    if (!acknowledged) {
      record.Write("the change was not acknowledged: nothing may be lost");
      return kHeld;
    }
  }
  record.Write("all machines are back");
  SleepMs(kRecoveryMs);
  const Answer read = Read(deployment, record, kReadMs);
  if (read.status == 200 && read.body == text) {
    record.Write("held: the acknowledged desired state is read back");
    return kHeld;
  }
  const Answer next = deployment.Operate(
      {.method = "PUT", .path = "/config", .body = ConfigText(3, "archive-3")}, 5'000);
  record.Write("PUT /config version 3 -> " + std::to_string(next.status) + " " + next.body);
  record.Write("BROKEN: " + std::string(read.status == 200 ? "another desired state is read back"
                                                           : "the desired state does not come"));
  return kBroken;
}

}  // namespace
}  // namespace peridotgauge::review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  if (argc != 2) return peridotgauge::review::kCannotRun;
  return peridotgauge::review::RunCase(argv[1], trouble == nullptr || std::string(trouble) != "0");
}
