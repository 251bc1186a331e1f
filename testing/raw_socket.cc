#include "raw_socket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <utility>

namespace peridotgauge {
namespace {

using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;
constexpr auto kRunUntilTimeout = std::chrono::seconds(20);
constexpr size_t kReadBytes = 65'536;

}  // namespace

bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kRunUntilTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(1));
  }
  return true;
}

RawSocket::RawSocket() : owned(std::make_unique<Owned>()) {}

RawSocket RawSocket::Connect(uint16_t port) {
  RawSocket raw;
  raw.owned->socket.connect({boost::asio::ip::address_v4::loopback(), port});
  raw.owned->socket.non_blocking(true);
  return raw;
}

std::string_view RawSocket::Send(std::string_view text) {
  error_code error;
  while (!text.empty() && !error) {
    text.remove_prefix(this->owned->socket.write_some(boost::asio::buffer(text), error));
  }
  if (error && error != boost::asio::error::would_block) this->closed = true;
  return text;
}

void RawSocket::Poll() {
  std::array<char, kReadBytes> bytes;
  error_code error;
  while (!error && !this->closed) {
    this->text.append(bytes.data(),
                      this->owned->socket.read_some(boost::asio::buffer(bytes), error));
  }
  if (error && error != boost::asio::error::would_block) this->closed = true;
}

bool RawSocket::Received(std::string_view text) {
  this->Poll();
  return this->text.find(text) != std::string::npos;
}

bool RawSocket::Closed() {
  this->Poll();
  return this->closed;
}

void RawSocket::Close() {
  error_code ignored;
  this->owned->socket.close(ignored);
  this->closed = true;
}

void RawSocket::ShutdownSend() {
  error_code ignored;
  this->owned->socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void RawSocket::Reset() {
  error_code ignored;
  this->owned->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

RawListener::RawListener()
    : acceptor(this->io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  this->acceptor.non_blocking(true);
}

uint16_t RawListener::Port() const { return this->acceptor.local_endpoint().port(); }

std::string RawListener::AddressText() const { return "127.0.0.1:" + std::to_string(this->Port()); }

bool RawListener::Accept() {
  bool accepted_any = false;
  error_code error;
  while (true) {
    RawSocket accepted;
    this->acceptor.accept(accepted.owned->socket, error);
    if (error) return accepted_any;
    accepted.owned->socket.non_blocking(true);
    this->sockets.push_back(std::move(accepted));
    accepted_any = true;
  }
}

}  // namespace peridotgauge
