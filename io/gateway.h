// The router role for requests on routes: forwards callers' requests to targets.
//
// Use:
//   Gateway gateway(io, settings, self, control, codec, metrics, log);
//   gateway.Start();
//   gateway.Handle(http_request, responder);
//   responder.Send(gateway.Explain(operator_request));
//   gateway.Drain(answer_by);                     // leaves the address list, continues to serve
//   gateway.AnswerRunning();                      // at `answer_by`
//
// Contract: runs on the thread of the io_context. Every HTTP request gets one response. Requests
// are served from the newest configuration that this process has received, also while no controller
// can be reached: routes may have changed in the meantime, but refusing requests would not help any
// caller. Before the first configuration, every request is refused with kNotSynchronized. A request
// that is not idempotent is sent a second time only if the first one provably was not executed.
#ifndef PERIDOTGAUGE_IO_GATEWAY_H_
#define PERIDOTGAUGE_IO_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/byte_budget.h"
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
  // All references outlive the gateway. `response_bytes`: see HttpClient.
  Gateway(boost::asio::io_context& io, const Settings& settings, const RouterRecord& self,
          ControlClient& control, const RouteCodec& codec, Metrics& metrics, EventLog& log,
          std::shared_ptr<ByteBudget> response_bytes);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  void Handle(HttpRequest request, const HttpResponder& responder);
  // Leaves the address list. Requests of callers with an old list are still served if they end by
  // `answer_by`, see drain_policy.h; others are refused, so that the callers ask another router.
  void Drain(Time answer_by);
  // Answers all running requests now, as if their deadlines had passed.
  void AnswerRunning();
  // Answers POST /v1/explain: where a request would go now. See explain_routes.h.
  HttpResponse Explain(const HttpRequest& request);
  // Returns true if the gateway can take callers: it has a configuration with routes and is not
  // draining.
  bool Ready() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_GATEWAY_H_
