// Case 8: a change of the desired state adds a second query route whose `name` is that of the first
// one. Its host, prefix and shards are its own. Checks from which services the answers come.
//
// Usage: case_8_main FOLDER    (in the root of the repository; with TROUBLE=0 the new route has
// another name)
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "review/standins-2/deployment.h"
#include "review/standins-2/record.h"
#include "review/standins-2/server.h"

namespace peridotgauge::review {
namespace {

enum ExitStatus { kHeld = 0, kBroken = 1, kCannotRun = 2 };

constexpr int kShards = 3;
constexpr int kRounds = 20;
constexpr int64_t kApplyMs = 4'000;  // configApplyMs

// A query route as the clients and the operator know it.
struct QueryRoute {
  std::string name;
  std::string host;
  std::string prefix;
  std::string fleet;  // its shards are fleet-1, fleet-2, ...

  std::set<std::string> Services() const {
    std::set<std::string> services;
    for (int i = 1; i <= kShards; ++i) services.insert(this->fleet + "-" + std::to_string(i));
    return services;
  }
};

std::string ConfigText(int version, const std::vector<QueryRoute>& routes,
                       const std::vector<std::string>& services) {
  std::string route_list;
  for (const QueryRoute& route : routes) {
    std::string shards;
    for (const std::string& service : route.Services()) {
      shards += (shards.empty() ? "\"" : ",\"") + service + "\"";
    }
    route_list += (route_list.empty() ? "" : ",") + std::string(R"({"name":")") + route.name +
                  R"(","host":")" + route.host + R"(","pathPrefix":")" + route.prefix +
                  R"(","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":1,)" +
                  R"("gather":[)" + shards + R"(],"maxAttempts":2,"topK":5,"minVersion":0.95})";
  }
  std::string service_list;
  for (const std::string& service : services) {
    service_list += (service_list.empty() ? "" : ",") + std::string(R"({"name":")") + service +
                    R"(","healthPath":"/health","maxConns":74,"protocol":"h1","tls":false})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route_list +
         R"(],"services":[)" + service_list +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)" +
         R"("idleTimeoutMs":15000}})";
}

// Returns the services named by the stamps of an answer, which begin with them.
std::set<std::string> ServicesOf(const Answer& answer) {
  std::set<std::string> services;
  const std::string stamps = FindHeader(answer.headers, "Peridotgauge-Part-Stamps");
  for (size_t at = 0; at < stamps.size();) {
    const size_t end = std::min(stamps.find(',', at), stamps.size());
    size_t begin = at;
    while (begin < end && stamps[begin] == ' ') ++begin;
    services.insert(stamps.substr(begin, stamps.find('.', begin) - begin));
    at = end + 1;
  }
  return services;
}

std::string Joined(const std::set<std::string>& texts) {
  std::string out;
  for (const std::string& text : texts) out += (out.empty() ? "" : " ") + text;
  return out;
}

class Check {
 public:
  Check(Deployment& deployment, Record& record) : deployment(deployment), record(record) {}

  // Sends a request on a route and returns true if it is answered with success.
  bool Ask(const QueryRoute& route) {
    const std::string id = "q-" + std::to_string(++this->requests);
    const Answer answer = Call(this->deployment.At("router-1", kFrontPort),
                               {.method = "GET",
                                .path = route.prefix + "1",
                                .headers = {{"Host", route.host},
                                            {"Peridotgauge-Request-Id", id},
                                            {"Peridotgauge-Deadline-Ms", "1000"}}},
                               1'500);
    if (answer.status != 200) {
      this->record.Write(id + " " + route.host + " -> " + std::to_string(answer.status));
      return false;
    }
    const std::set<std::string> services = ServicesOf(answer);
    const bool right = services == route.Services();
    this->record.Write(id + " " + route.host + route.prefix + " -> 200 from " + Joined(services) +
                       (right ? "" : ", but its shards are " + Joined(route.Services())));
    if (right) {
      ++this->good;
    } else {
      ++this->wrong;
    }
    return true;
  }

  int good = 0;
  int wrong = 0;

 private:
  Deployment& deployment;
  Record& record;
  int requests = 0;
};

int RunCase(const std::string& folder, bool trouble) {
  Record record(folder + "/record.txt");
  record.Write(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment("case-8", record, {.controllers = 3, .routers = 1});
  if (!deployment.StartAll()) return kCannotRun;
  const QueryRoute orders{"search", "orders.example", "/find/", "verstas"};
  const QueryRoute names{trouble ? "search" : "names", "names.example", "/find/", "kassa"};
  std::vector<std::string> services;
  std::vector<std::unique_ptr<Server>> servers;
  for (const QueryRoute* route : {&orders, &names}) {
    for (const std::string& service : route->Services()) {
      services.push_back(service);
      const int number = static_cast<int>(servers.size());
      servers.push_back(
          std::make_unique<Server>(ServerOptions{.service = service,
                                                 .id = "i-" + std::to_string(number),
                                                 .address = deployment.ServerAddress(number)},
                                   record));
      servers.back()->Register(deployment);
    }
  }
  const auto apply = [&](const std::string& text) {
    const Answer answer =
        deployment.Operate({.method = "PUT", .path = "/config", .body = text}, 10'000);
    record.Write("PUT /config " + text + " -> " + std::to_string(answer.status));
    return answer.status == 200;
  };
  Check check(deployment, record);
  if (!apply(ConfigText(1, {orders}, services))) return kCannotRun;
  if (!Await(15'000, [&] { return check.Ask(orders); })) return kCannotRun;
  if (!apply(ConfigText(2, {orders, names}, services))) return kCannotRun;
  SleepMs(kApplyMs + 500);
  if (!Await(5'000, [&] { return check.Ask(names); })) return kCannotRun;
  for (int i = 0; i < kRounds; ++i) {
    check.Ask(orders);
    check.Ask(names);
  }
  record.Write("answers from the shards of their route: " + std::to_string(check.good) +
               ", from others: " + std::to_string(check.wrong));
  record.Write(check.wrong > 0 ? "BROKEN" : "held");
  return check.wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace peridotgauge::review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  if (argc != 2) return peridotgauge::review::kCannotRun;
  return peridotgauge::review::RunCase(argv[1], trouble == nullptr || std::string(trouble) != "0");
}
