// JSON messages of callers and targets.
#include "core/caller_api.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <limits>
#include <utility>

#include "core/address.h"
#include "core/json_text.h"

namespace peridotgauge {
namespace {

constexpr uint64_t kMaxNumber = std::numeric_limits<uint64_t>::max();
constexpr uint64_t kMaxUint32 = std::numeric_limits<uint32_t>::max();
constexpr uint64_t kMaxMillis = 1'000 * static_cast<uint64_t>(kMaxDeadline / Seconds(1));
constexpr size_t kMaxText = 1 << 20;
constexpr size_t kMaxEntries = 1 << 20;
constexpr uint32_t kMaxSlots = 100'000;
constexpr size_t kMaxQuotedBody = 200;

// Builds a JSON object or array.
class JsonWriter {
 public:
  explicit JsonWriter(char open) : text(1, open) {}

  // Adds a member whose value is the JSON text `raw`.
  JsonWriter& Raw(std::string_view name, std::string_view raw) {
    this->Separate();
    this->text += '"';
    this->text += name;
    this->text += "\":";
    this->text += raw;
    return *this;
  }
  JsonWriter& String(std::string_view name, std::string_view value) {
    return this->Raw(name, QuoteJson(value));
  }
  template <typename T>
  JsonWriter& Number(std::string_view name, T value) {
    return this->Raw(name, std::to_string(value));
  }
  JsonWriter& Bool(std::string_view name, bool value) {
    return this->Raw(name, value ? "true" : "false");
  }
  JsonWriter& Element(std::string_view raw) {
    this->Separate();
    this->text += raw;
    return *this;
  }
  std::string Close() {
    this->text += this->text.front() == '{' ? '}' : ']';
    return std::move(this->text);
  }

 private:
  void Separate() {
    if (this->text.size() > 1) this->text += ',';
  }

