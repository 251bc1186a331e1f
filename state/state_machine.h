// The interface of a replicated state machine. Separate from replica.h, so that core modules can
// implement it without including Asio.
#ifndef PERIDOTGAUGE_STATE_STATE_MACHINE_H_
#define PERIDOTGAUGE_STATE_STATE_MACHINE_H_

#include <cstdint>
#include <string>

#include "core/error.h"

namespace peridotgauge {

// A state machine driven by the replicated log. Apply() must be deterministic: it may depend only
// on the command and earlier state.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  // Applies a committed command and returns its result, which is passed to the proposer.
  virtual std::string Apply(uint64_t index, const std::string& command) = 0;
  virtual std::string Snapshot() const = 0;
  virtual Result<void> Restore(uint64_t index, const std::string& snapshot) = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_STATE_MACHINE_H_
