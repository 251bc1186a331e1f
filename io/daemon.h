// A daemon process: its listeners, its router and controller roles, and its graceful shutdown.
//
// Use:
//   auto daemon = Daemon::Start(io, settings);
//   if (!daemon) Report(daemon.error());       // an address is taken, or the data folder is bad
//   io.run();                                  // returns after Shutdown() has finished
//
// Contract: runs on the thread of the io_context. The settings must have been validated.
#ifndef PERIDOTGAUGE_IO_DAEMON_H_
#define PERIDOTGAUGE_IO_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/error.h"
#include "core/settings.h"
#include "io/external_interface.h"

namespace peridotgauge {

class Daemon {
 public:
  // `external` is required with Interface::kRoutes and must outlive the daemon; otherwise it is
  // nullptr. Returns kStorageFailed if the disk refuses to store; the caller may try again.
  static Result<std::unique_ptr<Daemon>> Start(boost::asio::io_context& io, Settings settings,
                                               const ExternalInterface* external = nullptr);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Applies those changed settings that can be changed while running.
  void Reload(const Settings& settings);
  // Drains the router, transfers leadership, closes the listeners and stops the io_context. Further
  // calls change nothing: a second stop signal must not cut off requests that were accepted.
  void Shutdown();
  // Stops the io_context immediately. Running requests get no answer.
  void Abort();

 private:
  class Impl;
  explicit Daemon(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_DAEMON_H_
