// A soak of the route interface with real processes on loopback: controllers and routers are
// stopped, restarted, killed and frozen in overlapping series while callers keep their connections
// open, the configuration changes, and some targets fail. Records the end of every request.
//
// Use:
//   route_soak --daemon=build/peridotgauged --seed=7 --seconds=30
//
// Exit status 0 if nothing below was seen, 1 otherwise, 2 if the deployment did not start:
//   lost      a connection closed without an answer to a request that a target has received, or
//   that
//             was sent completely over kLossSlack before, with no kill or freeze of the router
//   untrue    a request that must not be repeated ran more than once, or ran and was answered 503
//             or 429
//   malformed bytes that are no response
//   old       a route is not served, or an older revision is read, kApplyTime after a confirmation
//   gone      the newest confirmed revision is not read back at the end
//   unacked   a valid change had no confirmation within kAckTime while no controller was disturbed
//   outlived  a process ran longer than its grace period
//   crashes   a request that crashes its targets, sent again by its caller, reached targets more
//             than kSoakLateSends times later than kSoakContactTime after it had crashed the third
//   unserved  harmless requests were not served after the last disturbance
//   quota     more requests of a workspace reached targets in 5 s than its quota allows
//   key       a target got the key of a caller
//   workspace a target got another name of the caller's workspace than the right one
//   revoked   a revoked key was served kRevokeTime after the confirmation, or a valid one refused
//   evacuated a request reached a data centre kSoakEvacuateTime after its evacuation was
//             acknowledged, from a router that was not frozen
//   withdrawn a data centre got no requests after its evacuation had been withdrawn
//   cold      a cold target got more requests in a second than its service allows
//
// The schedule depends on the seed; the times at which processes act on it do not.
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <sys/resource.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "io/clock.h"
#include "testing/loopback_network.h"
#include "testing/soak/soak_caller.h"
#include "testing/soak/soak_limits.h"
#include "testing/soak/soak_process.h"
#include "testing/soak/soak_record.h"
#include "testing/soak/soak_targets.h"

DEFINE_string(daemon, "build/peridotgauged", "the program");
DEFINE_uint64(seed, 1, "seed of the schedule");
DEFINE_double(seconds, 30, "length of the run after the start");
DEFINE_uint32(controllers, 3, "controllers");
DEFINE_uint32(routers, 4, "routers");
DEFINE_uint32(callers, 32, "callers, each with one connection");
DEFINE_uint32(routes, 40, "routes of the first configuration; more make larger texts");
DEFINE_bool(kills, true, "kill and freeze processes too");
DEFINE_bool(full_disks, true, "let disks of controllers be full for up to 3 s");
DEFINE_bool(second_signals, true, "send some stopping processes a second SIGTERM");
DEFINE_bool(crashes, true, "let callers resend requests that crash their targets");
DEFINE_bool(evacuations, true, "evacuate data centres");
DEFINE_bool(keep_folder, false, "keep the logs of the processes");

