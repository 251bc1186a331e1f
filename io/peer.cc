// Implements framed TCP between processes. PeerConnection reads and writes frames for both ends;
// PeerClient adds calls with deadlines, and PeerServer adds requests and cancellation.
#include "io/peer.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/address.h"
#include "core/decoded_size.h"
#include "io/clock.h"
#include "io/socket_options.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr size_t kLengthBytes = 4;
constexpr size_t kReadBytes = 16 << 10;
constexpr Duration kReconnectDelay = Millis(20);
// Estimated memory of an unanswered request, beyond its message.
constexpr size_t kRequestBytes = 256;
// Capacity of buffers that a connection keeps between two frames.
constexpr size_t kKeptBufferBytes = 64 << 10;

uint32_t ReadLength(const char* data) {
  const auto byte = [data](size_t i) {
    return static_cast<uint32_t>(static_cast<unsigned char>(data[i]));
  };
  return byte(0) | byte(1) << 8U | byte(2) << 16U | byte(3) << 24U;
}

// Reads and writes frames on one socket. `on_frame` receives each verified frame. `on_close` is
// called once when the connection closes for any reason, including Close().
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  std::function<void(DecodedFrame&)> on_frame;
  std::function<void()> on_close;

  // `budget` bounds what the connections of a server keep together; null: not counted.
  explicit PeerConnection(tcp::socket socket, const std::shared_ptr<ByteBudget>& budget = nullptr)
      : socket(std::move(socket)) {
    if (budget) this->kept = std::make_unique<ByteBudget::Account>(budget);
  }

  void Start() {
    SetSocketOptions(this->socket);
    if (this->kept) {
      this->kept->AllowCut(this, ByteBudget::CutOrder::kFirst,
                           [weak = this->weak_from_this()] { ScheduleCut(weak); });
    }
    this->ReadNext();
  }

  // Returns when the last complete frame was received, or when the connection was opened.
  Time LastFrame() const { return this->last_frame; }

  // Queues a frame. Returns false without queueing it if the connection is closed or too many bytes
  // are queued.
  bool Write(std::string frame) {
    if (this->closed || this->unwritten_bytes + frame.size() > kMaxUnwrittenBytes) return false;
    this->unwritten_bytes += frame.size();
    this->queued_frames.push_back(std::move(frame));
    this->Count();
    if (this->writing.empty()) this->WriteNext();
    return true;
  }

  // Counts a request that the process keeps until it is answered.
  void BeginRequest(size_t bytes) {
    this->unanswered_bytes += bytes;
    this->Count();
  }
  void EndRequest(size_t bytes) {
    this->unanswered_bytes -= bytes;
    this->Count();
  }

  void Close() {
    if (this->closed) return;
    this->closed = true;
    this->kept = nullptr;
    error_code ignored;
    this->socket.close(ignored);
    // Moved out first, because the callback may destroy the owner of this connection.
    auto callback = std::move(this->on_close);
    this->on_close = nullptr;
    this->on_frame = nullptr;
    if (callback) callback();
  }

 private:
  static void ScheduleCut(const std::weak_ptr<PeerConnection>& weak) {
    const auto self = weak.lock();
    if (!self) return;
    asio::post(self->socket.get_executor(), [self] {
      if (self->closed) return;
      LOG_EVERY_N(WARNING, 100) << "peer: closing a connection: the incomplete frames, unanswered "
                                   "requests and unread replies of all peers exceed the memory "
                                   "for them";
      self->Close();
    });
  }

  // Counts what the connection keeps for its peer.
  void Count() {
    if (this->kept) {
      this->kept->Set(this->received.capacity() + this->incoming.capacity() +
                      this->unwritten_bytes + this->unanswered_bytes);
    }
  }

  // Delivers all frames that have arrived in one pass of the event loop. With one pass for each
  // length and each body, frames were delayed by hundreds of milliseconds on a busy host.
  void ReadNext() {
    this->socket.async_read_some(asio::buffer(this->chunk),
                                 [self = this->shared_from_this()](error_code error, size_t size) {
                                   if (error) return self->Close();
                                   self->received.append(self->chunk.data(), size);
                                   self->DeliverFrames();
                                 });
  }

  void DeliverFrames() {
    size_t begin = 0;
    while (!this->closed && this->received.size() - begin >= kLengthBytes) {
      const uint32_t size = ReadLength(this->received.data() + begin);
      if (size == 0 || size > kMaxFrameBytes) {
        LOG(WARNING) << "peer: closing a connection: invalid frame length of " << size << " bytes";
        return this->Close();
      }
      if (this->received.size() - begin < kLengthBytes + size) break;
      this->last_frame = SteadyNow();
      // Copied, because the verifier requires an aligned buffer.
      this->incoming.assign(this->received, begin + kLengthBytes, size);
      begin += kLengthBytes + size;
      this->Deliver();
    }
    if (this->closed) return;
    this->received.erase(0, begin);
    this->ReleaseLargeBuffers();
    this->Count();
    this->ReadNext();
  }

  // Large frames are rare. Without this each connection would keep the memory of its largest one.
  void ReleaseLargeBuffers() {
    if (this->incoming.capacity() > kKeptBufferBytes) std::string().swap(this->incoming);
    if (this->received.empty() && this->received.capacity() > kKeptBufferBytes) {
      std::string().swap(this->received);
    }
  }

  void Deliver() {
    auto frame = DecodeFrame(this->incoming);
    if (!frame) {
      LOG(WARNING) << "peer: closing a connection after an invalid frame: "
                   << frame.error().ToString();
      return this->Close();
    }
    if (this->on_frame) this->on_frame(*frame);
  }

  // Writes all queued frames in one system call.
  void WriteNext() {
    this->writing.swap(this->queued_frames);
    this->buffers.clear();
    for (const std::string& frame : this->writing) this->buffers.push_back(asio::buffer(frame));
    asio::async_write(this->socket, this->buffers,
                      [self = this->shared_from_this()](error_code error, size_t written) {
                        if (error) return self->Close();
                        self->unwritten_bytes -= written;
                        self->Count();
                        self->writing.clear();
                        if (!self->queued_frames.empty()) self->WriteNext();
                      });
  }

  tcp::socket socket;
  std::array<char, kReadBytes> chunk{};
  std::string received;  // bytes not yet delivered; at most one frame and one chunk
  std::string incoming;  // the frame being delivered
  std::vector<std::string> queued_frames;  // frames not yet given to the socket
  std::vector<std::string> writing;        // frames of the write in progress
  std::vector<asio::const_buffer> buffers;
  size_t unwritten_bytes = 0;  // of `queued_frames` and `writing`
  size_t unanswered_bytes = 0;
  std::unique_ptr<ByteBudget::Account> kept;
  Time last_frame = SteadyNow();
  bool closed = false;
};

}  // namespace

