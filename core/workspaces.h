// The workspaces (tenants) of a configuration: their API keys, priorities and request quotas.
//
// Use:
//   Result<WorkspaceTable> table = WorkspaceTable::Make(std::move(workspaces));
//   const Workspace* workspace = table->FindByKey(key);      // nullptr: the key is unknown
//
// Contract: a WorkspaceTable is immutable. Names are unique, and no key belongs to two workspaces.
// FindByKey() takes the same time for keys that share a prefix with a known one and for others: it
// looks up a digest with a secret seed and then compares the whole key in constant time. Errors
// never contain a key.
#ifndef PERIDOTGAUGE_CORE_WORKSPACES_H_
#define PERIDOTGAUGE_CORE_WORKSPACES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/error.h"

namespace peridotgauge {

// Longest key of a workspace in a native configuration. Well below the limit on a request's header.
constexpr size_t kMaxKeyLength = 512;

// A limit on the requests of a workspace over all routers: a token bucket.
struct RequestQuota {
  double rate_per_s = 0;  // 0: no limit
  double burst = 0;       // requests
  bool Limited() const { return this->rate_per_s > 0; }
  auto operator<=>(const RequestQuota&) const = default;
};

struct Workspace {
  std::string name;
  std::vector<std::string> keys;     // empty: no caller can use the workspace
  std::optional<uint32_t> priority;  // replaces that of the route; 0 is the most urgent
  RequestQuota quota;
  bool operator==(const Workspace&) const = default;
};

class WorkspaceTable {
 public:
  WorkspaceTable() = default;
  // Returns kInvalidConfig if the contract would not hold, or if a name or a key is empty.
  static Result<WorkspaceTable> Make(std::vector<Workspace> workspaces);

  // Return nullptr for an unknown key or name.
  const Workspace* FindByKey(std::string_view key) const;
  const Workspace* Find(std::string_view name) const;
  const std::vector<Workspace>& All() const { return this->workspaces; }

 private:
  struct KeyOwner {
    size_t workspace = 0;  // index into `workspaces`
    size_t key = 0;        // index into its keys
  };
  static uint64_t DigestOf(std::string_view key);

  std::vector<Workspace> workspaces;
  std::unordered_multimap<uint64_t, KeyOwner> by_key;  // by the digest of the key
  std::map<std::string, size_t, std::less<>> by_name;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_WORKSPACES_H_
