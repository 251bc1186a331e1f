// Guards against a text that differs from the one that was packed.
#include "core/packed_text.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

namespace peridotgauge {
namespace {

constexpr size_t kMaxBytes = 1 << 20;

std::string RouteList(int routes, int timeout_ms) {
  std::string text;
  for (int i = 0; i < routes; ++i) {
    text += R"({"name":"r)" + std::to_string(i * 7919 % 10'007) + R"(","timeout_ms":)" +
            std::to_string(i == routes / 2 ? timeout_ms : 500) + "},";
  }
  return text;
}

TEST_CASE("a packed text", "[packed_text]") {
  const std::string base = RouteList(2'000, 500);
  const std::string text = RouteList(2'000, 750);
  SECTION("is restored from the same base") {
    CHECK(UnpackText(PackText(text, base), base, kMaxBytes) == text);
    CHECK(UnpackText(PackText(text, ""), "", kMaxBytes) == text);
    CHECK(UnpackText(PackText("", base), base, kMaxBytes) == std::string());
  }
  SECTION("is small if it differs from the base in one place") {
    CHECK(PackText(text, base).size() < 200);
    CHECK(PackText(text, "").size() < text.size() / 3);
  }
  SECTION("is never restored as another text") {
    const std::string packed = PackText(text, base);
    SECTION("from another base") {
      const auto restored = UnpackText(packed, RouteList(2'000, 501), kMaxBytes);
      CHECK((!restored || TextDigest(*restored) != TextDigest(text)));
    }
    SECTION("from damaged bytes") {
      rc::check("any changed byte", [&] {
        std::string damaged = packed;
        const auto position = *rc::gen::inRange<size_t>(0, packed.size());
        damaged[position] = static_cast<char>(damaged[position] ^ *rc::gen::inRange(1, 256));
        const auto restored = UnpackText(damaged, base, kMaxBytes);
        // Bytes that carry no content may change, such as unused bits of the header.
        const bool refused = !restored || TextDigest(*restored) != TextDigest(text);
        const bool bounded = !restored || restored->size() <= kMaxBytes;
        const bool correct = refused || *restored == text;
        RC_ASSERT(correct);
        RC_ASSERT(bounded);
      });
    }
    SECTION("from truncated bytes") {
      CHECK(UnpackText(packed.substr(0, packed.size() - 1), base, kMaxBytes).error().code ==
            ErrorCode::kCorrupt);
      CHECK(UnpackText("", base, kMaxBytes).error().code == ErrorCode::kCorrupt);
    }
  }
  SECTION("is refused if the text would be too long") {
    const std::string bomb = PackText(std::string(kMaxBytes + 1, 'a'), "");
    CHECK(bomb.size() < 1'000);
    CHECK(UnpackText(bomb, "", kMaxBytes).error().code == ErrorCode::kCorrupt);
  }
}

}  // namespace
}  // namespace peridotgauge
