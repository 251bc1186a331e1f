// Interface for deployments in which callers, targets and operators use an external API instead of
// the project's own one.
//
// The implementation in platform/ only translates names and formats. All decisions are made by the
// functions and objects that are passed to it.
#ifndef PERIDOTGAUGE_IO_EXTERNAL_INTERFACE_H_
#define PERIDOTGAUGE_IO_EXTERNAL_INTERFACE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/route_codec.h"
#include "io/control_client.h"
#include "io/http_server.h"

namespace peridotgauge {

// Functions and objects that the handler of requests to a controller uses. It sends configurations
// and heartbeats through `control` to the leader.
struct ControllerServices {
  ControlClient& control;
  // Returns the routers that a caller in this data centre may use now, or an error if this process
  // does not know them.
  std::function<Result<std::vector<Address>>(const std::string& data_centre)> routers;
  // Returns the address that a target should send its next heartbeats to; empty if unknown.
  std::function<Address(const std::string& target)> heartbeat_address;
  // Returns why this controller can neither decide on requests nor pass them on, or nothing. A
  // caller should then use another controller.
  std::function<std::optional<Error>()> unavailable;
  // Logs the event of a configuration that cannot be parsed and therefore is not sent to the
  // leader.
  std::function<void(const Error&)> config_refused;
};

class ExternalInterface {
 public:
  virtual ~ExternalInterface() = default;
  // Returns the function that parses the configuration texts of operators.
  virtual ConfigParser GetConfigParser() const = 0;
  virtual const RouteCodec& Codec() const = 0;
  // Returns the handler of HTTP requests of operators, targets and callers to a controller.
  virtual HttpServer::Handler ControllerHandler(ControllerServices services) const = 0;
  // Returns the response to a readiness check.
  virtual HttpResponse Readiness(const HttpRequest& request, bool ready) const = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_EXTERNAL_INTERFACE_H_
