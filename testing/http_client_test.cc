// Tests of the connection pool. They guard against reuse of a connection whose exchange did not
// complete, against a false report that nothing was sent, and against exceeding the limit.
#include "io/http_client.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <cctype>
#include <optional>
#include <string>
#include <vector>

#include "io/clock.h"
#include "raw_socket.h"
#include "testing/loopback_network.h"

namespace peridotgauge {
namespace {

constexpr std::string_view kReplyHeader = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

struct Outcome {
  std::optional<HttpResult> result;
  int released = 0;
};

struct Fixture {
  explicit Fixture(HttpClientOptions options = {.max_connections = 1, .min_connections = 0},
                   StrayCallback on_stray = {})
      : client(std::make_unique<HttpClient>(this->io, this->peer.AddressText(), options,
                                            std::move(on_stray))) {}

  // Starts a call whose outcome is stored in `outcome`, which must not move.
  uint64_t Send(Outcome& outcome, Duration budget = Seconds(10), std::string body = "{}",
                bool idempotent = false) {
    HttpRequest request{.method = "POST", .path = "/search", .query = {}, .headers = {}};
    request.body = std::move(body);
    return this->client->Send({.request = std::move(request),
                               .deadline = SteadyNow() + budget,
                               .done =
                                   [&outcome](HttpResult result) {
                                     REQUIRE_FALSE(outcome.result);
                                     CHECK(outcome.released == 0);
                                     outcome.result = std::move(result);
                                   },
                               .released = [&outcome] { ++outcome.released; },
                               .echo = this->echo,
                               .identifying_header = this->identifying_header,
                               .idempotent = idempotent});
  }
  bool Until(const std::function<bool()>& condition) {
    return RunUntil(this->io, [&] {
      this->peer.Accept();
      return condition();
    });
  }
  // Waits until the peer has `count` connections and the last has received a complete request head.
  RawSocket& WaitForRequest(size_t count) {
    REQUIRE(this->Until([&] {
      return this->peer.sockets.size() == count && this->peer.sockets.back().Received(kHeaderEnd);
    }));
    return this->peer.sockets.back();
  }
  void Reply(RawSocket& socket, const std::string& body) {
    socket.Text().clear();
    socket.Send(std::string(kReplyHeader) + body);
  }

