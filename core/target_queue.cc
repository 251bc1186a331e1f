// Deadline-ordered queue with additive increase and multiplicative decrease of the limit.
#include "core/target_queue.h"

#include <algorithm>

namespace peridotgauge {
namespace {

// Interval at which the limit is re-evaluated while a target warms up.
constexpr Duration kWarmUpInterval = Millis(50);

}  // namespace

TargetQueue::TargetQueue(Time now, QueueOptions options)
    : options(options), adaptive_slots(options.slots), period_start(now) {
  if (options.cold) this->warm_up_start = now;
}

Result<void> TargetQueue::Push(Time now, uint64_t id, Time deadline) {
  if (this->draining) return Fail(ErrorCode::kNoTarget, "the target is draining");
  if (!this->CanMeetDeadline(now, deadline)) {
    return Fail(ErrorCode::kOverloaded,
                "the time left until the deadline is below the target's service time");
  }
  if (this->waiting.size() >= this->Capacity()) {
    return Fail(ErrorCode::kOverloaded, "the target's queue is full");
  }
  const Waiting entry{.deadline = deadline, .arrival = this->arrivals++, .id = id};
  this->waiting.insert(entry);
  this->waiting_by_id.emplace(id, entry);
  return {};
}

QueueWork TargetQueue::Poll(Time now) {
  QueueWork work;
  while (!this->waiting.empty()) {
    const Waiting first = *this->waiting.begin();
    std::optional<Error> drop_reason;
    if (this->draining) {
      drop_reason = Error{ErrorCode::kNoTarget, "the target is draining"};
    } else if (!this->CanMeetDeadline(now, first.deadline)) {
      drop_reason = Error{ErrorCode::kOverloaded,
                          "the deadline can no longer be met after the wait in the queue"};
    } else if (this->paused || this->InFlight() >= this->Limit(now)) {
      break;
    }
    this->waiting.erase(this->waiting.begin());
    this->waiting_by_id.erase(first.id);
    if (drop_reason) {
      work.drops.push_back({.id = first.id, .error = std::move(*drop_reason)});
    } else {
      this->running.insert(first.id);
      work.dispatch.push_back(first.id);
    }
  }
  return work;
}

void TargetQueue::OnDone(Time now, uint64_t id, const Exchange& exchange) {
  if (this->running.erase(id) == 0) return;
  if (exchange.kind == ExchangeKind::kShed) this->DecreaseLimit(now);
  if (exchange.kind != ExchangeKind::kAnswered) return;
  this->AddServiceTime(now, exchange.service_time);
  // Additive increase: the limit grows by one after as many answers as the limit.
  this->adaptive_slots = std::min<double>(
      this->options.slots, this->adaptive_slots + 1 / std::max(1.0, this->adaptive_slots));
}

CancelResult TargetQueue::Cancel(uint64_t id) {
  if (this->running.count(id) > 0) return CancelResult::kRunning;
  const auto found = this->waiting_by_id.find(id);
  if (found == this->waiting_by_id.end()) return CancelResult::kUnknown;
  this->waiting.erase(found->second);
  this->waiting_by_id.erase(found);
  return CancelResult::kRemoved;
}

void TargetQueue::SetLimits(uint32_t slots, uint32_t connections) {
  // A target that gains slots uses them at once; a limit that shed requests decreased stays low.
  if (this->adaptive_slots >= this->options.slots) this->adaptive_slots = slots;
  this->adaptive_slots = std::min<double>(this->adaptive_slots, slots);
  this->options.slots = slots;
  this->options.connections = connections;
}

void TargetQueue::Restart(Time now) {
  this->draining = false;
  this->warm_up_start = now;
  this->adaptive_slots = this->options.slots;
  this->decreased.reset();
  this->period_start = now;
  this->fastest.reset();
  this->previous_fastest.reset();
}

std::optional<Time> TargetQueue::NextTimer(Time now) const {
  if (this->waiting.empty()) return std::nullopt;
  if (this->draining) return now;
  Time next = this->waiting.begin()->deadline - this->FastestServiceTime(now) + Duration(1);
  const bool warming = this->warm_up_start && now - *this->warm_up_start < kWarmUpDuration;
  if (warming) next = std::min(next, now + kWarmUpInterval);
  return std::max(next, now);
}

uint32_t TargetQueue::Limit(Time now) const {
  const uint32_t max_limit = std::min(this->options.slots, this->options.connections);
  if (!this->options.adaptive_limit) return max_limit;
  double limit = std::max(1.0, this->adaptive_slots);
  if (this->warm_up_start && now - *this->warm_up_start < kWarmUpDuration) {
    const double warm_up_fraction =
        std::chrono::duration<double>(now - *this->warm_up_start) / kWarmUpDuration;
    limit = std::min(limit, 1 + (this->options.slots - 1) * warm_up_fraction);
  }
  return std::min(max_limit, static_cast<uint32_t>(limit));
}

void TargetQueue::OnDisconnected() {
  if (this->open_connections > 0) --this->open_connections;
}

uint32_t TargetQueue::WarmConnections() const {
  return std::min(this->options.slots, this->options.connections);
}

bool TargetQueue::CanMeetDeadline(Time now, Time deadline) const {
  return now < deadline && now + this->FastestServiceTime(now) <= deadline;
}

// Ignores samples older than two periods, so that a target that was slow gets requests again.
Duration TargetQueue::FastestServiceTime(Time now) const {
  const Duration age = now - this->period_start;
  std::optional<Duration> fastest_time;
  if (age < 2 * kServiceTimePeriod) fastest_time = this->fastest;
  if (age < kServiceTimePeriod && this->previous_fastest) {
    fastest_time =
        fastest_time ? std::min(*fastest_time, *this->previous_fastest) : this->previous_fastest;
  }
  return fastest_time.value_or(Duration(0));
}

void TargetQueue::AddServiceTime(Time now, Duration sample) {
  const Duration age = now - this->period_start;
  if (age >= kServiceTimePeriod) {
    this->previous_fastest = age < 2 * kServiceTimePeriod ? this->fastest : std::nullopt;
    this->fastest.reset();
    this->period_start = now;
  }
  this->fastest = this->fastest ? std::min(*this->fastest, sample) : sample;
}

void TargetQueue::DecreaseLimit(Time now) {
  if (this->decreased && now - *this->decreased < kDecreaseInterval) return;
  this->decreased = now;
  // The number of requests in flight caused the overload, so the decrease starts from it.
  const double in_use = std::min<double>(this->adaptive_slots, this->InFlight() + 1);
  this->adaptive_slots = std::max(1.0, in_use * kLimitDecrease);
}

}  // namespace peridotgauge
