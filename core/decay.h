// Exponential decay of counts and averages.
//
// Use:
//   count = count * DecayWeight(now - updated, kTimeConstant) + 1;
#ifndef PERIDOTGAUGE_CORE_DECAY_H_
#define PERIDOTGAUGE_CORE_DECAY_H_

#include <chrono>
#include <cmath>

#include "core/types.h"

namespace peridotgauge {

// Returns the weight of a value of that age: 1 for a new one, and 1/e after the time constant.
inline double DecayWeight(Duration age, Duration time_constant) {
  return std::exp(-std::chrono::duration<double>(age) / time_constant);
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_DECAY_H_
