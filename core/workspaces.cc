// Validation and lookup of workspaces.
#include "core/workspaces.h"

#include <xxhash.h>

#include <random>
#include <utility>

namespace peridotgauge {
namespace {

// Compares texts of equal length in a time that does not depend on where they differ.
bool EqualsInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

}  // namespace

// The seed is secret, so that a caller cannot choose keys whose digests collide.
uint64_t WorkspaceTable::DigestOf(std::string_view key) {
  static const uint64_t kSeed = (uint64_t{std::random_device{}()} << 32U) | std::random_device{}();
  return XXH3_64bits_withSeed(key.data(), key.size(), kSeed);
}

Result<WorkspaceTable> WorkspaceTable::Make(std::vector<Workspace> workspaces) {
  WorkspaceTable table;
  table.workspaces = std::move(workspaces);
  for (size_t i = 0; i < table.workspaces.size(); ++i) {
    const Workspace& workspace = table.workspaces[i];
    const auto refuse = [&](const std::string& problem) {
      return Fail(ErrorCode::kInvalidConfig, "workspace \"" + workspace.name + "\": " + problem);
    };
    if (workspace.name.empty()) return refuse("the name is empty");
    if (!table.by_name.emplace(workspace.name, i).second) return refuse("the name is used twice");
    for (size_t k = 0; k < workspace.keys.size(); ++k) {
      const std::string& key = workspace.keys[k];
      if (key.empty()) return refuse("key " + std::to_string(k) + " is empty");
      const Workspace* owner = table.FindByKey(key);
      if (owner == &workspace) continue;  // listed twice
      if (owner != nullptr) {
        return refuse("key " + std::to_string(k) + " is also a key of workspace \"" + owner->name +
                      "\"");
      }
      table.by_key.emplace(DigestOf(key), KeyOwner{.workspace = i, .key = k});
    }
  }
  return table;
}

const Workspace* WorkspaceTable::FindByKey(std::string_view key) const {
  const auto [begin, end] = this->by_key.equal_range(DigestOf(key));
  for (auto entry = begin; entry != end; ++entry) {
    const Workspace& workspace = this->workspaces[entry->second.workspace];
    if (EqualsInConstantTime(workspace.keys[entry->second.key], key)) return &workspace;
  }
  return nullptr;
}

const Workspace* WorkspaceTable::Find(std::string_view name) const {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : &this->workspaces[found->second];
}

}  // namespace peridotgauge
