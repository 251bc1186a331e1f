// The format of requests on routes, as an interface, so that the router does not depend on one.
//
// Use:
//   Result<CallerRequestInfo> info = codec.ParseCallerRequest(http);
//   HttpRequest sent = codec.BuildTargetRequest(http, target, time_left);
//   TargetReply reply = codec.ParseTargetResponse(response, info->request_id);
//   responder.Send(codec.BuildGatherResponse(server_stamps, missing, body));
//
// Contract: implementations translate and decide nothing. They keep no reference to their
// arguments.
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

// What a caller's request says about itself.
struct CallerRequestInfo {
  std::string request_id;
  std::string host;
  std::optional<Duration> timeout;  // how long the caller waits, if it says so
  bool operator==(const CallerRequestInfo&) const = default;
};

// What a target reports about its own load.
struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  bool operator==(const TargetLoad&) const = default;
};

// The meaning of a target's response.
enum class TargetReplyKind : uint8_t {
  kAnswered,     // success, with the server stamp that proves its origin
  kFailed,       // the target's own failure, which is passed on as it is
  kNotRun,       // the target states that it did not execute the request
  kWrongTarget,  // another target listens on the address; the request was not executed
  kUnrelated,    // not an answer to this request, or not from a target
};

struct TargetReply {
  TargetReplyKind kind = TargetReplyKind::kUnrelated;
  std::string server_stamp;  // by which the caller recognises the target's answer
  std::optional<TargetLoad> load;
  bool operator==(const TargetReply&) const = default;
};

class RouteCodec {
 public:
  virtual ~RouteCodec() = default;
  // kBadRequest if the request does not identify itself.
  virtual Result<CallerRequestInfo> ParseCallerRequest(const HttpRequest& request) const = 0;
  // The request as it is sent to a target that has `time_left` to answer.
  virtual HttpRequest BuildTargetRequest(const HttpRequest& request, const TargetRecord& target,
                                         Duration time_left) const = 0;
  // The header by which a target's response names the request that it answers.
  virtual HttpHeader RequestIdHeader(const std::string& request_id) const = 0;
  virtual TargetReply ParseTargetResponse(const HttpResponse& response,
                                          const std::string& request_id) const = 0;
  // A target's response as it is sent to the caller.
  virtual HttpResponse BuildForwardedResponse(HttpResponse response) const = 0;
  // `server_stamps` are those of the shards in the answer.
  virtual HttpResponse BuildGatherResponse(const std::vector<std::string>& server_stamps,
                                           uint32_t missing, std::string body) const = 0;
  // An error of the system's own. `not_run`: the request was not executed and will not be.
  // `retry_after` is set if the caller may come back.
  virtual HttpResponse BuildErrorResponse(const Error& error, bool not_run,
                                          std::optional<Duration> retry_after) const = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ROUTE_CODEC_H_
