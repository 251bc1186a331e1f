// Merge of the replies to a scatter-gather request: the greatest records of the shards' bodies.
//
// Use:
//   std::string body = TopRecords({part_a, part_b}, 10);
//
// Contract: a body is a sequence of records of kRecordBytes each, in any order; a shorter remainder
// is ignored. Records are compared as unsigned bytes and returned in descending order. Duplicates
// are kept.
#ifndef PERIDOTGAUGE_CORE_GATHER_H_
#define PERIDOTGAUGE_CORE_GATHER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgauge {

constexpr size_t kRecordBytes = 16;

// Returns the `count` greatest records of all bodies, or all records if there are fewer.
std::string TopRecords(const std::vector<std::string_view>& bodies, uint32_t count);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_GATHER_H_
