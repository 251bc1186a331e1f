// The owner's queue for one target.
#include "target_queue.h"

#include <algorithm>
#include <cmath>

namespace peridotgauge {

TargetQueue::TargetQueue(Time now, QueueOptions options)
    : options(options), adaptive(options.slots), period_start(now) {
  if (options.cold) this->warm_since = now;
}

Result<void> TargetQueue::Push(Time now, uint64_t id, Time deadline) {
  if (this->draining) return Fail(ErrorCode::kNoTarget, "the target is draining");
  if (this->waiting.size() >= this->Capacity()) {
    return Fail(ErrorCode::kOverloaded, "the target's queue is full");
  }
  if (!this->CanMeet(now, deadline)) {
    return Fail(ErrorCode::kOverloaded, "the deadline cannot be met");
  }
  const Waiting entry{deadline, ++this->arrivals, id};
  this->waiting.insert(entry);
  this->waiting_by_id.emplace(id, entry);
  return {};
}

QueueWork TargetQueue::Poll(Time now) {
  QueueWork work;
  const auto pop = [&] {
    const uint64_t id = this->waiting.begin()->id;
    this->waiting.erase(this->waiting.begin());
    this->waiting_by_id.erase(id);
    return id;
  };
  if (this->draining) {
    while (!this->waiting.empty()) {
      work.drops.push_back({pop(), {ErrorCode::kNoTarget, "the target is draining"}});
    }
    return work;
  }
  // The earliest deadlines come first, so the first entry that can be met ends the search.
  while (!this->waiting.empty() && !this->CanMeet(now, this->waiting.begin()->deadline)) {
    work.drops.push_back({pop(), {ErrorCode::kOverloaded, "the deadline cannot be met any more"}});
  }
  if (this->paused) return work;
  const uint32_t limit = this->Limit(now);
  while (!this->waiting.empty() && this->InFlight() < limit) {
    const uint64_t id = pop();
    this->running.insert(id);
    work.dispatch.push_back(id);
  }
  return work;
}

void TargetQueue::OnDone(Time now, uint64_t id, const Exchange& exchange) {
  if (this->running.erase(id) == 0) return;
  if (exchange.kind == ExchangeKind::kShed) return this->Decrease(now);
  if (exchange.kind != ExchangeKind::kAnswered) return;
  this->AddServiceTime(now, exchange.service_time);
  // One slot more for each round of answers at the present limit.
  this->adaptive =
      std::min(static_cast<double>(this->options.slots), this->adaptive + 1 / this->adaptive);
}

CancelResult TargetQueue::Cancel(uint64_t id) {
  if (this->running.contains(id)) return CancelResult::kRunning;
  const auto entry = this->waiting_by_id.find(id);
  if (entry == this->waiting_by_id.end()) return CancelResult::kUnknown;
  this->waiting.erase(entry->second);
  this->waiting_by_id.erase(entry);
  return CancelResult::kRemoved;
}

void TargetQueue::SetLimits(uint32_t slots, uint32_t connections) {
  this->options.connections = connections;
  if (slots == this->options.slots) return;
  // A larger target starts with its new limit; a shed request lowers it again.
  if (slots > this->options.slots) this->adaptive = slots;
  this->options.slots = slots;
  this->adaptive = std::min(this->adaptive, static_cast<double>(slots));
}

void TargetQueue::Restart(Time now) {
  this->warm_since = now;
  this->adaptive = this->options.slots;
  this->fastest.reset();
  this->previous_fastest.reset();
  this->period_start = now;
}

std::optional<Time> TargetQueue::NextTimer(Time now) const {
  if (this->waiting.empty()) return std::nullopt;
  // When the first entry can no longer be met, it is dropped.
  Time next = this->waiting.begin()->deadline - this->FastestServiceTime(now) + Duration(1);
  if (this->warm_since && now - *this->warm_since < kWarmUpTime) {
    // The next step of the warm-up.
    const Duration step = kWarmUpTime / std::max(1U, this->options.slots);
    const int64_t steps = (now - *this->warm_since) / step;
    next = std::min(next, *this->warm_since + step * (steps + 1));
  }
  return std::max(next, now);
}

uint32_t TargetQueue::Limit(Time now) const {
  double limit = this->options.adaptive_limit ? this->adaptive : this->options.slots;
  if (this->warm_since && now - *this->warm_since < kWarmUpTime) {
    const double part = static_cast<double>((now - *this->warm_since).count()) /
                        static_cast<double>(kWarmUpTime.count());
    limit = std::min(limit, 1 + part * (this->options.slots - 1));
  }
  return std::clamp(static_cast<uint32_t>(limit), 1U, this->options.slots);
}

uint32_t TargetQueue::WarmConnections() const {
  return std::min(this->options.slots, this->options.connections);
}

bool TargetQueue::CanMeet(Time now, Time deadline) const {
  return now + this->FastestServiceTime(now) < deadline;
}

Duration TargetQueue::FastestServiceTime(Time now) const {
  // Values of more than two periods ago say nothing about the target any more.
  if (now - this->period_start >= 2 * kServiceTimePeriod) return Duration(0);
  if (this->fastest && this->previous_fastest) {
    return std::min(*this->fastest, *this->previous_fastest);
  }
  return this->fastest.value_or(this->previous_fastest.value_or(Duration(0)));
}

void TargetQueue::AddServiceTime(Time now, Duration sample) {
  if (now - this->period_start >= kServiceTimePeriod) {
    const bool recent = now - this->period_start < 2 * kServiceTimePeriod;
    this->previous_fastest = recent ? this->fastest : std::nullopt;
    this->fastest.reset();
    this->period_start = now;
  }
  this->fastest = std::min(this->fastest.value_or(sample), sample);
}

void TargetQueue::Decrease(Time now) {
  if (this->decreased && now - *this->decreased < kDecreaseInterval) return;
  this->decreased = now;
  this->adaptive = std::max(1.0, this->adaptive * kLimitDecrease);
}

}  // namespace peridotgauge
