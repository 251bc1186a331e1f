// Property test of the connection pool: late second copies of responses, in drawn orders with
// sendings of the same request and of others, on used, replaced and shared connections. Guards
// against a copy that is taken for the response to a later sending: the router then sends a request
// again that a target runs, or reports it as not run.
#include <rapidcheck.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "io/clock.h"
#include "io/http_client.h"
#include "raw_socket.h"

namespace peridotgauge {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Each sending carries a label of its own, which its response repeats.
constexpr std::string_view kLabel = "x-label";
// Repeats the status code of a response, which a copy that is cut off may hide.
constexpr std::string_view kStatus = "x-status";
constexpr size_t kRequests = 8;
constexpr int kMaxSendings = 4;
// Ends the calls whose response is lost behind a copy that was cut off.
constexpr Duration kDeadline = Millis(40);

// When the target sends the second copy of a refusal.
enum class CopyTime : uint8_t {
  kNever,
  kAtOnce,          // behind the refusal
  kWhileIdle,       // before the next request on the connection
  kBeforeNext,      // after the next request has arrived, before the response to it
  kAfterNext,       // behind the response to the next request
  kCutBeforeNext,   // as kBeforeNext, but only the first part of it
  kSplitRoundNext,  // the first part before, and the rest after the response to the next request
};
constexpr uint8_t kCopyTimes = 7;

// The choices of one schedule, drawn from a list that RapidCheck can shrink.
class Choices {
 public:
  explicit Choices(std::vector<uint8_t> bytes) : bytes(std::move(bytes)) {}
  uint8_t Below(uint8_t limit) {
    if (this->next == this->bytes.size()) return 0;
    return this->bytes[this->next++] % limit;
  }

 private:
  std::vector<uint8_t> bytes;
  size_t next = 0;
};

std::string HeaderOf(const std::string& head, std::string_view name) {
  const std::string key = "\r\n" + std::string(name) + ": ";
  const size_t begin = head.find(key);
  if (begin == std::string::npos) return "";
  const size_t value = begin + key.size();
  return head.substr(value, head.find("\r\n", value) - value);
}

// A target that refuses requests, answers them, or closes the connection, as drawn.
class Target {
 public:
  explicit Target(Choices& choices) : choices(choices) {}

  std::string Address() const { return this->listener.AddressText(); }
  // Labels of the sendings that the target has received.
  const std::set<std::string>& Received() const { return this->received; }

  void Poll() {
    this->listener.Accept();
    for (RawSocket& socket : this->listener.sockets) {
      Connection& connection = this->connections[&socket];
      if (!connection.open) continue;
      if (socket.Closed()) {
        connection.open = false;
        socket.Close();
        continue;
      }
      if (!connection.idle_copy.empty()) socket.Send(std::exchange(connection.idle_copy, ""));
      if (socket.Received(kHeadEnd)) this->Respond(socket, connection);
    }
  }

 private:
  struct Connection {
    bool open = true;
    std::string idle_copy;    // sent while the connection is idle
    std::string before_next;  // sent before the next response
    std::string after_next;   // sent behind it
  };

