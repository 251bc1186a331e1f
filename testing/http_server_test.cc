// Tests of the HTTP server. They guard against input that ends the process or exceeds a limit and
// still reaches the handler, against lost responses at shutdown, and against undetected
// disconnects.
#include "io/http_server.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "raw_socket.h"

namespace peridotgauge {
namespace {

constexpr std::string_view kGet = "GET /v1/status?revision=3 HTTP/1.1\r\nHost: a\r\n\r\n";

std::string Post(std::string_view body) {
  return "POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + std::string(body);
}

// A server that responds at once if `automatic` is set; otherwise the test responds through
// `responders`.
struct Fixture {
  explicit Fixture(HttpServerLimits limits = {}) {
    auto listening = HttpServer::Listen(
        this->io, "127.0.0.1:0",
        [this](HttpRequest request, HttpResponder responder) {
          this->requests.push_back(std::move(request));
          if (this->automatic) {
            responder.Send(TextResponse(200, "ok" + std::to_string(this->requests.size())));
          } else {
            this->responders.push_back(std::move(responder));
          }
        },
        std::move(limits));
    REQUIRE(listening);
    this->server = std::move(*listening);
  }
  RawSocket Connect() { return RawSocket::Connect(this->server->Port()); }
  bool Until(const std::function<bool()>& condition) { return RunUntil(this->io, condition); }

  boost::asio::io_context io;
  std::unique_ptr<HttpServer> server;
  std::vector<HttpRequest> requests;
  std::vector<HttpResponder> responders;
  bool automatic = true;
};

TEST_CASE("http_server answers requests", "[http_server]") {
  Fixture fixture;
  RawSocket caller = fixture.Connect();
  SECTION("on one persistent connection, with path and query separated") {
    caller.Send(kGet);
    REQUIRE(fixture.Until([&] { return caller.Received("ok1"); }));
    CHECK(fixture.requests[0].method == "GET");
    CHECK(fixture.requests[0].path == "/v1/status");
    CHECK(fixture.requests[0].Parameter("revision") == "3");
    caller.Send(Post("{}"));
    REQUIRE(fixture.Until([&] { return caller.Received("ok2"); }));
    CHECK(fixture.requests[1].body == "{}");
    CHECK_FALSE(caller.Closed());
  }
  SECTION("that are pipelined, in their order") {
    caller.Send(std::string(kGet) + Post("{}") + std::string(kGet));
    REQUIRE(fixture.Until([&] { return caller.Received("ok3"); }));
    CHECK(caller.Text().find("ok1") < caller.Text().find("ok2"));
  }
  SECTION("asynchronously, and only with the first of two responses") {
    fixture.automatic = false;
    caller.Send(kGet);
    REQUIRE(fixture.Until([&] { return fixture.responders.size() == 1; }));
    const HttpResponder copy = fixture.responders[0];
    fixture.responders[0].Send(TextResponse(200, "first"));
    copy.Send(TextResponse(200, "second"));
    REQUIRE(fixture.Until([&] { return caller.Received("first"); }));
    fixture.automatic = true;
    caller.Send(kGet);
    REQUIRE(fixture.Until([&] { return caller.Received("ok2"); }));
    CHECK_FALSE(caller.Received("second"));
  }
  SECTION("with an error when the handler destroys the responder without a response") {
    fixture.automatic = false;
    caller.Send(kGet);
    REQUIRE(fixture.Until([&] { return fixture.responders.size() == 1; }));
    fixture.responders.clear();
    REQUIRE(fixture.Until([&] { return caller.Received("\"internal\""); }));
    CHECK(caller.Received("500 Internal Server Error"));
  }
  SECTION("of method HEAD without a body, so that the next response is not misread") {
    caller.Send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.Until([&] { return caller.Received("Content-Length: 3"); }));
    CHECK_FALSE(caller.Received("ok1"));
  }
  SECTION("that wait for 100 Continue before the body") {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(fixture.Until([&] { return caller.Received("100 Continue"); }));
    caller.Send("{}");
    REQUIRE(fixture.Until([&] { return caller.Received("ok1"); }));
  }
}

// A caller that connects behind a crowd would wait until the requests of the whole crowd have run.
TEST_CASE("http_server accepts waiting callers before it runs the requests of all before them",
          "[http_server]") {
  boost::asio::io_context io;
  std::unique_ptr<HttpServer> server;
  size_t open_at_first = 0;
  size_t handled = 0;
  auto listening = HttpServer::Listen(io, "127.0.0.1:0",
                                      [&](const HttpRequest&, const HttpResponder& responder) {
                                        if (handled++ == 0) {
                                          open_at_first = server->Status().connections;
                                        }
                                        responder.Send(TextResponse(200, "ok"));
                                      });
  REQUIRE(listening);
  server = std::move(*listening);
  constexpr size_t kCallers = 20;
  std::vector<RawSocket> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(RawSocket::Connect(server->Port()));
    callers.back().Send(kGet);
  }
  REQUIRE(RunUntil(io, [&] { return handled == kCallers; }));
  CHECK(open_at_first == kCallers);
}

