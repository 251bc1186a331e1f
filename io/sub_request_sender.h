// Sends sub-requests to the owners of their targets, and reports the results to the policies for
// replica choice and hedging.
//
// Use:
//   uint64_t id = sender.Send(now, {target, fleet, deadline}, std::move(request),
//                             [](wire::SubReplyT reply) { ... });
//   sender.Cancel(now, id);
//
// Contract: runs on the thread of the io_context. The callback is called exactly once unless the
// sub-request was cancelled, and never from inside Send(). A reply has an error that the error
// table marks as `not_run` only if nothing reached the target.
#ifndef PERIDOTGAUGE_IO_SUB_REQUEST_SENDER_H_
#define PERIDOTGAUGE_IO_SUB_REQUEST_SENDER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "core/hedge.h"
#include "core/replica_choice.h"
#include "core/types.h"
#include "io/owner.h"
#include "io/peer_pool.h"

namespace peridotgauge {

// The destination of a sub-request.
struct SubRequestRoute {
  const TargetRecord* target = nullptr;
  std::string fleet;
  Time deadline;
};

class SubRequestSender {
 public:
  using Callback = std::function<void(wire::SubReplyT)>;

  // The references outlive the sender. `self` is the id of this router.
  SubRequestSender(std::string self, Owner& owner, PeerPool& peers, ReplicaChoice& replica_choice,
                   HedgeBudget& hedge_budget)
      : self(std::move(self)),
        owner(owner),
        peers(peers),
        replica_choice(replica_choice),
        hedge_budget(hedge_budget) {}

  uint64_t Send(Time now, const SubRequestRoute& route, wire::SubRequestT request, Callback done);
  void Cancel(Time now, uint64_t id);

 private:
  struct Pending {
    Time sent;
    std::string fleet;
    uint64_t replica_send = 0;  // id of the send in ReplicaChoice
    Callback done;
    Address peer;          // address of the owner; empty if the owner is this router
    uint64_t call_id = 0;  // id of the call to the peer, or of the job if the owner is this router
  };

  void SendToPeer(uint64_t id, const Address& peer, wire::SubRequestT request, Time deadline);
  void OnReply(uint64_t id, wire::SubReplyT reply);

  std::string self;
  Owner& owner;
  PeerPool& peers;
  ReplicaChoice& replica_choice;
  HedgeBudget& hedge_budget;
  std::unordered_map<uint64_t, Pending> pending;
  uint64_t last_id = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_SUB_REQUEST_SENDER_H_
