// Parses and formats the JSON messages of callers and targets: requests, responses and errors, for
// both sides of a connection.
//
// Use:
//   Result<SearchRequest> request = ParseSearchRequest(http_request.body);
//   if (!request) responder.Send(ErrorResponse(request.error(), ""));
//   responder.Send(JsonResponse(200, FormatSearchResponse(response)));
//
// Parsing errors are kBadRequest and name the field and the allowed values. Parsers of requests
// reject unknown fields, so that a misspelt option is not silently ignored; parsers of responses
// ignore them. The JSON of a caller's query or order and of a target's reply is copied verbatim.
#ifndef PERIDOTGAUGE_CORE_CALLER_API_H_
#define PERIDOTGAUGE_CORE_CALLER_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/http_message.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

constexpr size_t kMaxRequestIdLength = 128;
constexpr size_t kMaxNameLength = 200;
constexpr Duration kMaxDeadline = Seconds(600);

// Header of searches and orders with the key of the caller's workspace. It is not forwarded.
constexpr std::string_view kKeyHeader = "x-workspace-key";
// Header of requests to targets with the name of the caller's workspace.
constexpr std::string_view kWorkspaceHeader = "x-workspace";

// Returns the key that the caller sends; empty if there is none or more than one.
std::string_view WorkspaceKey(const HttpRequest& request);

// --- Errors ---

// Returns the JSON body of an error. Its field "not_run" is true only if both `not_run` and the
// error table say so: `not_run` is false for a kUnavailable whose order may have been claimed.
std::string FormatError(const Error& error, std::string_view request_id, bool not_run = true);
// Returns a response with this body and the HTTP status of the error table.
HttpResponse ErrorResponse(const Error& error, std::string_view request_id, bool not_run = true);

// As ErrorResponse(), for a request that may be sent again after `retry_after`.
HttpResponse RetryResponse(const Error& error, std::string_view request_id, Duration retry_after,
                           bool not_run = true);

// The body of an error response, as a caller receives it.
struct ErrorBody {
  Error error;
  bool not_run = false;
  std::string request_id;
  bool operator==(const ErrorBody&) const = default;
};

// Parses an error body. A body of another form gives kInternal with the start of the body as
// detail.
ErrorBody ParseErrorBody(int status, std::string_view body);

// --- Router list ---

struct RouterEntry {
  Address address;
  std::string data_centre;
  bool operator==(const RouterEntry&) const = default;
};

struct RouterList {
  std::vector<RouterEntry> routers;
  Duration ttl = Millis(2'000);
  bool operator==(const RouterList&) const = default;
};

std::string FormatRouterList(const RouterList& list);
Result<RouterList> ParseRouterList(std::string_view text);

// --- Search ---

struct SearchRequest {
  std::string service;
  std::string query;                 // JSON text
  std::optional<Duration> deadline;  // absent: the service's deadline
  std::string request_id;            // empty: the router generates one
  std::string workspace;             // set by the router from the caller's key; not in the text
  bool operator==(const SearchRequest&) const = default;
};

Result<SearchRequest> ParseSearchRequest(std::string_view text);
std::string FormatSearchRequest(const SearchRequest& request);

// The snapshot from which the shards of a fleet were searched.
struct FleetSnapshot {
  std::string fleet;
  uint64_t snapshot = 0;
  bool operator==(const FleetSnapshot&) const = default;
};

struct MissingShard {
  ShardId shard;
  ErrorCode cause = ErrorCode::kInternal;
  bool operator==(const MissingShard&) const = default;
};

struct ShardResult {
  ShardId shard;
  uint64_t snapshot = 0;
  std::string body;  // JSON text from the target
  bool operator==(const ShardResult&) const = default;
};

// Counts of the sub-requests of one search.
struct AttemptCounts {
  uint32_t needed = 0;  // one per shard
  uint32_t sent = 0;    // with hedges and retries
  uint32_t hedges = 0;
  uint32_t retries = 0;
  bool operator==(const AttemptCounts&) const = default;
};

// The response is complete if `missing` is empty.
struct SearchResponse {
  std::string request_id;
  std::string service;
  uint64_t revision = 0;
  std::vector<FleetSnapshot> snapshots;
  std::vector<ShardResult> results;
  std::vector<MissingShard> missing;
  AttemptCounts attempts;
  bool operator==(const SearchResponse&) const = default;
};

// Formats a response. Each body in `results` must be valid JSON, which ParseSubReply() checks.
std::string FormatSearchResponse(const SearchResponse& response);
Result<SearchResponse> ParseSearchResponse(std::string_view text);

// --- Orders ---

struct OrderRequest {
  std::string service;
  std::string request_id;    // 1 to kMaxRequestIdLength characters
  int64_t issued_at_ms = 0;  // Unix time, set once by the caller
  std::string body;          // JSON text
  std::optional<Duration> deadline;
  std::string workspace;  // set by the router from the caller's key; not in the text
  bool operator==(const OrderRequest&) const = default;
};

Result<OrderRequest> ParseOrderRequest(std::string_view text);
std::string FormatOrderRequest(const OrderRequest& request);

// The response to an order with the outcome "done". All other outcomes are reported as errors.
struct OrderResponse {
  std::string request_id;
  std::string body;       // JSON text from the target
  bool replayed = false;  // the outcome was recorded by an earlier execution
  bool operator==(const OrderResponse&) const = default;
};

std::string FormatOrderResponse(const OrderResponse& response);
Result<OrderResponse> ParseOrderResponse(std::string_view text);

// --- Registration of targets ---

struct RegistrationRequest {
  TargetRecord record;  // without `registrar`
  double load = 0;      // fraction of the slots in use, 0 to 1
  bool operator==(const RegistrationRequest&) const = default;
};

struct RegistrationResponse {
  Duration lease = Millis(3'000);
  std::vector<Address> routers;
  bool operator==(const RegistrationResponse&) const = default;
};

Result<RegistrationRequest> ParseRegistrationRequest(std::string_view text);
std::string FormatRegistrationRequest(const RegistrationRequest& request);
Result<RegistrationResponse> ParseRegistrationResponse(std::string_view text);
std::string FormatRegistrationResponse(const RegistrationResponse& response);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CALLER_API_H_