  std::string text;
};

JsonWriter Object() { return JsonWriter('{'); }

template <typename Items, typename Format>
std::string FormatArray(const Items& items, Format format) {
  JsonWriter array('[');
  for (const auto& item : items) array.Element(format(item));
  return array.Close();
}

std::optional<Duration> ReadDeadline(JsonReader& reader) {
  if (!reader.Has("deadline_ms")) return std::nullopt;
  return Millis(static_cast<int64_t>(reader.Unsigned("deadline_ms", 1, kMaxMillis)));
}

// Ids are sent to targets in an HTTP header and must be returned unchanged.
std::string ReadName(JsonReader& reader, std::string_view name, size_t max_length) {
  std::string text = reader.String(name, 1, max_length);
  if (!IsVisibleAscii(text)) {
    reader.Unwrap(Result<bool>(
        Fail(ErrorCode::kBadRequest,
             std::string(name) + ": only visible ASCII characters without spaces are allowed")));
  }
  return text;
}

Result<Address> CheckAddress(std::string_view name, std::string address) {
  const Result<Endpoint> endpoint = ParseAddress(address);
  if (!endpoint) {
    return Fail(ErrorCode::kBadRequest, std::string(name) + ": " + endpoint.error().detail);
  }
  return address;
}

ShardId ReadShard(JsonReader& reader) {
  return {.service = reader.String("service", 0, kMaxText),
          .shard = static_cast<uint32_t>(reader.Unsigned("shard", 0, kMaxUint32))};
}

Result<RouterEntry> ParseRouterEntry(std::string_view text) {
  JsonReader reader(text, "routers[]");
  RouterEntry entry;
  entry.address = reader.Unwrap(CheckAddress("address", reader.String("address", 1, kMaxText)));
  entry.data_centre = reader.String("data_centre", 0, kMaxText);
  return reader.Finish(entry);
}

Result<MissingShard> ParseMissing(std::string_view text) {
  JsonReader reader(text, "missing[]");
  MissingShard missing;
  missing.shard = ReadShard(reader);
  const std::string cause = reader.String("cause", 0, kMaxText);
  missing.cause = ErrorCodeFromName(cause).value_or(ErrorCode::kInternal);
  return reader.Finish(missing);
}

Result<ShardResult> ParseShardResult(std::string_view text) {
  JsonReader reader(text, "results[]");
  ShardResult result;
  result.shard = ReadShard(reader);
  result.snapshot = reader.Unsigned("snapshot", 0, kMaxNumber);
  result.body = reader.Raw("body");
  return reader.Finish(result);
}

Result<AttemptCounts> ParseAttempts(std::string_view text) {
  JsonReader reader(text, "attempts");
  AttemptCounts counts;
  counts.needed = static_cast<uint32_t>(reader.Unsigned("needed", 0, kMaxUint32));
  counts.sent = static_cast<uint32_t>(reader.Unsigned("sent", 0, kMaxUint32));
  counts.hedges = static_cast<uint32_t>(reader.Unsigned("hedges", 0, kMaxUint32));
  counts.retries = static_cast<uint32_t>(reader.Unsigned("retries", 0, kMaxUint32));
  return reader.Finish(counts);
}

Result<std::vector<FleetSnapshot>> ParseSnapshots(std::string_view text) {
  const Result<JsonObject> object = JsonObject::Parse(text, "snapshots");
  if (!object) return tl::unexpected<Error>(object.error());
  std::vector<FleetSnapshot> snapshots;
  for (const JsonMember& member : object->Members()) {
    const Result<uint64_t> snapshot = object->Unsigned(member.name, 0, kMaxNumber);
    if (!snapshot) return tl::unexpected<Error>(snapshot.error());
    snapshots.push_back({member.name, *snapshot});
  }
  return snapshots;
}

std::string FormatShard(const ShardId& shard) {
  return Object().String("service", shard.service).Number("shard", shard.shard).Close();
}

std::string FormatMissing(const MissingShard& missing) {
  return Object()
      .String("service", missing.shard.service)
      .Number("shard", missing.shard.shard)
      .String("cause", InfoOf(missing.cause).name)
      .Close();
}

std::string FormatShardResult(const ShardResult& result) {
  return Object()
      .String("service", result.shard.service)
      .Number("shard", result.shard.shard)
      .Number("snapshot", result.snapshot)
      .Raw("body", result.body)
      .Close();
}

std::string FormatSnapshots(const std::vector<FleetSnapshot>& snapshots) {
  JsonWriter object('{');
  for (const FleetSnapshot& pinned : snapshots) {
    object.Element(QuoteJson(pinned.fleet) + ":" + std::to_string(pinned.snapshot));
  }
  return object.Close();
}

std::string FormatAttempts(const AttemptCounts& counts) {
  return Object()
      .Number("needed", counts.needed)
      .Number("sent", counts.sent)
      .Number("hedges", counts.hedges)
      .Number("retries", counts.retries)
      .Close();
}

Result<Holding> ParseHolding(std::string_view text) {
  JsonReader reader(text, "holds[]");
  reader.RejectUnknownFields({"snapshot", "shard", "shards"});
  Holding held;
  held.snapshot = reader.Unsigned("snapshot", 0, kMaxNumber);
  held.shards = static_cast<uint32_t>(reader.Unsigned("shards", 1, kMaxHoldings));
  held.shard =
      static_cast<uint32_t>(reader.Unsigned("shard", 0, std::max<uint64_t>(held.shards, 1) - 1));
  return reader.Finish(held);
}

Result<TargetState> ParseState(std::string_view name) {
  const auto* found = std::find(kTargetStateNames.begin(), kTargetStateNames.end(), name);
  if (found == kTargetStateNames.end()) {
    return Fail(ErrorCode::kBadRequest,
                "registration: state: expected starting, serving, draining or gone");
  }
  return static_cast<TargetState>(found - kTargetStateNames.begin());
}

std::string FormatHolding(const Holding& held) {
  return Object()
      .Number("snapshot", held.snapshot)
      .Number("shard", held.shard)
      .Number("shards", held.shards)
      .Close();
}

}  // namespace

// --- Errors ---

std::string FormatError(const Error& error, std::string_view request_id, bool not_run) {
  const ErrorInfo& info = InfoOf(error.code);
  return Object()
      .String("error", info.name)
      .String("message", error.detail.empty() ? info.text : error.detail)
      .Bool("not_run", info.not_run && not_run)
      .String("request_id", request_id)
      .Close();
}

HttpResponse ErrorResponse(const Error& error, std::string_view request_id, bool not_run) {
  return JsonResponse(InfoOf(error.code).http_status, FormatError(error, request_id, not_run));
}

HttpResponse RetryResponse(const Error& error, std::string_view request_id, Duration retry_after,
                           bool not_run) {
  HttpResponse response = ErrorResponse(error, request_id, not_run);
  response.headers.push_back({"retry-after", RetryAfterValue(retry_after)});
  return response;
}

ErrorBody ParseErrorBody(int status, std::string_view body) {
  JsonReader reader(body, "error");
  const std::optional<ErrorCode> code = ErrorCodeFromName(reader.String("error", 0, kMaxText));
  ErrorBody error_body;
  error_body.error.code = code.value_or(ErrorCode::kInternal);
  error_body.error.detail = reader.String("message", 0, kMaxText);
  error_body.not_run = reader.Bool("not_run");
  if (reader.Has("request_id")) error_body.request_id = reader.String("request_id", 0, kMaxText);
  const Result<ErrorBody> read = reader.Finish(error_body);
  if (read && code) return *read;
  return {.error = {ErrorCode::kInternal, "status " + std::to_string(status) + ": " +
                                              std::string(body.substr(0, kMaxQuotedBody))},
          .not_run = false,
          .request_id = {}};
}

std::string_view WorkspaceKey(const HttpRequest& request) {
  std::string_view key;
  for (const HttpHeader& header : request.headers) {
    if (!boost::beast::iequals(header.name, kKeyHeader)) continue;
    if (!key.empty()) return {};
    key = header.value;
  }
  return key;
}

// --- Router list ---

std::string FormatRouterList(const RouterList& list) {
  const auto format = [](const RouterEntry& entry) {
    return Object()
        .String("address", entry.address)
        .String("data_centre", entry.data_centre)
        .Close();
  };
  return Object()
      .Raw("routers", FormatArray(list.routers, format))
      .Number("ttl_ms", WholeMillis(list.ttl))
      .Close();
}

Result<RouterList> ParseRouterList(std::string_view text) {
  JsonReader reader(text, "router list");
  RouterList list;
  list.routers = reader.ReadArray<RouterEntry>("routers", kMaxEntries, ParseRouterEntry);
  list.ttl = Millis(static_cast<int64_t>(reader.Unsigned("ttl_ms", 0, kMaxMillis)));
  return reader.Finish(list);
}

// --- Search ---

Result<SearchRequest> ParseSearchRequest(std::string_view text) {
  JsonReader reader(text, "search request");
  reader.RejectUnknownFields({"service", "query", "deadline_ms", "request_id"});
  SearchRequest request;
  request.service = ReadName(reader, "service", kMaxNameLength);
  request.query = reader.Raw("query");
  request.deadline = ReadDeadline(reader);
  if (reader.Has("request_id")) {
    request.request_id = ReadName(reader, "request_id", kMaxRequestIdLength);
  }
  return reader.Finish(request);
}

std::string FormatSearchRequest(const SearchRequest& request) {
  JsonWriter object = Object();
  object.String("service", request.service).Raw("query", request.query);
  if (request.deadline) object.Number("deadline_ms", WholeMillis(*request.deadline));
  if (!request.request_id.empty()) object.String("request_id", request.request_id);
  return object.Close();
}

std::string FormatSearchResponse(const SearchResponse& response) {
  const auto covered = [](const ShardResult& result) { return FormatShard(result.shard); };
  return Object()
      .String("request_id", response.request_id)
      .String("service", response.service)
      .Number("revision", response.revision)
      .Raw("snapshots", FormatSnapshots(response.snapshots))
      .Bool("complete", response.missing.empty())
      .Raw("covered", FormatArray(response.results, covered))
      .Raw("missing", FormatArray(response.missing, FormatMissing))
      .Raw("results", FormatArray(response.results, FormatShardResult))
      .Raw("attempts", FormatAttempts(response.attempts))
      .Close();
}

Result<SearchResponse> ParseSearchResponse(std::string_view text) {
  JsonReader reader(text, "search response");
  SearchResponse response;
  response.request_id = reader.String("request_id", 0, kMaxText);
  response.service = reader.String("service", 0, kMaxText);
  response.revision = reader.Unsigned("revision", 0, kMaxNumber);
  response.snapshots = reader.Unwrap(ParseSnapshots(reader.Raw("snapshots")));
  response.results = reader.ReadArray<ShardResult>("results", kMaxEntries, ParseShardResult);
  response.missing = reader.ReadArray<MissingShard>("missing", kMaxEntries, ParseMissing);
  response.attempts = reader.Unwrap(ParseAttempts(reader.Raw("attempts")));
  const std::vector<std::string> covered = reader.Array("covered", kMaxEntries);
  const bool complete = reader.Bool("complete");
  Result<SearchResponse> read = reader.Finish(response);
  if (read && (complete != response.missing.empty() || covered.size() != response.results.size())) {
    return Fail(ErrorCode::kBadRequest, "search response: complete: contradicts the shard lists");
  }
  return read;
}

// --- Orders ---

Result<OrderRequest> ParseOrderRequest(std::string_view text) {
  JsonReader reader(text, "order request");
  reader.RejectUnknownFields({"service", "request_id", "issued_at_ms", "body", "deadline_ms"});
  OrderRequest request;
  request.service = ReadName(reader, "service", kMaxNameLength);
  request.request_id = ReadName(reader, "request_id", kMaxRequestIdLength);
  request.issued_at_ms =
      static_cast<int64_t>(reader.Unsigned("issued_at_ms", 0, std::numeric_limits<int64_t>::max()));
  request.body = reader.Raw("body");
  request.deadline = ReadDeadline(reader);
  return reader.Finish(request);
}

std::string FormatOrderRequest(const OrderRequest& request) {
  JsonWriter object = Object();
  object.String("service", request.service)
      .String("request_id", request.request_id)
      .Number("issued_at_ms", request.issued_at_ms)
      .Raw("body", request.body);
  if (request.deadline) object.Number("deadline_ms", WholeMillis(*request.deadline));
  return object.Close();
}

std::string FormatOrderResponse(const OrderResponse& response) {
  return Object()
      .String("request_id", response.request_id)
      .String("outcome", "done")
      .Raw("body", response.body)
      .Bool("replayed", response.replayed)
      .Close();
}

Result<OrderResponse> ParseOrderResponse(std::string_view text) {
  JsonReader reader(text, "order response");
  OrderResponse response;
  response.request_id = reader.String("request_id", 0, kMaxText);
  response.body = reader.Raw("body");
  response.replayed = reader.Bool("replayed");
  const std::string outcome = reader.String("outcome", 0, kMaxText);
  Result<OrderResponse> read = reader.Finish(response);
  if (read && outcome != "done") {
    return Fail(ErrorCode::kBadRequest, "order response: outcome: expected \"done\"");
  }
  return read;
}

// --- Registration of targets ---

Result<RegistrationRequest> ParseRegistrationRequest(std::string_view text) {
  JsonReader reader(text, "registration");
  reader.RejectUnknownFields({"target", "address", "service", "data_centre", "incarnation",
                              "sequence", "state", "slots", "connections", "holds", "load"});
  RegistrationRequest request;
  TargetRecord& record = request.record;
  record.target = ReadName(reader, "target", kMaxNameLength);
  record.address = reader.Unwrap(
      CheckAddress("registration: address", reader.String("address", 1, kMaxNameLength)));
  record.service = ReadName(reader, "service", kMaxNameLength);
  record.data_centre = ReadName(reader, "data_centre", kMaxNameLength);
  record.incarnation = reader.Unsigned("incarnation", 0, kMaxNumber);
  record.sequence = reader.Unsigned("sequence", 0, kMaxNumber);
  record.state = reader.Unwrap(ParseState(reader.String("state", 1, kMaxNameLength)));
  record.slots = static_cast<uint32_t>(reader.Unsigned("slots", 1, kMaxSlots));
  record.connections = static_cast<uint32_t>(reader.Unsigned("connections", 1, kMaxSlots));
  record.holds = reader.ReadArray<Holding>("holds", kMaxHoldings, ParseHolding);
  if (reader.Has("load")) request.load = reader.Number("load", 0, 1);
  return reader.Finish(request);
}

std::string FormatRegistrationRequest(const RegistrationRequest& request) {
  const TargetRecord& record = request.record;
  return Object()
      .String("target", record.target)
      .String("address", record.address)
      .String("service", record.service)
      .String("data_centre", record.data_centre)
      .Number("incarnation", record.incarnation)
      .Number("sequence", record.sequence)
      .String("state", NameOf(record.state))
      .Number("slots", record.slots)
      .Number("connections", record.connections)
      .Raw("holds", FormatArray(record.holds, FormatHolding))
      .Number("load", request.load)
      .Close();
}

Result<RegistrationResponse> ParseRegistrationResponse(std::string_view text) {
  JsonReader reader(text, "registration response");
  RegistrationResponse response;
  response.lease = Millis(static_cast<int64_t>(reader.Unsigned("lease_ms", 1, kMaxMillis)));
  response.routers = reader.Strings("routers", kMaxEntries, kMaxNameLength);
  return reader.Finish(response);
}

std::string FormatRegistrationResponse(const RegistrationResponse& response) {
  return Object()
      .Number("lease_ms", WholeMillis(response.lease))
      .Raw("routers", FormatArray(response.routers, QuoteJson))
      .Close();
}

}  // namespace peridotgauge