  boost::asio::io_context io;
  RawListener peer;
  std::unique_ptr<HttpClient> client;
  std::shared_ptr<EchoedRequest> echo;  // used by later calls of Send()
  std::string_view identifying_header;  // as above
};

// Returns a response with a body of two bytes that echoes the id of a request.
std::string EchoingResponse(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\n" + body;
}

TEST_CASE("http_client reuses a connection after a complete exchange", "[http_client]") {
  Fixture fixture;
  Outcome first;
  Outcome second;
  fixture.Send(first);
  fixture.Send(second);
  RawSocket& socket = fixture.WaitForRequest(1);
  // The limit is one connection, so the second call waits for the first.
  CHECK(fixture.client->Status().waiting == 1);
  CHECK(socket.Text().find("POST", 1) == std::string::npos);
  fixture.Reply(socket, "r1");
  fixture.WaitForRequest(1);
  fixture.Reply(socket, "r2");
  REQUIRE(fixture.Until([&] { return second.released == 1; }));
  CHECK((*first.result)->body == "r1");
  CHECK((*second.result)->body == "r2");
  CHECK(first.released == 1);
  CHECK(fixture.client->Status().opened == 1);
}

// Load pattern: a target sends responses to other requests before the one that belongs to the call.
TEST_CASE("http_client discards a response to another request", "[http_client]") {
  std::vector<std::string> discarded;
  Fixture fixture({.max_connections = 1}, [&](const HttpHeader& echo, std::string_view value) {
    discarded.push_back(echo.value + " got " + std::string(value));
  });
  Outcome outcome;
  fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q7"});
  fixture.Send(outcome);
  RawSocket& socket = fixture.WaitForRequest(1);
  SECTION("and accepts its own, which arrives together with it") {
    socket.Send(EchoingResponse("q6", "no") + EchoingResponse("q7", "r1"));
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    CHECK((*outcome.result)->body == "r1");
    CHECK(discarded == std::vector<std::string>{"q7 got q6"});
    CHECK(fixture.client->Status().idle == 1);
  }
  SECTION("and accepts its own, which arrives later") {
    socket.Send(EchoingResponse("q6", "no"));
    REQUIRE(fixture.Until([&] { return !discarded.empty(); }));
    CHECK_FALSE(outcome.result);
    socket.Send(EchoingResponse("q7", "r1"));
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    CHECK((*outcome.result)->body == "r1");
  }
  SECTION("but accepts one without the echoed header") {
    fixture.Reply(socket, "r1");
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    CHECK((*outcome.result)->body == "r1");
  }
  SECTION("at most kMaxStrays times for one call") {
    std::string strays;
    for (int i = 0; i <= kMaxStrays; ++i) strays += EchoingResponse("q" + std::to_string(i), "no");
    socket.Send(strays + EchoingResponse("q7", "r1"));
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    CHECK((*outcome.result)->Header("x-id") == "q4");
    CHECK(discarded.size() == kMaxStrays);
  }
  SECTION("and fails the call if the connection closes before its own") {
    socket.Send(EchoingResponse("q6", "no"));
    REQUIRE(fixture.Until([&] { return !discarded.empty(); }));
    socket.Close();
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    REQUIRE_FALSE(*outcome.result);
    CHECK(outcome.result->error().sent);
  }
}

TEST_CASE("http_client never reuses a connection whose exchange did not complete",
          "[http_client]") {
  Fixture fixture;
  Outcome first;
  Outcome second;
  SECTION("after a cancellation") {
    const uint64_t call = fixture.Send(first);
    RawSocket& socket = fixture.WaitForRequest(1);
    fixture.client->Cancel(call);
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Closed(); }));
    // The peer still counts the connection, so the limit of one allows no other yet.
    CHECK(first.released == 0);
    CHECK(fixture.peer.sockets.size() == 1);
    // A late response is discarded.
    fixture.Reply(socket, "r1");
    socket.Close();
    CHECK_FALSE(first.result);
  }
  SECTION("after a timeout") {
    fixture.Send(first, Millis(50));
    RawSocket& socket = fixture.WaitForRequest(1);
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    const HttpFailure failure = first.result->error();
    CHECK(failure.error.code == ErrorCode::kDeadlineExceeded);
    CHECK(failure.sent);
    CHECK_FALSE(failure.crashed);
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Closed(); }));
    fixture.Reply(socket, "r1");
    socket.Close();
  }
  SECTION("after a malformed response") {
    fixture.Send(first);
    RawSocket& socket = fixture.WaitForRequest(1);
    socket.Send("nonsense\r\n\r\n");
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    CHECK(first.result->error().error.code == ErrorCode::kConnectionLost);
    CHECK_FALSE(first.result->error().crashed);
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Closed(); }));
    socket.Close();
  }
  SECTION("after bytes beyond the end of the response") {
    fixture.Send(first);
    RawSocket& socket = fixture.WaitForRequest(1);
    fixture.Reply(socket, "r1" + std::string(kReplyHeader) + "r0");
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    CHECK((*first.result)->body == "r1");
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Closed(); }));
    socket.Close();
  }
  SECTION("after an interim response") {
    fixture.Send(first);
    RawSocket& socket = fixture.WaitForRequest(1);
    socket.Send("HTTP/1.1 102 Processing\r\n\r\n");
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Closed(); }));
    socket.Close();
  }
  RawSocket& other = fixture.WaitForRequest(2);
  fixture.Reply(other, "r2");
  REQUIRE(fixture.Until([&] { return second.released == 1; }));
  CHECK((*second.result)->body == "r2");
  CHECK(first.released == 1);
}

