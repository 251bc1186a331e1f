// Checks of the soak at its targets.
#include "testing/soak/soak_limits.h"

#include <strings.h>

#include <cstdlib>
#include <string_view>

namespace peridotgauge {
namespace {

constexpr Duration kQuotaWindow = Seconds(5);
constexpr double kQuotaOverage = 1.1;
constexpr double kQuotaSlack = 20;

double LimitOf(const SoakWorkspace& workspace) {
  const double seconds = static_cast<double>(WholeMillis(kQuotaWindow)) / 1'000;
  return (workspace.rate_per_s * seconds + workspace.burst) * kQuotaOverage + kQuotaSlack;
}

std::string WorkspaceOf(const std::string& id) { return id.substr(0, id.find('-')); }

}  // namespace

const std::vector<SoakWorkspace>& SoakWorkspaces() {
  static const std::vector<SoakWorkspace> kWorkspaces = {
      {.name = "open"},
      {"small", /*rate_per_s=*/10, /*burst=*/5},
      {"large", /*rate_per_s=*/40, /*burst=*/20}};
  return kWorkspaces;
}

void SoakLimits::Run(Time at, const HttpRequest& request) {
  const std::string id(request.Header("Peridotgauge-Request-Id"));
  this->CheckHeaders(request, id);
  // A request that is sent again counts once.
  const bool first = this->record.Arrivals(id) == 1;
  const std::string name = WorkspaceOf(id);
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const SoakWorkspace& workspace : SoakWorkspaces()) {
    if (!first || workspace.name != name || workspace.rate_per_s == 0) continue;
    const size_t count = this->by_workspace[name].Add(at, kQuotaWindow);
    if (static_cast<double>(count) <= LimitOf(workspace)) continue;
    std::string text = name;
    text.append(": request ").append(std::to_string(count)).append(" within 5 s, ").append(id);
    this->record.Violation("quota", text);
  }
}

void SoakLimits::Reached(Time at, const std::string& id, const std::string& data_centre) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->arrivals_in[data_centre];
  const auto found = this->evacuated.find(data_centre);
  if (found == this->evacuated.end() || at < found->second + kSoakEvacuateTime) return;
  constexpr std::string_view kRouter = "-router-";
  const size_t router = id.rfind(kRouter);
  this->late.push_back(
      {.at = at,
       .id = id,
       .data_centre = data_centre,
       .router = router == std::string::npos
                     ? 0
                     : std::strtoull(id.c_str() + router + kRouter.size(), nullptr, 10),
       .since_acknowledged = at - found->second});
}

void SoakLimits::CheckHeaders(const HttpRequest& request, const std::string& id) {
  const std::string name = WorkspaceOf(id);
  std::vector<std::string> named;
  for (const HttpHeader& header : request.headers) {
    if (header.value.find(kSoakKeyPrefix) != std::string::npos) {
      this->record.Violation("key", id + " has reached a target with a key in " + header.name);
    }
    if (strcasecmp(header.name.c_str(), "Peridotgauge-Tenant") == 0) named.push_back(header.value);
  }
  const std::vector<std::string> expected =
      name == kSoakPublic ? std::vector<std::string>{} : std::vector<std::string>{name};
  if (named == expected) return;
  this->record.Violation("workspace", id + " names " + std::to_string(named.size()) +
                                          " workspaces, first " +
                                          (named.empty() ? std::string("none") : named.front()));
}

void SoakLimits::SetEvacuated(const std::string& data_centre, std::optional<Time> acknowledged) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (acknowledged) {
    this->evacuated[data_centre] = *acknowledged;
  } else {
    this->evacuated.erase(data_centre);
  }
}

std::vector<LateArrival> SoakLimits::LateArrivals() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->late;
}

size_t SoakLimits::ArrivalsIn(const std::string& data_centre) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->arrivals_in[data_centre];
}

}  // namespace peridotgauge
