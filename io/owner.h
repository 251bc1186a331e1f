// Executes sub-requests on the targets that this router owns.
//
// Use:
//   Owner owner({io, settings, control, peers, tracer, metrics}, identity);
//   uint64_t job = owner.Run(now, std::move(request), deadline, [](wire::SubReplyT reply) { ... });
//   owner.Cancel(now, job);
//   owner.OnControlChange(now, change);
//
// Contract: runs on the thread of the io_context. The callback is called exactly once unless the
// job was cancelled, and never from inside Run(). A sub-request is sent only while this router
// owns the target, no earlier owner can still dispatch to it, and the configuration lease is valid.
// Otherwise the reply is kNoTarget, which proves that nothing was sent. The same applies to targets
// in data centres that are evacuated as far as this router knows. The requests in flight at a
// target never exceed its slots, and the connections never exceed its connection limit.
#ifndef PERIDOTGAUGE_IO_OWNER_H_
#define PERIDOTGAUGE_IO_OWNER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/byte_budget.h"
#include "core/metrics.h"
#include "core/ownership.h"
#include "core/settings.h"
#include "core/types.h"
#include "io/control_client.h"
#include "io/peer_pool.h"
#include "io/tracer.h"
#include "peer_generated.h"

namespace peridotgauge {

// Objects that an owner uses. All of them outlive the owner.
struct OwnerContext {
  boost::asio::io_context& io;
  const Settings& settings;
  ControlClient& control;
  PeerPool& peers;
  Tracer& tracer;
  Metrics& metrics;
  std::shared_ptr<ByteBudget> response_bytes;  // see HttpClient
};

class Owner {
 public:
  using Callback = std::function<void(wire::SubReplyT)>;

  Owner(OwnerContext context, RouterIdentity self);
  ~Owner();
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  // Starts a job that executes the sub-request, and returns the job's id for Cancel().
  uint64_t Run(Time now, wire::SubRequestT request, Time deadline, Callback done);
  // Cancels a job. If it was sent, its connection to the target is closed.
  void Cancel(Time now, uint64_t job);

  // Applies changes of the router list, the directory, the configuration and the lease.
  void OnControlChange(Time now, const ControlChange& change);
  // Handles the message of an earlier owner that it has stopped dispatching to its targets.
  void OnRelease(Time now, const wire::ReleaseT& release);

  // Returns the router that owns the target now, or nullptr.
  const RouterRecord* OwnerOf(std::string_view target) const;
  // Returns true if there are no jobs.
  bool Idle() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_OWNER_H_