TEST_CASE("http_client stops counting a connection that the peer does not close", "[http_client]") {
  Fixture fixture;
  Outcome first;
  Outcome second;
  fixture.client->Cancel(fixture.Send(first));
  REQUIRE(fixture.Until([&] { return first.released == 1; }));
  const uint64_t call = fixture.Send(first);
  fixture.WaitForRequest(1);
  fixture.client->Cancel(call);
  fixture.client->Cancel(call);
  fixture.Send(second);
  fixture.Reply(fixture.WaitForRequest(2), "r2");
  REQUIRE(fixture.Until([&] { return second.result.has_value(); }));
  CHECK(first.released == 2);
  CHECK_FALSE(first.result);
}

// Guards against a response whose status is not that of a final response, for example 000, and that
// is taken for the answer to the request.
TEST_CASE("http_client takes only final statuses for an answer", "[http_client]") {
  Fixture fixture;
  const std::string fields = GENERATE(as<std::string>{}, "Content-Length: 0\r\n\r\n",
                                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  for (int status = 0; status < 1'000; ++status) {
    const std::string digits = std::to_string(1'000 + status).substr(1);
    CAPTURE(digits, fields);
    Outcome outcome;
    fixture.Send(outcome);
    std::string response = "HTTP/1.1 " + digits;
    response.append(" Status\r\nConnection: close\r\n").append(fields);
    fixture.WaitForRequest(fixture.peer.sockets.size() + 1).Send(response);
    REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
    fixture.peer.sockets.back().Close();
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    const bool final = status >= 200 && status <= 599;
    REQUIRE(outcome.result->has_value() == final);
    if (final) {
      CHECK((*outcome.result)->status == status);
    } else {
      CHECK(outcome.result->error().error.code == ErrorCode::kConnectionLost);
      CHECK(outcome.result->error().sent);
      CHECK_FALSE(outcome.result->error().crashed);
    }
  }
}

// Guards against a caller that waits for a body although the head is already known to be broken.
TEST_CASE("http_client ends an exchange at a broken status line", "[http_client]") {
  Fixture fixture;
  Outcome outcome;
  fixture.Send(outcome, Seconds(600));
  fixture.WaitForRequest(1).Send("HTTP/1.1 000 None\r\nContent-Length: 9\r\n");
  REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
  CHECK_FALSE(*outcome.result);
}

// Guards against a line of a broken head that is passed on, or that changes where the body ends.
TEST_CASE("http_client takes no response with a broken field name", "[http_client]") {
  Fixture fixture;
  const bool in_pieces = GENERATE(false, true);
  // Sends a response with these lines in its head and returns what the call got.
  const auto receive = [&](const std::string& lines, const std::string& body) {
    Outcome outcome;
    fixture.Send(outcome);
    RawSocket& socket = fixture.WaitForRequest(fixture.peer.sockets.size() + 1);
    const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + lines +
                                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                                 body;
    const size_t piece = in_pieces ? 1 : response.size();
    for (size_t sent = 0; sent < response.size() && !outcome.result; sent += piece) {
      socket.Send(response.substr(sent, piece));
      if (!in_pieces) continue;
      fixture.io.restart();
      fixture.io.run_for(std::chrono::microseconds(200));
    }
    REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
    socket.Close();
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    return *outcome.result;
  };

  SECTION("with a blank, a control character or another byte that names do not have") {
    const std::string allowed = "!#$%&'*+-.^_`|~";
    const std::vector<std::string> names = {"X-Name", "Content-Length"};
    for (const std::string& name : names) {
      for (int byte = 0; byte < 256; ++byte) {
        const char c = static_cast<char>(byte);
        if (std::isalnum(byte) != 0 || c == ':' || allowed.find(c) != std::string::npos) continue;
        // In pieces, bytes of one kind make no difference, and each response takes many reads.
        if (in_pieces && c != ' ' && c != '\t' && c != '\x01') continue;
        for (const size_t place : {size_t{0}, name.find('-'), name.size()}) {
          CAPTURE(name, byte, place);
          const std::string broken = std::string(name).insert(place, 1, c);
          CHECK_FALSE(receive(broken + ": 1\r\n", "r1"));
          CHECK_FALSE(receive("X-First: 1\r\n" + broken + ": 1\r\n", "r1"));
        }
      }
    }
  }
  SECTION("that is empty") { CHECK_FALSE(receive("X-First: 1\r\n: 1\r\n", "r1")); }
  SECTION("that begins with a blank and would continue the line before it") {
    for (const char* line :
         {" Content-Length: 1", "\tContent-Length: 1", "  X-Name: 1", " x", " "}) {
      for (const char* first : {"X-First: 1", "X-First:", "X-First: \t"}) {
        CAPTURE(line, first);
        CHECK_FALSE(receive(std::string(first) + "\r\n" + line + "\r\n", "r1"));
      }
    }
  }
  SECTION("but any bytes in a value and in the body") {
    const std::string body = "\r\n x\r\n\ty: 1\r\n\r\n z";
    const HttpResult result = receive("X-Name: a\tb \x80 : c\r\n", body);
    REQUIRE(result);
    CHECK(result->Header("x-name") == "a\tb \x80 : c");
    CHECK(result->body == body);
  }
}

// Guards against a target in trouble that sends bytes until the client closes: the buffer must not
// grow, and the call must not wait for its deadline.
TEST_CASE("http_client ends an exchange with bytes without end", "[http_client]") {
  Fixture fixture;
  Outcome outcome;
  fixture.Send(outcome, Seconds(600));
  RawSocket& socket = fixture.WaitForRequest(1);
  struct Row {
    std::string_view place;
    std::string_view start;
  };
  const Row row = GENERATE(
      Row{"head", "HTTP/1.1 200 OK\r\nX-Long: "}, Row{"status line", "HTTP/1.1 200 "},
      Row{"no response at all", ""}, Row{"body without a length", "HTTP/1.1 200 OK\r\n\r\n"},
      Row{"one chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n"},
      Row{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x="},
      Row{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: "});
  INFO(row.place);
  socket.Send(row.start);
  const std::string block(0x10000, 'x');
  std::string_view rest = block;
  size_t blocks = 0;
  REQUIRE(fixture.Until([&] {
    rest = socket.Send(rest);
    if (rest.empty()) {
      rest = block;
      ++blocks;
    }
    return outcome.result.has_value();
  }));
  REQUIRE_FALSE(*outcome.result);
  CHECK(outcome.result->error().sent);
  // What the client takes, and what fits into the buffers of the two sockets.
  CHECK(blocks * block.size() <= kMaxResponseBytes + (16 << 20));
  CHECK(fixture.Until([&] { return outcome.released == 1; }));
  CHECK(fixture.client->Status().running == 0);
}

// Guards against a target whose head of many short fields goes on until memory is used up. Each
// part ends after the first byte of a field, of which the parser keeps nothing back.
TEST_CASE("http_client ends an exchange with header fields without end", "[http_client]") {
  constexpr size_t kPartBytes = 4'000;
  Fixture fixture;
  Outcome outcome;
  fixture.Send(outcome, Seconds(600));
  RawSocket& socket = fixture.WaitForRequest(1);
  const std::string field = GENERATE(as<std::string>{}, "a:\r\n", "x-longer: 0123456789\r\n");
  std::string part;
  while (part.size() < kPartBytes) part += field;
  socket.Send("HTTP/1.1 200 OK\r\n" + field.substr(0, 1));
  part = part.substr(1) + field.substr(0, 1);
  size_t sent = 0;
  while (!outcome.result && sent <= 2 * kMaxHeadBytes) {
    // Lets the client read each part by itself.
    const Time pause_end = SteadyNow() + Millis(5);
    REQUIRE(fixture.Until([&] { return outcome.result || SteadyNow() >= pause_end; }));
    sent += part.size();
    socket.Send(part);
  }
  REQUIRE(outcome.result);
  REQUIRE_FALSE(*outcome.result);
  CHECK(outcome.result->error().sent);
}

// Guards against responses of many short fields that take much more memory than the budget counts.
TEST_CASE("http_client counts the header fields of responses", "[http_client]") {
  constexpr size_t kFields = 1'000;
  Fixture fixture;
  const auto budget = std::make_shared<ByteBudget>(1 << 20);
  fixture.client = std::make_unique<HttpClient>(fixture.io, fixture.peer.AddressText(),
                                                HttpClientOptions{}, nullptr, budget);
  Outcome outcome;
  fixture.Send(outcome);
  RawSocket& socket = fixture.WaitForRequest(1);
  std::string fields;
  for (size_t i = 0; i < kFields; ++i) fields += "a:\r\n";
  socket.Send("HTTP/1.1 200 OK\r\n" + fields);
  REQUIRE(fixture.Until([&] { return budget->Used() >= (kFields - 1) * sizeof(HttpHeader); }));
  socket.Send("Content-Length: 2\r\n\r\n{}");
  REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
  REQUIRE(*outcome.result);
  CHECK((*outcome.result)->headers.size() == kFields + 1);
  CHECK(budget->Used() >= kFields * sizeof(HttpHeader));
  outcome.result.reset();
  CHECK(budget->Used() == 0);
}

// Guards against a response that ends early, in its head or its body, and is taken for a whole one.
TEST_CASE("http_client takes no response that ends early for a whole one", "[http_client]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nServer-Stamp: s\r\n";
  const std::string whole =
      GENERATE_COPY(head + "Content-Length: 12\r\n\r\nabcdefghijkl",
                    head + "Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
                    head + "\r\n");  // without a length: only the head can be incomplete
  const bool reset = GENERATE(false, true);
  const bool used = GENERATE(false, true);
  for (size_t cut = 0; cut < whole.size(); ++cut) {
    CAPTURE(whole, cut, reset, used);
    Fixture fixture;
    Outcome outcome;
    if (used) {
      Outcome earlier;
      fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q0"});
      fixture.Send(earlier);
      RawSocket& socket = fixture.WaitForRequest(1);
      socket.Text().clear();
      socket.Send("HTTP/1.1 200 OK\r\nX-Id: q0\r\nContent-Length: 2\r\n\r\nr0");
      REQUIRE(fixture.Until([&] { return earlier.released == 1; }));
    }
    fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q1"});
    fixture.Send(outcome);
    RawSocket& socket = fixture.WaitForRequest(1);
    socket.Send(whole.substr(0, cut));
    if (reset) {
      // Lets the bytes arrive before the reset, which would discard them.
      fixture.io.restart();
      fixture.io.run_for(std::chrono::milliseconds(1));
      socket.Reset();
    } else {
      socket.Close();
    }
    REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
    CHECK_FALSE(*outcome.result);
  }
}

// Guards against an answer that reaches the next call on the connection.
TEST_CASE("http_client gives a second copy of a response to nobody", "[http_client]") {
  std::vector<std::string> discarded;
  Fixture fixture(
      {.max_connections = 1, .min_connections = 0},
      [&](const HttpHeader&, std::string_view value) { discarded.emplace_back(value); });
  Outcome first;
  fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q1"});
  fixture.Send(first);
  RawSocket& socket = fixture.WaitForRequest(1);
  socket.Text().clear();
  socket.Send(EchoingResponse("q1", "r1"));
  REQUIRE(fixture.Until([&] { return first.released == 1; }));
  Outcome second;
  fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q2"});
  SECTION("that arrives while the next call runs on the connection") {
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Received(kHeaderEnd); }));
    SECTION("whole") { socket.Send(EchoingResponse("q1", "r1") + EchoingResponse("q2", "r2")); }
    SECTION("cut in the middle of its head") {
      const std::string copy = EchoingResponse("q1", "r1");
      socket.Send(copy.substr(0, 20));
      fixture.io.run_for(std::chrono::milliseconds(20));
      CHECK_FALSE(second.result);
      socket.Send(copy.substr(20) + EchoingResponse("q2", "r2"));
    }
    REQUIRE(fixture.Until([&] { return second.released == 1; }));
    REQUIRE(*second.result);
    CHECK((*second.result)->body == "r2");
    CHECK(discarded == std::vector<std::string>{"q1"});
  }
  SECTION("cut off in its body, with the next response behind it") {
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Received(kHeaderEnd); }));
    socket.Send("HTTP/1.1 200 OK\r\nX-Id: q1\r\nContent-Length: 9\r\n\r\nr1" +
                EchoingResponse("q2", "r2"));
    socket.Close();
    REQUIRE(fixture.Until([&] { return second.released == 1; }));
    const bool own = *second.result && (**second.result).body == "r2";
    CHECK((!*second.result || own));
  }
  // The rest of the copy's head and the head of the next response then parse as one, which may have
  // the copy's status and headers and the next response's request id.
  SECTION("cut off at any byte of its head, with the next response behind it") {
    const std::string copy =
        "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n";
    const size_t cut = GENERATE_COPY(range(size_t{1}, copy.find("X-Id")));
    CAPTURE(cut);
    fixture.Send(second);
    REQUIRE(fixture.Until([&] { return socket.Received(kHeaderEnd); }));
    socket.Send(copy.substr(0, cut) + EchoingResponse("q2", "r2"));
    fixture.Until([&] { return second.released == 1; });
    REQUIRE(second.result);
    CHECK_FALSE((*second.result && (**second.result).status == 503));
    CHECK_FALSE((*second.result && !(**second.result).Header("x-not-run").empty()));
  }
  SECTION("that arrives between two calls") {
    socket.Send(EchoingResponse("q1", "r1"));
    fixture.io.run_for(std::chrono::milliseconds(20));
    fixture.Send(second);
    // The connection with unexpected bytes is not used again.
    RawSocket& next = fixture.WaitForRequest(2);
    next.Send(EchoingResponse("q2", "r2"));
    REQUIRE(fixture.Until([&] { return second.released == 1; }));
    REQUIRE(*second.result);
    CHECK((*second.result)->body == "r2");
  }
}

