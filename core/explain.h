// The explanation of where a request on a route would go now, and why: its values and their JSON
// form. Without I/O; io/explain_routes.h collects the values, and core/cli_format.h has the text
// for the command line.
//
// Use:
//   Result<ExplainRequest> request = ParseExplainRequest(body);       // POST /v1/explain
//   if (!request) Respond(400, request.error());
//   Explanation explanation = ...;
//   Respond(200, FormatExplanation(explanation));
//
// Contract: an explanation contains no key of a workspace, and errors about a request contain
// nothing of it.
#ifndef PERIDOTGAUGE_CORE_EXPLAIN_H_
#define PERIDOTGAUGE_CORE_EXPLAIN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/overload.h"
#include "core/records.h"
#include "core/replica_choice.h"
#include "core/target_signals.h"
#include "core/types.h"
#include "core/warmup_limit.h"
#include "core/workspace_quota.h"
#include "core/workspaces.h"

namespace peridotgauge {

constexpr size_t kMaxExplainMethodBytes = 32;
constexpr size_t kMaxExplainHostBytes = 255;
constexpr size_t kMaxExplainPathBytes = 16 << 10;  // with the query
constexpr size_t kMaxExplainKeyBytes = 4 << 10;
constexpr size_t kMaxExplainBodyBytes = 128 << 10;  // each byte of a string may be escaped
constexpr uint64_t kMaxExplainDeadlineMs = 3'600'000;

// The request to explain. It has no body.
struct ExplainRequest {
  std::string method;
  std::string host;
  std::string path;                      // with the query, if there is one
  std::optional<std::string> workspace;  // in place of a key
  std::optional<std::string> key;
  std::optional<Duration> deadline;
  bool operator==(const ExplainRequest&) const = default;
};

// Returns kBadRequest for malformed input. The error names only known fields.
Result<ExplainRequest> ParseExplainRequest(std::string_view body);
std::string FormatExplainRequest(const ExplainRequest& request);

// A target that may answer the request.
struct ExplainedCandidate {
  std::string target;
  std::string data_centre;
  TargetState registered = TargetState::kServing;  // in the directory
  SignalStatus signals;
  std::optional<WarmupStatus> warmup;  // if it is cold and its requests are limited
  ReplicaStatus replica;
  std::optional<Duration> latency;  // recent, as a request of this route
  size_t connections_used = 0;
  size_t connections_allowed = 0;
  size_t connections_waiting = 0;  // requests that wait for a connection
  bool connection_free = true;     // a request would not wait for others to end
  bool chosen = false;             // the first attempt would go there

  // Returns true if a request may be sent to the target now.
  bool Usable() const;
  bool operator==(const ExplainedCandidate&) const = default;
};

// The strongest restriction of a candidate.
std::string_view StateOf(const ExplainedCandidate& candidate);

enum class CandidateReason : uint8_t {
  kChosen,
  kChosenAgainstScore,  // although another one has a better score
  kNotServing,          // it has not registered as serving
  kDraining,
  kLeaving,
  kPaused,
  kEvacuated,
  kColdNoRoom,
  kColdNoConnection,
  kEjected,
  kAvoided,  // it has just refused a request or could not be reached
  kRemote,   // its score is worse only because of the distance
  kHigherScore,
  kEqualScore,
  kNotDrawn,  // its score is better than that of the chosen one
  kNothingSent,
};

// Returns why the candidate would be chosen, or not. `all` are the candidates of its service.
CandidateReason ReasonOf(const ExplainedCandidate& candidate,
                         std::span<const ExplainedCandidate> all);
std::string_view TextOf(CandidateReason reason);

// One shard of a route that gathers, or one service of a route that divides its requests.
struct ExplainedService {
  std::string service;
  std::optional<double> weight;  // if the route divides its requests among several
  bool next = true;              // the next request goes to this service
  bool excluded = false;         // not sent to, because the request has crashed its targets
  double extra_left = 0;         // hedges and retries that the budget could grant now
  std::vector<ExplainedCandidate> candidates;

  // Returns nullptr if the service would get nothing.
  const ExplainedCandidate* Chosen() const;
  // Returns why no target would be chosen; empty if one would.
  std::string_view WhyNone() const;
  bool operator==(const ExplainedService&) const = default;
};

struct ExplainedRoute {
  std::string name;
  std::string prefix;
  uint32_t priority = 0;
  Duration timeout{};
  bool idempotent = true;
  uint32_t shards = 0;  // 0: the route does not gather
  uint32_t min_shards = 0;
  bool operator==(const ExplainedRoute&) const = default;
};

struct ExplainedWorkspace {
  std::string name;
  std::optional<uint32_t> priority;  // replaces that of the route
  RequestQuota quota;
  std::optional<QuotaPreview> preview;  // if the workspace has a limit
  bool operator==(const ExplainedWorkspace&) const = default;
};

struct ExplainedSuspicion {
  std::string_view status = "clear";  // or "suspect", "blocked"
  std::vector<std::string> services;  // whose targets the request has crashed
  Duration blocked_for{0};
  bool operator==(const ExplainedSuspicion&) const = default;
};

enum class ExplainedDecision : uint8_t {
  kSend,
  kWait,    // for a permit of its workspace
  kTrial,   // sent only if the controllers grant a trial
  kRefuse,  // with `status`
};

struct ExplainedOutcome {
  ExplainedDecision decision = ExplainedDecision::kSend;
  int status = 0;                 // of the refusal
  std::optional<ErrorCode> code;  // of the refusal
  std::string reason;
  bool operator==(const ExplainedOutcome&) const = default;
};

struct Explanation {
  std::string router;
  std::string data_centre;
  uint64_t revision = 0;  // 0: no configuration is known
  uint64_t directory = 0;
  bool in_contact = false;  // with the controllers
  bool draining = false;
  ExplainedOutcome outcome;
  std::optional<ExplainedRoute> route;
  std::string route_reason;  // why there is none
  std::optional<ExplainedWorkspace> workspace;
  std::string workspace_reason;  // why there is none
  std::optional<ExplainedSuspicion> suspicion;
  bool overload_enabled = false;
  std::optional<AdmissionVerdict> overload;  // if the decisions are enabled
  // This router's part of the slack of the limit on hedges and retries.
  double extra_slack = 0;
  size_t extra_routers = 0;  // that divide the slack
  std::vector<ExplainedService> services;
  bool operator==(const Explanation&) const = default;
};

std::string FormatExplanation(const Explanation& explanation);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_EXPLAIN_H_
