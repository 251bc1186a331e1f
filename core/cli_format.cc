// Formats tables and reports of the command-line tool.
#include "core/cli_format.h"

#include <algorithm>
#include <boost/json.hpp>
#include <ctime>
#include <functional>
#include <vector>

namespace peridotgauge {
namespace {

namespace json = boost::json;

using Row = std::vector<std::string>;

// Pads all columns except the last.
std::string FormatTable(const std::vector<Row>& rows) {
  std::vector<size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const Row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      out += row[i];
      if (i + 1 < row.size()) out += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    out += "\n";
  }
  return out;
}

std::string TextOf(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) return "-";
  return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

std::string TimeText(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) return "-";
  const auto seconds = static_cast<std::time_t>(value->to_number<int64_t>() / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char buffer[32];
  std::strftime(buffer, sizeof(buffer), "%Y-%m-%d %H:%M:%SZ", &utc);
  return buffer;
}

// Calls `format` with the parsed object. Returns `text` unchanged if it is not a JSON object.
std::string WithObject(const std::string& text,
                       const std::function<std::string(const json::object&)>& format) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) return text + "\n";
  return format(value.get_object());
}

const json::array& ArrayOf(const json::object& object, std::string_view key) {
  static const json::array kEmpty;
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_array() ? value->get_array() : kEmpty;
}

std::string HoldingsText(const json::object& target) {
  std::string out;
  for (const json::value& item : ArrayOf(target, "holds")) {
    if (!item.is_object()) continue;
    const json::object& held = item.get_object();
    if (!out.empty()) out += " ";
    out += TextOf(held, "snapshot") + ":" + TextOf(held, "shard") + "/" + TextOf(held, "shards");
  }
  return out;
}

// Formats the members of one section of the status on one line, "section: key=value key=value".
std::string SectionText(const json::object& status, std::string_view name) {
  const json::value* part = status.if_contains(name);
  if (part == nullptr || !part->is_object()) return "";
  std::string out = std::string(name) + ":";
  for (const auto& member : part->get_object()) {
    out += " " + std::string(member.key()) + "=" +
           (member.value().is_string() ? std::string(member.value().get_string())
                                       : json::serialize(member.value()));
  }
  return out + "\n";
}

std::string RouterTable(const json::object& status) {
  std::vector<Row> rows = {{"ROUTER", "DATA CENTRE", "ADDRESS", "DRAINING"}};
  for (const json::value& item : ArrayOf(status, "routers")) {
    if (!item.is_object()) continue;
    const json::object& router = item.get_object();
    rows.push_back({TextOf(router, "id"), TextOf(router, "data_centre"),
                    TextOf(router, "http_address"), TextOf(router, "draining")});
  }
  return FormatTable(rows);
}

}  // namespace

std::string FormatHistoryTable(const std::string& text) {
  return WithObject(text, [](const json::object& history) {
    std::vector<Row> rows = {{"REVISION", "ACCEPTED", "DIGEST", "AUTHOR"}};
    for (const json::value& item : ArrayOf(history, "revisions")) {
      if (!item.is_object()) continue;
      const json::object& entry = item.get_object();
      rows.push_back({TextOf(entry, "revision"), TimeText(entry, "accepted_at_ms"),
                      TextOf(entry, "digest"), TextOf(entry, "author")});
    }
    return FormatTable(rows);
  });
}

std::string FormatStatusReport(const std::string& text) {
  return WithObject(text, [](const json::object& status) {
    std::string out;
    for (const char* part : {"controller", "config", "ledger", "directory"}) {
      out += SectionText(status, part);
    }
    out += "quarantined requests: " + std::to_string(ArrayOf(status, "quarantine").size()) + "\n\n";
    return out + RouterTable(status);
  });
}

std::string FormatTargetTable(const std::string& text) {
  return WithObject(text, [](const json::object& directory) {
    std::vector<Row> rows = {{"TARGET", "SERVICE", "DATA CENTRE", "ADDRESS", "STATE", "SLOTS",
                              "CONNECTIONS", "HOLDS (snapshot:shard/shards)"}};
    for (const json::value& item : ArrayOf(directory, "targets")) {
      if (!item.is_object()) continue;
      const json::object& target = item.get_object();
      rows.push_back({TextOf(target, "target"), TextOf(target, "service"),
                      TextOf(target, "data_centre"), TextOf(target, "address"),
                      TextOf(target, "state"), TextOf(target, "slots"),
                      TextOf(target, "connections"), HoldingsText(target)});
    }
    return FormatTable(rows);
  });
}

std::string FormatSearchReport(const SearchResponse& response) {
  const size_t total = response.results.size() + response.missing.size();
  std::string out = "request " + response.request_id + ": " +
                    (response.missing.empty() ? "complete" : "INCOMPLETE") + ", " +
                    std::to_string(response.results.size()) + " of " + std::to_string(total) +
                    " shards, configuration " + std::to_string(response.revision);
  for (const FleetSnapshot& fleet : response.snapshots) {
    out += ", " + fleet.fleet + " snapshot " + std::to_string(fleet.snapshot);
  }
  out += "\nsub-requests: " + std::to_string(response.attempts.needed) + " needed, " +
         std::to_string(response.attempts.sent) + " sent (" +
         std::to_string(response.attempts.hedges) + " hedges, " +
         std::to_string(response.attempts.retries) + " retries)\n";
  std::vector<Row> rows;
  for (const ShardResult& result : response.results) {
    rows.push_back({"  covered", result.shard.service + "/" + std::to_string(result.shard.shard),
                    result.body});
  }
  for (const MissingShard& missing : response.missing) {
    rows.push_back({"  MISSING", missing.shard.service + "/" + std::to_string(missing.shard.shard),
                    std::string(InfoOf(missing.cause).name)});
  }
  return out + FormatTable(rows);
}

}  // namespace peridotgauge
