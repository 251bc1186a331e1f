// The operators' HTTP interface of every process: configuration, history, status and targets.
//
// Use:
//   OperatorHttp operators(control_client);
//   if (operators.Handles(request)) return operators.Handle(std::move(request), responder);
//
// Contract: answers come from the leader of the controllers after a quorum round. A text is
// validated here before it is sent on. Every request gets one answer; kUnknownOutcome is answered
// if a text may have been accepted but the leader's answer was lost, and the operator can send the
// same text again to learn the outcome.
#ifndef PERIDOTGAUGE_IO_OPERATOR_HTTP_H_
#define PERIDOTGAUGE_IO_OPERATOR_HTTP_H_

#include <string>

#include "core/http_message.h"
#include "io/control_client.h"
#include "io/http_server.h"

namespace peridotgauge {

// Time for one command or read; an election takes about 1 s.
constexpr Duration kOperatorDeadline = Seconds(5);

class OperatorHttp {
 public:
  // `control` must outlive this object.
  explicit OperatorHttp(ControlClient& control) : control(control) {}

  bool Handles(const HttpRequest& request) const;
  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  struct Route;
  static const Route* FindRoute(const HttpRequest& request);
  void Apply(const HttpRequest& request, const HttpResponder& responder);
  void Read(const Route& route, const HttpRequest& request, const HttpResponder& responder);

  ControlClient& control;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_OPERATOR_HTTP_H_
