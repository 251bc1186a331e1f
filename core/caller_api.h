// The JSON of callers and targets: requests to value types, answers and errors to JSON, and the
// reverse for programs that call the system. No sockets.
//
// Use:
//   Result<SearchRequest> request = ParseSearchRequest(http_request.body);
//   if (!request) responder.Send(ErrorResponse(request.error(), ""));
//   responder.Send(JsonResponse(200, FormatSearchResponse(answer)));
//
// Contract: parsing errors are kBadRequest and name the field and what is allowed. Unknown fields
// are refused, so that a misspelt option never passes silently; parsers of answers ignore them. The
// JSON of a caller's query or order and of a target's reply is passed on as it was written.
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

// --- Errors ---

// The JSON body of an error. `not_run` may weaken the table's claim (false for a kUnavailable whose
// order may have been claimed), but cannot strengthen it.
std::string FormatError(const Error& error, std::string_view request_id, bool not_run = true);
// The body with the status of the error table.
HttpResponse ErrorResponse(const Error& error, std::string_view request_id, bool not_run = true);

// An error as a caller receives it.
struct ErrorBody {
  Error error;
  bool not_run = false;
  std::string request_id;
  bool operator==(const ErrorBody&) const = default;
};

// Reads an error body; a body of another form gives kInternal with a part of it as the detail.
ErrorBody ParseErrorBody(int status, std::string_view body);

// --- Addresses of routers ---

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
  std::string request_id;            // empty: the router chooses one
  bool operator==(const SearchRequest&) const = default;
};

Result<SearchRequest> ParseSearchRequest(std::string_view text);
std::string FormatSearchRequest(const SearchRequest& request);

// The snapshot from which a fleet was answered.
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
  std::string body;  // JSON text of the target
  bool operator==(const ShardResult&) const = default;
};

// Sub-requests of one search: the number of shards, and all that were sent.
struct AttemptCounts {
  uint32_t needed = 0;
  uint32_t sent = 0;
  uint32_t hedges = 0;
  uint32_t retries = 0;
  bool operator==(const AttemptCounts&) const = default;
};

// The covered shards are those of `results`; the answer is complete if nothing is missing.
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

// Every body in `results` must be valid JSON; ParseSubReply() checks it.
std::string FormatSearchResponse(const SearchResponse& answer);
Result<SearchResponse> ParseSearchResponse(std::string_view text);

// --- Orders ---

struct OrderRequest {
  std::string service;
  std::string request_id;    // 1 to kMaxRequestIdLength characters
  int64_t issued_at_ms = 0;  // Unix time, set once by the caller
  std::string body;          // JSON text
  std::optional<Duration> deadline;
  bool operator==(const OrderRequest&) const = default;
};

Result<OrderRequest> ParseOrderRequest(std::string_view text);
std::string FormatOrderRequest(const OrderRequest& request);

// The outcome "done"; every other outcome is an error.
struct OrderResponse {
  std::string request_id;
  std::string body;       // JSON text of the target
  bool replayed = false;  // recorded outcome of an earlier run
  bool operator==(const OrderResponse&) const = default;
};

std::string FormatOrderResponse(const OrderResponse& answer);
Result<OrderResponse> ParseOrderResponse(std::string_view text);

// --- Registration of targets ---

struct RegistrationRequest {
  TargetRecord record;  // without `registrar`
  double load = 0;      // 0..1 of the slots
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
std::string FormatRegistrationResponse(const RegistrationResponse& answer);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CALLER_API_H_
