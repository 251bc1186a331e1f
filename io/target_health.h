// Asks targets for their health, so that the router learns from a target itself that it has turned
// cold: before the record arrives that says so, and without contact with the controllers.
//
// Use:
//   TargetHealth health({pool, codec, warmup_limit, log});
//   health.SetPaths({{"verstas", "/health"}});       // by service, on a configuration
//   health.OnSend(now, target);                      // after a request was sent to the target
//
// Contract: runs on the thread of the io_context. Only targets that get requests of this router are
// asked, and only those of services with a path and a warm-up rate; WarmupLimit decides when. The
// exchange uses a connection of the target's pool, which is closed afterwards. Failures are
// ignored. Requests that wait for a target that has turned cold are placed anew.
#ifndef PERIDOTGAUGE_IO_TARGET_HEALTH_H_
#define PERIDOTGAUGE_IO_TARGET_HEALTH_H_

#include <map>
#include <string>
#include <utility>

#include "core/records.h"
#include "core/route_codec.h"
#include "core/types.h"
#include "core/warmup_limit.h"
#include "io/event_log.h"
#include "io/http_client.h"
#include "io/target_pool.h"

namespace peridotgauge {

// Above the pauses of targets that are alive.
constexpr Duration kHealthTimeout = Seconds(1);

class TargetHealth {
 public:
  // All outlive this object. The pool calls nothing back after this object is destroyed, because
  // both belong to the gateway.
  struct Context {
    TargetPool& pool;
    const RouteCodec& codec;
    WarmupLimit& warmup;
    EventLog& log;
  };
  explicit TargetHealth(Context context) : context(context) {}

  // Sets the paths for health requests, by service.
  void SetPaths(std::map<std::string, std::string> by_service) {
    this->paths = std::move(by_service);
  }
  void OnSend(Time now, const TargetRecord& target);

 private:
  void OnResult(const TargetRecord& target, const HttpResult& result);

  Context context;
  std::map<std::string, std::string> paths;  // by service
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TARGET_HEALTH_H_
