// The router role for requests on routes: answers callers by sending their requests to targets.
//
// Use:
//   Gateway gateway(io, settings, self, control, codec, metrics, log);
//   gateway.Start();
//   gateway.Handle(http_request, responder);
//   gateway.Drain();                              // leaves the address list, serves on
//
// Contract: runs on the thread of the io_context. Every HTTP request gets one answer. Requests are
// served from the newest configuration that this process has learned, also while no controller can
// be reached: which routes may have changed meanwhile cannot be known, and refusing would help
// nobody. Before the first configuration everything is refused with kNotSynchronized. A request
// that is not idempotent is sent a second time only if the first one provably did not run.
#ifndef PERIDOTGAUGE_IO_GATEWAY_H_
#define PERIDOTGAUGE_IO_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/http_message.h"
#include "core/metrics.h"
#include "core/route_codec.h"
#include "core/settings.h"
#include "io/control_client.h"
#include "io/event_log.h"
#include "io/http_server.h"

namespace peridotgauge {

class Gateway {
 public:
  // All arguments outlive the gateway.
  Gateway(boost::asio::io_context& io, const Settings& settings, const RouterRecord& self,
          ControlClient& control, const RouteCodec& codec, Metrics& metrics, EventLog& log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  void Handle(HttpRequest request, const HttpResponder& responder);
  // Leaves the address list. Requests of callers with an old list are still served.
  void Drain();
  // True if callers may be sent here: a configuration is known and the process stays.
  bool Ready() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_GATEWAY_H_
