// Reasons for and against candidates, and the JSON form of explanations.
#include "core/explain.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/json_text.h"

namespace peridotgauge {
namespace {

namespace json = boost::json;

constexpr std::string_view kContext = "explain request";

tl::unexpected<Error> Malformed(std::string_view problem) {
  return Fail(ErrorCode::kBadRequest, std::string(kContext) + ": " + std::string(problem));
}

// Returns true if the text has only visible ASCII characters, as a request line has.
bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string_view NameOf(ExplainedDecision decision) {
  switch (decision) {
    case ExplainedDecision::kSend:
      return "send";
    case ExplainedDecision::kWait:
      return "wait";
    case ExplainedDecision::kTrial:
      return "trial";
    case ExplainedDecision::kRefuse:
      return "refuse";
  }
  return "unknown";
}

std::string_view NameOf(QuotaResult result) {
  switch (result) {
    case QuotaResult::kAdmitted:
      return "admit";
    case QuotaResult::kRefused:
      return "refuse";
    case QuotaResult::kWaiting:
      return "wait";
  }
  return "unknown";
}

json::value MillisOf(const std::optional<Duration>& duration) {
  return duration ? json::value(ToMillis(*duration)) : json::value(nullptr);
}

json::object JsonOf(const ExplainedCandidate& candidate, std::span<const ExplainedCandidate> all) {
  json::object out{{"target", candidate.target},
                   {"data_centre", candidate.data_centre},
                   {"state", StateOf(candidate)},
                   {"chosen", candidate.chosen},
                   {"reason", TextOf(ReasonOf(candidate, all))},
                   {"in_flight", candidate.replica.in_flight},
                   {"latency_ms", MillisOf(candidate.latency)},
                   {"failure_share", candidate.replica.failure_share},
                   {"connections", candidate.connections_used},
                   {"connections_allowed", candidate.connections_allowed},
                   {"waiting_for_connection", candidate.connections_waiting},
                   {"remote", candidate.replica.remote},
                   {"score", candidate.replica.score}};
  if (candidate.signals.paused_for) {
    out["paused_for_ms"] = ToMillis(*candidate.signals.paused_for);
  }
  if (candidate.replica.ejected) out["ejected_for_ms"] = ToMillis(candidate.replica.ejected_for);
  if (candidate.replica.avoided_for > Duration(0)) {
    out["avoided_for_ms"] = ToMillis(candidate.replica.avoided_for);
  }
  if (candidate.warmup) {
    out["cold"] = {{"left_ms", ToMillis(candidate.warmup->left)},
                   {"allowed_per_s", candidate.warmup->allowed},
                   {"sent_last_s", candidate.warmup->sent}};
  }
  return out;
}

json::object JsonOf(const ExplainedService& service) {
  json::object out{{"service", service.service}};
  if (service.weight) out["weight"] = *service.weight;
  out["next"] = service.next;
  const ExplainedCandidate* chosen = service.Chosen();
  out["first_choice"] = chosen != nullptr ? json::value(chosen->target) : json::value(nullptr);
  if (chosen == nullptr) out["reason"] = service.WhyNone();
  out["extra_left"] = service.extra_left;
  json::array candidates;
  for (const ExplainedCandidate& candidate : service.candidates) {
    candidates.push_back(JsonOf(candidate, service.candidates));
  }
  out["candidates"] = std::move(candidates);
  return out;
}

json::value JsonOf(const std::optional<ExplainedRoute>& route) {
  if (!route) return nullptr;
  json::object out{{"name", route->name},
                   {"prefix", route->prefix},
                   {"priority", route->priority},
                   {"timeout_ms", ToMillis(route->timeout)},
                   {"idempotent", route->idempotent}};
  if (route->shards > 0) {
    out["shards"] = route->shards;
    out["min_shards"] = route->min_shards;
  }
  return out;
}

json::value JsonOf(const std::optional<ExplainedWorkspace>& workspace) {
  if (!workspace) return nullptr;
  json::object out{
      {"name", workspace->name},
      {"priority", workspace->priority ? json::value(*workspace->priority) : json::value(nullptr)},
      {"quota", nullptr}};
  if (workspace->preview) {
    const QuotaPreview& preview = *workspace->preview;
    json::object quota{{"rate_per_s", workspace->quota.rate_per_s},
                       {"burst", workspace->quota.burst},
                       {"permits", preview.permits},
                       {"waiting", preview.waiting},
                       {"near_limit", preview.near_limit ? json::value(*preview.near_limit)
                                                         : json::value(nullptr)},
                       {"decision", NameOf(preview.verdict.result)}};
    if (preview.verdict.result == QuotaResult::kRefused) {
      quota["retry_after_ms"] = ToMillis(preview.verdict.retry.earliest);
    }
    out["quota"] = std::move(quota);
  }
  return out;
}

json::value JsonOf(const std::optional<ExplainedSuspicion>& suspicion) {
  if (!suspicion) return nullptr;
  return json::object{{"status", suspicion->status},
                      {"services", json::value_from(suspicion->services)},
                      {"blocked_for_ms", ToMillis(suspicion->blocked_for)}};
}

json::object OverloadJson(const Explanation& explanation) {
  json::object out{{"enabled", explanation.overload_enabled}};
  if (!explanation.overload) return out;
  const AdmissionVerdict& verdict = *explanation.overload;
  out["rejected"] = !verdict.Admitted();
  out["reason"] = NameOf(verdict.reason);
  out["refused_share"] = verdict.refused_share;
  out["chance"] = verdict.chance;
  out["retries_left"] = verdict.retries_left;
  out["shed_share"] = verdict.shed_share;
  if (verdict.latency) out["latency_ms"] = ToMillis(*verdict.latency);
  return out;
}

}  // namespace

// --- Requests ---

Result<ExplainRequest> ParseExplainRequest(std::string_view body) {
  if (body.size() > kMaxExplainBodyBytes) return Malformed("the body is too large");
  // Errors of the parser may contain names of members, which may be anything.
  const Result<JsonObject> object = JsonObject::Parse(body, kContext);
  if (!object) return Malformed("expected a JSON object without duplicate fields");
  if (!object->RejectUnknownFields({"method", "host", "path", "workspace", "key", "deadline_ms"})) {
    return Malformed("unknown field; known are method, host, path, workspace, key and deadline_ms");
  }
  JsonReader reader(body, kContext);
  ExplainRequest request{.method = reader.String("method", 1, kMaxExplainMethodBytes),
                         .host = reader.String("host", 1, kMaxExplainHostBytes),
                         .path = reader.String("path", 1, kMaxExplainPathBytes)};
  if (reader.Has("workspace")) request.workspace = reader.String("workspace", 1, 64);
  if (reader.Has("key")) request.key = reader.String("key", 1, kMaxExplainKeyBytes);
  if (reader.Has("deadline_ms")) {
    request.deadline =
        Millis(static_cast<int64_t>(reader.Unsigned("deadline_ms", 1, kMaxExplainDeadlineMs)));
  }
  if (Result<ExplainRequest> read = reader.Finish(request); !read) return read;
  if (!std::all_of(request.method.begin(), request.method.end(),
                   [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; })) {
    return Malformed("method: expected upper-case letters");
  }
  if (!IsVisible(request.host)) return Malformed("host: expected visible ASCII characters");
  if (request.path.front() != '/' || !IsVisible(request.path)) {
    return Malformed("path: expected visible ASCII characters that begin with '/'");
  }
  if (request.key && request.workspace) return Malformed("give a workspace or a key, not both");
  return request;
}

std::string FormatExplainRequest(const ExplainRequest& request) {
  json::object out{{"method", request.method}, {"host", request.host}, {"path", request.path}};
  if (request.workspace) out["workspace"] = *request.workspace;
  if (request.key) out["key"] = *request.key;
  if (request.deadline) out["deadline_ms"] = WholeMillis(*request.deadline);
  return json::serialize(out);
}

// --- Candidates ---

bool ExplainedCandidate::Usable() const {
  if (this->registered != TargetState::kServing) return false;
  if (this->signals != SignalStatus{}) return false;
  return !this->warmup || (this->warmup->sent < this->warmup->allowed && this->connection_free);
}

std::string_view StateOf(const ExplainedCandidate& candidate) {
  if (candidate.registered == TargetState::kDraining) return "draining";
  if (candidate.registered != TargetState::kServing) return NameOf(candidate.registered);
  if (candidate.signals.evacuated) return "evacuated";
  if (candidate.signals.departed) return "draining";
  if (candidate.signals.leaving) return "leaving";
  if (candidate.signals.paused_for) return "paused";
  if (candidate.warmup) return "cold";
  if (candidate.replica.ejected) return "ejected";
  return "serving";
}

CandidateReason ReasonOf(const ExplainedCandidate& candidate,
                         std::span<const ExplainedCandidate> all) {
  const auto chosen = std::find_if(all.begin(), all.end(),
                                   [](const ExplainedCandidate& other) { return other.chosen; });
  if (candidate.chosen) {
    const bool best = std::none_of(all.begin(), all.end(), [&](const ExplainedCandidate& other) {
      return other.Usable() && other.replica.score < candidate.replica.score;
    });
    return best ? CandidateReason::kChosen : CandidateReason::kChosenAgainstScore;
  }
  if (candidate.registered == TargetState::kDraining) return CandidateReason::kDraining;
  if (candidate.registered != TargetState::kServing) return CandidateReason::kNotServing;
  if (candidate.signals.evacuated) return CandidateReason::kEvacuated;
  if (candidate.signals.departed) return CandidateReason::kDraining;
  if (candidate.signals.leaving) return CandidateReason::kLeaving;
  if (candidate.signals.paused_for) return CandidateReason::kPaused;
  if (candidate.warmup && candidate.warmup->sent >= candidate.warmup->allowed) {
    return CandidateReason::kColdNoRoom;
  }
  if (candidate.warmup && !candidate.connection_free) return CandidateReason::kColdNoConnection;
  if (chosen == all.end()) return CandidateReason::kNothingSent;
  if (candidate.replica.ejected) return CandidateReason::kEjected;
  if (candidate.replica.avoided_for > Duration(0)) return CandidateReason::kAvoided;
  const double score = candidate.replica.score;
  const double best = chosen->replica.score;
  if (score < best) return CandidateReason::kNotDrawn;
  if (score == best) return CandidateReason::kEqualScore;
  const bool farther = candidate.replica.remote && !chosen->replica.remote;
  return farther && score <= best * kRemoteFactor ? CandidateReason::kRemote
                                                  : CandidateReason::kHigherScore;
}

std::string_view TextOf(CandidateReason reason) {
  switch (reason) {
    case CandidateReason::kChosen:
      return "chosen first";
    case CandidateReason::kChosenAgainstScore:
      return "chosen first, as a probe of its latency or because a better one is not used now";
    case CandidateReason::kNotServing:
      return "it has not registered as serving";
    case CandidateReason::kDraining:
      return "it is draining or has left";
    case CandidateReason::kLeaving:
      return "it has said in an answer that it leaves";
    case CandidateReason::kPaused:
      return "it has asked for no requests for some time";
    case CandidateReason::kEvacuated:
      return "its data centre is evacuated";
    case CandidateReason::kColdNoRoom:
      return "it is cold, and this router may not send it a request now";
    case CandidateReason::kColdNoConnection:
      return "it is cold, and no connection to it is free";
    case CandidateReason::kEjected:
      return "it is ejected after consecutive failures";
    case CandidateReason::kAvoided:
      return "it has just refused a request or could not be reached";
    case CandidateReason::kRemote:
      return "it is in another data centre";
    case CandidateReason::kHigherScore:
      return "its score is worse";
    case CandidateReason::kEqualScore:
      return "its score is equal; the choice is random";
    case CandidateReason::kNotDrawn:
      return "its score is better, but the chosen one is a probe or the best of a random pair";
    case CandidateReason::kNothingSent:
      return "nothing would be sent to its service";
  }
  return "unknown";
}

const ExplainedCandidate* ExplainedService::Chosen() const {
  const auto found =
      std::find_if(this->candidates.begin(), this->candidates.end(),
                   [](const ExplainedCandidate& candidate) { return candidate.chosen; });
  return found == this->candidates.end() ? nullptr : &*found;
}

std::string_view ExplainedService::WhyNone() const {
  if (this->Chosen() != nullptr) return "";
  if (this->excluded) return "the request has crashed targets of this service";
  if (this->candidates.empty()) return "no target is registered";
  return "no target accepts requests";
}

// --- Explanations ---

std::string FormatExplanation(const Explanation& explanation) {
  const ExplainedOutcome& outcome = explanation.outcome;
  json::object outcome_json{{"decision", NameOf(outcome.decision)}};
  if (outcome.decision == ExplainedDecision::kRefuse) outcome_json["status"] = outcome.status;
  if (outcome.code) outcome_json["error"] = InfoOf(*outcome.code).name;
  outcome_json["reason"] = outcome.reason;
  json::object out{{"router", explanation.router},         {"data_centre", explanation.data_centre},
                   {"revision", explanation.revision},     {"directory", explanation.directory},
                   {"in_contact", explanation.in_contact}, {"draining", explanation.draining},
                   {"outcome", std::move(outcome_json)},   {"route", JsonOf(explanation.route)}};
  if (!explanation.route) out["route_reason"] = explanation.route_reason;
  out["workspace"] = JsonOf(explanation.workspace);
  if (!explanation.workspace) out["workspace_reason"] = explanation.workspace_reason;
  out["suspicion"] = JsonOf(explanation.suspicion);
  out["overload"] = OverloadJson(explanation);
  out["extra_requests"] = {{"slack", explanation.extra_slack},
                           {"routers", explanation.extra_routers}};
  json::array services;
  for (const ExplainedService& service : explanation.services) services.push_back(JsonOf(service));
  out["services"] = std::move(services);
  return json::serialize(out);
}

}  // namespace peridotgauge
