// One stand-in target: a real HTTP service on its own port, with slots, a connection limit, a cost
// of new connections, a latency model, shards and snapshots, and switches for faults.
//
// Use:
//   StandinTarget target(io, clients, options, routers, seed);
//   Result<void> started = target.Start();
//   Result<void> changed = target.Switch(R"({"slow_factor":10,"shed":false})");
//   std::string counters = target.Report();
//
// Contract: everything runs on the thread of the io_context. The target checks the headers of each
// sub-request on its own, without the product's code for them. An order counts as executed from
// the moment it takes a slot, whatever happens to its reply.
//
// Switches (JSON members of POST /standin; all optional):
//   slow_factor F          multiplies service times
//   shed true              answers every sub-request with 503 and x-not-run
//   drain true             registers as draining, still answers; false: serving again
//   gone true              registers as gone, then stops registering
//   crash_text "T"         a body that contains T ends the target: all connections are closed and
//                          it comes back after restart_ms with a new incarnation. "": off
//   restart_ms N           time between a crash and the restart
//   crash true             crashes now
//   load L                 reports this load; null: the true one
//   cold_start_ms N        starts again cold: registers as starting for half of N, then serves with
//                          service times that fall from cold_factor times the normal one
//   cold_factor F
//   snapshots [N...]       holds its shard in these snapshots
//   holds [{...}]          holds exactly this, as in a registration
//   register false         stops registering; true: registers again
//   close_without_reply N  executes the next N sub-requests, then closes without a reply
//   wrong_echo N           the next N replies carry the request id of another request
//   latency {...}          median_ms, sigma, heavy_percent, heavy_factor
#ifndef PERIDOTGAUGE_BENCH_STANDIN_TARGET_H_
#define PERIDOTGAUGE_BENCH_STANDIN_TARGET_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bench/standin_options.h"
#include "bench/standin_registrar.h"
#include "core/error.h"
#include "core/http_message.h"

namespace peridotgauge {

struct StandinCounters {
  uint64_t requests = 0;   // sub-requests that arrived
  uint64_t searches = 0;   // executed and answered
  uint64_t orders = 0;     // executed
  uint64_t shed = 0;       // refused with x-not-run
  uint64_t cancelled = 0;  // the caller closed the connection first
  uint64_t expired = 0;    // given up at the request's deadline
  uint64_t malformed = 0;  // wrong or missing headers, or something the target does not hold
  uint64_t slot_overruns = 0;
  uint64_t connection_overruns = 0;
  uint64_t connections_opened = 0;
  uint64_t crashes = 0;
  uint64_t lost_replies = 0;
  uint64_t after_drain = 0;                 // sub-requests that arrived while draining
  Duration last_after_drain = Duration(0);  // from the drain to the last of them
  uint32_t max_running = 0;
  uint32_t max_connections = 0;
};

class StandinTarget {
 public:
  // Without routers the target does not register.
  StandinTarget(boost::asio::io_context& io, RegistrationClients& clients, StandinOptions options,
                std::vector<Address> routers, uint64_t seed);
  ~StandinTarget();
  StandinTarget(const StandinTarget&) = delete;
  StandinTarget& operator=(const StandinTarget&) = delete;

  // Binds the port and registers. kUnavailable if the port is taken.
  Result<void> Start();
  // kBadRequest names the member that is wrong; then nothing has changed.
  Result<void> Switch(std::string_view json);
  // The counters, switches and orders as a JSON object.
  std::string Report() const;

  const std::string& Name() const;
  const Address& BoundAddress() const;
  const StandinCounters& Counters() const;
  // How often each order was executed, by request id.
  const std::map<std::string, uint32_t>& Orders() const;

 private:
  class Impl;
  class Connection;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_TARGET_H_
