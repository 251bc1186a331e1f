// Tests targets outside the limits with many callers at once, against a router as a process of its
// own. Started by testing/hostile_clients_test.sh, as the tests of hostile clients. They guard
// against a router that ends, exceeds its memory or descriptors, or answers ordinary requests no
// more because of the responses of faulty targets.
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/hostile/hostile_crowd.h"
#include "testing/hostile/hostile_deployment.h"
#include "testing/hostile/hostile_target.h"

namespace peridotgauge {
namespace {

constexpr size_t kCallers = 400;
// With 40 connections to each (ConfigText()), all callers occupy a connection to a target at once.
constexpr size_t kFaultyTargets = 10;
constexpr Duration kCallersTime = Seconds(5);
constexpr int64_t kRouteTimeoutMs = 4'000;

// What a router may keep for its callers: 64 MiB with its usual memory of 160 MB, and the same
// share of the memory that is configured here. Beyond what it used before the callers came.
constexpr size_t kUsualMemoryMb = 160;
constexpr size_t kUsualKeptMb = 64;
constexpr size_t kMostKeptBytes = (kMemoryMb << 20) * kUsualKeptMb / kUsualMemoryMb;

// The share of descriptors that a router of the usual memory has, 4,100, for the memory here.
constexpr size_t kUsualDescriptors = 4'100;
constexpr HostSize kRouterSize{.descriptors = kUsualDescriptors * kMemoryMb / kUsualMemoryMb};

constexpr size_t kManyBytes = 8'000;  // of a head that is not longer than clients accept

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
// The fields that a sound target sends. All callers use the same request id.
const std::string kSoundFields =
    "Peridotgauge-Request-Id: crowd\r\nPeridotgauge-Server-Stamp: stamp\r\n";

std::string Repeated(const std::string& text, size_t bytes) {
  std::string out;
  while (out.size() + text.size() <= bytes) out += text;
  return out;
}

std::string WithoutLastByte(std::string text) {
  text.pop_back();
  return text;
}

std::string LengthField(size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

using Targets = std::vector<std::unique_ptr<HostileTarget>>;

// Lets callers use the path for a while. They open a connection for each request and wait for the
// answer. Checks the router while they are there and afterwards.
void CallMany(HostileDeployment& deployment, const std::string& path, const Targets& targets) {
  const size_t before = deployment.Process("router").PeakMemory();
  {
    HostileCrowd callers(deployment.At("router", kHttpPort), kCallers,
                         {.first = "GET " + path +
                                   " HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\n"
                                   "Peridotgauge-Request-Id: crowd\r\n\r\n",
                          .read = true});
    callers.Run(kCallersTime);
    CHECK(deployment.Process("router").OpenDescriptors() <=
          kRouterSize.descriptors - kRouterSize.descriptors / 8);
  }
  size_t requests = 0;
  size_t sent = 0;
  for (const auto& target : targets) {
    requests += target->Requests();
    sent += target->SentBytes();
  }
  const size_t after = deployment.Process("router").PeakMemory();
  std::cout << "  " << requests << " requests, " << (sent >> 20) << " MiB sent by targets, "
            << ((after - before) >> 10) << " KiB more than before the callers\n";
  CHECK(requests > 0);
  CHECK(after - before <= kMostKeptBytes);
  deployment.Check("router");
}

void CallFaultyTargets(const TargetPlan& plan) {
  HostileDeployment deployment(kRouterSize);
  Targets targets;
  std::vector<Address> addresses;
  for (size_t i = 0; i < kFaultyTargets; ++i) {
    targets.push_back(std::make_unique<HostileTarget>(deployment.TargetAddress(i), plan));
    addresses.push_back(targets.back()->address);
  }
  REQUIRE(deployment.AddRoute(RouteText("faulty", "/faulty/", "safe", kRouteTimeoutMs, "faulty"),
                              "/faulty/ready", {{"faulty", addresses}}));
  CallMany(deployment, "/faulty/crowd", targets);
}

TEST_CASE("targets that send bodies without end and without a length", "[hostile_clients]") {
  CallFaultyTargets({.first = kStatusLine + "\r\n", .repeat = std::string(65'536, 'x')});
}

TEST_CASE("targets that send bodies without end in chunks", "[hostile_clients]") {
  CallFaultyTargets({.first = kStatusLine + "Transfer-Encoding: chunked\r\n\r\n",
                     .repeat = "1000\r\n" + std::string(4'096, 'x') + "\r\n"});
}

TEST_CASE("targets whose complete responses have very many short header fields",
          "[hostile_clients]") {
  CallFaultyTargets({.first = kStatusLine + kSoundFields + Repeated("a:\r\n", kManyBytes) +
                              LengthField(2) + "\r\nok"});
}

TEST_CASE("targets that send very many short header fields", "[hostile_clients]") {
  const std::string fields = Repeated("a:\r\n", kManyBytes);
  SECTION("and whose body lacks its last byte") {
    CallFaultyTargets({.first = kStatusLine + kSoundFields + fields + LengthField(2) + "\r\no"});
  }
  SECTION("after the body") {
    CallFaultyTargets({.first = kStatusLine + kSoundFields +
                                "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
                                Repeated("a:\r\n", 60'000) + "\r\n"});
  }
}

// With this status line each full read of the router ends after the first byte of a field. A longer
// part of a field would end the exchange: the parser then waits for the end of the head, which it
// limits.
TEST_CASE("targets that send header fields without end", "[hostile_clients]") {
  CallFaultyTargets({.first = "HTTP/1.1 200 Good\r\n", .repeat = Repeated("a:\r\n", 4'096)});
}

// The last byte of the body is missing.
void CallWithShortBody(size_t bytes) {
  CallFaultyTargets({.first = kStatusLine + kSoundFields + LengthField(bytes) + "\r\n" +
                              std::string(bytes - 1, 'x')});
}

TEST_CASE("targets whose responses stop short of their end", "[hostile_clients]") {
  SECTION("a head") {
    CallFaultyTargets(
        {.first = WithoutLastByte(kStatusLine + Repeated("a:\r\n", kManyBytes) + "\r\n")});
  }
  SECTION("a body that fits into two reads") { CallWithShortBody(8'000); }
}

TEST_CASE("targets whose large bodies stop short of their end", "[hostile_clients]") {
  CallWithShortBody(1 << 20);
}

TEST_CASE("targets that send one byte at a time", "[hostile_clients]") {
  constexpr Duration kPause = Millis(10);
  CallFaultyTargets(
      {.first = kStatusLine + kSoundFields + LengthField(1'000) + "\r\n" + std::string(1'000, 'x'),
       .piece = 1,
       .pause = kPause});
}

// The router keeps the responses of the other shards until the last one has answered.
void GatherBesideSilentShard(const std::string& response) {
  HostileDeployment deployment(kRouterSize);
  Targets targets;
  std::map<std::string, std::vector<Address>> services;
  std::string shards;
  for (size_t i = 0; i < kFaultyTargets; ++i) {
    targets.push_back(std::make_unique<HostileTarget>(
        deployment.TargetAddress(i), TargetPlan{.first = i == 0 ? std::string() : response}));
    const std::string service = "shard-" + std::to_string(i);
    services[service] = {targets.back()->address};
    shards += (shards.empty() ? "\"" : ",\"") + service + "\"";
  }
  const std::string route =
      R"({"name":"gather","host":"test.example","pathPrefix":"/gather/","kind":"safe",)"
      R"("timeoutMs":4000,"targetLatencyMs":500,"priority":1,"maxAttempts":2,"topK":10,)"
      R"("minVersion":1,"gather":[)" +
      shards + "]}";
  REQUIRE(deployment.AddRoute(route, "/gather/ready", services));
  CallMany(deployment, "/gather/crowd", targets);
}

TEST_CASE("shards with very many short header fields beside one that does not answer",
          "[hostile_clients]") {
  GatherBesideSilentShard(kStatusLine + kSoundFields + Repeated("a:\r\n", kManyBytes) +
                          LengthField(16) + "\r\n" + std::string(16, 'x'));
}

void GatherRecords(size_t bytes) {
  GatherBesideSilentShard(kStatusLine + kSoundFields + LengthField(bytes) + "\r\n" +
                          std::string(bytes, 'x'));
}

TEST_CASE("shards with many records beside one that does not answer", "[hostile_clients]") {
  GatherRecords(8'000);
}
TEST_CASE("shards with large responses beside one that does not answer", "[hostile_clients]") {
  GatherRecords(1 << 20);
}

}  // namespace
}  // namespace peridotgauge
