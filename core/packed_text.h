// Compression of a text against an earlier version of it.
//
// Use:
//   std::string packed = PackText(text, base);            // base: empty, or what the reader holds
//   Result<std::string> text = UnpackText(packed, base, kMaxConfigBytes);
//
// Contract: UnpackText() returns the packed text only if it gets the same base; the caller compares
// a digest of the result. A base makes the result of two versions that differ in a few places a few
// hundred bytes long. Both functions keep nothing between calls.
#ifndef PERIDOTGAUGE_CORE_PACKED_TEXT_H_
#define PERIDOTGAUGE_CORE_PACKED_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace peridotgauge {

// Returns the text compressed with `base` as its dictionary.
std::string PackText(std::string_view text, std::string_view base);

// Returns the original text, or kCorrupt if the bytes are damaged, belong to another base, or
// describe a text longer than `max_bytes`.
Result<std::string> UnpackText(std::string_view packed, std::string_view base, size_t max_bytes);

// Returns a digest of the bytes of a text; never 0.
uint64_t TextDigest(std::string_view text);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_PACKED_TEXT_H_
