// Requests are dispatched by a table of paths: most read the control state, one applies a
// configuration text.
#include "io/operator_http.h"

#include <glog/logging.h>

#include <optional>
#include <utility>

#include "core/caller_api.h"
#include "core/config.h"
#include "core/operator_api.h"
#include "io/clock.h"
#include "state/commands.h"

namespace peridotgauge {

namespace {

constexpr std::string_view kEvacuationPrefix = "/v1/evacuations/";

}  // namespace

struct OperatorHttp::Route {
  std::string_view method;
  std::string_view path;
  void (OperatorHttp::*handle)(const Route&, const HttpRequest&, const HttpResponder&);
  wire::ReadKind read = wire::ReadKind::Config;  // of Read()
  bool prefix = false;                           // the path is followed by a name
};

const OperatorHttp::Route* OperatorHttp::FindRoute(const HttpRequest& request) {
  static const Route kRoutes[] = {
      {"POST", "/v1/config", &OperatorHttp::Apply},
      {"GET", "/v1/config", &OperatorHttp::Read, wire::ReadKind::Config},
      {"GET", "/v1/config/history", &OperatorHttp::Read, wire::ReadKind::History},
      {"GET", "/v1/config/in_force", &OperatorHttp::Read, wire::ReadKind::InForce},
      {"GET", "/v1/status", &OperatorHttp::Read, wire::ReadKind::Status},
      {"GET", "/v1/targets", &OperatorHttp::Read, wire::ReadKind::Targets},
      {"POST", kEvacuationPrefix, &OperatorHttp::SetEvacuation, {}, /*prefix=*/true},
      {"DELETE", kEvacuationPrefix, &OperatorHttp::SetEvacuation, {}, /*prefix=*/true},
  };
  for (const Route& route : kRoutes) {
    const bool matches =
        route.prefix ? request.path.starts_with(route.path) : request.path == route.path;
    if (matches && route.method == request.method) return &route;
  }
  return nullptr;
}

bool OperatorHttp::Handles(const HttpRequest& request) const {
  return FindRoute(request) != nullptr;
}

void OperatorHttp::Handle(const HttpRequest& request, const HttpResponder& responder) {
  const Route* route = FindRoute(request);
  if (route == nullptr) {
    return responder.Send(ErrorResponse({ErrorCode::kNotFound, "no such path"}, ""));
  }
  (this->*route->handle)(*route, request, responder);
}

void OperatorHttp::SetEvacuation(const Route& /*route*/, const HttpRequest& request,
                                 const HttpResponder& responder) {
  wire::SetEvacuationT command;
  command.data_centre = request.path.substr(kEvacuationPrefix.size());
  command.evacuated = request.method == "POST";
  if (const auto checked = CheckDataCentreName(command.data_centre); !checked) {
    return responder.Send(ErrorResponse(checked.error(), ""));
  }
  const Duration waited = responder.SinceReceived();
  if (waited >= kEvacuationTimeout) {
    return responder.Send(
        ErrorResponse({ErrorCode::kUnavailable, "the call was read too late"}, ""));
  }
  this->control.Command(ToCommand(std::move(command)), SteadyNow() + kEvacuationTimeout - waited,
                        [responder](const Result<wire::CommandReplyT>& reply) {
                          if (!reply) return responder.Send(ErrorResponse(reply.error(), ""));
                          if (reply->error < 0) return responder.Send(JsonResponse(200, "{}"));
                          const Error error{static_cast<ErrorCode>(reply->error), reply->detail};
                          responder.Send(ErrorResponse(error, ""));
                        });
}

void OperatorHttp::Apply(const Route& /*route*/, const HttpRequest& request,
                         const HttpResponder& responder) {
  const Result<Config> config = Config::Parse(request.body);
  if (!config) return responder.Send(ErrorResponse(config.error(), ""));
  wire::ApplyConfigT command;
  command.text = request.body;
  command.author = std::string(request.Header("x-author"));
  command.revision = config->Revision();
  command.digest = config->Digest();
  this->control.Command(
      ToCommand(std::move(command)), SteadyNow() + kOperatorTimeout,
      [responder, digest = config->Digest()](const Result<wire::CommandReplyT>& reply) {
        if (!reply) return responder.Send(ErrorResponse(reply.error(), ""));
        if (reply->error < 0) {
          const ApplyResponse answer{reply->revision, digest, reply->repeated};
          return responder.Send(JsonResponse(200, FormatApplyResponse(answer)));
        }
        const Error error{static_cast<ErrorCode>(reply->error), reply->detail};
        if (error.code != ErrorCode::kConflict) return responder.Send(ErrorResponse(error, ""));
        const ConflictResponse conflict{reply->detail, reply->revision, reply->digest};
        responder.Send(JsonResponse(InfoOf(error.code).http_status, FormatConflict(conflict)));
      });
}

void OperatorHttp::Read(const Route& route, const HttpRequest& request,
                        const HttpResponder& responder) {
  const Result<std::optional<uint64_t>> revision = ParseRevision(request);
  if (!revision) return responder.Send(ErrorResponse(revision.error(), ""));
  this->control.Read(route.read, revision->value_or(0), SteadyNow() + kOperatorTimeout,
                     [responder](Result<std::string> json) {
                       if (!json) return responder.Send(ErrorResponse(json.error(), ""));
                       responder.Send(JsonResponse(200, std::move(*json)));
                     });
}

}  // namespace peridotgauge
