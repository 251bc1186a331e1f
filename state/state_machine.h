// What a replicated log drives. Apart from replica.h so that core modules can implement it without
// including Asio.
#ifndef PERIDOTGAUGE_STATE_STATE_MACHINE_H_
#define PERIDOTGAUGE_STATE_STATE_MACHINE_H_

#include <cstdint>
#include <string>

#include "core/error.h"

namespace peridotgauge {

// What the replicated log drives. Apply must be deterministic: it may use nothing but the command
// and earlier state.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  // Returns the result of the command for its proposer.
  virtual std::string Apply(uint64_t index, const std::string& command) = 0;
  virtual std::string Snapshot() const = 0;
  virtual Result<void> Restore(uint64_t index, const std::string& snapshot) = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_STATE_MACHINE_H_