std::string EncodeFrame(uint64_t call_id, bool reply, const wire::BodyUnion& body) {
  flatbuffers::FlatBufferBuilder builder(512);
  auto packed = body.Pack(builder);
  builder.Finish(wire::CreateFrame(builder, call_id, reply, body.type, packed));
  // FinishSizePrefixed is not used, because it aligns the buffer including the prefix; without the
  // prefix the buffer would fail the verifier's alignment check.
  const uint32_t size = builder.GetSize();
  std::string frame(kLengthBytes, '\0');
  frame.reserve(kLengthBytes + size);
  for (size_t i = 0; i < kLengthBytes; ++i) frame[i] = static_cast<char>(size >> (8 * i));
  return frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
}

Result<DecodedFrame> DecodeFrame(const std::string& bytes) {
  // Before the verifier, whose time is bounded only for frames that pass.
  const auto size = DecodedSize(bytes, *wire::FrameTypeTable(), kMaxDecodedFrameBytes);
  if (!size) {
    return Fail(ErrorCode::kBadRequest, "the frame is malformed or too large when decoded");
  }
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!wire::VerifyFrameBuffer(verifier)) {
    return Fail(ErrorCode::kBadRequest, "the frame failed flatbuffers verification");
  }
  return DecodedFrame{wire::UnPackFrame(data), *size};
}

// --- Client ---

class PeerClient::Impl : public std::enable_shared_from_this<PeerClient::Impl> {
 public:
  Impl(asio::io_context& io, Address address)
      : io(io), address(std::move(address)), connect_timer(io), deadline_timer(io) {}

  uint64_t Call(const wire::BodyUnion& body, Time deadline, Callback callback) {
    const uint64_t id = ++this->last_call_id;
    this->calls.emplace(id, PendingCall{std::move(callback), deadline, false});
    this->deadlines.emplace(deadline, id);
    this->ArmDeadlineTimer();
    this->Submit(id, EncodeFrame(id, false, body));
    return id;
  }

