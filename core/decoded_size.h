// The memory that a flatbuffers message takes once it is unpacked into objects.
//
// Use:
//   if (!DecodedSize(bytes, *wire::FrameTypeTable(), kMaxDecodedFrameBytes)) Reject();
//
// A message can unpack to much more than its own size: several offsets may refer to one string or
// table, which is copied for each of them, and an empty table of 4 bytes becomes an object of
// hundreds of bytes. The verifier of flatbuffers accepts such messages, and does not bound its own
// time for lists of strings that are referred to many times.
//
// Contract: reads only inside `bytes`, whatever they are, and takes time in proportion to the
// smaller one of `max_bytes` and the decoded size. It does not replace the verifier, which also
// checks the terminators of strings; call it before the verifier. Vectors of unions are rejected:
// no message has them.
#ifndef PERIDOTGAUGE_CORE_DECODED_SIZE_H_
#define PERIDOTGAUGE_CORE_DECODED_SIZE_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "flatbuffers/flatbuffers.h"

namespace peridotgauge {

// Returns the estimated size of the objects that the message of type `root` is unpacked to, or
// nothing if it exceeds `max_bytes` or the message is malformed. `bytes` must be aligned as the
// verifier requires.
std::optional<size_t> DecodedSize(std::string_view bytes, const flatbuffers::TypeTable& root,
                                  size_t max_bytes);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_DECODED_SIZE_H_
