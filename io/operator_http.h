// The HTTP API for operators that every process serves: configuration, history, status and targets.
//
// Use:
//   OperatorHttp operators(control_client);
//   if (operators.Handles(request)) return operators.Handle(std::move(request), responder);
//
// Contract: responses come from the leader of the controllers after a round trip to a quorum. A
// configuration text is validated here before it is sent to the leader. Every request gets one
// response. It is kUnknownOutcome if the text may have been accepted but the leader's answer was
// lost; the operator can send the same text again to learn the outcome.
#ifndef PERIDOTGAUGE_IO_OPERATOR_HTTP_H_
#define PERIDOTGAUGE_IO_OPERATOR_HTTP_H_

#include <string>

#include "core/http_message.h"
#include "io/control_client.h"
#include "io/http_server.h"

namespace peridotgauge {

// Timeout of a command or read. An election takes about 1 s.
constexpr Duration kOperatorTimeout = Seconds(5);

// Timeout of a call that evacuates a data centre, from its arrival. A process that was frozen reads
// calls late; by then the operator may have reverted the call at another process, so it must not be
// executed any more.
constexpr Duration kEvacuationTimeout = Millis(900);

class OperatorHttp {
 public:
  // `control` must outlive this object.
  explicit OperatorHttp(ControlClient& control) : control(control) {}

  bool Handles(const HttpRequest& request) const;
  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  struct Route;
  static const Route* FindRoute(const HttpRequest& request);
  // Evacuates a data centre or ends that.
  void SetEvacuation(const Route& route, const HttpRequest& request,
                     const HttpResponder& responder);
  void Apply(const Route& route, const HttpRequest& request, const HttpResponder& responder);
  void Read(const Route& route, const HttpRequest& request, const HttpResponder& responder);

  ControlClient& control;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_OPERATOR_HTTP_H_