TEST_CASE("http_server refuses requests and connections above a limit", "[http_server]") {
  HttpServerLimits limits;
  limits.request_timeout = Millis(100);
  limits.max_connections = 2;
  Fixture fixture(limits);
  RawSocket caller = fixture.Connect();
  std::string status;
  std::string error;
  SECTION("a long body") {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n{");
    status = "413 ";
    error = "too_large";
  }
  SECTION("a long chunked body") {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (int i = 0; i < 17; ++i) {
      std::string_view rest = chunk;
      REQUIRE(fixture.Until([&] { return (rest = caller.Send(rest)).empty() || caller.Closed(); }));
    }
    status = "413 ";
    error = "too_large";
  }
  SECTION("a long header") {
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(9'000, 'x') + "\r\n\r\n");
    status = "413 ";
    error = "too_large";
  }
  SECTION("a header without end") {
    caller.Send("GET / HTTP/1.1\r\nX-Long: " + std::string(100'000, 'x'));
    status = "413 ";
    error = "too_large";
  }
  // Guards against a buffer that grows for as long as the caller sends.
  SECTION("a chunk extension or a trailer without end") {
    const std::string_view start = GENERATE("5;x=", "0\r\nX-Long: ");
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string(start));
    const std::string block(0x10000, 'x');
    for (int i = 0; i < 4; ++i) {
      std::string_view rest = block;
      REQUIRE(fixture.Until([&] { return (rest = caller.Send(rest)).empty() || caller.Closed(); }));
    }
    status = "413 ";
    error = "too_large";
  }
  SECTION("data that is not HTTP") {
    caller.Send("hello\r\n\r\n");
    status = "400 ";
    error = "bad_request";
  }
  SECTION("an incomplete request whose caller shuts down its sending side") {
    caller.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n{");
    caller.ShutdownSend();
    status = "400 ";
    error = "bad_request";
  }
  SECTION("a slow sender") {
    caller.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n{");
    status = "400 ";
    error = "bad_request";
  }
  SECTION("one connection too many") {
    const RawSocket first = fixture.Connect();
    caller.Send(kGet);
    REQUIRE(fixture.Until([&] { return caller.Received("ok1"); }));
    RawSocket refused = fixture.Connect();
    REQUIRE(fixture.Until([&] { return refused.Received("\"overloaded\""); }));
    refused.Close();
    // Once a connection is closed, the next caller is accepted.
    caller.Close();
    REQUIRE(fixture.Until([&] { return fixture.server->Status().connections == 1; }));
    fixture.requests.clear();
    caller = fixture.Connect();
    caller.Send("hello\r\n\r\n");
    status = "400 ";
    error = "bad_request";
  }
  REQUIRE(fixture.Until([&] { return caller.Received("\"not_run\":true"); }));
  CHECK(caller.Received("HTTP/1.1 " + status));
  CHECK(caller.Received("\"error\":\"" + error + "\""));
  CHECK(fixture.requests.empty());
  REQUIRE(fixture.Until([&] { return caller.Closed(); }));
}

TEST_CASE("http_server survives arbitrary input", "[http_server]") {
  HttpServerLimits limits;
  limits.request_timeout = Millis(200);
  Fixture fixture(limits);
  CHECK(rc::check("and answers the next caller", [&] {
    const auto prefix = *rc::gen::element<std::string>(
        "", "GET / HTTP/1.1\r\n", "POST /v1/search HTTP/1.1\r\nContent-Length: ",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto garbage = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    RawSocket bad = fixture.Connect();
    bad.Send(prefix + garbage);
    if (*rc::gen::arbitrary<bool>()) bad.Reset();
    RawSocket good = fixture.Connect();
    good.Send(kGet);
    RC_ASSERT(fixture.Until([&] { return good.Received("200 OK"); }));
  }));
}

// Guards against bodies and answers that each are within their limit, and together are not.
TEST_CASE("http_server bounds the bytes of all connections together", "[http_server]") {
  constexpr size_t kBudget = 16 << 20;
  HttpServerLimits limits;
  limits.request_bytes = std::make_shared<ByteBudget>(100'000);
  limits.response_bytes = std::make_shared<ByteBudget>(kBudget);
  Fixture fixture(limits);
  RawSocket first = fixture.Connect();
  RawSocket second = fixture.Connect();
  SECTION("a body that does not fit is refused at once") {
    const std::string body(80'000, 'x');
    const std::string head = Post(body).substr(0, Post(body).size() - body.size());
    first.Send(head);
    REQUIRE(fixture.Until([&] { return limits.request_bytes->Used() == body.size(); }));
    const bool chunked = GENERATE(false, true);
    second.Send(chunked ? "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        : head);
    REQUIRE(fixture.Until([&] { return second.Received("503 Service Unavailable"); }));
    CHECK(second.Received("\"overloaded\""));
    CHECK(fixture.requests.empty());
    RawSocket small = fixture.Connect();
    small.Send(Post("{}"));
    REQUIRE(fixture.Until([&] { return small.Received("ok1"); }));
    SECTION("and fits once the other request has ended") {
      first.Send(body);
      REQUIRE(fixture.Until([&] { return first.Received("ok2"); }));
      CHECK(limits.request_bytes->Used() == 0);
      RawSocket third = fixture.Connect();
      third.Send(Post(body));
      REQUIRE(fixture.Until([&] { return third.Received("ok3"); }));
    }
    SECTION("or its caller has left") {
      first.Close();
      REQUIRE(fixture.Until([&] { return limits.request_bytes->Used() == 0; }));
    }
  }
  SECTION("the largest answer that waits for a slow caller is given up") {
    fixture.automatic = false;
    for (RawSocket* caller : {&first, &second}) caller->Send(kGet);
    REQUIRE(fixture.Until([&] { return fixture.responders.size() == 2; }));
    fixture.responders[0].Send(TextResponse(200, std::string(10 << 20, 'x')));
    fixture.responders[1].Send(TextResponse(200, std::string(12 << 20, 'y')));
    REQUIRE(fixture.Until([&] { return limits.response_bytes->Used() <= kBudget; }));
    CHECK(limits.response_bytes->Cuts() == 1);
    CHECK(limits.response_bytes->Used() == 10 << 20);
    REQUIRE(fixture.Until([&] { return first.Received(std::string(10 << 20, 'x')); }));
    REQUIRE(fixture.Until([&] { return second.Closed(); }));
    CHECK(limits.response_bytes->Used() == 0);
  }
}

// Guards against requests of legal size that keep a multiple of it, and against crowds that take
// all connections.
TEST_CASE("http_server bounds what callers make it keep", "[http_server]") {
  HttpServerLimits limits;
  limits.max_header_fields = 100;
  limits.max_header_bytes = 16'384;
  limits.room =
      std::make_shared<CallerRoom>(CallerRoomLimits{.connections = 4, .bytes = 512 << 10});
  Fixture fixture(limits);
  RawSocket caller = fixture.Connect();
  const auto head = [](int fields) {
    std::string text = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < fields; ++i) text += "a:b\r\n";
    return text + "\r\n";
  };
  SECTION("a header with too many fields is refused") {
    caller.Send(head(100));
    REQUIRE(fixture.Until([&] { return caller.Received("ok1"); }));
    caller.Send(head(101));
    REQUIRE(fixture.Until([&] { return caller.Received("HTTP/1.1 431 "); }));
    CHECK(caller.Received("\"not_run\":true"));
    CHECK(fixture.requests.size() == 1);
  }
  SECTION("a trailer counts too") {
    std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    for (int i = 0; i < 200; ++i) text += "a:b\r\n";
    caller.Send(text + "\r\n");
    REQUIRE(fixture.Until([&] { return caller.Received("HTTP/1.1 431 "); }));
  }
  SECTION("requests in the handler are refused beyond the memory, and say when to retry") {
    fixture.automatic = false;
    const std::string body(100'000, 'x');
    caller.Send(Post(body));
    REQUIRE(fixture.Until([&] { return fixture.responders.size() == 1; }));
    RawSocket second = fixture.Connect();
    second.Send(Post(body));
    REQUIRE(fixture.Until([&] { return second.Received("HTTP/1.1 503 "); }));
    CHECK(second.Received("Retry-After: 0.2"));
    CHECK(second.Received("\"not_run\":true"));
    RawSocket small = fixture.Connect();
    small.Send(kGet);
    REQUIRE(fixture.Until([&] { return fixture.responders.size() == 2; }));
    fixture.responders[0].Send(TextResponse(200, "first"));
    REQUIRE(fixture.Until([&] { return caller.Received("first"); }));
    second = fixture.Connect();
    second.Send(Post(body));
    REQUIRE(fixture.Until([&] { return fixture.responders.size() == 3; }));
  }
  SECTION("a new caller takes the place of one that sends byte by byte") {
    std::vector<RawSocket> crowd;
    for (int i = 0; i < 3; ++i) {
      crowd.push_back(fixture.Connect());
      crowd.back().Send("GET / HTTP/1.1\r\nx: ");
    }
    REQUIRE(fixture.Until([&] { return limits.room->Connections() == 4; }));
    caller.Send(kGet);
    REQUIRE(fixture.Until([&] { return caller.Received("ok1"); }));
    RawSocket next = fixture.Connect();
    next.Send(kGet);
    REQUIRE(fixture.Until([&] { return next.Received("ok2"); }));
    REQUIRE(fixture.Until([&] { return crowd[0].Closed(); }));
    CHECK_FALSE(caller.Closed());
    CHECK(limits.room->Connections() == 4);
  }
  SECTION("pipelined requests are run one after another, and each is answered") {
    std::string text;
    for (int i = 0; i < 50; ++i) text += i % 2 == 0 ? head(50) : Post("{}");
    caller.Send(text);
    REQUIRE(fixture.Until([&] { return caller.Received("ok50"); }));
  }
  fixture.server->Close();
  fixture.responders.clear();
  CHECK(limits.room->Connections() == 0);
  CHECK(limits.room->UsedBytes() == 0);
}

TEST_CASE("http_server detects a disconnect while a request runs", "[http_server]") {
  Fixture fixture;
  fixture.automatic = false;
  RawSocket caller = fixture.Connect();
  caller.Send(kGet);
  REQUIRE(fixture.Until([&] { return fixture.responders.size() == 1; }));
  int disconnects = 0;
  fixture.responders[0].OnDisconnect([&] { ++disconnects; });
  CHECK(fixture.responders[0].Connected());
  SECTION("by a close") { caller.Close(); }
  SECTION("by a reset") { caller.Reset(); }
  SECTION("but responds to a caller that shut down only its sending side") {
    caller.ShutdownSend();
    REQUIRE(fixture.Until([&] { return disconnects == 1; }));
    fixture.responders[0].Send(TextResponse(200, "late"));
    REQUIRE(fixture.Until([&] { return caller.Received("late") && caller.Closed(); }));
  }
  REQUIRE(fixture.Until([&] { return disconnects == 1; }));
  CHECK_FALSE(fixture.responders[0].Connected());
  fixture.responders[0].Send(TextResponse(200, "late"));
  REQUIRE(fixture.Until([&] { return fixture.server->Status().connections == 0; }));
  CHECK(fixture.server->Status().running == 0);
}

TEST_CASE("http_server completes running requests before it stops", "[http_server]") {
  Fixture fixture;
  RawSocket idle = fixture.Connect();
  idle.Send(kGet);
  REQUIRE(fixture.Until([&] { return idle.Received("ok1"); }));
  fixture.automatic = false;
  RawSocket running = fixture.Connect();
  running.Send(kGet);
  RawSocket half = fixture.Connect();
  half.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{");
  REQUIRE(fixture.Until([&] { return fixture.responders.size() == 1; }));
  // This caller has connected and sent its request, but is not accepted yet when Stop() is called.
  RawSocket unaccepted = fixture.Connect();
  unaccepted.Send(kGet);

  bool stopped = false;
  fixture.server->Stop([&] { stopped = true; });
  REQUIRE(fixture.Until([&] { return idle.Closed(); }));
  REQUIRE(fixture.Until([&] { return fixture.responders.size() == 2; }));
  half.Send("}");
  REQUIRE(fixture.Until([&] { return fixture.responders.size() == 3; }));
  CHECK_FALSE(stopped);
  CHECK_THROWS(fixture.Connect());
  for (const HttpResponder& responder : fixture.responders) {
    responder.Send(TextResponse(200, "done"));
  }
  for (RawSocket* caller : {&running, &half, &unaccepted}) {
    REQUIRE(fixture.Until([&] { return caller->Closed(); }));
    CHECK(caller->Received("done"));
    CHECK(caller->Received("Connection: close"));
    caller->Close();
  }
  idle.Close();
  REQUIRE(fixture.Until([&] { return stopped; }));
}

TEST_CASE("http_server reports an address that is in use", "[http_server]") {
  Fixture fixture;
  const auto second = HttpServer::Listen(
      fixture.io, "127.0.0.1:" + std::to_string(fixture.server->Port()), [](auto, auto) {});
  REQUIRE_FALSE(second);
  CHECK(second.error().code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace peridotgauge
