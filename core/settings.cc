// Parsing and validation of the daemon's settings.
#include "core/settings.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

#include "core/address.h"
#include "core/strict_json.h"

namespace peridotgauge {
namespace {

namespace json = boost::json;

std::string Quoted(std::string_view text) { return "\"" + std::string(text) + "\""; }

void ReadRoles(JsonErrorCollector& errors, StrictJsonObject& root, Settings& settings) {
  constexpr std::string_view kAllowed = "; allowed is a list of \"router\" and \"controller\"";
  const json::value* value = root.Require("roles");
  if (value == nullptr) return;
  if (!value->is_array() || value->get_array().empty()) {
    errors.Add("roles", AbbreviatedJson(*value) + std::string(kAllowed));
    return;
  }
  for (const json::value& role : value->get_array()) {
    const bool router = role == "router";
    bool& flag = router ? settings.router : settings.controller;
    if (!router && role != "controller") {
      errors.Add("roles", AbbreviatedJson(role) + std::string(kAllowed));
    } else if (flag) {
      errors.Add("roles", AbbreviatedJson(role) + " is listed twice; allowed is once");
    }
    flag = true;
  }
}

// Reads a required address and checks its syntax.
void ReadAddress(JsonErrorCollector& errors, StrictJsonObject& object, std::string_view key,
                 Address& out) {
  object.Require(key);
  if (!object.Read(key, out)) return;
  if (const Result<Endpoint> endpoint = ParseAddress(out); !endpoint) {
    errors.Add(object.PathOf(key), endpoint.error().detail);
  }
}

// Derives the controllers' addresses from the IP addresses of some of them. An entry may have a
// port, which belongs to a different listener and is ignored.
void ReadSeeds(JsonErrorCollector& errors, const json::value& value, Settings& settings) {
  if (!value.is_array() || value.get_array().empty()) {
    return errors.Add("seeds", AbbreviatedJson(value) + "; allowed is a list of IP addresses");
  }
  const Result<Endpoint> own = ParseAddress(settings.peer_address);
  if (!own) return;  // already reported by ReadAddress()
  for (const json::value& item : value.get_array()) {
    const std::string text = item.is_string() ? std::string(item.get_string()) : "";
    const std::string ip = text.substr(0, text.rfind(':'));
    const Address peer = JoinAddress(ip, own->port);
    if (!ParseAddress(peer)) {
      return errors.Add("seeds", AbbreviatedJson(item) + "; allowed is an IP address");
    }
    settings.seeds.push_back(ip);
    settings.controllers.push_back({ip, peer});
  }
}

void ReadControllers(JsonErrorCollector& errors, StrictJsonObject& root, Settings& settings) {
  if (const json::value* seeds = root.Find("seeds")) return ReadSeeds(errors, *seeds, settings);
  const json::value* value = root.Require("controllers");
  if (value == nullptr) return;
  if (!value->is_array()) {
    errors.Add("controllers", AbbreviatedJson(*value) + "; allowed is a list of controllers");
    return;
  }
  for (const json::value& item : value->get_array()) {
    StrictJsonObject object(errors, item,
                            "controllers[" + std::to_string(settings.controllers.size()) + "]");
    ControllerAddress controller;
    object.Require("id");
    object.ReadName("id", controller.id);
    ReadAddress(errors, object, "peer_address", controller.peer_address);
    object.RejectUnknownKeys();
    settings.controllers.push_back(std::move(controller));
  }
  const size_t count = settings.controllers.size();
  if (count % 2 == 0 || count > 7) {
    errors.Add("controllers", std::to_string(count) + " controllers; allowed are 1, 3, 5 or 7");
  }
}

void ReadSwitches(StrictJsonObject& root, Settings& settings) {
  struct Switch {
    std::string_view key;
    bool Settings::*member;
  };
  constexpr Switch kSwitches[] = {{"hedging", &Settings::hedging},
                                  {"canaries", &Settings::canaries},
                                  {"ejection", &Settings::ejection},
                                  {"admission", &Settings::admission},
                                  {"adaptive_limit", &Settings::adaptive_limit},
                                  {"overload_admission", &Settings::overload_admission}};
  for (const Switch& entry : kSwitches) root.Read(entry.key, settings.*entry.member);
}

// Reads an address if it is present.
void ReadOptionalAddress(JsonErrorCollector& errors, StrictJsonObject& root, std::string_view key,
                         Address& out) {
  if (root.Find(key) != nullptr) ReadAddress(errors, root, key, out);
}

// Reads a number that may have a fraction.
void ReadFraction(JsonErrorCollector& errors, StrictJsonObject& root, const std::string& name,
                  std::pair<double, double> allowed, double& value) {
  const json::value* found = root.Find(name);
  if (found == nullptr) return;
  boost::system::error_code error;
  value = found->to_number<double>(error);
  if (error || value < allowed.first || value > allowed.second) {
    std::ostringstream range;
    range << AbbreviatedJson(*found) << "; allowed is " << allowed.first << " to "
          << allowed.second;
    errors.Add(name, range.str());
  }
}

// Reads a whole number that is 0 or in a range.
void ReadCount(JsonErrorCollector& errors, StrictJsonObject& root, const std::string& name,
               std::pair<size_t, size_t> allowed, bool zero_allowed, size_t& value) {
  const json::value* found = root.Find(name);
  if (found == nullptr) return;
  boost::system::error_code error;
  const auto number = found->to_number<uint64_t>(error);
  if (error ||
      ((number < allowed.first || number > allowed.second) && !(zero_allowed && number == 0))) {
    return errors.Add(name, AbbreviatedJson(*found) + "; allowed is " +
                                (zero_allowed ? "0 or " : "") + std::to_string(allowed.first) +
                                " to " + std::to_string(allowed.second));
  }
  value = number;
}

void ReadDescriptors(JsonErrorCollector& errors, StrictJsonObject& root, Settings& settings) {
  constexpr size_t kMost = 1 << 24;
  ReadCount(errors, root, "descriptors", {64, kMost}, true, settings.descriptors);
  ReadCount(errors, root, "reserved_descriptors", {16, kMost}, true, settings.reserved_descriptors);
  ReadCount(errors, root, "max_header_fields", {64, 65'536}, false, settings.max_header_fields);
  if (settings.descriptors != 0 && settings.reserved_descriptors >= settings.descriptors) {
    errors.Add("reserved_descriptors", std::to_string(settings.reserved_descriptors) +
                                           "; allowed is less than descriptors, " +
                                           std::to_string(settings.descriptors));
  }
}

void ReadToleratedHosts(JsonErrorCollector& errors, StrictJsonObject& root, Settings& settings) {
  constexpr size_t kMost = 20;
  ReadCount(errors, root, "tolerated_hosts", {0, kMost}, false, settings.tolerated_hosts);
}

void ReadInterface(JsonErrorCollector& errors, StrictJsonObject& root, Settings& settings) {
  size_t interface = static_cast<size_t>(settings.interface);
  root.ReadChoice("interface", interface, {"native", "routes"});
  settings.interface = static_cast<Interface>(interface);
  ReadOptionalAddress(errors, root, "health_address", settings.health_address);
  ReadOptionalAddress(errors, root, "directory_address", settings.directory_address);
  ReadOptionalAddress(errors, root, "metrics_address", settings.metrics_address);
  constexpr uint64_t kLongestMillis = 3'600'000;
  root.ReadMillis("heartbeat_ms", settings.heartbeat_interval, {.min = 10, .max = kLongestMillis});
  root.ReadMillis("grace_ms", settings.shutdown_grace, {.min = 100, .max = kLongestMillis});
  ReadFraction(errors, root, "processor_share", {0.001, 1'024}, settings.processor_share);
  ReadFraction(errors, root, "memory_mb", {16, 1 << 24}, settings.memory_mb);
  ReadDescriptors(errors, root, settings);
  ReadFraction(errors, root, "extra_slack", {0, 1'000'000}, settings.extra_requests.slack);
  ReadFraction(errors, root, "extra_ratio", {0, 10}, settings.extra_requests.ratio);
  double window_s = std::chrono::duration<double>(settings.extra_requests.window).count();
  ReadFraction(errors, root, "extra_window_s", {0.1, 3'600}, window_s);
  settings.extra_requests.window = Duration(std::llround(window_s * Seconds(1).count()));
  ReadFraction(errors, root, "quota_overage", {0, 10}, settings.quota.overage);
  ReadFraction(errors, root, "quota_slack", {0, 1'000'000}, settings.quota.slack);
  double quota_window_s = std::chrono::duration<double>(settings.quota.window).count();
  ReadFraction(errors, root, "quota_window_s", {0.1, 3'600}, quota_window_s);
  settings.quota.window = Duration(std::llround(quota_window_s * Seconds(1).count()));
  ReadFraction(errors, root, "warmup_overage", {1, 1'000}, settings.warmup.overage);
  ReadFraction(errors, root, "warmup_slack", {0, 1'000'000}, settings.warmup.slack);
}

// Returns the parsed address, whose syntax ReadAddress() has checked.
Endpoint EndpointOf(const Address& address) { return ParseAddress(address).value_or(Endpoint{}); }

// Checks that the ids and addresses of the controllers are unique.
void CheckControllersDiffer(JsonErrorCollector& errors, const Settings& settings) {
  for (size_t i = 0; i < settings.controllers.size(); ++i) {
    const ControllerAddress& one = settings.controllers[i];
    const std::string path = "controllers[" + std::to_string(i) + "].";
    for (size_t j = 0; j < i; ++j) {
      const ControllerAddress& other = settings.controllers[j];
      const std::string other_path = "controllers[" + std::to_string(j) + "]";
      if (one.id == other.id) {
        errors.Add(path + "id", Quoted(one.id) + " is also the id of " + other_path +
                                    "; allowed is a unique id");
      }
      if (EndpointOf(one.peer_address) == EndpointOf(other.peer_address)) {
        errors.Add(path + "peer_address", Quoted(one.peer_address) + " is also the address of " +
                                              other_path + "; allowed is a unique address");
      }
    }
  }
}

// Checks that the addresses of this process differ from each other and from those of the
// controllers, except for the peer address in a controller's own entry.
void CheckOwnAddresses(JsonErrorCollector& errors, const Settings& settings) {
  const Endpoint http = EndpointOf(settings.http_address);
  const Endpoint peer = EndpointOf(settings.peer_address);
  if (http == peer) {
    errors.Add("peer_address", Quoted(settings.peer_address) +
                                   " is also the http_address; allowed is another port");
  }
  for (size_t i = 0; i < settings.controllers.size(); ++i) {
    const ControllerAddress& entry = settings.controllers[i];
    const Endpoint endpoint = EndpointOf(entry.peer_address);
    const std::string path = "controllers[" + std::to_string(i) + "]";
    if (http == endpoint) {
      errors.Add("http_address", Quoted(settings.http_address) + " is also the peer_address of " +
                                     path + "; allowed is another port");
    }
    if (entry.id != settings.id && peer == endpoint) {
      errors.Add("peer_address", Quoted(settings.peer_address) + " is also the address of " + path +
                                     "; allowed is another port");
    }
  }
}

// Checks that a controller, and only a controller, has an entry with its id in the list.
void CheckOwnEntry(JsonErrorCollector& errors, const Settings& settings) {
  const auto own = std::find_if(settings.controllers.begin(), settings.controllers.end(),
                                [&](const auto& entry) { return entry.id == settings.id; });
  if (own == settings.controllers.end()) {
    if (settings.controller) {
      errors.Add("controllers", "no entry with the id " + Quoted(settings.id) +
                                    "; a controller must be in its own list");
    }
    return;
  }
  if (!settings.controller) {
    errors.Add("id", Quoted(settings.id) +
                         " is the id of a controller, but the roles do not contain "
                         "\"controller\"; allowed is an id that is not in the list");
  } else if (EndpointOf(own->peer_address) != EndpointOf(settings.peer_address)) {
    errors.Add("peer_address", Quoted(settings.peer_address) +
                                   "; allowed is the address of this controller in the list, " +
                                   Quoted(own->peer_address));
  }
}

// Checks that a data folder is set for a controller and only for a controller.
void CheckDataFolderKey(JsonErrorCollector& errors, const Settings& settings) {
  if (settings.controller && settings.data_folder.empty()) {
    errors.Add("data_folder", "missing; the role \"controller\" requires a folder");
  } else if (!settings.controller && !settings.data_folder.empty()) {
    errors.Add("data_folder",
               Quoted(settings.data_folder) + "; allowed only with the role \"controller\"");
  }
}

Settings ReadSettings(JsonErrorCollector& errors, const json::value& value) {
  Settings settings;
  StrictJsonObject root(errors, value, "");
  root.Require("id");
  root.ReadName("id", settings.id);
  root.Require("data_centre");
  root.ReadName("data_centre", settings.data_centre);
  ReadRoles(errors, root, settings);
  ReadAddress(errors, root, "http_address", settings.http_address);
  ReadAddress(errors, root, "peer_address", settings.peer_address);
  ReadControllers(errors, root, settings);
  ReadInterface(errors, root, settings);
  root.Read("data_folder", settings.data_folder);
  ReadToleratedHosts(errors, root, settings);
  root.Read("span_file", settings.span_file);
  size_t routing = static_cast<size_t>(settings.routing);
  root.ReadChoice("routing", routing, {"owner", "direct"});
  settings.routing = static_cast<Routing>(routing);
  root.Read("replica_choice", settings.replica_choice);
  ReadSwitches(root, settings);
  root.RejectUnknownKeys();
  return settings;
}

}  // namespace

Result<Settings> Settings::Parse(std::string_view text, std::string_view source) {
  const auto fail = [&](const Error& error) {
    return Fail(ErrorCode::kInvalidSettings, std::string(source) + ": " + error.detail);
  };
  const Result<json::value> parsed = ParseStrictJson(text, ErrorCode::kInvalidSettings);
  if (!parsed) return fail(parsed.error());
  JsonErrorCollector errors(ErrorCode::kInvalidSettings);
  Settings settings = ReadSettings(errors, *parsed);
  if (!errors.HasError()) {
    CheckControllersDiffer(errors, settings);
    if (settings.seeds.empty()) CheckOwnEntry(errors, settings);
    CheckOwnAddresses(errors, settings);
    CheckDataFolderKey(errors, settings);
  }
  if (errors.HasError()) return fail(errors.FirstError());
  return settings;
}

}  // namespace peridotgauge
