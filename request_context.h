// What the searches and orders of a router share. Everything outlives them.
#ifndef PERIDOTGAUGE_REQUEST_CONTEXT_H_
#define PERIDOTGAUGE_REQUEST_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include "admission.h"
#include "control_client.h"
#include "hedge.h"
#include "metrics.h"
#include "plan.h"
#include "quarantine.h"
#include "replica_choice.h"
#include "settings.h"
#include "sub_request_sender.h"
#include "tracer.h"

namespace peridotgauge {

struct RequestContext {
  boost::asio::io_context& io;
  const Settings& settings;
  ControlClient& control;
  Planner& planner;
  ReplicaChoice& replicas;
  HedgeBudget& hedges;
  Admission& admission;
  Quarantine& quarantine;
  SubRequestSender& sender;
  Tracer& tracer;
  Metrics& metrics;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_REQUEST_CONTEXT_H_