  void Cancel(uint64_t id, bool notify) {
    auto call = this->calls.find(id);
    if (call == this->calls.end()) return;
    const bool sent = call->second.sent;
    this->RemoveCall(call);
    if (notify && sent && this->connection) {
      this->connection->Write(EncodeFrame(id, false, ToBody(wire::CancelT{})));
    }
  }

  void Send(const wire::BodyUnion& body) { this->Submit(0, EncodeFrame(0, false, body)); }

  void Close() {
    ++this->connect_attempt;
    this->connecting.reset();
    this->connect_timer.cancel();
    if (auto open = std::exchange(this->connection, nullptr)) {
      open->on_close = nullptr;
      open->Close();
    }
    this->FailAllCalls("the client was closed");
  }

  // Closes the connection without calling back; used when the client is destroyed.
  void Destroy() {
    this->calls.clear();
    this->deadlines.clear();
    this->deadline_timer.cancel();
    this->Close();
  }

  const Address& PeerAddress() const { return this->address; }
  bool Connected() const { return this->connection != nullptr; }

 private:
  struct PendingCall {
    Callback callback;
    Time deadline;
    bool sent = false;  // the frame was passed to the socket, so the peer may have received it
  };
  struct UnsentFrame {
    uint64_t id;
    std::string frame;
  };
  using Calls = std::unordered_map<uint64_t, PendingCall>;

  void Submit(uint64_t id, std::string frame) {
    if (this->connection) return this->WriteFrame(id, std::move(frame));
    if (this->unsent_bytes + frame.size() > kMaxUnwrittenBytes) {
      return this->FailLater(
          id, {ErrorCode::kOverloaded, "too many bytes are queued for " + this->address});
    }
    this->unsent_bytes += frame.size();
    this->unsent.push_back({id, std::move(frame)});
    if (!this->connecting) this->Connect();
  }

  void WriteFrame(uint64_t id, std::string frame) {
    auto call = this->calls.find(id);
    if (id != 0 && call == this->calls.end()) return;
    if (!this->connection->Write(std::move(frame))) {
      if (id != 0) {
        this->FailLater(id, {ErrorCode::kOverloaded,
                             this->address + " reads too slowly: too many bytes are queued"});
      }
      return;
    }
    if (id != 0) call->second.sent = true;
  }

  void Connect() {
    const auto endpoint = ParseAddress(this->address);
    if (!endpoint) return this->OnConnectFailed(endpoint.error().detail);
    const uint64_t attempt = ++this->connect_attempt;
    this->connecting = std::make_shared<tcp::socket>(this->io);
    this->connect_timer.expires_after(this->connect_timeout);
    this->connect_timer.async_wait([self = this->shared_from_this(), attempt](error_code error) {
      if (error || attempt != self->connect_attempt) return;
      self->connect_timeout = std::min<Duration>(2 * self->connect_timeout, kMaxPeerConnectTimeout);
      self->OnConnectFailed("connect timed out");
    });
    auto socket = this->connecting;
    socket->async_connect(tcp::endpoint(asio::ip::make_address(endpoint->host), endpoint->port),
                          [self = this->shared_from_this(), socket, attempt](error_code error) {
                            if (attempt != self->connect_attempt) return;
                            if (error) return self->OnConnectFailed(error.message());
                            self->OnConnected(std::move(*socket));
                          });
  }

  // Fails the queued calls. The delay before the next attempt prevents a busy loop of connects to
  // an unreachable peer.
  void OnConnectFailed(const std::string& reason) {
    const uint64_t attempt = ++this->connect_attempt;
    this->connecting = std::make_shared<tcp::socket>(this->io);
    std::vector<UnsentFrame> failed = std::exchange(this->unsent, {});
    this->unsent_bytes = 0;
    for (const UnsentFrame& frame : failed) {
      this->FailLater(frame.id, {ErrorCode::kUnavailable, this->address + ": " + reason});
    }
    this->connect_timer.expires_after(kReconnectDelay);
    this->connect_timer.async_wait([self = this->shared_from_this(), attempt](error_code error) {
      if (error || attempt != self->connect_attempt) return;
      self->connecting.reset();
      if (!self->unsent.empty()) self->Connect();
    });
  }

