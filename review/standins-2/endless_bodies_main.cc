// Servers that send bodies without end, and many callers of one router. Measures its memory.
//
// Usage: endless_bodies_main FOLDER CALLERS SERVERS chunks|plain BODY_BYTES
#include <atomic>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/deployment.h"
#include "review/standins-2/record.h"
#include "review/standins-2/server.h"

namespace peridotgauge::review {
namespace {

constexpr int kMemoryMb = 160;
constexpr int64_t kCrowdMs = 15'000;

std::string ConfigText() {
  return R"({"version":1,"routes":[{"name":"r-offer","host":"offers.example","pathPrefix":"/offer/",)"
         R"("kind":"safe","timeoutMs":4000,"targetLatencyMs":800,"priority":2,"service":"ledger",)"
         R"("maxAttempts":2}],"services":[{"name":"ledger","healthPath":"/health","maxConns":560,)"
         R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

int RunCase(const std::string& folder, int callers, int server_count, bool chunks,
            size_t body_bytes) {
  Record record(folder + "/record.txt");
  Deployment deployment("endless", record,
                        {.controllers = 3, .routers = 1, .router_memory_mb = kMemoryMb});
  if (!deployment.StartAll()) return 2;
  std::vector<std::unique_ptr<Server>> servers;
  servers.reserve(static_cast<size_t>(server_count));
  for (int i = 0; i < server_count; ++i) {
    servers.push_back(std::make_unique<Server>(
        ServerOptions{.service = "ledger",
                      .id = "i-" + std::to_string(i),
                      .address = deployment.ServerAddress(i),
                      .recorded = false,
                      .faulty_begin = chunks
                                          ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                          : "HTTP/1.1 200 OK\r\n\r\n",
                      .faulty_repeat = chunks ? "1000\r\n" + std::string(4'096, 'x') + "\r\n"
                                              : std::string(65'536, 'x')},
        record));
    servers.back()->Register(deployment);
  }
  if (deployment.Operate({.method = "PUT", .path = "/config", .body = ConfigText()}, 10'000)
          .status != 200) {
    return 2;
  }
  SleepMs(4'000);
  std::atomic<bool> stop = false;
  std::atomic<int> answers = 0;
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(callers));
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const Answer answer =
            Call(deployment.At("router-1", kFrontPort),
                 {.method = body_bytes > 0 ? "POST" : "GET",
                  .path = "/offer/1",
                  .headers = {{"Host", "offers.example"},
                              {"Peridotgauge-Request-Id",
                               "q-" + std::to_string(i) + "-" + std::to_string(n)},
                              {"Peridotgauge-Deadline-Ms", "4000"}},
                  .body = std::string(body_bytes, 'x')},
                 4'500);
        if (answer.status != 0) ++answers;
      }
    });
  }
  double most = 0;
  const int64_t end = record.Elapsed() + kCrowdMs;
  while (record.Elapsed() < end) {
    most = std::max(most, deployment.MemoryMb("router-1"));
    SleepMs(20);
  }
  stop = true;
  for (std::thread& thread : threads) thread.join();
  record.Write("running: " + std::to_string(deployment.Running("router-1")) +
               ", answers: " + std::to_string(answers) + ", most memory: " + std::to_string(most) +
               " MB of " + std::to_string(kMemoryMb));
  return most > kMemoryMb ? 1 : 0;
}

}  // namespace
}  // namespace peridotgauge::review

int main(int argc, char** argv) {
  if (argc != 6) return 2;
  return peridotgauge::review::RunCase(argv[1], std::atoi(argv[2]), std::atoi(argv[3]),
                                       std::string(argv[4]) == "chunks",
                                       static_cast<size_t>(std::atoi(argv[5])));
}
