// Interface that translates HTTP requests on routes, so that the router does not depend on one
// format of headers and status codes.
//
// Use:
//   Result<CallerRequestInfo> info = codec.ParseCallerRequest(http);
//   HttpRequest sent = codec.BuildTargetRequest(http, target, time_left);
//   TargetReply reply = codec.ParseTargetResponse(response, info->request_id);
//   responder.Send(codec.BuildGatherResponse(server_stamps, missing, body));
//
// Implementations only translate; they make no decisions and keep no references to their arguments.
#ifndef PERIDOTGAUGE_CORE_ROUTE_CODEC_H_
#define PERIDOTGAUGE_CORE_ROUTE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/http_message.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// The fields that the router reads from a caller's request.
struct CallerRequestInfo {
  std::string request_id;
  std::string host;
  std::optional<Duration> timeout;  // how long the caller waits; absent if it does not say
  std::string key = {};             // of a workspace; empty if there is none, or more than one
  bool operator==(const CallerRequestInfo&) const = default;
};

// The load that a target reports: requests that are running and queued, and its number of slots.
struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  bool operator==(const TargetLoad&) const = default;
};

// What a target's response says about the request.
enum class TargetReplyKind : uint8_t {
  kAnswered,     // success, with the server stamp that proves its origin
  kFailed,       // an error of the target, which is forwarded unchanged
  kNotRun,       // the target states that it did not execute the request
  kWrongTarget,  // another target listens on the address; the request was not executed
  kUnrelated,    // not a response to this request, or not from a target
};

struct TargetReply {
  TargetReplyKind kind = TargetReplyKind::kUnrelated;
  std::string server_stamp;  // proves to the caller that the response comes from a target
  std::optional<TargetLoad> load;
  // The target refused the request and wants none for so long.
  std::optional<Duration> pause;
  bool malformed_pause = false;  // it named a pause that cannot be read
  bool leaving = false;          // the target will end soon
  bool operator==(const TargetReply&) const = default;
};

class RouteCodec {
 public:
  virtual ~RouteCodec() = default;
  // Returns kBadRequest if the request has no request id or a malformed field.
  virtual Result<CallerRequestInfo> ParseCallerRequest(const HttpRequest& request) const = 0;
  // Returns the request to send to `target`, which has `time_left` to respond. It names
  // `workspace`, unless that is empty, and contains no key.
  virtual HttpRequest BuildTargetRequest(const HttpRequest& request, const TargetRecord& target,
                                         Duration time_left,
                                         const std::string& workspace) const = 0;
  // Replaces the time to respond in a request that BuildTargetRequest() has returned.
  virtual void SetTimeLeft(Duration time_left, HttpRequest& request) const = 0;
  // Returns the header with which a target's response identifies its request.
  virtual HttpHeader RequestIdHeader(const std::string& request_id) const = 0;
  virtual TargetReply ParseTargetResponse(const HttpResponse& response,
                                          const std::string& request_id) const = 0;
  // Returns the request that asks `target` for its health, which has `time_left` to respond.
  virtual HttpRequest BuildHealthRequest(const std::string& path, const TargetRecord& target,
                                         Duration time_left) const = 0;
  // Returns for how long the target that sent this response to a health request stays cold; 0 if it
  // is warm. Returns nothing if the response does not say it, or comes from another target.
  virtual std::optional<Duration> ParseHealthResponse(const HttpResponse& response) const = 0;
  // Returns the response to send to the caller for a response of a target.
  virtual HttpResponse BuildForwardedResponse(HttpResponse response) const = 0;
  // Returns the response for a request that was sent to several shards. `server_stamps` are those
  // of the shards whose results are in `body`; `missing` is the number of the other shards.
  virtual HttpResponse BuildGatherResponse(const std::vector<std::string>& server_stamps,
                                           uint32_t missing, std::string body) const = 0;
  // Returns the response for an error of the system itself. `not_run`: the request was not executed
  // and will not be. `retry_after` is set if the caller may retry.
  virtual HttpResponse BuildErrorResponse(const Error& error, bool not_run,
                                          std::optional<Duration> retry_after) const = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ROUTE_CODEC_H_
