// Runs one order: carries out the effects of its state machine with the ledger, the target and a
// timer.
//
// Use:
//   StartOrder(context, order_context, std::move(request), trace, now,
//              [](OrderReply reply) { ... });
//
// Contract: runs on the thread of the io_context. The callback is called exactly once. A run keeps
// itself alive until its outcome is recorded, even after the answer was sent or the caller has
// disconnected: an order that was claimed is always completed.
#ifndef PERIDOTGAUGE_IO_ORDER_RUNNER_H_
#define PERIDOTGAUGE_IO_ORDER_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>

#include "core/caller_api.h"
#include "core/order.h"
#include "io/request_context.h"

namespace peridotgauge {

// State that the orders of one router share: the identity under which it claims, and counters.
struct OrderContext {
  std::string router;
  uint64_t incarnation = 0;
  uint64_t last_claim_id = 0;
  uint64_t lease_generation = 0;  // incremented whenever the lease becomes valid again
  uint32_t running = 0;           // orders whose outcome is not yet recorded
};

// The answer to the caller.
struct OrderReply {
  Result<OrderResponse> answer;
  bool not_run = false;  // the order was not executed; set only with an error
};

// Starts an order. `order_context` outlives it.
void StartOrder(RequestContext& context, OrderContext& order_context, OrderRequest request,
                const std::optional<SpanContext>& parent, Time now,
                std::function<void(OrderReply)> callback);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_ORDER_RUNNER_H_
