// Case 9: changes of the desired state replace routes by others with new names, and each router
// gets a request on each route. Ends a router that uses more memory than its machine has, as the
// platform does, and starts it again.
//
// Usage: case_9_main FOLDER    (in the root of the repository; with TROUBLE=0 the routes of all
// versions have the same names)
#include <signal.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/deployment.h"
#include "review/standins-2/record.h"
#include "review/standins-2/server.h"

namespace peridotgauge::review {
namespace {

enum ExitStatus { kHeld = 0, kBroken = 1, kCannotRun = 2 };

constexpr int kRouters = 2;
constexpr int kRoutes = 410;     // the largest growth in the site files (big_config)
constexpr int kChanges = 240;    // "hundreds of changes"
constexpr int64_t kGapMs = 330;  // as in config_storm
constexpr int64_t kEndMs = 108'000;
constexpr int kMemoryMb = 160;  // of a front machine
constexpr int kEnds = 3;        // of a process in a day, see "Fault"

std::string ConfigText(int version, bool new_names) {
  const std::string number = std::to_string(version);
  std::string routes;
  for (int i = 0; i < kRoutes; ++i) {
    const std::string route = std::to_string(i);
    routes.append(i == 0 ? "" : ",").append(R"({"name":"r-)");
    if (new_names) routes.append(number).append("-");
    routes.append(route).append(R"(","host":"offers.example","pathPrefix":"/v)").append(number);
    routes.append("/").append(route).append(R"(/","kind":"safe","timeoutMs":4000,)");
    routes.append(R"("targetLatencyMs":800,"priority":2,"service":"ledger","maxAttempts":2})");
  }
  return R"({"version":)" + number + R"(,"routes":[)" + routes +
         R"(],"services":[{"name":"ledger","healthPath":"/health","maxConns":560,)" +
         R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)" +
         R"("maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

// A client of one router with a connection that it keeps.
class Client {
 public:
  explicit Client(std::string address) : address(std::move(address)) {}

  // Returns the status of the answer, 0 if there is none.
  int Ask(const std::string& id, const std::string& path) {
    if (!this->connection) {
      this->connection = std::make_unique<Connection>(Connect(this->address, 1'000));
    }
    std::string start_line;
    Headers headers;
    std::string body;
    const std::string text = RequestText({.method = "GET",
                                          .path = path,
                                          .headers = {{"Host", "offers.example"},
                                                      {"Peridotgauge-Request-Id", id},
                                                      {"Peridotgauge-Deadline-Ms", "4000"}}},
                                         "");
    const bool answered = this->connection->Valid() && this->connection->Send(text) &&
                          this->connection->ReadMessage(start_line, headers, body, 4'500);
    if (!answered) {
      this->connection = nullptr;
      return 0;
    }
    return std::atoi(start_line.c_str() + start_line.find(' ') + 1);
  }

 private:
  std::string address;
  std::unique_ptr<Connection> connection;
};

// Sends a request on each route of the version. Returns how many were answered with success.
int AskAll(Client& client, const std::string& router, int version) {
  int served = 0;
  for (int i = 0; i < kRoutes; ++i) {
    std::string id = router;
    id.append("-").append(std::to_string(version)).append("-").append(std::to_string(i));
    const std::string path = "/v" + std::to_string(version) + "/" + std::to_string(i) + "/x";
    int status = 0;
    for (int attempt = 0; attempt < 40 && status != 200; ++attempt) {
      if (attempt > 0) SleepMs(25);
      status = client.Ask(id + "-" + std::to_string(attempt), path);
    }
    if (status == 200) ++served;
  }
  return served;
}

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  record.Write(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment("case-9", record,
                        {.controllers = 3, .routers = kRouters, .router_memory_mb = kMemoryMb});
  if (!deployment.StartAll()) return kCannotRun;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<Server>(ServerOptions{.service = "ledger",
                                                             .id = "i-" + std::to_string(i),
                                                             .address = deployment.ServerAddress(i),
                                                             .work_ms = 0,
                                                             .recorded = false},
                                               record));
    servers.back()->Register(deployment);
  }
  const std::vector<std::string> routers = deployment.Routers();
  std::map<std::string, int> ends;
  std::map<std::string, Client> clients;
  for (const std::string& router : routers) {
    clients.emplace(router, Client(deployment.At(router, kFrontPort)));
  }
  int version = 1;
  int served = 0;
  int ended_often = 0;
  while (version <= kChanges && record.Elapsed() < kEndMs && ended_often < kRouters) {
    const int64_t next = record.Elapsed() + kGapMs;
    const Answer applied = deployment.Operate(
        {.method = "PUT", .path = "/config", .body = ConfigText(version, trouble)}, 10'000);
    if (applied.status != 200) return kCannotRun;
    std::vector<std::thread> threads;
    std::vector<int> counts(routers.size());
    for (size_t i = 0; i < routers.size(); ++i) {
      threads.emplace_back(
          [&, i] { counts[i] = AskAll(clients.at(routers[i]), routers[i], version); });
    }
    for (std::thread& thread : threads) thread.join();
    std::string line = "version " + std::to_string(version) + " acknowledged;";
    for (size_t i = 0; i < routers.size(); ++i) {
      const std::string& router = routers[i];
      served += counts[i];
      const double memory = deployment.MemoryMb(router);
      line += " " + router + " served " + std::to_string(counts[i]) + " of " +
              std::to_string(kRoutes) + " with " + std::to_string(memory) + " MB;";
      if (memory <= kMemoryMb) continue;
      record.Write(router + " uses " + std::to_string(memory) + " MB of " +
                   std::to_string(kMemoryMb) + " MB and is killed");
      deployment.Kill(router, false);
      if (++ends[router] == kEnds) ++ended_often;
      deployment.Start(router);
    }
    record.Write(line);
    if (version == 1 && served < kRoutes) return kCannotRun;
    ++version;
    if (record.Elapsed() < next) SleepMs(next - record.Elapsed());
  }
  record.Write("changes: " + std::to_string(version - 1) +
               ", requests served: " + std::to_string(served) +
               ", routers ended three times: " + std::to_string(ended_often));
  record.Write(ended_often >= 2 ? "BROKEN" : "held");
  return ended_often >= 2 ? kBroken : kHeld;
}

}  // namespace
}  // namespace peridotgauge::review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  if (argc != 2) return peridotgauge::review::kCannotRun;
  return peridotgauge::review::RunCase(argv[1], trouble == nullptr || std::string(trouble) != "0");
}
