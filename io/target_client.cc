#include "io/target_client.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

#include "core/caller_api.h"
#include "core/json_text.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

// Bytes of an unexpected reply that are quoted in the error detail.
constexpr size_t kMaxQuotedBodyBytes = 200;
constexpr int64_t kMicrosPerMilli = 1'000;

// Returns the load that a response reports, or 0 if it reports none or an invalid one.
float LoadOf(const HttpResponse& response) {
  const std::string text(response.Header("x-load"));
  float load = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), load);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(load)) return 0;
  return std::clamp(load, 0.0F, 1.0F);
}

// Returns true if the header has another value than `expected`, or is absent although `required`.
bool Differs(const HttpResponse& response, std::string_view name, const std::string& expected,
             bool required) {
  const std::string_view value = response.Header(name);
  if (value.empty() && !required && !expected.empty()) return false;
  return value != expected;
}

// Returns the name of the first echoed header that does not match the request, or an empty string.
// Does not check the snapshot.
std::string_view MismatchedEcho(const wire::SubRequestT& request, const HttpResponse& response,
                                bool required) {
  if (Differs(response, "x-request-id", request.request_id, required)) return "x-request-id";
  if (Differs(response, "x-attempt", std::to_string(request.attempt), required)) return "x-attempt";
  if (Differs(response, "x-service", request.service, required)) return "x-service";
  if (Differs(response, "x-shard", std::to_string(request.shard), required)) return "x-shard";
  return {};
}

wire::SubReplyT MakeReply(const wire::SubRequestT& request) {
  wire::SubReplyT reply;
  reply.request_id = request.request_id;
  reply.attempt = request.attempt;
  reply.snapshot = request.snapshot;
  return reply;
}

wire::SubReplyT FailReply(wire::SubReplyT reply, ErrorCode code, std::string detail) {
  reply.error = static_cast<int8_t>(code);
  reply.detail = std::move(detail);
  reply.body.clear();
  return reply;
}

std::string Describe(const HttpResponse& response) {
  return "status " + std::to_string(response.status) + ": " +
         response.body.substr(0, kMaxQuotedBodyBytes);
}

}  // namespace

HttpRequest FormatSubRequest(const wire::SubRequestT& request) {
  HttpRequest http;
  http.method = "POST";
  http.path = request.operation == wire::Operation::Order ? "/order" : "/search";
  const int64_t deadline_ms = std::max<int64_t>(request.budget_us / kMicrosPerMilli, 1);
  http.headers = {{"content-type", "application/json"},
                  {"x-request-id", request.request_id},
                  {"x-attempt", std::to_string(request.attempt)},
                  {"x-service", request.service},
                  {"x-shard", std::to_string(request.shard)},
                  {"x-shards", std::to_string(request.shards)},
                  {"x-snapshot", std::to_string(request.snapshot)},
                  {"x-deadline-ms", std::to_string(deadline_ms)}};
  if (!request.traceparent.empty()) http.headers.push_back({"traceparent", request.traceparent});
  if (!request.workspace.empty()) {
    http.headers.push_back({std::string(kWorkspaceHeader), request.workspace});
  }
  http.body = request.body;
  return http;
}

wire::SubReplyT ParseSubReply(const wire::SubRequestT& request, HttpResponse response) {
  wire::SubReplyT reply = MakeReply(request);
  const bool answered = response.status == 200;
  // A target may refuse a request before reading it. Such a refusal echoes no headers.
  if (const auto mismatched = MismatchedEcho(request, response, answered); !mismatched.empty()) {
    return FailReply(std::move(reply), ErrorCode::kWrongReply,
                     std::string(mismatched) + " does not match the request: \"" +
                         std::string(response.Header(mismatched)) + "\"");
  }
  reply.load = LoadOf(response);
  if (response.status == 503 && response.Header("x-not-run") == "true") {
    return FailReply(std::move(reply), ErrorCode::kShed, Describe(response));
  }
  if (!answered) return FailReply(std::move(reply), ErrorCode::kTargetFailed, Describe(response));
  if (Differs(response, "x-snapshot", std::to_string(request.snapshot), true)) {
    return FailReply(std::move(reply), ErrorCode::kWrongSnapshot,
                     "x-snapshot does not match the request: \"" +
                         std::string(response.Header("x-snapshot")) + "\"");
  }
  if (!IsJson(response.body)) {
    return FailReply(std::move(reply), ErrorCode::kTargetFailed,
                     "the response body is not valid JSON: " + Describe(response));
  }
  reply.body = std::move(response.body);
  return reply;
}

wire::SubReplyT FailedSubReply(const wire::SubRequestT& request, const Error& error) {
  return FailReply(MakeReply(request), error.code, error.detail);
}

wire::SubReplyT FailedSubReply(const wire::SubRequestT& request, const HttpFailure& failure) {
  wire::SubReplyT reply = FailReply(MakeReply(request), failure.error.code, failure.error.detail);
  reply.crashed = failure.crashed;
  return reply;
}

TargetClient::TargetClient(boost::asio::io_context& io, Address address, HttpClientOptions options,
                           std::shared_ptr<ByteBudget> budget)
    : client(io, std::move(address), options, {}, std::move(budget)) {}

uint64_t TargetClient::Send(const wire::SubRequestT& request, Callback done,
                            std::function<void()> released) {
  const Time start = SteadyNow();
  auto receive = [request, start, done = std::move(done)](HttpResult result) {
    wire::SubReplyT reply = result ? ParseSubReply(request, std::move(*result))
                                   : FailedSubReply(request, result.error());
    reply.service_us = (SteadyNow() - start).count();
    done(std::move(reply));
  };
  return this->client.Send({.request = FormatSubRequest(request),
                            .deadline = start + Duration(std::max<int64_t>(request.budget_us, 0)),
                            .done = std::move(receive),
                            .released = std::move(released),
                            .identifying_header = "x-request-id"});
}

}  // namespace peridotgauge
