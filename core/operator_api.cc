// JSON messages of operators.
#include "core/operator_api.h"

#include <charconv>
#include <limits>
#include <utility>

#include "core/caller_api.h"
#include "core/json_text.h"

namespace peridotgauge {
namespace {

constexpr uint64_t kMaxNumber = std::numeric_limits<uint64_t>::max();
constexpr size_t kMaxText = 1 << 20;
constexpr size_t kDigestLength = 16;
constexpr size_t kMaxEntries = 1 << 20;

std::string RevisionAndDigest(uint64_t revision, uint64_t digest) {
  return R"("revision":)" + std::to_string(revision) + R"(,"digest":")" + FormatDigest(digest) +
         "\"";
}

std::string_view BoolText(bool value) { return value ? "true" : "false"; }

uint64_t ReadDigest(JsonReader& reader) {
  const std::string text = reader.String("digest", kDigestLength, kDigestLength);
  return text.empty() ? 0 : reader.Unwrap(ParseDigest(text));
}

Result<HistoryEntry> ParseHistoryEntry(std::string_view text) {
  JsonReader reader(text, "history entry");
  HistoryEntry entry;
  entry.revision = reader.Unsigned("revision", 0, kMaxNumber);
  entry.digest = ReadDigest(reader);
  entry.author = reader.String("author", 0, kMaxText);
  entry.accepted_at_ms = static_cast<int64_t>(
      reader.Unsigned("accepted_at_ms", 0, std::numeric_limits<int64_t>::max()));
  return reader.Finish(entry);
}

}  // namespace

std::string FormatDigest(uint64_t digest) {
  std::string text(kDigestLength, '0');
  char buffer[kDigestLength];
  const auto [end, error] = std::to_chars(buffer, buffer + kDigestLength, digest, 16);
  const auto length = static_cast<size_t>(end - buffer);
  text.replace(kDigestLength - length, length, buffer, length);
  return text;
}

Result<uint64_t> ParseDigest(std::string_view text) {
  uint64_t digest = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), digest, 16);
  if (text.size() != kDigestLength || error != std::errc() || end != text.data() + text.size()) {
    return Fail(ErrorCode::kBadRequest, "digest: expected 16 hexadecimal digits");
  }
  return digest;
}

Result<std::optional<uint64_t>> ParseRevision(const HttpRequest& request) {
  const auto text = request.Parameter("revision");
  if (!text) return std::optional<uint64_t>();
  uint64_t revision = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), revision);
  if (error != std::errc() || end != text->data() + text->size()) {
    return Fail(ErrorCode::kBadRequest,
                "revision \"" + std::string(*text) + "\": expected a whole number");
  }
  return std::optional<uint64_t>(revision);
}

std::string FormatApplyResponse(const ApplyResponse& response) {
  return "{" + RevisionAndDigest(response.revision, response.digest) +
         R"(,"accepted":true,"repeated":)" + std::string(BoolText(response.repeated)) + "}";
}

Result<ApplyResponse> ParseApplyResponse(std::string_view text) {
  JsonReader reader(text, "apply response");
  ApplyResponse response;
  response.revision = reader.Unsigned("revision", 0, kMaxNumber);
  response.digest = ReadDigest(reader);
  response.repeated = reader.Bool("repeated");
  return reader.Finish(response);
}

std::string FormatConflict(const ConflictResponse& response) {
  std::string text = FormatError({ErrorCode::kConflict, response.message}, "");
  text.pop_back();
  text += R"(,"winner":{)" + RevisionAndDigest(response.revision, response.digest) + "}}";
  return text;
}

Result<ConflictResponse> ParseConflict(std::string_view text) {
  JsonReader reader(text, "conflict");
  ConflictResponse response;
  response.message = reader.String("message", 0, kMaxText);
  JsonReader winner(reader.Raw("winner"), "conflict.winner");
  response.revision = winner.Unsigned("revision", 0, kMaxNumber);
  response.digest = ReadDigest(winner);
  return reader.Finish(response).and_then(
      [&](const ConflictResponse& read) { return winner.Finish(read); });
}

std::string FormatHistory(const std::vector<HistoryEntry>& history) {
  std::string text = R"({"history":[)";
  for (const HistoryEntry& entry : history) {
    if (text.back() == '}') text += ',';
    text += "{" + RevisionAndDigest(entry.revision, entry.digest) + R"(,"author":)" +
            QuoteJson(entry.author) + R"(,"accepted_at_ms":)" +
            std::to_string(entry.accepted_at_ms) + "}";
  }
  return text + "]}";
}

Result<std::vector<HistoryEntry>> ParseHistory(std::string_view text) {
  JsonReader reader(text, "history");
  return reader.Finish(reader.ReadArray<HistoryEntry>("history", kMaxEntries, ParseHistoryEntry));
}

std::string FormatInForce(const InForceResponse& response) {
  std::string text = R"({"revision":)" + std::to_string(response.revision) + R"(,"accepted":)" +
                     std::string(BoolText(response.accepted)) + R"(,"in_force":)" +
                     std::string(BoolText(response.in_force)) + R"(,"waiting":[)";
  for (const std::string& router : response.waiting) {
    if (text.back() != '[') text += ',';
    text += QuoteJson(router);
  }
  return text + "]}";
}

Result<InForceResponse> ParseInForce(std::string_view text) {
  JsonReader reader(text, "in-force response");
  InForceResponse response;
  response.revision = reader.Unsigned("revision", 0, kMaxNumber);
  response.accepted = reader.Bool("accepted");
  response.in_force = reader.Bool("in_force");
  response.waiting = reader.Strings("waiting", kMaxEntries, kMaxText);
  return reader.Finish(response);
}

}  // namespace peridotgauge
