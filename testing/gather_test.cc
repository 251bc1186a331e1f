// Tests of the merge of records. They guard against an answer that does not consist of the greatest
// records.
#include "core/gather.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

TEST_CASE("the merge returns the same records as a sort", "[gather]") {
  CHECK(rc::check([] {
    // Few distinct bytes make equal records likely; bytes above 0x7f must compare as unsigned.
    const auto bodies = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::element('\x00', 'a', '\x7f', '\xff')));
    const auto count = *rc::gen::inRange<uint32_t>(0, 20);
    std::vector<std::string> all;
    std::vector<std::string_view> views(bodies.begin(), bodies.end());
    for (const std::string& body : bodies) {
      for (size_t at = 0; at + kRecordBytes <= body.size(); at += kRecordBytes) {
        all.push_back(body.substr(at, kRecordBytes));
      }
    }
    std::sort(all.rbegin(), all.rend());
    std::string expected;
    for (size_t i = 0; i < std::min<size_t>(count, all.size()); ++i) expected += all[i];
    RC_ASSERT(TopRecords(views, count) == expected);
  }));
}

}  // namespace
}  // namespace peridotgauge
