// Tests targets that answer with bytes without end. They guard against a router that keeps all of
// them until it runs out of memory and the requests of other callers end with it.
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/address.h"
#include "route_deployment.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr size_t kMemory = 256 << 20;  // of the router
// Half of it is for all that it keeps for others.
constexpr size_t kMostKeptBytes = kMemory / 2;
constexpr Duration kTimeout = Millis(1'500);

// The beginning of an answer, and what is sent after it again and again.
struct EndlessAnswer {
  std::string name;
  std::string head;
  std::string piece;
};

std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string bytes(4'096, 'x');
  return {
      {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", bytes},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1000\r\n" + bytes + "\r\n"},
      {"a body that is longer than allowed",
       "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", bytes},
      {"header lines", "HTTP/1.1 200 OK\r\n", "x-header: value\r\n"},
      {"one header line", "HTTP/1.1 200 OK\r\nx-header: ", bytes},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
}

// Answers the first bytes of every connection in the same way, until the connection is closed.
class EndlessTarget {
 public:
  EndlessTarget(Address address, EndlessAnswer answer)
      : address(std::move(address)), answer(std::move(answer)), acceptor(this->loop.io) {
    this->loop.Run([this] {
      const Endpoint endpoint = *ParseAddress(this->address);
      this->acceptor = Tcp::acceptor(
          this->loop.io, Tcp::endpoint(asio::ip::make_address(endpoint.host), endpoint.port));
      this->Accept();
    });
  }
  ~EndlessTarget() {
    this->loop.Run([this] { this->acceptor.close(); });
  }

  const Address address;

 private:
  struct Connection {
    explicit Connection(Tcp::socket socket) : socket(std::move(socket)) {}
    Tcp::socket socket;
    char request[4'096] = {};
  };

  void Accept() {
    this->acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
      if (error) return;
      auto connection = std::make_shared<Connection>(std::move(socket));
      connection->socket.async_read_some(
          asio::buffer(connection->request),
          [this, connection](boost::system::error_code failed, size_t) {
            if (!failed) this->Send(connection, this->answer.head);
          });
      this->Accept();
    });
  }
  void Send(const std::shared_ptr<Connection>& connection, const std::string& text) {
    asio::async_write(connection->socket, asio::buffer(text),
                      [this, connection](boost::system::error_code failed, size_t) {
                        if (!failed) this->Send(connection, this->answer.piece);
                      });
  }

  const EndlessAnswer answer;
  LoopThread loop;
  Tcp::acceptor acceptor;
};

size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Measures the most bytes that the process allocates beyond those at the start.
class AllocationMeter {
 public:
  AllocationMeter() : before(AllocatedBytes()), thread([this] { this->Measure(); }) {}
  ~AllocationMeter() { this->Stop(); }
  size_t Stop() {
    this->stopped = true;
    if (this->thread.joinable()) this->thread.join();
    return this->most;
  }

 private:
  void Measure() {
    while (!this->stopped) {
      const size_t now = AllocatedBytes();
      if (now > this->before) this->most = std::max(this->most, now - this->before);
      std::this_thread::sleep_for(Millis(1));
    }
  }

  const size_t before;
  size_t most = 0;
  std::atomic<bool> stopped{false};
  std::thread thread;
};

TEST_CASE("targets that answer with bytes without end", "[endless_response]") {
  constexpr size_t kFaultyTargets = 4;
  constexpr size_t kFaultyCallers = 128;
  constexpr size_t kSoundCallers = 2;
  const std::vector<EndlessAnswer> answers = EndlessAnswers();
  const auto index = GENERATE(range(size_t{0}, size_t{6}));
  REQUIRE(index < answers.size());
  CAPTURE(answers[index].name);

  RouteDeployment deployment({});
  const auto route = [](const std::string& service) {
    return RouteText(service, "/" + service + "/", "safe", WholeMillis(kTimeout), service);
  };
  REQUIRE(deployment.Apply(ConfigText(1, {route("faulty"), route("sound")}, {"faulty", "sound"})));
  RouteTarget sound(deployment.NewAddress(), [](const HttpRequest&) { return Duration(0); });
  REQUIRE(deployment.Heartbeat(0, "i-sound", HeartbeatText("sound", sound.address, "ready", 1)));
  std::vector<std::unique_ptr<EndlessTarget>> faulty;
  for (size_t i = 0; i < kFaultyTargets; ++i) {
    faulty.push_back(std::make_unique<EndlessTarget>(deployment.NewAddress(), answers[index]));
    REQUIRE(deployment.Heartbeat(0, "i-" + std::to_string(i),
                                 HeartbeatText("faulty", faulty.back()->address, "ready", 1)));
  }
  REQUIRE(deployment.AwaitRoute("/sound/ready"));

  const Address router = deployment.RouterAddress(0);
  std::atomic<int> unanswered = 0;
  std::atomic<int> answered_well = 0;
  std::atomic<int> incomplete = 0;
  AllocationMeter meter;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kFaultyCallers; ++i) {
    callers.emplace_back([&, i] {
      const auto answer =
          Call(router, CallerRequest("f-" + std::to_string(i), "GET", "/faulty/x", kTimeout),
               kTimeout + Seconds(5));
      if (!answer) ++unanswered;
      if (answer && answer->status < 500) ++answered_well;
    });
  }
  for (size_t i = 0; i < kSoundCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int k = 0; k < 5; ++k) {
        const std::string id = "s-" + std::to_string(i) + "-" + std::to_string(k);
        const auto answer =
            Call(router, CallerRequest(id, "GET", "/sound/large", kTimeout), kTimeout + Seconds(5));
        if (!answer || answer->status != 200 || answer->body.size() != kLargeAnswerBytes) {
          ++incomplete;
        }
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(meter.Stop() <= kMostKeptBytes);
  // Every caller gets an answer that says that the request may have run, and sound ones their own.
  CHECK(unanswered == 0);
  CHECK(answered_well == 0);
  CHECK(incomplete == 0);
}

}  // namespace
}  // namespace peridotgauge
