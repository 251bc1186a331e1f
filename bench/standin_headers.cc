// Reading and echoing the headers of a sub-request.
#include "bench/standin_headers.h"

#include <charconv>
#include <string_view>

namespace peridotgauge {
namespace {

template <typename T>
std::optional<T> NumberOf(std::string_view text) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

std::optional<SubHeaders> ReadHeaders(const HttpRequest& request) {
  const auto shard = NumberOf<uint32_t>(request.Header("x-shard"));
  const auto shards = NumberOf<uint32_t>(request.Header("x-shards"));
  const auto snapshot = NumberOf<uint64_t>(request.Header("x-snapshot"));
  const auto deadline = NumberOf<int64_t>(request.Header("x-deadline-ms"));
  const bool known = request.path == "/search" || request.path == "/order";
  if (!known || !shard || !shards || !snapshot || !deadline ||
      !NumberOf<uint32_t>(request.Header("x-attempt")) || request.Header("x-request-id").empty()) {
    return std::nullopt;
  }
  return SubHeaders{.request_id = std::string(request.Header("x-request-id")),
                    .attempt = std::string(request.Header("x-attempt")),
                    .service = std::string(request.Header("x-service")),
                    .holding = {*snapshot, *shard, *shards},
                    .deadline = Millis(*deadline)};
}

void Echo(const SubHeaders& headers, HttpResponse& response) {
  response.headers.push_back({"x-request-id", headers.request_id});
  response.headers.push_back({"x-attempt", headers.attempt});
  response.headers.push_back({"x-service", headers.service});
  response.headers.push_back({"x-shard", std::to_string(headers.holding.shard)});
  response.headers.push_back({"x-snapshot", std::to_string(headers.holding.snapshot)});
}

}  // namespace peridotgauge
