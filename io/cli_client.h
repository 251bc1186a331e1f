// Blocking HTTP calls of the command-line tool, over several addresses.
//
// Use:
//   CliClient client({"127.0.0.1:7001", "127.0.0.1:7002"}, Seconds(5));
//   Result<HttpResponse> response = client.Call({.method = "GET", .path = "/v1/status"});
//
// Contract: the addresses are tried in turn. The next one is tried only after a failure that proves
// that the request was not executed. kUnavailable: no address could be reached. kUnknownOutcome:
// the request was sent and its answer was lost. Any HTTP status is a response, not an error.
#ifndef PERIDOTGAUGE_IO_CLI_CLIENT_H_
#define PERIDOTGAUGE_IO_CLI_CLIENT_H_

#include <string>
#include <vector>

#include "core/error.h"
#include "core/http_message.h"
#include "core/types.h"

namespace peridotgauge {

class CliClient {
 public:
  // `timeout` is for one address.
  CliClient(std::vector<Address> addresses, Duration timeout)
      : addresses(std::move(addresses)), timeout(timeout) {}

  Result<HttpResponse> Call(const HttpRequest& request);
  // As Call(), through the addresses that the system names for callers.
  Result<HttpResponse> CallListedRouters(const HttpRequest& request);

 private:
  std::vector<Address> addresses;
  Duration timeout;
};

// Splits a comma-separated list; kBadRequest names an element that is not an address.
Result<std::vector<Address>> ParseAddresses(std::string_view list);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CLI_CLIENT_H_
