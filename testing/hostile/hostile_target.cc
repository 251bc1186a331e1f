#include "testing/hostile/hostile_target.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "core/address.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

}  // namespace

struct HostileTarget::Connection {
  explicit Connection(Tcp::socket socket)
      : socket(std::move(socket)), timer(this->socket.get_executor()) {}

  Tcp::socket socket;
  asio::steady_timer timer;
  std::string received;  // of a request that is not complete
  char buffer[4'096] = {};
};

HostileTarget::HostileTarget(Address address, TargetPlan plan)
    : address(std::move(address)), plan(std::move(plan)), acceptor(this->loop.io) {
  this->loop.Run([this] {
    const Endpoint endpoint = *ParseAddress(this->address);
    this->acceptor = Tcp::acceptor(
        this->loop.io, Tcp::endpoint(asio::ip::make_address(endpoint.host), endpoint.port));
    this->Accept();
  });
}

HostileTarget::~HostileTarget() {
  this->loop.Run([this] {
    error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& weak : this->connections) {
      const auto connection = weak.lock();
      if (!connection) continue;
      connection->timer.cancel();
      connection->socket.close(ignored);
    }
  });
}

void HostileTarget::Accept() {
  this->acceptor.async_accept([this](const error_code& error, Tcp::socket socket) {
    if (error) return;
    auto connection = std::make_shared<Connection>(std::move(socket));
    std::erase_if(this->connections, [](const auto& weak) { return weak.expired(); });
    this->connections.push_back(connection);
    this->Read(connection);
    this->Accept();
  });
}

void HostileTarget::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(asio::buffer(connection->buffer),
                                     [this, connection](const error_code& error, size_t bytes) {
                                       if (error) return;
                                       connection->received.append(connection->buffer, bytes);
                                       const size_t end = connection->received.find("\r\n\r\n");
                                       if (end == std::string::npos) return this->Read(connection);
                                       connection->received.erase(0, end + 4);
                                       ++this->requests;
                                       this->Send(connection, this->plan.first, 0);
                                     });
}

void HostileTarget::Send(const std::shared_ptr<Connection>& connection, const std::string& text,
                         size_t sent) {
  const auto rest = asio::buffer(text) + sent;
  const bool in_pieces = &text == &this->plan.first && this->plan.piece != 0;
  asio::async_write(connection->socket,
                    in_pieces ? asio::buffer(rest, this->plan.piece) : asio::buffer(rest),
                    [this, connection, &text, sent](const error_code& error, size_t bytes) {
                      this->sent_bytes += bytes;
                      if (error) return;
                      if (this->plan.pause == Duration(0)) {
                        return this->SendNext(connection, text, sent + bytes);
                      }
                      connection->timer.expires_after(this->plan.pause);
                      connection->timer.async_wait(
                          [this, connection, &text, end = sent + bytes](const error_code& stopped) {
                            if (!stopped) this->SendNext(connection, text, end);
                          });
                    });
}

void HostileTarget::SendNext(const std::shared_ptr<Connection>& connection, const std::string& text,
                             size_t sent) {
  if (sent < text.size()) return this->Send(connection, text, sent);
  if (this->plan.repeat.empty()) return this->Read(connection);
  this->Send(connection, this->plan.repeat, 0);
}

}  // namespace peridotgauge
