// Periodic registration of a stand-in target with a router.
//
// Use:
//   RegistrationClients clients(io);
//   StandinRegistrar registrar(io, clients, routers, seed, [&] { return registration; });
//   registrar.RegisterNow();  // after a change of state
//
// Contract: registers about every kRegisterInterval with one router. After a failure the next
// router is tried: first the routers listed in the last response, then those passed to the
// constructor.
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

// HTTP clients, one per router, shared by all targets of the process.
class RegistrationClients {
 public:
  explicit RegistrationClients(boost::asio::io_context& io) : io(io) {}
  // Returns the client of the router, which is created on first use.
  HttpClient& ClientFor(const Address& router);

 private:
  boost::asio::io_context& io;
  std::map<Address, std::unique_ptr<HttpClient>> clients;
};

class StandinRegistrar {
 public:
  // `make_registration` returns the registration to send, with the next sequence number.
  StandinRegistrar(boost::asio::io_context& io, RegistrationClients& clients,
                   std::vector<Address> routers, uint64_t seed,
                   std::function<RegistrationRequest()> make_registration);
  ~StandinRegistrar();
  StandinRegistrar(const StandinRegistrar&) = delete;
  StandinRegistrar& operator=(const StandinRegistrar&) = delete;

  // Registers immediately, then periodically.
  void RegisterNow();
  // Stops registering until the next call of RegisterNow().
  void StopRegistering();

  uint64_t AcceptedCount() const;
  uint64_t FailedCount() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_REGISTRAR_H_
