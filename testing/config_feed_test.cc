// Guards against a router that applies a text other than the published one, and against packages
// that are as large as the text.
#include "state/config_feed.h"

#include <catch2/catch.hpp>
#include <string>

#include "core/packed_text.h"

namespace peridotgauge {
namespace {

std::string Text(uint64_t revision) {
  std::string text = "{\"revision\":" + std::to_string(revision) + ",\"routes\":[";
  for (int i = 0; i < 1'800; ++i) {
    text += "{\"name\":\"r" + std::to_string(i * 7919 % 9'973) + "\"},";
  }
  return text + "]}";
}

TEST_CASE("the feed of configurations", "[config_feed]") {
  ConfigFeed feed;
  CHECK(feed.Revision() == 0);
  for (uint64_t revision = 1; revision <= 3; ++revision) {
    feed.Publish(revision, 10 * revision, Text(revision));
  }
  CHECK(feed.Revision() == 3);
  CHECK(feed.ConfigIndex() == 30);
  SECTION("gives a router that holds an earlier revision the difference") {
    const ConfigPackage& package = feed.PackageFor(2, TextDigest(Text(2)));
    CHECK(package.base_revision == 2);
    CHECK(package.packed.size() < 200);
    CHECK(OpenPackage(package, Text(2)) == Text(3));
    SECTION("which another text opens as the published text or not at all") {
      for (const std::string& other : {Text(1), Text(4), Text(3) + " ", std::string()}) {
        const Result<std::string> opened = OpenPackage(package, other);
        CHECK(opened.value_or(Text(3)) == Text(3));
      }
      CHECK(OpenPackage(package, "").error().code == ErrorCode::kCorrupt);
    }
  }
  SECTION("gives the whole text") {
    SECTION("to a router without a configuration") {
      const ConfigPackage& package = feed.PackageFor(0, 0);
      CHECK(package.base_revision == 0);
      CHECK(OpenPackage(package, "") == Text(3));
    }
    SECTION("to a router whose text of the revision differs") {
      CHECK(feed.PackageFor(2, TextDigest(Text(2)) + 1).base_revision == 0);
    }
    SECTION("to a router that is more than the kept revisions behind") {
      for (uint64_t revision = 4; revision < 4 + kMaxFeedTexts; ++revision) {
        feed.Publish(revision, 10 * revision, Text(revision));
      }
      CHECK(feed.PackageFor(3, TextDigest(Text(3))).base_revision == 0);
    }
  }
  SECTION("does not publish a revision twice") {
    const ConfigPackage before = feed.PackageFor(2, TextDigest(Text(2)));
    feed.Publish(3, 30, Text(3));
    CHECK(feed.PackageFor(2, TextDigest(Text(2))) == before);
  }
}

}  // namespace
}  // namespace peridotgauge
