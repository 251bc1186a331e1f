// Handles requests for permits at the leader.
#include "io/quota_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "core/router_offer.h"
#include "io/clock.h"
#include "io/control_replies.h"
#include "io/peer.h"

namespace peridotgauge {
namespace {

QuotaAsk ToAsk(const wire::QuotaRequestT& request) {
  QuotaAsk ask{.sequence = request.sequence, .own_share = std::clamp(request.own_share, 0.0, 1.0)};
  for (const auto& demand : request.demands) {
    if (!demand || ask.demands.size() >= kMaxDemands) continue;
    ask.demands.push_back({.workspace = demand->workspace,
                           .wanted = demand->wanted,
                           .held = demand->held,
                           .spent = demand->spent});
  }
  return ask;
}

wire::BodyUnion ToReply(const QuotaGrants& grants, const std::string& leader) {
  wire::QuotaReplyT reply;
  reply.leader = leader;
  reply.own_share = grants.own_share;
  reply.valid_ms = static_cast<uint32_t>(WholeMillis(grants.valid));
  for (const auto& [workspace, permits] : grants.permits) {
    auto grant = std::make_unique<wire::QuotaGrantT>();
    grant->workspace = workspace;
    grant->permits = permits;
    reply.grants.push_back(std::move(grant));
  }
  reply.near_limit.assign(grants.near_limit.begin(), grants.near_limit.end());
  reply.open_slots.assign(grants.open_slots.begin(), grants.open_slots.end());
  return ToBody(std::move(reply));
}

}  // namespace

QuotaService::QuotaService(boost::asio::io_context& io, QuotaServiceContext context)
    : timer(io), context(std::move(context)), table(this->context.tolerance) {}

void QuotaService::CheckLeadership(Time now) {
  const uint64_t current = this->context.log.Term();
  if (current != this->last_known_term && !this->context.log.Leader().empty()) {
    this->last_known_term = current;
    this->earlier_leader_change = std::exchange(this->last_leader_change, now);
  }
  const uint64_t leading = this->context.log.Leading() ? current : 0;
  const uint64_t before = std::exchange(this->term, leading);
  if (leading == before) return;
  if (before != 0) this->contacts.EndTerm();
  if (leading == 0) return;
  const bool calm = this->earlier_leader_change &&
                    now - *this->earlier_leader_change >= this->context.tolerance.window;
  this->table.Reset(now, calm);
  this->contacts.Reset();
  this->config_index.reset();
}

void QuotaService::RecordContact(Time now, const std::string& router) {
  this->contacts.RecordContact(now, router);
}

void QuotaService::OnTimer(Time now) {
  if (now < this->next_tick) return;
  this->next_tick = now + kQuotaTickInterval;
  const RouterMap& routers = this->context.state.Routers();
  this->contacts.Observe(now,
                         OfferedRouterIds(routers, this->context.callers_use_all_routers
                                                       ? routers.size()
                                                       : this->context.state.OfferedRouterCount()));
  // Nothing may be filled in for a time after the arrival of a request whose round is not over: a
  // new leader may have begun.
  if (this->term == 0 || this->round_active) return;
  this->Update(now);
  this->table.Expire(now);
}

void QuotaService::Update(Time now) {
  this->UpdateWorkspaces(now);
  this->table.SetShares(now, this->contacts.ServedShare(now), this->contacts.LargestShare(now));
}

void QuotaService::UpdateWorkspaces(Time now) {
  const uint64_t index = this->context.state.ConfigIndex();
  if (this->config_index == index) return;
  this->config_index = index;
  const std::string& text = this->context.state.ConfigText();
  if (text.empty()) return this->table.SetWorkspaces(now, nullptr);
  const Result<Config> config = this->context.parse_config(text);
  if (!config) {
    LOG(ERROR) << "controller: cannot parse the configuration for the quotas of workspaces: "
               << config.error().ToString();
    return;
  }
  this->table.SetWorkspaces(now, config->Workspaces());
}

void QuotaService::Handle(Time now, const wire::QuotaRequestT& request, Reply reply) {
  if (this->stopped) return reply(MakeQuotaError({ErrorCode::kDraining, ""}, ""));
  if (request.router.empty() || request.incarnation == 0) {
    return reply(MakeQuotaError(
        {ErrorCode::kBadRequest, "QuotaRequest without a router id or with incarnation 0"}, ""));
  }
  if (this->pending.size() >= kMaxPendingQuotaRequests) {
    return reply(MakeQuotaError({ErrorCode::kOverloaded, "too many requests for permits"}, ""));
  }
  this->pending.push_back({.arrived = now,
                           .router = {request.router, request.incarnation},
                           .ask = ToAsk(request),
                           .reply = std::move(reply)});
  if (std::exchange(this->round_active, true)) return;
  const Time start = this->last_round + kQuotaRoundInterval;
  if (now >= start) return this->StartRound();
  this->timer.expires_at(start);
  this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped) self->StartRound();
  });
}

void QuotaService::StartRound() {
  this->last_round = SteadyNow();
  auto batch = std::make_shared<std::vector<Pending>>(std::exchange(this->pending, {}));
  this->context.rounds.Confirm(
      [weak = this->weak_from_this(), term = this->term, batch](const Result<uint64_t>& confirmed) {
        if (const auto self = weak.lock()) self->OnConfirmed(term, *batch, confirmed);
      });
}

void QuotaService::OnConfirmed(uint64_t term, const std::vector<Pending>& batch,
                               const Result<uint64_t>& confirmed) {
  const Time now = SteadyNow();
  this->CheckLeadership(now);
  const std::string leader = this->context.log.Leader();
  const bool leading = confirmed && term != 0 && this->term == term;
  // The configuration and the routers may have changed since the requests arrived; what was filled
  // in before counts as of then.
  if (leading) this->Update(std::min(now, batch.front().arrived));
  for (const Pending& entry : batch) {
    if (this->stopped) {
      entry.reply(MakeQuotaError({ErrorCode::kDraining, ""}, leader));
    } else if (!confirmed) {
      entry.reply(MakeQuotaError(confirmed.error(), leader));
    } else if (!leading) {
      entry.reply(MakeQuotaError({ErrorCode::kNotLeader, ""}, leader));
    } else {
      QuotaGrants grants = this->table.Grant(entry.arrived, entry.router, entry.ask);
      grants.own_share = this->contacts.AssignShare(now, entry.router.id, entry.ask.own_share);
      entry.reply(ToReply(grants, this->context.id));
    }
  }
  this->round_active = false;
  if (this->pending.empty() || this->stopped) return;
  this->round_active = true;
  const Time start = this->last_round + kQuotaRoundInterval;
  this->timer.expires_at(std::max(start, now));
  this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped) self->StartRound();
  });
}

void QuotaService::Stop() {
  if (std::exchange(this->stopped, true)) return;
  this->timer.cancel();
  for (const Pending& entry : std::exchange(this->pending, {})) {
    entry.reply(MakeQuotaError({ErrorCode::kDraining, ""}, ""));
  }
}

}  // namespace peridotgauge
