// Reads requests with Beast and writes the answers as they are.
#include "testing/raw_target.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "core/address.h"
#include "io/http_beast.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

}  // namespace

struct RawTarget::Connection {
  explicit Connection(Tcp::socket socket) : socket(std::move(socket)) {}

  Tcp::socket socket;
  boost::beast::flat_buffer buffer;  // received and not parsed yet
  BeastRequest request;
  std::string answer;
};

RawTarget::RawTarget(Address address, Answer answer)
    : address(std::move(address)), answer(std::move(answer)), acceptor(this->loop.io) {
  this->loop.Run([this] {
    const Endpoint endpoint = *ParseAddress(this->address);
    this->acceptor = Tcp::acceptor(
        this->loop.io, Tcp::endpoint(asio::ip::make_address(endpoint.host), endpoint.port));
    this->Accept();
  });
}

RawTarget::~RawTarget() {
  this->loop.Run([this] {
    error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) connection->socket.close(ignored);
    }
  });
}

void RawTarget::Accept() {
  this->acceptor.async_accept([this](const error_code& error, Tcp::socket socket) {
    if (error) return;
    auto connection = std::make_shared<Connection>(std::move(socket));
    std::erase_if(this->connections, [](const auto& weak) { return weak.expired(); });
    this->connections.push_back(connection);
    this->Read(connection);
    this->Accept();
  });
}

void RawTarget::Read(const std::shared_ptr<Connection>& connection) {
  connection->request = {};
  boost::beast::http::async_read(
      connection->socket, connection->buffer, connection->request,
      [this, connection](const error_code& error, size_t) {
        if (error) return;
        ++this->requests;
        connection->answer = this->answer(ToRequest(std::move(connection->request)));
        asio::async_write(connection->socket, asio::buffer(connection->answer),
                          [this, connection](const error_code& failed, size_t) {
                            if (!failed) this->Read(connection);
                          });
      });
}

}  // namespace peridotgauge
