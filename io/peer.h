// A framed TCP protocol between processes: a multiplexing client and a server.
//
// Use:
//   auto client = std::make_shared<PeerClient>(io, "127.0.0.1:7101");
//   uint64_t call = client->Call(body, deadline, [](Result<wire::BodyUnion> reply) { ... });
//   client->Cancel(call);                        // the callback is not called afterwards
//
//   PeerServer server(io, "127.0.0.1:7101", [](wire::BodyUnion body, PeerRequest request) {
//     request.Reply(answer);                     // now or later, at most once
//   });
//
// Contract: everything runs on the thread of the io_context. A callback is called exactly once
// unless the call was cancelled, and never from inside Call(). A call fails with kUnavailable if
// the request cannot have left this process, kConnectionLost if it may have, and kDeadlineExceeded
// if no reply arrived in time. A client connects on the first call, keeps the connection open, and
// reconnects after a failure; calls made while it connects are queued, and fail with kUnavailable
// if connecting fails. A frame above kMaxFrameBytes or one that DecodeFrame() refuses closes the
// connection. Both sides bound the bytes queued for writing: a client refuses calls with
// kOverloaded, and a server closes a connection whose peer does not read its replies.
//
// A server also bounds, over all its connections, their number and the bytes of incomplete frames,
// unanswered requests and unread replies. Beyond the number it closes the connection whose last
// complete frame is the oldest; beyond the bytes, the one that keeps the most.
#ifndef PERIDOTGAUGE_IO_PEER_H_
#define PERIDOTGAUGE_IO_PEER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/byte_budget.h"
#include "core/error.h"
#include "core/types.h"
#include "peer_generated.h"

namespace peridotgauge {

constexpr size_t kMaxFrameBytes = 4 << 20;
// Limit on the memory of one decoded frame. The largest frames of this system, with a directory of
// kMaxTargets targets, take less than half of it.
constexpr size_t kMaxDecodedFrameBytes = 16 << 20;
constexpr size_t kMaxUnwrittenBytes = 32 << 20;
// Timeout of the first attempt to connect; it doubles with each failure up to the limit. A host
// without power does not answer, and would delay the search for another one.
constexpr Duration kPeerConnectTimeout = Millis(150);
constexpr Duration kMaxPeerConnectTimeout = Millis(500);

// Encodes one frame, including its length prefix.
std::string EncodeFrame(uint64_t call_id, bool reply, const wire::BodyUnion& body);
struct DecodedFrame {
  std::unique_ptr<wire::FrameT> frame;
  size_t bytes = 0;  // estimated memory of `frame`
};
// Decodes a frame without its length prefix; kBadRequest if it fails verification or would take
// more than kMaxDecodedFrameBytes.
Result<DecodedFrame> DecodeFrame(const std::string& bytes);

// Wraps a message in the body union, for example ToBody(wire::CancelT{}).
template <typename T>
wire::BodyUnion ToBody(T message) {
  wire::BodyUnion body;
  body.Set(std::move(message));
  return body;
}

class PeerClient : public std::enable_shared_from_this<PeerClient> {
 public:
  using Callback = std::function<void(Result<wire::BodyUnion>)>;

  PeerClient(boost::asio::io_context& io, Address address);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends a request. Returns the call's id, for Cancel().
  uint64_t Call(const wire::BodyUnion& body, Time deadline, Callback callback);
  // Drops the call without calling back. `notify`: also sends a Cancel message to the peer.
  void Cancel(uint64_t call_id, bool notify = true);
  // Sends a one-way message, which is dropped if the peer cannot be reached.
  void Send(const wire::BodyUnion& body);
  // Fails all calls and closes the connection. The client can be used again afterwards.
  void Close();

  const Address& PeerAddress() const;
  bool Connected() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

// A received request. All copies refer to the same request; only the first reply is sent. It counts
// as unanswered until the reply, or until the last copy is destroyed.
class PeerRequest {
 public:
  // Sends the reply; does nothing for a one-way message or a closed connection.
  void Reply(const wire::BodyUnion& body) const;
  // Sets a callback that is called once if the peer cancels the request or its connection closes
  // before the reply.
  void OnCancel(std::function<void()> callback) const;
  // Returns false once the request has been answered or cancelled, or its connection has closed.
  bool Active() const;

 private:
  friend class PeerServer;
  struct State;
  std::shared_ptr<State> state;
};

struct PeerServerLimits {
  size_t max_connections = 1'024;
  std::shared_ptr<ByteBudget> bytes = nullptr;  // null: not bounded together
};

class PeerServer {
 public:
  using Handler = std::function<void(wire::BodyUnion, PeerRequest)>;

  // Throws boost::system::system_error if the address cannot be bound.
  PeerServer(boost::asio::io_context& io, const Address& address, Handler handler,
             PeerServerLimits limits = {});
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Stops accepting and closes all connections.
  void Close();
  // Returns the bound port, also if the address had port 0.
  uint16_t Port() const;
  // Returns the number of open connections.
  size_t Connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_PEER_H_
