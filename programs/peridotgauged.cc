// Main function of the daemon: reads the settings, starts the roles, and shuts down on SIGTERM or
// SIGINT; a second SIGINT ends it at once. Reloads the settings when the file changes or on SIGHUP.
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
#include <memory>
#include <utility>

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
  return settings;
}

// Reads the settings and checks that the data folder can be used. A running daemon reads changed
// settings without this check: new seeds must take effect also while its disk is full.
Result<Settings> ReadSettingsAtStart(const std::string& path) {
  Result<Settings> settings = ReadSettings(path);
  if (!settings || !settings->controller) return settings;
  if (Result<void> usable = CheckDataFolder(settings->data_folder); !usable) {
    return Fail(ErrorCode::kInvalidSettings, path + ": data_folder: " + usable.error().detail);
  }
  return settings;
}

// How often the settings file is checked for changes. New seeds must take effect within 3 seconds.
constexpr std::chrono::seconds kSettingsPollInterval{1};
// How often the start is tried again while the disk refuses to store.
constexpr std::chrono::milliseconds kStartRetryInterval{200};

// The process: starts the daemon, reloads its settings and stops it.
class Process {
 public:
  explicit Process(Settings settings)
      : settings(std::move(settings)),
        watch(FLAGS_settings),
        start_timer(this->io),
        poll_timer(this->io),
        signals(this->io, SIGTERM, SIGINT, SIGHUP) {}

  // Runs until the daemon has shut down. Returns the exit status.
  int Run() {
    this->Start();
    this->AwaitSignal();
    this->SchedulePoll();
    this->io.run();
    return this->exit_status;
  }

 private:
  // While the disk refuses to store, a controller waits and does not listen, so that callers use
  // another one.
  void Start() {
    const bool routes = this->settings.interface == Interface::kRoutes;
    Result<std::unique_ptr<Daemon>> started =
        Daemon::Start(this->io, this->settings, routes ? &this->platform : nullptr);
    if (started) {
      this->daemon = std::move(*started);
      LOG_IF(WARNING, this->waiting) << "daemon: the disk takes writes again; started";
      return;
    }
    if (started.error().code != ErrorCode::kStorageFailed) {
      LOG(ERROR) << "daemon: cannot start: " << started.error().ToString();
      this->exit_status = 1;
      return this->io.stop();
    }
    LOG_IF(ERROR, !this->waiting) << "daemon: waits for its disk before it starts: "
                                  << started.error().ToString();
    this->waiting = true;
    this->start_timer.expires_after(kStartRetryInterval);
    this->start_timer.async_wait([this](boost::system::error_code error) {
      if (!error) this->Start();
    });
  }

  // Reads the settings file again. An invalid file is logged and ignored.
  void Reload() {
    const Result<Settings> changed = ReadSettings(FLAGS_settings);
    if (!changed) {
      LOG(ERROR) << "daemon: the changed settings are ignored: " << changed.error().ToString();
    } else if (this->daemon) {
      this->daemon->Reload(*changed);
    } else {
      this->settings = *changed;
    }
  }

  // Polls the settings file, which may change without a SIGHUP.
  void SchedulePoll() {
    this->poll_timer.expires_after(kSettingsPollInterval);
    this->poll_timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      if (this->watch.Changed()) this->Reload();
      this->SchedulePoll();
    });
  }

  void AwaitSignal() {
    this->signals.async_wait([this](boost::system::error_code error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        this->watch.Changed();  // Marks the change as seen, so that the poll does not reload again.
        this->Reload();
      } else if (!this->daemon) {
        this->io.stop();
      } else if (signal == SIGINT && std::exchange(this->interrupted, true)) {
        this->daemon->Abort();
      } else {
        this->daemon->Shutdown();
      }
      this->AwaitSignal();
    });
  }

  boost::asio::io_context io{1};
  Settings settings;
  const platform::Platform platform;
  FileWatch watch;
  boost::asio::steady_timer start_timer;
  boost::asio::steady_timer poll_timer;
  boost::asio::signal_set signals;
  std::unique_ptr<Daemon> daemon;
  bool waiting = false;      // the disk has refused to store at the start
  bool interrupted = false;  // SIGINT has come
  int exit_status = 0;
};

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
  // A write beyond a limit on the size of files fails like one to a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  auto settings = peridotgauge::ReadSettingsAtStart(FLAGS_settings);
  if (!settings) {
    std::cerr << settings.error().ToString() << "\n";
    return 2;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": settings are valid\n";
    return 0;
  }
  return peridotgauge::Process(std::move(*settings)).Run();
}
