// Formats tables and reports of the command-line tool.
#include "core/cli_format.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
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

const json::object& ObjectOf(const json::object& object, std::string_view key) {
  static const json::object kEmpty;
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_object() ? value->get_object() : kEmpty;
}

// Formats a number with at most two decimals; other values as TextOf().
std::string NumberText(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value != nullptr && value->is_null()) return "-";
  if (value == nullptr || !value->is_double()) return TextOf(object, key);
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%.2f", value->get_double());
  std::string text = buffer;
  while (text.back() == '0') text.pop_back();
  if (text.back() == '.') text.pop_back();
  return text;
}

// The state with what belongs to it, for example "paused 250 ms".
std::string CandidateStateText(const json::object& candidate) {
  std::string out = TextOf(candidate, "state");
  for (const char* key : {"paused_for_ms", "ejected_for_ms", "avoided_for_ms"}) {
    if (!candidate.contains(key)) continue;
    const std::string name(key, std::string_view(key).find('_'));
    if (out != name) out += ", " + name;
    out += " " + NumberText(candidate, key) + " ms";
  }
  const json::object& cold = ObjectOf(candidate, "cold");
  if (!cold.empty()) {
    out += " " + NumberText(cold, "left_ms") + " ms, " + NumberText(cold, "sent_last_s") + " of " +
           NumberText(cold, "allowed_per_s") + "/s";
  }
  return out;
}

std::string ExplainedServiceText(const json::object& service) {
  std::string out = "\nservice " + TextOf(service, "service");
  if (service.contains("weight")) {
    out += ", weight " + NumberText(service, "weight") +
           (TextOf(service, "next") == "true" ? ", next" : ", not next");
  }
  const json::value* first = service.if_contains("first_choice");
  const bool chosen = first != nullptr && first->is_string();
  out +=
      chosen ? ": " + TextOf(service, "first_choice") : ": nothing, " + TextOf(service, "reason");
  out += " (" + NumberText(service, "extra_left") + " extra requests left)\n";
  std::vector<Row> rows = {{"  TARGET", "DATA CENTRE", "STATE", "IN FLIGHT", "LATENCY ms",
                            "FAILURES", "CONNECTIONS", "SCORE", "WHY"}};
  for (const json::value& item : ArrayOf(service, "candidates")) {
    if (!item.is_object()) continue;
    const json::object& candidate = item.get_object();
    rows.push_back(
        {(TextOf(candidate, "chosen") == "true" ? "* " : "  ") + TextOf(candidate, "target"),
         TextOf(candidate, "data_centre"), CandidateStateText(candidate),
         TextOf(candidate, "in_flight"), NumberText(candidate, "latency_ms"),
         NumberText(candidate, "failure_share"),
         TextOf(candidate, "connections") + "/" + TextOf(candidate, "connections_allowed"),
         NumberText(candidate, "score"), TextOf(candidate, "reason")});
  }
  return rows.size() == 1 ? out : out + FormatTable(rows);
}

std::string ExplainedWorkspaceText(const json::object& explanation) {
  const json::object& workspace = ObjectOf(explanation, "workspace");
  if (workspace.empty()) {
    return "workspace: none, " + TextOf(explanation, "workspace_reason") + "\n";
  }
  std::string out = "workspace: " + TextOf(workspace, "name");
  const json::value* priority = workspace.if_contains("priority");
  if (priority != nullptr && priority->is_number()) {
    out += ", priority " + json::serialize(*priority);
  }
  const json::object& quota = ObjectOf(workspace, "quota");
  if (quota.empty()) return out + ", no quota\n";
  out += ", quota " + NumberText(quota, "rate_per_s") + "/s with burst " +
         NumberText(quota, "burst") + ", " + TextOf(quota, "permits") + " permits, " +
         TextOf(quota, "waiting") +
         " requests waiting, near its limit: " + NumberText(quota, "near_limit") +
         ", decision: " + TextOf(quota, "decision");
  if (quota.contains("retry_after_ms")) {
    out += ", retry after " + NumberText(quota, "retry_after_ms") + " ms";
  }
  return out + "\n";
}

std::string ExplainedRouteText(const json::object& explanation) {
  const json::object& route = ObjectOf(explanation, "route");
  if (route.empty()) return "route: none, " + TextOf(explanation, "route_reason") + "\n";
  std::string out = "route: " + TextOf(route, "name") + ", prefix " + TextOf(route, "prefix") +
                    ", priority " + TextOf(route, "priority") + ", timeout " +
                    NumberText(route, "timeout_ms") + " ms" +
                    (TextOf(route, "idempotent") == "true" ? "" : ", not idempotent");
  if (route.contains("shards")) {
    out += ", " + TextOf(route, "shards") + " shards, at least " + TextOf(route, "min_shards");
  }
  return out + "\n";
}

std::string ExplainedOverloadText(const json::object& explanation) {
  const json::object& overload = ObjectOf(explanation, "overload");
  if (TextOf(overload, "enabled") != "true") return "overload: decisions are disabled\n";
  if (!overload.contains("rejected")) return "";
  return std::string("overload: ") +
         (TextOf(overload, "rejected") == "true"
              ? "rejected because of " + TextOf(overload, "reason")
              : "admitted") +
         ", refused share " + NumberText(overload, "refused_share") + ", chance " +
         NumberText(overload, "chance") + ", retries left " + NumberText(overload, "retries_left") +
         "\n";
}

}  // namespace

std::string FormatExplanationReport(const std::string& text) {
  return WithObject(text, [](const json::object& explanation) {
    const json::object& outcome = ObjectOf(explanation, "outcome");
    std::string out = TextOf(outcome, "decision");
    if (outcome.contains("status")) out += " with " + TextOf(outcome, "status");
    out +=
        ": " + TextOf(outcome, "reason") + "\nrouter: " + TextOf(explanation, "router") + " in " +
        TextOf(explanation, "data_centre") + ", configuration " + TextOf(explanation, "revision") +
        ", directory " + TextOf(explanation, "directory") +
        (TextOf(explanation, "in_contact") == "true" ? "" : ", NO CONTACT with the controllers") +
        (TextOf(explanation, "draining") == "true" ? ", draining" : "") + "\n";
    if (TextOf(explanation, "revision") == "0") return out;
    out += ExplainedRouteText(explanation);
    if (ObjectOf(explanation, "route").empty()) return out;
    out += ExplainedWorkspaceText(explanation);
    const json::object& suspicion = ObjectOf(explanation, "suspicion");
    if (!suspicion.empty()) {
      out += "suspected of crashing targets: " + TextOf(suspicion, "status");
      for (const json::value& service : ArrayOf(suspicion, "services")) {
        if (service.is_string()) out += " " + std::string(service.get_string());
      }
      out += "\n";
    }
    out += ExplainedOverloadText(explanation);
    const json::object& extra = ObjectOf(explanation, "extra_requests");
    out += "extra requests: slack " + NumberText(extra, "slack") +
           " of this router, divided among " + NumberText(extra, "routers") + "\n";
    for (const json::value& item : ArrayOf(explanation, "services")) {
      if (!item.is_object()) continue;
      out += ExplainedServiceText(item.get_object());
    }
    return out;
  });
}

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
