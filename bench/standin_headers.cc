// Parsing and echoing of sub-request headers.
#include "bench/standin_headers.h"

#include <charconv>
#include <string_view>

namespace peridotgauge {
namespace {

template <typename T>
std::optional<T> ParseInteger(std::string_view text) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

std::optional<SubRequestHeaders> ParseSubRequestHeaders(const HttpRequest& request) {
  const auto shard = ParseInteger<uint32_t>(request.Header("x-shard"));
  const auto shards = ParseInteger<uint32_t>(request.Header("x-shards"));
  const auto snapshot = ParseInteger<uint64_t>(request.Header("x-snapshot"));
  const auto deadline = ParseInteger<int64_t>(request.Header("x-deadline-ms"));
  const bool known = request.path == "/search" || request.path == "/order";
  if (!known || !shard || !shards || !snapshot || !deadline ||
      !ParseInteger<uint32_t>(request.Header("x-attempt")) ||
      request.Header("x-request-id").empty()) {
    return std::nullopt;
  }
  return SubRequestHeaders{.request_id = std::string(request.Header("x-request-id")),
                           .attempt = std::string(request.Header("x-attempt")),
                           .service = std::string(request.Header("x-service")),
                           .holding = {*snapshot, *shard, *shards},
                           .deadline = Millis(*deadline)};
}

void AddEchoedHeaders(const SubRequestHeaders& headers, HttpResponse& response) {
  response.headers.push_back({"x-request-id", headers.request_id});
  response.headers.push_back({"x-attempt", headers.attempt});
  response.headers.push_back({"x-service", headers.service});
  response.headers.push_back({"x-shard", std::to_string(headers.holding.shard)});
  response.headers.push_back({"x-snapshot", std::to_string(headers.holding.snapshot)});
}

}  // namespace peridotgauge