  void OnConnected(tcp::socket socket) {
    ++this->connect_attempt;
    this->connect_timer.cancel();
    this->connecting.reset();
    this->connect_timeout = kPeerConnectTimeout;
    this->connection = std::make_shared<PeerConnection>(std::move(socket));
    this->connection->on_frame = [self = this->weak_from_this()](DecodedFrame& decoded) {
      if (auto client = self.lock()) client->OnFrame(*decoded.frame);
    };
    this->connection->on_close = [self = this->weak_from_this()] {
      if (auto client = self.lock()) client->OnClose();
    };
    this->connection->Start();
    std::vector<UnsentFrame> frames = std::exchange(this->unsent, {});
    this->unsent_bytes = 0;
    for (UnsentFrame& frame : frames) {
      if (!this->connection) return this->Submit(frame.id, std::move(frame.frame));
      this->WriteFrame(frame.id, std::move(frame.frame));
    }
  }

  void OnFrame(wire::FrameT& frame) {
    if (!frame.reply) return;  // a client ignores requests
    auto call = this->calls.find(frame.call_id);
    if (call == this->calls.end()) return;  // cancelled or timed out
    Callback callback = std::move(call->second.callback);
    this->RemoveCall(call);
    callback(std::move(frame.body));
  }

  void OnClose() {
    this->connection.reset();
    this->FailAllCalls("the connection closed");
  }

  void FailAllCalls(const std::string& reason) {
    std::vector<uint64_t> ids;
    ids.reserve(this->calls.size());
    for (const auto& [id, call] : this->calls) ids.push_back(id);
    this->unsent.clear();
    this->unsent_bytes = 0;
    for (uint64_t id : ids) {
      const bool sent = this->calls.at(id).sent;
      this->FailLater(id, {sent ? ErrorCode::kConnectionLost : ErrorCode::kUnavailable,
                           this->address + ": " + reason});
    }
  }

  // Removes the call now and calls back from the event loop.
  void FailLater(uint64_t id, Error error) {
    auto call = this->calls.find(id);
    if (call == this->calls.end()) return;
    Callback callback = std::move(call->second.callback);
    this->RemoveCall(call);
    asio::post(this->io, [callback = std::move(callback), error = std::move(error)]() mutable {
      callback(tl::unexpected(std::move(error)));
    });
  }

  void RemoveCall(Calls::iterator call) {
    auto [first, last] = this->deadlines.equal_range(call->second.deadline);
    for (; first != last; ++first) {
      if (first->second != call->first) continue;
      this->deadlines.erase(first);
      break;
    }
    this->calls.erase(call);
  }

  // Sets the timer to the earliest deadline. It is not rescheduled if that call ends earlier; the
  // timer then fires without effect.
  void ArmDeadlineTimer() {
    if (this->deadlines.empty()) return;
    const Time earliest = this->deadlines.begin()->first;
    if (this->timer_armed && this->timer_deadline <= earliest) return;
    this->timer_armed = true;
    this->timer_deadline = earliest;
    this->deadline_timer.expires_at(earliest);
    this->deadline_timer.async_wait([self = this->weak_from_this()](error_code error) {
      auto client = self.lock();
      if (error || !client) return;
      client->timer_armed = false;
      client->ExpireCalls(SteadyNow());
      client->ArmDeadlineTimer();
    });
  }

  void ExpireCalls(Time now) {
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
      const uint64_t id = this->deadlines.begin()->second;
      const bool sent = this->calls.at(id).sent;
      if (sent && this->connection) {
        this->connection->Write(EncodeFrame(id, false, ToBody(wire::CancelT{})));
      }
      this->FailLater(id, {sent ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable,
                           "no reply from " + this->address});
    }
  }

  asio::io_context& io;
  Address address;
  std::shared_ptr<PeerConnection> connection;  // set while connected
  std::shared_ptr<tcp::socket> connecting;     // set while connecting or waiting after a failure
  uint64_t connect_attempt = 0;     // incremented by every attempt, to ignore late results
  std::vector<UnsentFrame> unsent;  // frames queued until the connection is open
  size_t unsent_bytes = 0;
  uint64_t last_call_id = 0;
  Calls calls;
  std::multimap<Time, uint64_t> deadlines;         // one element for each element of `calls`
  Duration connect_timeout = kPeerConnectTimeout;  // of the next attempt
  asio::steady_timer connect_timer;
  asio::steady_timer deadline_timer;
  bool timer_armed = false;
  Time timer_deadline;
};