TEST_CASE("http_client reports whether anything was sent", "[http_client]") {
  Fixture fixture;
  Outcome outcome;
  SECTION("no: the connection is refused") {
    const Address free = ClaimLoopbackNetwork() + "1:9";  // no process listens there
    fixture.client = std::make_unique<HttpClient>(
        fixture.io, free, HttpClientOptions{.max_connections = 4, .min_connections = 0});
    Outcome other;
    fixture.Send(outcome);
    fixture.Send(other);
    REQUIRE(fixture.Until([&] { return outcome.released == 1 && other.released == 1; }));
    CHECK(outcome.result->error().error.code == ErrorCode::kUnavailable);
    CHECK_FALSE(outcome.result->error().sent);
    CHECK(other.result->error().error.code == ErrorCode::kUnavailable);
  }
  SECTION("no: the deadline passed while the call waited for a connection") {
    Outcome running;
    fixture.Send(running);
    fixture.WaitForRequest(1);
    fixture.Send(outcome, Millis(20));
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    CHECK(outcome.result->error().error.code == ErrorCode::kUnavailable);
    CHECK_FALSE(outcome.result->error().sent);
    CHECK_FALSE(running.result);
  }
  SECTION("no: a header value would inject another header") {
    fixture.client->Send({.request = {.method = "GET",
                                      .path = "/",
                                      .query = {},
                                      .headers = {{"x-request-id", "a\r\nx-evil: 1"}},
                                      .body = {}},
                          .deadline = SteadyNow() + Seconds(10),
                          .done = [&](HttpResult result) { outcome.result = std::move(result); },
                          .released = {}});
    CHECK_FALSE(outcome.result);
    REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
    CHECK(outcome.result->error().error.code == ErrorCode::kUnavailable);
  }
  SECTION("yes: the peer closed without a response") {
    fixture.Send(outcome);
    RawSocket& socket = fixture.WaitForRequest(1);
    SECTION("by a normal close") { socket.Close(); }
    SECTION("by a reset") { socket.Reset(); }
    SECTION("in the middle of the response") {
      fixture.Reply(socket, "r");
      socket.Close();
    }
    REQUIRE(fixture.Until([&] { return outcome.released == 1; }));
    CHECK(outcome.result->error().error.code == ErrorCode::kConnectionLost);
    CHECK(outcome.result->error().sent);
    CHECK(outcome.result->error().crashed);
  }
  SECTION("yes: part of a long request was written") {
    fixture.Send(outcome, Millis(200), std::string(32 << 20, 'x'));
    REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
    CHECK(outcome.result->error().error.code == ErrorCode::kDeadlineExceeded);
    CHECK(outcome.result->error().sent);
  }
}

