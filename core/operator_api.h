// Parses and formats the JSON messages between operators (the command-line tool) and the system.
//
// Use:
//   Result<std::optional<uint64_t>> revision = ParseRevision(http_request);
//   responder.Send(JsonResponse(200, FormatApplyResponse(response)));
//
// Parsing errors are kBadRequest and name the field. Digests are strings of 16 hexadecimal digits,
// because many JSON implementations cannot represent 64-bit integers.
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

// Parses the query parameter "revision"; nullopt if it is absent.
Result<std::optional<uint64_t>> ParseRevision(const HttpRequest& request);

// Reports that a configuration was accepted. `repeated`: it had been accepted before, and this is
// the original outcome.
struct ApplyResponse {
  uint64_t revision = 0;
  uint64_t digest = 0;
  bool repeated = false;
  bool operator==(const ApplyResponse&) const = default;
};

std::string FormatApplyResponse(const ApplyResponse& response);
Result<ApplyResponse> ParseApplyResponse(std::string_view text);

// Names the configuration that was accepted in place of the rejected one: the one accepted under
// the same revision, or the current one.
struct ConflictResponse {
  std::string message;
  uint64_t revision = 0;  // of the winner
  uint64_t digest = 0;    // of the winner; 0 if it is unknown
  bool operator==(const ConflictResponse&) const = default;
};

// Formats an error body of kConflict with the additional member
// "winner":{"revision":7,"digest":"..."}.
std::string FormatConflict(const ConflictResponse& response);
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

// Reports whether a revision is in force, that is, whether every router with a live session has
// acknowledged it or a newer one.
struct InForceResponse {
  uint64_t revision = 0;
  bool accepted = false;             // committed
  bool in_force = false;             // implies `accepted`
  std::vector<std::string> waiting;  // ids of the routers that have not acknowledged
  bool operator==(const InForceResponse&) const = default;
};

std::string FormatInForce(const InForceResponse& response);
Result<InForceResponse> ParseInForce(std::string_view text);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_OPERATOR_API_H_
