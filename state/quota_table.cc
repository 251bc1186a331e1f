// The leader's token buckets of the request quotas.
#include "state/quota_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotgauge {
namespace {

// Makes up for rounding errors of sums of small fills.
constexpr double kTokenRounding = 1e-6;

}  // namespace

void QuotaTable::Reset(Time now, bool calm) {
  this->buckets.clear();
  this->near_limit.clear();
  this->last_asks.clear();
  this->slots.Reset(now);
  this->served_share = 0;
  this->calm = calm;
  this->term_settled = now + kPermitLifetime + kPermitMargin;
}

double QuotaTable::Capacity(Time now, const RequestQuota& quota) const {
  if (now < this->term_settled) return kTermShare * QuotaExcess(quota, this->tolerance);
  return this->FullCapacity(quota) * this->served_share;
}

double QuotaTable::FullCapacity(const RequestQuota& quota) const {
  return quota.burst + kBucketShare * QuotaExcess(quota, this->tolerance);
}

double QuotaTable::FillRate(const RequestQuota& quota) const {
  const double window = std::chrono::duration<double>(this->tolerance.window).count();
  return (quota.rate_per_s + kFillShare * QuotaExcess(quota, this->tolerance) / window) *
         this->served_share;
}

void QuotaTable::Fill(Time until, Bucket& bucket) const {
  if (until <= bucket.updated) return;
  // The capacity that holds at the end of a term's first moments must not apply to their beginning.
  if (bucket.updated < this->term_settled && until > this->term_settled) {
    this->Fill(this->term_settled, bucket);
  }
  const double seconds = std::chrono::duration<double>(until - bucket.updated).count();
  const double room =
      this->Capacity(bucket.updated, bucket.quota) - static_cast<double>(bucket.unspent);
  const double filled = bucket.tokens + seconds * this->FillRate(bucket.quota);
  bucket.tokens = std::min(filled, std::max(room, 0.0));
  bucket.updated = until;
}

