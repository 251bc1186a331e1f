// Top-k merge of fixed-size records.
#include "core/gather.h"

#include <algorithm>

namespace peridotgauge {

std::string TopRecords(const std::vector<std::string_view>& bodies, uint32_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view body : bodies) {
    for (size_t at = 0; at + kRecordBytes <= body.size(); at += kRecordBytes) {
      records.push_back(body.substr(at, kRecordBytes));
    }
  }
  const size_t kept = std::min<size_t>(count, records.size());
  std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string out;
  out.reserve(kept * kRecordBytes);
  for (size_t i = 0; i < kept; ++i) out.append(records[i]);
  return out;
}

}  // namespace peridotgauge
