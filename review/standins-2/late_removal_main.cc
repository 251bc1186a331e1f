// A removal that a partition has held up arrives after the server has started again under its id.
//
// Usage: late_removal_main FOLDER   (in the root of the repository; TROUBLE=0 leaves out the late
// copy)
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

enum ExitStatus { kHeld = 0, kBroken = 1, kCannotRun = 2 };

constexpr int64_t kDrainMs = 4'000;
constexpr int64_t kHeldUpMs = 7'000;  // by the partition
constexpr int64_t kSteadyMs = 15'000;
constexpr int kRequests = 40;

std::string RouteText(const std::string& service) {
  return R"({"name":"r-)" + service + R"(","host":")" + service +
         R"(.example","pathPrefix":"/x/","kind":"safe","timeoutMs":1000,"targetLatencyMs":800,)" +
         R"("priority":2,"service":")" + service + R"(","maxAttempts":2})";
}

std::string ConfigText(int version, const std::vector<std::string>& services) {
  std::string routes;
  std::string list;
  for (const std::string& service : services) {
    routes += (routes.empty() ? "" : ",") + RouteText(service);
    list += (list.empty() ? "" : ",") + std::string(R"({"name":")") + service +
            R"(","healthPath":"/health","maxConns":74,"protocol":"h1","tls":false})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
         R"(],"services":[)" + list +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)" +
         R"("idleTimeoutMs":15000}})";
}

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  record.Write(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment("case-late", record, {.controllers = 3, .routers = 1});
  if (!deployment.StartAll()) return kCannotRun;
  const auto start = [&](int number, const std::string& service) {
    auto server =
        std::make_unique<Server>(ServerOptions{.service = service,
                                               .id = "i-" + std::to_string(number),
                                               .address = deployment.ServerAddress(number)},
                                 record);
    server->Register(deployment);
    record.Write("server i-" + std::to_string(number) + " of " + service + " starts");
    return server;
  };
  std::vector<std::unique_ptr<Server>> servers;
  servers.reserve(6);
  for (int i = 0; i < 3; ++i) servers.push_back(start(i, "first"));
  for (int i = 3; i < 6; ++i) servers.push_back(start(i, "later"));
  const auto apply = [&](int version, const std::vector<std::string>& services) {
    return deployment
               .Operate({.method = "PUT", .path = "/config", .body = ConfigText(version, services)},
                        10'000)
               .status == 200;
  };
  if (!apply(1, {"first"}) || !apply(2, {"first", "later"})) return kCannotRun;
  int sent = 0;
  const auto ask = [&](const std::string& service) {
    const std::string id = "q-" + std::to_string(++sent);
    const Answer answer = Call(deployment.At("router-1", kFrontPort),
                               {.path = "/x/1",
                                .headers = {{"Host", service + ".example"},
                                            {"Peridotgauge-Request-Id", id},
                                            {"Peridotgauge-Deadline-Ms", "1000"}}},
                               1'500);
    record.Write(id + " " + service + " -> " + std::to_string(answer.status));
    return answer.status == 200;
  };
  if (!Await(10'000, [&] { return ask("first") && ask("later"); })) return kCannotRun;

  std::vector<std::thread> held_up;
  held_up.reserve(3);
  for (int i = 3; i < 6; ++i) {
    const Request removal{.method = "DELETE", .path = "/instances/i-" + std::to_string(i)};
    servers[static_cast<size_t>(i)]->StopPings();
    if (trouble) {
      held_up.emplace_back([&deployment, &record, removal] {
        SleepMs(kHeldUpMs);
        const Answer answer = Call(deployment.At("controller-1", kControlPort), removal, 1'000);
        record.Write("late " + removal.path + " arrives -> " + std::to_string(answer.status));
      });
      SleepMs(1'000);  // the server waits for an answer, then calls the next controller
    }
    const Answer answer = Call(deployment.At("controller-2", kControlPort), removal, 1'000);
    record.Write("DELETE " + removal.path + " -> " + std::to_string(answer.status));
    SleepMs(kDrainMs);
    servers[static_cast<size_t>(i)] = nullptr;
    servers[static_cast<size_t>(i)] = start(i, "later");
    SleepMs(3'000);
  }
  for (std::thread& thread : held_up) thread.join();
  SleepMs(kSteadyMs);
  int first = 0;
  int later = 0;
  for (int i = 0; i < kRequests; ++i) {
    if (ask("first")) ++first;
    if (ask("later")) ++later;
  }
  for (int i = 3; i < 6; ++i) {
    record.Write("server i-" + std::to_string(i) + " has " +
                 std::to_string(servers[static_cast<size_t>(i)]->ConfirmedPings()) +
                 " confirmed pings since its start");
  }
  record.Write("served: first " + std::to_string(first) + ", later " + std::to_string(later));
  const bool broken = later * 4 < first;
  record.Write(broken ? "BROKEN" : "held");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace peridotgauge::review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  if (argc != 2) return peridotgauge::review::kCannotRun;
  return peridotgauge::review::RunCase(argv[1], trouble == nullptr || std::string(trouble) != "0");
}
