#include "testing/hostile/hostile_crowd.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include "core/address.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr Duration kRoundPause = Millis(20);
// Bytes that one connection sends in a round, so that all connections make progress.
constexpr size_t kRoundBytes = 256 << 10;

sockaddr_in ToSocketAddress(const Address& address) {
  const Endpoint endpoint = *ParseAddress(address);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &out.sin_addr);
  return out;
}

}  // namespace

HostileCrowd::HostileCrowd(const Address& address, size_t connections, HostilePlan plan)
    : address(ToSocketAddress(address)), plan(std::move(plan)), connections(connections) {}

HostileCrowd::~HostileCrowd() {
  this->Stop();
  for (Connection& connection : this->connections) Close(connection, false);
}

void HostileCrowd::Run(Duration length) {
  const Time end = SteadyNow() + length;
  while (SteadyNow() < end && !this->stopping) {
    this->Round();
    std::this_thread::sleep_for(kRoundPause);
  }
}

void HostileCrowd::Start() {
  this->thread = std::thread([this] { this->Run(Seconds(600)); });
}

void HostileCrowd::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) this->thread.join();
}

void HostileCrowd::Round() {
  for (Connection& connection : this->connections) {
    if (connection.fd < 0) this->Open(connection);
    if (connection.fd >= 0) this->Send(connection);
    if (connection.fd >= 0) this->Receive(connection);
  }
}

void HostileCrowd::Open(Connection& connection) const {
  connection.sent = 0;
  connection.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connection.fd < 0) return;
  const auto* peer = reinterpret_cast<const sockaddr*>(&this->address);
  if (connect(connection.fd, peer, sizeof(this->address)) != 0 && errno != EINPROGRESS) {
    Close(connection, false);
  }
}

void HostileCrowd::Send(Connection& connection) {
  const HostilePlan& to_send = this->plan;
  for (size_t round_bytes = 0; round_bytes < kRoundBytes;) {
    std::string_view rest;
    if (connection.sent < to_send.first.size()) {
      rest = to_send.first;
      rest.remove_prefix(connection.sent);
    } else if (!to_send.repeat.empty()) {
      rest = to_send.repeat;
      rest.remove_prefix((connection.sent - to_send.first.size()) % to_send.repeat.size());
    }
    if (to_send.piece != 0) rest = rest.substr(0, to_send.piece);
    if (rest.empty()) return;
    const ssize_t written = send(connection.fd, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (written < 0) {
      if (errno != EAGAIN && errno != ENOTCONN) Close(connection, false);
      return;
    }
    connection.sent += static_cast<size_t>(written);
    round_bytes += static_cast<size_t>(written);
    this->sent_bytes += static_cast<size_t>(written);
    if (to_send.reset_after != 0 && connection.sent >= to_send.reset_after) {
      return Close(connection, true);
    }
    if (to_send.piece != 0) return;
  }
}

void HostileCrowd::Receive(Connection& connection) const {
  std::array<char, 65'536> bytes;
  char peeked = 0;
  if (!this->plan.read) {
    // Notices a close without reading what has arrived before it.
    const bool some = this->plan.read_bytes != 0;
    const ssize_t size =
        some ? recv(connection.fd, bytes.data(), std::min(bytes.size(), this->plan.read_bytes), 0)
             : recv(connection.fd, &peeked, 1, MSG_PEEK);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != ENOTCONN)) Close(connection, false);
    return;
  }
  while (true) {
    const ssize_t size = recv(connection.fd, bytes.data(), bytes.size(), 0);
    if (size > 0) continue;
    if (size == 0 || (errno != EAGAIN && errno != ENOTCONN)) Close(connection, false);
    return;
  }
}

void HostileCrowd::Close(Connection& connection, bool reset) {
  if (connection.fd < 0) return;
  const linger now{.l_onoff = 1, .l_linger = 0};
  if (reset) setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(connection.fd);
  connection.fd = -1;
}

}  // namespace peridotgauge
