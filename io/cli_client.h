// A blocking HTTP client for the command-line tool, with failover between several addresses.
//
// Use:
//   CliClient client({"127.0.0.1:7001", "127.0.0.1:7002"}, Seconds(5));
//   Result<HttpResponse> response = client.Call({.method = "GET", .path = "/v1/status"});
//
// Contract: the addresses are tried in order. The next one is tried only after a failure that
// proves that the request was not executed. kUnavailable: no address could be reached.
// kUnknownOutcome: the request was sent and its response was lost. A response with any HTTP status
// is not an error.
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
  // `timeout` applies to each address separately.
  CliClient(std::vector<Address> addresses, Duration timeout)
      : addresses(std::move(addresses)), timeout(timeout) {}

  Result<HttpResponse> Call(const HttpRequest& request);
  // Fetches the list of routers for callers with Call(), and sends the request to those.
  Result<HttpResponse> CallListedRouters(const HttpRequest& request);

 private:
  std::vector<Address> addresses;
  Duration timeout;
};

// Parses a comma-separated list. The error of an element that is not an address is kBadRequest and
// names the element.
Result<std::vector<Address>> ParseAddresses(std::string_view list);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_CLI_CLIENT_H_