namespace peridotgauge {
namespace {

namespace fs = std::filesystem;

constexpr int kHttpPort = 18'401;
constexpr int kHealthPort = 18'402;
constexpr int kDirectoryPort = 18'403;
constexpr int kMetricsPort = 18'404;
constexpr int kPeerPort = 18'405;
constexpr int kTargetPort = 18'410;
constexpr int kTargets = 3;  // of each service
constexpr int64_t kGraceMs = 3'000;
constexpr int64_t kHeartbeatMs = 600;
constexpr int64_t kTimeoutMs = 1'500;
constexpr Duration kLossSlack = Millis(200);
constexpr Duration kApplyTime = Seconds(3);
constexpr Duration kAckTime = Seconds(5);
constexpr Duration kEvacuationAckTime = Seconds(6);
constexpr Duration kRevokeTime = Seconds(4);
// The text of version N accepts this many keys of the workspace "turning": those of N, N - 1, ...
constexpr uint64_t kTurningKeys = 3;
constexpr Duration kEndSlack = Millis(500);
constexpr Duration kCalmTime = Seconds(2);
constexpr char kHost[] = "soak.example";

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string Http(const std::string& method, const std::string& path, const std::string& headers,
                 const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Soak {
 public:
  explicit Soak(uint64_t seed) : random(seed) {
    std::string pattern = (fs::temp_directory_path() / "route_soak_XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    this->network = ClaimLoopbackNetwork();
    for (uint32_t i = 0; i < FLAGS_controllers; ++i) this->Add("controller", i, this->controllers);
    for (uint32_t i = 0; i < FLAGS_routers; ++i) this->Add("router", i, this->routers);
    this->targets = std::make_unique<SoakTargets>(this->network, kTargetPort, kTargets, seed + 1,
                                                  this->record, this->limits);
  }
  ~Soak() {
    this->stopping = true;
    for (std::thread& thread : this->threads) thread.join();
    this->routers.clear();
    this->controllers.clear();
    std::error_code ignored;
    if (!FLAGS_keep_folder) fs::remove_all(this->folder, ignored);
  }

  bool Start() {
    for (auto* group : {&this->controllers, &this->routers}) {
      for (auto& process : *group) {
        if (!process->Start()) return false;
      }
    }
    this->threads.emplace_back([this] { this->SendHeartbeats(); });
    if (!this->Await([this] { return this->PutConfig(this->version + 1); })) return false;
    return this->Await([this] {
      return std::all_of(this->routers.begin(), this->routers.end(), [&](const auto& router) {
        SoakConnection connection;
        return this->Get(connection, *router, "/s/start", TurningKey(1)).status == 200;
      });
    });
  }

  void Run(Duration length) {
    for (uint32_t i = 0; i < FLAGS_callers; ++i) {
      this->threads.emplace_back([this, i] { this->SendRequests(i, {.workspace = "open"}); });
    }
    // They send several times what their workspace may, or what a cold target takes.
    uint32_t caller = FLAGS_callers;
    const auto add_callers = [&](int count, const CallerKind& kind) {
      for (int i = 0; i < count; ++i) {
        this->threads.emplace_back(
            [this, number = caller++, kind] { this->SendRequests(number, kind); });
      }
    };
    add_callers(2, {.workspace = "small", .prefix = "/u/", .limited = true});
    add_callers(4, {.workspace = "large", .prefix = "/u/", .limited = true});
    add_callers(1, {.workspace = kSoakPublic, .prefix = "/p/"});
    add_callers(6, {.workspace = "open", .prefix = "/c/", .limited = true});
    this->threads.emplace_back([this] { this->DisturbTargets(); });
    std::vector<std::thread> operators;
    if (FLAGS_evacuations) {
      operators.emplace_back([this] { this->EvacuateAgain(0); });
      operators.emplace_back([this] { this->EvacuateAgain(1); });
    }
    if (FLAGS_crashes) {
      this->threads.emplace_back([this] { this->ResendCrashing("GET", "/s/crash", 7); });
      this->threads.emplace_back([this] { this->ResendCrashing("POST", "/u/crash", 8); });
    }
    this->threads.emplace_back([this] { this->ChangeConfig(); });
    this->threads.emplace_back([this] { this->CheckRoutes(); });
    this->threads.emplace_back([this] { this->ReadConfig(); });
    const Time end = SteadyNow() + length;
    while (SteadyNow() < end) {
      std::this_thread::sleep_for(Millis(this->Below(900)));
      this->Disturb();
    }
    for (std::thread& thread : this->disturbances) thread.join();
    this->disturbances.clear();
    this->withdrawing = true;
    for (std::thread& thread : operators) thread.join();
    std::this_thread::sleep_for(kSoakContactTime + kSoakRestartDelay);
    const size_t before = this->limits.ArrivalsIn("z-a");
    this->calm = true;
    std::this_thread::sleep_for(kCalmTime);
    this->calm = false;
    // The data centre of the routers, where they prefer to send.
    if (this->limits.ArrivalsIn("z-a") == before) {
      this->record.Violation("withdrawn", "no request has reached z-a");
    }
  }

  bool Finish() {
    this->stopping = true;
    for (std::thread& thread : this->threads) thread.join();
    this->threads.clear();
    this->CheckLateArrivals();
    const uint64_t newest = this->acked;
    if (!this->Await([&] { return this->ReadVersion().value_or(0) >= newest; })) {
      this->record.Violation("gone", "version " + std::to_string(newest) + " is not read back");
    }
    if (FLAGS_keep_folder) std::cout << "logs: " << this->folder << "\n";
    return this->record.Report();
  }

 private:
  struct Process : SoakProcess {
    using SoakProcess::SoakProcess;
    std::atomic<bool> busy{false};  // a disturbance is in progress
  };
  using Group = std::vector<std::unique_ptr<Process>>;

  int64_t Below(int64_t bound) {
    return std::uniform_int_distribution<int64_t>(0, bound - 1)(this->random);
  }

  bool Await(const std::function<bool()>& condition) {
    const Time end = SteadyNow() + Seconds(20);
    while (!condition()) {
      if (SteadyNow() >= end) return false;
      std::this_thread::sleep_for(Millis(50));
    }
    return true;
  }

  void Add(const std::string& role, uint32_t number, Group& group) {
    const std::string name = role + "-" + std::to_string(number);
    const bool controller = role == "controller";
    const std::string ip = this->network + std::to_string((controller ? 1 : 21) + number);
    const auto at = [&](int port) { return Quoted(ip + ":" + std::to_string(port)); };
    std::string seeds;
    for (uint32_t i = 0; i < FLAGS_controllers; ++i) {
      seeds += (i == 0 ? "" : ",") +
               Quoted(this->network + std::to_string(1 + i) + ":" + std::to_string(kHttpPort));
    }
    std::ofstream(this->folder + "/" + name + ".json")
        << R"({"id":)" << Quoted(ip) << R"(,"data_centre":"z-a","interface":"routes","roles":[)"
        << Quoted(role) << R"(],"http_address":)" << at(kHttpPort) << R"(,"metrics_address":)"
        << at(kMetricsPort) << R"(,"peer_address":)" << at(kPeerPort)
        << (controller ? R"(,"directory_address":)" + at(kDirectoryPort) + R"(,"data_folder":)" +
                             Quoted(this->folder + "/" + name)
                       : R"(,"health_address":)" + at(kHealthPort))
        << R"(,"grace_ms":)" << kGraceMs << R"(,"heartbeat_ms":)" << kHeartbeatMs << R"(,"seeds":[)"
        << seeds << "]}";
    group.push_back(std::make_unique<Process>(
        name, ip,
        std::vector<std::string>{FLAGS_daemon, "--settings=" + this->folder + "/" + name + ".json"},
        this->folder + "/" + name + ".log"));
  }

  // --- Control interface ---

  std::string Route(const std::string& name, const std::string& prefix, const std::string& kind,
                    const std::string& service, bool needs_key = true) {
    return R"({"name":)" + Quoted(name) + R"(,"host":)" + Quoted(kHost) + R"(,"pathPrefix":)" +
           Quoted(prefix) + R"(,"kind":)" + Quoted(kind) + R"(,"timeoutMs":)" +
           std::to_string(kTimeoutMs) + R"(,"targetLatencyMs":500,"priority":1,"service":)" +
           Quoted(service) + R"(,"maxAttempts":2,"public":)" + (needs_key ? "false}" : "true}");
  }

  static std::string KeyOf(const std::string& workspace) { return kSoakKeyPrefix + workspace; }
  static std::string TurningKey(uint64_t number) {
    return KeyOf("turning-" + std::to_string(number));
  }

  // Returns the workspaces of a version.
  std::string WorkspacesText(uint64_t number) {
    std::string texts;
    for (const SoakWorkspace& workspace : SoakWorkspaces()) {
      texts += R"({"name":)" + Quoted(workspace.name) + R"(,"apiKeys":[)" +
               Quoted(KeyOf(workspace.name)) + R"(],"ratePerS":)" +
               std::to_string(workspace.rate_per_s) + R"(,"burst":)" +
               std::to_string(workspace.burst) + "},";
    }
    std::string keys;
    for (uint64_t n = number; n > 0 && n + kTurningKeys > number; --n) {
      keys += (keys.empty() ? "" : ",") + Quoted(TurningKey(n));
    }
    return texts + R"({"name":"turning","apiKeys":[)" + keys + "]}";
  }

  // The text of a version has the routes /extra-N/ of all versions N up to it, the newest hundred.
  std::string ConfigText(uint64_t number) {
    std::string routes = this->Route("s", "/s/", "safe", "s") + "," +
                         this->Route("u", "/u/", "unsafe", "u") + "," +
                         this->Route("c", "/c/", "safe", "c") + "," +
                         this->Route("p", "/p/", "safe", "s", /*needs_key=*/false);
    for (uint32_t i = 0; i < FLAGS_routes; ++i) {
      const std::string name = "fill-" + std::to_string(i);
      routes += "," + this->Route(name, "/" + name + "/", "safe", "s");
    }
    for (uint64_t n = number > 100 ? number - 100 : 1; n <= number; ++n) {
      const std::string name = "extra-" + std::to_string(n);
      routes += "," + this->Route(name, "/" + name + "/", "safe", "s");
    }
    return R"({"version":)" + std::to_string(number) + R"(,"tenants":[)" +
           this->WorkspacesText(number) + R"(],"routes":[)" + routes +
           R"(],"services":[{"name":"s","healthPath":"/health","maxConns":60},)" +
           R"({"name":"u","healthPath":"/health","maxConns":60},)" +
           R"({"name":"c","healthPath":"/health","maxConns":60,"warmupPerS":)" +
           std::to_string(kSoakWarmupPerS) + "}]}";
  }

  CallerEnd Control(size_t controller, const std::string& text) {
    SoakConnection connection;
    if (!connection.Open(this->controllers[controller]->ip + ":" + std::to_string(kHttpPort))) {
      return {};
    }
    return connection.Send(text, Seconds(1));
  }

  // Sends a version to controllers in turn until one confirms it.
  bool PutConfig(uint64_t number) {
    const std::string text = Http("PUT", "/config", "", this->ConfigText(number));
    const Time began = SteadyNow();
    this->proposed = std::max(this->proposed.load(), number);
    for (size_t i = number; SteadyNow() < began + Seconds(12) && !this->stopping; ++i) {
      const CallerEnd end = this->Control(i % this->controllers.size(), text);
      if (end.kind == CallerEndKind::kAnswered && end.status == 200) {
        this->version = number;
        {
          const std::lock_guard<std::mutex> lock(this->mutex);
          this->confirmed.emplace_back(SteadyNow(), number);
        }
        this->acked = number;
        if (end.ended - began > kAckTime && this->ControllersCalmSince(began - kSoakContactTime)) {
          this->record.Violation("unacked", "version " + std::to_string(number));
        }
        return true;
      }
      if (end.kind == CallerEndKind::kAnswered && end.status < 500) {
        this->record.Violation("unacked", "version " + std::to_string(number) + " got status " +
                                              std::to_string(end.status));
        return false;
      }
      std::this_thread::sleep_for(Millis(50));
    }
    return false;
  }

  bool ControllersCalmSince(Time from) {
    return std::all_of(this->controllers.begin(), this->controllers.end(),
                       [&](const auto& process) {
                         return process->LastDisturbance() < from && process->Running();
                       });
  }

  std::optional<uint64_t> ReadVersion() {
    for (size_t i = 0; i < this->controllers.size(); ++i) {
      if (const auto read = this->ReadVersionOf(i)) return read;
    }
    return std::nullopt;
  }

  // Returns the version that a controller reads, or nothing if it answers none.
  std::optional<uint64_t> ReadVersionOf(size_t controller) {
    const Address address = this->controllers[controller]->ip + ":" + std::to_string(kHttpPort);
    SoakConnection connection;
    std::string body;
    if (!connection.Open(address)) return std::nullopt;
    const CallerEnd end = connection.Send(Http("GET", "/config", "", ""), Seconds(2), &body);
    if (end.kind != CallerEndKind::kAnswered || end.status != 200) return std::nullopt;
    const size_t at = body.find(R"("version":)");
    if (at == std::string::npos) return 0;
    return std::strtoull(body.c_str() + at + 10, nullptr, 10);
  }

  void SendHeartbeats() {
    for (uint64_t sequence = 1; !this->stopping; ++sequence) {
      for (const SoakTargets::Registration& target : this->targets->Running()) {
        const std::string body =
            R"({"service":)" + Quoted(target.service) + R"(,"address":)" + Quoted(target.address) +
            R"(,"zone":)" + Quoted(target.data_centre) +
            R"(,"version":"v1","slots":16,"state":"ready","warmupLeftMs":)" +
            std::to_string(WholeMillis(target.warmup_left)) + R"(,"sequence":)" +
            std::to_string(sequence) + R"(,"born":)" + std::to_string(target.born) + "}";
        const std::string text = Http("PUT", "/instances/" + target.id, "", body);
        for (size_t i = 0; i < this->controllers.size(); ++i) {
          const CallerEnd end = this->Control((sequence + i) % this->controllers.size(), text);
          if (end.status != 200) continue;
          this->targets->OnRegistered(target);
          break;
        }
      }
      std::this_thread::sleep_for(Millis(kHeartbeatMs / 2));
    }
  }

  // Changes the configuration, and sometimes sends the same text again, as after a lost reply.
  void ChangeConfig() {
    std::mt19937_64 own(FLAGS_seed + 2);
    while (!this->stopping) {
      this->record.Count(this->PutConfig(this->version + 1) ? "changes confirmed"
                                                            : "changes not confirmed");
      if (own() % 4 == 0 && !this->PutConfig(this->version)) this->record.Count("resends refused");
      std::this_thread::sleep_for(Millis(static_cast<int64_t>(own() % 700)));
    }
  }

  // Returns the newest version that was confirmed before `time`.
  uint64_t ConfirmedBefore(Time time) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    uint64_t newest = 0;
    for (const auto& [at, number] : this->confirmed) {
      if (at < time) newest = number;
    }
    return newest;
  }

  // --- Evacuations and targets ---

  // Evacuates a data centre and withdraws that, again and again, sometimes in quick succession.
  void EvacuateAgain(size_t number) {
    const std::string data_centre = std::string("z-") + static_cast<char>('a' + number);
    std::mt19937_64 own(FLAGS_seed * 1'000 + 600 + number);
    while (!this->withdrawing) {
      if (own() % 3 == 0) {
        this->SetEvacuated(own, data_centre, true);
        this->SetEvacuated(own, data_centre, false);
      }
      if (this->SetEvacuated(own, data_centre, true)) this->record.Count("evacuations");
      const Time end =
          SteadyNow() + kSoakEvacuateTime + Millis(static_cast<int64_t>(own() % 4'000));
      while (SteadyNow() < end && !this->withdrawing) std::this_thread::sleep_for(Millis(50));
      this->targets->Cool(number);
      this->SetEvacuated(own, data_centre, false);
      std::this_thread::sleep_for(Millis(static_cast<int64_t>(own() % 1'500)));
    }
  }

  // Sends the call to controllers in turn until one acknowledges it.
  bool SetEvacuated(std::mt19937_64& own, const std::string& data_centre, bool evacuated) {
    const std::string text =
        Http(evacuated ? "POST" : "DELETE", "/evacuations/" + data_centre, "", "");
    if (!evacuated) this->limits.SetEvacuated(data_centre, std::nullopt);
    const Time began = SteadyNow();
    for (size_t i = own() % this->controllers.size(); SteadyNow() < began + Seconds(20); ++i) {
      const CallerEnd end = this->Control(i % this->controllers.size(), text);
      if (end.kind == CallerEndKind::kAnswered && end.status == 200) {
        if (evacuated) this->limits.SetEvacuated(data_centre, end.ended);
        if (end.ended - began > kEvacuationAckTime &&
            this->ControllersCalmSince(began - kSoakContactTime)) {
          this->record.Violation("unacked", text.substr(0, text.find('\r')));
        }
        return true;
      }
      if (end.kind == CallerEndKind::kAnswered && end.status != 503) {
        this->record.Violation("unacked", text.substr(0, text.find('\r')) + " got status " +
                                              std::to_string(end.status));
      }
      std::this_thread::sleep_for(Millis(50));
    }
    this->record.Violation("unacked", text.substr(0, text.find('\r')) + " was never acknowledged");
    return false;
  }

  void CheckLateArrivals() {
    for (const LateArrival& late : this->limits.LateArrivals()) {
      Process& router = *this->routers[late.router];
      // A frozen router is not in contact, nor one that has just been continued.
      if (router.WasKilled(late.at - kSoakContactTime, late.at)) {
        this->record.Count("late arrivals from a frozen router");
        continue;
      }
      this->record.Violation("evacuated", late.id + " has reached " + late.data_centre + " " +
                                              std::to_string(WholeMillis(late.since_acknowledged)) +
                                              " ms after the acknowledgement");
    }
  }

  // Makes targets cold, and restarts them.
  void DisturbTargets() {
    std::mt19937_64 own(FLAGS_seed + 3);
    while (!this->withdrawing) {
      std::this_thread::sleep_for(Millis(static_cast<int64_t>(200 + own() % 1'500)));
      const size_t number = own() % kTargets;
      own() % 3 == 0 ? this->targets->Restart(number) : this->targets->Cool(number);
    }
  }

  // --- Checks of the configuration ---

  // Asks routers in touch for the newest route that they must know, with a key that they must know,
  // and with one that they must have forgotten.
  void CheckRoutes() {
    for (size_t i = 0; !this->stopping; ++i) {
      Process& router = *this->routers[i % this->routers.size()];
      const Time sent = SteadyNow();
      const uint64_t number = this->ConfirmedBefore(sent - kApplyTime);
      SoakConnection connection;
      const CallerEnd end =
          number == 0 ? CallerEnd{}
                      : this->Get(connection, router, "/extra-" + std::to_string(number) + "/x",
                                  TurningKey(number));
      const bool key_valid = this->proposed < number + kTurningKeys;
      const bool calm = router.LastDisturbance() < sent - kSoakContactTime &&
                        this->ControllersCalmSince(sent - kSoakContactTime);
      if (end.status == 404 && calm) {
        this->record.Violation("old",
                               router.name + " does not know version " + std::to_string(number));
      }
      if (end.status == 401 && calm && key_valid) {
        this->record.Violation(
            "revoked", router.name + " refuses the key of version " + std::to_string(number));
      }
      if (end.status != 0) this->record.Count("route checks");
      this->CheckRevoked(router);
      std::this_thread::sleep_for(Millis(20));
    }
  }

  void CheckRevoked(Process& router) {
    const Time sent = SteadyNow();
    const uint64_t number = this->ConfirmedBefore(sent - kRevokeTime);
    if (number <= kTurningKeys) return;
    const uint64_t revoked = number - kTurningKeys;
    SoakConnection connection;
    const CallerEnd end = this->Get(connection, router, "/s/revoked", TurningKey(revoked));
    if (end.kind != CallerEndKind::kAnswered) return;
    this->record.Count("checks of revoked keys " + std::to_string(end.status));
    // A router that was frozen or has lost the controllers keeps the newest version that it has.
    if (end.status != 401 && end.status != 503 &&
        router.LastDisturbance() < sent - kSoakContactTime &&
        this->ControllersCalmSince(sent - kSoakContactTime)) {
      this->record.Violation("revoked", router.name + " accepts the key of version " +
                                            std::to_string(revoked) + " after version " +
                                            std::to_string(number) + " was confirmed");
    }
  }

  // Reads from controllers, disturbed or not: none may read an older version.
  void ReadConfig() {
    for (size_t i = 0; !this->stopping; ++i) {
      const uint64_t number = this->ConfirmedBefore(SteadyNow() - kApplyTime);
      const auto read = this->ReadVersionOf(i % this->controllers.size());
      if (read) this->record.Count("reads");
      if (read && *read < number) {
        this->record.Violation("old", "version " + std::to_string(*read) + " was read after " +
                                          std::to_string(number) + " had been confirmed");
      }
      std::this_thread::sleep_for(Millis(50));
    }
  }

  // --- Callers ---

  struct CallerKind {
    std::string workspace;
    std::string prefix = {};  // of all paths; empty: "/s/" and "/u/"
    bool limited = false;     // requests may be refused for a limit
  };

  // `key`: empty for none. The header that names the workspace is forged.
  static std::string RequestText(const std::string& id, const std::string& method,
                                 const std::string& path, const std::string& key) {
    return Http(method, path,
                (key.empty() ? "" : "Peridotgauge-Key: " + key + "\r\n") +
                    "Peridotgauge-Tenant: forged\r\nPeridotgauge-Request-Id: " + id +
                    "\r\nPeridotgauge-Deadline-Ms: " + std::to_string(kTimeoutMs) + "\r\n",
                method == "POST" ? "{}" : "");
  }

  static std::string IdAt(const Process& router, const std::string& id) {
    return id + "-" + router.name;
  }

  CallerEnd Get(SoakConnection& connection, const Process& router, const std::string& path,
                const std::string& key) {
    if (!connection.Open(router.ip + ":" + std::to_string(kHttpPort))) return {};
    const std::string id = IdAt(router, "turning-check-" + std::to_string(++this->checks));
    return connection.Send(RequestText(id, "GET", path, key), Seconds(3));
  }

  void SendRequests(uint32_t caller, const CallerKind& kind) {
    const std::string key = kind.workspace == kSoakPublic ? "" : KeyOf(kind.workspace);
    std::mt19937_64 own(FLAGS_seed * 1'000 + caller);
    SoakConnection connection;
    Process* router = nullptr;
    for (int i = 0; !this->stopping; ++i) {
      if (!connection.IsOpen()) {
        router = this->routers[own() % this->routers.size()].get();
        if (!connection.Open(router->ip + ":" + std::to_string(kHttpPort))) {
          std::this_thread::sleep_for(Millis(20));
          continue;
        }
      }
      const bool any = kind.prefix.empty() && own() % 2 == 0;
      const std::string prefix = !kind.prefix.empty() ? kind.prefix : any ? "/s/" : "/u/";
      const bool safe = prefix != "/u/";
      const std::string id =
          IdAt(*router, kind.workspace + "-" + std::to_string(caller) + "-" + std::to_string(i));
      const CallerEnd end =
          connection.Send(RequestText(id, safe ? "GET" : "POST", prefix + id, key), Seconds(4));
      this->Judge(*router, id, safe, end);
      if (this->calm && !kind.limited && (end.status != 200 && end.status != 500)) {
        this->record.Violation("unserved", id + " at " + router->name + ", status " +
                                               std::to_string(end.status) + ", " + end.detail);
      }
      if (end.closes) connection.Close();
      std::this_thread::sleep_for(Millis(static_cast<int64_t>(own() % 30)));
    }
  }

  // Sends a request that crashes its targets again and again, at any router.
  void ResendCrashing(const std::string& method, const std::string& path, uint64_t number) {
    std::mt19937_64 own(FLAGS_seed * 1'000 + 500 + number);
    for (int i = 0; !this->stopping; ++i) {
      SoakConnection connection;
      Process& router = *this->routers[own() % this->routers.size()];
      if (connection.Open(router.ip + ":" + std::to_string(kHttpPort))) {
        const std::string id =
            IdAt(router, "open-crash-" + std::to_string(number) + "-" + std::to_string(i));
        const CallerEnd end =
            connection.Send(RequestText(id, method, path, KeyOf("open")), Seconds(4));
        this->Judge(router, id, method == "GET", end);
      }
      std::this_thread::sleep_for(Millis(static_cast<int64_t>(300 + own() % 500)));
    }
    this->record.Count("arrivals of " + path + ": " +
                       std::to_string(this->record.CrashArrivals(path)));
    const size_t late = this->record.LateCrashArrivals(path);
    if (late > kSoakLateSends) {
      this->record.Violation("crashes", path + " was sent to targets " + std::to_string(late) +
                                            " times later than allowed");
    }
  }

  void Judge(Process& router, const std::string& id, bool safe, const CallerEnd& end) {
    const auto text = [&] {
      return id + (safe ? " (safe)" : " (unsafe)") + " at " + router.name + ", arrivals " +
             std::to_string(this->record.Arrivals(id)) + ", status " + std::to_string(end.status) +
             ", " + std::to_string(WholeMillis(end.ended - end.sent)) + " ms, " + end.detail;
    };
    if (end.kind == CallerEndKind::kMalformed) return this->record.Violation("malformed", text());
    if (end.kind == CallerEndKind::kAnswered) {
      this->record.Count("answered " + std::to_string(end.status));
      const int ran = safe ? 0 : this->record.Arrivals(id);
      const bool said_not_run = end.status == 503 || end.status == 429;
      if (ran > 1 || (ran > 0 && said_not_run)) this->record.Violation("untrue", text());
      return;
    }
    if (end.kind == CallerEndKind::kUnsent) return this->record.Count("connection closed between");
    const bool excused = router.WasKilled(end.sent - kTimeOfRequest, end.ended + kEndSlack);
    const bool passed_on = this->record.Arrivals(id) > 0;
    const bool late = end.ended - end.sent > kLossSlack;
    if (excused) return this->record.Count("cut by a kill or freeze");
    if (passed_on || late) return this->record.Violation("lost", text());
    this->record.Count("crossed the close of the connection");
  }

  // --- Disturbances ---

  void Disturb() {
    const bool router = this->Below(4) != 0;
    Group& group = router ? this->routers : this->controllers;
    Process& process = *group[static_cast<size_t>(this->Below(static_cast<int64_t>(group.size())))];
    // A majority of the controllers, and one router, are left alone.
    const auto busy = std::count_if(group.begin(), group.end(),
                                    [](const auto& other) { return other->busy.load(); });
    const size_t most = router ? group.size() - 1 : (group.size() - 1) / 2;
    if (process.busy || static_cast<size_t>(busy) >= most) return;
    const int64_t kind = this->Below(FLAGS_kills ? 10 : 6);
    const Duration pause = Millis(this->Below(600));
    const Duration between = Millis(this->Below(500));
    const bool fill = !router && FLAGS_full_disks && this->Below(3) == 0;
    process.busy = true;
    this->disturbances.emplace_back([this, &process, kind, pause, between, fill] {
      if (fill) {
        this->record.Count("full disks");
        process.SetDiskFull(true);
        std::this_thread::sleep_for(5 * pause);
        process.SetDiskFull(false);
      } else if (kind == 5) {
        this->record.Count("reloads");
        process.Signal(SIGHUP);
      } else if (kind < 5) {
        this->Stop(process, /*again=*/kind < 2 && FLAGS_second_signals, between, pause);
      } else if (kind < 8) {
        this->record.Count("kills");
        process.Kill();
        std::this_thread::sleep_for(pause);
        process.Start();
      } else {
        this->record.Count("freezes");
        process.Signal(SIGSTOP);
        std::this_thread::sleep_for(Millis(300) + 3 * pause);
        process.Signal(SIGCONT);
      }
      std::this_thread::sleep_for(Millis(300));
      process.busy = false;
    });
  }

  void Stop(Process& process, bool again, Duration between, Duration pause) {
    this->record.Count(again ? "stops with a second signal" : "stops");
    const SoakProcessState before = process.State();
    const Time began = SteadyNow();
    process.Signal(SIGTERM);
    if (again) {
      std::this_thread::sleep_for(between);
      process.Signal(SIGTERM);
    }
    if (!process.AwaitEnd(Millis(kGraceMs) - (SteadyNow() - began))) {
      const SoakProcessState after = process.State();
      this->record.Violation(
          "outlived", process.name + ", state " + after.state + " after " +
                          std::to_string(WholeMillis(SteadyNow() - began)) + " ms, of which " +
                          std::to_string(WholeMillis(after.cpu - before.cpu)) +
                          " ms on a processor and " +
                          std::to_string(WholeMillis(after.queued - before.queued)) +
                          " ms in the queue for one" + process.LastSigns());
      process.Kill();
    }
    std::this_thread::sleep_for(pause);
    process.Start();
  }

  static constexpr Duration kTimeOfRequest = Millis(kTimeoutMs);

  std::mt19937_64 random;  // used by the thread of Run() only
  std::string folder;
  std::string network;
  SoakRecord record;
  SoakLimits limits{this->record};
  Group controllers;
  Group routers;
  std::unique_ptr<SoakTargets> targets;
  std::atomic<bool> stopping{false};
  std::atomic<bool> calm{false};         // no disturbance for a while: all requests must be served
  std::atomic<bool> withdrawing{false};  // the operators withdraw their evacuations and end
  std::atomic<uint64_t> proposed{0};     // the newest version that was sent to a controller
  std::atomic<uint64_t> version{0};
  std::atomic<uint64_t> acked{0};
  std::atomic<uint64_t> checks{0};
  std::mutex mutex;
  std::vector<std::pair<Time, uint64_t>> confirmed;  // guarded by `mutex`
  std::vector<std::thread> threads;
  std::vector<std::thread> disturbances;
};

int Main() {
  Soak soak(FLAGS_seed);
  if (!soak.Start()) {
    std::cout << "the deployment did not start\n";
    return 2;
  }
  soak.Run(Duration(static_cast<int64_t>(FLAGS_seconds * 1'000'000)));
  return soak.Finish() ? 0 : 1;
}

}  // namespace
}  // namespace peridotgauge

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--daemon=FILE --seed=N --seconds=S: see the head of route_soak_main.cc");
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  return peridotgauge::Main();
}
