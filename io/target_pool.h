// HTTP connection pools of one router, one for each target, limited to the router's share of the
// target's connection limit.
//
// Use:
//   pool.SetConnectionLimit("verstas-1", 4);  // connections to each target of the service
//   HttpClient& client = pool.ClientFor(record);
//   pool.RemoveIdleExcept(targets);           // removes the idle clients of all other targets
//
// Contract: runs on the thread of the io_context. Each incarnation and address of a target has a
// pool of its own, because requests that were planned before a target started again are still sent
// or answered after it. The pool of an earlier incarnation is kept until its calls have ended;
// those that wait in it fail, so that they are placed anew. It gets no further calls if a later
// incarnation has the same address. Connections are opened when a request needs one and kept until
// the target closes them. None is opened in advance: with many routers such connections would
// exhaust the limits of the targets, and a target counts the connections of a router that lost
// power until its own timeout.
#ifndef PERIDOTGAUGE_IO_TARGET_POOL_H_
#define PERIDOTGAUGE_IO_TARGET_POOL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/records.h"
#include "io/http_client.h"

namespace peridotgauge {

// Connections of this router to one target.
struct TargetConnections {
  size_t used = 0;
  size_t allowed = 0;
  size_t waiting = 0;  // requests that wait for one
  bool operator==(const TargetConnections&) const = default;
};

class TargetPool {
 public:
  // Called when a response of a target was discarded because it belongs to another request. `echo`
  // is the header expected from the running request, `value` the value received instead.
  using TargetStrayCallback = std::function<void(const std::string& target, const HttpHeader& echo,
                                                 std::string_view value)>;

  // `budget`: see HttpClient.
  TargetPool(boost::asio::io_context& io, TargetStrayCallback on_stray,
             std::shared_ptr<ByteBudget> budget = nullptr)
      : io(io), on_stray(std::move(on_stray)), budget(std::move(budget)) {}

  // Sets the limit on connections to each target of the service.
  void SetConnectionLimit(const std::string& service, size_t connections);
  // Returns the client of this incarnation of the target, which is created if necessary. It is
  // valid until the next call of a function that is not const.
  HttpClient& ClientFor(const TargetRecord& record);
  // Cancels a call that ClientFor(record).Send() has started.
  void Cancel(const TargetRecord& record, uint64_t call);
  // Returns true if a request to the target would not wait for other requests to end.
  bool HasFreeConnection(const TargetRecord& record) const;
  TargetConnections ConnectionsTo(const TargetRecord& record) const;
  // Fails the requests that wait for a connection to this or an earlier incarnation of the target,
  // so that they are placed anew. The address of an earlier one may be that of this one.
  void FailWaiting(const TargetRecord& record, const std::string& reason);
  // Fails the requests that wait for a connection to a target in one of the data centres, including
  // those to earlier incarnations of targets.
  void FailWaitingIn(const std::vector<std::string>& data_centres, const std::string& reason);
  // Destroys the clients of targets that are not in `targets` and have no running calls.
  void RemoveIdleExcept(const std::map<std::string, TargetRecord>& targets);

 private:
  struct Entry {
    uint64_t incarnation = 0;
    Address address;
    std::string service;
    std::string data_centre;
    std::unique_ptr<HttpClient> client;
  };
  HttpClientOptions OptionsOf(const std::string& service) const;
  // Returns the client of this incarnation of the target or, if it has none, that of a later one at
  // the same address, where a request would arrive at the same process. Returns null if there is
  // neither.
  const Entry* Find(const TargetRecord& record) const;
  // Destroys the clients of earlier incarnations that have no running calls, and fails the calls
  // that wait in the others.
  static void Retire(std::vector<Entry>& entries, const TargetRecord& newest);

  boost::asio::io_context& io;
  TargetStrayCallback on_stray;
  std::shared_ptr<ByteBudget> budget;               // may be null
  std::map<std::string, size_t> connection_limits;  // by service
  // By target, in the order in which they were created; usually one.
  std::map<std::string, std::vector<Entry>> entries;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TARGET_POOL_H_
