// Tests of the error table. Guards against rows out of order, and against `not_run` being true for
// an error that can occur after the request was executed.
#include "core/error.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace peridotgauge {
namespace {

TEST_CASE("error table") {
  SECTION("row i describes code i and names are unique") {
    std::set<std::string_view> names;
    for (int i = 0; i < kErrorCodeCount; ++i) {
      const auto code = static_cast<ErrorCode>(i);
      CHECK(InfoOf(code).code == code);
      CHECK(names.insert(InfoOf(code).name).second);
      CHECK(ErrorCodeFromName(InfoOf(code).name) == code);
    }
  }
  SECTION("not_run is false for errors that can occur after execution") {
    for (ErrorCode code :
         {ErrorCode::kInDoubt, ErrorCode::kConnectionLost, ErrorCode::kTargetFailed,
          ErrorCode::kDeadlineExceeded, ErrorCode::kCancelled, ErrorCode::kInProgress,
          ErrorCode::kUnknownOutcome, ErrorCode::kExpired}) {
      CHECK_FALSE(InfoOf(code).not_run);
    }
  }
  SECTION("text") {
    CHECK((Error{ErrorCode::kShed, ""}).ToString() == "shed: the target refused the request");
    CHECK((Error{ErrorCode::kShed, "queue full"}).ToString() == "shed: queue full");
  }
}

}  // namespace
}  // namespace peridotgauge
