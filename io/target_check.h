// Checks whether a target accepts connections.
//
// Use:
//   CheckAccepts(io, record.address, [](bool accepts) { ... });
//
// Contract: opens one connection and closes it at once, without sending anything. The callback is
// called exactly once, never from inside the call, with false if the connection was refused or not
// established within kTargetCheckTimeout.
#ifndef PERIDOTGAUGE_IO_TARGET_CHECK_H_
#define PERIDOTGAUGE_IO_TARGET_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "core/address.h"
#include "core/types.h"

namespace peridotgauge {

constexpr Duration kTargetCheckTimeout = Millis(500);

void CheckAccepts(boost::asio::io_context& io, const Address& address,
                  std::function<void(bool accepts)> done);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_TARGET_CHECK_H_
