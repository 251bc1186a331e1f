// Tests crowds of clients outside the limits against real processes. They guard against a process
// that ends, exceeds the memory or the descriptors of its host, or serves ordinary callers no more.
//
// Started by testing/hostile_clients_test.sh one test case at a time, with the program of the
// daemon in the environment variable PERIDOTGAUGED. They check no times and no share of served
// requests.
//
// With --kind, sends one attack of a chosen size instead and prints what it made the process keep:
//   hostile_clients --kind=fields --process=router --port=http --method=GET --path=/s/crowd
//       --connections=5000 --memory=160 --descriptors=4100 --seconds=5
#define CATCH_CONFIG_RUNNER

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "io/clock.h"
#include "testing/hostile/hostile_crowd.h"
#include "testing/hostile/hostile_deployment.h"
#include "testing/route_deployment.h"

namespace peridotgauge {
namespace {

constexpr size_t kMaxBodyBytes = 262'144;  // of the configuration's limits for callers
constexpr size_t kMaxHeaderBytes = 16'384;
constexpr Duration kCrowdTime = Seconds(2);

const Place kRoute{"router", kHttpPort, "GET", "/s/crowd"};
const Place kNoRoute{"router", kHttpPort, "GET", "/none"};
const Place kReadiness{"router", kHealthPort, "GET", "/readiness"};
const Place kGetConfig{"controller", kHttpPort, "GET", "/config"};
const Place kPutConfig{"controller", kHttpPort, "PUT", "/config"};
const Place kInstance{"controller", kHttpPort, "PUT", "/instances/i-crowd"};
const Place kResolve{"controller", kDirectoryPort, "GET", "/resolve"};
const Place kEvacuate{"controller", kHttpPort, "POST", "/evacuations/z-none"};
const Place kExplain{"router", kMetricsPort, "POST", "/v1/explain"};

std::string Head(const Place& place, const std::string& fields = "") {
  return place.method + " " + place.path +
         " HTTP/1.1\r\nHost: test.example\r\nPeridotgauge-Request-Id: crowd\r\n" + fields + "\r\n";
}

std::string WithBody(const Place& place, const std::string& body, size_t missing = 0) {
  return Head(place, "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body.substr(0, body.size() - missing);
}

std::string Chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

std::string Repeated(const std::string& text, size_t bytes) {
  std::string out;
  while (out.size() + text.size() <= bytes) out += text;
  return out;
}

// A head of legal size that consists of fields of five bytes.
std::string HeadOfShortFields(const Place& place) {
  const std::string plain = Head(place);
  return Head(place, Repeated("a:b\r\n", kMaxHeaderBytes - plain.size()));
}

// Lets the crowd send for a while, and checks the processes while it is there and after it.
void Attack(const Place& place, size_t connections, HostilePlan plan,
            Duration length = kCrowdTime) {
  HostileDeployment deployment;
  {
    HostileCrowd crowd(deployment.At(place.process, place.port), connections, std::move(plan));
    crowd.Run(length);
    CHECK(crowd.SentBytes() > 0);
    CHECK(deployment.Process(place.process).OpenDescriptors() <= kDescriptors - kDescriptors / 8);
  }
  deployment.Check(place.process);
}

Place Post(Place place) {
  if (place.method == "GET") place.method = "POST";
  return place;
}

constexpr size_t kCrowd = 400;

// Guards against limits that a single request within the limits for callers reaches.
TEST_CASE("single requests at the limits are served", "[hostile_clients]") {
  HostileDeployment deployment;
  HttpRequest request = CallerRequest("fields", "GET", "/s/ordinary", kCallTimeout);
  // Call() does not send the same field twice; names of one letter and a number differ.
  size_t bytes = 300;  // of the other fields and the request line
  for (size_t i = 0;; ++i) {
    const std::string name = "a" + std::to_string(i);
    bytes += name.size() + std::string_view(": \r\n").size();
    if (bytes > kMaxHeaderBytes) break;
    request.headers.push_back({name, ""});
  }
  CHECK(request.headers.size() > 1'500);
  const auto fields = Call(deployment.At("router", kHttpPort), request, kCallTimeout);
  REQUIRE(fields);
  CHECK(fields->status == 200);
  request = CallerRequest("body", "POST", "/s/ordinary", kCallTimeout);
  request.body = std::string(kMaxBodyBytes, 'x');
  const auto body = Call(deployment.At("router", kHttpPort), request, kCallTimeout);
  REQUIRE(body);
  CHECK(body->status == 200);
  deployment.Check("router");
}

TEST_CASE("bodies that lack their last byte in one piece", "[hostile_clients]") {
  const Place place = Post(GENERATE(kRoute, kNoRoute, kReadiness, kPutConfig));
  CAPTURE(place.path);
  Attack(place, kCrowd, {.first = WithBody(place, std::string(kMaxBodyBytes, 'x'), 1)});
}

TEST_CASE("bodies that lack their last byte in small pieces", "[hostile_clients]") {
  const Place place = Post(kRoute);
  Attack(place, kCrowd,
         {.first = WithBody(place, std::string(kMaxBodyBytes, 'x'), 1), .piece = 4'096},
         2 * kCrowdTime);
}

TEST_CASE("bodies that lack their last byte in chunks", "[hostile_clients]") {
  const Place place = Post(GENERATE(kRoute, kInstance));
  CAPTURE(place.path);
  Attack(place, kCrowd,
         {.first = Head(place, "Transfer-Encoding: chunked\r\n") +
                   Repeated(Chunk(std::string(1'000, 'x')), kMaxBodyBytes)});
}

TEST_CASE("bodies far over the limit", "[hostile_clients]") {
  SECTION("announced") {
    const Place place = Post(kRoute);
    Attack(
        place, kCrowd,
        {.first = Head(place, "Content-Length: 99999999\r\n"), .repeat = std::string(65'536, 'x')});
  }
  SECTION("in chunks") {
    Attack(kPutConfig, kCrowd,
           {.first = Head(kPutConfig, "Transfer-Encoding: chunked\r\n"),
            .repeat = Chunk(std::string(65'536, 'x'))});
  }
}

TEST_CASE("heads of short fields at a route", "[hostile_clients]") {
  Attack(kRoute, kCrowd, {.repeat = HeadOfShortFields(kRoute)});
}
TEST_CASE("heads of short fields at a path without a route", "[hostile_clients]") {
  Attack(kNoRoute, kCrowd, {.repeat = HeadOfShortFields(kNoRoute)});
}
TEST_CASE("heads of short fields at the readiness path", "[hostile_clients]") {
  Attack(kReadiness, kCrowd, {.repeat = HeadOfShortFields(kReadiness)});
}
TEST_CASE("heads of short fields at /config", "[hostile_clients]") {
  Attack(kGetConfig, kCrowd, {.repeat = HeadOfShortFields(kGetConfig)});
}
TEST_CASE("heads of short fields at /instances", "[hostile_clients]") {
  Attack(kInstance, kCrowd, {.repeat = HeadOfShortFields(kInstance)});
}
TEST_CASE("heads of short fields at /resolve", "[hostile_clients]") {
  Attack(kResolve, kCrowd, {.repeat = HeadOfShortFields(kResolve)});
}

// The parser keeps the fields of a head that is not complete.
TEST_CASE("heads of short fields that lack their last byte", "[hostile_clients]") {
  const Place place = GENERATE(kRoute, kReadiness, kGetConfig);
  CAPTURE(place.path);
  std::string head = HeadOfShortFields(place);
  head.pop_back();
  Attack(place, kCrowd, {.first = head});
}

TEST_CASE("requests ahead without reading the answers", "[hostile_clients]") {
  const Place place = GENERATE(kRoute, kReadiness, kGetConfig);
  CAPTURE(place.path);
  Attack(place, kCrowd, {.repeat = Head(place)});
}

TEST_CASE("large bodies ahead without reading the answers", "[hostile_clients]") {
  const Place place = Post(kRoute);
  Attack(place, kCrowd, {.repeat = WithBody(place, std::string(kMaxBodyBytes, 'x'))});
}

// The crowd is larger than the process may open descriptors. It stays while an ordinary caller
// comes.
TEST_CASE("endless heads on more connections than there are descriptors", "[hostile_clients]") {
  const Place place = GENERATE(kRoute, kGetConfig);
  CAPTURE(place.path);
  const HostSize scarce{.descriptors = kScarceDescriptors};
  HostileDeployment deployment(scarce, scarce);
  {
    HostileCrowd crowd(deployment.At(place.process, place.port), 2 * kScarceDescriptors,
                       {.first = place.method + " " + place.path + " HTTP/1.1\r\n",
                        .repeat = "x-header: value\r\n",
                        .piece = 1});
    crowd.Start();
    std::this_thread::sleep_for(kCrowdTime);
    CHECK(deployment.Process(place.process).OpenDescriptors() <=
          kScarceDescriptors - kScarceDescriptors / 8);
    CHECK((place.process == "router" ? deployment.Answers() : deployment.ControllerAnswers()));
  }
  deployment.Check(place.process);
}

TEST_CASE("connections that send nothing and take all descriptors", "[hostile_clients]") {
  const HostSize scarce{.descriptors = kScarceDescriptors};
  HostileDeployment deployment(scarce, scarce);
  {
    HostileCrowd crowd(deployment.At("router", kHealthPort), 2 * kScarceDescriptors, {.first = ""});
    crowd.Start();
    std::this_thread::sleep_for(kCrowdTime);
    CHECK(deployment.Process("router").OpenDescriptors() <=
          kScarceDescriptors - kScarceDescriptors / 8);
    CHECK(deployment.Answers());
  }
  deployment.Check("router");
}

TEST_CASE("slow senders", "[hostile_clients]") {
  const Place place = Post(kRoute);
  Attack(place, kCrowd, {.first = WithBody(place, std::string(kMaxBodyBytes, 'x')), .piece = 1});
}

TEST_CASE("slow readers", "[hostile_clients]") {
  Place place = kRoute;
  SECTION("of small answers") { Attack(place, kCrowd, {.repeat = Head(place), .read_bytes = 1}); }
  SECTION("of large answers") {
    place.path = "/s/large";
    Attack(place, 100, {.repeat = Head(place), .read_bytes = 100});
  }
}

TEST_CASE("clients that reset half-way", "[hostile_clients]") {
  const Place place = Post(kRoute);
  Attack(place, kCrowd,
         {.first = WithBody(place, std::string(kMaxBodyBytes, 'x')),
          .reset_after = kMaxBodyBytes / 2});
}

TEST_CASE("bodies of many short JSON fields", "[hostile_clients]") {
  const Place place = GENERATE(kPutConfig, kInstance);
  CAPTURE(place.path);
  std::string fields;
  for (size_t i = 0; fields.size() + 16 < kMaxBodyBytes; ++i) {
    fields += (fields.empty() ? "\"" : ",\"") + std::to_string(i) + "\":1";
  }
  Attack(place, kCrowd, {.repeat = WithBody(place, "{" + fields + "}")});
}

// Each request that is executed writes an entry of the log.
TEST_CASE("evacuations ahead without reading the answers", "[hostile_clients]") {
  Attack(kEvacuate, kCrowd, {.repeat = Head(kEvacuate)});
}

TEST_CASE("heads of short fields at /evacuations", "[hostile_clients]") {
  Attack(kEvacuate, kCrowd, {.repeat = HeadOfShortFields(kEvacuate)});
}

TEST_CASE("long queries of /resolve", "[hostile_clients]") {
  Place place = kResolve;
  place.path += "?" + Repeated("a=b&", kMaxHeaderBytes - Head(place).size() - 1);
  Attack(place, kCrowd, {.repeat = Head(place)});
}

TEST_CASE("bodies at /v1/explain", "[hostile_clients]") {
  constexpr size_t kExplainBytes = 128 << 10;  // kMaxExplainBodyBytes
  std::string body;
  SECTION("many short JSON fields") {
    for (size_t i = 0; body.size() + 16 < kExplainBytes; ++i) {
      body += (body.empty() ? "{\"" : ",\"") + std::to_string(i) + "\":1";
    }
    body += "}";
  }
  SECTION("a valid question with a long path") {
    body =
        R"({"method":"GET","host":"test.example","path":"/s/)" + std::string(16'000, 'x') + R"("})";
  }
  Attack(kExplain, kCrowd, {.repeat = WithBody(kExplain, body)});
}

TEST_CASE("bytes without end at the peer port", "[hostile_clients]") {
  const Place place =
      GENERATE(Place{"router", kPeerPort, "", ""}, Place{"controller", kPeerPort, "", ""});
  CAPTURE(place.process);
  // Frames of 4 MiB less a little, which come piece by piece and of which the last byte is missing.
  const std::string length{"\x00\x00\x3f\x00", 4};
  Attack(place, 60, {.first = length + std::string((63 << 16) - 1, 'x')});
}

// Time after a chosen attack for an ordinary request to be answered. Only ends attacks that fail: a
// full backlog of connections takes 20 s and more on a busy machine.
constexpr Duration kChosenTimeout = Seconds(60);

// An attack of a chosen size, started by hand.
struct ChosenAttack {
  std::string kind;
  std::string process = "router";
  std::string port = "http";
  std::string method = "GET";
  std::string path = "/s/crowd";
  size_t connections = kCrowd;
  size_t seconds = 5;
  HostSize size;
};

std::string JsonOfShortFields() {
  std::string fields;
  for (size_t i = 0; fields.size() + 16 < kMaxBodyBytes; ++i) {
    fields += (fields.empty() ? "\"" : ",\"") + std::to_string(i) + "\":1";
  }
  return "{" + fields + "}";
}

// Returns the plan of a kind of sending, or nothing for an unknown kind.
std::optional<HostilePlan> PlanOf(const std::string& kind, const Place& place) {
  const Place post = Post(place);
  const std::string body(kMaxBodyBytes, 'x');
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = Repeated(Chunk(std::string(1'000, 'x')), kMaxBodyBytes);
  if (kind == "body_short") return HostilePlan{.first = WithBody(post, body, 1)};
  if (kind == "body_pieces") {
    return HostilePlan{.first = WithBody(post, body, 1), .piece = 4'096};
  }
  if (kind == "body_chunks") return HostilePlan{.first = Head(post, chunked) + chunks};
  if (kind == "body_over") {
    return HostilePlan{.first = Head(post, "Content-Length: 99999999\r\n"),
                       .repeat = std::string(65'536, 'x')};
  }
  if (kind == "chunks_over") {
    return HostilePlan{.first = Head(post, chunked), .repeat = Chunk(std::string(65'536, 'x'))};
  }
  if (kind == "trailers") {
    return HostilePlan{.repeat = Head(post, chunked) + Chunk("x") + "0\r\n" +
                                 Repeated("a:b\r\n", kMaxHeaderBytes) + "\r\n"};
  }
  if (kind == "fields") return HostilePlan{.repeat = HeadOfShortFields(place)};
  if (kind == "fields_stop") {
    std::string head = HeadOfShortFields(place);
    head.pop_back();
    return HostilePlan{.first = head};
  }
  if (kind == "json") return HostilePlan{.repeat = WithBody(post, JsonOfShortFields())};
  if (kind == "ahead") return HostilePlan{.repeat = Head(place)};
  if (kind == "bodies_ahead") return HostilePlan{.repeat = WithBody(post, body)};
  if (kind == "slow_send") return HostilePlan{.first = WithBody(post, body), .piece = 1};
  if (kind == "slow_read") return HostilePlan{.repeat = Head(place), .read_bytes = 100};
  if (kind == "reads") return HostilePlan{.repeat = Head(place), .read = true};
  if (kind == "reset") {
    return HostilePlan{.first = WithBody(post, body), .reset_after = kMaxBodyBytes / 2};
  }
  if (kind == "endless_head") {
    return HostilePlan{.first = place.method + " " + place.path + " HTTP/1.1\r\n",
                       .repeat = "x-header: value\r\n",
                       .piece = 17};
  }
  if (kind == "silent") return HostilePlan{};
  if (kind == "frame_short") {
    return HostilePlan{.first =
                           std::string{"\x00\x00\x3f\x00", 4} + std::string((63 << 16) - 1, 'x')};
  }
  return std::nullopt;
}

ChosenAttack chosen;  // set by main()

// Prints the highest memory and descriptors of the attacked process, and whether ordinary requests
// were answered beside the crowd and after it. Hidden: it runs only with --kind.
TEST_CASE("an attack of a chosen size", "[.chosen]") {
  const std::map<std::string, int> ports{{"http", kHttpPort},
                                         {"health", kHealthPort},
                                         {"directory", kDirectoryPort},
                                         {"metrics", kMetricsPort},
                                         {"peer", kPeerPort}};
  const auto port = ports.find(chosen.port);
  REQUIRE(port != ports.end());
  const Place place{chosen.process, port->second, chosen.method, chosen.path};
  const std::optional<HostilePlan> plan = PlanOf(chosen.kind, place);
  REQUIRE(plan);
  const HostSize usual{.memory_mb = 256, .descriptors = 4'096};
  HostileDeployment deployment(chosen.process == "router" ? chosen.size : usual,
                               chosen.process == "router" ? usual : chosen.size);
  HostProcess& attacked = deployment.Process(chosen.process);
  const auto served = [&] {
    return chosen.process == "router" ? deployment.Answers() : deployment.ControllerAnswers();
  };
  size_t descriptors = 0;
  size_t asked = 0;
  size_t answered = 0;
  size_t sent = 0;
  {
    HostileCrowd crowd(deployment.At(place.process, place.port), chosen.connections, *plan);
    crowd.Start();
    const Time end = SteadyNow() + Seconds(static_cast<int64_t>(chosen.seconds));
    std::thread caller([&] {
      while (SteadyNow() < end) {
        ++asked;
        if (served()) ++answered;
        std::this_thread::sleep_for(Millis(200));
      }
    });
    while (SteadyNow() < end && attacked.Running()) {
      std::this_thread::sleep_for(Millis(100));
      descriptors = std::max(descriptors, attacked.OpenDescriptors());
    }
    crowd.Stop();
    sent = crowd.SentBytes();
    caller.join();
  }
  const Time left = SteadyNow();
  bool afterwards = false;
  while (!afterwards && attacked.Running() && SteadyNow() < left + kChosenTimeout) {
    afterwards = served();
  }
  const bool alive = attacked.Running();
  std::cout << "| " << chosen.kind << " | " << place.process << " " << chosen.port << " "
            << place.method << " " << place.path << " | " << chosen.connections << " | "
            << (sent >> 20) << " | " << (alive ? attacked.PeakMemory() >> 20 : 0) << " | "
            << descriptors << " | " << answered << " of " << asked << " | "
            << (!alive ? "process ended"
                : afterwards
                    ? "after " +
                          std::to_string(static_cast<int64_t>(ToMillis(SteadyNow() - left))) + " ms"
                    : "no")
            << " |" << std::endl;
  CHECK(alive);
  CHECK(afterwards);
  CHECK(attacked.PeakMemory() <= chosen.size.memory_mb << 20);
}

}  // namespace
}  // namespace peridotgauge

int main(int argc, char** argv) {
  using Catch::clara::Opt;
  auto& chosen = peridotgauge::chosen;
  Catch::Session session;
  session.cli(session.cli() | Opt(chosen.kind, "kind")["--kind"]("sends one attack of this kind") |
              Opt(chosen.process, "name")["--process"]("router or controller") |
              Opt(chosen.port, "name")["--port"]("http, health, directory, metrics or peer") |
              Opt(chosen.method, "method")["--method"]("of the requests") |
              Opt(chosen.path, "path")["--path"]("of the requests") |
              Opt(chosen.connections, "count")["--connections"]("size of the crowd") |
              Opt(chosen.seconds, "seconds")["--seconds"]("for which the crowd sends") |
              Opt(chosen.size.memory_mb, "MiB")["--memory"]("memory_mb of the attacked process") |
              Opt(chosen.size.descriptors, "count")["--descriptors"]("of the attacked process"));
  const int error = session.applyCommandLine(argc, argv);
  if (error != 0) return error;
  if (!chosen.kind.empty()) session.configData().testsOrTags = {"[.chosen]"};
  return session.run();
}
