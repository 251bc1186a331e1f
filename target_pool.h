// HTTP connections of one router to targets, within its share of each target's connection limit.
//
// Use:
//   pool.SetShare("verstas-1", 4);                 // connections to each target of a service
//   HttpClient& client = pool.ClientOf(record);
//   pool.Keep(targets);                            // closes connections to all others
//
// Contract: runs on the thread of the io_context. Another incarnation or address of a target gets
// new connections.
#ifndef PERIDOTGAUGE_TARGET_POOL_H_
#define PERIDOTGAUGE_TARGET_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "http_client.h"
#include "records.h"

namespace peridotgauge {

// Connections that are kept open to each target while idle.
constexpr size_t kWarmConnections = 1;

class TargetPool {
 public:
  explicit TargetPool(boost::asio::io_context& io) : io(io) {}

  // Sets the limit on connections to each target of the service.
  void SetShare(const std::string& service, size_t connections);
  HttpClient& ClientOf(const TargetRecord& record);
  // Withdraws a call that ClientOf(record).Send() has started.
  void Cancel(const TargetRecord& record, uint64_t call);
  // Opens warm connections to the targets that serve, and drops those to targets that are not
  // listed or do not serve. Exchanges on dropped connections fail.
  void Keep(const std::map<std::string, TargetRecord>& targets);

 private:
  struct Entry {
    uint64_t incarnation = 0;
    Address address;
    std::string service;
    std::unique_ptr<HttpClient> client;
  };
  HttpClientOptions OptionsOf(const std::string& service, bool warm) const;

  boost::asio::io_context& io;
  std::map<std::string, size_t> shares;  // by service
  std::map<std::string, Entry> entries;  // by target
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TARGET_POOL_H_
