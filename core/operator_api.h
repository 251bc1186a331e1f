// The JSON of operators: requests to value types, answers to JSON, and the reverse for the
// command-line tool. No sockets.
//
// Use:
//   Result<std::optional<uint64_t>> revision = ParseRevision(http_request);
//   responder.Send(JsonResponse(200, FormatApplyResponse(answer)));
//
// Contract: parsing errors are kBadRequest and name the field. Digests are 16 hexadecimal digits in
// JSON, because a JSON number cannot hold 64 bits everywhere.
#ifndef PERIDOTGAUGE_CORE_OPERATOR_API_H_
#define PERIDOTGAUGE_CORE_OPERATOR_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/http_message.h"

namespace peridotgauge {

std::string FormatDigest(uint64_t digest);
Result<uint64_t> ParseDigest(std::string_view text);

// Reads the parameter "revision"; nothing if it is absent.
Result<std::optional<uint64_t>> ParseRevision(const HttpRequest& request);

// The outcome of an accepted text. `repeated`: the text had been accepted before, and this is the
// original outcome.
struct ApplyResponse {
  uint64_t revision = 0;
  uint64_t digest = 0;
  bool repeated = false;
  bool operator==(const ApplyResponse&) const = default;
};

std::string FormatApplyResponse(const ApplyResponse& answer);
Result<ApplyResponse> ParseApplyResponse(std::string_view text);

// The text that was accepted under the number, or that is in effect now.
struct ConflictResponse {
  std::string message;
  uint64_t revision = 0;  // of the winner
  uint64_t digest = 0;    // of the winner; 0 if it is unknown
  bool operator==(const ConflictResponse&) const = default;
};

// The error body of kConflict with one more member, "winner":{"revision":7,"digest":"..."}.
std::string FormatConflict(const ConflictResponse& answer);
Result<ConflictResponse> ParseConflict(std::string_view text);

struct HistoryEntry {
  uint64_t revision = 0;
  uint64_t digest = 0;
  std::string author;
  int64_t accepted_at_ms = 0;  // Unix time
  bool operator==(const HistoryEntry&) const = default;
};

std::string FormatHistory(const std::vector<HistoryEntry>& history);
Result<std::vector<HistoryEntry>> ParseHistory(std::string_view text);

// Whether a revision is in force: every router with a live session has acknowledged it, or a newer
// one.
struct InForceResponse {
  uint64_t revision = 0;
  bool accepted = false;             // committed
  bool in_force = false;             // implies `accepted`
  std::vector<std::string> waiting;  // ids of the routers that have not acknowledged
  bool operator==(const InForceResponse&) const = default;
};

std::string FormatInForce(const InForceResponse& answer);
Result<InForceResponse> ParseInForce(std::string_view text);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_OPERATOR_API_H_
