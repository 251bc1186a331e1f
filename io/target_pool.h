// HTTP connections of one router to targets, within its share of each target's connection limit.
//
// Use:
//   pool.SetConnectionLimit("verstas-1", 4);                 // connections to each target of a
//   service HttpClient& client = pool.ClientFor(record); pool.RemoveIdleExcept(targets); // drops
//   the idle clients of all others
//
// Contract: runs on the thread of the io_context. Another incarnation or address of a target gets
// new connections. Connections are opened by the first request that needs one and kept until the
// target closes them. None is opened in advance: with many routers these would fill the limits of
// the targets, and a target counts the connections of a router that lost power until its own
// timeout.
#ifndef PERIDOTGAUGE_IO_TARGET_POOL_H_
#define PERIDOTGAUGE_IO_TARGET_POOL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/records.h"
#include "io/http_client.h"

namespace peridotgauge {

class TargetPool {
 public:
  // Called when a target's response to another request was discarded: the target's id, the header
  // of the running request, and the value that came.
  using TargetStrayCallback = std::function<void(const std::string& target, const HttpHeader& echo,
                                                 std::string_view value)>;

  TargetPool(boost::asio::io_context& io, TargetStrayCallback on_stray)
      : io(io), on_stray(std::move(on_stray)) {}

  // Sets the limit on connections to each target of the service.
  void SetConnectionLimit(const std::string& service, size_t connections);
  HttpClient& ClientFor(const TargetRecord& record);
  // Withdraws a call that ClientFor(record).Send() has started.
  void Cancel(const TargetRecord& record, uint64_t call);
  // Drops the clients of targets that are not listed, once nothing runs there.
  void RemoveIdleExcept(const std::map<std::string, TargetRecord>& targets);

 private:
  struct Entry {
    uint64_t incarnation = 0;
    Address address;
    std::string service;
    std::unique_ptr<HttpClient> client;
  };
  HttpClientOptions OptionsOf(const std::string& service) const;

  boost::asio::io_context& io;
  TargetStrayCallback on_stray;
  std::map<std::string, size_t> shares;  // by service
  std::map<std::string, Entry> entries;  // by target
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TARGET_POOL_H_
