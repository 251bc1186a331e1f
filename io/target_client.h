// The HTTP format of sub-requests to targets, and a client that uses it.
//
// Use:
//   TargetClient client(io, record.address, {.max_connections = 40, .min_connections = 4});
//   uint64_t call = client.Send(request, [](wire::SubReplyT reply) { ... }, [] { ... });
//   client.Cancel(call);
//
// Contract: as for HttpClient, `done` is called exactly once unless the call was cancelled, and
// never from inside Send(). A reply whose echoed headers differ from the request is reported as
// kWrongReply (kWrongSnapshot if only the snapshot differs), so that it is never merged. kShed is
// reported only for a 503 with "x-not-run: true" that belongs to the request. The body of a
// successful reply is valid JSON.
#ifndef PERIDOTGAUGE_IO_TARGET_CLIENT_H_
#define PERIDOTGAUGE_IO_TARGET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/types.h"
#include "io/http_client.h"
#include "peer_generated.h"

namespace peridotgauge {

// Returns the HTTP request of a sub-request, whose `budget_us` is the time left.
HttpRequest FormatSubRequest(const wire::SubRequestT& request);
// Returns the reply that the target's response to `request` contains.
wire::SubReplyT ParseSubReply(const wire::SubRequestT& request, HttpResponse response);
// Returns the reply to a request that failed without an exchange with the target.
wire::SubReplyT FailedSubReply(const wire::SubRequestT& request, const Error& error);
// Returns the reply to a request whose exchange with the target failed.
wire::SubReplyT FailedSubReply(const wire::SubRequestT& request, const HttpFailure& failure);

class TargetClient {
 public:
  using Callback = std::function<void(wire::SubReplyT)>;

  // `budget`: see HttpClient.
  TargetClient(boost::asio::io_context& io, Address address, HttpClientOptions options,
               std::shared_ptr<ByteBudget> budget = nullptr);

  // Sends the sub-request; its deadline is `budget_us` from now. `released` is called once, when
  // the sub-request no longer occupies a slot of the target as far as this side can tell; see
  // HttpCall::released.
  uint64_t Send(const wire::SubRequestT& request, Callback done,
                std::function<void()> released = {});
  // Cancels the sub-request by closing its connection.
  void Cancel(uint64_t id) { this->client.Cancel(id); }
  void SetOptions(HttpClientOptions options) { this->client.SetOptions(options); }

  const Address& TargetAddress() const { return this->client.PeerAddress(); }
  HttpClientStatus Status() const { return this->client.Status(); }

 private:
  HttpClient client;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TARGET_CLIENT_H_
