// The answer to a request that gathers: the greatest records of the shards' bodies.
//
// Use:
//   std::string body = TopRecords({part_a, part_b}, 10);
//
// Contract: a body is a sequence of records of kRecordBytes in any order; a shorter remainder is
// not a record. Records compare byte by byte, the greatest come first, and equal ones all count.
#ifndef PERIDOTGAUGE_CORE_GATHER_H_
#define PERIDOTGAUGE_CORE_GATHER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgauge {

constexpr size_t kRecordBytes = 16;

std::string TopRecords(const std::vector<std::string_view>& bodies, uint32_t count);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_GATHER_H_