TEST_CASE("http_client replaces a persistent connection that the peer closed", "[http_client]") {
  Fixture fixture;
  Outcome first;
  Outcome second;
  fixture.Send(first);
  RawSocket& socket = fixture.WaitForRequest(1);
  SECTION("before the client's event loop read the end of the stream") {
    fixture.Reply(socket, "r1");
    socket.Close();
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    fixture.Send(second);
  }
  SECTION("while it was idle") {
    fixture.Reply(socket, "r1");
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    socket.Close();
    REQUIRE(fixture.Until([&] { return fixture.client->Status().connections == 0; }));
    fixture.Send(second);
  }
  SECTION("by a reset, although it was reused without a check") {
    socket.Text().clear();
    socket.Send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=100\r\nContent-Length: 2\r\n\r\nr1");
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    socket.Reset();
    fixture.Send(second, Seconds(10), "{}", /*idempotent=*/true);
  }
  SECTION("or on which it sent unexpected data") {
    fixture.Reply(socket, "r1");
    REQUIRE(fixture.Until([&] { return first.result.has_value(); }));
    socket.Send(std::string(kReplyHeader) + "r0");
    fixture.Send(second);
  }
  fixture.Reply(fixture.WaitForRequest(2), "r2");
  REQUIRE(fixture.Until([&] { return second.result.has_value(); }));
  CHECK((*second.result)->body == "r2");
}

