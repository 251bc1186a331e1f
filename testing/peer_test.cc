// Tests the framed transport. Guards against replies delivered to the wrong call, callbacks that
// are called twice or never, and malformed input that terminates the process.
#include "io/peer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "io/clock.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

wire::BodyUnion MakeRequest(const std::string& id) {
  wire::SubRequestT request;
  request.request_id = id;
  return ToBody(std::move(request));
}

wire::BodyUnion MakeReply(const std::string& id) {
  wire::SubReplyT reply;
  reply.request_id = id;
  return ToBody(std::move(reply));
}

// A server on a free port that holds its requests until the test replies to them.
struct Fixture {
  asio::io_context io;
  std::vector<std::pair<std::string, PeerRequest>> received;
  std::unique_ptr<PeerServer> server;
  Address address;

  Fixture() {
    this->server = std::make_unique<PeerServer>(
        this->io, "127.0.0.1:0", [this](wire::BodyUnion body, PeerRequest request) {
          this->received.emplace_back(body.AsSubRequest()->request_id, std::move(request));
        });
    this->address = "127.0.0.1:" + std::to_string(this->server->Port());
  }

  // Runs the event loop until the condition holds. Returns false after ten seconds.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const Time limit = SteadyNow() + Seconds(10);
    while (!condition() && SteadyNow() < limit) this->io.run_one_for(std::chrono::milliseconds(50));
    return condition();
  }
};

// Guards against connections without a complete frame that take the memory or the descriptors of
// the process.
TEST_CASE("a peer server bounds what its connections keep together", "[peer]") {
  asio::io_context io;
  const auto bytes = std::make_shared<ByteBudget>(1 << 20);
  PeerServer server(
      io, "127.0.0.1:0",
      [](const wire::BodyUnion&, const PeerRequest& request) { request.Reply(MakeReply("r")); },
      {.max_connections = 4, .bytes = bytes});
  const auto until = [&](const std::function<bool()>& condition) {
    const Time limit = SteadyNow() + Seconds(10);
    while (!condition() && SteadyNow() < limit) io.run_one_for(std::chrono::milliseconds(10));
    return condition();
  };
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), server.Port());
  const std::string part = std::string("\x00\x00\x0c\x00", 4) + std::string(700'000, 'x');
  PeerClient sound(io, "127.0.0.1:" + std::to_string(server.Port()));
  int replies = 0;
  const auto call = [&] {
    sound.Call(MakeRequest("a"), SteadyNow() + Seconds(60),
               [&](const Result<wire::BodyUnion>& reply) { replies += reply ? 1 : 0; });
  };
  call();
  REQUIRE(until([&] { return replies == 1; }));
  std::vector<tcp::socket> crowd;
  for (int i = 0; i < 3; ++i) {
    crowd.emplace_back(io);
    crowd.back().connect(endpoint);
    std::string_view rest = part;
    crowd.back().non_blocking(true);
    REQUIRE(until([&] {
      boost::system::error_code error;
      rest.remove_prefix(crowd.back().write_some(asio::buffer(rest), error));
      return rest.empty() || (error && error != asio::error::would_block);
    }));
  }
  REQUIRE(until([&] { return bytes->Cuts() >= 2 && bytes->Used() <= bytes->Limit(); }));
  for (int i = 0; i < 6; ++i) {
    crowd.emplace_back(io);
    crowd.back().connect(endpoint);
    call();
    REQUIRE(until([&] { return replies == 2 + i; }));
    CHECK(server.Connections() <= 4);
  }
  server.Close();
  CHECK(bytes->Used() == 0);
}

// Guards against requests that wait for their replies, or never get one, and take the memory of the
// process.
TEST_CASE("a peer server bounds what unanswered requests keep", "[peer]") {
  constexpr size_t kRequestTextBytes = 100'000;
  asio::io_context io;
  const auto bytes = std::make_shared<ByteBudget>(1 << 20);
  std::vector<PeerRequest> held;
  bool hold = true;
  size_t received = 0;
  PeerServer server(io, "127.0.0.1:0",
                    [&](const wire::BodyUnion&, PeerRequest request) {
                      ++received;
                      if (hold) held.push_back(std::move(request));
                    },
                    {.max_connections = 4, .bytes = bytes});
  const auto until = [&](const std::function<bool()>& condition) {
    const Time limit = SteadyNow() + Seconds(10);
    while (!condition() && SteadyNow() < limit) io.run_one_for(std::chrono::milliseconds(10));
    return condition();
  };
  PeerClient client(io, "127.0.0.1:" + std::to_string(server.Port()));
  size_t replies = 0;
  size_t failures = 0;
  const auto call = [&] {
    client.Call(MakeRequest(std::string(kRequestTextBytes, 'x')), SteadyNow() + Seconds(60),
                [&](const Result<wire::BodyUnion>& reply) { ++(reply ? replies : failures); });
  };
  // The buffers that a connection keeps between two frames.
  constexpr size_t kBuffers = 128 << 10;
  for (size_t i = 0; i < 5; ++i) call();
  REQUIRE(until([&] { return received == 5; }));
  CHECK(bytes->Used() >= 5 * kRequestTextBytes);
  for (const PeerRequest& request : held) request.Reply(MakeReply("r"));
  held.clear();
  REQUIRE(until([&] { return replies == 5; }));
  CHECK(until([&] { return bytes->Used() <= kBuffers; }));
  hold = false;  // nobody can answer
  for (size_t i = 0; i < 40; ++i) call();
  REQUIRE(until([&] { return received == 45; }));
  CHECK(until([&] { return bytes->Used() <= kBuffers; }));
  CHECK(bytes->Cuts() == 0);
  hold = true;
  for (size_t i = 0; i < 15; ++i) call();
  CHECK(until([&] { return failures == 55; }));
  CHECK(bytes->Cuts() == 1);
  CHECK(bytes->Used() <= kBuffers);
  for (const PeerRequest& request : held) CHECK_FALSE(request.Active());
}

