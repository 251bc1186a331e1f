// Parsing, validation, digests and comparison of configurations.
#include "core/config.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "core/caller_api.h"
#include "core/strict_json.h"

namespace peridotgauge {
namespace {

namespace json = boost::json;

using FleetMap = std::map<std::string, Fleet, std::less<>>;
using ServiceMap = std::map<std::string, Service, std::less<>>;
using WorkspaceMap = std::map<std::string, Workspace, std::less<>>;

constexpr IntegerRange kSlotsRange = {1, 1'024};
constexpr IntegerRange kConnectionsRange = {1, 65'535};
constexpr IntegerRange kConnectMillisRange = {0, 10'000};
constexpr IntegerRange kPercentRange = {0, 100};
constexpr IntegerRange kDeadlineMillisRange = {1, 600'000};
constexpr IntegerRange kPriorityRange = {0, UINT32_MAX};
// Far above what a fleet serves; keeps products of a rate and a time exact enough.
constexpr double kMaxQuota = 1e9;
constexpr size_t kMaxShownCycleLength = 10;

std::string Quoted(std::string_view text) { return "\"" + std::string(text) + "\""; }

Fleet ReadFleet(JsonErrorCollector& errors, const json::value& value, const std::string& name) {
  Fleet fleet{.name = name};
  StrictJsonObject object(errors, value, "fleets." + name);
  object.Read("slots", fleet.slots, kSlotsRange);
  object.Read("connections", fleet.connections, kConnectionsRange);
  object.ReadMillis("connect_ms", fleet.connect_cost, kConnectMillisRange);
  object.Read("hedge_percent", fleet.hedge_percent, kPercentRange);
  object.RejectUnknownKeys();
  // Each request in flight holds one connection, so fewer connections leave slots unusable.
  if (fleet.connections < fleet.slots) {
    errors.Add(object.PathOf("connections"), std::to_string(fleet.connections) +
                                                 "; allowed is at least the number of slots, " +
                                                 std::to_string(fleet.slots));
  }
  return fleet;
}

std::vector<std::string> ReadDependencies(JsonErrorCollector& errors, StrictJsonObject& object) {
  std::vector<std::string> out;
  const json::value* value = object.Find("depends_on");
  if (value == nullptr) return out;
  const std::string path = object.PathOf("depends_on");
  if (!value->is_array()) {
    errors.Add(path, AbbreviatedJson(*value) + "; allowed is a list of service names");
    return out;
  }
  std::set<std::string> seen;
  for (const json::value& item : value->get_array()) {
    const std::string item_path = path + "[" + std::to_string(out.size()) + "]";
    if (!item.is_string()) {
      errors.Add(item_path, AbbreviatedJson(item) + "; allowed is the name of a service");
      return out;
    }
    out.emplace_back(item.get_string());
    if (!seen.insert(out.back()).second) {
      errors.Add(item_path, Quoted(out.back()) + " is listed twice; allowed is once");
    }
  }
  return out;
}

Service ReadService(JsonErrorCollector& errors, const json::value& value, const std::string& name) {
  Service service{.name = name};
  StrictJsonObject object(errors, value, "services." + name);
  object.Require("fleet");
  object.Read("fleet", service.fleet);
  object.Read("shards", service.shards, {1, kMaxShards});
  service.depends_on = ReadDependencies(errors, object);
  object.Read("idempotent", service.idempotent);
  object.ReadMillis("deadline_ms", service.deadline, kDeadlineMillisRange);
  service.soft_deadline = service.deadline;
  const IntegerRange soft_range = {kDeadlineMillisRange.min,
                                   static_cast<uint64_t>(WholeMillis(service.deadline))};
  object.ReadMillis("soft_deadline_ms", service.soft_deadline, soft_range);
  size_t preference = static_cast<size_t>(service.prefer);
  object.ReadChoice("prefer", preference, {"latency", "coverage"});
  service.prefer = static_cast<Preference>(preference);
  object.Read("requires_key", service.requires_key);
  object.RejectUnknownKeys();
  return service;
}

void ReadQuota(JsonErrorCollector& errors, StrictJsonObject& object, std::string_view key,
               double& out) {
  const json::value* value = object.Find(key);
  if (value == nullptr) return;
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || !(number >= 0 && number <= kMaxQuota)) {
    std::ostringstream allowed;
    allowed << "; allowed is a number from 0 to " << kMaxQuota;
    errors.Add(object.PathOf(key), AbbreviatedJson(*value) + allowed.str());
    return;
  }
  out = number;
}

// Errors of keys do not show the value, which may be a key.
std::vector<std::string> ReadKeys(JsonErrorCollector& errors, StrictJsonObject& object) {
  std::vector<std::string> keys;
  const json::value* value = object.Require("keys");
  if (value == nullptr) return keys;
  const std::string path = object.PathOf("keys");
  if (!value->is_array()) {
    errors.Add(path, "not a list; allowed is a list of texts");
    return keys;
  }
  for (const json::value& item : value->get_array()) {
    const std::string item_path = path + "[" + std::to_string(keys.size()) + "]";
    if (!item.is_string()) {
      errors.Add(item_path, "not a text; allowed is a list of texts");
      return keys;
    }
    keys.emplace_back(item.get_string());
    // A key is sent in a header, whose value cannot have other characters.
    const std::string& key = keys.back();
    if (key.empty() || key.size() > kMaxKeyLength || !IsVisibleAscii(key)) {
      errors.Add(item_path, "allowed are 1 to " + std::to_string(kMaxKeyLength) +
                                " visible ASCII characters without spaces");
      return keys;
    }
  }
  return keys;
}

Workspace ReadWorkspace(JsonErrorCollector& errors, const json::value& value,
                        const std::string& name) {
  Workspace workspace{.name = name};
  const std::string path = "workspaces." + name;
  if (!value.is_object()) {  // not shown, because it may be a key
    errors.Add(path, "not an object; allowed is an object");
    return workspace;
  }
  StrictJsonObject object(errors, value, path);
  workspace.keys = ReadKeys(errors, object);
  uint32_t priority = 0;
  if (object.Read("priority", priority, kPriorityRange)) workspace.priority = priority;
  ReadQuota(errors, object, "rate_per_s", workspace.quota.rate_per_s);
  ReadQuota(errors, object, "burst", workspace.quota.burst);
  object.RejectUnknownKeys();
  return workspace;
}

// Reads an object that maps names to entries, such as "fleets".
template <typename T, typename ReadEntry>
std::map<std::string, T, std::less<>> ReadEntries(JsonErrorCollector& errors,
                                                  const json::value* value, std::string_view key,
                                                  size_t max_entries, ReadEntry read_entry) {
  std::map<std::string, T, std::less<>> out;
  if (value == nullptr) return out;
  const StrictJsonObject entries(errors, *value, std::string(key));
  if (entries.Members().size() > max_entries) {
    errors.Add(std::string(key), std::to_string(entries.Members().size()) +
                                     " entries; allowed are at most " +
                                     std::to_string(max_entries));
    return out;
  }
  for (const json::key_value_pair& member : entries.Members()) {
    const std::string name(member.key());
    if (!IsValidName(name)) {
      errors.Add(std::string(key), "name " + AbbreviatedJson(json::value(name)) + "; allowed are " +
                                       std::string(kNameSyntax));
      return out;
    }
    out.emplace(name, read_entry(errors, member.value(), name));
    if (errors.HasError()) return out;
  }
  return out;
}

// Returns nothing if the text has no workspaces.
std::optional<WorkspaceMap> ReadWorkspaces(JsonErrorCollector& errors, StrictJsonObject& root) {
  const json::value* value = root.Find("workspaces");
  if (value == nullptr) return std::nullopt;
  if (!value->is_object()) {  // not shown, because it may contain keys
    errors.Add("workspaces", "not an object; allowed is an object");
    return std::nullopt;
  }
  return ReadEntries<Workspace>(errors, value, "workspaces", kMaxWorkspaces, ReadWorkspace);
}

// Without workspaces no caller could use a service that requires a key.
void CheckKeysExist(JsonErrorCollector& errors, const ServiceMap& services) {
  for (const auto& [name, service] : services) {
    if (!service.requires_key) continue;
    errors.Add("services." + name + ".requires_key",
               "true; allowed is false in a text without \"workspaces\"");
  }
}

// Returns the services that require a key or depend, directly or not, on one that does.
std::set<std::string, std::less<>> FindKeyedServices(const ServiceMap& services) {
  std::set<std::string, std::less<>> keyed;
  std::vector<std::string> next;
  for (const auto& [name, service] : services) {
    if (service.requires_key) next.push_back(name);
  }
  if (next.empty()) return keyed;
  std::map<std::string, std::vector<std::string>> dependents;
  for (const auto& [name, service] : services) {
    for (const std::string& other : service.depends_on) dependents[other].push_back(name);
  }
  while (!next.empty()) {
    const std::string name = next.back();
    next.pop_back();
    if (!keyed.insert(name).second) continue;
    const std::vector<std::string>& more = dependents[name];
    next.insert(next.end(), more.begin(), more.end());
  }
  return keyed;
}

void CheckReferences(JsonErrorCollector& errors, const FleetMap& fleets,
                     const ServiceMap& services) {
  for (const auto& [name, service] : services) {
    const std::string path = "services." + name;
    if (fleets.find(service.fleet) == fleets.end()) {
      errors.Add(path + ".fleet",
                 "unknown fleet " + Quoted(service.fleet) + "; allowed is a key of \"fleets\"");
    }
    for (size_t i = 0; i < service.depends_on.size(); ++i) {
      if (services.find(service.depends_on[i]) != services.end()) continue;
      errors.Add(path + ".depends_on[" + std::to_string(i) + "]",
                 "unknown service " + Quoted(service.depends_on[i]) +
                     "; allowed is a key of \"services\"");
    }
  }
}

// Returns the services that are on a dependency cycle or depend on one, as found by a topological
// sort. All dependencies must exist.
std::set<std::string> FindUnsortableServices(const ServiceMap& services) {
  std::map<std::string, size_t> unsorted_dependencies;
  std::map<std::string, std::vector<std::string>> dependents;
  std::vector<std::string> ready;
  for (const auto& [name, service] : services) {
    unsorted_dependencies[name] = service.depends_on.size();
    for (const std::string& other : service.depends_on) dependents[other].push_back(name);
    if (service.depends_on.empty()) ready.push_back(name);
  }
  while (!ready.empty()) {
    const std::string name = ready.back();
    ready.pop_back();
    unsorted_dependencies.erase(name);
    for (const std::string& dependent : dependents[name]) {
      if (--unsorted_dependencies[dependent] == 0) ready.push_back(dependent);
    }
  }
  std::set<std::string> out;
  for (const auto& [name, count] : unsorted_dependencies) out.insert(name);
  return out;
}

void CheckCycles(JsonErrorCollector& errors, const ServiceMap& services) {
  const std::set<std::string> unsortable = FindUnsortableServices(services);
  if (unsortable.empty()) return;
  // Every unsorted service has an unsorted dependency, so this walk reaches a cycle.
  std::vector<std::string> walk = {*unsortable.begin()};
  std::set<std::string> visited;
  while (visited.insert(walk.back()).second) {
    const std::vector<std::string>& next = services.find(walk.back())->second.depends_on;
    walk.push_back(*std::find_if(next.begin(), next.end(), [&](const std::string& name) {
      return unsortable.count(name) > 0;
    }));
  }
  walk.erase(walk.begin(), std::find(walk.begin(), walk.end(), walk.back()));
  std::string shown = walk.front();
  for (size_t i = 1; i < walk.size(); ++i) {
    if (i > kMaxShownCycleLength) {
      shown += " -> ...";
      break;
    }
    shown += " -> " + walk[i];
  }
  errors.Add("services." + walk.front() + ".depends_on",
             "the dependencies form a cycle: " + shown + "; allowed are none");
}

json::object ToJson(const Fleet& fleet) {
  return {{"slots", fleet.slots},
          {"connections", fleet.connections},
          {"connect_ms", WholeMillis(fleet.connect_cost)},
          {"hedge_percent", fleet.hedge_percent}};
}

json::object ToJson(const Service& service) {
  json::array depends_on(service.depends_on.begin(), service.depends_on.end());
  return {{"fleet", service.fleet},
          {"shards", service.shards},
          {"depends_on", std::move(depends_on)},
          {"idempotent", service.idempotent},
          {"deadline_ms", WholeMillis(service.deadline)},
          {"soft_deadline_ms", WholeMillis(service.soft_deadline)},
          {"prefer", service.prefer == Preference::kLatency ? "latency" : "coverage"},
          {"requires_key", service.requires_key}};
}

// Without the keys.
json::object ToJson(const Workspace& workspace) {
  return {{"priority", workspace.priority ? json::value(*workspace.priority) : json::value()},
          {"rate_per_s", workspace.quota.rate_per_s},
          {"burst", workspace.quota.burst}};
}

WorkspaceMap ByName(const WorkspaceTable* table) {
  WorkspaceMap out;
  if (table == nullptr) return out;
  for (const Workspace& workspace : table->All()) out.emplace(workspace.name, workspace);
  return out;
}

void DiffMembers(const std::string& path, const json::object& before, const json::object& after,
                 std::vector<std::string>& out) {
  for (const json::key_value_pair& member : before) {
    const json::value& now = after.at(member.key());
    if (member.value() == now) continue;
    out.push_back(path + "." + std::string(member.key()) + ": " + json::serialize(member.value()) +
                  " -> " + json::serialize(now));
  }
}

template <typename T>
void DiffEntries(std::string_view key, const std::map<std::string, T, std::less<>>& before,
                 const std::map<std::string, T, std::less<>>& after,
                 std::vector<std::string>& out) {
  std::set<std::string> names;
  for (const auto& [name, entry] : before) names.insert(name);
  for (const auto& [name, entry] : after) names.insert(name);
  for (const std::string& name : names) {
    const std::string path = std::string(key) + "." + name;
    const auto old_entry = before.find(name);
    const auto new_entry = after.find(name);
    if (old_entry == before.end()) {
      out.push_back(path + ": added " + json::serialize(ToJson(new_entry->second)));
    } else if (new_entry == after.end()) {
      out.push_back(path + ": removed");
    } else {
      DiffMembers(path, ToJson(old_entry->second), ToJson(new_entry->second), out);
    }
  }
}

// Adds a line for each workspace that has got or lost keys.
void DiffKeys(const WorkspaceMap& before, const WorkspaceMap& after,
              std::vector<std::string>& out) {
  for (const auto& [name, workspace] : before) {
    const auto found = after.find(name);
    if (found == after.end()) continue;
    const std::set<std::string> old_keys(workspace.keys.begin(), workspace.keys.end());
    const std::set<std::string> new_keys(found->second.keys.begin(), found->second.keys.end());
    const auto missing = [](const std::set<std::string>& keys, const std::set<std::string>& in) {
      return std::count_if(keys.begin(), keys.end(),
                           [&](const std::string& key) { return !in.contains(key); });
    };
    const auto added = missing(new_keys, old_keys);
    const auto removed = missing(old_keys, new_keys);
    if (added == 0 && removed == 0) continue;
    out.push_back("workspaces." + name + ".keys: " + std::to_string(added) + " added, " +
                  std::to_string(removed) + " removed");
  }
}

}  // namespace

Result<Config> Config::Parse(std::string_view text) {
  if (text.size() > kMaxConfigBytes) {
    return Fail(ErrorCode::kTooLarge, "the text has " + std::to_string(text.size()) +
                                          " bytes; allowed are at most " +
                                          std::to_string(kMaxConfigBytes));
  }
  const Result<json::value> parsed = ParseStrictJson(text, ErrorCode::kInvalidConfig);
  if (!parsed) return tl::unexpected(parsed.error());
  JsonErrorCollector errors(ErrorCode::kInvalidConfig);
  StrictJsonObject root(errors, *parsed, "");
  Config config;
  root.Require("revision");
  root.Read("revision", config.revision, {1, INT64_MAX});
  config.fleets =
      ReadEntries<Fleet>(errors, root.Require("fleets"), "fleets", kMaxServices, ReadFleet);
  config.services =
      ReadEntries<Service>(errors, root.Require("services"), "services", kMaxServices, ReadService);
  const std::optional<WorkspaceMap> workspaces = ReadWorkspaces(errors, root);
  root.RejectUnknownKeys();
  if (!workspaces) CheckKeysExist(errors, config.services);
  if (!errors.HasError()) CheckReferences(errors, config.fleets, config.services);
  if (!errors.HasError()) CheckCycles(errors, config.services);
  if (errors.HasError()) return tl::unexpected(errors.FirstError());
  if (workspaces) {
    std::vector<Workspace> list;
    for (const auto& [name, workspace] : *workspaces) list.push_back(workspace);
    Result<WorkspaceTable> table = WorkspaceTable::Make(std::move(list));
    if (!table) return tl::unexpected(table.error());
    config.workspaces = std::move(*table);
    config.keyed = FindKeyedServices(config.services);
  }
  const std::string canonical = CanonicalJson(*parsed);
  config.digest = XXH3_64bits(canonical.data(), canonical.size());
  config.text = std::string(text);
  return config;
}

Config Config::FromRoutes(uint64_t revision, std::string_view text, RouteTable routes) {
  Config config;
  config.revision = revision;
  config.digest = XXH3_64bits(text.data(), text.size());
  config.text = std::string(text);
  config.routes = std::move(routes);
  return config;
}

const Fleet* Config::FindFleet(std::string_view name) const {
  const auto found = this->fleets.find(name);
  return found == this->fleets.end() ? nullptr : &found->second;
}

const Service* Config::FindService(std::string_view name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

Result<const Workspace*> Config::FindCaller(std::string_view service, std::string_view key) const {
  if (!this->RequiresKey(service)) return nullptr;
  const WorkspaceTable* table = this->Workspaces();
  const Workspace* workspace = table == nullptr ? nullptr : table->FindByKey(key);
  if (workspace != nullptr) return workspace;
  return Fail(ErrorCode::kUnknownKey, "service \"" + std::string(service) +
                                          "\" requires the key of a workspace in the header " +
                                          std::string(kKeyHeader));
}

std::vector<const Service*> Config::DependencyClosure(std::string_view service) const {
  const Service* first = this->FindService(service);
  if (first == nullptr) return {};
  std::vector<const Service*> out = {first};
  std::set<std::string_view> seen = {first->name};
  for (size_t i = 0; i < out.size(); ++i) {
    for (const std::string& name : out[i]->depends_on) {
      if (seen.insert(name).second) out.push_back(this->FindService(name));
    }
  }
  std::sort(out.begin() + 1, out.end(),
            [](const Service* a, const Service* b) { return a->name < b->name; });
  return out;
}

std::vector<std::string> DiffConfigs(const Config& before, const Config& after) {
  std::vector<std::string> out;
  if (before.Revision() != after.Revision()) {
    out.push_back("revision: " + std::to_string(before.Revision()) + " -> " +
                  std::to_string(after.Revision()));
  }
  DiffEntries("fleets", before.Fleets(), after.Fleets(), out);
  DiffEntries("services", before.Services(), after.Services(), out);
  const WorkspaceMap old_workspaces = ByName(before.Workspaces());
  const WorkspaceMap new_workspaces = ByName(after.Workspaces());
  std::vector<std::string> lines;
  DiffKeys(old_workspaces, new_workspaces, lines);
  DiffEntries("workspaces", old_workspaces, new_workspaces, lines);
  std::sort(lines.begin(), lines.end());
  out.insert(out.end(), lines.begin(), lines.end());
  return out;
}

}  // namespace peridotgauge