// Guards against a late second copy of a refusal that is taken for the answer to the next sending
// of the same request: the request would be sent again although a target runs it.
TEST_CASE("http_client sends a request at most once on a connection", "[http_client]") {
  const size_t limit = GENERATE(1, 2);
  Fixture fixture({.max_connections = limit, .min_connections = 0});
  Outcome first;
  fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q1"});
  fixture.Send(first);
  RawSocket& socket = fixture.WaitForRequest(1);
  socket.Text().clear();
  socket.Send(EchoingResponse("q1", "r1"));
  REQUIRE(fixture.Until([&] { return first.released == 1; }));

  SECTION("but on another one, also if the limit allows only one") {
    Outcome second;
    fixture.Send(second);
    REQUIRE(fixture.Until([&] {
      if (limit == 1 && socket.Closed()) socket.Close();
      return fixture.peer.sockets.size() == 2 && fixture.peer.sockets.back().Received(kHeaderEnd);
    }));
    // The copy arrives where nothing is expected any more.
    if (limit == 2) socket.Send(EchoingResponse("q1", "r1"));
    fixture.peer.sockets.back().Send(EchoingResponse("q1", "r2"));
    REQUIRE(fixture.Until([&] { return second.released == 1; }));
    REQUIRE(*second.result);
    CHECK((*second.result)->body == "r2");
    CHECK_FALSE(socket.Received("POST"));
    CHECK(fixture.client->Status().connections <= limit);
  }
  SECTION("and another request may use the connection meanwhile") {
    Outcome again;
    Outcome other;
    if (limit == 1) return;
    fixture.Send(again);
    fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q2"});
    fixture.Send(other);
    REQUIRE(fixture.Until([&] { return socket.Received(kHeaderEnd); }));
    socket.Send(EchoingResponse("q2", "r2"));
    REQUIRE(fixture.Until([&] { return other.released == 1; }));
    CHECK((*other.result)->body == "r2");
    fixture.WaitForRequest(2).Send(EchoingResponse("q1", "r1"));
    REQUIRE(fixture.Until([&] { return again.released == 1; }));
  }
  SECTION("and believes no response without an id on a used connection") {
    Outcome other;
    fixture.echo = std::make_shared<EchoedRequest>(HttpHeader{"x-id", "q2"});
    fixture.Send(other);
    REQUIRE(fixture.Until([&] { return socket.Received(kHeaderEnd); }));
    fixture.Reply(socket, "r1");
    REQUIRE(fixture.Until([&] { return other.result.has_value(); }));
    REQUIRE_FALSE(*other.result);
    CHECK(other.result->error().sent);
    CHECK(other.result->error().error.code == ErrorCode::kConnectionLost);
  }
  SECTION("and does not use it again after a response that does not identify its request") {
    Outcome refused;
    fixture.echo = nullptr;
    fixture.identifying_header = "x-id";
    fixture.Send(refused);
    REQUIRE(fixture.Until([&] { return socket.Received(kHeaderEnd); }));
    fixture.Reply(socket, "no");
    REQUIRE(fixture.Until([&] { return refused.result.has_value(); }));
    REQUIRE(*refused.result);
    CHECK((*refused.result)->body == "no");
    CHECK(fixture.Until([&] { return socket.Closed(); }));
  }
}

