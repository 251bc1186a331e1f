// Random seeds from the operating system.
#ifndef PERIDOTGAUGE_IO_RANDOM_SEED_H_
#define PERIDOTGAUGE_IO_RANDOM_SEED_H_

#include <cstdint>
#include <random>

namespace peridotgauge {

inline uint64_t RandomSeed() {
  std::random_device device;
  const auto high = static_cast<uint64_t>(device());
  return (high << 32U) | device();
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_RANDOM_SEED_H_
