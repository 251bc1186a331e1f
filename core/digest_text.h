// Text form of 64-bit digests and fingerprints, for operators and logs.
#ifndef PERIDOTGAUGE_CORE_DIGEST_TEXT_H_
#define PERIDOTGAUGE_CORE_DIGEST_TEXT_H_

#include <cstdint>
#include <string>

namespace peridotgauge {

// Returns the digest as 16 hexadecimal digits.
std::string DigestToHex(uint64_t digest);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_DIGEST_TEXT_H_
