// Headers of the target wire format and the checks of a target's reply.
#include "io/target_client.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

#include "core/json_text.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

// Part of an unexpected reply that goes into the detail of its error.
constexpr size_t kMaxQuotedBody = 200;
constexpr int64_t kMicrosPerMilli = 1'000;

// The load that a reply states; 0 if it states none or nonsense.
float LoadOf(const HttpResponse& response) {
  const std::string text(response.Header("x-load"));
  float load = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), load);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(load)) return 0;
  return std::clamp(load, 0.0F, 1.0F);
}

// True if the header is present and differs, or is absent although it is required.
bool Differs(const HttpResponse& response, std::string_view name, const std::string& expected,
             bool required) {
  const std::string_view value = response.Header(name);
  if (value.empty() && !required && !expected.empty()) return false;
  return value != expected;
}

// Returns the first echoed header that does not belong to the request, or an empty text. The
// snapshot is not checked here.
std::string_view WrongEcho(const wire::SubRequestT& request, const HttpResponse& response,
                           bool required) {
  if (Differs(response, "x-request-id", request.request_id, required)) return "x-request-id";
  if (Differs(response, "x-attempt", std::to_string(request.attempt), required)) return "x-attempt";
  if (Differs(response, "x-service", request.service, required)) return "x-service";
  if (Differs(response, "x-shard", std::to_string(request.shard), required)) return "x-shard";
  return {};
}

wire::SubReplyT Start(const wire::SubRequestT& request) {
  wire::SubReplyT reply;
  reply.request_id = request.request_id;
  reply.attempt = request.attempt;
  reply.snapshot = request.snapshot;
  return reply;
}

wire::SubReplyT Failed(wire::SubReplyT reply, ErrorCode code, std::string detail) {
  reply.error = static_cast<int8_t>(code);
  reply.detail = std::move(detail);
  reply.body.clear();
  return reply;
}

std::string Describe(const HttpResponse& response) {
  return "status " + std::to_string(response.status) + ": " +
         response.body.substr(0, kMaxQuotedBody);
}

}  // namespace

HttpRequest FormatSubRequest(const wire::SubRequestT& request) {
  HttpRequest out;
  out.method = "POST";
  out.path = request.operation == wire::Operation::Order ? "/order" : "/search";
  const int64_t deadline_ms = std::max<int64_t>(request.budget_us / kMicrosPerMilli, 1);
  out.headers = {{"content-type", "application/json"},
                 {"x-request-id", request.request_id},
                 {"x-attempt", std::to_string(request.attempt)},
                 {"x-service", request.service},
                 {"x-shard", std::to_string(request.shard)},
                 {"x-shards", std::to_string(request.shards)},
                 {"x-snapshot", std::to_string(request.snapshot)},
                 {"x-deadline-ms", std::to_string(deadline_ms)}};
  if (!request.traceparent.empty()) out.headers.push_back({"traceparent", request.traceparent});
  out.body = request.body;
  return out;
}

wire::SubReplyT ParseSubReply(const wire::SubRequestT& request, HttpResponse response) {
  wire::SubReplyT reply = Start(request);
  const bool answered = response.status == 200;
  // A target may refuse before it has read the request; such a refusal echoes nothing.
  if (const auto wrong = WrongEcho(request, response, answered); !wrong.empty()) {
    return Failed(std::move(reply), ErrorCode::kWrongReply,
                  std::string(wrong) + " is \"" + std::string(response.Header(wrong)) + "\"");
  }
  reply.load = LoadOf(response);
  if (response.status == 503 && response.Header("x-not-run") == "true") {
    return Failed(std::move(reply), ErrorCode::kShed, Describe(response));
  }
  if (!answered) return Failed(std::move(reply), ErrorCode::kTargetFailed, Describe(response));
  if (Differs(response, "x-snapshot", std::to_string(request.snapshot), true)) {
    return Failed(std::move(reply), ErrorCode::kWrongSnapshot,
                  "x-snapshot is \"" + std::string(response.Header("x-snapshot")) + "\"");
  }
  if (!IsJson(response.body)) {
    return Failed(std::move(reply), ErrorCode::kTargetFailed,
                  "the body is not JSON: " + Describe(response));
  }
  reply.body = std::move(response.body);
  return reply;
}

wire::SubReplyT FailedSubReply(const wire::SubRequestT& request, const Error& error) {
  return Failed(Start(request), error.code, error.detail);
}

wire::SubReplyT FailedSubReply(const wire::SubRequestT& request, const HttpFailure& failure) {
  wire::SubReplyT reply = Failed(Start(request), failure.error.code, failure.error.detail);
  reply.crashed = failure.crashed;
  return reply;
}

TargetClient::TargetClient(boost::asio::io_context& io, Address address, HttpClientOptions options)
    : client(io, std::move(address), options) {}

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
                            .released = std::move(released)});
}

}  // namespace peridotgauge
