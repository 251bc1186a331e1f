// Case 10: one of five controllers loses power while the system starts for the first time, and
// stays away. Sends requests and orders of the operator.
//
// Usage: case_10_main FOLDER    (in the root of the repository; TROUBLE=0 leaves out the
// disruption)
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "review/standins-2/deployment.h"
#include "review/standins-2/record.h"
#include "review/standins-2/server.h"

namespace peridotgauge::review {
namespace {

enum ExitStatus { kHeld = 0, kBroken = 1, kCannotRun = 2 };

constexpr int64_t kCatchUpMs = 6'000;
constexpr int64_t kRecoveryMs = 15'000;
constexpr int64_t kRequestsMs = 30'000;

std::string ConfigText() {
  return R"({"version":1,"routes":[{"name":"r-offer","host":"offers.example","pathPrefix":"/offer/",)"
         R"("kind":"safe","timeoutMs":4000,"targetLatencyMs":800,"priority":2,"service":"ledger",)"
         R"("maxAttempts":2}],"services":[{"name":"ledger","healthPath":"/health","maxConns":560,)"
         R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  record.Write(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment("case-10", record, {.controllers = 9, .routers = 2});
  if (!deployment.Usable()) return kCannotRun;
  for (const std::string& name : deployment.Controllers()) {
    deployment.Start(name);
    if (trouble && name == "controller-2") deployment.Kill(name, false);
  }
  for (const std::string& name : deployment.Routers()) deployment.Start(name);
  Server server({.service = "ledger", .id = "i-1", .address = deployment.ServerAddress(1)}, record);
  server.Register(deployment);
  const Answer applied = deployment.Operate(
      {.method = "PUT", .path = "/config", .body = ConfigText()}, kCatchUpMs + kRecoveryMs);
  record.Write("PUT /config version 1 -> " + std::to_string(applied.status) + " " + applied.body);
  int served = 0;
  int sent = 0;
  const int64_t end = record.Elapsed() + kRequestsMs;
  while (record.Elapsed() < end && served < 20) {
    const std::string router = "router-" + std::to_string(1 + sent % 2);
    const Answer answer =
        Call(deployment.At(router, kFrontPort),
             {.path = "/offer/1",
              .headers = {{"Host", "offers.example"},
                          {"Peridotgauge-Request-Id", "q-" + std::to_string(sent)},
                          {"Peridotgauge-Deadline-Ms", "4000"}}},
             4'500);
    ++sent;
    if (answer.status == 200) ++served;
    record.Write("GET /offer/1 at " + router + " -> " + std::to_string(answer.status));
    SleepMs(500);
  }
  const Answer again =
      deployment.Operate({.method = "PUT", .path = "/config", .body = ConfigText()}, 5'000);
  record.Write("PUT /config version 1 -> " + std::to_string(again.status) + " " + again.body);
  record.Write("requests sent: " + std::to_string(sent) + ", served: " + std::to_string(served));
  record.Write(served == 0 ? "BROKEN" : "held");
  return served == 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace peridotgauge::review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  if (argc != 2) return peridotgauge::review::kCannotRun;
  return peridotgauge::review::RunCase(argv[1], trouble == nullptr || std::string(trouble) != "0");
}
