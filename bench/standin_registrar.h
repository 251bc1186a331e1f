// Keeps stand-in targets registered with the system.
//
// Use:
//   RegistrationClients clients(io);
//   StandinRegistrar registrar(io, clients, routers, seed, [&] { return registration; });
//   registrar.Announce();                      // at once, after a change of state
//
// Contract: registers about every kRegisterInterval with one router. After a failure the next
// router is tried: first those of the last reply, then those of the start.
#ifndef PERIDOTGAUGE_BENCH_STANDIN_REGISTRAR_H_
#define PERIDOTGAUGE_BENCH_STANDIN_REGISTRAR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/caller_api.h"
#include "io/http_client.h"

namespace peridotgauge {

constexpr Duration kRegisterInterval = Seconds(1);

// One pool per router, shared by all targets of the process.
class RegistrationClients {
 public:
  explicit RegistrationClients(boost::asio::io_context& io) : io(io) {}
  HttpClient& For(const Address& router);

 private:
  boost::asio::io_context& io;
  std::map<Address, std::unique_ptr<HttpClient>> clients;
};

class StandinRegistrar {
 public:
  // `describe` gives the registration to send, with the next sequence number.
  StandinRegistrar(boost::asio::io_context& io, RegistrationClients& clients,
                   std::vector<Address> routers, uint64_t seed,
                   std::function<RegistrationRequest()> describe);
  ~StandinRegistrar();
  StandinRegistrar(const StandinRegistrar&) = delete;
  StandinRegistrar& operator=(const StandinRegistrar&) = delete;

  // Registers now, and regularly from then on.
  void Announce();
  // Stops registering until the next Announce().
  void Pause();

  uint64_t Accepted() const;
  uint64_t Failed() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_REGISTRAR_H_