  void Respond(RawSocket& socket, Connection& connection) {
    const std::string head = std::exchange(socket.Text(), "");
    const std::string label = HeaderOf(head, kLabel);
    this->received.insert(label);
    const std::string before = std::exchange(connection.before_next, "");
    const std::string after = std::exchange(connection.after_next, "");
    const uint8_t action = this->choices.Below(8);
    if (action == 0) {  // it has read the request and breaks off
      connection.open = false;
      return socket.Close();
    }
    const bool refuse = action < 6;
    const std::string status = refuse ? "503" : "200";
    const std::string response =
        "HTTP/1.1 " + status + " OK\r\nx-run: 0\r\nx-id: " + HeaderOf(head, "x-id") + "\r\n" +
        std::string(kLabel) + ": " + label + "\r\n" + std::string(kStatus) + ": " + status +
        "\r\nContent-Length: 2\r\n\r\nok";
    std::string sent = before + response + after;
    const auto copy_time = static_cast<CopyTime>(this->choices.Below(kCopyTimes));
    const size_t cut = this->choices.Below(static_cast<uint8_t>(response.size()));
    const std::string first_part = response.substr(0, cut);
    switch (copy_time) {
      case CopyTime::kNever:
        break;
      case CopyTime::kAtOnce:
        sent += response;
        break;
      case CopyTime::kWhileIdle:
        connection.idle_copy = response;
        break;
      case CopyTime::kBeforeNext:
        connection.before_next = response;
        break;
      case CopyTime::kAfterNext:
        connection.after_next = response;
        break;
      case CopyTime::kCutBeforeNext:
        connection.before_next = first_part;
        break;
      case CopyTime::kSplitRoundNext:
        connection.before_next = first_part;
        connection.after_next = response.substr(cut);
        break;
    }
    socket.Send(sent);
  }

  Choices& choices;
  RawListener listener;
  std::map<RawSocket*, Connection> connections;
  std::set<std::string> received;
};

// A router that sends refused requests again, or gives them up.
class Sender {
 public:
  Sender(boost::asio::io_context& io, const Target& target, size_t connections, Choices& choices)
      : choices(choices), client(io, target.Address(), {.max_connections = connections}) {}

  void Begin(const std::string& id) {
    ++this->open;
    this->Send(id, std::make_shared<EchoedRequest>(HttpHeader{"x-id", id}), 1);
  }
  bool Done() const { return this->open == 0; }

  // The label of each sending, and of its response; behind it the status code.
  std::vector<std::pair<std::string, std::string>> responses;
  std::vector<std::string> unsent;  // labels of the sendings that have failed as not sent

 private:
  void Send(const std::string& id, const std::shared_ptr<EchoedRequest>& echo, int sending) {
    const std::string label = id + "/" + std::to_string(sending);
    HttpRequest request{
        .method = "POST", .path = "/", .headers = {{"x-id", id}, {std::string(kLabel), label}}};
    this->client.Send({.request = std::move(request),
                       .deadline = SteadyNow() + kDeadline,
                       .done =
                           [this, id, echo, sending, label](const HttpResult& result) {
                             if (!result && !result.error().sent) this->unsent.push_back(label);
                             if (result) {
                               this->responses.emplace_back(label, result->Header(kLabel));
                             }
                             const bool refused = result && result->status == 503;
                             if (refused && sending < kMaxSendings && this->choices.Below(2) == 0) {
                               return this->Send(id, echo, sending + 1);
                             }
                             --this->open;
                           },
                       .echo = echo});
  }

  Choices& choices;
  HttpClient client;
  size_t open = 0;  // requests
};

TEST_CASE("late copies answer no other sending", "[late_copies]") {
  const bool passed = rc::check("drawn schedules", [](std::vector<uint8_t> bytes, uint8_t limits) {
    Choices choices(std::move(bytes));
    boost::asio::io_context io;
    Target target(choices);
    const size_t connections = 1 + limits % 3;
    const size_t concurrent = 1 + limits / 3 % 3;
    Sender sender(io, target, connections, choices);
    const bool ended = [&] {
      for (size_t begun = 0; begun < kRequests;) {
        for (size_t i = 0; i < concurrent && begun < kRequests; ++i) {
          sender.Begin("q" + std::to_string(begun++));
        }
        const bool done = RunUntil(io, [&] {
          target.Poll();
          return sender.Done();
        });
        if (!done) return false;
      }
      return true;
    }();
    RC_ASSERT(ended);
    for (const auto& [label, answers] : sender.responses) RC_ASSERT(label == answers);
    for (const std::string& label : sender.unsent) RC_ASSERT(!target.Received().contains(label));
  });
  CHECK(passed);
}

}  // namespace
}  // namespace peridotgauge
