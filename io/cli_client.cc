#include "io/cli_client.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "core/address.h"
#include "core/caller_api.h"
#include "io/clock.h"
#include "io/http_client.h"

namespace peridotgauge {
namespace {

// Sends the request to one address and waits for the result.
HttpResult CallAddress(const Address& address, const HttpRequest& request, Duration timeout) {
  boost::asio::io_context io;
  HttpClient client(io, address, {.max_connections = 1});
  std::optional<HttpResult> result;
  client.Send({.request = request,
               .deadline = SteadyNow() + timeout,
               .done = [&](HttpResult done) { result = std::move(done); },
               .released = {}});
  while (!result) io.run_one();
  return std::move(*result);
}

// Returns true if the response proves that the request was not executed, so that another address
// may be tried.
bool CanTryNextAddress(const HttpResponse& response) {
  if (response.status != 503) return false;
  return ParseErrorBody(response.status, response.body).not_run;
}

Result<HttpResponse> CallInOrder(const std::vector<Address>& addresses, const HttpRequest& request,
                                 Duration timeout) {
  Result<HttpResponse> last = Fail(ErrorCode::kUnavailable, "no addresses (see --addresses)");
  for (const Address& address : addresses) {
    HttpResult result = CallAddress(address, request, timeout);
    if (!result && result.error().sent) {
      return Fail(ErrorCode::kUnknownOutcome,
                  "the response of " + address + " was lost: " + result.error().error.ToString());
    }
    if (!result) {
      last = Fail(ErrorCode::kUnavailable, address + ": " + result.error().error.detail);
      continue;
    }
    const bool try_next = CanTryNextAddress(*result);
    last = std::move(*result);
    if (!try_next) return last;
  }
  return last;
}

}  // namespace

Result<HttpResponse> CliClient::Call(const HttpRequest& request) {
  return CallInOrder(this->addresses, request, this->timeout);
}

Result<HttpResponse> CliClient::CallListedRouters(const HttpRequest& request) {
  Result<HttpResponse> response = this->Call({.method = "GET", .path = "/v1/routers"});
  if (!response || response->status != 200) return response;
  const Result<RouterList> list = ParseRouterList(response->body);
  if (!list) return tl::unexpected(list.error());
  std::vector<Address> listed;
  for (const RouterEntry& router : list->routers) listed.push_back(router.address);
  return CallInOrder(listed, request, this->timeout);
}

Result<std::vector<Address>> ParseAddresses(std::string_view list) {
  std::vector<Address> addresses;
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    const std::string_view item = list.substr(0, comma);
    if (const auto endpoint = ParseAddress(item); !endpoint) {
      return tl::unexpected(endpoint.error());
    }
    addresses.emplace_back(item);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return addresses;
}

}  // namespace peridotgauge
