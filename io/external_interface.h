// How callers, targets and operators are spoken to, where that is not the project's own interface.
//
// Implemented in platform/, which translates names and formats; everything that decides is behind
// the functions and objects that it is given here.
#ifndef PERIDOTGAUGE_IO_EXTERNAL_INTERFACE_H_
#define PERIDOTGAUGE_IO_EXTERNAL_INTERFACE_H_

#include <functional>
#include <vector>

#include "core/config.h"
#include "core/route_codec.h"
#include "io/control_client.h"
#include "io/http_server.h"

namespace peridotgauge {

// What the handler of calls to a controller needs. Configurations and heartbeats go through
// `control` to the leader.
struct ControllerServices {
  ControlClient& control;
  // The routers that callers may use now; an error if this process cannot know.
  std::function<Result<std::vector<Address>>()> routers;
  // Where the leader takes heartbeats; empty if unknown.
  std::function<Address()> leader_address;
  // Told of a configuration that cannot be read and so does not reach the leader; writes the event.
  std::function<void(const Error&)> config_refused;
};

class ExternalInterface {
 public:
  virtual ~ExternalInterface() = default;
  // Reads the operators' texts.
  virtual ConfigReader Reader() const = 0;
  virtual const RouteCodec& Codec() const = 0;
  // The handler of calls that operators, targets and callers make to a controller.
  virtual HttpServer::Handler ControllerHandler(ControllerServices services) const = 0;
  // Answers a readiness check.
  virtual HttpResponse Readiness(const HttpRequest& request, bool ready) const = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_EXTERNAL_INTERFACE_H_
