#include "core/digest_text.h"

#include <string_view>

namespace peridotgauge {

std::string DigestToHex(uint64_t digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) text.push_back(kDigits[(digest >> shift) & 15]);
  return text;
}

}  // namespace peridotgauge
