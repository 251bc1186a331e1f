// Main function of the daemon: reads the settings, starts the roles, and shuts down on SIGTERM or
// SIGINT. Reloads the settings when the file changes or on SIGHUP.
//
// Exit status: 0 after a graceful shutdown, 1 if the daemon could not start or failed, 2 if the
// settings are invalid.
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "core/replica_choice.h"
#include "core/settings.h"
#include "io/daemon.h"
#include "io/file_watch.h"
#include "platform/platform.h"

DEFINE_string(settings, "", "JSON file with the settings of this process");
DEFINE_bool(check_settings, false, "check the settings, print the result and exit");

namespace peridotgauge {
namespace {

Result<Settings> ReadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorCode::kInvalidSettings, path + ": the file cannot be read (see --settings)");
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  Result<Settings> settings = Settings::Parse(text, path);
  if (!settings) return settings;
  if (auto choice = ReplicaChoice::Make(settings->replica_choice, {}); !choice) {
    return Fail(ErrorCode::kInvalidSettings, path + ": replica_choice: " + choice.error().detail);
  }
  if (!settings->controller) return settings;
  if (Result<void> usable = CheckDataFolder(settings->data_folder); !usable) {
    return Fail(ErrorCode::kInvalidSettings, path + ": data_folder: " + usable.error().detail);
  }
  return settings;
}

// How often the settings file is checked for changes. New seeds must take effect within 3 seconds.
constexpr std::chrono::seconds kSettingsPollInterval{1};

// Reads the settings file again. An invalid file is logged and ignored.
void Reload(Daemon& daemon) {
  const Result<Settings> settings = ReadSettings(FLAGS_settings);
  if (!settings) {
    LOG(ERROR) << "daemon: the changed settings are ignored: " << settings.error().ToString();
    return;
  }
  daemon.Reload(*settings);
}

// Runs until the daemon has shut down. Returns the exit status.
int Run(const Settings& settings) {
  boost::asio::io_context io(1);
  const platform::Platform platform;
  const bool routes = settings.interface == Interface::kRoutes;
  Result<std::unique_ptr<Daemon>> daemon =
      Daemon::Start(io, settings, routes ? &platform : nullptr);
  if (!daemon) {
    LOG(ERROR) << "daemon: cannot start: " << daemon.error().ToString();
    return 1;
  }
  // Polls the settings file, which may change without a SIGHUP.
  FileWatch watch(FLAGS_settings);
  boost::asio::steady_timer poll_timer(io);
  std::function<void()> schedule_poll = [&] {
    poll_timer.expires_after(kSettingsPollInterval);
    poll_timer.async_wait([&](boost::system::error_code error) {
      if (error) return;
      if (watch.Changed()) Reload(**daemon);
      schedule_poll();
    });
  };
  schedule_poll();
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  std::function<void(boost::system::error_code, int)> on_signal =
      [&](boost::system::error_code error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          watch.Changed();  // Marks the change as seen, so that the poll does not reload again.
          Reload(**daemon);
        } else {
          (*daemon)->Shutdown();
        }
        signals.async_wait(on_signal);
      };
  signals.async_wait(on_signal);
  io.run();
  return 0;
}

}  // namespace
}  // namespace peridotgauge

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "--settings=FILE [--check_settings]\n"
      "The peridotgauge daemon. Exit status: 0 graceful shutdown, 1 failed, 2 invalid settings.");
  FLAGS_logtostderr = true;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  google::InstallFailureSignalHandler();
  auto settings = peridotgauge::ReadSettings(FLAGS_settings);
  if (!settings) {
    std::cerr << settings.error().ToString() << "\n";
    return 2;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": settings are valid\n";
    return 0;
  }
  return peridotgauge::Run(*settings);
}
