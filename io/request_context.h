// Objects that the searches and orders of a router share. All of them outlive the requests.
#ifndef PERIDOTGAUGE_IO_REQUEST_CONTEXT_H_
#define PERIDOTGAUGE_IO_REQUEST_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include "core/admission.h"
#include "core/hedge.h"
#include "core/metrics.h"
#include "core/plan.h"
#include "core/quarantine.h"
#include "core/search_policy.h"
#include "core/settings.h"
#include "io/control_client.h"
#include "io/crash_guard.h"
#include "io/sub_request_sender.h"
#include "io/tracer.h"

namespace peridotgauge {

struct RequestContext {
  boost::asio::io_context& io;
  const Settings& settings;
  ControlClient& control;
  Planner& planner;
  ReplicaChooser& chooser;  // leaves out what must get no requests
  HedgeBudget& hedge_budget;
  Admission& admission;
  Quarantine& quarantine;
  CrashGuard& crash_guard;
  SubRequestSender& sender;
  Tracer& tracer;
  Metrics& metrics;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_REQUEST_CONTEXT_H_
