// A child process of the soak: starts a daemon, sends it signals and waits for its end.
//
// Use:
//   SoakProcess router("router-0", "127.81.3.21", command, "folder/router-0.log");
//   router.Start();  router.Signal(SIGTERM);  bool ended = router.AwaitEnd(Seconds(7));
//
// Contract: functions may be called from any thread. The destructor kills the process.
#ifndef PERIDOTGAUGE_TESTING_SOAK_PROCESS_H_
#define PERIDOTGAUGE_TESTING_SOAK_PROCESS_H_

#include <sys/types.h>

#include <mutex>
#include <string>
#include <vector>

#include "core/types.h"

namespace peridotgauge {

// What the kernel shows of the main thread of a process, on which a daemon handles everything.
struct SoakProcessState {
  std::string state;  // such as "R" (ready or running), "S" (waits) or "D" (waits for a disk)
  Duration cpu{};     // time on a processor since the start
  Duration queued{};  // time in the queue for a processor since the start
};

class SoakProcess {
 public:
  SoakProcess(std::string name, std::string ip, std::vector<std::string> command, std::string log);
  ~SoakProcess();
  SoakProcess(const SoakProcess&) = delete;
  SoakProcess& operator=(const SoakProcess&) = delete;

  // Returns false if the program cannot be started, or runs already.
  bool Start();
  void Signal(int signal);
  // Returns false if the process still runs after `limit`.
  bool AwaitEnd(Duration limit);
  void Kill();
  // Makes all writes of the process to files fail, as on a full disk, or no longer.
  void SetDiskFull(bool full);
  bool Running();
  // Returns zeros and an empty text for what the kernel does not show.
  SoakProcessState State();
  // Returns the last lines of the log that tell of the start, the shutdown and pauses.
  std::string LastSigns() const;
  // Returns the last disturbance: a start, a signal or an end.
  Time LastDisturbance();
  // Returns true if the process was killed or frozen between the two times.
  bool WasKilled(Time from, Time to);

  const std::string name;
  const std::string ip;

 private:
  // Reaps the process if it has ended. Requires `mutex` to be held.
  void Reap();

  std::vector<std::string> command;
  std::string log;
  std::mutex mutex;
  pid_t pid = -1;            // guarded by `mutex`; -1 while the process does not run
  Time last_disturbance;     // guarded by `mutex`
  std::vector<Time> killed;  // guarded by `mutex`: when the process was killed or frozen
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_SOAK_PROCESS_H_
