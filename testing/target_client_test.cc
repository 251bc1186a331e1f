// Tests of the HTTP format of sub-requests. They guard against merging the reply to another
// request, and against a false report that a target refused a request.
#include "io/target_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "raw_socket.h"

namespace peridotgauge {
namespace {

wire::SubRequestT Request() {
  wire::SubRequestT request;
  request.request_id = "q-1";
  request.attempt = 2;
  request.service = "verstas-1";
  request.shard = 3;
  request.shards = 4;
  request.snapshot = 12;
  request.budget_us = 150'900;
  request.traceparent = "00-1-2-01";
  request.body = R"({"text":1.10})";
  return request;
}

HttpResponse Reply() {
  return {.status = 200,
          .headers = {{"x-request-id", "q-1"},
                      {"X-Attempt", "2"},
                      {"x-service", "verstas-1"},
                      {"x-shard", "3"},
                      {"x-snapshot", "12"},
                      {"x-load", "0.25"}},
          .body = R"({"hits":[]})"};
}

void SetHeader(HttpResponse& response, std::string_view name, const std::string& value) {
  for (HttpHeader& header : response.headers) {
    if (header.name == name) header.value = value;
  }
}

ErrorCode CodeOf(const HttpResponse& response) {
  const wire::SubReplyT reply = ParseSubReply(Request(), response);
  REQUIRE(reply.error >= 0);
  CHECK(reply.body.empty());
  return static_cast<ErrorCode>(reply.error);
}

TEST_CASE("target_client formats a sub-request", "[target_client]") {
  wire::SubRequestT request = Request();
  HttpRequest out = FormatSubRequest(request);
  CHECK(out.path == "/search");
  CHECK(out.Header("x-request-id") == "q-1");
  CHECK(out.Header("x-attempt") == "2");
  CHECK(out.Header("x-service") == "verstas-1");
  CHECK(out.Header("x-shard") == "3");
  CHECK(out.Header("x-shards") == "4");
  CHECK(out.Header("x-snapshot") == "12");
  CHECK(out.Header("x-deadline-ms") == "150");
  CHECK(out.Header("traceparent") == "00-1-2-01");
  CHECK(out.body == request.body);
  request.operation = wire::Operation::Order;
  CHECK(FormatSubRequest(request).path == "/order");
}

// Guards against a target that cannot tell whose request it runs.
TEST_CASE("target_client names the workspace of the caller", "[target_client]") {
  wire::SubRequestT request = Request();
  CHECK(FormatSubRequest(request).Header("x-workspace").empty());
  request.workspace = "tre";
  CHECK(FormatSubRequest(request).Header("x-workspace") == "tre");
}

TEST_CASE("target_client checks a reply", "[target_client]") {
  HttpResponse response = Reply();
  SECTION("accepts the reply to the request") {
    const wire::SubReplyT reply = ParseSubReply(Request(), response);
    CHECK(reply.error == -1);
    CHECK(reply.request_id == "q-1");
    CHECK(reply.attempt == 2);
    CHECK(reply.snapshot == 12);
    CHECK(reply.load == 0.25F);
    CHECK(reply.body == response.body);
  }
  SECTION("rejects an echoed header of another request") {
    const std::string name =
        GENERATE(as<std::string>(), "x-request-id", "X-Attempt", "x-service", "x-shard");
    SetHeader(response, name, "9");
    CHECK(CodeOf(response) == ErrorCode::kWrongReply);
    // A refusal of another request does not show that this one was not run.
    response.status = 503;
    response.headers.push_back({"x-not-run", "true"});
    CHECK(CodeOf(response) == ErrorCode::kWrongReply);
  }
  SECTION("rejects a missing echoed header") {
    const std::string name =
        GENERATE(as<std::string>(), "x-request-id", "X-Attempt", "x-service", "x-shard");
    std::erase_if(response.headers, [&](const HttpHeader& h) { return h.name == name; });
    CHECK(CodeOf(response) == ErrorCode::kWrongReply);
  }
  SECTION("rejects a different or missing snapshot") {
    SetHeader(response, "x-snapshot", "13");
    CHECK(CodeOf(response) == ErrorCode::kWrongSnapshot);
    SetHeader(response, "x-snapshot", "");
    CHECK(CodeOf(response) == ErrorCode::kWrongSnapshot);
  }
  SECTION("reports a refusal only with status 503 and x-not-run") {
    response.status = 503;
    CHECK(CodeOf(response) == ErrorCode::kTargetFailed);
    response.headers.push_back({"x-not-run", "true"});
    CHECK(CodeOf(response) == ErrorCode::kShed);
    response.headers = {{"x-not-run", "true"}};
    CHECK(CodeOf(response) == ErrorCode::kShed);
    response.status = 500;
    CHECK(CodeOf(response) == ErrorCode::kTargetFailed);
  }
  SECTION("rejects a body that is not JSON, which would break the merged answer") {
    response.body = GENERATE(as<std::string>(), "", "{", "{}{}", "<html>", "\"\xff\"");
    CHECK(CodeOf(response) == ErrorCode::kTargetFailed);
  }
  SECTION("ignores an invalid load and clamps a high one") {
    const std::string load = GENERATE(as<std::string>(), "nan", "x", "", "0.5x");
    SetHeader(response, "x-load", load);
    CHECK(ParseSubReply(Request(), response).load == 0);
    SetHeader(response, "x-load", "17");
    CHECK(ParseSubReply(Request(), response).load == 1);
  }
}

TEST_CASE("target_client reports how an exchange failed", "[target_client]") {
  boost::asio::io_context io;
  RawListener target;
  TargetClient client(io, target.AddressText(), {.max_connections = 1, .min_connections = 0});
  std::optional<wire::SubReplyT> reply;
  int released = 0;
  wire::SubRequestT request = Request();
  SECTION("by a crash of the target") {
    request.budget_us = 10'000'000;
    client.Send(
        request, [&](wire::SubReplyT got) { reply = std::move(got); }, [&] { ++released; });
    REQUIRE(RunUntil(io, [&] { return target.Accept(); }));
    REQUIRE(RunUntil(io, [&] { return target.sockets.front().Received("1.10"); }));
    target.sockets.front().Close();
    REQUIRE(RunUntil(io, [&] { return released == 1; }));
    CHECK(reply->error == static_cast<int8_t>(ErrorCode::kConnectionLost));
    CHECK(reply->crashed);
  }
  SECTION("by its deadline") {
    request.budget_us = 20'000;
    client.Send(request, [&](wire::SubReplyT got) { reply = std::move(got); });
    REQUIRE(RunUntil(io, [&] {
      target.Accept();
      return reply.has_value();
    }));
    CHECK(reply->error == static_cast<int8_t>(ErrorCode::kDeadlineExceeded));
    CHECK_FALSE(reply->crashed);
  }
}

}  // namespace
}  // namespace peridotgauge
