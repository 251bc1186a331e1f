// The router role: serves callers and targets, and dispatches sub-requests of other routers to the
// targets that it owns.
//
// Use:
//   Router router(io, settings, control, peers, metrics, tracer);
//   router.Start();
//   if (router.Handles(http_request)) router.Handle(http_request, responder);
//   router.HandlePeer(std::move(body), peer_request);        // SubRequest, Release
//   router.Drain([] { ... });                                // graceful shutdown
//
// Contract: runs on the thread of the io_context. The router starts and stops `control`. Every HTTP
// request gets one response. While the configuration lease is not valid, all requests are refused
// with kNotSynchronized.
#ifndef PERIDOTGAUGE_IO_ROUTER_H_
#define PERIDOTGAUGE_IO_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/byte_budget.h"
#include "core/http_message.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "io/control_client.h"
#include "io/event_log.h"
#include "io/http_server.h"
#include "io/peer.h"
#include "io/peer_pool.h"
#include "io/tracer.h"

namespace peridotgauge {

// Time for which callers may use a list of routers.
constexpr Duration kRouterListTtl = Seconds(2);
// Time for which a draining router accepts requests, so that callers with an old list are served.
constexpr Duration kDrainTime = kRouterListTtl + Millis(500);

class Router {
 public:
  // All references outlive the router. `response_bytes`: see HttpClient.
  Router(boost::asio::io_context& io, const Settings& settings, const RouterRecord& self,
         ControlClient& control, PeerPool& peers, Metrics& metrics, Tracer& tracer, EventLog& log,
         std::shared_ptr<ByteBudget> response_bytes);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void Start();

  bool Handles(const HttpRequest& request) const;
  void Handle(const HttpRequest& request, const HttpResponder& responder);
  // Handles a SubRequest or a Release of another router. Other messages get no reply.
  void HandlePeer(wire::BodyUnion body, const PeerRequest& request);

  // Leaves the address list, continues to serve for kDrainTime, then refuses new requests, waits
  // for the running ones, leaves the router list and calls `done`.
  void Drain(std::function<void()> done);

  bool Synchronized(Time now) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_ROUTER_H_