PeerClient::PeerClient(asio::io_context& io, Address address)
    : impl(std::make_shared<Impl>(io, std::move(address))) {}
PeerClient::~PeerClient() { this->impl->Destroy(); }

uint64_t PeerClient::Call(const wire::BodyUnion& body, Time deadline, Callback callback) {
  return this->impl->Call(body, deadline, std::move(callback));
}
void PeerClient::Cancel(uint64_t call_id, bool notify) { this->impl->Cancel(call_id, notify); }
void PeerClient::Send(const wire::BodyUnion& body) { this->impl->Send(body); }
void PeerClient::Close() { this->impl->Close(); }
const Address& PeerClient::PeerAddress() const { return this->impl->PeerAddress(); }
bool PeerClient::Connected() const { return this->impl->Connected(); }

// --- Server ---

struct PeerRequest::State {
  std::weak_ptr<PeerConnection> connection;
  uint64_t call_id = 0;
  bool active = true;  // not answered, cancelled or disconnected yet
  std::function<void()> on_cancel;
  std::function<void()> on_finished;  // removes the request from its connection's table

  State() = default;
  // Nobody can reply any more.
  ~State() {
    if (this->on_finished) this->on_finished();
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Finish() {
    this->active = false;
    this->on_cancel = nullptr;
    if (auto callback = std::exchange(this->on_finished, nullptr)) callback();
  }

  void OnCancelledByPeer() {
    if (!this->active) return;
    auto callback = std::move(this->on_cancel);
    this->Finish();
    if (callback) callback();
  }
};

void PeerRequest::Reply(const wire::BodyUnion& body) const {
  if (!this->state->active) return;
  const uint64_t id = this->state->call_id;
  auto connection = this->state->connection.lock();
  this->state->Finish();
  if (id == 0 || !connection) return;
  if (!connection->Write(EncodeFrame(id, true, body))) {
    LOG(WARNING) << "peer: closing a connection: the peer does not read its replies";
    connection->Close();
  }
}

void PeerRequest::OnCancel(std::function<void()> callback) const {
  if (this->state->active) this->state->on_cancel = std::move(callback);
}

bool PeerRequest::Active() const { return this->state->active; }

class PeerServer::Impl : public std::enable_shared_from_this<PeerServer::Impl> {
 public:
  Impl(asio::io_context& io, const Address& address, Handler handler, PeerServerLimits limits)
      : handler(std::move(handler)),
        limits(std::move(limits)),
        acceptor(io),
        accept_retry_timer(io) {
    const auto endpoint = ParseListenAddress(address);
    if (!endpoint) {
      throw boost::system::system_error(asio::error::invalid_argument, endpoint.error().detail);
    }
    const tcp::endpoint bound(asio::ip::make_address(endpoint->host), endpoint->port);
    this->acceptor.open(bound.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(bound);
    this->acceptor.listen();
  }

  void Start() { this->AcceptNext(); }

  void Close() {
    this->closed = true;
    error_code ignored;
    this->acceptor.close(ignored);
    this->accept_retry_timer.cancel();
    auto open = std::exchange(this->sessions, {});
    for (auto& [connection, session] : open) connection->Close();
    this->handler = nullptr;
  }

  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  size_t Connections() const { return this->sessions.size(); }

 private:
  struct OpenRequest {
    const PeerRequest::State* key;  // only compared
    std::weak_ptr<PeerRequest::State> state;
  };
  // The unanswered requests of one connection. Does not keep those that nobody can answer any more.
  struct Session {
    std::unordered_map<uint64_t, OpenRequest> requests;

    void Remove(uint64_t id, const PeerRequest::State* key) {
      const auto found = this->requests.find(id);
      if (found != this->requests.end() && found->second.key == key) this->requests.erase(found);
    }
  };
  static constexpr Duration kAcceptRetryDelay = Millis(100);

  void AcceptNext() {
    this->acceptor.async_accept(
        [self = this->shared_from_this()](error_code error, tcp::socket socket) {
          if (self->closed || error == asio::error::operation_aborted) return;
          if (error) return self->RetryAccept(error);
          self->OnAccepted(std::move(socket));
          self->AcceptNext();
        });
  }

  // Accepting fails while the process has no free file descriptors.
  void RetryAccept(error_code error) {
    LOG(WARNING) << "peer: accepting a connection failed, retrying: " << error.message();
    this->accept_retry_timer.expires_after(kAcceptRetryDelay);
    this->accept_retry_timer.async_wait([self = this->shared_from_this()](error_code cancelled) {
      if (!cancelled) self->AcceptNext();
    });
  }

  void OnAccepted(tcp::socket socket) {
    if (this->sessions.size() >= this->limits.max_connections) this->CloseOldest();
    auto connection = std::make_shared<PeerConnection>(std::move(socket), this->limits.bytes);
    PeerConnection* key = connection.get();
    this->sessions.emplace(connection, std::make_shared<Session>());
    connection->on_frame = [self = this->weak_from_this(), key](DecodedFrame& decoded) {
      if (auto server = self.lock()) server->OnFrame(key->shared_from_this(), decoded);
    };
    connection->on_close = [self = this->weak_from_this(), key] {
      if (auto server = self.lock()) server->OnClose(key->shared_from_this());
    };
    connection->Start();
  }

  // Peers of this system send frames at least at every heartbeat or synchronisation; connections
  // that send none are closed first.
  void CloseOldest() {
    const auto oldest = std::min_element(
        this->sessions.begin(), this->sessions.end(),
        [](const auto& a, const auto& b) { return a.first->LastFrame() < b.first->LastFrame(); });
    if (oldest == this->sessions.end()) return;
    LOG_EVERY_N(WARNING, 100) << "peer: closing the connection that was silent the longest: more "
                                 "than "
                              << this->limits.max_connections << " are open";
    const std::shared_ptr<PeerConnection> connection = oldest->first;
    connection->Close();
  }

  void OnFrame(const std::shared_ptr<PeerConnection>& connection, DecodedFrame& decoded) {
    wire::FrameT& frame = *decoded.frame;
    auto found = this->sessions.find(connection);
    if (found == this->sessions.end() || frame.reply) return;
    auto session = found->second;
    if (frame.body.type == wire::Body::Cancel) return CancelRequest(*session, frame.call_id);
    PeerRequest request;
    request.state = std::make_shared<PeerRequest::State>();
    request.state->connection = connection;
    request.state->call_id = frame.call_id;
    if (frame.call_id != 0) {
      const PeerRequest::State* key = request.state.get();
      const size_t bytes = decoded.bytes + kRequestBytes;
      session->requests.insert_or_assign(frame.call_id, OpenRequest{key, request.state});
      connection->BeginRequest(bytes);
      request.state->on_finished = [weak = std::weak_ptr<Session>(session), id = frame.call_id, key,
                                    sender = request.state->connection, bytes] {
        if (auto open = weak.lock()) open->Remove(id, key);
        if (auto open = sender.lock()) open->EndRequest(bytes);
      };
    }
    this->handler(std::move(frame.body), std::move(request));
  }

  static void CancelRequest(Session& session, uint64_t id) {
    auto request = session.requests.find(id);
    if (request == session.requests.end()) return;
    if (const auto state = request->second.state.lock()) state->OnCancelledByPeer();
  }

  void OnClose(const std::shared_ptr<PeerConnection>& connection) {
    auto found = this->sessions.find(connection);
    if (found == this->sessions.end()) return;
    auto session = found->second;
    this->sessions.erase(found);
    auto requests = std::exchange(session->requests, {});
    for (const auto& [id, request] : requests) {
      if (const auto state = request.state.lock()) state->OnCancelledByPeer();
    }
  }

  Handler handler;
  const PeerServerLimits limits;
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  std::map<std::shared_ptr<PeerConnection>, std::shared_ptr<Session>> sessions;
  bool closed = false;
};

PeerServer::PeerServer(asio::io_context& io, const Address& address, Handler handler,
                       PeerServerLimits limits)
    : impl(std::make_shared<Impl>(io, address, std::move(handler), std::move(limits))) {
  this->impl->Start();
}
PeerServer::~PeerServer() { this->impl->Close(); }
void PeerServer::Close() { this->impl->Close(); }
uint16_t PeerServer::Port() const { return this->impl->Port(); }
size_t PeerServer::Connections() const { return this->impl->Connections(); }

}  // namespace peridotgauge
