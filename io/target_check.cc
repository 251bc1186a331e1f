#include "io/target_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace peridotgauge {
namespace {

using Tcp = boost::asio::ip::tcp;

struct TargetCheck {
  TargetCheck(boost::asio::io_context& io, std::function<void(bool)> done)
      : socket(io), timer(io), done(std::move(done)) {}

  void Finish(bool accepts) {
    const auto callback = std::exchange(this->done, nullptr);
    this->timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
    if (callback) callback(accepts);
  }

  Tcp::socket socket;
  boost::asio::steady_timer timer;
  std::function<void(bool)> done;  // empty once called
};

}  // namespace

void CheckAccepts(boost::asio::io_context& io, const Address& address,
                  std::function<void(bool accepts)> done) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    boost::asio::post(io, [done = std::move(done)] { done(false); });
    return;
  }
  auto check = std::make_shared<TargetCheck>(io, std::move(done));
  check->timer.expires_after(kTargetCheckTimeout);
  check->timer.async_wait([check](boost::system::error_code error) {
    if (!error) check->Finish(false);
  });
  const Tcp::endpoint remote(boost::asio::ip::make_address(endpoint->host), endpoint->port);
  check->socket.async_connect(remote,
                              [check](boost::system::error_code error) { check->Finish(!error); });
}

}  // namespace peridotgauge
