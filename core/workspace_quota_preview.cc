// The decision of WorkspaceQuota about a request that is not sent.
#include "core/workspace_quota.h"

namespace peridotgauge {

QuotaPreview WorkspaceQuota::Preview(Time now, const Workspace& workspace,
                                     Duration max_wait) const {
  QuotaPreview preview;
  const auto found = this->states.find(workspace.name);
  if (found != this->states.end()) {
    const State& state = found->second;
    if (now < state.permits_end) preview.permits = state.permits;
    preview.waiting = static_cast<uint32_t>(state.waiters.size());
  }
  if (!this->lost_at && this->sequence > 0 && now - this->own_share_at < kOpenTime) {
    preview.near_limit = this->near_limit.contains(workspace.name);
  }
  // A copy decides by the same rules and takes the permit.
  WorkspaceQuota copy(*this);
  preview.verdict = copy.Admit(now, workspace, max_wait);
  return preview;
}

}  // namespace peridotgauge