TEST_CASE("http_client accepts the error response of a peer that refuses the connection",
          "[http_client]") {
  // Guards against opening connections in an endless loop to a peer above its connection limit.
  Fixture fixture;
  Outcome outcome;
  fixture.Send(outcome);
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.peer.Accept(); }));
  fixture.peer.sockets.front().Send(
      "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  fixture.peer.sockets.front().ShutdownSend();
  REQUIRE(fixture.Until([&] { return outcome.result.has_value(); }));
  REQUIRE(*outcome.result);
  CHECK((*outcome.result)->status == 503);
}

TEST_CASE("http_client keeps idle connections open within its limit", "[http_client]") {
  Fixture fixture({.max_connections = 3, .min_connections = 2});
  REQUIRE(fixture.Until([&] { return fixture.client->Status().idle == 2; }));
  CHECK(fixture.peer.sockets.size() == 2);
  SECTION("reconnects when the peer closes one") {
    fixture.peer.sockets.front().Close();
    REQUIRE(fixture.Until([&] { return fixture.peer.sockets.size() == 3; }));
  }
  SECTION("never opens more than the limit") {
    std::vector<Outcome> outcomes(10);
    for (Outcome& outcome : outcomes) fixture.Send(outcome);
    size_t answered = 0;
    while (answered < outcomes.size()) {
      REQUIRE(fixture.Until([&] {
        for (RawSocket& socket : fixture.peer.sockets) {
          if (!socket.Received(kHeaderEnd)) continue;
          fixture.Reply(socket, "ok");
          ++answered;
          return true;
        }
        return false;
      }));
      CHECK(fixture.peer.sockets.size() <= 3);
    }
  }
  SECTION("closes connections above a lowered limit") {
    fixture.client->SetOptions({.max_connections = 1, .min_connections = 1});
    REQUIRE(fixture.Until([&] { return fixture.peer.sockets.back().Closed(); }));
    fixture.peer.sockets.back().Close();
    REQUIRE(fixture.Until([&] { return fixture.client->Status().connections == 1; }));
  }
  SECTION("makes no callback after its destruction") {
    Outcome outcome;
    fixture.Send(outcome);
    fixture.client.reset();
    boost::asio::post(fixture.io, [&] { outcome.released = -1; });
    REQUIRE(fixture.Until([&] { return outcome.released == -1; }));
    CHECK_FALSE(outcome.result);
  }
}

}  // namespace
}  // namespace peridotgauge
