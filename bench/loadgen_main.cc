// Sends searches and orders to a deployment at a fixed rate and prints the measurements.
//
//   loadgen --addresses=127.0.0.1:7001 --services=spoons --rate=200 --seconds=10 --json=out.json
//
// Exit status: 0 if the run finished, 2 for invalid flags, 5 if the run did not finish in time, for
// example because no router was ready.
#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <string>

#include "bench/loadgen.h"

DEFINE_string(addresses, "", "comma-separated addresses to get the router list from");
DEFINE_string(services, "", "comma-separated services to search");
DEFINE_double(rate, 100, "searches per second");
DEFINE_string(order_services, "", "comma-separated services to send orders to");
DEFINE_double(order_rate, 0, "orders per second");
DEFINE_double(seconds, 10, "measured time");
DEFINE_double(warm_up_seconds, 1, "warm-up time, not measured");
DEFINE_uint32(deadline_ms, 0, "deadline of each request; 0 uses the deadline of the service");
DEFINE_uint32(timeout_ms, 2000, "timeout of one attempt");
DEFINE_uint32(attempts, 3, "maximum attempts of a request that may be sent again");
DEFINE_uint32(connections, 256, "connections per router");
DEFINE_uint64(distinct_queries, 100, "number of distinct queries");
DEFINE_uint64(seed, 1,
              "random seed of arrivals, queries and router choice; part of the request ids");
DEFINE_string(json, "", "output file for the results as JSON");

namespace peridotgauge {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitUnavailable = 5;
// Added to the time limit of the run, so that routers can become ready.
constexpr Duration kStartupAllowance = Seconds(15);

std::vector<std::string> SplitList(std::string_view list) {
  std::vector<std::string> items;
  while (!list.empty()) {
    const std::string_view item = list.substr(0, list.find(','));
    if (!item.empty()) items.emplace_back(item);
    list.remove_prefix(std::min(list.size(), item.size() + 1));
  }
  return items;
}

Duration DurationFromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

int RunLoad() {
  LoadOptions options;
  options.addresses = SplitList(FLAGS_addresses);
  options.search_services = SplitList(FLAGS_services);
  options.search_rate = options.search_services.empty() ? 0 : FLAGS_rate;
  options.order_services = SplitList(FLAGS_order_services);
  options.order_rate = options.order_services.empty() ? 0 : FLAGS_order_rate;
  options.warm_up = DurationFromSeconds(FLAGS_warm_up_seconds);
  options.duration = DurationFromSeconds(FLAGS_seconds);
  options.deadline = Millis(FLAGS_deadline_ms);
  options.timeout = Millis(FLAGS_timeout_ms);
  options.max_attempts = FLAGS_attempts;
  options.connections = FLAGS_connections;
  options.distinct_queries = FLAGS_distinct_queries;
  options.seed = FLAGS_seed;
  if (options.addresses.empty() || (options.search_rate <= 0 && options.order_rate <= 0)) {
    std::cerr
        << "--addresses is required, and --services or --order_services with a positive rate\n";
    return kExitUsage;
  }
  const Duration time_limit = kStartupAllowance + options.warm_up + options.duration +
                              options.max_attempts * (options.timeout + Seconds(1));
  boost::asio::io_context io;
  LoadGenerator load(io, std::move(options));
  bool finished = false;
  load.Start([&] {
    finished = true;
    io.stop();
  });
  io.run_for(time_limit);
  if (!finished) {
    std::cerr << "the run did not finish in time; check that a router is ready\n";
    return kExitUnavailable;
  }
  std::cout << load.Report().Table();
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << load.Report().Json() << "\n";
  return 0;
}

}  // namespace
}  // namespace peridotgauge

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--addresses=A,B --services=S,T --rate=N --seconds=N");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return peridotgauge::RunLoad();
}
