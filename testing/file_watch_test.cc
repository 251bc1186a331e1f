// Tests of the file watch: guards against a change of the settings that nobody announces and that
// stays unnoticed, and against a reload for nothing.
#include "io/file_watch.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace peridotgauge {
namespace {

void Write(const std::filesystem::path& path, const std::string& text) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
}

TEST_CASE("file watch", "[file_watch]") {
  std::string name = std::filesystem::temp_directory_path() / "file_watch_XXXXXX";
  REQUIRE(::mkdtemp(name.data()) != nullptr);
  const std::filesystem::path folder = name;
  const std::filesystem::path path = folder / "settings.json";
  Write(path, "one");
  FileWatch watch(path);
  SECTION("what is there at the start is known") { CHECK_FALSE(watch.Changed()); }
  SECTION("a write is seen once") {
    Write(path, "second");
    CHECK(watch.Changed());
    CHECK_FALSE(watch.Changed());
  }
  SECTION("a file of the same size that takes its place is seen") {
    Write(folder / "next", "two");
    std::filesystem::rename(folder / "next", path);
    CHECK(watch.Changed());
  }
  SECTION("a file that is gone for a moment and comes back is a change only then") {
    std::filesystem::remove(path);
    CHECK_FALSE(watch.Changed());
    Write(path, "third");
    CHECK(watch.Changed());
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace peridotgauge
