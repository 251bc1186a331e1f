// Tests the file watch. Guards against missing a change of the settings file that is not signalled,
// and against reloading without a change.
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
  SECTION("the file at construction is not a change") { CHECK_FALSE(watch.Changed()); }
  SECTION("a write is reported once") {
    Write(path, "second");
    CHECK(watch.Changed());
    CHECK_FALSE(watch.Changed());
  }
  SECTION("a replacement of the same size is reported") {
    Write(folder / "next", "two");
    std::filesystem::rename(folder / "next", path);
    CHECK(watch.Changed());
  }
  SECTION("a removed file is reported only after it has been created again") {
    std::filesystem::remove(path);
    CHECK_FALSE(watch.Changed());
    Write(path, "third");
    CHECK(watch.Changed());
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace peridotgauge
