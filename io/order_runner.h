// Runs one order: connects its state machine with the ledger, the target and a timer.
//
// Use:
//   StartOrder(context, router, std::move(request), trace, now, [](OrderReply reply) { ... });
//
// Contract: runs on the thread of the io_context. The callback is called exactly once. A run keeps
// itself alive until its outcome is recorded, also after the answer and after the caller has
// disconnected: an order that was claimed is always finished.
#ifndef PERIDOTGAUGE_IO_ORDER_RUNNER_H_
#define PERIDOTGAUGE_IO_ORDER_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>

#include "core/caller_api.h"
#include "core/order.h"
#include "io/request_context.h"

namespace peridotgauge {

// The identity under which a router claims, and its counters of claims and running orders.
struct OrderIdentity {
  std::string router;
  uint64_t incarnation = 0;
  uint64_t last_claim = 0;
  uint64_t lease_generation = 0;  // grows whenever a lease begins after a lapse
  uint32_t running = 0;           // orders whose outcome is not yet recorded
};

// The answer to the caller.
struct OrderReply {
  Result<OrderResponse> answer;
  bool not_run = false;  // with an error only
};

// `identity` outlives the order.
void StartOrder(RequestContext& context, OrderIdentity& identity, OrderRequest request,
                const std::optional<SpanContext>& parent, Time now,
                std::function<void(OrderReply)> callback);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_ORDER_RUNNER_H_
