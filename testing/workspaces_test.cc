// Tests of the table of workspaces. They guard against a key that finds another workspace than its
// own, and against configurations that two workspaces claim one key in.
#include "core/workspaces.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <utility>

namespace peridotgauge {
namespace {

TEST_CASE("workspaces by key", "[workspaces]") {
  const auto table = WorkspaceTable::Make(
      {{.name = "a", .keys = {"a1", "a2"}, .quota = {5, 2}}, {.name = "b", .keys = {"b1"}}});
  REQUIRE(table);
  CHECK(table->FindByKey("a2")->name == "a");
  CHECK(table->FindByKey("b1")->name == "b");
  CHECK(table->FindByKey("b") == nullptr);
  CHECK(table->FindByKey("b12") == nullptr);
  CHECK(table->FindByKey("") == nullptr);
  CHECK(table->Find("a")->quota.Limited());
  CHECK(table->Find("c") == nullptr);
  SECTION("a copy of the table finds them too, also once it was moved") {
    WorkspaceTable copy = *table;
    const WorkspaceTable moved = std::move(copy);
    CHECK(moved.FindByKey("a1") == &moved.All()[0]);
  }
  SECTION("a workspace may list a key twice, and have no key") {
    CHECK(WorkspaceTable::Make({{.name = "a", .keys = {"a1", "a1"}}, {.name = "b"}}));
  }
}

TEST_CASE("each key finds its workspace and no other", "[workspaces][property]") {
  const bool passed = rc::check("drawn keys", [](const std::map<std::string, bool>& keys) {
    std::vector<Workspace> workspaces = {{.name = "no"}, {.name = "yes"}};
    for (const auto& [key, second] : keys) {
      if (!key.empty()) workspaces[second ? 1 : 0].keys.push_back(key);
    }
    const auto table = WorkspaceTable::Make(workspaces);
    RC_ASSERT(table.has_value());
    for (const auto& [key, second] : keys) {
      if (key.empty()) continue;
      RC_ASSERT(table->FindByKey(key)->name == (second ? "yes" : "no"));
      if (!keys.contains(key + "x")) RC_ASSERT(table->FindByKey(key + "x") == nullptr);
    }
  });
  CHECK(passed);
}

}  // namespace
}  // namespace peridotgauge