TEST_CASE("peer calls", "[peer]") {
  Fixture f;
  PeerClient client(f.io, f.address);
  std::vector<std::string> replies;
  std::vector<ErrorCode> errors;
  const auto record_result = [&](Result<wire::BodyUnion> reply) {
    if (reply) replies.push_back(reply->AsSubReply()->request_id);
    if (!reply) errors.push_back(reply.error().code);
  };
  const Time far_deadline = SteadyNow() + Seconds(60);

  SECTION("each call gets its own reply when replies arrive out of order") {
    std::vector<std::string> expected;
    std::vector<std::string> got(20);
    for (int i = 0; i < 20; ++i) {
      client.Call(
          MakeRequest(std::to_string(i)), far_deadline,
          [&got, i](Result<wire::BodyUnion> reply) { got[i] = reply->AsSubReply()->request_id; });
    }
    REQUIRE(f.RunUntil([&] { return f.received.size() == 20; }));
    for (int i = 19; i >= 0; --i) f.received[i].second.Reply(MakeReply(f.received[i].first));
    REQUIRE(f.RunUntil([&] { return !got[0].empty(); }));
    for (int i = 0; i < 20; ++i) CHECK(got[i] == std::to_string(i));
  }
  SECTION("a second reply to a request is dropped") {
    client.Call(MakeRequest("a"), far_deadline, record_result);
    REQUIRE(f.RunUntil([&] { return f.received.size() == 1; }));
    f.received[0].second.Reply(MakeReply("first"));
    f.received[0].second.Reply(MakeReply("second"));
    client.Call(MakeRequest("b"), far_deadline, record_result);
    REQUIRE(f.RunUntil([&] { return f.received.size() == 2; }));
    f.received[1].second.Reply(MakeReply("b"));
    REQUIRE(f.RunUntil([&] { return replies.size() == 2; }));
    CHECK(replies == std::vector<std::string>{"first", "b"});
  }
  SECTION("a cancelled call notifies the server and never calls back") {
    const uint64_t id = client.Call(MakeRequest("a"), far_deadline, record_result);
    REQUIRE(f.RunUntil([&] { return f.received.size() == 1; }));
    bool cancelled = false;
    f.received[0].second.OnCancel([&] { cancelled = true; });
    client.Cancel(id);
    REQUIRE(f.RunUntil([&] { return cancelled; }));
    CHECK_FALSE(f.received[0].second.Active());
    CHECK((replies.empty() && errors.empty()));
  }
  SECTION("a call that exceeds its deadline fails and is cancelled at the server") {
    client.Call(MakeRequest("a"), SteadyNow() + Millis(50), record_result);
    REQUIRE(f.RunUntil([&] { return f.received.size() == 1; }));
    REQUIRE(f.RunUntil([&] { return errors.size() == 1 && !f.received[0].second.Active(); }));
    CHECK(errors[0] == ErrorCode::kDeadlineExceeded);
  }
  SECTION("a call fails with an unknown outcome if the connection closes after sending") {
    client.Call(MakeRequest("a"), far_deadline, record_result);
    REQUIRE(f.RunUntil([&] { return f.received.size() == 1; }));
    f.server->Close();
    REQUIRE(f.RunUntil([&] { return errors.size() == 1; }));
    CHECK(errors[0] == ErrorCode::kConnectionLost);

    SECTION("and a call that cannot connect is known not to have been sent") {
      client.Call(MakeRequest("b"), far_deadline, record_result);
      REQUIRE(f.RunUntil([&] { return errors.size() == 2; }));
      CHECK(errors[1] == ErrorCode::kUnavailable);
      CHECK(InfoOf(errors[1]).not_run);
    }
  }
}

TEST_CASE("the peer server closes connections with malformed input", "[peer]") {
  Fixture f;
  const std::vector<std::string> malformed_inputs = {
      std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\xff\xff\xff\x7f", 4),
      std::string("\x00\x00\x00\x00", 4), std::string("\x08\x00\x00\x00zzzzzzzz", 12)};
  for (const std::string& bytes : malformed_inputs) {
    tcp::socket socket(f.io);
    socket.connect({asio::ip::make_address("127.0.0.1"), f.server->Port()});
    asio::write(socket, asio::buffer(bytes));
    bool closed = false;
    char byte = 0;
    socket.async_read_some(asio::buffer(&byte, 1), [&](boost::system::error_code error, size_t) {
      closed = error.failed();
    });
    CHECK(f.RunUntil([&] { return closed; }));
  }
  PeerClient client(f.io, f.address);
  client.Call(MakeRequest("a"), SteadyNow() + Seconds(60), [](const Result<wire::BodyUnion>&) {});
  CHECK(f.RunUntil([&] { return f.received.size() == 1; }));
}

}  // namespace
}  // namespace peridotgauge
