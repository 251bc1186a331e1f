// Simulated target for tests and benchmarks: an HTTP server on its own port with slots, a
// connection limit, a connection setup cost, a latency model, shards and snapshots, and switches
// that inject faults.
//
// Use:
//   StandinTarget target(io, clients, options, routers, seed);
//   Result<void> started = target.Start();
//   Result<void> changed = target.ApplySwitches(R"({"slow_factor":10,"shed":false})");
//   std::string counters = target.Report();
//
// Contract: everything runs on the thread of the io_context. The target checks the headers of each
// sub-request with its own parser, not with that of the router. An order counts as executed once it
// occupies a slot, even if its reply is lost.
//
// Switches (JSON members of POST /standin; all optional):
//   slow_factor F          multiplies service times
//   shed true              answers every sub-request with 503 and x-not-run
//   drain true             registers as draining but still answers; false: as serving again
//   gone true              registers as gone, then stops registering
//   crash_text "T"         a sub-request whose body contains T crashes the target: it closes all
//                          connections and restarts after restart_ms with a new incarnation;
//                          "" disables
//   restart_ms N           time between a crash and the restart
//   crash true             crashes now
//   load L                 reports this load; null: reports the actual load
//   cold_start_ms N        simulates a cold start of N ms: registers as starting for the first
//                          half; the factor on service times falls linearly from cold_factor to 1
//   cold_factor F          factor on service times at the beginning of a cold start
//   snapshots [N...]       holds its shard in these snapshots
//   holds [{...}]          replaces the holdings; same format as in a registration
//   register false         stops registering; true: registers again
//   close_without_reply N  executes each of the next N sub-requests, then closes its connection
//                          without a reply
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
  uint64_t requests = 0;   // sub-requests received
  uint64_t searches = 0;   // executed and answered
  uint64_t orders = 0;     // executed
  uint64_t shed = 0;       // refused with x-not-run
  uint64_t cancelled = 0;  // the connection was closed before the reply
  uint64_t expired = 0;    // not finished at the deadline of the request
  uint64_t malformed = 0;  // invalid or missing headers, or a service, shard or snapshot not held
  uint64_t slot_overruns = 0;        // sub-requests received while all slots were in use
  uint64_t connection_overruns = 0;  // connections accepted above the limit
  uint64_t connections_opened = 0;
  uint64_t crashes = 0;
  uint64_t lost_replies = 0;                // replies suppressed by close_without_reply
  uint64_t after_drain = 0;                 // sub-requests received while draining
  Duration last_after_drain = Duration(0);  // time from the start of the drain to the last of them
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
  // Applies the members of the JSON object. On kBadRequest, which names the invalid member, no
  // switch has changed.
  Result<void> ApplySwitches(std::string_view json);
  // Returns the identity, state, counters and order executions as a JSON object.
  std::string Report() const;

  const std::string& Name() const;
  const Address& BoundAddress() const;
  const StandinCounters& Counters() const;
  // Returns the number of executions of each order by request id.
  const std::map<std::string, uint32_t>& Orders() const;

 private:
  class Impl;
  class Connection;
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_TARGET_H_
