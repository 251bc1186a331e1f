// The interface of Replica that the controller uses. Tests of the controller implement it with an
// in-memory log.
//
// Use:
//   std::unique_ptr<ReplicatedLog> log = MakeReplicatedLog(*replica);
//   Controller controller(io, options, *log, state);
//
// Contract: see replica.h.
#ifndef PERIDOTGAUGE_IO_REPLICATED_LOG_H_
#define PERIDOTGAUGE_IO_REPLICATED_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"
#include "core/types.h"
#include "io/replica.h"

namespace peridotgauge {

class ReplicatedLog {
 public:
  virtual ~ReplicatedLog() = default;
  virtual void Propose(std::string command, Time deadline,
                       std::function<void(Result<Applied>)> callback) = 0;
  virtual void ConfirmRead(Time deadline, std::function<void(Result<uint64_t>)> callback) = 0;
  virtual void ChangeMember(const ControllerAddress& member, uint64_t incarnation, bool remove,
                            Time deadline, std::function<void(Result<Applied>)> callback) = 0;
  virtual bool Leading() const = 0;
  virtual uint64_t Term() const = 0;
  virtual std::string Leader() const = 0;
  virtual ReplicaStatus Status() const = 0;
};

// Returns a log that forwards to the replica, which must outlive it.
std::unique_ptr<ReplicatedLog> MakeReplicatedLog(Replica& replica);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_REPLICATED_LOG_H_