void QuotaTable::Advance(Time now, Bucket& bucket) const {
  // In order of time: unspent permits limit the tokens until the moment at which they expire.
  while (!bucket.held.empty()) {
    const auto first = std::min_element(
        bucket.held.begin(), bucket.held.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
    if (first->second.until > now) break;
    this->Fill(first->second.until, bucket);
    bucket.unspent -= first->second.permits;
    bucket.held.erase(first);
  }
  this->Fill(now, bucket);
}

void QuotaTable::AdvanceAll(Time now) {
  for (auto& [name, bucket] : this->buckets) {
    this->Advance(now, bucket);
    this->UpdateNearLimit(name, bucket);
  }
}

void QuotaTable::UpdateNearLimit(const std::string& workspace, Bucket& bucket) {
  const double share = bucket.near_limit ? kFarFromLimitShare : kNearLimitShare;
  bucket.near_limit = bucket.tokens <= share * this->FullCapacity(bucket.quota);
  if (bucket.near_limit) {
    this->near_limit.insert(workspace);
  } else {
    this->near_limit.erase(workspace);
  }
}

void QuotaTable::SetWorkspaces(Time now, const WorkspaceTable* workspaces) {
  this->AdvanceAll(now);
  std::erase_if(this->buckets, [&](const auto& item) {
    const Workspace* workspace = workspaces == nullptr ? nullptr : workspaces->Find(item.first);
    const bool removed = workspace == nullptr || !workspace->quota.Limited();
    if (removed) this->near_limit.erase(item.first);
    return removed;
  });
  if (workspaces == nullptr) return;
  for (const Workspace& workspace : workspaces->All()) {
    if (!workspace.quota.Limited()) continue;
    const auto [found, added] = this->buckets.try_emplace(workspace.name);
    Bucket& bucket = found->second;
    bucket.quota = workspace.quota;
    if (added) {
      bucket.updated = now;
      if (this->calm && now < this->term_settled) {
        bucket.tokens = this->Capacity(now, bucket.quota);
      }
    }
    this->UpdateNearLimit(workspace.name, bucket);
  }
}

void QuotaTable::SetShares(Time now, double served, double largest) {
  this->largest_share = largest;
  if (served == this->served_share) return;
  this->AdvanceAll(now);
  this->served_share = served;
}

size_t QuotaTable::SlotLimit(const RequestQuota& quota) const {
  const double excess = QuotaExcess(quota, this->tolerance);
  // Base allowances below one request are not used.
  const bool base_used = kBaseShare * excess * this->largest_share >= 1;
  const double share = base_used ? kOpenShare : kOpenShare + kBaseShare;
  return static_cast<size_t>(share * excess * this->served_share);
}

QuotaGrants QuotaTable::Grant(Time now, const RouterId& router, const QuotaAsk& ask) {
  QuotaGrants grants{.valid = kPermitLifetime, .near_limit = this->near_limit};
  LastAsk& last = this->last_asks[router];
  if (ask.sequence <= last.sequence) return grants;
  last = {.sequence = ask.sequence, .time = now};
  for (const QuotaDemand& demand : ask.demands) {
    const auto found = this->buckets.find(demand.workspace);
    if (found == this->buckets.end()) continue;
    Bucket& bucket = found->second;
    this->slots.Use(now, router, demand.workspace, this->SlotLimit(bucket.quota));
    this->Advance(now, bucket);
    const auto held = bucket.held.find(router);
    const uint32_t known = held == bucket.held.end() ? 0 : held->second.permits;
    // The permits that the router no longer holds are spent or have expired.
    const uint32_t kept = std::min(known, demand.held);
    bucket.unspent -= known - kept;
    // Permits that are not known here, of an earlier leader for example, are not renewed.
    const bool renewed = kept == demand.held;
    // Limited to what the capacity allows, which may just have been lowered.
    const double room = this->Capacity(now, bucket.quota) - static_cast<double>(bucket.unspent);
    bucket.tokens = std::min(bucket.tokens, std::max(room, 0.0)) - demand.spent;
    const uint32_t granted =
        renewed ? std::min(demand.wanted, static_cast<uint32_t>(std::floor(
                                              std::max(bucket.tokens + kTokenRounding, 0.0))))
                : 0;
    bucket.tokens -= granted;
    this->UpdateNearLimit(demand.workspace, bucket);
    bucket.unspent += granted;
    this->granted += granted;
    if (kept + granted == 0) {
      if (held != bucket.held.end()) bucket.held.erase(held);
    } else {
      Held& entry = held == bucket.held.end() ? bucket.held[router] : held->second;
      entry.permits = kept + granted;
      entry.until = std::max(entry.until, now + kPermitLifetime + kPermitMargin);
    }
    if (renewed) grants.permits.emplace(demand.workspace, granted);
  }
  grants.near_limit = this->near_limit;
  grants.open_slots = this->slots.Renew(now, router, [this](std::string_view workspace) -> size_t {
    const auto bucket = this->buckets.find(workspace);
    return bucket == this->buckets.end() ? 0 : this->SlotLimit(bucket->second.quota);
  });
  return grants;
}

void QuotaTable::Expire(Time now) {
  this->AdvanceAll(now);
  this->slots.Expire(now);
  std::erase_if(this->last_asks,
                [&](const auto& item) { return now >= item.second.time + kAskMemory; });
}

size_t QuotaTable::Entries() const {
  size_t entries = 0;
  for (const auto& [name, bucket] : this->buckets) entries += bucket.held.size();
  return entries;
}

void RouterContacts::Reset() {
  for (auto& [id, router] : this->routers) {
    router.known = false;
    router.reported = false;
  }
}

void RouterContacts::EndTerm() {
  for (auto& [id, router] : this->routers) router.reported = false;
}

void RouterContacts::Observe(Time now, const std::set<std::string>& offered) {
  this->offered_count = offered.size();
  const double share = offered.empty() ? 0 : 1.0 / static_cast<double>(offered.size());
  for (const std::string& id : offered) {
    Router& router = this->routers[id];
    router.offered = now;
    if (router.reported) continue;
    if (share >= router.share) {
      router.share = share;
      router.lower_share = 0;
      continue;
    }
    if (router.lower_share == 0) router.lower_since = now;
    router.lower_share = std::max(router.lower_share, share);
    if (now < router.lower_since + kShareDelay) continue;
    router.share = std::exchange(router.lower_share, 0);
  }
  std::erase_if(this->routers, [&](const auto& item) {
    const Router& router = item.second;
    return now >= router.offered + kLostRouterMemory && now >= router.contact + kLostRouterMemory;
  });
}

double RouterContacts::AssignShare(Time now, const std::string& id, double reported) {
  Router& router = this->routers[id];
  double others = 0;
  for (const auto& [other, record] : this->routers) {
    if (other != id && now < record.offered + kLostRouterMemory) others += record.share;
  }
  const bool offered = this->offered_count > 0 && now < router.offered + kOfferedTime;
  const double assigned =
      offered ? std::clamp(1 - others, 0.0, 1.0 / static_cast<double>(this->offered_count)) : 0.0;
  router.reported = true;
  router.lower_share = 0;
  router.share = std::max(reported, assigned);
  return assigned;
}

void RouterContacts::RecordContact(Time now, const std::string& id) {
  Router& router = this->routers[id];
  router.known = true;
  router.contact = now;
}

double RouterContacts::ServedShare(Time now) const {
  double lost = 0;
  for (const auto& [id, router] : this->routers) {
    const bool contact = router.known && now < router.contact + kContactTime;
    if (!contact && now < router.offered + kLostRouterMemory) lost += router.share;
  }
  // Sums of equal shares may miss 1 by a rounding error.
  return lost > 1 - 1e-9 ? 0.0 : 1 - lost;
}

double RouterContacts::LargestShare(Time now) const {
  double largest = 0;
  for (const auto& [id, router] : this->routers) {
    if (now < router.offered + kLostRouterMemory) largest = std::max(largest, router.share);
  }
  return largest;
}

}  // namespace peridotgauge
